"""Encoding of a configuration as a value of the store."""

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
    decompress,
    items_of,
    to_decode_error,
    to_json,
)

MAX_ENCODED_BYTES = 1_000_000
"""Maximum size of a value in the store."""

MAX_DECODED_BYTES = 32 * 1024 * 1024
"""Limit of decompression: ten times the text at the target scale of 10,000 endpoints."""


class _StoredModel(ContentModel):
    """Model that validates the stored document."""

    schema_version: Literal[1]
    nonce: str
    epoch: int = Field(default=0, ge=0)
    digest: str = Field(pattern=rf"^[0-9a-f]{{{2 * DIGEST_BYTES}}}$")


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A configuration as read from the store."""

    configuration: Configuration
    nonce: str
    """Chosen by the writer, which can so tell whether a write without a response took effect."""
    epoch: int
    """Epoch of the store in which the value was written."""


def encode_configuration(configuration: Configuration, nonce: str, epoch: int = 0) -> bytes:
    """Encode a configuration for the store; raises `TooLargeError` above `MAX_ENCODED_BYTES`.

    The revision is not encoded, since it consists of the epoch and of the modify index that the
    store assigns to the value. The value contains the epoch, because a restored store returns old
    values in a new epoch.
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
    if epoch:
        document["epoch"] = epoch
    return compress(document, MAX_ENCODED_BYTES)


def decode_configuration(data: bytes, revision: int) -> StoredConfiguration:
    """Decode a value of the store or of a VM, which has this revision.

    The stored digest is trusted: the checksum of zlib detects corruption, and hashing all items
    again would take longer than the rest of the decoding. Raises `DecodeError` or one of its
    subclasses `TooLargeError` and `SchemaVersionError`.
    """
    text = decompress(data, MAX_DECODED_BYTES)
    try:
        stored = _StoredModel.model_validate_json(text, strict=True)
    except ValidationError as error:
        raise to_decode_error(text, error) from error
    content: dict[str, Any] = {
        collection.field: stored.items_of(collection) for collection in COLLECTIONS
    }
    digest = bytes.fromhex(stored.digest)
    configuration = Configuration(revision=revision, digest=digest, **content)
    return StoredConfiguration(configuration, stored.nonce, stored.epoch)


def newer_configuration(current: Configuration | None, candidate: Configuration) -> Configuration:
    """Return the configuration with the higher revision, and the current one if they are equal."""
    if current is None or candidate.revision > current.revision:
        return candidate
    return current
