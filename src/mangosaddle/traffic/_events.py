"""Borders of server-sent events, so that a caller never gets a part of one."""

import re

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID = re.compile(rb"^id:[ \t]*(\d+)[ \t]*\r?$", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024
"""Largest event: beyond it the stream counts as broken."""


class EventTooLargeError(Exception):
    """An event has no end."""


class EventSplitter:
    """Splits a byte stream into whole events and knows the number of the last one."""

    def __init__(self, last_id: int | None = None) -> None:
        """Create a splitter; ``last_id`` is the last event that the caller has."""
        self.last_id = last_id
        self._tail = b""
        self._events = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events; those that the caller has already are left out.

        Raises ``EventTooLargeError``.
        """
        data = self._tail + data
        whole: list[bytes] = []
        start = 0
        for end in EVENT_END.finditer(data):
            event = data[start : end.end()]
            start = end.end()
            if self._is_new(event):
                whole.append(event)
                self._events += 1
        self._tail = data[start:]
        if len(self._tail) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"event exceeds {MAX_EVENT_BYTES} B")
        return b"".join(whole)

    def _is_new(self, event: bytes) -> bool:
        found = EVENT_ID.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True

    def take_count(self) -> int:
        """Return the number of new events since the last call."""
        count, self._events = self._events, 0
        return count

    def restart(self) -> None:
        """Forget the part of an event that a broken run left; another run follows."""
        self._tail = b""

    def take_tail(self) -> bytes:
        """Return the bytes after the last whole event, and forget them."""
        tail, self._tail = self._tail, b""
        return tail
