"""Inventory and rules: documents at the border, frozen data classes inside."""

from ._build import inventory_of, keys_of, rules_of
from ._documents import InventoryDocument, RulesDocument
from ._entities import (
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
from ._finding import DocumentFile, Finding, Severity, has_errors
from ._loading import (
    CheckedDocuments,
    check_documents,
    check_sources,
    load_configuration,
    load_sources,
)
from ._source import TomlSource

__all__ = [
    "CheckedDocuments",
    "Configuration",
    "DocumentFile",
    "Endpoint",
    "EndpointKind",
    "Finding",
    "InventoryDocument",
    "Key",
    "ModelVersion",
    "Organisation",
    "RolloutPlan",
    "RolloutStep",
    "RulesDocument",
    "Service",
    "Severity",
    "TomlSource",
    "Vm",
    "check_documents",
    "check_sources",
    "has_errors",
    "inventory_of",
    "keys_of",
    "load_configuration",
    "load_sources",
    "rules_of",
]
