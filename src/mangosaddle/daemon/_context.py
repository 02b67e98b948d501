"""What the parts of one entry process share."""

import random
import time
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry

from .._identifiers import Incarnation
from ..platform import PlatformMetrics, StoreClient
from ._blocking import BlockingCalls
from ._configuration_holder import ConfigurationHolder
from ._settings import EntrySettings


def boot_clock_s() -> float:
    """Return seconds since boot, counting suspension: the process's own monotonic clock."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Settings, clients and shared state of one entry process; loop thread only."""

    settings: EntrySettings
    incarnation: Incarnation
    started_at_s: float
    """Wall-clock time of the start, in seconds since the epoch."""
    blocking: BlockingCalls
    registry: CollectorRegistry
    platform_metrics: PlatformMetrics
    store: StoreClient
    configuration: ConfigurationHolder
    rng: random.Random = field(default_factory=random.Random)
