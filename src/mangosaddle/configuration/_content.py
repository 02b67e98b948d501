"""Content of a configuration as JSON: typed collections, canonical text and digest."""

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
"""The value has to fit into the store; an edit can afford the time of the highest level."""

DIGEST_BYTES = 32
_CANONICAL = json.JSONEncoder(sort_keys=True, separators=(",", ":"))
_DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)

Item = Vm | Endpoint | Service | Organisation | Key | RolloutPlan | tuple[str, ...]
"""An entry of one of the collections; models and regions map to tuples of names."""


@dataclass(frozen=True, slots=True)
class Collection:
    """A collection of the configuration."""

    name: str
    """Name in JSON."""
    field: str
    """Field of `Configuration`."""
    id_field: str | None
    """Field of an entry that repeats its id; ``None`` for tuples of names."""


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
    """All collections, as they are validated when bytes are decoded."""

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
        """Return a collection; raises `DecodeError` when an entry has another id than its key."""
        items: dict[str, Item] = getattr(self, collection.name)
        if collection.id_field is not None:
            for key, item in items.items():
                if getattr(item, collection.id_field) != key:
                    raise DecodeError(f"{collection.name}: entry {key!r} has another id")
        return items


class _SchemaHeader(BaseModel):
    """The part of a document that every schema version has."""

    schema_version: int


def items_of(configuration: Configuration, collection: Collection) -> Mapping[str, Item]:
    """Return a collection of the configuration."""
    items: Mapping[str, Item] = getattr(configuration, collection.field)
    return items


def to_json(value: object) -> Any:  # noqa: ANN401 - JSON has no narrower type
    """Return a value as JSON; fields at their default are left out, sets are sorted."""
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
    """Return the one JSON text of a value: sorted names, no spaces."""
    return _CANONICAL.encode(value).encode()


def canonical_parts(value: object, depth: int = 2) -> Iterator[bytes]:
    """Yield the canonical JSON text of nested objects and lists entry by entry down to a depth.

    One call of the encoder holds the interpreter, and with it the event loop of the process: 140 ms
    for a document of the target scale, more than the 80 ms between tokens.
    """
    if depth == 0 or not value or not isinstance(value, dict | list):
        yield canonical_json(value)
    elif isinstance(value, dict):
        for number, name in enumerate(sorted(value)):
            yield (b"," if number else b"{") + canonical_json(name) + b":"
            yield from canonical_parts(value[name], depth - 1)
        yield b"}"
    else:
        for number, entry in enumerate(value):
            yield b"," if number else b"["
            yield from canonical_parts(entry, depth - 1)
        yield b"]"


def compress(document: object, limit_bytes: int) -> bytes:
    """Return a document as compressed canonical JSON; raises `TooLargeError` above the limit."""
    data = zlib.compress(b"".join(canonical_parts(document)), level=COMPRESSION_LEVEL)
    if len(data) > limit_bytes:
        raise TooLargeError(f"{len(data)} encoded bytes exceed the limit of {limit_bytes}")
    return data


def decompress(data: bytes, limit_bytes: int) -> bytes:
    """Return the decompressed bytes.

    Raises `DecodeError` for bytes that are no complete zlib stream, and `TooLargeError` as soon as
    the output exceeds the limit, before memory is taken for the rest.
    """
    decoder = zlib.decompressobj()
    try:
        text = decoder.decompress(data, limit_bytes + 1)
    except zlib.error as error:
        raise DecodeError(f"not a zlib stream: {error}") from error
    if len(text) > limit_bytes:
        raise TooLargeError(f"more than {limit_bytes} bytes after decompression")
    if not decoder.eof or decoder.unused_data:
        raise DecodeError("the zlib stream is cut or has bytes after its end")
    return text


def decode_error(text: bytes, error: ValidationError) -> DecodeError:
    """Return the typed error for JSON that does not validate: another schema or plain damage."""
    try:
        version = _SchemaHeader.model_validate_json(text).schema_version
    except ValidationError:
        version = SCHEMA_VERSION
    if version != SCHEMA_VERSION:
        return SchemaVersionError(f"schema version {version}, known is {SCHEMA_VERSION}")
    first = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in first["loc"])
    return DecodeError(f"{place or 'document'}: {first['msg']} ({error.error_count()} faults)")


def item_digest(collection: Collection, key: str, item: Item) -> int:
    """Return the digest of one entry as a number."""
    text = canonical_json([collection.name, key, to_json(item)])
    return int.from_bytes(hashlib.sha256(text).digest(), "big")


def full_digest(configuration: Configuration) -> bytes:
    """Return the digest of the content, computed from every entry."""
    total = sum(
        item_digest(collection, key, item)
        for collection in COLLECTIONS
        for key, item in items_of(configuration, collection).items()
    )
    return (total % _DIGEST_MODULUS).to_bytes(DIGEST_BYTES, "big")


def shifted_digest(base: bytes, difference: int) -> bytes:
    """Return a digest after entries with these digests were added and removed.

    The sum of entry digests lets a delta be verified at the cost of its own entries: hashing the
    whole content for each of 7,400 changes a day would hold up the event loop every time.
    """
    total = int.from_bytes(base, "big") + difference
    return (total % _DIGEST_MODULUS).to_bytes(DIGEST_BYTES, "big")


def content_digest(configuration: Configuration) -> bytes:
    """Return the digest of the content: SHA-256 per entry, added up."""
    return configuration.digest or full_digest(configuration)


def with_digest(configuration: Configuration) -> Configuration:
    """Return the configuration with its digest filled in."""
    return replace(configuration, digest=content_digest(configuration))


def changed_keys(
    old: Mapping[str, Item], new: Mapping[str, Item]
) -> Iterator[tuple[str, Item | None, Item | None]]:
    """Return key, old and new entry of each difference, sorted by key."""
    for key in sorted({*old, *new}):
        before, after = old.get(key), new.get(key)
        if before is not after and before != after:
            yield key, before, after
