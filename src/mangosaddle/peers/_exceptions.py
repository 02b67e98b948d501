"""Errors of the peers package."""

from enum import StrEnum

from .._exceptions import MangosaddleError


class PeerError(MangosaddleError):
    """Base class of the errors of this package."""


class CodecError(PeerError):
    """Base class of encoding and decoding errors."""


class EncodeError(CodecError):
    """A message cannot be encoded: its type is not registered or a field has a wrong type."""


class DecodeError(CodecError):
    """Received bytes are no valid message."""


class RegistrationError(CodecError):
    """A data class cannot be registered: a name is taken or a field type is not supported."""


class RefusalReason(StrEnum):
    """Why a link or a frame was refused; label of the refusal counter."""

    WRONG_SUBPROTOCOL = "wrong_subprotocol"
    FOREIGN_FLEET = "foreign_fleet"
    WRONG_SECRET = "wrong_secret"
    UNEXPECTED_VM = "unexpected_vm"
    STALE_INCARNATION = "stale_incarnation"
    BAD_HANDSHAKE = "bad_handshake"
    BAD_SEQUENCE = "bad_sequence"
    BAD_MAC = "bad_mac"
    BAD_FRAME = "bad_frame"
    BAD_MESSAGE = "bad_message"


class LinkRefusedError(PeerError):
    """A link or frame failed authentication."""

    def __init__(self, reason: RefusalReason) -> None:
        """Keep the reason for the counter."""
        super().__init__(f"peer refused: {reason}")
        self.reason = reason


class NotSentError(PeerError):
    """There was no link, so nothing reached the other VM: the request was not run."""


class LinkLostError(PeerError):
    """The link broke after the request was sent: whether it ran is unknown."""


class RequestTimeoutError(PeerError):
    """No answer came in time: whether the request ran is unknown."""


class RequestFailedError(PeerError):
    """The other VM has no handler for the request, or its handler failed."""
