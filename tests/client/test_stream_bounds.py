"""Bounds on the memory that an event stream takes at a caller."""

import pytest

from mangosaddle.client._stream import MAX_EVENT_BYTES, MalformedStream, parse_events

LINE = b"data: " + b"x" * 65_536 + b"\n"


def test_event_of_many_lines_is_bounded() -> None:
    """Guards against an event without an end, whose lines are each short enough."""
    lines = [LINE] * (MAX_EVENT_BYTES // len(LINE) + 2)
    with pytest.raises(MalformedStream):
        list(parse_events(lines))


def test_many_events_are_not_bounded_together() -> None:
    """Guards against a long answer that is refused although each event is small."""
    lines = [LINE + b"\n"] * (MAX_EVENT_BYTES // len(LINE) + 2)
    assert len(list(parse_events(lines))) == len(lines)
