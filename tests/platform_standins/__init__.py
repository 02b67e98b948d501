"""Stand-ins of the users' platform: its store, its runners and its operator."""

from ._fleet import Fleet, running_fleet, wait_until
from ._operator_documents import configuration, engine_service, plain_service, route, tenant
from ._rollout_operator import PlacedOrder, RolloutOperator
from ._rollout_play import (
    OrderOutcome,
    RolloutCase,
    RolloutPlay,
    cut_vm_off,
    kill_vm,
    order_what_cannot_be,
    play_rollouts,
    restart_vm,
    take_store_out,
)
from ._runner import Arrival, Behaviour, ReceivedRequest, RunnerStandIn
from ._scenario import Scenario, default_configuration, run_on_default_fleet, run_on_empty_fleet
from ._store import StoreFault, StoreStandIn
from ._traffic import Call, Traffic
from ._version_fault import VersionFault

__all__ = [
    "Arrival",
    "Behaviour",
    "Call",
    "Fleet",
    "OrderOutcome",
    "PlacedOrder",
    "ReceivedRequest",
    "RolloutCase",
    "RolloutOperator",
    "RolloutPlay",
    "RunnerStandIn",
    "Scenario",
    "StoreFault",
    "StoreStandIn",
    "Traffic",
    "VersionFault",
    "configuration",
    "cut_vm_off",
    "default_configuration",
    "engine_service",
    "kill_vm",
    "order_what_cannot_be",
    "plain_service",
    "play_rollouts",
    "restart_vm",
    "route",
    "run_on_default_fleet",
    "run_on_empty_fleet",
    "running_fleet",
    "take_store_out",
    "tenant",
    "wait_until",
]
