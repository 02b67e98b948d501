"""Incremental validation of a response head."""

import re

from ._exceptions import BadResponseError, EndlessResponseError

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of a response head."""
MAX_HEAD_LINES = 256
"""Maximum number of lines of a head; common servers and clients allow 100."""

VERSION_PREFIX = b"HTTP/1."
BLANK_LINE = re.compile(rb"\n\r?\n")
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-9][0-9]{2}(?: .*)?\r?\n", re.DOTALL)
STATUS_LINE_PREFIX = re.compile(rb"HTTP/1\.[0-9](?: (?:[1-9][0-9]{0,2})?)?")
STATUS_LINE_PREFIX_BYTES = len(b"HTTP/1.1 200")
FIELD_NAME = re.compile(rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]*")
FORBIDDEN_CHARACTERS = re.compile(rb"[\x00\x0b\x0c]")


class HeadValidator:
    """Detects as early as possible that received bytes are not a response head.

    Each byte is inspected a bounded number of times, however small the pieces are. The parser may
    still reject a head that passes.
    """

    def __init__(self) -> None:
        """Create a validator that expects the first byte of a head."""
        self.complete = False
        self._size_bytes = 0
        self._lines = 0
        self._status = bytearray()
        self._line_bytes = 0
        self._text_bytes = 0
        """Bytes of the current line without its line ending."""
        self._name_complete = False
        """Whether the header name in the current line is complete."""

    def consume(self, data: bytes) -> int:
        """Validate the next bytes and return how many of them belong to the head.

        Raises:
            BadResponseError: the bytes cannot be part of a response head.
            EndlessResponseError: the head has too many bytes or lines.

        """
        if self._size_bytes == 0 and (end := _complete_head_length(data)):
            self.complete = True
            return end
        start = 0
        while start < len(data) and not self.complete:
            end = data.find(b"\n", start) + 1
            piece = data[start : end or len(data)]
            start += len(piece)
            self._size_bytes += len(piece)
            if self._size_bytes > MAX_HEAD_BYTES:
                raise EndlessResponseError(f"head exceeds {MAX_HEAD_BYTES} B")
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
            is_valid = STATUS_LINE.fullmatch(self._status) is not None
        else:
            begin = bytes(self._status[:STATUS_LINE_PREFIX_BYTES])
            is_valid = (
                VERSION_PREFIX.startswith(begin) or STATUS_LINE_PREFIX.fullmatch(begin) is not None
            )
        if not is_valid:
            raise BadResponseError(f"no status line: {bytes(self._status[:40])!r}")

    def _check_field(self, piece: bytes) -> None:
        text = piece.rstrip(b"\r\n")
        if FORBIDDEN_CHARACTERS.search(text):
            raise BadResponseError("head with control characters")
        if text and not self._name_complete:
            self._check_name(text)
        self._line_bytes += len(piece)
        self._text_bytes += len(text)
        if not piece.endswith(b"\n"):
            return
        self.complete = self._line_bytes <= len(b"\r\n") and self._text_bytes == 0
        if not self.complete and not self._name_complete:
            raise BadResponseError("line that is no header")

    def _check_name(self, text: bytes) -> None:
        at_line_start = self._text_bytes == 0
        if at_line_start and self._lines > 1 and text.startswith((b" ", b"\t")):
            # A folded line continues the previous header.
            self._name_complete = True
            return
        found = FIELD_NAME.match(text)
        end = found.end() if found is not None else 0
        next_byte = text[end : end + 1]
        if (at_line_start and end == 0) or next_byte not in (b"", b":"):
            raise BadResponseError(f"line that is no header: {text[:40]!r}")
        self._name_complete = next_byte == b":"

    def _end_line(self) -> None:
        self._lines += 1
        if self._lines > MAX_HEAD_LINES:
            raise EndlessResponseError(f"head exceeds {MAX_HEAD_LINES} lines")
        self._line_bytes = 0
        self._text_bytes = 0
        self._name_complete = False


def _complete_head_length(data: bytes) -> int:
    """Return the length of a head that arrived in one piece; 0 if it has to be checked by line."""
    found = BLANK_LINE.search(data, 0, MAX_HEAD_BYTES)
    if found is None or not data.startswith(VERSION_PREFIX):
        return 0
    end = found.end()
    return end if data.count(b"\n", 0, end) <= MAX_HEAD_LINES else 0
