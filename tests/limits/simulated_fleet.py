"""Simulated fleet: ledgers and directories over a simulated network, store and VM list."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from mangosaddle._identifiers import Incarnation, OrganisationId, RegionName, VmId, ZoneName
from mangosaddle._store_positions import position_of
from mangosaddle.configuration import Configuration, Organisation, Vm
from mangosaddle.daemon._store_epoch_service import SETTLE_S_BY_KEY, SLOTS_SETTLED_KEY
from mangosaddle.limits import (
    MAX_UNDETECTED_PAUSE_S,
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
SLOTS_SETTLE_S = SETTLE_S_BY_KEY[SLOTS_SETTLED_KEY]
MAX_DELIVERED_MESSAGES = 150
"""Number of delivered messages that are kept for late duplicates."""
EAGER_POLICY = BorrowPolicy(
    target_rate_factor=20.0,
    target_capacity_s=20.0,
    surplus_factor=1e9,
    request_interval_s=1.0,
    idle_timeout_s=60.0,
)
"""Borrows as much as possible, so that many shares are open when a failure is injected."""


def configuration(
    revision: int = 1,
    rate: float = RATE_TOKENS_PER_S,
    burst: float = BURST_TOKENS,
    regions: int = 3,
    vms_per_region: int = 2,
) -> Configuration:
    """Return the configuration of a small fleet with one organisation."""
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
    """An admitted request, whose final cost counts at the time of admission."""

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
    clock_offset_s: float
    last_clock_s: float
    frozen: bool = False
    epoch: int = 0
    open_requests: list[tuple[int, Charge]] = field(default_factory=list)


@dataclass(slots=True)
class Store:
    """Documents with compare-and-swap; writes may take effect late, after their answer was lost."""

    documents_by_shard: dict[int, tuple[bytes, int]] = field(default_factory=dict)
    late_writes: list[DocumentWrite] = field(default_factory=list)
    is_down: bool = False
    lost_answers_left: int = 0
    writes: int = 0
    epoch: int = 0
    epoch_seen_s: float | None = None
    """Time at which a process first saw the epoch."""
    copies: list[tuple[dict[int, tuple[bytes, int]], int]] = field(default_factory=list)
    """Documents and number of writes at earlier moments."""

    def read(self, shard: int) -> tuple[bytes | None, int]:
        """Return a document and its position, 0 if it does not exist."""
        content, index = self.documents_by_shard.get(shard, (None, 0))
        return content, position_of(self.epoch, index)

    def copy(self) -> None:
        """Keep a copy of all documents."""
        self.copies = [*self.copies[-2:], (dict(self.documents_by_shard), self.writes)]

    def restore(self, number: int) -> None:
        """Go back to one of the last copies; indices are then assigned again."""
        if self.copies:
            documents, self.writes = self.copies[number % len(self.copies)]
            self.documents_by_shard = dict(documents)
            self.epoch, self.epoch_seen_s = self.epoch + 1, None

    def write(self, write: DocumentWrite) -> None:
        """Apply a write if its expected index matches."""
        if self.read(write.shard)[1] == write.expected_index:
            self.writes += 1
            self.documents_by_shard[write.shard] = (write.content, self.writes)


class Fleet:
    """Global time, all processes that have not crashed, and the charges of all admissions."""

    def __init__(self, seed: int, policy: BorrowPolicy = EAGER_POLICY) -> None:
        """Start all VMs of the configuration; they claim their slots and fill their buckets."""
        self.random = random.Random(seed)
        self.now = 0.0
        self.policy = policy
        self.newest_configuration = configuration()
        self.limit_history: list[tuple[float, float, float]] = []
        self.store = Store()
        self.processes: list[Process] = []
        self.network: list[tuple[VmId, OutgoingMessage]] = []
        self.loss_probability = 0.0
        self.isolated_region: RegionName | None = None
        self.actual_vms_by_id: dict[VmId, ListedVm] = {}
        self.published_list: list[ListedVm] = []
        self.charges: list[Charge] = []
        self.delivered_messages: list[tuple[VmId, OutgoingMessage]] = []
        self.max_sum_excess = 0.0
        self.max_token_growth = 0.0
        for vm in self.newest_configuration.vms_by_id:
            self.start(vm)
        self.publish_list()
        self.advance(8.0)

    def start(self, vm: VmId) -> Process:
        """Start a new incarnation; an earlier one may still exist as a frozen process."""
        incarnation = Incarnation(f"{self.random.getrandbits(64):016x}")
        base = self.random.uniform(0.0, 1000.0)
        process = Process(
            vm,
            incarnation,
            SlotDirectory(
                vm, incarnation, self.newest_configuration, random.Random(self.random.random())
            ),
            AllowanceLedger.from_configuration(
                vm, incarnation, self.newest_configuration, self.now + base, self.policy
            ),
            self.newest_configuration,
            base,
            self.now + base,
        )
        self.processes.append(process)
        self.actual_vms_by_id[vm] = ListedVm(vm, incarnation)
        return process

    def current(self, vm: VmId) -> Process | None:
        """Return the newest process of a VM that has not crashed."""
        return next((p for p in reversed(self.processes) if p.vm == vm), None)

    def drop_from_list(self, process: Process) -> None:
        """Remove the VM of a process from the platform; the published list follows with a lag."""
        listed = self.actual_vms_by_id.get(process.vm)
        if listed is not None and listed.incarnation == process.incarnation:
            del self.actual_vms_by_id[process.vm]

    def publish_list(self) -> None:
        """Publish the current state of the platform's VM list."""
        self.published_list = list(self.actual_vms_by_id.values())

    def clock(self, process: Process, lag_s: float = 0.0) -> float:
        """Return the clock of a process, delayed by an undetected pause of up to 2 s."""
        now = self.now + process.clock_offset_s
        process.last_clock_s = max(process.last_clock_s, now - min(lag_s, MAX_UNDETECTED_PAUSE_S))
        return process.last_clock_s

    def advance(self, seconds: float) -> None:
        """Advance time in short steps and run the periodic work of all running processes."""
        for _ in range(max(1, round(seconds / STEP_S))):
            self.now += STEP_S
            self._record_limits()
            for process in list(self.processes):
                if not process.frozen:
                    self._run_periodic_work(process)
            self.deliver_all()
            self._check_sums()

    def wake(self, process: Process) -> None:
        """Resume a frozen process, which detects the gap in its clock."""
        process.frozen = False
        gap_s = self.now + process.clock_offset_s - process.last_clock_s
        if gap_s > MAX_UNDETECTED_PAUSE_S:
            now = self.clock(process)
            process.directory.handle_clock_gap(now)
            self.send(process, process.ledger.handle_clock_gap(now))

    def configure(self, process: Process, new: Configuration) -> None:
        """Apply a configuration at one process."""
        if new.revision <= process.configuration.revision:
            return
        process.configuration = new
        process.directory.apply_configuration(new)
        self.send(process, process.ledger.apply_configuration(new, self.clock(process)))
        self._record_limits()

    def request(self, process: Process, tokens: float, lag_s: float = 0.0) -> bool:
        """Request an admission; its cost is the upper bound until it is settled."""
        result = process.ledger.reserve(ORGANISATION, tokens, self.clock(process, lag_s))
        if not isinstance(result, Reservation):
            self.send(process, result.messages)
            return False
        charge = Charge(self.now, tokens)
        self.charges.append(charge)
        process.open_requests.append((result.reservation_id, charge))
        return True

    def settle(self, process: Process, share: float) -> None:
        """Settle a random open request of the process at a fraction of its upper bound."""
        if process.open_requests:
            position = self.random.randrange(len(process.open_requests))
            reservation, charge = process.open_requests.pop(position)
            charge.cost_tokens *= share
            now = self.clock(process)
            self.send(process, process.ledger.settle(reservation, charge.cost_tokens, now))

    def spend_all(self, lag_s: float = 0.0, except_for: Process | None = None) -> None:
        """Use all tokens that running processes would admit, as the worst possible caller."""
        for process in self.processes:
            if not process.frozen and process is not except_for:
                now = max(process.last_clock_s, self.now + process.clock_offset_s - lag_s)
                available = process.ledger.available_tokens(ORGANISATION, now)
                if available > 1.0:
                    self.request(process, available - 1e-9, lag_s)

    def send(
        self, process: Process, messages: "list[OutgoingMessage] | tuple[OutgoingMessage, ...]"
    ) -> None:
        """Queue messages on the network."""
        self.network += [(process.vm, message) for message in messages]

    def deliver_all(self, repeat: float = 0.1, delay: float = 0.2) -> None:
        """Deliver messages in random order; some are lost, duplicated or delayed."""
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
        """Let lenders recall all recently granted shares."""
        for lender, outgoing in self.delivered_messages:
            if isinstance(outgoing.message, ShareGrant):
                recall = ShareRecall(outgoing.message.share_id, ORGANISATION)
                self.network.append((lender, OutgoingMessage(outgoing.destination, recall)))

    def replay(self, count: int) -> None:
        """Queue duplicates of random delivered messages."""
        if self.delivered_messages:
            self.network += [self.random.choice(self.delivered_messages) for _ in range(count)]

    def exchange_without_delay(self) -> None:
        """Borrow, return and duplicate messages while no time passes, which must not add tokens.

        Requests are not duplicated here, because the answer could deliver a grant that was lost.
        """
        self.network.clear()
        before = self._available_tokens()
        for process in self.processes:
            if not process.frozen:
                self.send(process, process.ledger.tick(self.clock(process)))
        self.recall_all()
        old = [
            sent
            for sent in self.delivered_messages
            if not isinstance(sent[1].message, ShareRequest)
        ]
        self.network += self.random.choices(old, k=10) if old else []
        self.deliver_all(repeat=0.5, delay=0.0)
        self.max_token_growth = max(self.max_token_growth, self._available_tokens() - before)

    def _available_tokens(self) -> float:
        return sum(
            process.ledger.available_tokens(ORGANISATION, self.clock(process))
            for process in self.processes
            if not process.frozen
        )

    def _check_sums(self) -> None:
        """Compare the sums of rates and capacities with the largest limits known to any process.

        A frozen process admits nothing; it counts again after it wakes up.
        """
        rate = capacity = 0.0
        for process in self.processes:
            if not process.frozen:
                limits = process.ledger.bucket_limits(ORGANISATION, self.clock(process))
                rate, capacity = rate + limits[0], capacity + limits[1]
        known = [p.configuration.organisations_by_id[ORGANISATION] for p in self.processes]
        excess = capacity - max(organisation.burst_tokens for organisation in known)
        rate_excess = rate - max(organisation.rate_tokens_per_s for organisation in known)
        self.max_sum_excess = max(self.max_sum_excess, excess, rate_excess)

    def max_window_excess_tokens(self) -> float:
        """Return the largest excess of any time window over its limit.

        All windows that start and end at an admission are checked. If the limit changes within a
        window, the largest limit known to any process applies.
        """
        costs_by_time: dict[float, float] = {}
        for charge in sorted(self.charges, key=lambda charge: charge.admitted_s):
            known = costs_by_time.get(charge.admitted_s, 0.0)
            costs_by_time[charge.admitted_s] = known + charge.cost_tokens
        charges = [Charge(*item) for item in costs_by_time.items()]
        worst = 0.0
        for first, start in enumerate(charges):
            total = 0.0
            allowed = _WindowLimit(self.limit_history, start.admitted_s)
            for end in charges[first:]:
                total += end.cost_tokens
                worst = max(worst, total - allowed.until(end.admitted_s))
        return worst

    def _record_limits(self) -> None:
        organisations = [p.configuration.organisations_by_id[ORGANISATION] for p in self.processes]
        rate = max(organisation.rate_tokens_per_s for organisation in organisations)
        burst = max(organisation.burst_tokens for organisation in organisations)
        if not self.limit_history or self.limit_history[-1][1:] != (rate, burst):
            self.limit_history.append((self.now, rate, burst))

    def _run_periodic_work(self, process: Process) -> None:
        now = self.clock(process)
        directory, ledger = process.directory, process.ledger
        directory.observe_list(self.published_list, now, now)
        settled_epoch = self._observe_epoch(process)
        plan = directory.plan(now, ledger.released_slots(), settled_epoch=settled_epoch)
        for write in plan.writes:
            self._write(write)
            directory.finish_write(write.shard)
        if not self.store.is_down:
            plan_reads = directory.plan(now, ledger.released_slots(), settled_epoch=settled_epoch)
            for shard in plan_reads.reads:
                directory.observe_document(shard, *self.store.read(shard), now)
        ledger.set_usable_vms(directory.usable_vms())
        ledger.set_held_slots(directory.held_slots(), now)
        self.send(process, plan.releases)
        self.send(process, ledger.tick(now))

    def _observe_epoch(self, process: Process) -> int:
        """Tell a process of a restore and return the newest epoch that is settled."""
        store = self.store
        if store.epoch_seen_s is None:
            if store.is_down:
                return store.epoch - 1
            store.epoch_seen_s = self.now
        if process.epoch < store.epoch:
            process.epoch = store.epoch
            process.directory.handle_restore(store.epoch)
        is_settled = self.now - store.epoch_seen_s >= SLOTS_SETTLE_S
        return store.epoch if is_settled or store.epoch == 0 else store.epoch - 1

    def _write(self, write: DocumentWrite) -> None:
        if self.store.is_down or self.store.lost_answers_left > 0:
            self.store.lost_answers_left -= 1
            self.store.late_writes.append(write)
        else:
            self.store.write(write)

    def _deliver(self, sender: VmId, outgoing: OutgoingMessage) -> None:
        process = self.current(outgoing.destination)
        vms = self.newest_configuration.vms_by_id
        regions = {vms[sender].region, vms[outgoing.destination].region}
        crosses_isolation = len(regions) == 2 and self.isolated_region in regions
        if process is None or crosses_isolation or self.random.random() < self.loss_probability:
            return
        now = self.clock(process)
        self.delivered_messages = [
            *self.delivered_messages[-MAX_DELIVERED_MESSAGES:],
            (sender, outgoing),
        ]
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


class _WindowLimit:
    """Limit of the admitted tokens in windows with a fixed start."""

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
    """Return the next revision, with the organisation's initial limits scaled by ``factor``."""
    organisation = Organisation(ORGANISATION, RATE_TOKENS_PER_S * factor, BURST_TOKENS * factor)
    return replace(
        base, revision=base.revision + 1, organisations_by_id={ORGANISATION: organisation}
    )
