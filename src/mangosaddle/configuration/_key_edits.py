"""Edits of the keys in the stored document."""

from dataclasses import replace

from .._entities import Configuration, Key
from .._identifiers import KeyId
from ._delta import Delta
from ._exceptions import KeyExistsError, UnknownKeyError, UnknownOrganisationError

WITHDRAWN_KEPT_S = 86_400
"""Time for which a withdrawn key is listed. After it the id is unknown, which is refused as well:
withdrawals would otherwise fill the document, whose size the store limits."""


def with_key_granted(configuration: Configuration, key: Key, now: float) -> Configuration:
    """Return the configuration with a new key; the revision is the store's to give.

    `now` is the wall-clock time in seconds since the epoch. Raises `UnknownOrganisationError`, and
    `KeyExistsError` when the id is taken: no grant can bring a withdrawn key back.
    """
    if key.organisation not in configuration.organisations_by_id:
        raise UnknownOrganisationError(f"unknown organisation {key.organisation!r}")
    if key.id in configuration.keys_by_id:
        raise KeyExistsError(f"key id {key.id!r} is taken")
    return _with_key(configuration, replace(key, withdrawn=False, withdrawn_at_s=None), now)


def with_key_withdrawn(configuration: Configuration, key_id: KeyId, now: float) -> Configuration:
    """Return the configuration with a key withdrawn; a repeat changes nothing.

    `now` is the wall-clock time in seconds since the epoch. The digest of the secret is dropped:
    a withdrawn key is refused by its id. Raises `UnknownKeyError`.
    """
    key = configuration.keys_by_id.get(key_id)
    if key is None:
        raise UnknownKeyError(f"unknown key id {key_id!r}")
    if key.withdrawn:
        return configuration
    withdrawn = replace(key, withdrawn=True, withdrawn_at_s=int(now), secret_sha256="")
    return _with_key(configuration, withdrawn, now)


def _with_key(configuration: Configuration, key: Key, now: float) -> Configuration:
    keys_by_id = {
        key_id: kept
        for key_id, kept in configuration.keys_by_id.items()
        if not kept.withdrawn or now - (kept.withdrawn_at_s or 0) < WITHDRAWN_KEPT_S
    }
    keys_by_id[key.id] = key
    edited = replace(configuration, keys_by_id=keys_by_id, digest=b"")
    return replace(edited, digest=Delta.between(configuration, edited).digest)
