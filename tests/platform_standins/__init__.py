"""Stand-ins of the users' platform: its store, its runners and its operator."""

from ._fleet import Fleet, running_fleet, until
from ._operator import configuration, engine_service, plain_service, route, tenant
from ._runner import Behaviour, RunnerStandIn, Seen
from ._scenario import Scenario, run_fleet, run_scenario, usual_configuration
from ._store import StoreFault, StoreStandIn

__all__ = [
    "Behaviour",
    "Fleet",
    "RunnerStandIn",
    "Scenario",
    "Seen",
    "StoreFault",
    "StoreStandIn",
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
