"""Tests of splitting an answer at event boundaries."""

import itertools
import json

from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle.gateway._events import EventBuffer, parse_events


def _answer(words: list[str]) -> bytes:
    events = [{"choices": [{"index": 0, "delta": {"content": word}}]} for word in words]
    last = {"choices": [], "usage": {"prompt_tokens": 3, "completion_tokens": len(words)}}
    lines = [json.dumps(event, separators=(",", ":")) for event in [*events, last]]
    return b"".join(b"data: " + line.encode() + b"\n\n" for line in lines) + b"data: [DONE]\n\n"


@given(
    words=st.lists(st.text(max_size=12), max_size=12),
    cuts=st.lists(st.integers(min_value=0, max_value=2000), max_size=20),
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_events_do_not_depend_on_packet_boundaries(words: list[str], cuts: list[int]) -> None:
    """Guards against losing, duplicating or miscounting a token at a packet boundary."""
    answer = _answer(words)
    boundaries = sorted({min(cut, len(answer)) for cut in cuts} | {0, len(answer)})
    buffer = EventBuffer()
    output = b"".join(buffer.feed(answer[a:b]) for a, b in itertools.pairwise(boundaries))
    assert output == answer
    assert buffer.tokens == len(words)
    assert buffer.is_complete
    assert buffer.usage is not None
    assert buffer.usage.completion_tokens == len(words)


@given(st.binary(max_size=400), st.integers(min_value=0, max_value=400))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_truncated_answer_is_never_complete(noise: bytes, cut: int) -> None:
    """Guards against taking a truncated answer for complete: only the end marker completes it."""
    buffer = EventBuffer()
    answer = _answer(["a", "b", "c"])
    shown = buffer.feed(answer[: min(cut, len(answer) - 1)]) + buffer.feed(b"")
    assert not buffer.is_complete
    assert answer.startswith(shown)
    parse_events(noise)
