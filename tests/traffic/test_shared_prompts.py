"""Played load: many VMs send prompts with shared parts, each without knowing what the others sent.

Compared is how many tokens of shared parts the engines read, with and without a common expectation.
"""

import random

import pytest
from played_prompts import PlayedEngines

from mangosaddle.traffic._shared_prompts import MIN_REGION_VMS

VMS, ENGINES, SUBJECTS, REQUESTS = 20, 7, 120, 4000


def _read_shared_tokens(vms: int, known_vms: int, seed: int = 1) -> tuple[float, float]:
    """Return the shared tokens read per request, and the busiest engine's share of the mean."""
    played = PlayedEngines(vms, known_vms, ENGINES)
    rng = random.Random(seed)
    for _ in range(REQUESTS):
        played.send(rng.randrange(vms), rng.randrange(SUBJECTS))
    return played.shared_tokens_read / REQUESTS, played.busiest_share()


def test_vms_agree_on_the_engine_that_keeps_a_part() -> None:
    """Guards against shared parts that are read again because another VM sent them elsewhere."""
    apart, _ = _read_shared_tokens(VMS, known_vms=1)
    together, busiest = _read_shared_tokens(VMS, known_vms=VMS)
    assert together <= apart / 2
    assert busiest <= 2.0


def test_small_fleets_place_as_before() -> None:
    """Guards against a change for deployments whose VMs know what they have sent."""
    assert _read_shared_tokens(2, known_vms=2) == _read_shared_tokens(2, known_vms=1)
    assert MIN_REGION_VMS > 2


@pytest.mark.parametrize("full", [0.9, 1.2])
def test_a_full_engine_does_not_keep_its_parts_waiting(full: float) -> None:
    """Guards against requests that queue at the engine that keeps their parts."""
    played = PlayedEngines(VMS, VMS, ENGINES)
    home = played.send(0, 1)
    played.fill(home, full)
    assert played.send(1, 1) != home
