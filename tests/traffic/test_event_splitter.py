"""Splitting of event streams into complete events, also across interrupted attempts."""

import re
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle.traffic import EventSplitter, EventTooLargeError, _events


def test_incomplete_event_is_buffered_until_its_end() -> None:
    """Callers must never receive a part of an event."""
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == 2


def test_incomplete_event_is_discarded_before_the_next_attempt() -> None:
    """The start of an event from an interrupted attempt must not be joined to the next attempt."""
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: from the fir")
    splitter.discard_partial_event()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_events_that_the_caller_already_has_are_skipped() -> None:
    """A resumed stream must not repeat events."""
    splitter = EventSplitter(last_id=2)
    assert splitter.feed(b"id: 1\n\nid: 2\n\nid: 3\n\n") == b"id: 3\n\n"


def test_too_large_event_raises() -> None:
    """The buffer must not grow without limit if a stream never ends an event."""
    splitter = EventSplitter()
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"x" * (1024 * 1024 + 1))


def test_too_large_event_in_small_chunks_raises() -> None:
    """The limit must apply to the whole event, not to a single chunk."""
    splitter = EventSplitter()
    for _ in range(1024):
        splitter.feed(b"x" * 1024)
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"x")


def test_too_long_event_id_raises() -> None:
    """Parsing a very long event id would raise ``ValueError`` in the request handler."""
    splitter = EventSplitter()
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"id: " + b"9" * 5000 + b"\n\n")


class _CountingPattern:
    """Pattern that counts the bytes that its searches may scan."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self.scanned_bytes = 0
        self._pattern = pattern

    def finditer(self, data: bytes, start: int = 0) -> Any:  # noqa: ANN401
        self.scanned_bytes += len(data) - start
        return self._pattern.finditer(data, start)


def test_event_in_small_chunks_is_scanned_only_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The processor time must not grow with the square of an event's size."""
    counting_pattern = _CountingPattern(_events.EVENT_END)
    monkeypatch.setattr(_events, "EVENT_END", counting_pattern)
    splitter = EventSplitter()
    chunks, size = 2000, 50
    for _ in range(chunks):
        splitter.feed(b"x" * size)
    assert counting_pattern.scanned_bytes <= chunks * (size + 4)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sampled_from([b"\n", b"\r", b"id: 1", b"a"])), st.data())
def test_events_do_not_depend_on_chunk_boundaries(parts: list[bytes], draw: st.DataObject) -> None:
    """An event terminator that is split across chunks must be detected."""
    data = b"".join(parts)
    whole, chunks = EventSplitter(), EventSplitter()
    expected = whole.feed(data) + whole.take_remainder()
    events = []
    while data:
        size = draw.draw(st.integers(1, len(data)))
        events.append(chunks.feed(data[:size]))
        data = data[size:]
    assert b"".join(events) + chunks.take_remainder() == expected
