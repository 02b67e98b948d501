"""Findings: what is wrong with a document, where, and how to correct it."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class Severity(StrEnum):
    """Whether a finding prevents an edit."""

    ERROR = "error"
    WARNING = "warning"


class DocumentFile(StrEnum):
    """The two documents that operators edit."""

    INVENTORY = "inventory.toml"
    RULES = "rules.toml"


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault or doubtful entry of a document."""

    file: str
    place: str
    """Path in the document, for example ``vms[3].zone``; empty for the whole document."""
    message: str
    remedy: str
    severity: Severity = Severity.ERROR
    line: int | None = None
    """Line in the file, counted from 1; ``None`` when it is not known."""

    def to_json(self) -> dict[str, str | int | None]:
        """Return the finding as the admin API shows it."""
        return {
            "file": self.file,
            "place": self.place,
            "line": self.line,
            "message": self.message,
            "remedy": self.remedy,
            "severity": str(self.severity),
        }


def has_errors(findings: Iterable[Finding]) -> bool:
    """Tell whether one of the findings prevents the edit."""
    return any(finding.severity is Severity.ERROR for finding in findings)
