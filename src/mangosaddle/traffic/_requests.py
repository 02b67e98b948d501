"""Requests as input to the placement policy."""

from dataclasses import dataclass

from .._identifiers import OrganisationId, RegionName, ServiceName
from ._catalogue import Route


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests can share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size and parts of a prompt for a model engine."""

    model: str
    prompt_tokens: int
    output_tokens: int
    """Maximum number of tokens to generate."""
    expected_tokens: int
    """Number of tokens that the caller expects; the maximum if it does not state one."""
    parts: tuple[PromptPart, ...]
    """Parts in order; the last one is specific to this request or its session."""

    @property
    def total_tokens(self) -> int:
        """Return the number of tokens charged against an allowance."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request after routing and authentication."""

    id: str
    route: Route
    service: ServiceName
    organisation: OrganisationId | None
    priority: int
    """Priority of the organisation or route; 0 is the most urgent."""
    regions: frozenset[RegionName] | None
    """Regions where the request may run; ``None`` for all regions."""
    prompt: Prompt | None
    began_s: float
    """Monotonic time at which the request started to arrive."""
    deadline_s: float
    """Monotonic time of the caller's or the route's timeout, whichever is earlier."""
    fingerprint: str = ""
    """Digest that is the same for retries of a request."""
    route_label: str = ""
    """Label of the request's route; empty if this VM does not know it."""
    forwarded: bool = False
    """Whether another VM has forwarded the request."""

    def allows(self, region: RegionName) -> bool:
        """Return whether the request may run in a region."""
        return self.regions is None or region in self.regions

    def left_s(self, now: float) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_s - now
