"""Mutual authentication of a link and protection of its frames."""

import hmac
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from ..membership import VmIdentity
from ._codec import CODEC, register
from ._exceptions import DecodeError, LinkRefusedError, RefusalReason

SUBPROTOCOL = "mangosaddle.v1"
NONCE_BYTES = 16
MAC_BYTES = 16
"""A truncated HMAC of 128 bits keeps heartbeats small and cannot be guessed on a live link."""
SEQUENCE_BYTES = 4
MAX_SEQUENCE = 2 ** (8 * SEQUENCE_BYTES) - 1
"""The link is renewed after as many frames, so that a number never repeats under one key."""

Message = TypeVar("Message")
MAX_STARTED_MS = 2**43
"""Bound of a start time, in the year 2248: versions of VM states have room for 43 bits."""


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the dialling side."""

    fleet: str
    identity: VmIdentity
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Challenge:
    """Answer of the accepting side with its proof."""

    identity: VmIdentity
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Proof:
    """Proof of the dialling side."""

    proof: bytes


register("hello", Hello)
register("challenge", Challenge)
register("proof", Proof)


@dataclass(frozen=True, slots=True)
class Credentials:
    """What a VM authenticates with."""

    fleet: str
    secret: bytes
    identity: VmIdentity


@dataclass(frozen=True, slots=True)
class Session:
    """Authenticated link: the other side and the keys of both directions."""

    peer: VmIdentity
    send_key: bytes
    receive_key: bytes


class FrameSealer:
    """Numbers and signs outgoing frames."""

    def __init__(self, key: bytes) -> None:
        """Create the sealer of a new link."""
        self._key = key
        self._next = 0

    def seal(self, body: bytes) -> bytes:
        """Return the frame; raises ``LinkRefusedError`` when the sequence numbers are used up."""
        if self._next > MAX_SEQUENCE:
            raise LinkRefusedError(RefusalReason.BAD_SEQUENCE)
        sequence = self._next.to_bytes(SEQUENCE_BYTES, "big")
        self._next += 1
        return sequence + _mac(self._key, sequence + body) + body


class FrameOpener:
    """Verifies incoming frames: each number exactly once and in order."""

    def __init__(self, key: bytes) -> None:
        """Create the opener of a new link."""
        self._key = key
        self._next = 0

    def open(self, frame: bytes) -> bytes:
        """Return the body; raises ``LinkRefusedError`` for a forged, repeated or moved frame."""
        start = SEQUENCE_BYTES + MAC_BYTES
        if len(frame) < start:
            raise LinkRefusedError(RefusalReason.BAD_FRAME)
        sequence, mac, body = frame[:SEQUENCE_BYTES], frame[SEQUENCE_BYTES:start], frame[start:]
        if not hmac.compare_digest(mac, _mac(self._key, sequence + body)):
            raise LinkRefusedError(RefusalReason.BAD_MAC)
        if int.from_bytes(sequence, "big") != self._next:
            raise LinkRefusedError(RefusalReason.BAD_SEQUENCE)
        self._next += 1
        return body


class DiallingHandshake:
    """Handshake of the side that opened the connection."""

    def __init__(self, credentials: Credentials, expected_vm: str) -> None:
        """Prepare the handshake with a fresh nonce."""
        self._credentials = credentials
        self._expected_vm = expected_vm
        self._nonce = os.urandom(NONCE_BYTES)

    def hello(self) -> bytes:
        """Return the first message."""
        own = self._credentials
        return CODEC.encode(Hello(own.fleet, own.identity, self._nonce))

    def answer(self, received: bytes) -> tuple[bytes, Session]:
        """Verify the challenge and return the proof; raises ``LinkRefusedError``."""
        challenge = _decode(received, Challenge)
        own = self._credentials
        if challenge.identity.vm != self._expected_vm:
            raise LinkRefusedError(RefusalReason.UNEXPECTED_VM)
        _check_start(challenge.identity)
        transcript = _transcript(
            own.fleet, own.identity, challenge.identity, self._nonce + challenge.nonce
        )
        _verify(challenge.proof, own.secret, b"accept", transcript)
        proof = CODEC.encode(Proof(_hmac(own.secret, b"dial" + transcript)))
        send_key = _hmac(own.secret, b"frames of dialler" + transcript)
        receive_key = _hmac(own.secret, b"frames of acceptor" + transcript)
        return proof, Session(challenge.identity, send_key, receive_key)


class AcceptingHandshake:
    """Handshake of the side that accepted the connection."""

    def __init__(self, credentials: Credentials, is_current: Callable[[VmIdentity], bool]) -> None:
        """Prepare the handshake with a fresh nonce.

        An incarnation that is not current is refused before the proof, so that the dialling side
        does not send a request on a link that is about to close.
        """
        self._credentials = credentials
        self._is_current = is_current
        self._nonce = os.urandom(NONCE_BYTES)
        self._hello: Hello | None = None
        self._transcript = b""

    def challenge(self, received: bytes) -> bytes:
        """Read the hello and return the challenge; raises ``LinkRefusedError``."""
        hello = _decode(received, Hello)
        own = self._credentials
        if hello.fleet != own.fleet:
            raise LinkRefusedError(RefusalReason.FOREIGN_FLEET)
        if len(hello.nonce) != NONCE_BYTES or hello.identity.vm == own.identity.vm:
            raise LinkRefusedError(RefusalReason.BAD_HANDSHAKE)
        _check_start(hello.identity)
        if not self._is_current(hello.identity):
            raise LinkRefusedError(RefusalReason.STALE_INCARNATION)
        self._hello = hello
        self._transcript = _transcript(
            own.fleet, hello.identity, own.identity, hello.nonce + self._nonce
        )
        proof = _hmac(own.secret, b"accept" + self._transcript)
        return CODEC.encode(Challenge(own.identity, self._nonce, proof))

    def finish(self, received: bytes) -> Session:
        """Verify the dialler's proof; raises ``LinkRefusedError``."""
        if self._hello is None:
            raise LinkRefusedError(RefusalReason.BAD_HANDSHAKE)
        secret = self._credentials.secret
        _verify(_decode(received, Proof).proof, secret, b"dial", self._transcript)
        send_key = _hmac(secret, b"frames of acceptor" + self._transcript)
        receive_key = _hmac(secret, b"frames of dialler" + self._transcript)
        return Session(self._hello.identity, send_key, receive_key)


def _decode(received: bytes, expected: type[Message]) -> Message:
    try:
        message = CODEC.decode(received)
    except DecodeError as error:
        raise LinkRefusedError(RefusalReason.BAD_HANDSHAKE) from error
    if not isinstance(message, expected):
        raise LinkRefusedError(RefusalReason.BAD_HANDSHAKE)
    return message


def _check_start(identity: VmIdentity) -> None:
    if not 0 <= identity.started_ms < MAX_STARTED_MS:
        raise LinkRefusedError(RefusalReason.BAD_HANDSHAKE)


def _verify(proof: bytes, secret: bytes, label: bytes, transcript: bytes) -> None:
    if not hmac.compare_digest(proof, _hmac(secret, label + transcript)):
        raise LinkRefusedError(RefusalReason.WRONG_SECRET)


def _transcript(fleet: str, dialler: VmIdentity, acceptor: VmIdentity, nonces: bytes) -> bytes:
    """Return everything both sides have to agree on; lengths keep fields apart."""
    parts = [fleet.encode(), nonces]
    for identity in (dialler, acceptor):
        parts += [identity.vm.encode(), identity.incarnation.encode()]
        parts.append(str(identity.started_ms).encode())
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def _hmac(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, "sha256")


def _mac(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, "sha256")[:MAC_BYTES]
