"""Content of a configuration: its collections, their canonical JSON and their digest."""

import hashlib
import json
import zlib
from collections.abc import Iterator, Mapping
from dataclasses import MISSING, dataclass, fields, is_dataclass, replace
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .._entities import (
    Configuration,
    Endpoint,
    Key,
    Organisation,
    RolloutPlan,
    Service,
    Vm,
)
from .._identifiers import (
    EndpointId,
    KeyId,
    ModelName,
    OrganisationId,
    RegionName,
    ServiceName,
    VersionId,
    VmId,
    ZoneName,
)
from ._exceptions import DecodeError, SchemaVersionError, TooLargeError

SCHEMA_VERSION = 1
COMPRESSION_LEVEL = 9
"""The highest level: the value has to fit into the store, and edits can afford the time."""

DIGEST_BYTES = 32
_CANONICAL_ENCODER = json.JSONEncoder(sort_keys=True, separators=(",", ":"))
_DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)

Item = Vm | Endpoint | Service | Organisation | Key | RolloutPlan | tuple[str, ...]
"""A value of a collection; those of models and regions are tuples of names."""


@dataclass(frozen=True, slots=True)
class Collection:
    """Describes a collection of the configuration."""

    name: str
    """Name of the collection in JSON."""
    field: str
    """Field of `Configuration` that holds the collection."""
    id_field: str | None
    """Field of an item that repeats its key; ``None`` if the items are tuples of names."""


COLLECTIONS = (
    Collection("endpoints", "endpoints_by_id", "id"),
    Collection("keys", "keys_by_id", "id"),
    Collection("models", "versions_by_model", None),
    Collection("organisations", "organisations_by_id", "id"),
    Collection("regions", "zones_by_region", None),
    Collection("rollouts", "rollouts_by_model", "model"),
    Collection("services", "services_by_name", "name"),
    Collection("vms", "vms_by_id", "id"),
)


class ContentModel(BaseModel):
    """Model that validates all collections when they are decoded."""

    model_config = ConfigDict(strict=True, extra="forbid")

    endpoints: dict[EndpointId, Endpoint] = Field(default_factory=dict)
    keys: dict[KeyId, Key] = Field(default_factory=dict)
    models: dict[ModelName, tuple[VersionId, ...]] = Field(default_factory=dict)
    organisations: dict[OrganisationId, Organisation] = Field(default_factory=dict)
    regions: dict[RegionName, tuple[ZoneName, ...]] = Field(default_factory=dict)
    rollouts: dict[ModelName, RolloutPlan] = Field(default_factory=dict)
    services: dict[ServiceName, Service] = Field(default_factory=dict)
    vms: dict[VmId, Vm] = Field(default_factory=dict)

    def items_of(self, collection: Collection) -> dict[str, Item]:
        """Return a collection; raises `DecodeError` if the id of an item differs from its key."""
        items: dict[str, Item] = getattr(self, collection.name)
        if collection.id_field is not None:
            for key, item in items.items():
                if getattr(item, collection.id_field) != key:
                    raise DecodeError(
                        f"{collection.name}: the id of item {key!r} differs from its key"
                    )
        return items


class _SchemaHeader(BaseModel):
    """The field that documents of all schema versions have."""

    schema_version: int


def items_of(configuration: Configuration, collection: Collection) -> Mapping[str, Item]:
    """Return a collection of the configuration."""
    items: Mapping[str, Item] = getattr(configuration, collection.field)
    return items


def to_json(value: object) -> Any:  # noqa: ANN401 - JSON has no narrower type
    """Convert a value to JSON; sets are sorted, and fields with their default are omitted."""
    if is_dataclass(value):
        return {
            field.name: to_json(getattr(value, field.name))
            for field in fields(value)
            if field.default is MISSING or getattr(value, field.name) != field.default
        }
    if isinstance(value, frozenset):
        return sorted((to_json(entry) for entry in value), key=canonical_json)
    if isinstance(value, tuple):
        return [to_json(entry) for entry in value]
    return value


def canonical_json(value: object) -> bytes:
    """Return the canonical JSON text of a value: sorted keys, no whitespace."""
    return _CANONICAL_ENCODER.encode(value).encode()


def iter_canonical_json(value: object, depth: int = 2) -> Iterator[bytes]:
    """Yield the canonical JSON text of a value in parts, one per entry down to the given depth.

    A single call of the encoder holds the interpreter lock and so blocks the event loop of the
    process: for 140 ms with a document of the target scale, longer than the 80 ms between tokens.
    """
    if depth == 0 or not value or not isinstance(value, dict | list):
        yield canonical_json(value)
    elif isinstance(value, dict):
        for number, name in enumerate(sorted(value)):
            yield (b"," if number else b"{") + canonical_json(name) + b":"
            yield from iter_canonical_json(value[name], depth - 1)
        yield b"}"
    else:
        for number, entry in enumerate(value):
            yield b"," if number else b"["
            yield from iter_canonical_json(entry, depth - 1)
        yield b"]"


def compress(document: object, limit_bytes: int) -> bytes:
    """Compress the canonical JSON of a document; raises `TooLargeError` above the limit."""
    data = zlib.compress(b"".join(iter_canonical_json(document)), level=COMPRESSION_LEVEL)
    if len(data) > limit_bytes:
        raise TooLargeError(f"{len(data)} encoded bytes exceed the limit of {limit_bytes}")
    return data


def decompress(data: bytes, limit_bytes: int) -> bytes:
    """Return the decompressed bytes.

    Raises `DecodeError` if the bytes are not exactly one zlib stream, and `TooLargeError` as soon
    as the output exceeds the limit, so that no memory is allocated for the rest.
    """
    decoder = zlib.decompressobj()
    try:
        text = decoder.decompress(data, limit_bytes + 1)
    except zlib.error as error:
        raise DecodeError(f"not a zlib stream: {error}") from error
    if len(text) > limit_bytes:
        raise TooLargeError(f"more than {limit_bytes} bytes after decompression")
    if not decoder.eof or decoder.unused_data:
        raise DecodeError("the zlib stream is truncated or followed by further bytes")
    return text


def to_decode_error(text: bytes, error: ValidationError) -> DecodeError:
    """Return the exception for a validation error.

    This is a `SchemaVersionError` if the text has another schema version, else a `DecodeError`.
    """
    try:
        version = _SchemaHeader.model_validate_json(text).schema_version
    except ValidationError:
        version = SCHEMA_VERSION
    if version != SCHEMA_VERSION:
        return SchemaVersionError(
            f"schema version {version} is not supported, only {SCHEMA_VERSION}"
        )
    first = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in first["loc"])
    return DecodeError(f"{place or 'document'}: {first['msg']} ({error.error_count()} errors)")


def item_digest(collection: Collection, key: str, item: Item) -> int:
    """Return the digest of one item as an integer."""
    text = canonical_json([collection.name, key, to_json(item)])
    return int.from_bytes(hashlib.sha256(text).digest(), "big")


def full_digest(configuration: Configuration) -> bytes:
    """Compute the digest of the content from all items."""
    total = sum(
        item_digest(collection, key, item)
        for collection in COLLECTIONS
        for key, item in items_of(configuration, collection).items()
    )
    return (total % _DIGEST_MODULUS).to_bytes(DIGEST_BYTES, "big")


def update_digest(base: bytes, difference: int) -> bytes:
    """Update a digest by the sum of the added item digests minus that of the removed ones.

    Since the digest is a sum over the items, only the changed items of a delta have to be hashed.
    Hashing the whole content for each of 7,400 changes a day would block the event loop every time.
    """
    total = int.from_bytes(base, "big") + difference
    return (total % _DIGEST_MODULUS).to_bytes(DIGEST_BYTES, "big")


def content_digest(configuration: Configuration) -> bytes:
    """Return the digest of the content: the sum of the SHA-256 hashes of all items."""
    return configuration.digest or full_digest(configuration)


def with_digest(configuration: Configuration) -> Configuration:
    """Return the configuration with its digest set."""
    return replace(configuration, digest=content_digest(configuration))


def iter_changed_items(
    old: Mapping[str, Item], new: Mapping[str, Item]
) -> Iterator[tuple[str, Item | None, Item | None]]:
    """Yield the key, old item and new item of each difference, sorted by key."""
    for key in sorted({*old, *new}):
        before, after = old.get(key), new.get(key)
        if before is not after and before != after:
            yield key, before, after
