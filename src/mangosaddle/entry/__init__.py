"""The entry process for opaque traffic: takes requests, finds endpoints and passes answers on.

It speaks to its platform only through the parts that an adapter gives.
"""

from ._discovery import Discovery
from ._entry_process import EntryProcess
from ._log_output import LogOutput
from ._platform_adapter import InterfaceHandler, PlatformAdapter
from ._settings import Address, EntryProcessSettings, FleetBounds
from ._wire_format import WireFormat

__all__ = [
    "Address",
    "Discovery",
    "EntryProcess",
    "EntryProcessSettings",
    "FleetBounds",
    "InterfaceHandler",
    "LogOutput",
    "PlatformAdapter",
    "WireFormat",
]
