"""Refusals as RFC 9457 problem documents."""

import json
from dataclasses import dataclass, field
from enum import StrEnum

PROBLEM_TYPE_BASE = "https://mangosaddle.example/problems/"


class Execution(StrEnum):
    """What a refusal says about the request's effect."""

    NOT_RUN = "not_run"
    """Nothing of the request can have reached an endpoint."""
    UNKNOWN = "unknown"
    """The request may have run."""


@dataclass(frozen=True, slots=True)
class RequestFinding:
    """One fault of a request, with its place and what to do about it."""

    place: str
    message: str
    remedy: str = ""


@dataclass(frozen=True, slots=True)
class Problem:
    """A truthful refusal."""

    status: int
    """HTTP status code."""
    code: str
    """Short fixed name, the last part of the problem type."""
    detail: str
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float | None = None
    """Seconds after which another try may succeed; ``None`` where waiting does not help."""
    findings: tuple[RequestFinding, ...] = field(default=())
    entry_vms: tuple[str, ...] = ()
    """URLs of other entry VMs that may take the request."""

    def to_json(self, request_id: str) -> bytes:
        """Return the document for one request."""
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
