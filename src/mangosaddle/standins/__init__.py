"""Small stand-ins for the platform, shared by the demo, the tests and the measurement."""

from ._client_directory import ClientDirectoryStandIn
from ._deployment import DeploymentStandIns, free_port
from ._engine import EngineFaults, EngineSpeed, EngineStandIn
from ._host import StandInHost
from ._links import LinkConditions, PeerLinks
from ._service import ServiceStandIn
from ._store import StoreCopy, StoredValue, StoreFaults, StoreStandIn, WatchSilence
from ._vm_follower import VmFollower
from ._vm_list import ListedVm, VmListStandIn
from ._weight_store import WeightStoreStandIn

__all__ = [
    "ClientDirectoryStandIn",
    "DeploymentStandIns",
    "EngineFaults",
    "EngineSpeed",
    "EngineStandIn",
    "LinkConditions",
    "ListedVm",
    "PeerLinks",
    "ServiceStandIn",
    "StandInHost",
    "StoreCopy",
    "StoreFaults",
    "StoreStandIn",
    "StoredValue",
    "VmFollower",
    "VmListStandIn",
    "WatchSilence",
    "WeightStoreStandIn",
    "free_port",
]
