"""Canonical JSON of documents that are encoded entry by entry."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle.configuration._content import canonical_json, iter_canonical_json

LEAVES = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text()
VALUES = st.recursive(
    LEAVES, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner), max_leaves=20
)


@given(VALUES, st.integers(0, 4))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_encoding_in_parts_matches_encoding_in_one_call(value: object, depth: int) -> None:
    """Guards against two JSON texts, and so two digests, for the same document."""
    expected = json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
    assert b"".join(iter_canonical_json(value, depth)) == expected
    assert canonical_json(value) == expected
