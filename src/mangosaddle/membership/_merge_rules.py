"""Merge rules, which decide which of two facts with the same merge key is kept."""

from dataclasses import dataclass
from typing import Protocol

from .._identifiers import Incarnation, VmId
from ._hashing import stable_hash


@dataclass(frozen=True, slots=True)
class Fact:
    """A replicated fact, which one VM publishes and all others receive."""

    kind: str
    """Name of a registered ``FactKind``."""
    key: str
    """Subject of the fact, for example a key id or a VM."""
    origin: VmId
    """VM that published the fact."""
    incarnation: Incarnation
    """Incarnation of the origin that published the fact."""
    started_ms: int
    """Wall-clock start of that incarnation in milliseconds since the epoch."""
    version: int
    """Version of the fact; its meaning depends on the kind."""
    payload: bytes = b""
    """Content in a format that depends on the kind."""
    expires_at_s: float = 0.0
    """Wall-clock expiry in seconds since the epoch; 0 means never."""


class MergeRule(Protocol):
    """Decides which facts replace others; the result must not depend on the order of arrival."""

    def merge_key(self, fact: Fact) -> tuple[str, str]:
        """Return the key under which only one fact of a kind is kept."""
        ...

    def supersedes(self, new: Fact, old: Fact) -> bool:
        """Return whether the new fact replaces the old one with the same merge key."""
        ...

    def hash_of(self, fact: Fact) -> int:
        """Return a 64-bit hash that is equal for facts that need not be exchanged."""
        ...


def _hash_all_fields(fact: Fact) -> int:
    numbers = f"{fact.started_ms}/{fact.version}/{fact.expires_at_s!r}"
    parts = (fact.kind, fact.key, fact.origin, fact.incarnation, numbers, fact.payload)
    return stable_hash(*parts)


class HighestVersionRule:
    """One fact per key: the highest version is kept; ties are broken by content."""

    def merge_key(self, fact: Fact) -> tuple[str, str]:
        """Return the key alone."""
        return (fact.key, "")

    def supersedes(self, new: Fact, old: Fact) -> bool:
        """Compare versions, then all other fields, so that all VMs break ties alike."""
        return self._order(new) > self._order(old)

    def hash_of(self, fact: Fact) -> int:
        """Hash all fields."""
        return _hash_all_fields(fact)

    @staticmethod
    def _order(fact: Fact) -> tuple[int, int, str, str, bytes, float]:
        return (
            fact.version,
            fact.started_ms,
            fact.origin,
            fact.incarnation,
            fact.payload,
            fact.expires_at_s,
        )


class GrowOnlyRule:
    """A grow-only set of keys: an existing fact is never replaced or removed."""

    def merge_key(self, fact: Fact) -> tuple[str, str]:
        """Return the key alone."""
        return (fact.key, "")

    def supersedes(self, new: Fact, old: Fact) -> bool:
        """Return False, because only the presence of a fact matters."""
        return False

    def hash_of(self, fact: Fact) -> int:
        """Hash only kind and key, because several origins may publish the same element."""
        return stable_hash(fact.kind, fact.key)


class PerOriginRule(HighestVersionRule):
    """One fact per key and origin: the newest incarnation wins, then the highest version."""

    def merge_key(self, fact: Fact) -> tuple[str, str]:
        """Return key and origin."""
        return (fact.key, fact.origin)

    def supersedes(self, new: Fact, old: Fact) -> bool:
        """Compare the start times of the incarnations, then the versions."""
        return (new.started_ms, *self._order(new)) > (old.started_ms, *self._order(old))


HIGHEST_VERSION = HighestVersionRule()
GROW_ONLY = GrowOnlyRule()
PER_ORIGIN = PerOriginRule()


@dataclass(frozen=True, slots=True)
class FactKind:
    """A kind of fact with its merge rule and replication options."""

    name: str
    rule: MergeRule
    lifetime_s: float | None = None
    """Seconds after which a published fact expires; ``None`` means never."""
    confirmed: bool = False
    """Whether VMs confirm facts, so that operators can see where they are in force."""
    regional: bool = False
    """Whether facts are only replicated within the region of their origin."""
    reconciled: bool = True
    """Whether neighbours compare digests of the kind and exchange missing facts.

    Frequently repeated reports are not reconciled: each report in flight would make digests differ,
    so that every heartbeat would start an exchange. A regional kind must not be reconciled, because
    VMs in other regions do not have its facts.
    """

    @property
    def is_grow_only(self) -> bool:
        """Return whether facts of this kind are never replaced or removed."""
        return isinstance(self.rule, GrowOnlyRule)
