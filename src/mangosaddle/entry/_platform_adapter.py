"""Interface between the entry process and the adapter of a platform."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .._identifiers import EndpointId
from ..coordination import ItemOrder
from ..duties import DutyCalls
from ..http11 import ServerExchange
from ._discovery import Discovery
from ._rollout_records import RolloutCodec
from ._settings import Address
from ._store_listeners import DecodeCatalogue, DecodeEvacuatedZone, DecodeRegistration
from ._wire_format import WireFormat


class InterfaceHandler(Protocol):
    """Serves the platform's own HTTP interfaces, such as readiness and discovery."""

    async def handle(self, exchange: ServerExchange) -> None:
        """Answer one request of the platform."""
        ...


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Codecs, store keys and HTTP interfaces of one platform."""

    wire: WireFormat
    operator_prefix: str
    """Prefix of the store keys that the operator writes."""
    configuration_key: str
    decode_configuration: DecodeCatalogue
    evacuated_zone: DecodeEvacuatedZone
    registration_prefix: str
    """Prefix of the store keys under which endpoints register."""
    decode_registration: DecodeRegistration
    endpoint_of_key: Callable[[str], EndpointId]
    item_order: ItemOrder
    rollouts: RolloutCodec
    create_duty_calls: Callable[[Address], DutyCalls]
    create_interface_handler: Callable[[Discovery, Callable[[], bool]], InterfaceHandler]
    """Creates the handler from the discovery and a function that tells whether this VM is ready."""
