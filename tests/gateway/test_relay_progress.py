"""Progress of a relayed stream: slow but sound streams go on, stalled ones are dropped."""

from typing import Any, cast

import pytest

from mangosaddle._identifiers import RequestId
from mangosaddle.gateway._relay import Relay

TOKEN = b'data: {"choices": [{"index": 0, "delta": {"content": "w"}}]}\n\n'


class _Sink:
    def __init__(self) -> None:
        self.data = b""

    def send(self, events: bytes) -> None:
        self.data += events


class _Observer:
    def on_first_token(self, relay: Relay) -> None:
        pass


class _Source:
    def close(self) -> None:
        pass


def _relay() -> Relay:
    relay = Relay(RequestId("r"), cast(Any, _Observer()))
    relay.attach_sink(cast(Any, _Sink()))
    relay.attach_source(cast(Any, _Source()), 0.0)
    return relay


@pytest.mark.parametrize("part", [b"d", b": comment\n\n", b"data: {}\n\n", b"\n\n"])
def test_bytes_without_a_token_are_no_progress(part: bytes) -> None:
    """Guards against a stalled stream that a byte now and then keeps open for ever."""
    relay = _relay()
    relay.feed(TOKEN, 1.0)
    for second in range(2, 60):
        relay.feed(part, float(second))
    assert relay.last_progress_at == 1.0


def test_each_token_is_progress() -> None:
    """Guards against cutting a slow stream whose tokens keep coming, whole or in pieces."""
    relay = _relay()
    for second in range(1, 60):
        relay.feed(TOKEN[:10], second - 0.5)
        relay.feed(TOKEN[10:], float(second))
        assert relay.last_progress_at == second
