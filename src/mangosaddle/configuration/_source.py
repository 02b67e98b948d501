"""Read documents from TOML files and find the line of a place."""

import re
import tomllib
from dataclasses import dataclass, replace
from pathlib import Path

from .._finding import Finding

_PART = re.compile(r"([A-Za-z0-9_-]+)(?:\[(\d+)\])?")
_HEADER = re.compile(r"\s*\[\[?\s*([A-Za-z0-9_.-]+)\s*\]\]?")
_ERROR_LINE = re.compile(r"at line (\d+)")


@dataclass(frozen=True, slots=True)
class TomlSource:
    """Text of one document."""

    file: str
    text: str

    @classmethod
    def from_path(cls, path: Path, file: str) -> "TomlSource":
        """Read a file; raises `OSError` when it cannot be read.

        Bytes that are not UTF-8 are replaced: the parser then reports where they are.
        """
        return cls(file, path.read_text(encoding="utf-8", errors="replace"))

    def parse(self) -> tuple[dict[str, object], tuple[Finding, ...]]:
        """Return the content of the document, empty with a finding when it is no TOML."""
        try:
            return tomllib.loads(self.text), ()
        except (tomllib.TOMLDecodeError, RecursionError) as error:
            match = _ERROR_LINE.search(str(error))
            line = int(match.group(1)) if match else None
            finding = Finding(self.file, "", f"not TOML: {error}", "correct the syntax", line=line)
            return {}, (finding,)

    def locate(self, finding: Finding) -> Finding:
        """Return the finding with its line where a line-by-line search finds it."""
        # Places with quoted ids come from checks that know no order of entries.
        if finding.file != self.file or finding.line is not None or '"' in finding.place:
            return finding
        return replace(finding, line=self._line_of(finding.place))

    def _line_of(self, place: str) -> int | None:
        lines = self.text.splitlines()
        start, end, found = 0, len(lines), None
        prefix = ""
        for name, index in _PART.findall(place):
            prefix = f"{prefix}.{name}" if prefix else name
            headers = [i for i in range(start, end) if _is_header(lines[i], prefix)]
            wanted = int(index or 0)
            if wanted < len(headers):
                found = start = headers[wanted]
                start += 1
                end = next((i for i in range(start, end) if not _is_inside(lines[i], prefix)), end)
                continue
            assignment = re.compile(rf"\s*{re.escape(name)}\s*[=.]")
            return next((i + 1 for i in range(start, end) if assignment.match(lines[i])), None) or (
                found + 1 if found is not None else None
            )
        return found + 1 if found is not None else None


def _is_header(line: str, name: str) -> bool:
    match = _HEADER.match(line)
    return match is not None and match.group(1) == name


def _is_inside(line: str, prefix: str) -> bool:
    """Tell whether a line still belongs to the table that began before it."""
    match = _HEADER.match(line)
    return match is None or match.group(1).startswith(f"{prefix}.")
