"""Granting and withdrawal of callers' keys."""

from dataclasses import replace

from .._entities import Configuration, Key
from .._identifiers import KeyId
from ._delta import Delta
from ._exceptions import KeyExistsError, UnknownKeyError, UnknownOrganisationError

WITHDRAWN_KEY_RETENTION_S = 86_400
"""Time for which a withdrawn key stays in the configuration, in seconds. Afterwards its id is
unknown and therefore rejected as well. Without this limit, withdrawn keys would fill the document,
whose size the store limits."""


def with_key_granted(configuration: Configuration, key: Key, now: float) -> Configuration:
    """Return the configuration with a new key; the store assigns its revision.

    `now` is the wall-clock time in seconds since the epoch. Raises `UnknownOrganisationError`, or
    `KeyExistsError` if the id is in use, so that a grant cannot reactivate a withdrawn key.
    """
    if key.organisation not in configuration.organisations_by_id:
        raise UnknownOrganisationError(f"unknown organisation {key.organisation!r}")
    if key.id in configuration.keys_by_id:
        raise KeyExistsError(f"key id {key.id!r} is already in use")
    return _with_key(configuration, replace(key, withdrawn=False, withdrawn_at_s=None), now)


def with_key_withdrawn(configuration: Configuration, key_id: KeyId, now: float) -> Configuration:
    """Return the configuration with a key withdrawn; unchanged if it already is.

    `now` is the wall-clock time in seconds since the epoch. The hash of the secret is cleared,
    since a withdrawn key is rejected by its id. Raises `UnknownKeyError`.
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
        key_id: existing
        for key_id, existing in configuration.keys_by_id.items()
        if not existing.withdrawn
        or now - (existing.withdrawn_at_s or 0) < WITHDRAWN_KEY_RETENTION_S
    }
    keys_by_id[key.id] = key
    edited = replace(configuration, keys_by_id=keys_by_id, digest=b"")
    return replace(edited, digest=Delta.between(configuration, edited).digest)
