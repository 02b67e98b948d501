"""Check of a response's head while it arrives."""

import re

from ._exceptions import BadResponseError, EndlessResponseError

HEAD_BYTES = 64 * 1024
"""Largest head of a response."""
HEAD_LINES = 256
"""Most lines of a head: common servers and clients stop at 100."""

VERSION = b"HTTP/1."
BLANK_LINE = re.compile(rb"\n\r?\n")
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-9][0-9]{2}(?: .*)?\r?\n", re.DOTALL)
STATUS_START = re.compile(rb"HTTP/1\.[0-9](?: (?:[1-9][0-9]{0,2})?)?")
STATUS_START_BYTES = len(b"HTTP/1.1 200")
FIELD_NAME = re.compile(rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]*")
FORBIDDEN = re.compile(rb"[\x00\x0b\x0c]")


class HeadGuard:
    """Tells as early as possible that bytes are not the head of a response.

    Each byte is looked at a bounded number of times, however small the pieces are. What passes
    may still be refused by the parser.
    """

    def __init__(self) -> None:
        """Expect the first byte of a head."""
        self.complete = False
        self._size_bytes = 0
        self._lines = 0
        self._status = bytearray()
        self._line_bytes = 0
        self._text_bytes = 0
        """Bytes of the line before its end."""
        self._named = False
        """Whether the name of the header in this line is complete."""

    def take(self, data: bytes) -> int:
        """Return how many of the bytes belong to the head.

        Raises ``BadResponseError`` and ``EndlessResponseError``.
        """
        if self._size_bytes == 0 and (end := _end_of_whole_head(data)):
            self.complete = True
            return end
        start = 0
        while start < len(data) and not self.complete:
            end = data.find(b"\n", start) + 1
            piece = data[start : end or len(data)]
            start += len(piece)
            self._size_bytes += len(piece)
            if self._size_bytes > HEAD_BYTES:
                raise EndlessResponseError(f"head exceeds {HEAD_BYTES} B")
            if self._lines == 0:
                self._check_status(piece)
            else:
                self._check_field(piece)
            if end:
                self._end_line()
        return start

    def _check_status(self, piece: bytes) -> None:
        self._status += piece
        if piece.endswith(b"\n"):
            sound = STATUS_LINE.fullmatch(self._status) is not None
        else:
            begin = bytes(self._status[:STATUS_START_BYTES])
            sound = VERSION.startswith(begin) or STATUS_START.fullmatch(begin) is not None
        if not sound:
            raise BadResponseError(f"no status line: {bytes(self._status[:40])!r}")

    def _check_field(self, piece: bytes) -> None:
        text = piece.rstrip(b"\r\n")
        if FORBIDDEN.search(text):
            raise BadResponseError("head with control characters")
        if text and not self._named:
            self._check_name(text)
        self._line_bytes += len(piece)
        self._text_bytes += len(text)
        if not piece.endswith(b"\n"):
            return
        self.complete = self._line_bytes <= len(b"\r\n") and self._text_bytes == 0
        if not self.complete and not self._named:
            raise BadResponseError("line that is no header")

    def _check_name(self, text: bytes) -> None:
        begins = self._text_bytes == 0
        if begins and self._lines > 1 and text.startswith((b" ", b"\t")):
            # Continues the header of the line before.
            self._named = True
            return
        found = FIELD_NAME.match(text)
        end = found.end() if found is not None else 0
        follows = text[end : end + 1]
        if (begins and end == 0) or follows not in (b"", b":"):
            raise BadResponseError(f"line that is no header: {text[:40]!r}")
        self._named = follows == b":"

    def _end_line(self) -> None:
        self._lines += 1
        if self._lines > HEAD_LINES:
            raise EndlessResponseError(f"head exceeds {HEAD_LINES} lines")
        self._line_bytes = 0
        self._text_bytes = 0
        self._named = False


def _end_of_whole_head(data: bytes) -> int:
    """Return where a head ends that has arrived at once; 0 leaves the bytes to be checked."""
    found = BLANK_LINE.search(data, 0, HEAD_BYTES)
    if found is None or not data.startswith(VERSION):
        return 0
    end = found.end()
    return end if data.count(b"\n", 0, end) <= HEAD_LINES else 0
