"""Encode a configuration for the store and decode it again."""

from dataclasses import dataclass
from typing import Any, Literal

from pydantic import Field, ValidationError

from .._entities import Configuration
from ._content import (
    COLLECTIONS,
    DIGEST_BYTES,
    SCHEMA_VERSION,
    ContentModel,
    compress,
    content_digest,
    decode_error,
    decompress,
    items_of,
    to_json,
)

MAX_ENCODED_BYTES = 1_000_000
"""Largest value of the store."""

MAX_DECODED_BYTES = 32 * 1024 * 1024
"""Bound of decompression: ten times the text at the target scale of 10,000 endpoints."""


class _StoredModel(ContentModel):
    """The document in the store."""

    schema_version: Literal[1]
    nonce: str
    digest: str = Field(pattern=rf"^[0-9a-f]{{{2 * DIGEST_BYTES}}}$")


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A decoded value of the store."""

    configuration: Configuration
    nonce: str
    """Written by the editor: after a lost answer it shows whose write took effect."""


def encode_configuration(configuration: Configuration, nonce: str) -> bytes:
    """Return the value for the store; raises `TooLargeError` above `MAX_ENCODED_BYTES`.

    The revision is left out: it is the modify index that the store gives to the value.
    """
    document: dict[str, Any] = {
        collection.name: {
            key: to_json(item) for key, item in items_of(configuration, collection).items()
        }
        for collection in COLLECTIONS
    }
    document["schema_version"] = SCHEMA_VERSION
    document["nonce"] = nonce
    document["digest"] = content_digest(configuration).hex()
    return compress(document, MAX_ENCODED_BYTES)


def decode_configuration(data: bytes, revision: int) -> StoredConfiguration:
    """Return a value of the store, whose modify index is the revision.

    The stored digest is taken over: zlib's checksum reveals damage, and hashing every entry again
    takes longer than the rest. Raises `DecodeError` (`TooLargeError`, `SchemaVersionError`).
    """
    text = decompress(data, MAX_DECODED_BYTES)
    try:
        stored = _StoredModel.model_validate_json(text, strict=True)
    except ValidationError as error:
        raise decode_error(text, error) from error
    content: dict[str, Any] = {
        collection.field: stored.items_of(collection) for collection in COLLECTIONS
    }
    digest = bytes.fromhex(stored.digest)
    configuration = Configuration(revision=revision, digest=digest, **content)
    return StoredConfiguration(configuration, stored.nonce)


def newer(current: Configuration | None, candidate: Configuration) -> Configuration:
    """Return the configuration with the higher revision; at equal revisions the current one."""
    if current is None or candidate.revision > current.revision:
        return candidate
    return current
