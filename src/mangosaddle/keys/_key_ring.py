"""Verification and withdrawal of callers' keys."""

import hmac
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from returns.result import Failure, Result, Success

from .._identifiers import KeyId, OrganisationId, RequestId
from ..configuration import Configuration, Key
from ._key_text import KeyText, secret_sha256

BEARER_SCHEME = "bearer"
_UNKNOWN_KEY_SHA256 = "0" * 64
"""Digest compared for unknown key ids, so that a refusal takes as long as for a known one."""


@dataclass(frozen=True, slots=True)
class Caller:
    """The caller that a valid key identifies."""

    key_id: KeyId
    organisation: OrganisationId


class KeyRefusal(StrEnum):
    """Reason for refusing the credentials of a request."""

    MISSING = "missing"
    """The request has no credentials."""
    MALFORMED = "malformed"
    """The header does not consist of ``Bearer`` and one key."""
    WRONG = "wrong"
    """The key id is unknown, or the secret does not match it."""
    WITHDRAWN = "withdrawn"
    """The key was valid once, but has been withdrawn."""


class KeyRing:
    """Keys known to one VM.

    Must be used on the event loop's thread, except ``verify``, which may run on any thread. The
    withdrawn set only grows and is kept across configuration changes, so that an older or newer
    document that lacks a withdrawal does not make the key valid again.
    """

    def __init__(self, keys: Iterable[Key] = (), withdrawn: Iterable[KeyId] = ()) -> None:
        """Create a key ring with keys and the ids of withdrawn keys."""
        self._keys_by_id: dict[KeyId, Key] = {}
        self._withdrawn: set[KeyId] = set(withdrawn)
        self._streams_by_key: dict[KeyId, set[RequestId]] = {}
        self._replace_keys(keys)

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> "KeyRing":
        """Create a key ring with the keys of a configuration."""
        return cls(configuration.keys_by_id.values())

    def update(self, configuration: Configuration) -> None:
        """Replace the keys by those of another revision; earlier withdrawals are kept."""
        self._replace_keys(configuration.keys_by_id.values())

    def _replace_keys(self, keys: Iterable[Key]) -> None:
        self._keys_by_id = {key.id: key for key in keys}
        self._withdrawn.update(key.id for key in self._keys_by_id.values() if key.withdrawn)

    def verify(self, authorization_header: str | None) -> Result[Caller, KeyRefusal]:
        """Verify the value of an ``Authorization`` header; compares the secret in constant time."""
        if authorization_header is None or not authorization_header.strip():
            return Failure(KeyRefusal.MISSING)
        presented = parse_authorization(authorization_header)
        if presented is None:
            return Failure(KeyRefusal.MALFORMED)
        key = self._keys_by_id.get(presented.id)
        expected = key.secret_sha256.lower() if key is not None else _UNKNOWN_KEY_SHA256
        matches = hmac.compare_digest(
            secret_sha256(presented.secret).encode(), expected.encode("utf-8", "replace")
        )
        if key is None or not matches:
            return Failure(KeyRefusal.WRONG)
        if self.is_withdrawn(key.id):
            return Failure(KeyRefusal.WITHDRAWN)
        return Success(Caller(key.id, key.organisation))

    def withdraw(self, key_id: KeyId) -> None:
        """Refuse a key from now on; ``streams_of`` returns its open streams."""
        self._withdrawn.add(key_id)

    def merge_withdrawn(self, key_ids: Iterable[KeyId]) -> frozenset[KeyId]:
        """Add withdrawals known to another VM or the store; return the new ones."""
        new = frozenset(key_ids) - self._withdrawn
        self._withdrawn |= new
        return new

    def is_withdrawn(self, key_id: KeyId) -> bool:
        """Return whether a key has ever been withdrawn."""
        return key_id in self._withdrawn

    def withdrawn(self) -> frozenset[KeyId]:
        """Return the ids of all withdrawn keys, for merging at another VM."""
        return frozenset(self._withdrawn)

    def register_stream(self, key_id: KeyId, request_id: RequestId) -> bool:
        """Track an open stream; return False if the key was revoked after its verification.

        The caller must not start the stream if this returns False.
        """
        if self._is_revoked(key_id):
            return False
        self._streams_by_key.setdefault(key_id, set()).add(request_id)
        return True

    def unregister_stream(self, key_id: KeyId, request_id: RequestId) -> None:
        """Stop tracking a stream that has ended; untracked streams are ignored."""
        streams = self._streams_by_key.get(key_id)
        if streams is None:
            return
        streams.discard(request_id)
        if not streams:
            del self._streams_by_key[key_id]

    def streams_of(self, key_id: KeyId) -> frozenset[RequestId]:
        """Return the open streams of a key."""
        return frozenset(self._streams_by_key.get(key_id, ()))

    def streams_to_close(self) -> dict[KeyId, frozenset[RequestId]]:
        """Return the open streams of all withdrawn and removed keys, by key."""
        return {
            key_id: frozenset(streams)
            for key_id, streams in self._streams_by_key.items()
            if self._is_revoked(key_id)
        }

    def _is_revoked(self, key_id: KeyId) -> bool:
        """Return whether a key is withdrawn or absent from the configuration."""
        return key_id in self._withdrawn or key_id not in self._keys_by_id


def parse_authorization(header: str) -> KeyText | None:
    """Parse ``Bearer <key>``; return ``None`` if the header has another form."""
    scheme, separator, credentials = header.strip(" \t").partition(" ")
    if not separator or scheme.lower() != BEARER_SCHEME:
        return None
    return KeyText.parse(credentials.strip(" \t"))
