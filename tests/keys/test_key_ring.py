"""API keys: parsing, verification, withdrawal and redaction."""

import re
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from mangosaddle._identifiers import KeyId, OrganisationId, RequestId
from mangosaddle.configuration import Configuration
from mangosaddle.keys import Caller, KeyRefusal, KeyRing, KeyText, parse_authorization, redact

KEY = KeyText(KeyId("k1"), "s" * 43)
OTHER = KeyText(KeyId("k2"), "t" * 43)
RECORD = KEY.to_key(OrganisationId("o"))
CONFIGURATION = Configuration(
    1, keys_by_id={KEY.id: RECORD, OTHER.id: OTHER.to_key(OrganisationId("p"))}
)
CALLER = Caller(KEY.id, OrganisationId("o"))


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        (f"Bearer {KEY.reveal()}", Success(CALLER)),
        (f"  bearer   {KEY.reveal()} ", Success(CALLER)),
        (None, Failure(KeyRefusal.MISSING)),
        (" ", Failure(KeyRefusal.MISSING)),
        (KEY.reveal(), Failure(KeyRefusal.MALFORMED)),
        ("Bearer", Failure(KeyRefusal.MALFORMED)),
        (f"Basic {KEY.reveal()}", Failure(KeyRefusal.MALFORMED)),
        (f"Bearer {KEY.reveal()}, Bearer {KEY.reveal()}", Failure(KeyRefusal.MALFORMED)),
        (f"Bearer {KEY.reveal()}\n", Failure(KeyRefusal.MALFORMED)),
        (f"Bearer msk_k1_{'ſ' * 43}", Failure(KeyRefusal.MALFORMED)),
        (f"Bearer msk_k1_{'t' * 43}", Failure(KeyRefusal.WRONG)),
        (f"Bearer msk_k3_{'s' * 43}", Failure(KeyRefusal.WRONG)),
        (f"Bearer msk_k1_{RECORD.secret_sha256}", Failure(KeyRefusal.WRONG)),
    ],
)
def test_authorization_header_is_verified(header: str | None, expected: object) -> None:
    """Guards against accepting anything but the correct secret of a known key."""
    assert KeyRing.from_configuration(CONFIGURATION).verify(header) == expected


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.text(max_size=300), st.sampled_from(["", "Bearer ", "bearer msk_", "Bearer msk_k1_"]))
@example("s" * 42, "Bearer msk_k1_")
@example("s" * 43 + "\u2028", "Bearer msk_k1_")
@example("\ud800", "Bearer ")
def test_arbitrary_header_is_refused_without_an_exception(text: str, prefix: str) -> None:
    """Guards against exceptions and false acceptance; headers are untrusted input."""
    header = prefix + text
    result = KeyRing.from_configuration(CONFIGURATION).verify(header)
    if header.strip(" \t") != f"Bearer {KEY.reveal()}":
        assert not isinstance(result, Success)


@settings(derandomize=True, deadline=None, max_examples=120)
@given(st.text(max_size=280))
@example("msk_a_" + "b" * 16)
def test_parser_matches_a_reference_parser(text: str) -> None:
    """Guards against a parser that accepts more or less than the documented form."""
    parts = text.split("_", 2)
    expected_valid = (
        len(parts) == 3
        and parts[0] == "msk"
        and re.fullmatch(r"[A-Za-z0-9-]{1,64}", parts[1]) is not None
        and 16 <= len(parts[2]) <= 180
        and all(c.isascii() and (c.isalnum() or c in "_-") for c in parts[2])
    )
    parsed = parse_authorization(f"Bearer {text}")
    assert (parsed is not None) is (expected_valid and text == text.strip())


def test_generated_keys_are_unique_and_valid() -> None:
    """Guards against duplicate keys and against a secret in the stored record or in ``repr``."""
    keys = [KeyText.generate() for _ in range(50)]
    assert len({key.secret for key in keys} | {str(key.id) for key in keys}) == 100
    record = keys[0].to_key(OrganisationId("o"))
    assert keys[0].secret not in repr(record) + repr(keys[0])
    header = f"Bearer {keys[0].reveal()}"
    assert KeyRing([record]).verify(header) == Success(Caller(record.id, record.organisation))


IDS = st.sampled_from([KeyId("k1"), KeyId("k2"), KeyId("k3")])
OPERATIONS = st.one_of(
    st.tuples(st.just("withdraw"), st.sets(IDS, max_size=1)),
    st.tuples(st.just("merge"), st.sets(IDS)),
    st.tuples(st.just("update"), st.sets(IDS)),
)


@settings(derandomize=True, deadline=None, max_examples=120)
@given(st.lists(OPERATIONS, max_size=12))
def test_withdrawal_is_never_undone(operations: list[tuple[str, set[KeyId]]]) -> None:
    """Guards against restoring a withdrawn key by an update or merge without the withdrawal."""
    ring, expected = KeyRing.from_configuration(CONFIGURATION), set[KeyId]()
    for operation, ids in operations:
        if operation == "update":
            keys = {
                key.id: replace(key, withdrawn=key.id in ids)
                for key in CONFIGURATION.keys_by_id.values()
            }
            ring.update(replace(CONFIGURATION, keys_by_id=keys))
            expected |= ids & set(keys)
        elif operation == "merge":
            assert ring.merge_withdrawn(ids) == ids - expected
            expected |= ids
        else:
            for key_id in ids:
                ring.withdraw(key_id)
            expected |= ids
        assert ring.withdrawn() == expected
        verified = ring.verify(f"Bearer {KEY.reveal()}")
        withdrawn = KEY.id in expected
        assert verified == (Failure(KeyRefusal.WITHDRAWN) if withdrawn else Success(CALLER))


def test_open_streams_of_a_withdrawn_key_are_listed() -> None:
    """Guards against missing a stream that starts at the same time as the withdrawal."""
    ring = KeyRing.from_configuration(CONFIGURATION)
    first, second = RequestId("r1"), RequestId("r2")
    assert ring.register_stream(KEY.id, first)
    assert ring.register_stream(KEY.id, second)
    assert ring.register_stream(OTHER.id, RequestId("r3"))
    ring.unregister_stream(KEY.id, second)
    ring.unregister_stream(KeyId("nobody"), second)
    ring.withdraw(KEY.id)
    assert not ring.register_stream(KEY.id, second)
    assert ring.streams_of(KEY.id) == {first}
    assert ring.streams_to_close() == {KEY.id: {first}}
    ring.unregister_stream(KEY.id, first)
    assert ring.streams_to_close() == {}
    ring.update(Configuration(2))
    assert ring.streams_to_close() == {OTHER.id: {RequestId("r3")}}


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.text(alphabet="ab =:'\"{}<>/\n", max_size=20), st.text(alphabet=" '\",;\n}", max_size=3))
@pytest.mark.parametrize("form", ["{key}", "Authorization: Bearer {key}", "key={key}"])
def test_redaction_removes_every_secret(form: str, before: str, after: str) -> None:
    """Guards against a secret in a log line, wherever the key occurs."""
    line = redact(before + form.format(key=KEY.reveal()) + after)
    assert KEY.secret not in line
    assert redact(line) == line


def test_redaction_keeps_other_text() -> None:
    """Guards against removing text that operators need, in particular the key id."""
    assert redact("request 7 of addis-1") == "request 7 of addis-1"
    assert redact(f"refused {KEY.reveal()}.") == "refused msk_k1_[redacted]"
    assert redact("Bearer abc.def, next") == "Bearer [redacted], next"
