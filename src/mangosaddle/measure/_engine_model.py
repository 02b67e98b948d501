"""Simulated engines with prefix caches, and the conversations that load them."""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass

BLOCK_TOKENS = 256
PREFILL_TOKENS_PER_S = 8000.0
DECODE_S_PER_TOKEN = 0.02
OUTPUT_TOKENS = 100
SLOTS = 8
CACHE_BLOCKS = 600
"""Blocks of an engine's prefix cache, about the conversations that one engine runs in 20 s."""
SHARED_BLOCKS = 4
BLOCKS_PER_TURN = 2
MAX_TURNS = 8
CONTINUES = 0.75
"""Part of the requests that continue a conversation."""
HOME_BOUND = 0.27
ORGANISATIONS = 12


@dataclass(slots=True)
class Conversation:
    """A caller's conversation; each turn's prompt extends the previous one."""

    name: str
    organisation: int
    home: bool
    turn: int = 0


@dataclass(slots=True)
class Job:
    """One request on its way."""

    number: int
    region: int
    home: bool
    blocks: tuple[str, ...]
    """Prompt blocks, each named by the whole prefix that it ends."""
    output_tokens: int
    arrived_at: float
    vm: int
    attempts: int = 0
    wan: int = 0
    """Crossings of the wide area network until the first token."""
    first_token_at: float = 0.0
    spilled: bool = False


class Callers:
    """Source of requests."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._open: dict[int, list[Conversation]] = {}
        self._count = 0

    def next(self, region: int, now: float) -> Job:
        """Return the next request of a region."""
        generator = self._generator
        talks = self._open.setdefault(region, [])
        if talks and generator.random() < CONTINUES:
            talk = generator.choice(talks[-80:])
        else:
            talk = self._start(region)
            talks.append(talk)
        talk.turn += 1
        if talk.turn >= MAX_TURNS:
            talks.remove(talk)
        self._count += 1
        output = max(1, int(generator.expovariate(1 / OUTPUT_TOKENS)))
        return Job(
            self._count, region, talk.home, _blocks(talk), output, now, generator.randrange(2)
        )

    def _start(self, region: int) -> Conversation:
        organisation = int(self._generator.paretovariate(1.0)) % ORGANISATIONS
        home = self._generator.random() < HOME_BOUND
        return Conversation(f"c{region}.{self._count}", organisation, home)


def _blocks(talk: Conversation) -> tuple[str, ...]:
    shared = tuple(f"o{talk.organisation}/{i}" for i in range(SHARED_BLOCKS))
    own = BLOCKS_PER_TURN * talk.turn
    return shared + tuple(f"{talk.name}/{i}" for i in range(own))


class Engine:
    """A runner: slots, one prefill at a time, a prefix cache that forgets the oldest blocks."""

    def __init__(self, name: str, region: int) -> None:
        self.name = name
        self.region = region
        self.up = True
        self.running: dict[int, Job] = {}
        self.waiting: deque[Job] = deque()
        self.prefill_tokens = 0
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._prefill_free_at = 0.0

    def load(self) -> int:
        """Return the running and waiting requests."""
        return len(self.running) + len(self.waiting)

    def start(self, job: Job, now: float) -> float:
        """Run a job in a free slot and return the time at which it ends."""
        self.running[job.number] = job
        missing = len(job.blocks) - self._cached(job.blocks)
        self.prefill_tokens += missing * BLOCK_TOKENS
        begin = max(now, self._prefill_free_at)
        self._prefill_free_at = begin + missing * BLOCK_TOKENS / PREFILL_TOKENS_PER_S
        job.first_token_at = self._prefill_free_at
        for block in job.blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > CACHE_BLOCKS:
            self._cache.popitem(last=False)
        slowdown = 0.6 + 0.4 * len(self.running) / SLOTS
        return self._prefill_free_at + job.output_tokens * DECODE_S_PER_TOKEN * slowdown

    def crash(self) -> list[Job]:
        """Stop, lose the cache and return the jobs that were here."""
        lost = [*self.running.values(), *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self._cache.clear()
        self._prefill_free_at = 0.0
        self.up = False
        return lost

    def _cached(self, blocks: tuple[str, ...]) -> int:
        for number, block in enumerate(blocks):
            if block not in self._cache:
                return number
        return len(blocks)
