"""Tests of the codec for messages between VMs."""

from dataclasses import dataclass, fields

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import Incarnation, OrganisationId, RequestId, VmId
from mangosaddle.membership import Fact
from mangosaddle.peers import (
    CODEC,
    Codec,
    DecodeError,
    EncodeError,
    ForwardRequest,
    RegistrationError,
)
from mangosaddle.peers._authentication import FrameSigner
from mangosaddle.peers._codec import MAX_MESSAGE_BYTES
from mangosaddle.peers._messages import FactUpdate, Heartbeat


@dataclass(frozen=True, slots=True)
class Inner:
    """Data class used as a nested field."""

    name: VmId
    weight: float


@dataclass(frozen=True, slots=True)
class Sample:
    """Data class with a field of each supported type."""

    text: str
    number: int
    ratio: float
    flag: bool
    data: bytes
    inner: Inner
    items: tuple[Inner, ...]
    maybe: int | None
    nested: tuple[tuple[str, ...], ...]


def codec() -> Codec:
    """Return a codec with ``Sample`` registered."""
    result = Codec()
    result.register("sample", Sample)
    return result


TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
INNERS = st.builds(Inner, TEXT.map(VmId), st.floats(allow_nan=False))
SAMPLES = st.builds(
    Sample,
    text=TEXT,
    number=st.integers(-(2**64) + 1, 2**64 - 1),
    ratio=st.floats(allow_nan=False),
    flag=st.booleans(),
    data=st.binary(max_size=50),
    inner=INNERS,
    items=st.lists(INNERS, max_size=3).map(tuple),
    maybe=st.none() | st.integers(-100, 100),
    nested=st.lists(st.lists(TEXT, max_size=2).map(tuple), max_size=2).map(tuple),
)
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.binary(max_size=9) | TEXT,
    lambda children: st.lists(children, max_size=10) | st.dictionaries(TEXT, children, max_size=4),
    max_leaves=20,
)
NAMES = sorted(CODEC._types_by_name)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(SAMPLES)
def test_messages_round_trip_unchanged(sample: Sample) -> None:
    """Guards against fields whose value or type changes between encoding and decoding."""
    assert codec().decode(codec().encode(sample)) == sample


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.binary(max_size=200)
    | PLAIN.map(cbor2.dumps)
    | st.tuples(st.sampled_from(NAMES), st.lists(PLAIN, max_size=10)).map(
        lambda pair: cbor2.dumps([pair[0], *pair[1]])
    )
)
def test_arbitrary_bytes_raise_only_decode_errors(received: bytes) -> None:
    """Guards against received bytes that end the task of the link with another exception."""
    try:
        message = CODEC.decode(received)
    except DecodeError:
        return
    CODEC.encode(message)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(SAMPLES, st.integers(0, 10_000), st.integers(0, 255), st.booleans())
def test_corrupted_messages_raise_only_decode_errors(
    sample: Sample, index: int, value: int, shorten: bool
) -> None:
    """Guards against corrupted messages that end the task of the link."""
    damaged = bytearray(codec().encode(sample))
    damaged[index % len(damaged)] = value
    if shorten:
        del damaged[index % len(damaged) :]
    try:
        codec().decode(bytes(damaged))
    except DecodeError:
        return


@pytest.mark.parametrize(
    "received",
    [
        cbor2.dumps(["hb", 1, False, True]),
        cbor2.dumps(["hb", 1, False, True, b"", "unknown field"]),
        cbor2.dumps(["hb", True, False, True, b""]),
        cbor2.dumps(["hb", 1.0, False, True, b""]),
        cbor2.dumps(["hb", 2**64, False, True, b""]),
        cbor2.dumps(["hb", 1, False, True, "text"]),
        cbor2.dumps(["unregistered"]),
        cbor2.dumps(["hb", 1, False, True, b""]) + b"\x00",
        b"\x9f" * 100_000,
        b"\x9b" + b"\x7f" * 8,
        b"\xc4\x82\x1b\x7f\xff\xff\xff\xff\xff\xff\xff\x01",
        bytes(MAX_MESSAGE_BYTES + 1),
    ],
)
def test_invalid_messages_are_rejected(received: bytes) -> None:
    """Guards against accepting fields that are missing, surplus, mistyped or too large."""
    with pytest.raises(DecodeError):
        CODEC.decode(received)


@pytest.mark.parametrize(
    "message",
    [
        "no data class",
        Inner(VmId("x"), 1.0),
        Heartbeat(True, False, True, b""),
        Heartbeat(1, False, True, "text"),  # type: ignore[arg-type]
        Heartbeat(2**64, False, True, b""),
        FactUpdate([]),  # type: ignore[arg-type]
        Heartbeat(1, False, True, bytes(MAX_MESSAGE_BYTES)),
        FactUpdate((Fact("k", "\ud800", VmId("v"), Incarnation("i"), 1, 1),)),
    ],
)
def test_invalid_fields_are_rejected_before_sending(message: object) -> None:
    """Guards against sending messages that the receiver rejects."""
    with pytest.raises(EncodeError):
        CODEC.encode(message)


@dataclass
class Mutable:
    """Data class that is not frozen, which the codec must reject."""

    text: str


@dataclass(frozen=True)
class Unsupported:
    """Data class with a field of an unsupported type."""

    by_id: dict[str, str]


@pytest.mark.parametrize("message_type", [Mutable, Unsupported, str, Sample])
def test_unsupported_types_are_rejected_at_registration(message_type: type) -> None:
    """Guards against message types whose fault only shows when a message is encoded."""
    known = codec()
    known.register("sample", Sample)
    with pytest.raises(RegistrationError):
        known.register("other", message_type)


def test_heartbeat_frame_has_at_most_64_bytes() -> None:
    """Guards against heartbeats that exceed the budget for control traffic of 3 KB/s.

    With 29 neighbours and a heartbeat in each direction every 2 s, the budget allows 103 B per
    frame; frames of 64 B leave a third of it for facts.
    """
    frame = FrameSigner(b"key").sign(CODEC.encode(Heartbeat(2**20, True, True, bytes(8))))
    assert len(frame) <= 64


def test_forward_request_cannot_carry_the_key_of_the_caller() -> None:
    """Guards against fields that could send headers or the key of the caller to another VM."""
    names = {field.name for field in fields(ForwardRequest)}
    assert not {"headers", "key", "authorization", "credentials"} & names
    request = ForwardRequest(
        "POST", "/v1", "text/plain", b"body", OrganisationId("o"), "patient", RequestId("r")
    )
    with pytest.raises((AttributeError, TypeError)):
        request.headers = {}  # type: ignore[attr-defined]
