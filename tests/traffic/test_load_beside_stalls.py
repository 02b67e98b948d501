"""Observed speed of an endpoint beside stalls of the VM's own process."""

import pytest

from mangosaddle.traffic import Work
from mangosaddle.traffic._load import EndpointLoad
from mangosaddle.traffic._reading_speed import PREFILL_TOKENS_PER_S

NOW = 1000.0
FORECAST_S = 0.03
STALL_S = 0.7
REQUESTS = 10
SMALL = Work(0, 0)
LARGE = Work(5_000, 100)


def _stall_s(since_s: float, now: float) -> float:
    return min(STALL_S, now - since_s)


def _delay_of_a_late_process_s(_since_s: float, _now: float) -> float:
    return 0.1


def _load(work: Work = SMALL) -> EndpointLoad:
    load = EndpointLoad(slots=20, memory_tokens=None)
    for number in range(REQUESTS):
        load.record_sent(f"r{number}", work, FORECAST_S, NOW)
    return load


def test_answers_that_were_read_late_do_not_make_an_endpoint_slow() -> None:
    """Guards against refusals by forecasts that contain a stall of this process."""
    load = _load()
    for number in range(REQUESTS):
        load.record_first_byte(f"r{number}", NOW + FORECAST_S + STALL_S, _stall_s)
    assert load.slowness == pytest.approx(1.0)


def test_stall_does_not_lower_the_observed_prefill_speed() -> None:
    """Guards against large prompts refused for a speed that contains a stall of this process."""
    load = _load(LARGE)
    read_s = FORECAST_S + LARGE.unread_tokens / PREFILL_TOKENS_PER_S
    load.record_first_byte("r0", NOW + read_s + STALL_S, _stall_s)
    assert load.prefill_s_per_token == pytest.approx(1 / PREFILL_TOKENS_PER_S)


def test_stall_before_a_request_was_written_is_not_part_of_its_wait() -> None:
    """Guards against endpoints that look slow for a connection which a stall delayed."""
    load = _load()
    for number in range(REQUESTS):
        load.record_delayed_sending(f"r{number}", STALL_S)
    load.observe_overdue(NOW + STALL_S + FORECAST_S)
    load.record_first_byte("r0", NOW + STALL_S + FORECAST_S)
    assert load.slowness == pytest.approx(1.0)


def test_requests_are_not_overdue_because_of_a_stall() -> None:
    """Guards against endpoints that look slow for answers which are not read yet."""
    load = _load()
    load.observe_overdue(NOW + STALL_S, _stall_s)
    assert load.slowness == 1.0


def test_slow_endpoint_is_noticed_by_a_process_that_is_always_late() -> None:
    """Guards against slow endpoints whose whole wait is ascribed to this process."""
    load = _load()
    load.observe_overdue(NOW + STALL_S, _delay_of_a_late_process_s)
    assert load.slowness > 5.0
    load = _load()
    for number in range(REQUESTS):
        load.record_first_byte(f"r{number}", NOW + STALL_S, _delay_of_a_late_process_s)
    assert load.slowness > 5.0
