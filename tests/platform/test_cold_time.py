"""The time for which a runner says that it stays cold."""

import pytest

from mangosaddle.http11 import HeaderView, ResponseHead
from mangosaddle.platform import _requests as wire


@pytest.mark.parametrize(
    ("text", "cold_s"), [(b"1500", 1.5), (b"inf", None), (b"nan", None), (b"soon", None)]
)
def test_a_runner_does_not_stay_cold_for_ever(text: bytes, cold_s: float | None) -> None:
    """Guards against a runner that gets no work because of a time that is no time."""
    headers = [(b"Cold-Milliseconds", text)]
    answer = wire.decode_answer(ResponseHead(200, headers, HeaderView(headers), True))
    assert answer.cold_s == cold_s
