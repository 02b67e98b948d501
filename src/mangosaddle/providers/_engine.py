"""Client for the control interface of a model engine; the gateway handles chat streams."""

import json
import math
from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import quote

from returns.result import Failure, Result, Success

from .._identifiers import ModelName, RequestId, VersionId
from ._failures import (
    MalformedResponse,
    OrderFailure,
    OutcomeUnknown,
    QueryFailure,
    ServiceUnavailable,
    StaleFencingNumber,
    to_order_failure,
    to_query_failure,
)
from ._http import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, HttpClient, HttpResponse, parse_json
from ._metrics import PlatformMetrics

VERSION_SEPARATOR = "@"


class EngineOrderKind(StrEnum):
    """Kind of an order to an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load report of an engine: numbers of requests."""

    running: int
    waiting: int
    capacity: int
    """Maximum number of requests that run at the same time."""
    sampled_at_s: float
    """Time of the sample by the clock of the engine."""


@dataclass(frozen=True, slots=True)
class EngineVersion:
    """A model version; engines name it ``model@version``."""

    model: ModelName
    version: VersionId

    def __str__(self) -> str:
        """Return the name ``model@version``."""
        return f"{self.model}{VERSION_SEPARATOR}{self.version}"


@dataclass(frozen=True, slots=True)
class EngineVersions:
    """Versions that an engine serves and the highest fencing number it has received."""

    versions: frozenset[EngineVersion]
    fencing: int | None = None
    """``None`` if the response does not contain it."""
    loading: frozenset[EngineVersion] | None = None
    """Versions being loaded; ``None`` if the response does not contain them."""


class EngineClient:
    """Client for the control calls of one engine; thread-safe."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Create a client for the engine at a base URL; timeouts are in seconds."""
        self._http = HttpClient("engine", base_url, metrics, connect_timeout_s, read_timeout_s)

    def cancel(self, request_id: RequestId) -> Result[None, OrderFailure]:
        """Cancel a request on the engine; the call is idempotent."""
        result = self._http.send("cancel", "POST", f"/v1/cancel/{quote(request_id, safe='')}")
        if not isinstance(result, Success):
            return Failure(to_order_failure(result.failure()))
        status = result.unwrap().status
        return Success(None) if status == 200 else Failure(_order_refusal(status))

    def load(self) -> Result[EngineLoad, QueryFailure]:
        """Read the load report, which lags behind the actual load."""
        return self._get("load", "/v1/load").bind(_decode_load)

    def versions(self) -> Result[EngineVersions, QueryFailure]:
        """Read the versions that the engine currently serves."""
        return self._get("versions", "/v1/versions").bind(_decode_versions)

    def order(
        self, kind: EngineOrderKind, version: EngineVersion, fencing: int
    ) -> Result[EngineVersions, OrderFailure]:
        """Load or unload a version.

        Returns ``StaleFencingNumber`` if a later lease holder has already sent an order.
        """
        order = {"kind": kind.value, "version": str(version), "fencing": fencing}
        body = json.dumps(order).encode()
        result = self._http.send("order", "POST", "/v1/orders", body=body, on_new_connection=True)
        if not isinstance(result, Success):
            return Failure(to_order_failure(result.failure()))
        response = result.unwrap()
        if response.status == 409:
            return Failure(StaleFencingNumber())
        if response.status != 200:
            return Failure(_order_refusal(response.status))
        decoded = _decode_versions(parse_json(response.body))
        if not isinstance(decoded, Success):
            return Failure(OutcomeUnknown("malformed response"))
        return Success(decoded.unwrap())

    def _get(self, kind: str, path: str) -> Result[object, QueryFailure]:
        result = self._http.send(kind, "GET", path)
        if not isinstance(result, Success):
            return Failure(to_query_failure(result.failure()))
        return _decode_document(result.unwrap())


def _order_refusal(status: int) -> OrderFailure:
    if status >= 500:
        return OutcomeUnknown(f"status {status}")
    return MalformedResponse(f"status {status}")


def _decode_document(response: HttpResponse) -> Result[object, QueryFailure]:
    if response.status != 200:
        return Failure(ServiceUnavailable(f"status {response.status}"))
    return Success(parse_json(response.body))


def _decode_load(document: object) -> Result[EngineLoad, QueryFailure]:
    if not isinstance(document, dict):
        return Failure(MalformedResponse("load report is not an object"))
    counts = [document.get(name) for name in ("running", "waiting", "capacity")]
    sampled_at_s = document.get("sampled_at")
    valid_counts = [count for count in counts if type(count) is int and count >= 0]
    if (
        len(valid_counts) != 3
        or isinstance(sampled_at_s, bool)
        or not isinstance(sampled_at_s, int | float)
    ):
        return Failure(MalformedResponse("load report without valid numbers"))
    if not math.isfinite(sampled_at_s):
        return Failure(MalformedResponse("load report without a finite sample time"))
    return Success(
        EngineLoad(valid_counts[0], valid_counts[1], valid_counts[2], float(sampled_at_s))
    )


def _decode_versions(document: object) -> Result[EngineVersions, QueryFailure]:
    if not isinstance(document, dict) or not isinstance(document.get("versions"), list):
        return Failure(MalformedResponse("no list of versions"))
    versions = _decode_names(document["versions"])
    loading = _decode_names(document["loading"]) if "loading" in document else None
    if versions is None or ("loading" in document and loading is None):
        return Failure(MalformedResponse("malformed version name"))
    fencing = document.get("fencing")
    return Success(EngineVersions(versions, fencing if type(fencing) is int else None, loading))


def _decode_names(names: object) -> frozenset[EngineVersion] | None:
    if not isinstance(names, list):
        return None
    parts = [name.partition(VERSION_SEPARATOR) for name in names if isinstance(name, str)]
    if len(parts) != len(names) or not all(model and version for model, _, version in parts):
        return None
    return frozenset(EngineVersion(ModelName(m), VersionId(v)) for m, _, v in parts)
