"""Tests of splitting an answer at event boundaries."""

import itertools
import json
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mangosaddle._identifiers import RequestId
from mangosaddle.gateway._events import EventBuffer, parse_events
from mangosaddle.gateway._relay import BufferedResponseSink, Relay


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


class _Transport:
    def __init__(self) -> None:
        self.data = b""

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def write(self, data: bytes) -> None:
        self.data += data

    def can_write_eof(self) -> bool:
        return False

    def close(self) -> None:
        pass


class _Observer:
    def on_first_token(self, relay: Relay) -> None:
        pass

    def on_closed(self, relay: Relay) -> None:
        pass


ODD_PARTS: list[dict[str, object]] = [
    {"choices": None},
    {"choices": {}},
    {"choices": [None]},
    {"choices": [{"index": 0, "delta": None}]},
    {"choices": [{"index": 0, "delta": {"role": "assistant"}, "finish_reason": None}]},
    {"choices": [{"index": 0, "delta": {"reasoning": None}, "finish_reason": 3}]},
    {"choices": [{"index": 0, "delta": {}}], "usage": None},
    {"choices": [], "usage": {"prompt_tokens": None, "completion_tokens": 1}},
    {"choices": [], "usage": {"prompt_tokens": "many"}},
    {"choices": [], "usage": {"prompt_tokens": [], "completion_tokens": -1}},
]


@pytest.mark.parametrize("odd_part", ODD_PARTS, ids=json.dumps)
def test_events_without_a_delta_do_not_end_a_buffered_answer(odd_part: dict[str, object]) -> None:
    """Guards against an error in reading an event, after which the engine's connection is closed.

    The events that arrived with it had been counted, so that the resumed answer lacked them.
    """
    transport = _Transport()
    relay = Relay(RequestId("r"), cast(Any, _Observer()))
    sink = BufferedResponseSink(relay, "advisor")
    sink._transport = cast(Any, transport)
    relay.attach_sink(sink)
    odd_event = b"data: " + json.dumps(odd_part, separators=(",", ":")).encode() + b"\n\n"
    relay.feed(odd_event + _answer(["slow", " clock"]), 0.0)
    body = json.loads(transport.data.partition(b"\r\n\r\n")[2])
    assert body["choices"][0]["message"]["content"] == "slow clock"
    assert body["usage"]["completion_tokens"] == 2
