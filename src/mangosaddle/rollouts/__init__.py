"""Progressive rollouts: traffic shares, evidence, automatic vetoes and orders to load versions.

Evidence are the outcome and latency counters of the old and the new version, collected on all VMs.
A veto ends a rollout because the evidence is against the new version, which is then rolled back.
"""

from ._control import RolloutControl, RolloutState, RolloutStatus, Veto
from ._evidence import WINDOW_S, EvidenceError
from ._exposure import ExposureLimit
from ._load_orders import EndpointVersions, LoadCost, LoadOrder, loading_time_s, plan_loads
from ._order_lease_guard import OrderLeaseGuard, OrderLeaseState, OrderPermission
from ._order_records import RolloutOrder, RolloutRecord
from ._ordered_rollout import OrderedRollout
from ._plan import planned_share
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
    "loading_time_s",
    "plan_loads",
    "planned_share",
]
