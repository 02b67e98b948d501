"""Division of the limit that an endpoint states among the VMs of its region."""

import random

import pytest

from mangosaddle._identifiers import EndpointId, VmId
from mangosaddle.traffic import LIMIT_TTL_S, StatedLimit

WINDOW_S = 4.0
PLAYED_S = 30.0
ATTEMPTS_PER_S = 600.0
ENGINE = EndpointId("engine")


@pytest.mark.parametrize("vms", [1, 3, 65])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 1.1, 20.0, 200.0])
@pytest.mark.parametrize("seed", range(3))
def test_vms_together_keep_the_limit_and_use_it(vms: int, limit_per_s: float, seed: int) -> None:
    """Guards against VMs that each use the whole limit, and against unused capacity."""
    rng = random.Random(f"{vms} {limit_per_s} {seed}")
    names = [VmId(f"vm-{number}") for number in range(vms)]
    limits = {name: StatedLimit(ENGINE) for name in names}
    now, sent = 100.0, []
    for limit in limits.values():
        limit.record(limit_per_s, now)
    while now < 100.0 + PLAYED_S:
        now += rng.expovariate(ATTEMPTS_PER_S)
        own = rng.choice(names)
        if limits[own].may_send(own, names, now):
            limits[own].record_sent()
            sent.append(now)
    busiest = max(sum(at <= other < at + WINDOW_S for other in sent) for at in sent)
    assert busiest <= 1.5 * limit_per_s * WINDOW_S + 5
    assert len(sent) >= 0.75 * limit_per_s * PLAYED_S


def test_a_limit_without_news_ends() -> None:
    """Guards against an endpoint that is limited for good by a VM that sends it nothing."""
    limit, others = StatedLimit(ENGINE), [VmId(f"vm-{number}") for number in range(30)]
    assert limit.record(1.0, 0.0)
    assert not limit.record(1.0, 1.0)
    outsiders = [vm for vm in others if not limit.may_send(vm, others, 2.0)]
    assert len(outsiders) >= 28
    assert limit.may_send(outsiders[0], others, 1.0 + LIMIT_TTL_S)
    assert limit.record(None, 2.0)
    assert limit.wait_s(outsiders[0], others, 2.0) == 0.0
