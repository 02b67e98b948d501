"""Configuration of the fleet: validation, encoding, deltas and edits.

Operators write it as two documents, the inventory and the rules, which are parsed into immutable
data classes.
"""

from .._entities import (
    Configuration,
    Endpoint,
    EndpointKind,
    Key,
    ModelVersion,
    Organisation,
    RolloutPlan,
    RolloutStep,
    Service,
    Vm,
)
from .._finding import DocumentFile, Finding, Severity, has_errors
from ._admin import (
    DEFLATE_ENCODING,
    ParsedEdit,
    configuration_body,
    configuration_text,
    format_etag,
    parse_edit,
    parse_etag,
)
from ._build import inventory_to_json, keys_to_json, rules_to_json
from ._content import content_digest, with_digest
from ._delta import Delta, ItemChange, merge_delta
from ._documents import InventoryDocument, RulesDocument
from ._edit_checks import check_edit, new_version_share, versions_with_traffic
from ._encoding import (
    MAX_ENCODED_BYTES,
    StoredConfiguration,
    decode_configuration,
    encode_configuration,
    newer_configuration,
)
from ._exceptions import (
    BaseMismatchError,
    ConfigurationError,
    DecodeError,
    DigestError,
    KeyExistsError,
    SchemaVersionError,
    TooLargeError,
    UnknownKeyError,
    UnknownOrganisationError,
)
from ._key_edits import with_key_granted, with_key_withdrawn
from ._loading import (
    CheckedDocuments,
    check_documents,
    check_sources,
    load_configuration,
    load_sources,
)
from ._source import TomlSource

__all__ = [
    "DEFLATE_ENCODING",
    "MAX_ENCODED_BYTES",
    "BaseMismatchError",
    "CheckedDocuments",
    "Configuration",
    "ConfigurationError",
    "DecodeError",
    "Delta",
    "DigestError",
    "DocumentFile",
    "Endpoint",
    "EndpointKind",
    "Finding",
    "InventoryDocument",
    "ItemChange",
    "Key",
    "KeyExistsError",
    "ModelVersion",
    "Organisation",
    "ParsedEdit",
    "RolloutPlan",
    "RolloutStep",
    "RulesDocument",
    "SchemaVersionError",
    "Service",
    "Severity",
    "StoredConfiguration",
    "TomlSource",
    "TooLargeError",
    "UnknownKeyError",
    "UnknownOrganisationError",
    "Vm",
    "check_documents",
    "check_edit",
    "check_sources",
    "configuration_body",
    "configuration_text",
    "content_digest",
    "decode_configuration",
    "encode_configuration",
    "format_etag",
    "has_errors",
    "inventory_to_json",
    "keys_to_json",
    "load_configuration",
    "load_sources",
    "merge_delta",
    "new_version_share",
    "newer_configuration",
    "parse_edit",
    "parse_etag",
    "rules_to_json",
    "versions_with_traffic",
    "with_digest",
    "with_key_granted",
    "with_key_withdrawn",
]
