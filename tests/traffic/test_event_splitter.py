"""Event borders: guards against parts of events and joints between two runs."""

import pytest

from mangosaddle.traffic import EventSplitter, EventTooLargeError


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
    splitter.restart()
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
