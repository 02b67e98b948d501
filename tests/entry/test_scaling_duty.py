"""Orders of endpoints by the holder of that duty, when calls fail."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, cast

import pytest
from prometheus_client import CollectorRegistry, Counter

from mangosaddle._identifiers import RegionName, ServiceName, VmId, ZoneName
from mangosaddle.duties import CallOutcome, CallPace, LossCause, ScalingLimits
from mangosaddle.entry._duty_calling import UNREACHABLE_AFTER_S, DutyCalling
from mangosaddle.entry._duty_claim import DutyClaim
from mangosaddle.entry._scaling_duty import DemandRow, RegionDemand, ScalingDuty

OWN, SERVICE, ZONE = VmId("vm-1"), ServiceName("engine"), ZoneName("east-a")
LIMITS = {SERVICE: ScalingLimits(2, 12, 8.0)}
STEP_S = 1.0


class Holder:
    """A VM with a claim, and a platform that answers as told; stands for tenancy, claim, calls."""

    def __init__(self, outcomes: Sequence[CallOutcome]) -> None:
        """Hold the duty; the last outcome stands for all calls after it."""
        self.now = 100.0
        self.name = "scaling"
        self.current_token: int | None = 7
        self.lost: list[LossCause] = []
        self.tokens: list[int] = []
        """Tokens of the calls."""
        self._outcomes = list(outcomes)
        self.claim = self
        counter = Counter("c", "c", ["duty", "outcome"], registry=CollectorRegistry())
        calling = DutyCalling(cast(DutyClaim, self), CallPace(100.0), counter, lambda: self.now)
        parts: Any = self
        self.duty = ScalingDuty(
            "scaling",
            OWN,
            RegionName("east"),
            parts,
            parts,
            parts,
            calling,
            parts,
            lambda: (),
            lambda: LIMITS,
            lambda: self.now,
        )

    async def advance(self) -> int | None:
        """Return the token, as the tenancy does."""
        return self.current_token

    def token(self) -> int | None:
        """Return the token of the claim."""
        return self.current_token

    async def renew_token(self) -> int | None:
        """Write the claim again."""
        assert self.current_token is not None
        self.current_token += 1
        return self.current_token

    async def give_up(self, cause: LossCause) -> None:
        """Give the claim back."""
        self.lost.append(cause)
        self.current_token = None

    async def order_endpoints(
        self,
        holder: VmId,
        token: int,
        service: ServiceName,
        zone: ZoneName,
        count: int,
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        """Record a call and return the next outcome."""
        assert may_send()
        self.tokens.append(token)
        return self._outcomes.pop(0) if len(self._outcomes) > 1 else self._outcomes[0]

    async def play(self, steps: int, load: float = 6.0) -> None:
        """Report the load and let the duty act, once a step."""
        demand = RegionDemand((DemandRow(SERVICE, ZONE, 4, int(load * 1000)),))
        for _ in range(steps):
            self.duty._on_region_demand(OWN, demand)
            await self.duty.advance()
            self.now += STEP_S


def _play(outcomes: Sequence[CallOutcome], steps: int) -> Holder:
    async def _main() -> Holder:
        holder = Holder(outcomes)
        await holder.play(steps)
        return holder

    return asyncio.run(_main())


def test_an_order_after_a_call_without_a_response_has_a_new_token() -> None:
    """Guards against a late order that takes effect after a newer one."""
    holder = _play([CallOutcome.UNKNOWN, CallOutcome.ACCEPTED], steps=8)
    assert holder.tokens == [7, 8]


@pytest.mark.parametrize("outcome", [CallOutcome.POSTPONED, CallOutcome.NOT_SENT])
def test_a_call_that_was_not_executed_is_repeated_with_its_token(outcome: CallOutcome) -> None:
    """Guards against a write to the store for each call that the platform postpones."""
    holder = _play([outcome, CallOutcome.ACCEPTED], steps=8)
    assert holder.tokens == [7, 7]


def test_a_holder_that_was_superseded_gives_the_claim_up_at_once() -> None:
    """Guards against a VM that goes on calling with a token that the platform refuses."""
    holder = _play([CallOutcome.SUPERSEDED], steps=8)
    assert (holder.tokens, holder.lost) == ([7], [LossCause.SUPERSEDED])


def test_a_holder_that_does_not_reach_the_platform_leaves_the_duty_to_others() -> None:
    """Guards against a holder that is cut off from the platform's address only."""
    holder = _play([CallOutcome.NOT_SENT], steps=int(UNREACHABLE_AFTER_S / STEP_S) + 8)
    assert holder.lost == [LossCause.UNREACHABLE]


def test_an_accepted_order_is_not_sent_again() -> None:
    """Guards against a call in each step of the duty."""
    holder = _play([CallOutcome.ACCEPTED], steps=8)
    assert holder.tokens == [7]
