"""Findings in the operators' documents: the fault, its location and how to correct it."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class Severity(StrEnum):
    """Severity of a finding; an error prevents an edit, a warning does not."""

    ERROR = "error"
    WARNING = "warning"


class DocumentFile(StrEnum):
    """The two documents that operators edit."""

    INVENTORY = "inventory.toml"
    RULES = "rules.toml"


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault or a doubtful entry in a document."""

    file: str
    place: str
    """Path of the entry, for example ``vms[3].zone``; empty for the whole document."""
    message: str
    remedy: str
    severity: Severity = Severity.ERROR
    line: int | None = None
    """Line in the file, counted from 1; ``None`` if unknown."""

    def to_json(self) -> dict[str, str | int | None]:
        """Return the finding as a JSON object for the admin API."""
        return {
            "file": self.file,
            "place": self.place,
            "line": self.line,
            "message": self.message,
            "remedy": self.remedy,
            "severity": str(self.severity),
        }


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether any finding is an error, which prevents the edit."""
    return any(finding.severity is Severity.ERROR for finding in findings)
