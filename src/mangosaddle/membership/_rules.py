"""Merge rules: which of two facts about the same matter stays."""

from dataclasses import dataclass
from typing import Protocol

from .._identifiers import Incarnation, VmId
from ._hashing import stable_hash


@dataclass(frozen=True, slots=True)
class Fact:
    """A replicated fact, spread from one VM to all others."""

    kind: str
    """Name of a registered kind."""
    key: str
    """What the fact is about, for example a key id or a VM."""
    origin: VmId
    """VM that published the fact."""
    incarnation: Incarnation
    """Incarnation of the origin that published the fact."""
    started_ms: int
    """Wall-clock start of that incarnation in milliseconds since the epoch."""
    version: int
    """Version of the fact; its meaning belongs to the kind."""
    payload: bytes = b""
    """Content, in the encoding of the kind's owner."""
    expires_at_s: float = 0.0
    """Wall-clock expiry in seconds since the epoch; 0 means never."""


class MergeRule(Protocol):
    """Decides what a fact replaces; the result may not depend on the order of arrival."""

    def slot(self, fact: Fact) -> tuple[str, str]:
        """Return the place of the fact within its kind."""
        ...

    def supersedes(self, new: Fact, old: Fact) -> bool:
        """Return whether the new fact replaces the old one in the same place."""
        ...

    def hash_of(self, fact: Fact) -> int:
        """Return a 64-bit hash that is equal for facts that need no exchange."""
        ...


def _full_hash(fact: Fact) -> int:
    numbers = f"{fact.started_ms}/{fact.version}/{fact.expires_at_s!r}"
    parts = (fact.kind, fact.key, fact.origin, fact.incarnation, numbers, fact.payload)
    return stable_hash(*parts)


class HighestVersionRule:
    """One fact per key: the highest version stays; a tie is decided by content."""

    def slot(self, fact: Fact) -> tuple[str, str]:
        """Return the key alone."""
        return (fact.key, "")

    def supersedes(self, new: Fact, old: Fact) -> bool:
        """Compare versions, then origins and content so that all VMs agree on ties."""
        return self._order(new) > self._order(old)

    def hash_of(self, fact: Fact) -> int:
        """Hash all fields."""
        return _full_hash(fact)

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
    """A set of keys: a fact that is present is never replaced or removed."""

    def slot(self, fact: Fact) -> tuple[str, str]:
        """Return the key alone."""
        return (fact.key, "")

    def supersedes(self, new: Fact, old: Fact) -> bool:
        """Return False: presence is all that counts."""
        return False

    def hash_of(self, fact: Fact) -> int:
        """Hash kind and key, because two origins may publish the same member of the set."""
        return stable_hash(fact.kind, fact.key)


class PerOriginRule(HighestVersionRule):
    """One fact per key and origin: the newest incarnation, then the highest version stays."""

    def slot(self, fact: Fact) -> tuple[str, str]:
        """Return key and origin."""
        return (fact.key, fact.origin)

    def supersedes(self, new: Fact, old: Fact) -> bool:
        """Compare the start of the incarnation before the version."""
        return (new.started_ms, *self._order(new)) > (old.started_ms, *self._order(old))


HIGHEST_VERSION = HighestVersionRule()
GROW_ONLY = GrowOnlyRule()
PER_ORIGIN = PerOriginRule()


@dataclass(frozen=True, slots=True)
class FactKind:
    """A kind of facts with its merge rule."""

    name: str
    rule: MergeRule
    lifetime_s: float | None = None
    """Time after which a published fact expires; ``None`` means never."""
    confirmed: bool = False
    """Whether VMs confirm a fact, so that an operator learns where it is in force."""
    regional: bool = False
    """Whether facts stay in the region of their origin."""
    reconciled: bool = True
    """Whether neighbours compare and repair the kind. Reports that are soon repeated are not: each
    one on its way would make digests differ, and every heartbeat would start an exchange. A
    regional kind must not be reconciled, because VMs of other regions do not have it."""

    @property
    def is_grow_only(self) -> bool:
        """Return whether a fact of this kind is never undone."""
        return isinstance(self.rule, GrowOnlyRule)
