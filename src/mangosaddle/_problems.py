"""Error responses as RFC 9457 problem documents."""

import json
from dataclasses import dataclass, field
from enum import StrEnum

PROBLEM_TYPE_BASE = "https://mangosaddle.example/problems/"


class Execution(StrEnum):
    """What an error response tells about the execution of the request."""

    NOT_RUN = "not_run"
    """No part of the request can have reached an endpoint."""
    UNKNOWN = "unknown"
    """The request may have run."""


@dataclass(frozen=True, slots=True)
class RequestFinding:
    """A fault in a request, with its location and how to correct it."""

    place: str
    message: str
    remedy: str = ""


@dataclass(frozen=True, slots=True)
class Problem:
    """An error response to a caller."""

    status: int
    """HTTP status code."""
    code: str
    """Stable identifier of the kind of problem; the last segment of the problem type."""
    detail: str
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float | None = None
    """Seconds after which a retry may succeed; ``None`` if waiting does not help."""
    findings: tuple[RequestFinding, ...] = field(default=())
    entry_vms: tuple[str, ...] = ()
    """URLs of other entry VMs that may accept the request."""

    def to_json(self, request_id: str) -> bytes:
        """Return the encoded problem document for a request."""
        document: dict[str, object] = {
            "type": PROBLEM_TYPE_BASE + self.code,
            "title": self.code.replace("-", " "),
            "status": self.status,
            "detail": self.detail,
            "execution": self.execution.value,
            "request_id": request_id,
        }
        if self.findings:
            document["findings"] = [
                {"place": f.place, "message": f.message, "remedy": f.remedy} for f in self.findings
            ]
        if self.entry_vms:
            document["entry_vms"] = list(self.entry_vms)
        if self.retry_after_s is not None:
            document["retry_after_s"] = round(self.retry_after_s, 3)
        return json.dumps(document).encode()
