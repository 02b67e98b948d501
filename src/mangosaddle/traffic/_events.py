"""Splits streams of server-sent events, so that callers only receive complete events."""

import re

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID = re.compile(rb"^id:[ \t]*(\d+)[ \t]*\r?$", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event; a stream with a larger one counts as broken."""
MAX_ID_DIGITS = 18
"""Maximum number of digits of an event id; any such number fits into 64 bits."""
MAX_TERMINATOR_BYTES = 4
"""Length of the longest event terminator."""


class EventTooLargeError(Exception):
    """An event or its id exceeds the maximum size."""


class EventSplitter:
    """Splits a byte stream into complete events and tracks the id of the last one."""

    def __init__(self, last_id: int | None = None) -> None:
        """Create a splitter; ``last_id`` is the id of the last event that the caller has."""
        self.last_id = last_id
        self.complete_events = 0
        """Number of complete events, including those that the caller already has."""
        self._buffer = bytearray()
        self._searched_bytes = 0
        """Length of the prefix of the buffer in which no terminator begins."""
        self._new_event_count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by ``data``, without those that the caller already has.

        Raises ``EventTooLargeError`` if an event exceeds ``MAX_EVENT_BYTES`` or its id
        ``MAX_ID_DIGITS``.
        """
        self._buffer += data
        complete: list[bytes] = []
        start = 0
        for end in EVENT_END.finditer(self._buffer, self._searched_bytes):
            event = bytes(self._buffer[start : end.end()])
            start = end.end()
            self.complete_events += 1
            if self._is_new(event):
                complete.append(event)
                self._new_event_count += 1
        del self._buffer[:start]
        self._searched_bytes = max(0, len(self._buffer) - MAX_TERMINATOR_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"event exceeds {MAX_EVENT_BYTES} B")
        return b"".join(complete)

    def _is_new(self, event: bytes) -> bool:
        match = EVENT_ID.search(event)
        if match is None:
            return True
        digits = match.group(1)
        if len(digits) > MAX_ID_DIGITS:
            raise EventTooLargeError(f"event id exceeds {MAX_ID_DIGITS} digits")
        number = int(digits)
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True

    def take_event_count(self) -> int:
        """Return the number of new events since the last call."""
        count, self._new_event_count = self._new_event_count, 0
        return count

    def discard_partial_event(self) -> None:
        """Discard the incomplete event of an interrupted attempt before the next attempt."""
        self.take_remainder()

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the partial event that is held."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether a part of an event has been received, other than line ends between events."""
        return bool(self._buffer.strip(b"\r\n"))

    def take_remainder(self) -> bytes:
        """Return and discard the bytes after the last complete event."""
        remainder = bytes(self._buffer)
        self._buffer.clear()
        self._searched_bytes = 0
        return remainder
