"""Three VMs that seek one duty, in a world in which each call and its fate are played."""

import copy
import random
import types
from collections.abc import Callable, Coroutine, Generator, Mapping, Sequence
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from prometheus_client import CollectorRegistry, Counter

from mangosaddle._identifiers import Incarnation, OrganisationId, ServiceName, VmId, ZoneName
from mangosaddle._store_revisions import compose, era_of, number_of
from mangosaddle.coordination import (
    CoordinationStore,
    Item,
    LeaseEndedError,
    OutcomeUnknownError,
    Put,
    RevisionConflictError,
    StoreUnavailableError,
)
from mangosaddle.duties import CallOutcome, CallPace, UsagePolicy, UsageWindows
from mangosaddle.entry._duty_calling import DutyCalling
from mangosaddle.entry._duty_claim import DutyClaim
from mangosaddle.entry._duty_holders import DutyHolders, DutyTenancy
from mangosaddle.entry._usage_duty import UsageDuty
from mangosaddle.entry._usage_exchange import UsageExchange

LEASE_S = 3.0
WINDOW_S = 2.0
LATE_S = 4.0
VMS = tuple(VmId(f"vm-{number}") for number in (1, 2, 3))
EPOCH_S = 1_000_000.0


@types.coroutine
def _wait_for_fate(call: Callable[[], Any]) -> Generator[Callable[[], Any], Any, Any]:
    """Hand a call to the world, which executes it or not, and return what the world answers."""
    return (yield call)


@dataclass
class StoreState:
    """Content of the store, which a restore sets back."""

    number: int = 10
    items: dict[str, tuple[bytes, int, int]] = field(default_factory=dict)
    """Value, revision number and lease by key."""
    leases: dict[int, float] = field(default_factory=dict)
    """End of each lease."""
    next_lease: int = 1


class PlayedStore:
    """Store of one VM; its calls take effect when the world says so."""

    def __init__(self, world: "World") -> None:
        """Create the client of one VM."""
        self._world = world
        self.era = 0
        self.recovered_at_s = None

    async def find(self, key: str) -> Item | None:
        """Return one item."""
        item = await self._call(lambda: self._world.state.items.get(key))
        return None if item is None else Item(key, item[0], compose(self.era, item[1]))

    async def create_lease(self, ttl_s: float) -> int:
        """Create a lease."""
        return compose(self.era, await self._call(lambda: self._world.create_lease(ttl_s)))

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        self._check_era(lease)
        await self._call(lambda: self._world.renew_lease(number_of(lease)))
        self._check_era(lease)

    async def write(
        self,
        puts: Sequence[Put],
        *,
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
    ) -> int:
        """Write under a condition; see ``CoordinationStore``."""
        if any(revision and era_of(revision) != self.era for _, revision in expected):
            raise RevisionConflictError("store was restored")
        for put in puts:
            self._check_era(put.lease)
        rows = [(key, number_of(revision)) for key, revision in expected]
        number = await self._call(lambda: self._world.write(puts, rows, removed), is_write=True)
        return compose(self.era, number)

    def _check_era(self, lease: int) -> None:
        if lease and era_of(lease) != self.era:
            raise LeaseEndedError("store was restored")

    async def _call(self, call: Callable[[], Any], *, is_write: bool = False) -> Any:  # noqa: ANN401
        result = await _wait_for_fate(call)
        if result is _NO_ANSWER:
            raise OutcomeUnknownError("no answer") if is_write else StoreUnavailableError("away")
        self.era = self._world.era
        if isinstance(result, Exception):
            raise result
        return result


_NO_ANSWER = object()


@dataclass(frozen=True)
class Accepted:
    """Report that the platform has accepted."""

    at_s: float
    vm: str
    token: int
    window: int
    counts: Mapping[OrganisationId, int]


class PlayedPlatform:
    """Platform that checks tokens when a call is executed."""

    def __init__(self, world: "World", vm: str) -> None:
        """Create the client of one process."""
        self._world = world
        self._vm = vm

    async def report_usage(
        self,
        holder: VmId,
        token: int,
        window: int,
        counts: Mapping[OrganisationId, int],
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        """Make a call that the world executes or not."""
        # A pause of the process may come before the last check.
        await _wait_for_fate(lambda: None)
        if not may_send():
            return CallOutcome.NOT_SENT
        frozen = dict(counts)
        result = await _wait_for_fate(lambda: self._world.accept(self._vm, token, window, frozen))
        return CallOutcome.UNKNOWN if result is _NO_ANSWER else result

    async def order_endpoints(
        self,
        holder: VmId,
        token: int,
        service: ServiceName,
        zone: ZoneName,
        count: int,
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        """Fail, as this duty makes no such call."""
        raise AssertionError("not part of this duty")


class PlayedVm:
    """One VM with its real claim and its real duty; the counts it knows are its own."""

    def __init__(self, world: "World", vm: VmId, incarnation: int) -> None:
        """Start a process without a claim."""
        self.vm = vm
        self.name = f"{vm}/{incarnation}"
        self._world = world
        clock = world.clock
        store = cast(CoordinationStore, PlayedStore(world))
        claim = DutyClaim("usage", "duty", vm, Incarnation(str(incarnation)), store, LEASE_S, clock)
        self.holders = DutyHolders(vm, clock)
        self.tenancy = DutyTenancy(claim, self.holders, lambda: VMS, vm, clock)
        calling = DutyCalling(claim, CallPace(100.0), _counter("calls"), clock)
        self.duty = UsageDuty(
            vm,
            self.tenancy,
            "report",
            store,
            PlayedPlatform(world, self.name),
            calling,
            cast(UsageExchange, self._exchange()),
            lambda: (),
            UsagePolicy(WINDOW_S, LATE_S),
            _counter("late", labels=()),
        )
        self._running: Coroutine[Any, Any, None] | None = None
        self._call: Callable[[], Any] | None = None

    def _exchange(self) -> SimpleNamespace:
        def _counts(window: int) -> dict[OrganisationId, int]:
            # No two readings agree, so that a report that is made twice shows.
            return {OrganisationId("a"): self._world.rng.randrange(1_000_000)}

        totals = SimpleNamespace(is_complete=lambda zones, until_s: True, of_window=_counts)
        windows = UsageWindows(WINDOW_S, self._world.wall_clock)
        return SimpleNamespace(
            wall_clock=self._world.wall_clock, own_windows=windows, fleet_totals=totals
        )

    def step(self, fate: str) -> None:
        """Go on to the next call, whose outcome is ``fate``."""
        if self._running is None:
            self._running = self.duty.advance()
            self._resume(None)
            return
        assert self._call is not None
        self._resume(self._world.execute(self._call, fate))

    def _resume(self, value: object) -> None:
        assert self._running is not None
        try:
            self._call = self._running.send(value)
        except StopIteration:
            self._running = self._call = None

    def close(self) -> None:
        """End the process; calls that it has made are not affected."""
        if self._running is not None:
            self._running.close()


def _counter(name: str, labels: Sequence[str] = ("duty", "outcome")) -> Counter:
    return Counter(name, "Test", labels, registry=CollectorRegistry())


class World:
    """Time, store, platform and VMs; ``rng`` draws what happens."""

    def __init__(self, seed: int) -> None:
        """Create the world; ``seed`` fixes all that happens."""
        self.rng = random.Random(seed)
        self.now = 100.0
        self.era = 1
        self.state = StoreState()
        self.copies: list[StoreState] = []
        self.late: list[Callable[[], Any]] = []
        self.accepted: list[Accepted] = []
        self.highest_token = 0
        self.restored_at_s: list[float] = []
        self._incarnations = 0
        self.vms = [self.new_vm(vm) for vm in VMS]

    def clock(self) -> float:
        """Return the monotonic time of all VMs in seconds."""
        return self.now

    def wall_clock(self) -> float:
        """Return the time of day in seconds since the epoch."""
        return EPOCH_S + self.now

    def new_vm(self, vm: VmId) -> PlayedVm:
        """Start a process of a VM."""
        self._incarnations += 1
        return PlayedVm(self, vm, self._incarnations)

    # Calls

    def execute(self, call: Callable[[], Any], fate: str) -> object:
        """Return the answer to a call: it is executed, refused, delayed, or its answer is lost."""
        self.expire_leases()
        if fate == "lost":
            self._try(call)
            return _NO_ANSWER
        if fate == "late":
            self.late.append(call)
            return _NO_ANSWER
        return _NO_ANSWER if fate == "failed" else self._try(call)

    def execute_late(self) -> None:
        """Execute one of the delayed calls."""
        if self.late:
            self.expire_leases()
            self._try(self.late.pop(self.rng.randrange(len(self.late))))

    @staticmethod
    def _try(call: Callable[[], Any]) -> object:
        try:
            return call()
        except (RevisionConflictError, LeaseEndedError) as error:
            return error

    def create_lease(self, ttl_s: float) -> int:
        """Create a lease in the store."""
        self.state.next_lease += 1
        self.state.leases[self.state.next_lease] = self.now + ttl_s
        return self.state.next_lease

    def renew_lease(self, lease: int) -> None:
        """Renew a lease in the store."""
        if lease not in self.state.leases:
            raise LeaseEndedError("ended")
        self.state.leases[lease] = self.now + LEASE_S

    def write(
        self, puts: Sequence[Put], expected: Sequence[tuple[str, int]], removed: Sequence[str]
    ) -> int:
        """Execute a transaction."""
        state = self.state
        for key, number in expected:
            if (state.items[key][1] if key in state.items else 0) != number:
                raise RevisionConflictError("changed")
        if any(put.lease and number_of(put.lease) not in state.leases for put in puts):
            raise LeaseEndedError("ended")
        state.number += 1
        for put in puts:
            state.items[put.key] = (put.value, state.number, number_of(put.lease))
        for key in removed:
            state.items.pop(key, None)
        return state.number

    def expire_leases(self) -> None:
        """Remove the keys of leases that have ended."""
        state = self.state
        for lease in [lease for lease, end_s in state.leases.items() if end_s <= self.now]:
            del state.leases[lease]
            for key in [key for key, item in state.items.items() if item[2] == lease]:
                del state.items[key]

    def accept(
        self, vm: str, token: int, window: int, counts: Mapping[OrganisationId, int]
    ) -> CallOutcome:
        """Execute a report."""
        if token < self.highest_token:
            return CallOutcome.SUPERSEDED
        self.highest_token = token
        self.accepted.append(Accepted(self.now, vm, token, window, counts))
        return CallOutcome.ACCEPTED

    def restore(self) -> None:
        """Set the store back to one of its copies."""
        if self.copies:
            self.state = copy.deepcopy(self.rng.choice(self.copies))
            self.era += 1
            self.restored_at_s.append(self.now)

    # Play

    def play(self, events: int) -> None:
        """Let random events happen."""
        rng = self.rng
        for _ in range(events):
            kind = rng.choices(
                ("step", "time", "late", "kill", "copy", "restore", "sign"),
                (90, 5, 1, 0.2, 0.5, 0.1, 4),
            )[0]
            if kind == "step":
                fate = rng.choices(("ok", "lost", "late", "failed"), (96, 1.5, 1.5, 1))[0]
                rng.choice(self.vms).step(fate)
            elif kind == "time":
                self.now += rng.choices((0.05, 0.25, 1.0, 3.2), (40, 55, 4, 1))[0]
            elif kind == "late":
                self.execute_late()
            elif kind == "kill":
                number = rng.randrange(len(self.vms))
                self.vms[number].close()
                self.vms[number] = self.new_vm(self.vms[number].vm)
            elif kind == "copy":
                self.copies = [*self.copies[-3:], copy.deepcopy(self.state)]
            elif kind == "restore":
                self.restore()
            else:
                self.pass_on_signs()

    def play_calm(self, duration_s: float) -> None:
        """Let all VMs work without faults."""
        end_s = self.now + duration_s
        while self.now < end_s:
            for vm in self.vms:
                for _ in range(8):
                    vm.step("ok")
            self.pass_on_signs()
            self.now += 0.25

    def pass_on_signs(self) -> None:
        """Let the other VMs hear of a holder."""
        for vm in self.vms:
            token = vm.tenancy.claim.token()
            for other in self.vms if token is not None else ():
                if other is not vm:
                    # What a received fact does.
                    other.holders.record_holder("usage", vm.vm, token or 0)
                    other.holders._listeners_by_duty["usage"]()
