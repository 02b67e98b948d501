"""The platform's stand-ins in a process of their own."""

import multiprocessing
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from typing import Any

from .._identifiers import VmId
from ..configuration import Configuration
from ..demo import OPERATOR_TOKEN, PEER_SECRET
from ..standins import DeploymentStandIns, EngineSpeed

SAMPLE_S = 0.1
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class StandInSpeed:
    """What the stand-ins are given beside the configuration."""

    engine: EngineSpeed
    region_delay_s: float
    """One-way delay between regions."""
    failing_version: str | None = None
    """Engine's name of a version that answers every request with status 500."""


@dataclass(frozen=True, slots=True)
class VersionSample:
    """Requests that all engines have had of each version, at one moment."""

    wall_s: float
    requests_by_version: dict[str, int]


@dataclass(frozen=True, slots=True)
class PlatformCounts:
    """What the stand-ins have counted since their start."""

    store_calls_by_kind: dict[str, int]
    prefill_tokens: int
    cached_tokens: int
    executions_by_order: dict[str, int]
    engines_by_request: dict[str, list[str]]
    """Engines that got a request, one entry for each attempt."""
    samples: list[VersionSample] = field(default_factory=list)


class RemoteStandIns:
    """Starts the stand-ins in another process and asks them for their counts."""

    def __init__(self, configuration: Configuration, speed: StandInSpeed) -> None:
        """Create without a process."""
        context = multiprocessing.get_context("spawn")
        self.configuration = configuration
        self.keys_by_organisation: dict[str, str] = {}
        self._settings_by_vm: dict[VmId, dict[str, object]] = {}
        self._pipe, far_end = context.Pipe()
        self._process = context.Process(
            target=_serve, args=(far_end, configuration, speed), name="stand-ins"
        )

    def start(self) -> None:
        """Start the process and take over the addresses that it has chosen.

        Raises ``TimeoutError`` when it does not answer.
        """
        self._process.start()
        self.configuration, self.keys_by_organisation, self._settings_by_vm = self._receive()

    def settings_of(self, vm: VmId, secret: str, operator_token: str) -> dict[str, object]:
        """Return the settings of an entry VM's process, by setting name."""
        settings = self._settings_by_vm[vm]
        return {**settings, "peer_secret": secret, "operator_token": operator_token}

    def counts(self) -> PlatformCounts:
        """Return what has been counted until now."""
        self._pipe.send("counts")
        counts: PlatformCounts = self._receive()
        return counts

    def stop(self) -> None:
        """Stop the process."""
        if self._process.pid is None:
            return
        if self._process.is_alive():
            self._pipe.send("stop")
            self._process.join(STOP_TIMEOUT_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join(STOP_TIMEOUT_S)

    def _receive(self) -> Any:  # noqa: ANN401
        # A pipe carries any object; the callers state the type that they expect.
        if not self._pipe.poll(START_TIMEOUT_S):
            raise TimeoutError("the stand-ins do not answer")
        return self._pipe.recv()


def _serve(pipe: Connection, configuration: Configuration, speed: StandInSpeed) -> None:
    """Run the stand-ins until the other side says ``stop`` or is gone."""
    standins = DeploymentStandIns(configuration, speed.engine)
    standins.start()
    standins.links.conditions.delay_s = speed.region_delay_s
    if speed.failing_version is not None:
        for engine in standins.engines_by_id.values():
            engine.faults.failing_versions.add(speed.failing_version)
    settings = {
        vm: standins.settings_of(vm, PEER_SECRET, OPERATOR_TOKEN)
        for vm in standins.configuration.vms_by_id
    }
    keys = {str(o): standins.key_of(str(o)) for o in standins.keys_by_organisation}
    samples: list[VersionSample] = []
    stopping = threading.Event()
    sampler = threading.Thread(target=_sample, args=(standins, samples, stopping), daemon=True)
    sampler.start()
    pipe.send((standins.configuration, keys, settings))
    try:
        while pipe.recv() != "stop":
            pipe.send(_counts(standins, samples))
    except EOFError:
        pass
    stopping.set()
    standins.stop()


def _sample(
    standins: DeploymentStandIns, samples: list[VersionSample], stopping: threading.Event
) -> None:
    while not stopping.wait(SAMPLE_S):
        total: Counter[str] = Counter()
        for engine in standins.engines_by_id.values():
            total.update(dict(engine.requests_by_version))
        samples.append(VersionSample(time.time(), dict(total)))


def _counts(standins: DeploymentStandIns, samples: list[VersionSample]) -> PlatformCounts:
    engines = standins.engines_by_id.values()
    executions: Counter[str] = Counter()
    for service in standins.services_by_id.values():
        executions.update(dict(service.executions_by_key))
    engines_by_request: dict[str, list[str]] = {}
    for engine in engines:
        for headers in list(engine.seen_headers):
            names = {name.lower(): value for name, value in headers.items()}
            # The gateway adds a suffix of its own, because callers may choose equal ids.
            request_id = names.get("x-request-id", "").rpartition(".")[0]
            engines_by_request.setdefault(request_id, []).append(engine.name)
    return PlatformCounts(
        store_calls_by_kind=dict(standins.store.calls_by_kind),
        prefill_tokens=sum(engine.prefill_tokens for engine in engines),
        cached_tokens=sum(engine.cached_tokens for engine in engines),
        executions_by_order=dict(executions),
        engines_by_request=engines_by_request,
        samples=list(samples),
    )
