"""Clients of the VM list, the weight store and the client directory."""

import math
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from enum import StrEnum
from urllib.parse import quote

from returns.result import Failure, Result, Success

from .._identifiers import Incarnation, ModelName, OrganisationId, VersionId, VmId
from ._http import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, HttpExchange, parse_json
from ._metrics import PlatformMetrics
from ._outcomes import (
    MalformedResponse,
    NotFound,
    QueryFailure,
    RateLimited,
    ServiceUnavailable,
    query_failure,
)

DEFAULT_RETRY_AFTER_S = 1.0
RETRY_AFTER_LIMIT_S = 3600.0


class ListedVmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVmRow:
    """One row of the platform's list, which lags."""

    id: VmId
    state: ListedVmState
    incarnation: Incarnation | None
    """``None`` when the list does not state it."""


@dataclass(frozen=True, slots=True)
class WeightManifest:
    """Weights of a model version in the weight store."""

    model: ModelName
    version: VersionId
    size_bytes: int


@dataclass(frozen=True, slots=True)
class ClientRecord:
    """A caller in the client directory."""

    id: str
    organisation: OrganisationId


class VmListClient:
    """Reads the platform's lagging list of VMs."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Create a client for the list at a base URL."""
        self._http = HttpExchange("vm_list", base_url, metrics, connect_timeout_s, read_timeout_s)

    def read(self) -> Result[dict[VmId, ListedVmRow], QueryFailure]:
        """Read all rows by VM; a malformed or repeated row makes the whole list malformed.

        A VM that is dropped or shows another incarnation loses its slots, so a row that is not
        understood must not look like either.
        """
        sent = self._http.send("read", "GET", "/v1/vms")
        if not isinstance(sent, Success):
            return Failure(query_failure(sent.failure()))
        if sent.unwrap().status != 200:
            return Failure(ServiceUnavailable(f"status {sent.unwrap().status}"))
        document = parse_json(sent.unwrap().body)
        rows = [_decode_vm(row) for row in document] if isinstance(document, list) else [None]
        complete = [row for row in rows if row is not None]
        by_id = {row.id: row for row in complete}
        if len(by_id) != len(rows):
            return Failure(MalformedResponse("malformed VM list"))
        return Success(by_id)


def _decode_vm(row: object) -> ListedVmRow | None:
    if not isinstance(row, dict):
        return None
    identifier, state, incarnation = row.get("id"), row.get("state"), row.get("incarnation")
    if not isinstance(identifier, str) or not isinstance(incarnation, str | None):
        return None
    if not identifier or state not in tuple(ListedVmState):
        return None
    known = Incarnation(incarnation) if incarnation else None
    return ListedVmRow(VmId(identifier), ListedVmState(state), known)


class WeightStoreClient:
    """Asks the rate-limited weight store; sends nothing before a stated wait has passed."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create a client for the weight store at a base URL."""
        self._http = HttpExchange(
            "weight_store", base_url, metrics, connect_timeout_s, read_timeout_s
        )
        self._clock = clock
        self._wall_clock = wall_clock
        self._blocked_until = -math.inf
        self._lock = threading.Lock()

    def manifest(
        self, model: ModelName, version: VersionId
    ) -> Result[WeightManifest, QueryFailure | RateLimited | NotFound]:
        """Read what the store holds for a version; every call counts towards the store's rate."""
        with self._lock:
            remaining_s = self._blocked_until - self._clock()
        if remaining_s > 0:
            return Failure(RateLimited(remaining_s))
        path = f"/v1/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        sent = self._http.send("manifest", "GET", path)
        if not isinstance(sent, Success):
            return Failure(query_failure(sent.failure()))
        answer = sent.unwrap()
        if answer.status in (429, 503):
            return Failure(self._block(answer.headers))
        if answer.status == 404:
            return Failure(NotFound())
        document = parse_json(answer.body)
        size = document.get("size_bytes") if isinstance(document, dict) else None
        if answer.status != 200 or type(size) is not int or size < 0:
            return Failure(MalformedResponse("no size"))
        return Success(WeightManifest(model, version, size))

    def _block(self, headers: Mapping[str, str]) -> RateLimited:
        retry_after_s = parse_retry_after(headers, self._wall_clock())
        with self._lock:
            self._blocked_until = max(self._blocked_until, self._clock() + retry_after_s)
        return RateLimited(retry_after_s)


def parse_retry_after(headers: Mapping[str, str], wall_now_s: float) -> float:
    """Return the wait in seconds that ``Retry-After`` states, as a number or a date."""
    text = next((v.strip() for n, v in headers.items() if n.lower() == "retry-after"), "")
    if text.isascii() and text.isdigit():
        return min(float(text), RETRY_AFTER_LIMIT_S)
    try:
        moment = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return DEFAULT_RETRY_AFTER_S
    aware = moment if moment.tzinfo else moment.replace(tzinfo=UTC)
    wait_s = (aware - datetime.fromtimestamp(wall_now_s, UTC)).total_seconds()
    return min(max(wait_s, 0.0), RETRY_AFTER_LIMIT_S)


class ClientDirectoryClient:
    """Looks callers up in the platform's client directory."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Create a client for the directory at a base URL."""
        self._http = HttpExchange(
            "client_directory", base_url, metrics, connect_timeout_s, read_timeout_s
        )

    def find(self, client_id: str) -> Result[ClientRecord, QueryFailure | NotFound]:
        """Read one caller; ``NotFound`` when the directory does not know it."""
        sent = self._http.send("find", "GET", f"/v1/clients/{quote(client_id, safe='')}")
        if not isinstance(sent, Success):
            return Failure(query_failure(sent.failure()))
        answer = sent.unwrap()
        if answer.status == 404:
            return Failure(NotFound())
        if answer.status != 200:
            return Failure(ServiceUnavailable(f"status {answer.status}"))
        document = parse_json(answer.body)
        organisation = document.get("organisation") if isinstance(document, dict) else None
        if not isinstance(organisation, str) or not organisation:
            return Failure(MalformedResponse("no organisation"))
        return Success(ClientRecord(client_id, OrganisationId(organisation)))
