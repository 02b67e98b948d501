"""Borders of server-sent events, so that a caller never gets a part of one."""

import re

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID = re.compile(rb"^id:[ \t]*(\d+)[ \t]*\r?$", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024
"""Largest event: beyond it the stream counts as broken."""
MAX_ID_DIGITS = 18
"""Digits of an event's number; those of a 64-bit number."""
BORDER_BYTES = 4
"""Length of the longest border."""


class EventTooLargeError(Exception):
    """An event, or its number, has no end."""


class EventSplitter:
    """Splits a byte stream into whole events and knows the number of the last one."""

    def __init__(self, last_id: int | None = None) -> None:
        """Create a splitter; ``last_id`` is the last event that the caller has."""
        self.last_id = last_id
        self.complete_events = 0
        """Events that have ended, those that the caller had already included."""
        self._tail = bytearray()
        self._searched_bytes = 0
        """Part of the tail in which no border begins."""
        self._events = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events; those that the caller has already are left out.

        Raises ``EventTooLargeError``.
        """
        self._tail += data
        whole: list[bytes] = []
        start = 0
        for end in EVENT_END.finditer(self._tail, self._searched_bytes):
            event = bytes(self._tail[start : end.end()])
            start = end.end()
            self.complete_events += 1
            if self._is_new(event):
                whole.append(event)
                self._events += 1
        del self._tail[:start]
        self._searched_bytes = max(0, len(self._tail) - BORDER_BYTES + 1)
        if len(self._tail) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"event exceeds {MAX_EVENT_BYTES} B")
        return b"".join(whole)

    def _is_new(self, event: bytes) -> bool:
        found = EVENT_ID.search(event)
        if found is None:
            return True
        digits = found.group(1)
        if len(digits) > MAX_ID_DIGITS:
            raise EventTooLargeError(f"number of an event exceeds {MAX_ID_DIGITS} digits")
        number = int(digits)
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True

    def take_event_count(self) -> int:
        """Return the number of new events since the last call."""
        count, self._events = self._events, 0
        return count

    def discard_partial_event(self) -> None:
        """Forget the part of an event that a broken run left; another run follows."""
        self.take_remainder()

    def take_remainder(self) -> bytes:
        """Return the bytes after the last whole event, and forget them."""
        tail = bytes(self._tail)
        self._tail.clear()
        self._searched_bytes = 0
        return tail
