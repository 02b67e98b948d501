"""Requests as the decisions see them."""

from dataclasses import dataclass

from .._identifiers import OrganisationId, RegionName, ServiceName
from ._catalogue import Route


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size and parts of a prompt for a model engine."""

    model: str
    prompt_tokens: int
    output_tokens: int
    """Largest number of tokens that may be generated."""
    expected_tokens: int
    """Number of tokens that the caller expects; the largest number if it says nothing."""
    parts: tuple[PromptPart, ...]
    """In order; the last one belongs to this request or its session."""

    @property
    def total_tokens(self) -> int:
        """Return the tokens that count towards an allowance."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request whose route and caller are known."""

    id: str
    route: Route
    service: ServiceName
    organisation: OrganisationId | None
    priority: int
    """Rank of the caller or route; 0 is the most urgent."""
    regions: frozenset[RegionName] | None
    """Regions where it may run; ``None`` for all."""
    prompt: Prompt | None
    began_s: float
    """Monotonic time at which it began to arrive."""
    deadline_s: float
    """Monotonic time at which the caller gives up or the route's time is over."""
    fingerprint: str = ""
    """Digest that is equal for repetitions of the same request."""
    route_label: str = ""
    """Label of the route that leads to the service; empty if this VM does not know it."""
    forwarded: bool = False
    """Whether another VM has passed it on."""

    def allows(self, region: RegionName) -> bool:
        """Return whether the request may run in a region."""
        return self.regions is None or region in self.regions

    def left_s(self, now: float) -> float:
        """Return the time that is left in seconds."""
        return self.deadline_s - now
