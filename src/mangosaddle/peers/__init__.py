"""Messages and links between entry VMs."""

from ._codec import CODEC, Codec, register
from ._confirmations import ConfirmationBook, Confirmations
from ._dispatch import MessageHandler
from ._exceptions import (
    CodecError,
    DecodeError,
    EncodeError,
    LinkLostError,
    LinkRefusedError,
    NotSentError,
    PeerError,
    RefusalReason,
    RegistrationError,
    RequestFailedError,
    RequestTimeoutError,
)
from ._forward import ForwardHandler
from ._messages import (
    ForwardAnswer,
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    ForwardRequest,
    HeaderField,
    OpaqueTraffic,
    TrafficMetadata,
)
from ._node import PeerNode
from ._settings import PeerSettings, PeerTimings

__all__ = [
    "CODEC",
    "Codec",
    "CodecError",
    "ConfirmationBook",
    "Confirmations",
    "DecodeError",
    "EncodeError",
    "ForwardAnswer",
    "ForwardChunk",
    "ForwardEnd",
    "ForwardHandler",
    "ForwardHead",
    "ForwardRequest",
    "HeaderField",
    "LinkLostError",
    "LinkRefusedError",
    "MessageHandler",
    "NotSentError",
    "OpaqueTraffic",
    "PeerError",
    "PeerNode",
    "PeerSettings",
    "PeerTimings",
    "RefusalReason",
    "RegistrationError",
    "RequestFailedError",
    "RequestTimeoutError",
    "TrafficMetadata",
    "register",
]
