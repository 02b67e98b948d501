"""Small stand-ins of the platform, shared by demo, tests and measurement."""

from ._engine import EngineFaults, EngineSpeed, EngineStandIn
from ._host import StandInHost
from ._service import ServiceStandIn
from ._store import StoredValue, StoreFaults, StoreStandIn
from ._vm_list import ListedVm, VmListStandIn

__all__ = [
    "EngineFaults",
    "EngineSpeed",
    "EngineStandIn",
    "ListedVm",
    "ServiceStandIn",
    "StandInHost",
    "StoreFaults",
    "StoreStandIn",
    "StoredValue",
    "VmListStandIn",
]
