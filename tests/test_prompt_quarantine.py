"""Decisions about prompt parts that crash endpoints, with simulated time."""

import math
import random
import sys
from collections.abc import Callable
from functools import partial
from types import FrameType
from typing import Any

import pytest

from mangosaddle import _prompt_quarantine
from mangosaddle._prompt_quarantine import (
    MAX_CRASHES,
    MAX_SUSPECT_PARTS,
    MAX_SUSPECTS,
    MIN_CRASHES,
    PROMPT_CRASH_TTL_S,
    Parts,
    PromptCrash,
    PromptQuarantine,
)
from prompt_quarantine_reference import NaiveQuarantine

MAX_LINES_PER_PART = 60
"""Bound on the lines that an event executes for each part that it names."""
CONTACT_S = 6.0
"""Time after the fifth crash from which a part is expected to reach no more engines."""
CRASHING = frozenset(("shared", "crashing"))
HEALTHY = frozenset(("shared", "healthy"))


def crash(process: int, at_s: float, *suspects: Parts) -> PromptCrash:
    """Return a report about the loss of one process."""
    return PromptCrash(f"engine@{process}", at_s, frozenset(suspects))


def quarantine_after(*crashes: PromptCrash) -> PromptQuarantine:
    """Return a quarantine to which the crashes were reported as they happened."""
    quarantine = PromptQuarantine()
    for report in crashes:
        quarantine.record_crash(report, report.at_s)
    return quarantine


def test_healthy_requests_with_the_same_first_part_are_not_refused() -> None:
    """Guards against refusing all requests that share a part with the crashing ones."""
    quarantine = quarantine_after(
        *(crash(n, 2.0 * n, CRASHING, HEALTHY) for n in range(MIN_CRASHES))
    )
    quarantine.record_answer(HEALTHY, 10.0)
    assert quarantine.is_quarantined(CRASHING, 10.0)
    assert not quarantine.is_quarantined(HEALTHY, 10.0)
    assert not quarantine.is_quarantined(frozenset(("shared", "other")), 10.0)


def test_a_part_that_always_accompanies_the_crashing_one_may_run_without_it() -> None:
    """Guards against refusing healthy requests for a part that only happened to be there."""
    companions = frozenset(("shared", "companion", "crashing"))
    quarantine = quarantine_after(*(crash(n, 2.0 * n, companions) for n in range(MIN_CRASHES)))
    assert quarantine.is_quarantined(companions, 10.0)
    assert not quarantine.is_quarantined(frozenset(("shared", "companion")), 10.0)


@pytest.mark.parametrize(
    "crashes",
    [
        [crash(n, 0.02 * n, CRASHING) for n in range(15)],
        [crash(1, 0.4 * n, CRASHING) for n in range(6)],
        [crash(n, 2.0 * n, CRASHING) for n in range(MIN_CRASHES - 1)],
        [crash(n, 2.0 * n) for n in range(8)],
    ],
    ids=["endpoints lost together", "one crash reported often", "too few", "no suspects"],
)
def test_crashes_that_say_little_quarantine_nothing(crashes: list[PromptCrash]) -> None:
    """Guards against quarantine after a lost zone, or after reports of many VMs."""
    assert not quarantine_after(*crashes).is_quarantined(CRASHING, 20.0)


def test_expired_crashes_and_answers_end_a_quarantine() -> None:
    """Guards against parts that are refused for good."""
    crashes = [crash(n, 2.0 * n, CRASHING) for n in range(MIN_CRASHES)]
    quarantine = quarantine_after(*crashes)
    wait_s = quarantine.retry_after_s(CRASHING, 10.0) or 0.0
    assert wait_s == pytest.approx(PROMPT_CRASH_TTL_S - 10.0)
    assert not quarantine.is_quarantined(CRASHING, 10.0 + wait_s)
    quarantine.record_answer(CRASHING, 11.0)
    assert not quarantine.is_quarantined(CRASHING, 11.0)


def test_many_other_crashes_do_not_end_a_quarantine() -> None:
    """Guards against a quarantine whose evidence is pushed out by endpoints lost otherwise."""
    quarantine = quarantine_after(*(crash(n, 2.0 * n, CRASHING) for n in range(MIN_CRASHES)))
    for n in range(3 * MAX_CRASHES):
        lost = frozenset(("shared", f"session-{n}"))
        quarantine.record_crash(crash(100 + n, 10.0 + n, lost), 10.0 + n)
        quarantine.record_answer(frozenset(("shared",)), 10.5 + n)
    assert quarantine.is_quarantined(CRASHING, 10.0 + 3 * MAX_CRASHES)
    assert not quarantine.is_quarantined(HEALTHY, 10.0 + 3 * MAX_CRASHES)


@pytest.mark.parametrize("requests_per_s", [8.0, 100.0])
@pytest.mark.parametrize("share", [0.02, 0.05, 0.08])
@pytest.mark.parametrize("seed", range(20))
def test_only_the_crashing_part_is_found_among_busy_engines(
    requests_per_s: float, share: float, seed: int
) -> None:
    """Guards against blaming popular parts: engines run many prompts when they crash."""
    rng = random.Random(f"{share} {seed}")
    fifth_crash_at_s = math.inf
    quarantine = PromptQuarantine()
    crashes, now, late_crashing = 0, 0.0, 0
    refused_healthy = healthy = 0
    running: list[Parts] = []
    while now < 60.0:
        now += rng.expovariate(requests_per_s)
        first = rng.choice(("first-1", "first-1", "first-2", "first-3"))
        middle = f"middle-{int(rng.paretovariate(0.7)) % 40}"
        is_crashing = rng.random() < share
        parts = frozenset((first, "crashing" if is_crashing else middle))
        refused = quarantine.is_quarantined(parts, now)
        if not is_crashing:
            healthy += 1
            refused_healthy += refused
        if refused:
            continue
        if not is_crashing:
            running.append(parts)
            if len(running) > 6:
                quarantine.record_answer(running.pop(0), now)
            continue
        crashes += 1
        late_crashing += now > fifth_crash_at_s + CONTACT_S
        if crashes == 5:
            fifth_crash_at_s = now
        lost = [other for other in running if rng.random() < 0.5]
        running = [other for other in running if other not in lost]
        quarantine.record_crash(crash(crashes, now, parts, *lost), now)
    assert late_crashing <= 3
    assert refused_healthy <= 0.02 * healthy


def test_withdrawn_reports_do_not_count() -> None:
    """Guards against refusing what a VM has lost because it was cut off."""
    crashes = [crash(n, 2.0 * n, CRASHING) for n in range(MIN_CRASHES)]
    quarantine = quarantine_after(*crashes)
    quarantine.withdraw_crash(crashes[1], 10.0)
    assert not quarantine.is_quarantined(CRASHING, 10.0)
    quarantine.withdraw_crash(crashes[1], 10.0)
    quarantine.record_crash(crashes[1], 10.0)
    assert quarantine.is_quarantined(CRASHING, 10.0)


def test_a_crash_that_another_vm_has_reported_remains() -> None:
    """Guards against a VM that is cut off and takes back what others know of a crash."""
    crashes = [crash(n, 2.0 * n, CRASHING) for n in range(MIN_CRASHES)]
    quarantine = quarantine_after(*crashes, crashes[1])
    quarantine.withdraw_crash(crashes[1], 10.0)
    assert quarantine.is_quarantined(CRASHING, 10.0)


@pytest.mark.parametrize("seed", range(60))
def test_verdicts_equal_those_of_an_evaluation_of_all_crashes(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against verdicts that differ because only what an event changes is evaluated."""
    rng = random.Random(seed)
    monkeypatch.setattr(_prompt_quarantine, "MAX_CRASHES", rng.choice((6, 12, 128)))
    monkeypatch.setattr(_prompt_quarantine, "MAX_CLEARED_PARTS", rng.choice((3, 10, 4096)))
    monkeypatch.setattr(_prompt_quarantine, "PROMPT_CRASH_TTL_S", rng.choice((15.0, 600.0)))
    names = [f"part-{number}" for number in range(rng.choice((4, 12)))]
    quarantine, naive = PromptQuarantine(), NaiveQuarantine()
    reports: list[PromptCrash] = []
    now = 0.0
    for _ in range(250):
        now += rng.choice((0.0, 0.1, 0.4, 2.0))
        drawn = [frozenset(rng.sample(names, rng.randint(1, 4))) for _ in range(3)]
        event = rng.random()
        if event < 0.45:
            at_s = max(0.0, now - rng.choice((0.0, 0.0, 0.2, 5.0)))
            reports.append(crash(rng.randrange(5), at_s, *drawn))
            for known in (quarantine, naive):
                known.record_crash(reports[-1], now)
        elif event < 0.55 and reports:
            report = rng.choice(reports)
            for known in (quarantine, naive):
                known.withdraw_crash(report, now)
        else:
            at_s = now - rng.choice((0.0, 0.0, 1.0))
            parts = frozenset(rng.sample(names, 1)) if event < 0.8 else drawn[0]
            assert quarantine.record_answer(parts, at_s) == naive.record_answer(parts, at_s)
        assert quarantine.patterns() == naive.patterns()
        assert quarantine.has_crashes == naive.has_crashes
        for parts in drawn:
            assert quarantine.retry_after_s(parts, now) == naive.retry_after_s(parts, now)


def _count_lines(call: Callable[[], object]) -> int:
    """Return how many lines of the quarantine a call executes."""
    lines = 0

    def _trace(frame: FrameType, event: str, _argument: object) -> Any:  # noqa: ANN401
        nonlocal lines
        if frame.f_code.co_filename != _prompt_quarantine.__file__:
            return None
        lines += event == "line"
        return _trace

    sys.settrace(_trace)
    try:
        call()
    finally:
        sys.settrace(None)
    return lines


@pytest.mark.parametrize("is_cleared", [False, True])
def test_the_work_of_an_event_does_not_grow_with_the_number_of_crashes(is_cleared: bool) -> None:
    """Guards against event loops that stand still for seconds after many crashes."""

    def _suspects(first: int) -> list[Parts]:
        return [
            frozenset(
                f"part-{(first + n) * MAX_SUSPECT_PARTS + m}" for m in range(MAX_SUSPECT_PARTS)
            )
            for n in range(MAX_SUSPECTS)
        ]

    quarantine = PromptQuarantine()
    lines_by_crashes: dict[int, tuple[int, int]] = {}
    for number in range(MAX_CRASHES):
        now = 2.0 * number
        report = crash(number, now, *_suspects(number % 3))
        crash_lines = _count_lines(partial(quarantine.record_crash, report, now))
        answer = _suspects(number % 3)[0]
        answer_lines = _count_lines(partial(quarantine.record_answer, answer, now + 0.5))
        lines_by_crashes[number + 1] = (crash_lines, answer_lines)
        for parts in _suspects(number % 3)[1:] if is_cleared else ():
            quarantine.record_answer(parts, now + 0.5)
    parts_of_a_crash = MAX_SUSPECTS * MAX_SUSPECT_PARTS
    crash_lines, answer_lines = lines_by_crashes[MAX_CRASHES]
    assert crash_lines <= MAX_LINES_PER_PART * parts_of_a_crash
    assert answer_lines <= MAX_LINES_PER_PART * MAX_SUSPECT_PARTS
