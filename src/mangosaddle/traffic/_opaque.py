"""Requests and answers that are passed on without being read."""

from dataclasses import dataclass, field

from ..http11 import HeaderList
from ._requests import Prompt


@dataclass(frozen=True, slots=True)
class OpaqueRequest:
    """A caller's request, decoded by the adapter of the wire format."""

    id: str
    method: bytes
    target: bytes
    """Path and query as received."""
    host: str
    path: str
    headers: HeaderList
    """Headers that an endpoint may see, as received."""
    body: bytes = field(repr=False)
    key: str | None = field(repr=False)
    """Key that the caller presented."""
    caller_timeout_s: float | None
    """Time for which the caller waits, from its sending; ``None`` if it says nothing."""
    resume_after: int | None
    """Number of the last event that the caller has of an earlier answer."""
    prompt: Prompt | None


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """The head of an endpoint's answer, decoded by the adapter of the wire format."""

    status: int
    headers: HeaderList
    """Headers that travel on to the caller."""
    proves_not_run: bool
    """Whether the endpoint states that the request has not run and will not."""
    wrong_instance: bool
    """Whether the address belongs to another endpoint by now."""
    genuine: bool
    """Whether the head is that of the endpoint's own, unencoded answer."""
    cold_s: float | None
    """Time for which the endpoint stays cold, if it says so."""

    @property
    def succeeded(self) -> bool:
        """Return whether the endpoint carried the request out."""
        return 200 <= self.status < 300
