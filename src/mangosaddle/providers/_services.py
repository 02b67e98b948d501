"""Clients for the VM list, the weight store and the client directory."""

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
from ._failures import (
    MalformedResponse,
    NotFound,
    QueryFailure,
    RateLimited,
    ServiceUnavailable,
    to_query_failure,
)
from ._http import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, HttpClient, parse_json
from ._metrics import PlatformMetrics

DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3600.0


class ListedVmState(StrEnum):
    """State of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVmRow:
    """One row of the platform's VM list, which lags behind the actual state."""

    id: VmId
    state: ListedVmState
    incarnation: Incarnation | None
    """``None`` if the list does not contain it."""


@dataclass(frozen=True, slots=True)
class WeightManifest:
    """Size of the weights of a model version in the weight store."""

    model: ModelName
    version: VersionId
    size_bytes: int


@dataclass(frozen=True, slots=True)
class ClientRecord:
    """Entry of a caller in the client directory."""

    id: str
    organisation: OrganisationId


class VmListClient:
    """Client for the platform's VM list."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Create a client for the list at a base URL; timeouts are in seconds."""
        self._http = HttpClient("vm_list", base_url, metrics, connect_timeout_s, read_timeout_s)

    def read(self) -> Result[dict[VmId, ListedVmRow], QueryFailure]:
        """Read all rows, keyed by VM; one malformed or duplicate row invalidates the whole list.

        A VM that is missing or has a new incarnation loses its slots, so a malformed row must not
        be mistaken for either.
        """
        result = self._http.send("read", "GET", "/v1/vms")
        if not isinstance(result, Success):
            return Failure(to_query_failure(result.failure()))
        if result.unwrap().status != 200:
            return Failure(ServiceUnavailable(f"status {result.unwrap().status}"))
        document = parse_json(result.unwrap().body)
        rows = [_decode_vm(row) for row in document] if isinstance(document, list) else [None]
        valid_rows = [row for row in rows if row is not None]
        rows_by_id = {row.id: row for row in valid_rows}
        if len(rows_by_id) != len(rows):
            return Failure(MalformedResponse("malformed VM list"))
        return Success(rows_by_id)


def _decode_vm(row: object) -> ListedVmRow | None:
    if not isinstance(row, dict):
        return None
    vm_id, state, incarnation = row.get("id"), row.get("state"), row.get("incarnation")
    if not isinstance(vm_id, str) or not isinstance(incarnation, str | None):
        return None
    if not vm_id or state not in tuple(ListedVmState):
        return None
    known_incarnation = Incarnation(incarnation) if incarnation else None
    return ListedVmRow(VmId(vm_id), ListedVmState(state), known_incarnation)


class WeightStoreClient:
    """Client for the rate-limited weight store; makes no call before ``Retry-After`` has passed."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create a client for the weight store at a base URL; timeouts are in seconds."""
        self._http = HttpClient(
            "weight_store", base_url, metrics, connect_timeout_s, read_timeout_s
        )
        self._clock = clock
        self._wall_clock = wall_clock
        self._blocked_until_s = -math.inf
        self._lock = threading.Lock()

    def manifest(
        self, model: ModelName, version: VersionId
    ) -> Result[WeightManifest, QueryFailure | RateLimited | NotFound]:
        """Read the manifest of a version; each call counts towards the rate limit of the store."""
        with self._lock:
            remaining_s = self._blocked_until_s - self._clock()
        if remaining_s > 0:
            return Failure(RateLimited(remaining_s))
        path = f"/v1/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        result = self._http.send("manifest", "GET", path)
        if not isinstance(result, Success):
            return Failure(to_query_failure(result.failure()))
        response = result.unwrap()
        if response.status in (429, 503):
            return Failure(self._block_calls(response.headers))
        if response.status == 404:
            return Failure(NotFound())
        document = parse_json(response.body)
        size = document.get("size_bytes") if isinstance(document, dict) else None
        if response.status != 200 or type(size) is not int or size < 0:
            return Failure(MalformedResponse("no valid size"))
        return Success(WeightManifest(model, version, size))

    def _block_calls(self, headers: Mapping[str, str]) -> RateLimited:
        retry_after_s = parse_retry_after(headers, self._wall_clock())
        with self._lock:
            self._blocked_until_s = max(self._blocked_until_s, self._clock() + retry_after_s)
        return RateLimited(retry_after_s)


def parse_retry_after(headers: Mapping[str, str], wall_now_s: float) -> float:
    """Return the wait in seconds given by ``Retry-After``, which holds a number or a date.

    A missing or malformed header gives ``DEFAULT_RETRY_AFTER_S``.
    """
    text = next((v.strip() for n, v in headers.items() if n.lower() == "retry-after"), "")
    if text.isascii() and text.isdigit():
        return min(float(text), MAX_RETRY_AFTER_S)
    try:
        moment = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return DEFAULT_RETRY_AFTER_S
    aware_moment = moment if moment.tzinfo else moment.replace(tzinfo=UTC)
    wait_s = (aware_moment - datetime.fromtimestamp(wall_now_s, UTC)).total_seconds()
    return min(max(wait_s, 0.0), MAX_RETRY_AFTER_S)


class ClientDirectoryClient:
    """Client for the platform's client directory."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Create a client for the directory at a base URL; timeouts are in seconds."""
        self._http = HttpClient(
            "client_directory", base_url, metrics, connect_timeout_s, read_timeout_s
        )

    def find(self, client_id: str) -> Result[ClientRecord, QueryFailure | NotFound]:
        """Look up a caller; ``NotFound`` if the directory does not know it."""
        result = self._http.send("find", "GET", f"/v1/clients/{quote(client_id, safe='')}")
        if not isinstance(result, Success):
            return Failure(to_query_failure(result.failure()))
        response = result.unwrap()
        if response.status == 404:
            return Failure(NotFound())
        if response.status != 200:
            return Failure(ServiceUnavailable(f"status {response.status}"))
        document = parse_json(response.body)
        organisation = document.get("organisation") if isinstance(document, dict) else None
        if not isinstance(organisation, str) or not organisation:
            return Failure(MalformedResponse("no valid organisation"))
        return Success(ClientRecord(client_id, OrganisationId(organisation)))
