"""Client of a model engine's control calls; the chat stream belongs to the gateway."""

import json
import math
from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import quote

from returns.result import Failure, Result, Success

from .._identifiers import ModelName, RequestId, VersionId
from ._http import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, HttpAnswer, HttpExchange, parse_json
from ._metrics import PlatformMetrics
from ._outcomes import (
    MalformedResponse,
    OrderFailure,
    OutcomeUnknown,
    QueryFailure,
    ServiceUnavailable,
    StaleFencingNumber,
    order_failure,
    query_failure,
)

VERSION_SEPARATOR = "@"


class EngineOrderKind(StrEnum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load report of an engine."""

    running: int
    waiting: int
    capacity: int
    """Requests that run at the same time."""
    sampled_at: float
    """Seconds by the engine's own clock."""


@dataclass(frozen=True, slots=True)
class EngineVersion:
    """A model version as an engine names it, ``model@version`` on the wire."""

    model: ModelName
    version: VersionId

    def __str__(self) -> str:
        """Return the name on the wire."""
        return f"{self.model}{VERSION_SEPARATOR}{self.version}"


@dataclass(frozen=True, slots=True)
class EngineVersions:
    """Versions that an engine serves and the highest fencing number that it has seen."""

    versions: frozenset[EngineVersion]
    fencing: int | None = None
    """``None`` when the answer does not state it."""
    loading: frozenset[EngineVersion] | None = None
    """Versions that the engine is loading; ``None`` when the answer does not state them."""


class EngineClient:
    """Typed control calls to one engine; safe to use from several threads."""

    def __init__(
        self,
        base_url: str,
        metrics: PlatformMetrics,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        """Create a client for the engine at a base URL."""
        self._http = HttpExchange("engine", base_url, metrics, connect_timeout_s, read_timeout_s)

    def cancel(self, request_id: RequestId) -> Result[None, OrderFailure]:
        """Ask the engine to stop a request; repeating it does no harm."""
        sent = self._http.send("cancel", "POST", f"/v1/cancel/{quote(request_id, safe='')}")
        if not isinstance(sent, Success):
            return Failure(order_failure(sent.failure()))
        status = sent.unwrap().status
        return Success(None) if status == 200 else Failure(_refused(status))

    def load(self) -> Result[EngineLoad, QueryFailure]:
        """Read the load report, which lags."""
        return self._get("load", "/v1/load").bind(_decode_load)

    def versions(self) -> Result[EngineVersions, QueryFailure]:
        """Read the versions that the engine serves now."""
        return self._get("versions", "/v1/versions").bind(_decode_versions)

    def order(
        self, kind: EngineOrderKind, version: EngineVersion, fencing: int
    ) -> Result[EngineVersions, OrderFailure]:
        """Order a load or unload; ``StaleFencingNumber`` when a later holder has ordered."""
        order = {"kind": kind.value, "version": str(version), "fencing": fencing}
        sent = self._http.send("order", "POST", "/v1/orders", body=json.dumps(order).encode())
        if not isinstance(sent, Success):
            return Failure(order_failure(sent.failure()))
        answer = sent.unwrap()
        if answer.status == 409:
            return Failure(StaleFencingNumber())
        if answer.status != 200:
            return Failure(_refused(answer.status))
        decoded = _decode_versions(parse_json(answer.body))
        if not isinstance(decoded, Success):
            return Failure(OutcomeUnknown("answer not understood"))
        return Success(decoded.unwrap())

    def _get(self, kind: str, path: str) -> Result[object, QueryFailure]:
        sent = self._http.send(kind, "GET", path)
        if not isinstance(sent, Success):
            return Failure(query_failure(sent.failure()))
        return _document(sent.unwrap())


def _refused(status: int) -> OrderFailure:
    if status >= 500:
        return OutcomeUnknown(f"status {status}")
    return MalformedResponse(f"status {status}")


def _document(answer: HttpAnswer) -> Result[object, QueryFailure]:
    if answer.status != 200:
        return Failure(ServiceUnavailable(f"status {answer.status}"))
    return Success(parse_json(answer.body))


def _decode_load(document: object) -> Result[EngineLoad, QueryFailure]:
    if not isinstance(document, dict):
        return Failure(MalformedResponse("load report is not an object"))
    counts = [document.get(name) for name in ("running", "waiting", "capacity")]
    sampled_at = document.get("sampled_at")
    whole = [count for count in counts if type(count) is int and count >= 0]
    if len(whole) != 3 or isinstance(sampled_at, bool) or not isinstance(sampled_at, int | float):
        return Failure(MalformedResponse("load report lacks a number"))
    if not math.isfinite(sampled_at):
        return Failure(MalformedResponse("load report has no finite time"))
    return Success(EngineLoad(whole[0], whole[1], whole[2], float(sampled_at)))


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
