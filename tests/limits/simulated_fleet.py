"""Several ledgers and directories over a simulated network, store and VM list."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mangosaddle._identifiers import Incarnation, OrganisationId, RegionName, VmId, ZoneName
from mangosaddle.configuration import Configuration, Organisation, Vm
from mangosaddle.limits import (
    LARGEST_UNNOTICED_GAP_S,
    AllowanceLedger,
    BorrowPolicy,
    DocumentWrite,
    ListedVm,
    OutgoingMessage,
    Reservation,
    ShareGrant,
    ShareRecall,
    ShareRenewalConfirmation,
    ShareRenewalRequest,
    ShareRequest,
    ShareReturn,
    SlotDirectory,
    SlotReleaseConfirmation,
    SlotReleaseRequest,
)

ORGANISATION = OrganisationId("large")
RATE_TOKENS_PER_S = 600.0
BURST_TOKENS = 1200.0
STEP_S = 0.5
HISTORY = 150
"""Delivered messages that may be repeated much later."""
EAGER = BorrowPolicy(
    rate_factor=20.0, stock_s=20.0, surplus_factor=1e9, ask_again_s=1.0, idle_s=60.0
)
"""Borrows as much as it can, so that many shares are open when something fails."""


def configuration(
    revision: int = 1,
    rate: float = RATE_TOKENS_PER_S,
    burst: float = BURST_TOKENS,
    regions: int = 3,
    vms_per_region: int = 2,
) -> Configuration:
    """Return a small fleet with one organisation."""
    vms = [
        Vm(VmId(f"vm-{r}-{n}"), RegionName(f"region-{r}"), ZoneName("a"), "", "")
        for r in range(regions)
        for n in range(vms_per_region)
    ]
    organisation = Organisation(ORGANISATION, rate, burst)
    return Configuration(
        revision, {vm.id: vm for vm in vms}, organisations_by_id={ORGANISATION: organisation}
    )


@dataclass(slots=True)
class Charge:
    """An admitted request: its final cost counts at the time of admission."""

    admitted_s: float
    cost_tokens: float


@dataclass(slots=True, eq=False)
class Process:
    """One incarnation of an entry VM."""

    vm: VmId
    incarnation: Incarnation
    directory: SlotDirectory
    ledger: AllowanceLedger
    configuration: Configuration
    clock_base_s: float
    last_now: float
    frozen: bool = False
    open: list[tuple[int, Charge]] = field(default_factory=list)


@dataclass(slots=True)
class Store:
    """Documents with compare-and-swap; writes may take effect late and unanswered."""

    values: dict[int, tuple[bytes, int]] = field(default_factory=dict)
    late_writes: list[DocumentWrite] = field(default_factory=list)
    is_down: bool = False
    lose_answers: int = 0
    writes: int = 0

    def write(self, write: DocumentWrite) -> None:
        """Apply a write if the index still matches."""
        index = self.values.get(write.shard, (b"", 0))[1]
        if index == write.expected_index:
            self.writes += 1
            self.values[write.shard] = (write.content, self.writes)


class Fleet:
    """Global time, all processes that ever ran, and the charges of every admission."""

    def __init__(self, seed: int, policy: BorrowPolicy = EAGER) -> None:
        """Start all VMs of the configuration and let them claim and fill their slots."""
        self.random = random.Random(seed)
        self.now = 0.0
        self.policy = policy
        self.newest = configuration()
        self.limits: list[tuple[float, float, float]] = []
        self.store = Store()
        self.processes: list[Process] = []
        self.network: list[tuple[VmId, OutgoingMessage]] = []
        self.loss = 0.0
        self.cut: RegionName | None = None
        self.listed: dict[VmId, ListedVm] = {}
        self.published: list[ListedVm] = []
        self.charges: list[Charge] = []
        self.history: list[tuple[VmId, OutgoingMessage]] = []
        self.worst_sum_excess = 0.0
        self.worst_growth = 0.0
        for vm in self.newest.vms_by_id:
            self.start(vm)
        self.publish_list()
        self.advance(8.0)

    def start(self, vm: VmId) -> Process:
        """Start a new incarnation; an earlier one may still be frozen somewhere."""
        incarnation = Incarnation(f"{self.random.getrandbits(64):016x}")
        base = self.random.uniform(0.0, 1000.0)
        process = Process(
            vm,
            incarnation,
            SlotDirectory(vm, incarnation, self.newest, random.Random(self.random.random())),
            AllowanceLedger.from_configuration(
                vm, incarnation, self.newest, self.now + base, self.policy
            ),
            self.newest,
            base,
            self.now + base,
        )
        self.processes.append(process)
        self.listed[vm] = ListedVm(vm, incarnation)
        return process

    def current(self, vm: VmId) -> Process | None:
        """Return the newest incarnation of a VM, if it has not crashed."""
        return next((p for p in reversed(self.processes) if p.vm == vm), None)

    def drop_from_list(self, process: Process) -> None:
        """Let the platform destroy the VM of a process; readers learn of it with a lag."""
        listed = self.listed.get(process.vm)
        if listed is not None and listed.incarnation == process.incarnation:
            del self.listed[process.vm]

    def publish_list(self) -> None:
        """Let the platform's lagging list catch up."""
        self.published = list(self.listed.values())

    def clock(self, process: Process, lag_s: float = 0.0) -> float:
        """Return the process's clock; a pause before it acts goes unnoticed up to 2 s."""
        real = self.now + process.clock_base_s
        process.last_now = max(process.last_now, real - min(lag_s, LARGEST_UNNOTICED_GAP_S))
        return process.last_now

    def advance(self, seconds: float) -> None:
        """Let time pass in short steps, in which every running process does its duties."""
        for _ in range(max(1, round(seconds / STEP_S))):
            self.now += STEP_S
            self._record_limits()
            for process in list(self.processes):
                if not process.frozen:
                    self._duties(process)
            self.deliver_all()
            self._check_sums()

    def wake(self, process: Process) -> None:
        """Continue a frozen process, which notices the gap in its clock."""
        process.frozen = False
        gap_s = self.now + process.clock_base_s - process.last_now
        if gap_s > LARGEST_UNNOTICED_GAP_S:
            now = self.clock(process)
            process.directory.handle_clock_gap(now)
            self.send(process, process.ledger.handle_clock_gap(now))

    def configure(self, process: Process, new: Configuration) -> None:
        """Let one process learn a configuration."""
        if new.revision <= process.configuration.revision:
            return
        process.configuration = new
        process.directory.apply_configuration(new)
        self.send(process, process.ledger.apply_configuration(new, self.clock(process)))
        self._record_limits()

    def request(self, process: Process, tokens: float, lag_s: float = 0.0) -> bool:
        """Ask for an admission; its cost is the upper bound until it is settled."""
        result = process.ledger.reserve(ORGANISATION, tokens, self.clock(process, lag_s))
        self.send(process, result.messages)
        if not isinstance(result, Reservation):
            return False
        charge = Charge(self.now, tokens)
        self.charges.append(charge)
        process.open.append((result.reservation_id, charge))
        return True

    def settle(self, process: Process, share: float) -> None:
        """End a random open request of the process at a share of its upper bound."""
        if process.open:
            position = self.random.randrange(len(process.open))
            reservation, charge = process.open.pop(position)
            charge.cost_tokens *= share
            now = self.clock(process)
            self.send(process, process.ledger.settle(reservation, charge.cost_tokens, now))

    def spend_all(self, lag_s: float = 0.0, except_for: Process | None = None) -> None:
        """Use every token that any running process would admit: the worst caller."""
        for process in self.processes:
            if not process.frozen and process is not except_for:
                now = max(process.last_now, self.now + process.clock_base_s - lag_s)
                available = process.ledger.available_tokens(ORGANISATION, now)
                if available > 1.0:
                    self.request(process, available - 1e-9, lag_s)

    def send(
        self, process: Process, messages: "list[OutgoingMessage] | tuple[OutgoingMessage, ...]"
    ) -> None:
        """Put messages on the network."""
        self.network += [(process.vm, message) for message in messages]

    def deliver_all(self, repeat: float = 0.1, delay: float = 0.2) -> None:
        """Deliver in random order; some messages are lost, repeated or delayed."""
        for _ in range(3):
            queue, self.network = self.network, []
            self.random.shuffle(queue)
            for sender, outgoing in queue:
                target = self.current(outgoing.destination)
                frozen = target is not None and target.frozen
                if frozen or self.random.random() < delay:
                    self.network.append((sender, outgoing))
                    continue
                if self.random.random() < repeat:
                    self.network.append((sender, outgoing))
                self._deliver(sender, outgoing)

    def recall_all(self) -> None:
        """Let lenders ask for every share that was granted lately."""
        for lender, outgoing in self.history:
            if isinstance(outgoing.message, ShareGrant):
                recall = ShareRecall(outgoing.message.share_id, ORGANISATION)
                self.network.append((lender, OutgoingMessage(outgoing.destination, recall)))

    def replay(self, count: int) -> None:
        """Deliver old messages once more, in any order."""
        if self.history:
            self.network += [self.random.choice(self.history) for _ in range(count)]

    def exchange_at_once(self) -> None:
        """Borrow, return and repeat messages while no time passes: that must add no tokens.

        Requests are not repeated here: the answer would bring a grant that was lost before.
        """
        self.network.clear()
        before = self._available_tokens()
        for process in self.processes:
            if not process.frozen:
                self.send(process, process.ledger.tick(self.clock(process)))
        self.recall_all()
        old = [sent for sent in self.history if not isinstance(sent[1].message, ShareRequest)]
        self.network += self.random.choices(old, k=10) if old else []
        self.deliver_all(repeat=0.5, delay=0.0)
        self.worst_growth = max(self.worst_growth, self._available_tokens() - before)

    def _available_tokens(self) -> float:
        return sum(
            process.ledger.available_tokens(ORGANISATION, self.clock(process))
            for process in self.processes
            if not process.frozen
        )

    def _check_sums(self) -> None:
        """Compare the sums of all rates and capacities with the largest limits known to anybody.

        A frozen process admits nothing, and after it wakes it counts again.
        """
        rate = capacity = 0.0
        for process in self.processes:
            if not process.frozen:
                limits = process.ledger.bucket_limits(ORGANISATION, self.clock(process))
                rate, capacity = rate + limits[0], capacity + limits[1]
        known = [p.configuration.organisations_by_id[ORGANISATION] for p in self.processes]
        excess = capacity - max(organisation.burst_tokens for organisation in known)
        rate_excess = rate - max(organisation.rate_tokens_per_s for organisation in known)
        self.worst_sum_excess = max(self.worst_sum_excess, excess, rate_excess)

    def excess_tokens(self) -> float:
        """Return by how much the worst of all windows exceeds its limit.

        Every window that starts and ends at an admission is checked. Where the limit changes
        inside a window, the largest limit known to any process counts.
        """
        costs_by_time: dict[float, float] = {}
        for charge in sorted(self.charges, key=lambda charge: charge.admitted_s):
            known = costs_by_time.get(charge.admitted_s, 0.0)
            costs_by_time[charge.admitted_s] = known + charge.cost_tokens
        charges = [Charge(*item) for item in costs_by_time.items()]
        worst = 0.0
        for first, start in enumerate(charges):
            total = 0.0
            allowed = _Allowed(self.limits, start.admitted_s)
            for end in charges[first:]:
                total += end.cost_tokens
                worst = max(worst, total - allowed.until(end.admitted_s))
        return worst

    def _record_limits(self) -> None:
        organisations = [p.configuration.organisations_by_id[ORGANISATION] for p in self.processes]
        rate = max(organisation.rate_tokens_per_s for organisation in organisations)
        burst = max(organisation.burst_tokens for organisation in organisations)
        if not self.limits or self.limits[-1][1:] != (rate, burst):
            self.limits.append((self.now, rate, burst))

    def _duties(self, process: Process) -> None:
        now = self.clock(process)
        directory, ledger = process.directory, process.ledger
        directory.observe_list(self.published, now, now)
        plan = directory.plan(now, ledger.released_slots())
        for write in plan.writes:
            self._write(write)
            directory.finish_write(write.shard)
        if not self.store.is_down:
            for shard in directory.plan(now, ledger.released_slots()).reads:
                content, index = self.store.values.get(shard, (None, 0))
                directory.observe_document(shard, content, index, now)
        ledger.set_usable_vms(directory.usable_vms())
        ledger.set_held_slots(directory.held_slots(), now)
        self.send(process, plan.releases)
        self.send(process, ledger.tick(now))

    def _write(self, write: DocumentWrite) -> None:
        if self.store.is_down or self.store.lose_answers > 0:
            self.store.lose_answers -= 1
            self.store.late_writes.append(write)
        else:
            self.store.write(write)

    def _deliver(self, sender: VmId, outgoing: OutgoingMessage) -> None:
        process = self.current(outgoing.destination)
        vms = self.newest.vms_by_id
        regions = {vms[sender].region, vms[outgoing.destination].region}
        crosses_cut = len(regions) == 2 and self.cut in regions
        if process is None or crosses_cut or self.random.random() < self.loss:
            return
        now = self.clock(process)
        self.history = [*self.history[-HISTORY:], (sender, outgoing)]
        message = outgoing.message
        if isinstance(message, SlotReleaseConfirmation):
            process.directory.handle_slot_release_confirmation(sender, message)
            return
        ledger = process.ledger
        handlers: dict[type, Callable[..., list[OutgoingMessage]]] = {
            ShareRequest: ledger.handle_share_request,
            ShareGrant: ledger.handle_share_grant,
            ShareRenewalRequest: ledger.handle_share_renewal_request,
            ShareRenewalConfirmation: ledger.handle_share_renewal_confirmation,
            ShareReturn: ledger.handle_share_return,
            ShareRecall: ledger.handle_share_recall,
            SlotReleaseRequest: ledger.handle_slot_release_request,
        }
        self.send(process, handlers[type(message)](sender, message, now))


class _Allowed:
    """Largest sum allowed in a window that starts at a fixed time."""

    def __init__(self, limits: list[tuple[float, float, float]], start_s: float) -> None:
        self._limits, self._start_s = limits, start_s

    def until(self, end_s: float) -> float:
        tokens = burst = 0.0
        ends = [limit[0] for limit in self._limits[1:]] + [float("inf")]
        for (since, rate, size), until in zip(self._limits, ends, strict=True):
            if until < self._start_s or since > end_s:
                continue
            burst = max(burst, size)
            tokens += rate * max(0.0, min(end_s, until) - max(self._start_s, since))
        return tokens + burst


def with_limits(base: Configuration, factor: float) -> Configuration:
    """Return the next revision with the organisation's first limits times ``factor``."""
    organisation = Organisation(ORGANISATION, RATE_TOKENS_PER_S * factor, BURST_TOKENS * factor)
    return replace(
        base, revision=base.revision + 1, organisations_by_id={ORGANISATION: organisation}
    )
