"""Entry process for opaque HTTP traffic: accepts requests, places them and relays the answers.

All platform-specific code is reached through the ``PlatformAdapter`` that is passed in. An
``OpaqueRequest`` (parameters ``opaque``) is the HTTP request as it is passed on, uninterpreted; the
``RoutedRequest`` beside it holds what placement needs to know about it. Home regions of a request
are the regions in which its organisation and its route both allow it to run.
"""

from ._discovery import Discovery
from ._entry_process import EntryProcess
from ._ingress_limits import VmLimits
from ._log_output import LogOutput
from ._platform_adapter import InterfaceHandler, PlatformAdapter
from ._settings import Address, DutySettings, EntryProcessSettings, FleetBounds
from ._wire_format import WireFormat

__all__ = [
    "Address",
    "Discovery",
    "DutySettings",
    "EntryProcess",
    "EntryProcessSettings",
    "FleetBounds",
    "InterfaceHandler",
    "LogOutput",
    "PlatformAdapter",
    "VmLimits",
    "WireFormat",
]
