"""What an adapter of a platform gives to the entry process."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .._identifiers import EndpointId
from ..http11 import ServerExchange
from ._discovery import Discovery
from ._rollout_records import RolloutCodec
from ._store_listeners import DecodeCatalogue, DecodeRegistration, DecodeZone
from ._wire_format import WireFormat


class InterfaceHandler(Protocol):
    """Answers the platform's own calls."""

    async def handle(self, exchange: ServerExchange) -> None:
        """Answer one call."""
        ...


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Translations of one platform."""

    wire: WireFormat
    operator_prefix: str
    """Keys of the operator in the store."""
    configuration_key: str
    decode_configuration: DecodeCatalogue
    evacuated_zone: DecodeZone
    registration_prefix: str
    """Keys of the endpoints in the store."""
    decode_registration: DecodeRegistration
    endpoint_of_key: Callable[[str], EndpointId]
    rollouts: RolloutCodec
    create_interface_handler: Callable[[Discovery, Callable[[], bool]], InterfaceHandler]
    """Returns the handler of readiness and discovery calls."""
