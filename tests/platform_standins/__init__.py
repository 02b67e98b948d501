"""Stand-ins of the users' platform: its store, its runners and its operator."""

from ._fleet import Fleet, running_fleet, until
from ._operator import configuration, engine_service, plain_service, route, tenant
from ._rollout_operator import PlacedOrder, RolloutOperator
from ._runner import Arrival, Behaviour, RunnerStandIn, Seen
from ._scenario import Scenario, run_fleet, run_scenario, usual_configuration
from ._store import StoreFault, StoreStandIn
from ._traffic import Call, Traffic
from ._version_fault import VersionFault

__all__ = [
    "Arrival",
    "Behaviour",
    "Call",
    "Fleet",
    "PlacedOrder",
    "RolloutOperator",
    "RunnerStandIn",
    "Scenario",
    "Seen",
    "StoreFault",
    "StoreStandIn",
    "Traffic",
    "VersionFault",
    "configuration",
    "engine_service",
    "plain_service",
    "route",
    "run_fleet",
    "run_scenario",
    "running_fleet",
    "tenant",
    "until",
    "usual_configuration",
]
