"""Exceptions raised by the peers package."""

from enum import StrEnum

from .._exceptions import MangosaddleError


class PeerError(MangosaddleError):
    """Base class of the exceptions of this package."""


class CodecError(PeerError):
    """Base class of encoding and decoding errors."""


class EncodeError(CodecError):
    """A message cannot be encoded.

    Its type is not registered, a field has the wrong type, or it exceeds a size limit.
    """


class DecodeError(CodecError):
    """The received bytes are not a valid message."""


class RegistrationError(CodecError):
    """A data class cannot be registered: its name is taken or a field type is unsupported."""


class RefusalReason(StrEnum):
    """Why a link or frame was rejected; value of the ``reason`` label of the refusal counter."""

    WRONG_SUBPROTOCOL = "wrong_subprotocol"
    TOO_MANY_HANDSHAKES = "too_many_handshakes"
    """An unauthenticated connection yielded to a newer one."""
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
    """The handshake of a link or the verification of a frame failed."""

    def __init__(self, reason: RefusalReason) -> None:
        """Store the reason, which the refusal counter reports."""
        super().__init__(f"peer refused: {reason}")
        self.reason = reason


class NotSentError(PeerError):
    """No link was available, so the other VM received nothing and the request did not run."""


class LinkLostError(PeerError):
    """The link closed after the request was sent; whether the request ran is unknown."""


class RequestTimeoutError(PeerError):
    """No response arrived in time; whether the request ran is unknown."""


class RequestFailedError(PeerError):
    """The other VM has no handler for the request, or the handler failed."""
