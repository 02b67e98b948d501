"""Stand-ins of the users' platform: its store, its runners and its operator."""

from ._fleet import Fleet, running_fleet, until
from ._operator import configuration, engine_service, plain_service, route, tenant
from ._runner import Behaviour, RunnerStandIn
from ._store import StoreFault, StoreStandIn

__all__ = [
    "Behaviour",
    "Fleet",
    "RunnerStandIn",
    "StoreFault",
    "StoreStandIn",
    "configuration",
    "engine_service",
    "plain_service",
    "route",
    "running_fleet",
    "tenant",
    "until",
]
