"""Problem documents (RFC 9457) as the client reads them."""

import json
from collections.abc import Mapping
from dataclasses import dataclass

MAX_RETRY_AFTER_S = 3600.0
"""Larger values of Retry-After are cut to this."""


@dataclass(frozen=True, slots=True)
class Problem:
    """A refusal by an entry VM."""

    status: int
    detail: str = ""
    not_run: bool = False
    """Whether the VM states that the request has not reached an endpoint."""
    request_id: str = ""
    retry_after_s: float | None = None
    """Seconds to wait, ``None`` when the VM names no time."""

    @classmethod
    def from_body(cls, status: int, body: bytes, headers: Mapping[str, str]) -> "Problem":
        """Read a response; a body that is no problem document leaves the execution unknown."""
        try:
            document = json.loads(body)
        except ValueError:
            document = None
        if not isinstance(document, dict):
            document = {}
        stated = document.get("status")
        return cls(
            status=stated if isinstance(stated, int) and status == 200 else status,
            detail=str(document.get("detail") or document.get("title") or f"status {status}"),
            not_run=document.get("execution") == "not_run",
            request_id=str(document.get("request_id") or headers.get("X-Request-Id", "")),
            retry_after_s=_seconds(headers.get("Retry-After", "")),
        )


def _seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S) if seconds == seconds else None
