"""Mutual authentication of links and integrity protection of their frames."""

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
"""The HMAC is truncated to 128 bits to keep heartbeats small.

It cannot be guessed during the lifetime of a link.
"""
SEQUENCE_BYTES = 4
MAX_SEQUENCE = 2 ** (8 * SEQUENCE_BYTES) - 1
"""The link is replaced after this many frames, so no sequence number repeats under one key."""

Message = TypeVar("Message")
MAX_STARTED_MS = 2**43
"""Upper bound of a start time (year 2248); versions of VM states reserve 43 bits for it."""


@dataclass(frozen=True, slots=True)
class Hello:
    """First handshake message, sent by the dialling side."""

    fleet: str
    identity: VmIdentity
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Challenge:
    """Second handshake message: nonce and proof of the accepting side."""

    identity: VmIdentity
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Proof:
    """Third handshake message: proof of the dialling side."""

    proof: bytes


register("hello", Hello)
register("challenge", Challenge)
register("proof", Proof)


@dataclass(frozen=True, slots=True)
class Credentials:
    """Fleet name, shared secret and identity that a VM authenticates with."""

    fleet: str
    secret: bytes
    identity: VmIdentity


@dataclass(frozen=True, slots=True)
class Session:
    """Result of a handshake: identity of the other side and a key for each direction."""

    peer: VmIdentity
    send_key: bytes
    receive_key: bytes


class FrameSigner:
    """Adds a sequence number and a MAC to outgoing frames."""

    def __init__(self, key: bytes) -> None:
        """Start with sequence number 0."""
        self._key = key
        self._next_sequence = 0

    def sign(self, body: bytes) -> bytes:
        """Return the frame; raises ``LinkRefusedError`` if the sequence numbers are exhausted."""
        if self._next_sequence > MAX_SEQUENCE:
            raise LinkRefusedError(RefusalReason.BAD_SEQUENCE)
        sequence = self._next_sequence.to_bytes(SEQUENCE_BYTES, "big")
        self._next_sequence += 1
        return sequence + _mac(self._key, sequence + body) + body


class FrameVerifier:
    """Verifies that incoming frames are authentic, complete and in order."""

    def __init__(self, key: bytes) -> None:
        """Start with sequence number 0."""
        self._key = key
        self._next_sequence = 0

    def verify(self, frame: bytes) -> bytes:
        """Return the body; raises ``LinkRefusedError`` if forged, replayed or out of order."""
        header_bytes = SEQUENCE_BYTES + MAC_BYTES
        if len(frame) < header_bytes:
            raise LinkRefusedError(RefusalReason.BAD_FRAME)
        sequence, mac, body = (
            frame[:SEQUENCE_BYTES],
            frame[SEQUENCE_BYTES:header_bytes],
            frame[header_bytes:],
        )
        if not hmac.compare_digest(mac, _mac(self._key, sequence + body)):
            raise LinkRefusedError(RefusalReason.BAD_MAC)
        if int.from_bytes(sequence, "big") != self._next_sequence:
            raise LinkRefusedError(RefusalReason.BAD_SEQUENCE)
        self._next_sequence += 1
        return body


class DiallingHandshake:
    """Handshake of the side that dialled."""

    def __init__(self, credentials: Credentials, expected_vm: str) -> None:
        """Start a handshake with a new nonce; the other side must be ``expected_vm``."""
        self._credentials = credentials
        self._expected_vm = expected_vm
        self._nonce = os.urandom(NONCE_BYTES)

    def hello(self) -> bytes:
        """Return the encoded ``Hello``."""
        own = self._credentials
        return CODEC.encode(Hello(own.fleet, own.identity, self._nonce))

    def answer_challenge(self, received: bytes) -> tuple[bytes, Session]:
        """Verify the challenge and return the encoded ``Proof``; raises ``LinkRefusedError``."""
        challenge = _decode(received, Challenge)
        own = self._credentials
        if challenge.identity.vm != self._expected_vm:
            raise LinkRefusedError(RefusalReason.UNEXPECTED_VM)
        _check_started_ms(challenge.identity)
        transcript = _transcript(
            own.fleet, own.identity, challenge.identity, self._nonce + challenge.nonce
        )
        _verify_proof(challenge.proof, own.secret, b"accept", transcript)
        proof = CODEC.encode(Proof(_hmac(own.secret, b"dial" + transcript)))
        send_key = _hmac(own.secret, b"frames of dialler" + transcript)
        receive_key = _hmac(own.secret, b"frames of acceptor" + transcript)
        return proof, Session(challenge.identity, send_key, receive_key)


class AcceptingHandshake:
    """Handshake of the accepting side."""

    def __init__(self, credentials: Credentials, is_current: Callable[[VmIdentity], bool]) -> None:
        """Start a handshake with a new nonce.

        An outdated incarnation is refused before the dialling side sends its proof; otherwise that
        side could send a request on a link that is about to close.
        """
        self._credentials = credentials
        self._is_current = is_current
        self._nonce = os.urandom(NONCE_BYTES)
        self._hello: Hello | None = None
        self._transcript = b""

    def challenge(self, received: bytes) -> bytes:
        """Verify the hello and return the encoded ``Challenge``; raises ``LinkRefusedError``."""
        hello = _decode(received, Hello)
        own = self._credentials
        if hello.fleet != own.fleet:
            raise LinkRefusedError(RefusalReason.FOREIGN_FLEET)
        if len(hello.nonce) != NONCE_BYTES or hello.identity.vm == own.identity.vm:
            raise LinkRefusedError(RefusalReason.BAD_HANDSHAKE)
        _check_started_ms(hello.identity)
        if not self._is_current(hello.identity):
            raise LinkRefusedError(RefusalReason.STALE_INCARNATION)
        self._hello = hello
        self._transcript = _transcript(
            own.fleet, hello.identity, own.identity, hello.nonce + self._nonce
        )
        proof = _hmac(own.secret, b"accept" + self._transcript)
        return CODEC.encode(Challenge(own.identity, self._nonce, proof))

    def finish(self, received: bytes) -> Session:
        """Verify the proof of the dialling side; raises ``LinkRefusedError``."""
        if self._hello is None:
            raise LinkRefusedError(RefusalReason.BAD_HANDSHAKE)
        secret = self._credentials.secret
        _verify_proof(_decode(received, Proof).proof, secret, b"dial", self._transcript)
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


def _check_started_ms(identity: VmIdentity) -> None:
    if not 0 <= identity.started_ms < MAX_STARTED_MS:
        raise LinkRefusedError(RefusalReason.BAD_HANDSHAKE)


def _verify_proof(proof: bytes, secret: bytes, label: bytes, transcript: bytes) -> None:
    if not hmac.compare_digest(proof, _hmac(secret, label + transcript)):
        raise LinkRefusedError(RefusalReason.WRONG_SECRET)


def _transcript(fleet: str, dialler: VmIdentity, acceptor: VmIdentity, nonces: bytes) -> bytes:
    """Return all values that both sides must agree on, each prefixed with its length."""
    parts = [fleet.encode(), nonces]
    for identity in (dialler, acceptor):
        parts += [identity.vm.encode(), identity.incarnation.encode()]
        parts.append(str(identity.started_ms).encode())
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)


def _hmac(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, "sha256")


def _mac(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, "sha256")[:MAC_BYTES]
