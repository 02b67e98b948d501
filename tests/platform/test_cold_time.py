"""Decoding of the remaining cold time that a runner reports."""

import pytest

from mangosaddle.http11 import HeaderView, ResponseHead
from mangosaddle.platform import _requests as wire


@pytest.mark.parametrize(
    ("text", "cold_s"), [(b"1500", 1.5), (b"inf", None), (b"nan", None), (b"soon", None)]
)
def test_an_invalid_cold_time_is_ignored(text: bytes, cold_s: float | None) -> None:
    """Guards against a runner that gets no requests because its cold time is not a number."""
    headers = [(b"Cold-Milliseconds", text)]
    answer = wire.decode_answer(ResponseHead(200, headers, HeaderView(headers), True))
    assert answer.cold_s == cold_s
