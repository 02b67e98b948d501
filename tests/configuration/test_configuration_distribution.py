"""Encoding and deltas of configurations, merging by revision, and edits of keys."""

import json
import random
import zlib
from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import KeyId, OrganisationId
from mangosaddle.configuration import (
    BaseMismatchError,
    Configuration,
    ConfigurationError,
    DecodeError,
    Delta,
    DigestError,
    Key,
    KeyExistsError,
    SchemaVersionError,
    TooLargeError,
    UnknownKeyError,
    UnknownOrganisationError,
    content_digest,
    decode_configuration,
    encode_configuration,
    merge_delta,
    newer_configuration,
    parse_edit,
    with_digest,
    with_key_granted,
    with_key_withdrawn,
)
from mangosaddle.configuration._admin import configuration_body
from mangosaddle.configuration._content import full_digest
from mangosaddle.configuration._key_edits import WITHDRAWN_KEY_RETENTION_S
from mangosaddle.measure.configuration import FleetSize, edited, synthetic_configuration

SIZE = FleetSize(12, 20, 8, 2, regions=3, zones=6, active_keys=9, withdrawn_keys=3)
BASE = synthetic_configuration(SIZE, seed=7)
ENCODED = encode_configuration(BASE, "nonce-1")
KEY = Key(KeyId("k1"), OrganisationId("organisation-1"), "ab" * 32)


def next_revision(configuration: Configuration, rng: random.Random) -> Configuration:
    """Return the next revision, with changed rates and with items added and removed."""
    result = edited(configuration, rng)
    endpoints = dict(result.endpoints_by_id)
    if endpoints and rng.random() < 0.5:
        del endpoints[rng.choice(sorted(endpoints))]
    if rng.random() < 0.5:
        donor = synthetic_configuration(SIZE, rng.randrange(99))
        endpoints.update({e.id: e for e in list(donor.endpoints_by_id.values())[:3]})
    keys = dict(result.keys_by_id)
    keys.pop(rng.choice(sorted(keys)), None)
    return replace(result, endpoints_by_id=endpoints, keys_by_id=keys or BASE.keys_by_id)


def test_encoding_round_trip_preserves_the_configuration() -> None:
    """A field lost in encoding would silently change the configuration of the fleet."""
    stored = decode_configuration(ENCODED, BASE.revision)
    assert (stored.configuration, stored.nonce) == (BASE, "nonce-1")
    assert stored.configuration.digest == full_digest(BASE)
    assert encode_configuration(replace(BASE, digest=b""), "nonce-1") == ENCODED


def stored_document(**fields: object) -> bytes:
    """Return the stored document with some fields replaced."""
    content = {**json.loads(zlib.decompress(ENCODED)), **fields}
    return zlib.compress(json.dumps(content).encode())


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"", DecodeError),
        (ENCODED[:-3], DecodeError),
        (ENCODED + b"x", DecodeError),
        (zlib.compress(b"[1, 2"), DecodeError),
        (zlib.compress(b"{}"), DecodeError),
        (stored_document(surprise=1), DecodeError),
        (stored_document(vms={"a": {"id": "b"}}), DecodeError),
        (stored_document(schema_version=2), SchemaVersionError),
        (stored_document(digest="zz"), DecodeError),
        (zlib.compress(b" " * 40_000_000), TooLargeError),
    ],
)
def test_corrupt_documents_raise_typed_errors(data: bytes, error: type[Exception]) -> None:
    """A corrupt or huge value must neither crash a VM nor exhaust its memory."""
    with pytest.raises(error):
        decode_configuration(data, 1)


def test_item_whose_id_differs_from_its_key_is_rejected() -> None:
    """An item stored under a wrong key would be looked up by one id and act as another."""
    content = json.loads(zlib.decompress(ENCODED))
    keys = list(content["keys"])
    content["keys"][keys[0]] = content["keys"][keys[1]]
    with pytest.raises(DecodeError, match="differs from its key"):
        decode_configuration(zlib.compress(json.dumps(content).encode()), 1)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    noise=st.binary(max_size=200),
    position=st.integers(0, len(ENCODED) - 1),
    plain=st.booleans(),
)
def test_decoders_raise_no_other_exceptions(noise: bytes, position: int, plain: bool) -> None:
    """Arbitrary bytes from the store or a peer give a result or a `DecodeError`."""
    text = zlib.decompress(ENCODED)
    cut = text[:position] + noise + text[position + len(noise) :]
    for data in (noise, zlib.compress(noise), zlib.compress(cut), ENCODED[:position] + noise):
        try:
            Delta.from_bytes(data) if plain else decode_configuration(data, 1)
        except DecodeError:
            continue


@settings(derandomize=True, deadline=None, max_examples=60)
@given(seed=st.integers(0, 10_000), data=st.data())
def test_replicas_converge_to_the_newest_revision(seed: int, data: st.DataObject) -> None:
    """A delta or document that arrives late, twice or out of order must not revert a VM."""
    rng = random.Random(seed)
    history = [BASE]
    for _ in range(5):
        history.append(with_digest(next_revision(history[-1], rng)))
    deltas = [
        Delta.from_bytes(Delta.between(base, result).to_bytes())
        for base, result in pairwise(history)
    ]
    messages: list[Delta | Configuration] = [*deltas, *history]
    order = data.draw(st.lists(st.sampled_from(range(len(messages))), max_size=30))
    current = BASE
    for index in order:
        message, before = messages[index], current.revision
        if isinstance(message, Configuration):
            current = newer_configuration(current, message)
        else:
            try:
                current = merge_delta(current, message)
            except BaseMismatchError:
                # A VM that has missed a revision fetches the whole document.
                current = newer_configuration(current, rng.choice(history))
        assert current.revision >= before
        assert current == history[current.revision - BASE.revision]
        assert current.digest == full_digest(current)
    assert newer_configuration(current, history[-1]) == history[-1]


def test_delta_is_rejected_if_the_base_content_differs() -> None:
    """Without the digest, equal revisions with different content would diverge unnoticed."""
    delta = Delta.between(BASE, edited(BASE, random.Random(1)))
    other = replace(BASE, services_by_name={}, digest=b"")
    with pytest.raises(DigestError):
        delta.apply(other)


def test_withdrawn_key_stays_withdrawn() -> None:
    """P6: neither an edit of the documents nor a grant may reactivate a withdrawn key."""
    granted = with_key_granted(BASE, KEY, now=0)
    withdrawn = with_key_withdrawn(granted, KEY.id, now=5)
    assert with_key_withdrawn(withdrawn, KEY.id, now=6) is withdrawn
    assert withdrawn.keys_by_id[KEY.id].secret_sha256 == ""
    body = configuration_body(granted)
    assert KEY.secret_sha256 not in json.dumps(body)
    request = {name: body[name] for name in ("inventory", "rules")}
    outcome = parse_edit(withdrawn, json.dumps(request).encode(), now=7)
    assert outcome.configuration is not None
    assert outcome.configuration.keys_by_id[KEY.id].withdrawn
    assert outcome.configuration.digest == full_digest(outcome.configuration)
    with pytest.raises(KeyExistsError):
        with_key_granted(withdrawn, KEY, now=8)
    second = replace(KEY, id=KeyId("k2"))
    later = with_key_granted(withdrawn, second, now=5 + WITHDRAWN_KEY_RETENTION_S)
    assert KEY.id not in later.keys_by_id


@pytest.mark.parametrize(
    ("key", "error"),
    [
        (replace(KEY, organisation=OrganisationId("nobody")), UnknownOrganisationError),
        (replace(KEY, id=sorted(BASE.keys_by_id)[0]), KeyExistsError),
    ],
)
def test_invalid_grants_and_withdrawals_are_rejected(
    key: Key, error: type[ConfigurationError]
) -> None:
    """A key of an unknown organisation has no allowance; a reused id would replace a key."""
    with pytest.raises(error):
        with_key_granted(BASE, key, now=0)
    with pytest.raises(UnknownKeyError):
        with_key_withdrawn(BASE, KeyId("none"), now=0)


def test_concurrent_edits_are_not_lost() -> None:
    """P14: with compare-and-swap by revision, every accepted edit builds on the previous one."""
    store = BASE
    accepted: list[KeyId] = []
    editors = [(replace(KEY, id=KeyId(f"race-{n}")), store) for n in range(4)]
    while editors:
        key, seen = editors.pop(0)
        if seen.revision != store.revision:
            editors.append((key, store))
            continue
        store = replace(with_key_granted(seen, key, now=0), revision=store.revision + 1)
        accepted.append(key.id)
    assert set(accepted) <= set(store.keys_by_id)
    assert content_digest(store) == full_digest(store)
