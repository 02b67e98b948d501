"""Deltas between two revisions, which the VMs distribute among each other."""

from dataclasses import dataclass, replace
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .._entities import Configuration
from ._content import (
    COLLECTIONS,
    DIGEST_BYTES,
    SCHEMA_VERSION,
    Collection,
    ContentModel,
    Item,
    compress,
    content_digest,
    decompress,
    item_digest,
    items_of,
    iter_changed_items,
    to_decode_error,
    to_json,
    update_digest,
)
from ._encoding import MAX_DECODED_BYTES, MAX_ENCODED_BYTES
from ._exceptions import BaseMismatchError, DecodeError, DigestError

_COLLECTIONS_BY_NAME = {collection.name: collection for collection in COLLECTIONS}


@dataclass(frozen=True, slots=True)
class ItemChange:
    """A changed, added or removed item."""

    collection: str
    key: str
    item: Item | None
    """The new item; ``None`` if it was removed."""


class _DeltaModel(BaseModel):
    """Model that validates the JSON of a delta."""

    model_config = ConfigDict(strict=True, extra="forbid")

    schema_version: Literal[1]
    base_revision: int
    revision: int
    digest: str = Field(pattern=rf"^[0-9a-f]{{{2 * DIGEST_BYTES}}}$")
    changed: ContentModel
    removed: dict[str, list[str]]


@dataclass(frozen=True, slots=True)
class Delta:
    """The difference between two revisions."""

    base_revision: int
    revision: int
    changes: tuple[ItemChange, ...]
    digest: bytes
    """Digest of the resulting content."""

    @classmethod
    def between(cls, base: Configuration, result: Configuration) -> "Delta":
        """Return the delta from ``base`` to ``result``."""
        changes: list[ItemChange] = []
        difference = 0
        for collection in COLLECTIONS:
            old, new = items_of(base, collection), items_of(result, collection)
            for key, before, after in iter_changed_items(old, new):
                changes.append(ItemChange(collection.name, key, after))
                difference += _digest_difference(collection, key, before, after)
        digest = update_digest(content_digest(base), difference)
        return cls(base.revision, result.revision, tuple(changes), digest)

    def apply(self, base: Configuration) -> Configuration:
        """Return the base with the changes applied.

        Raises `BaseMismatchError` if the base has another revision than the delta expects, and
        `DigestError` if the result differs from what the sender had. In both cases the caller has
        to fetch the whole document.
        """
        if base.revision != self.base_revision:
            raise BaseMismatchError(
                f"the delta applies to revision {self.base_revision}, not to {base.revision}"
            )
        content: dict[str, dict[str, Item]] = {}
        difference = 0
        for change in self.changes:
            collection = _COLLECTIONS_BY_NAME[change.collection]
            if collection.field not in content:
                content[collection.field] = dict(items_of(base, collection))
            items = content[collection.field]
            before = items.pop(change.key, None)
            difference += _digest_difference(collection, change.key, before, change.item)
            if change.item is not None:
                items[change.key] = change.item
        digest = update_digest(content_digest(base), difference)
        if digest != self.digest:
            raise DigestError(f"the digest of revision {self.revision} does not match the delta")
        fields: dict[str, Any] = {**content, "revision": self.revision, "digest": digest}
        return replace(base, **fields)

    def to_bytes(self) -> bytes:
        """Encode the delta; raises `TooLargeError` above `MAX_ENCODED_BYTES`."""
        changed: dict[str, dict[str, Any]] = {}
        removed: dict[str, list[str]] = {}
        for change in self.changes:
            if change.item is None:
                removed.setdefault(change.collection, []).append(change.key)
            else:
                changed.setdefault(change.collection, {})[change.key] = to_json(change.item)
        document = {
            "schema_version": SCHEMA_VERSION,
            "base_revision": self.base_revision,
            "revision": self.revision,
            "digest": self.digest.hex(),
            "changed": changed,
            "removed": removed,
        }
        return compress(document, MAX_ENCODED_BYTES)

    @classmethod
    def from_bytes(cls, data: bytes) -> "Delta":
        """Decode the output of `to_bytes`; raises `DecodeError` if the bytes are malformed."""
        text = decompress(data, MAX_DECODED_BYTES)
        try:
            model = _DeltaModel.model_validate_json(text, strict=True)
        except ValidationError as error:
            raise to_decode_error(text, error) from error
        changes = [
            ItemChange(collection.name, key, item)
            for collection in COLLECTIONS
            for key, item in model.changed.items_of(collection).items()
        ]
        for name, keys in model.removed.items():
            if name not in _COLLECTIONS_BY_NAME:
                raise DecodeError(f"unknown collection {name!r}")
            changes += [ItemChange(name, key, None) for key in keys]
        return cls(model.base_revision, model.revision, tuple(changes), bytes.fromhex(model.digest))


def merge_delta(current: Configuration, delta: Delta) -> Configuration:
    """Apply a delta if it leads to a newer revision, otherwise return the current configuration.

    Raises `BaseMismatchError` if revisions in between are missing, and `DigestError` if the result
    differs from what the sender had.
    """
    if delta.revision <= current.revision:
        return current
    return delta.apply(current)


def _digest_difference(
    collection: Collection, key: str, before: Item | None, after: Item | None
) -> int:
    removed = item_digest(collection, key, before) if before is not None else 0
    added = item_digest(collection, key, after) if after is not None else 0
    return added - removed
