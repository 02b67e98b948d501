"""The entry process for opaque traffic: takes requests, finds endpoints and passes answers on.

It speaks to its platform only through the parts that an adapter gives.
"""

from ._discovery import Discovery
from ._logs import LogOutput
from ._node import EntryProcess
from ._ports import AdapterParts, Interfaces
from ._settings import Address, EntryProcessSettings, FleetBounds
from ._wire import WireFormat

__all__ = [
    "AdapterParts",
    "Address",
    "Discovery",
    "EntryProcess",
    "EntryProcessSettings",
    "FleetBounds",
    "Interfaces",
    "LogOutput",
    "WireFormat",
]
