"""Peer-to-peer layer between entry VMs: links, facts, requests and forwarding.

A fact is a small record that one VM publishes and that is replicated to all others. A withdrawal is
the fact that an API key was revoked; each VM confirms it when it has applied it. A forwarded
request is identified by its link and its number, which the forwarding VM assigns.
"""

from ._codec import CODEC, Codec, register
from ._confirmations import Confirmations, ConfirmationTracker
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
from ._forward import MAX_BODY_BYTES, ForwardHandler
from ._messages import (
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    ForwardRequest,
    ForwardResponsePart,
    HeaderField,
    OpaqueTraffic,
    TrafficMetadata,
)
from ._node import PeerNode
from ._settings import PeerSettings, PeerTimings

__all__ = [
    "CODEC",
    "MAX_BODY_BYTES",
    "Codec",
    "CodecError",
    "ConfirmationTracker",
    "Confirmations",
    "DecodeError",
    "EncodeError",
    "ForwardChunk",
    "ForwardEnd",
    "ForwardHandler",
    "ForwardHead",
    "ForwardRequest",
    "ForwardResponsePart",
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
