"""Stand-ins for the users' platform: its store, its runners and its operator."""

from ._duties import DutyCall, DutyFault, DutyStandIn
from ._fleet import CallerResponse, Fleet, running_fleet, wait_until
from ._operator_documents import configuration, engine_service, plain_service, route, tenant
from ._rollout_cases import (
    OrderOutcome,
    RolloutCase,
    RolloutObservations,
    interrupt_store,
    isolate_vm_from_store,
    kill_vm,
    restart_vm,
    run_rollout_case,
    write_invalid_orders,
)
from ._rollout_operator import PlacedOrder, RolloutOperator
from ._runner import Arrival, Behaviour, ReceivedRequest, Room, RunnerStandIn
from ._runner_process import RunnerProcess
from ._scenario import (
    Scenario,
    default_configuration,
    run_on_default_fleet,
    run_on_empty_fleet,
    start_vm_with,
)
from ._store import StoreCopy, StoreFault, StoreSilence, StoreStandIn
from ._traffic import Call, Traffic
from ._version_fault import VersionFault

__all__ = [
    "Arrival",
    "Behaviour",
    "Call",
    "CallerResponse",
    "DutyCall",
    "DutyFault",
    "DutyStandIn",
    "Fleet",
    "OrderOutcome",
    "PlacedOrder",
    "ReceivedRequest",
    "RolloutCase",
    "RolloutObservations",
    "RolloutOperator",
    "Room",
    "RunnerProcess",
    "RunnerStandIn",
    "Scenario",
    "StoreCopy",
    "StoreFault",
    "StoreSilence",
    "StoreStandIn",
    "Traffic",
    "VersionFault",
    "configuration",
    "default_configuration",
    "engine_service",
    "interrupt_store",
    "isolate_vm_from_store",
    "kill_vm",
    "plain_service",
    "restart_vm",
    "route",
    "run_on_default_fleet",
    "run_on_empty_fleet",
    "run_rollout_case",
    "running_fleet",
    "start_vm_with",
    "tenant",
    "wait_until",
    "write_invalid_orders",
]
