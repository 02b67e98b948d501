"""Problem documents (RFC 9457) received from entry VMs."""

import json
from collections.abc import Mapping
from dataclasses import dataclass

MAX_RETRY_AFTER_S = 3600.0
"""Upper limit on the value of Retry-After."""


@dataclass(frozen=True, slots=True)
class Problem:
    """A refusal by an entry VM."""

    status: int
    detail: str = ""
    not_run: bool = False
    """Whether the VM states that the request did not reach an endpoint."""
    request_id: str = ""
    retry_after_s: float | None = None
    """Seconds to wait, or ``None`` if the VM does not specify a valid time."""

    @classmethod
    def from_body(cls, status: int, body: bytes, headers: Mapping[str, str]) -> "Problem":
        """Parse a response; without a problem document in the body, the execution is unknown."""
        try:
            document = json.loads(body)
        except ValueError:
            document = None
        if not isinstance(document, dict):
            document = {}
        body_status = document.get("status")
        return cls(
            status=body_status if isinstance(body_status, int) and status == 200 else status,
            detail=str(document.get("detail") or document.get("title") or f"status {status}"),
            not_run=document.get("execution") == "not_run",
            request_id=str(document.get("request_id") or headers.get("X-Request-Id", "")),
            retry_after_s=_parse_retry_after(headers.get("Retry-After", "")),
        )


def _parse_retry_after(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S) if seconds == seconds else None
