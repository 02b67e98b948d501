"""Reading of TOML files and mapping of finding places to line numbers."""

import re
import tomllib
from dataclasses import dataclass, replace
from pathlib import Path

from .._finding import Finding

_PLACE_SEGMENT = re.compile(r"([A-Za-z0-9_-]+)(?:\[(\d+)\])?")
_TABLE_HEADER = re.compile(r"\s*\[\[?\s*([A-Za-z0-9_.-]+)\s*\]\]?")
_ERROR_LINE = re.compile(r"at line (\d+)")


@dataclass(frozen=True, slots=True)
class TomlSource:
    """File name and TOML text of a document."""

    file: str
    text: str

    @classmethod
    def from_path(cls, path: Path, file: str) -> "TomlSource":
        """Read a file; raises `OSError` if it cannot be read.

        Bytes that are not valid UTF-8 are replaced, so that the parser reports their position.
        """
        return cls(file, path.read_text(encoding="utf-8", errors="replace"))

    def parse(self) -> tuple[dict[str, object], tuple[Finding, ...]]:
        """Parse the document; invalid TOML gives an empty document and a finding."""
        try:
            return tomllib.loads(self.text), ()
        except (tomllib.TOMLDecodeError, RecursionError) as error:
            match = _ERROR_LINE.search(str(error))
            line = int(match.group(1)) if match else None
            finding = Finding(self.file, "", f"not TOML: {error}", "correct the syntax", line=line)
            return {}, (finding,)

    def locate(self, finding: Finding) -> Finding:
        """Return the finding with its line number if a search of the text finds its place."""
        # Checks that do not know the order of the entries name them by quoted id, not by index.
        if finding.file != self.file or finding.line is not None or '"' in finding.place:
            return finding
        return replace(finding, line=self._line_of(finding.place))

    def _line_of(self, place: str) -> int | None:
        lines = self.text.splitlines()
        start, end, matched_line = 0, len(lines), None
        prefix = ""
        for name, index in _PLACE_SEGMENT.findall(place):
            prefix = f"{prefix}.{name}" if prefix else name
            header_lines = [i for i in range(start, end) if _is_table_header(lines[i], prefix)]
            table_index = int(index or 0)
            if table_index < len(header_lines):
                matched_line = start = header_lines[table_index]
                start += 1
                end = next(
                    (i for i in range(start, end) if not _is_in_table(lines[i], prefix)), end
                )
                continue
            assignment = re.compile(rf"\s*{re.escape(name)}\s*[=.]")
            return next((i + 1 for i in range(start, end) if assignment.match(lines[i])), None) or (
                matched_line + 1 if matched_line is not None else None
            )
        return matched_line + 1 if matched_line is not None else None


def _is_table_header(line: str, name: str) -> bool:
    match = _TABLE_HEADER.match(line)
    return match is not None and match.group(1) == name


def _is_in_table(line: str, prefix: str) -> bool:
    """Return whether a line belongs to the table ``prefix``, given that a line above starts it."""
    match = _TABLE_HEADER.match(line)
    return match is None or match.group(1).startswith(f"{prefix}.")
