"""Event borders: guards against parts of events and joints between two runs."""

import re
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle.traffic import EventSplitter, EventTooLargeError, _events


def test_parts_of_an_event_wait_for_their_end() -> None:
    """Guards against a caller that gets half an event."""
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == 2


def test_the_part_of_an_event_that_a_broken_run_left_is_not_joined_to_the_next_run() -> None:
    """Guards against an event made of the pieces of two runs."""
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: from the fir")
    splitter.discard_partial_event()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_events_that_the_caller_has_are_left_out() -> None:
    """Guards against a piece that comes twice after a resumption."""
    splitter = EventSplitter(last_id=2)
    assert splitter.feed(b"id: 1\n\nid: 2\n\nid: 3\n\n") == b"id: 3\n\n"


def test_an_event_without_an_end_is_an_error() -> None:
    """Guards against memory that grows with a broken stream."""
    splitter = EventSplitter()
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"x" * (1024 * 1024 + 1))


def test_an_event_in_small_pieces_is_an_error_once_it_is_too_large() -> None:
    """Guards against an event without end that stays small in each piece."""
    splitter = EventSplitter()
    for _ in range(1024):
        splitter.feed(b"x" * 1024)
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"x")


def test_a_number_without_end_is_an_error() -> None:
    """Guards against a request handler that fails while it reads the number of an event."""
    splitter = EventSplitter()
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"id: " + b"9" * 5000 + b"\n\n")


class _CountedPattern:
    """Counts the bytes that a search may look at."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self.looked_at_bytes = 0
        self._pattern = pattern

    def finditer(self, data: bytes, start: int = 0) -> Any:  # noqa: ANN401
        self.looked_at_bytes += len(data) - start
        return self._pattern.finditer(data, start)


def test_an_event_in_small_pieces_is_searched_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against processor time that grows with the square of an event's size."""
    counted = _CountedPattern(_events.EVENT_END)
    monkeypatch.setattr(_events, "EVENT_END", counted)
    splitter = EventSplitter()
    pieces, size = 2000, 50
    for _ in range(pieces):
        splitter.feed(b"x" * size)
    assert counted.looked_at_bytes <= pieces * (size + 4)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sampled_from([b"\n", b"\r", b"id: 1", b"a"])), st.data())
def test_events_do_not_depend_on_the_pieces_in_which_they_arrive(
    parts: list[bytes], draw: st.DataObject
) -> None:
    """Guards against a border that is missed because it arrives in parts."""
    data = b"".join(parts)
    whole, pieces = EventSplitter(), EventSplitter()
    expected = whole.feed(data) + whole.take_remainder()
    events = []
    while data:
        size = draw.draw(st.integers(1, len(data)))
        events.append(pieces.feed(data[:size]))
        data = data[size:]
    assert b"".join(events) + pieces.take_remainder() == expected
