"""Traffic share of new versions, evidence, verdicts and orders to endpoints."""

from ._control import RolloutControl, RolloutState, RolloutStatus, Veto
from ._evidence import WINDOW_S, EvidenceError
from ._exposure import ExposureLimit
from ._loads import EndpointVersions, LoadCost, LoadOrder, needed_s, plan_loads
from ._order_holder import OrderLeaseGuard, OrderLeaseState, OrderPermission
from ._order_records import RolloutOrder, RolloutRecord
from ._ordered import OrderedRollout
from ._plan import share
from ._policy import RolloutPolicy

__all__ = [
    "WINDOW_S",
    "EndpointVersions",
    "EvidenceError",
    "ExposureLimit",
    "LoadCost",
    "LoadOrder",
    "OrderLeaseGuard",
    "OrderLeaseState",
    "OrderPermission",
    "OrderedRollout",
    "RolloutControl",
    "RolloutOrder",
    "RolloutPolicy",
    "RolloutRecord",
    "RolloutState",
    "RolloutStatus",
    "Veto",
    "needed_s",
    "plan_loads",
    "share",
]
