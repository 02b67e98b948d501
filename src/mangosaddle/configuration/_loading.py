"""Loading and checking of both documents, with all findings reported together."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from .._entities import Configuration, Key
from .._finding import DocumentFile, Finding, has_errors
from .._identifiers import KeyId
from ._build import build_configuration
from ._cross_checks import CrossChecks
from ._documents import InventoryDocument, RulesDocument
from ._parse import INVENTORY_COLLECTIONS, RULES_COLLECTIONS, parse_document
from ._source import TomlSource


@dataclass(frozen=True, slots=True)
class CheckedDocuments:
    """Result of checking both documents."""

    findings: tuple[Finding, ...]
    inventory: InventoryDocument | None = None
    """``None`` if a finding is an error."""
    rules: RulesDocument | None = None
    """``None`` if a finding is an error."""

    def to_configuration(
        self, revision: int = 0, keys_by_id: Mapping[KeyId, Key] | None = None
    ) -> Configuration | None:
        """Build the configuration; ``None`` if a finding is an error."""
        if self.inventory is None or self.rules is None:
            return None
        return build_configuration(revision, self.inventory, self.rules, keys_by_id or {})


def check_documents(inventory: object, rules: object) -> CheckedDocuments:
    """Check two documents that were parsed from TOML or JSON."""
    parsed_inventory = parse_document(inventory, DocumentFile.INVENTORY, INVENTORY_COLLECTIONS)
    parsed_rules = parse_document(rules, DocumentFile.RULES, RULES_COLLECTIONS)
    findings = (
        *parsed_inventory.findings,
        *parsed_rules.findings,
        *CrossChecks(parsed_inventory, parsed_rules).findings(),
    )
    if has_errors(findings):
        return CheckedDocuments(findings)
    return CheckedDocuments(
        findings,
        InventoryDocument.model_validate(inventory),
        RulesDocument.model_validate(rules),
    )


def check_sources(inventory: TomlSource, rules: TomlSource) -> CheckedDocuments:
    """Check two TOML texts; findings have a line number if it is known."""
    inventory_document, inventory_findings = inventory.parse()
    rules_document, rules_findings = rules.parse()
    syntax_findings = (*inventory_findings, *rules_findings)
    if syntax_findings:
        # Cross-document checks would report every reference into the unreadable document.
        return CheckedDocuments(syntax_findings)
    checked = check_documents(inventory_document, rules_document)
    located = tuple(rules.locate(inventory.locate(finding)) for finding in checked.findings)
    return CheckedDocuments(located, checked.inventory, checked.rules)


def load_sources(directory: Path) -> tuple[TomlSource, TomlSource]:
    """Read the inventory and the rules in a directory; raises `OSError`."""
    return (
        TomlSource.from_path(directory / DocumentFile.INVENTORY, DocumentFile.INVENTORY),
        TomlSource.from_path(directory / DocumentFile.RULES, DocumentFile.RULES),
    )


def load_configuration(directory: Path) -> CheckedDocuments:
    """Read and check the inventory and the rules in a directory; raises `OSError`."""
    return check_sources(*load_sources(directory))
