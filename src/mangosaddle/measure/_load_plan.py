"""The seeded arrivals of a load run."""

import random
import string
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from .._identifiers import OrganisationId, RegionName
from ..configuration import Configuration, EndpointKind, Organisation
from ._ideal_bucket import Demand, ideal_admissions

LOAD_S = 60.0
"""Long enough for the 200 answers that a new version needs before it gets all traffic."""
PHASES = 3
PHASE_S = LOAD_S / PHASES
FLOOD_PHASE = 1
FLOOD_FACTOR = 10.0
"""One organisation sends so many times its rate during the flood phase."""
FLOODING_ORGANISATION = 2
"""Place of that organisation in the inventory: one of the smaller ones."""
LOWEST_USE, HIGHEST_USE = 0.6, 0.8
"""Part of its rate that an organisation uses otherwise."""
PEAK_FACTOR, OFF_PEAK_FACTOR = 1.6, 0.7
"""In each phase one region has its daily peak."""
HOME_PART = 0.9
"""Part of the requests of an organisation with residency that come from its home regions."""

INTERACTIVE_PART = 0.85
"""Part of the chats that are short and streamed."""
SYSTEM_PROMPT_WORDS = 128
DOCUMENT_WORDS = 400
DOCUMENTS_PER_ORGANISATION = 4
CALLERS_PER_REGION = 2
"""Callers of an organisation in a region; each knows another entry VM first."""
READS_PER_S = 8.0
ORDERS_PER_S = 3.0
REPEATED_ORDERS_PART = 0.5
LARGEST_REPEAT_DELAY_S = 0.5
MESSAGE_OVERHEAD_TOKENS = 4
"""What an entry VM adds to the upper bound of a prompt with one message."""
CALL_TOKENS = 1


class RequestKind(StrEnum):
    """What a caller does."""

    INTERACTIVE = "interactive"
    PATIENT = "patient"
    READ = "read"
    ORDER = "order"


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the plan."""

    number: int
    at_s: float
    """Seconds from the start of the load."""
    organisation: OrganisationId
    region: RegionName
    """Region of the caller."""
    kind: RequestKind
    prompt: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    max_tokens: int = 0
    order: str = ""
    """Idempotency key of an order."""
    is_repeat: bool = False
    """Second sending of an order, at another VM."""

    @property
    def caller(self) -> tuple[str, str, int]:
        """Organisation, region and number of the caller that sends the request."""
        number = self.number % CALLERS_PER_REGION
        return str(self.organisation), str(self.region), number

    @property
    def is_chat(self) -> bool:
        """Whether a model answers."""
        return self.kind in (RequestKind.INTERACTIVE, RequestKind.PATIENT)

    def demand(self) -> Demand:
        """Return the request as a rate limiter sees it; open reads cost nothing."""
        if not self.is_chat:
            cost = CALL_TOKENS if self.kind is RequestKind.ORDER else 0
            return Demand(self.at_s, cost, cost)
        bound = self.prompt_tokens + MESSAGE_OVERHEAD_TOKENS + self.max_tokens
        return Demand(self.at_s, bound, self.prompt_tokens + self.answer_tokens)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """All arrivals in order, and what they are meant to be."""

    arrivals: tuple[Arrival, ...]
    flooding: OrganisationId
    """The organisation that sends ten times its rate in one phase."""
    ideal_by_number: dict[int, bool]
    """Whether one ideal bucket of its organisation would admit the arrival."""

    @classmethod
    def from_seed(cls, configuration: Configuration, seed: int) -> "LoadPlan":
        """Draw the arrivals; equal seeds and configurations give equal plans."""
        writer = _PlanWriter(configuration, random.Random(f"load/{seed}"))
        drawn = sorted(writer.draw(), key=lambda arrival: (arrival.at_s, arrival.number))
        ideal: dict[int, bool] = {}
        for organisation in configuration.organisations_by_id.values():
            own = [arrival for arrival in drawn if arrival.organisation == organisation.id]
            admitted = ideal_admissions(
                [arrival.demand() for arrival in own],
                organisation.rate_tokens_per_s,
                organisation.burst_tokens,
            )
            ideal |= {arrival.number: fits for arrival, fits in zip(own, admitted, strict=True)}
        return cls(tuple(drawn), writer.flooding, ideal)

    def token_interval_s(
        self, configuration: Configuration, engine_use: float, prefill_s: float
    ) -> float:
        """Return the engines' time per token with which what is admitted keeps them busy.

        ``engine_use`` is the part of all places at engines that is busy on average;
        ``prefill_s`` the time to compute all prompts.
        """
        engines = configuration.endpoints_by_id.values()
        places = sum(e.capacity for e in engines if e.kind is EndpointKind.ENGINE)
        answered = sum(a.answer_tokens for a in self.arrivals if self.ideal_by_number[a.number])
        return max(0.001, (engine_use * places * LOAD_S - prefill_s) / answered)


class _PlanWriter:
    """Draws arrivals from one random generator, in a fixed order."""

    def __init__(self, configuration: Configuration, rng: random.Random) -> None:
        self._rng = rng
        self._configuration = configuration
        self._regions = sorted(configuration.regions())
        self._organisations = list(configuration.organisations_by_id.values())
        self.flooding = self._organisations[FLOODING_ORGANISATION].id
        self._number = 0
        self._places = {
            region: sum(
                e.capacity
                for e in configuration.endpoints_by_id.values()
                if e.region == region and e.kind is EndpointKind.ENGINE
            )
            for region in self._regions
        }

    def draw(self) -> Iterator[Arrival]:
        """Yield all arrivals, organisation by organisation."""
        for organisation in self._organisations:
            yield from self._chats(organisation)
        total = sum(o.rate_tokens_per_s for o in self._organisations)
        for organisation in self._organisations:
            part = organisation.rate_tokens_per_s / total
            for at_s in self._gaps(READS_PER_S * part, 0.0, LOAD_S):
                region = self._region(organisation, at_s)
                yield Arrival(self._next(), at_s, organisation.id, region, RequestKind.READ)
            yield from self._orders(organisation, ORDERS_PER_S * part)

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _gaps(self, rate_per_s: float, start_s: float, end_s: float) -> Iterator[float]:
        at_s = start_s + self._rng.expovariate(rate_per_s)
        while at_s < end_s:
            yield at_s
            at_s += self._rng.expovariate(rate_per_s)

    def _chats(self, organisation: Organisation) -> Iterator[Arrival]:
        use = self._rng.uniform(LOWEST_USE, HIGHEST_USE)
        system = self._words(SYSTEM_PROMPT_WORDS)
        documents = [self._words(DOCUMENT_WORDS) for _ in range(DOCUMENTS_PER_ORGANISATION)]
        for phase in range(PHASES):
            is_flood = organisation.id == self.flooding and phase == FLOOD_PHASE
            tokens_per_s = organisation.rate_tokens_per_s * (FLOOD_FACTOR if is_flood else use)
            rate_per_s = tokens_per_s / _MEAN_CHAT_TOKENS
            for at_s in self._gaps(rate_per_s, phase * PHASE_S, (phase + 1) * PHASE_S):
                yield self._chat(organisation, at_s, system, documents)

    def _chat(
        self, organisation: Organisation, at_s: float, system: str, documents: list[str]
    ) -> Arrival:
        if self._rng.random() < INTERACTIVE_PART:
            kind, shared, own, answer, bound = (
                RequestKind.INTERACTIVE,
                system,
                (20, 60),
                (20, 60),
                64,
            )
        else:
            kind, shared = RequestKind.PATIENT, self._rng.choice(documents)
            own, answer, bound = (100, 300), (60, 140), 160
        prompt = f"{shared} {self._words(self._rng.randint(*own))}"
        return Arrival(
            self._next(),
            at_s,
            organisation.id,
            self._region(organisation, at_s),
            kind,
            prompt,
            len(prompt.split()),
            self._rng.randint(*answer),
            bound,
        )

    def _orders(self, organisation: Organisation, rate_per_s: float) -> Iterator[Arrival]:
        for at_s in self._gaps(rate_per_s, 0.0, LOAD_S):
            region = self._region(organisation, at_s)
            number = self._next()
            order = f"load-{number}"
            one = Arrival(number, at_s, organisation.id, region, RequestKind.ORDER, order=order)
            yield one
            if self._rng.random() < REPEATED_ORDERS_PART:
                again_s = at_s + self._rng.uniform(0.0, LARGEST_REPEAT_DELAY_S)
                yield Arrival(
                    self._next(),
                    again_s,
                    organisation.id,
                    region,
                    RequestKind.ORDER,
                    order=order,
                    is_repeat=True,
                )

    def _region(self, organisation: Organisation, at_s: float) -> RegionName:
        """Draw a caller's region: by the size of its engines and the daily peak."""
        if organisation.regions and self._rng.random() < HOME_PART:
            return self._rng.choice(sorted(organisation.regions))
        peak = min(PHASES - 1, int(at_s / PHASE_S)) % len(self._regions)
        weights = [
            self._places[region] * (PEAK_FACTOR if place == peak else OFF_PEAK_FACTOR)
            for place, region in enumerate(self._regions)
        ]
        return self._rng.choices(self._regions, weights)[0]

    def _words(self, count: int) -> str:
        # Three letters and a space are four bytes, which an entry VM counts as one token.
        letters = string.ascii_lowercase
        return " ".join("".join(self._rng.choices(letters, k=3)) for _ in range(count))


_MEAN_CHAT_TOKENS = INTERACTIVE_PART * (SYSTEM_PROMPT_WORDS + 40 + 40) + (1 - INTERACTIVE_PART) * (
    DOCUMENT_WORDS + 200 + 100
)
"""Mean of prompt and answer, from the ranges in ``_PlanWriter._chat``."""
