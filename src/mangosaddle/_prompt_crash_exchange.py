"""Exchange between VMs of evidence about prompt parts that crash endpoints."""

import itertools
import logging
import math
from collections.abc import Callable
from typing import Any

import cbor2

from ._cbor import decode_cbor
from ._prompt_quarantine import (
    MAX_CLEARED_PARTS,
    PROMPT_CRASH_TTL_S,
    Parts,
    PromptCrash,
    PromptQuarantine,
)
from .membership import HIGHEST_VERSION, PER_ORIGIN, Fact, FactKind
from .peers import PeerNode

PROMPT_CRASHES = FactKind("prompt-crashes", PER_ORIGIN, lifetime_s=PROMPT_CRASH_TTL_S)
"""Prompts that one VM lost with an endpoint; the key numbers the reports of a VM."""
CLEARED_PARTS = FactKind("cleared-parts", HIGHEST_VERSION, lifetime_s=PROMPT_CRASH_TTL_S)
"""Time of a complete answer on a suspect prompt part; the key is the part's digest."""
CLEARED_PART_INTERVAL_S = 5.0
"""Minimum time between two reports about a part: all VMs see answers on a part in common use, and
one report is enough."""

logger = logging.getLogger(__name__)


class PromptCrashExchange:
    """Publishes this VM's evidence and includes that of other VMs."""

    def __init__(
        self, node: PeerNode, prompts: PromptQuarantine, wall_clock: Callable[[], float]
    ) -> None:
        """Create the exchange and subscribe to the evidence of other VMs."""
        self._node = node
        self._prompts = prompts
        self._wall_clock = wall_clock
        self._report_numbers = itertools.count(1)
        self._reported_slot_by_part: dict[str, int] = {}
        """Interval of the latest report about a part, counted since the epoch."""
        node.on_fact(PROMPT_CRASHES.name, self._on_prompt_crash)
        node.on_fact(CLEARED_PARTS.name, self._on_cleared_part)

    def publish_prompt_crash(self, crash: PromptCrash) -> None:
        """Publish the prompts that were lost with an endpoint."""
        suspects = [sorted(parts) for parts in crash.suspects]
        payload = cbor2.dumps([crash.process, crash.at_s, suspects])
        number = next(self._report_numbers)
        self._node.publish(self._node.new_fact(PROMPT_CRASHES.name, str(number), 1, payload))

    def publish_cleared_parts(self, parts: Parts) -> None:
        """Publish suspect parts on which an answer has been completed, unless this is known."""
        slot = int(self._wall_clock() // CLEARED_PART_INTERVAL_S)
        for part in parts:
            if self._reported_slot_by_part.get(part, 0) < slot:
                payload = cbor2.dumps(self._wall_clock())
                self._node.publish(self._node.new_fact(CLEARED_PARTS.name, part, slot, payload))

    def _on_prompt_crash(self, fact: Fact) -> None:
        crash = decode_prompt_crash(fact.payload)
        if crash is None:
            logger.warning("cannot decode a prompt crash", extra={"vm": fact.origin})
            return
        record_prompt_crash(self._prompts, crash, self._wall_clock())

    def _on_cleared_part(self, fact: Fact) -> None:
        at_s = decode_cleared_at_s(fact.payload)
        if at_s is None:
            logger.warning("cannot decode a cleared part", extra={"vm": fact.origin})
            return
        if len(self._reported_slot_by_part) > MAX_CLEARED_PARTS:
            self._reported_slot_by_part.clear()
        self._reported_slot_by_part[fact.key] = fact.version
        self._prompts.record_answer(frozenset((fact.key,)), min(at_s, self._wall_clock()))


def record_prompt_crash(prompts: PromptQuarantine, crash: PromptCrash, wall_time: float) -> None:
    """Add a crash and log the parts that it quarantines."""
    known = prompts.patterns()
    prompts.record_crash(crash, wall_time)
    for pattern in prompts.patterns():
        if pattern not in known:
            logger.warning("prompt parts quarantined", extra={"parts": sorted(pattern)})


def decode_prompt_crash(payload: bytes) -> PromptCrash | None:
    """Return a report about a crash, or ``None`` if it cannot be decoded."""
    try:
        rows: Any = decode_cbor(payload)
        process, at_s, suspects = rows
        parts = frozenset(frozenset(str(part) for part in suspect) for suspect in suspects)
        crash = PromptCrash(str(process), float(at_s), parts)
    except (ValueError, TypeError, OverflowError):
        return None
    return crash if math.isfinite(crash.at_s) else None


def decode_cleared_at_s(payload: bytes) -> float | None:
    """Return the wall-clock time of an answer in seconds, or ``None`` if it cannot be decoded."""
    try:
        encoded: Any = decode_cbor(payload)
        at_s = float(encoded)
    except (ValueError, TypeError, OverflowError):
        return None
    return at_s if math.isfinite(at_s) else None
