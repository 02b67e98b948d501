"""The fleet-wide limit holds in every window, whatever fails."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from mangosaddle._identifiers import RegionName

from .simulated_fleet import BURST_TOKENS, Fleet, Process, with_limits

TOLERANCE_TOKENS = 0.01
"""Rounding of some hundred additions."""
COSTS = st.sampled_from([0.0, 0.1, 0.5, 1.0])


class FleetMachine(RuleBasedStateMachine):
    """Random requests and failures; the check runs over all windows at the end."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        """Start a fleet that has claimed its slots."""
        self.fleet = Fleet(seed)

    def running(self) -> list[Process]:
        """Return the processes that are not frozen."""
        return [process for process in self.fleet.processes if not process.frozen]

    def pick(self, number: int) -> Process:
        """Return one of the running processes."""
        running = self.running()
        return running[number % len(running)]

    @rule(seconds=st.sampled_from([0.5, 0.5, 2.0, 9.0, 16.0]))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.advance(seconds)

    @precondition(lambda self: self.running())
    @rule(number=st.integers(0, 50), tokens=st.floats(1.0, 400.0), count=st.integers(1, 8))
    def send_requests(self, number: int, tokens: float, count: int) -> None:
        """Send requests to one VM, which makes it borrow."""
        process = self.pick(number)
        for _ in range(count):
            self.fleet.request(process, tokens)
        self.fleet.deliver_all()

    @rule(lag_s=st.sampled_from([0.0, 0.0, 2.0]))
    def spend_all(self, lag_s: float) -> None:
        """Use all tokens of all VMs, also after a pause that nobody notices."""
        self.fleet.spend_all(lag_s)

    @rule(number=st.integers(0, 50), share=COSTS, count=st.integers(1, 10))
    def settle(self, number: int, share: float, count: int) -> None:
        """End requests below their upper bounds."""
        owners = [process for process in self.running() if process.open]
        for _ in range(count if owners else 0):
            self.fleet.settle(owners[number % len(owners)], share)

    @precondition(lambda self: len(self.running()) > 3)
    @rule(number=st.integers(0, 50), listed=st.booleans())
    def crash(self, number: int, listed: bool) -> None:
        """Destroy a VM; the list shows it at once or when it next catches up."""
        process = self.pick(number)
        self.fleet.processes.remove(process)
        self.fleet.drop_from_list(process)
        if not listed:
            self.fleet.publish_list()

    @precondition(lambda self: len(self.running()) > 3)
    @rule(number=st.integers(0, 50), destroyed=st.booleans())
    def freeze(self, number: int, destroyed: bool) -> None:
        """Freeze a process; the platform may take its VM for dead and drop it from the list."""
        process = self.pick(number)
        process.frozen = True
        if destroyed:
            self.fleet.drop_from_list(process)

    @rule(pause_s=st.sampled_from([0.5, 1.0, 2.0]), share=COSTS)
    def refund_after_refill(self, pause_s: float, share: float) -> None:
        """Use all tokens, refill, use some, and end everything far below its upper bound."""
        self.fleet.spend_all()
        self.fleet.advance(pause_s)
        for process in self.running():
            self.fleet.request(process, 50.0)
        for process in self.running():
            while process.open:
                self.fleet.settle(process, share)
        self.fleet.spend_all()

    @precondition(lambda self: len(self.running()) > 3)
    @rule(number=st.integers(0, 50), pause_s=st.sampled_from([2.0, 5.0, 8.0]), dies=st.booleans())
    def lend_then_die(self, number: int, pause_s: float, dies: bool) -> None:
        """Let one VM borrow, perhaps destroy a holder, and use everything before shares end."""
        borrower = self.pick(number)
        self.fleet.advance(3.0)
        for _ in range(4):
            self.fleet.request(borrower, 300.0)
        self.fleet.advance(0.5)
        if dies:
            holder = self.pick(number + 1)
            self.fleet.processes.remove(holder)
            self.fleet.drop_from_list(holder)
            self.fleet.publish_list()
        self.fleet.advance(pause_s)
        self.fleet.spend_all()

    @precondition(lambda self: self.running())
    @rule(number=st.integers(0, 50), share=COSTS, pause_s=st.sampled_from([0.5, 2.0]))
    def return_after_spending(self, number: int, share: float, pause_s: float) -> None:
        """Let one VM borrow while all are full, spend the rest, and let the shares go back."""
        borrower = self.pick(number)
        self.fleet.advance(9.0)
        for _ in range(3):
            self.fleet.request(borrower, 250.0)
        self.fleet.deliver_all(delay=0.0)
        while borrower.open:
            self.fleet.settle(borrower, share)
        self.fleet.advance(pause_s)
        self.fleet.spend_all(except_for=borrower)
        self.fleet.exchange_at_once()
        self.fleet.spend_all()

    @rule(count=st.integers(1, 40))
    def replay(self, count: int) -> None:
        """Repeat old messages, which must change nothing, also while levels are uneven."""
        self.fleet.exchange_at_once()
        self.fleet.replay(count)
        self.fleet.deliver_all()

    @precondition(lambda self: self.running())
    @rule(number=st.integers(0, 50), loss=st.sampled_from([0.0, 0.3, 1.0]))
    def let_shares_end(self, number: int, loss: float) -> None:
        """Lose messages until borrowed shares end and their lenders regain them."""
        borrower = self.pick(number)
        for _ in range(3):
            self.fleet.request(borrower, 250.0)
        self.fleet.advance(1.0)
        self.fleet.loss = loss
        for _ in range(4):
            self.fleet.advance(3.0)
            self.fleet.spend_all()
        self.fleet.loss = 0.0

    @rule()
    def wake(self) -> None:
        """Wake the process that has been frozen longest."""
        frozen = [process for process in self.fleet.processes if process.frozen]
        if frozen:
            self.fleet.wake(frozen[0])

    @rule()
    def replace_vm(self) -> None:
        """Start a new incarnation of a VM that the platform has dropped."""
        missing = sorted(self.fleet.newest.vms_by_id.keys() - self.fleet.listed.keys())
        if missing:
            self.fleet.start(missing[0])

    @rule()
    def publish_list(self) -> None:
        """Let the VM list catch up."""
        self.fleet.publish_list()

    @rule(down=st.booleans(), lost=st.integers(0, 2))
    def disturb_store(self, down: bool, lost: int) -> None:
        """Start or end a store outage, or lose the answers of writes."""
        self.fleet.store.is_down = down
        self.fleet.store.lose_answers = lost

    @rule()
    def land_late_write(self) -> None:
        """Let a write whose answer was lost take effect now."""
        if self.fleet.store.late_writes:
            self.fleet.store.write(self.fleet.store.late_writes.pop())

    @rule(region=st.sampled_from([None, 0, 1]), loss=st.sampled_from([0.0, 0.3]))
    def disturb_network(self, region: int | None, loss: float) -> None:
        """Cut a region off, or lose messages."""
        self.fleet.cut = None if region is None else RegionName(f"region-{region}")
        self.fleet.loss = loss

    @rule(factor=st.sampled_from([0.25, 0.5, 1.0, 2.0]))
    def change_limits(self, factor: float) -> None:
        """Store a configuration with another limit; nobody knows it yet."""
        self.fleet.newest = with_limits(self.fleet.newest, factor)

    @precondition(lambda self: self.running())
    @rule(number=st.integers(0, 50), everybody=st.booleans())
    def spread_limits(self, number: int, everybody: bool) -> None:
        """Let one VM or all running VMs learn the newest configuration."""
        for process in self.running() if everybody else [self.pick(number)]:
            self.fleet.configure(process, self.fleet.newest)

    def teardown(self) -> None:
        """Check all windows and the sums of limits; guards against any way to create tokens."""
        if hasattr(self, "fleet"):
            self.fleet.spend_all()
            assert self.fleet.excess_tokens() <= TOLERANCE_TOKENS
            assert self.fleet.worst_growth <= TOLERANCE_TOKENS
            assert self.fleet.worst_sum_excess <= TOLERANCE_TOKENS


FleetMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    phases=[Phase.generate],
)
TestFleet = FleetMachine.TestCase


def test_fleet_uses_nearly_its_whole_burst() -> None:
    """Guards against a property that holds only because nothing is admitted."""
    fleet = Fleet(1)
    fleet.advance(5.0)
    fleet.spend_all()
    assert sum(charge.cost_tokens for charge in fleet.charges) > 0.95 * BURST_TOKENS
