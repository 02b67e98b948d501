"""Requests and answers whose bodies are passed on without being parsed."""

from dataclasses import dataclass, field

from ..http11 import HeaderList
from ._requests import Prompt


@dataclass(frozen=True, slots=True)
class OpaqueRequest:
    """A caller's request as decoded by the wire-format adapter."""

    id: str
    method: bytes
    target: bytes
    """Path and query as received."""
    host: str
    path: str
    headers: HeaderList
    """Headers that are passed on to the endpoint, as received."""
    body: bytes = field(repr=False)
    key: str | None = field(repr=False)
    """API key sent by the caller."""
    caller_timeout_s: float | None
    """Time for which the caller waits after sending the request; ``None`` if not stated."""
    resume_after: int | None
    """Id of the last event that the caller received of an earlier answer."""
    prompt: Prompt | None


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """Status and headers of an endpoint's answer as decoded by the wire-format adapter."""

    status: int
    headers: HeaderList
    """Headers that are passed on to the caller."""
    proves_not_run: bool
    """Whether the endpoint states that the request has not run and will not run."""
    wrong_instance: bool
    """Whether the address now belongs to another endpoint."""
    genuine: bool
    """Whether the answer comes from the endpoint itself and its body is not encoded."""
    cold_s: float | None
    """Remaining cold phase that the endpoint announces, or ``None``."""
    limit_per_s: float | None = None
    """Requests a second that the endpoint accepts from all VMs together, or ``None``."""
    is_leaving: bool = False
    """Whether the endpoint says that it is leaving."""
    wait_s: float | None = None
    """Seconds for which the endpoint wants no request from this VM, or ``None``."""
    tolerated_rejections_per_s: float | None = None
    """Requests a second that the endpoint can reject before it fails, or ``None`` for any."""

    @property
    def succeeded(self) -> bool:
        """Return whether the status is a success status."""
        return 200 <= self.status < 300
