"""Store documents that record which VM incarnation holds which slot."""

import json
from dataclasses import dataclass
from hashlib import blake2b

from .._identifiers import Incarnation, OrganisationId, VmId
from ._exceptions import SlotDocumentError

SHARD_COUNT = 256
"""Number of documents that the organisations are spread over.

With 5,300 organisations of 35 slots a document is about 50 KB, far below the store's limit of 1 MB.
"""
KEY_PREFIX = "slots/"


@dataclass(frozen=True, slots=True)
class Registration:
    """Holder of one slot."""

    vm: VmId
    incarnation: Incarnation
    nonce: str
    """Unique per claim, so that a repeated or ambiguous write can be told from another claim."""


@dataclass(frozen=True, slots=True)
class OrganisationSlots:
    """Registered slots of one organisation; a missing index means that the slot is vacant."""

    slot_count: int
    registrations_by_index: dict[int, Registration]


@dataclass(frozen=True, slots=True)
class ShardDocument:
    """Decoded content of one store document."""

    organisations_by_id: dict[OrganisationId, OrganisationSlots]


EMPTY_DOCUMENT = ShardDocument({})


def shard_of(organisation: OrganisationId) -> int:
    """Return the number of the document that holds an organisation's slots."""
    digest = blake2b(organisation.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % SHARD_COUNT


def shard_key(shard: int) -> str:
    """Return the store key of a document."""
    return f"{KEY_PREFIX}{shard}"


def encode_document(document: ShardDocument) -> bytes:
    """Encode a document as JSON; organisations without registrations are omitted."""
    content = {
        organisation_id: {
            "count": slots.slot_count,
            "slots": {
                str(index): [registration.vm, registration.incarnation, registration.nonce]
                for index, registration in sorted(slots.registrations_by_index.items())
            },
        }
        for organisation_id, slots in sorted(document.organisations_by_id.items())
        if slots.registrations_by_index
    }
    return json.dumps(content, separators=(",", ":")).encode()


def decode_document(content: bytes) -> ShardDocument:
    """Decode a document; raises ``SlotDocumentError`` if its format is invalid."""
    try:
        return ShardDocument(
            {
                OrganisationId(organisation_id): OrganisationSlots(
                    int(slots["count"]),
                    {
                        int(index): Registration(VmId(vm), Incarnation(incarnation), str(nonce))
                        for index, (vm, incarnation, nonce) in slots["slots"].items()
                    },
                )
                for organisation_id, slots in json.loads(content).items()
            }
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise SlotDocumentError(f"slot document cannot be decoded: {error}") from error
