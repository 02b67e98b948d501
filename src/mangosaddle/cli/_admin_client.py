"""HTTP client for the admin API."""

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from .._whole_responses import create_pool_manager
from ..configuration import (
    DEFLATE_ENCODING,
    Finding,
    Severity,
    check_documents,
    format_etag,
    inventory_to_json,
    rules_to_json,
)
from ._exceptions import ConflictError, FindingsError, RefusedError, UnreachableError

COMPRESSED_ABOVE_BYTES = 512 * 1024
"""Larger request bodies are compressed, because entry VMs accept at most 1 MiB."""

Json = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Reply:
    """A response from the admin API."""

    status: int
    body: Json
    earlier_attempt_may_have_run: bool
    """Whether an earlier attempt failed in a way that leaves open whether it took effect."""


class AdminClient:
    """Sends each request to the entry VMs in turn until one responds."""

    def __init__(self, urls: tuple[str, ...], token: str, timeout_s: float) -> None:
        """Create the client; `timeout_s` is the timeout of each attempt, in seconds."""
        self._urls = urls
        self._token = token
        self._timeout_s = timeout_s
        self._pool = create_pool_manager(retries=False)

    def configuration(self) -> Json:
        """Return the current revision, inventory, rules and keys."""
        return self._request_json("GET", "/admin/v1/configuration")

    def status(self) -> Json:
        """Return the status of the fleet."""
        return self._request_json("GET", "/admin/v1/status")

    def versions(self) -> list[Json]:
        """Return the status of all rollouts."""
        rows: list[Json] = self._request_json("GET", "/admin/v1/versions")["versions"]
        return rows

    def check(self, inventory: Json, rules: Json) -> tuple[Finding, ...]:
        """Validate an edit without applying it and return the findings."""
        body = {"inventory": inventory, "rules": rules}
        return parse_findings(self._request_json("POST", "/admin/v1/configuration/check", body))

    def apply(self, inventory: Json, rules: Json, base: int) -> tuple[int, tuple[Finding, ...]]:
        """Apply an edit made against revision `base`; return the new revision and warnings.

        Raises `ConflictError` if the current revision is not `base`, and `FindingsError` if the
        documents have errors.
        """
        body = {"inventory": inventory, "rules": rules}
        headers = {"If-Match": format_etag(base)}
        reply = self._request("PUT", "/admin/v1/configuration", body, headers)
        if reply.status == 200:
            return int(reply.body["revision"]), parse_findings(reply.body)
        if reply.status == 412:
            current = self.configuration()
            if reply.earlier_attempt_may_have_run and _equals_current(inventory, rules, current):
                # An earlier attempt applied this edit, but its success was not reported.
                return int(current["revision"]), ()
            raise ConflictError(base, current["revision"])
        if reply.status == 422:
            raise FindingsError(parse_findings(reply.body))
        raise _refused_error(reply)

    def grant(self, organisation: str) -> Json:
        """Create a key; lost responses are not retried, since each attempt creates a new key."""
        body = {"organisation": organisation}
        return self._request_json("POST", "/admin/v1/keys", body, retryable=False)

    def withdraw(self, key_id: str) -> Json:
        """Withdraw a key and return which VMs have confirmed the withdrawal."""
        return self._request_json("DELETE", f"/admin/v1/keys/{key_id}")

    def withdrawal_state(self, key_id: str) -> Json:
        """Return which VMs have confirmed the withdrawal of a key."""
        return self._request_json("GET", f"/admin/v1/keys/{key_id}")

    def _request_json(
        self, method: str, path: str, body: Json | None = None, retryable: bool = True
    ) -> Json:
        reply = self._request(method, path, body, {}, retryable)
        if reply.status >= 300:
            raise _refused_error(reply)
        return reply.body

    def _request(
        self,
        method: str,
        path: str,
        body: Json | None,
        headers: Mapping[str, str],
        retryable: bool = True,
    ) -> Reply:
        data, sent_headers = self._encode(body, headers)
        may_have_run = False
        failures: list[str] = []
        for url in self._urls:
            try:
                response = self._pool.request(
                    method,
                    url.rstrip("/") + path,
                    headers=sent_headers,
                    body=data,
                    timeout=self._timeout_s,
                    redirect=False,
                )
            except (NewConnectionError, ConnectTimeoutError):
                failures.append(f"{url}: no connection")
                continue
            except (HTTPError, OSError) as error:
                failures.append(f"{url}: no answer ({type(error).__name__})")
                may_have_run = True
                if not retryable:
                    raise UnreachableError(
                        f"{url} did not answer after the request was sent; a key may have been "
                        "granted: find it with `mangosaddle keys list` and withdraw it"
                    ) from error
                continue
            if response.status in (502, 503, 504) and retryable:
                failures.append(
                    f"{url}: {_error_detail(_parse_object(response.data), response.status)}"
                )
                may_have_run = may_have_run or method != "GET"
                continue
            return Reply(response.status, _parse_object(response.data), may_have_run)
        uncertainty = (
            " The request may have taken effect." if may_have_run and method != "GET" else ""
        )
        raise UnreachableError("no entry VM answered: " + "; ".join(failures) + "." + uncertainty)

    def _encode(
        self, body: Json | None, headers: Mapping[str, str]
    ) -> tuple[bytes | None, dict[str, str]]:
        merged = {**headers, "Authorization": f"Bearer {self._token}"}
        if body is None:
            return None, merged
        merged["Content-Type"] = "application/json"
        data = json.dumps(body).encode()
        if len(data) > COMPRESSED_ABOVE_BYTES:
            merged["Content-Encoding"] = DEFLATE_ENCODING
            data = zlib.compress(data)
        return data, merged


def _equals_current(inventory: Json, rules: Json, current: Json) -> bool:
    """Return whether the documents are equal to the current ones, ignoring the entry order."""
    edited = check_documents(inventory, rules).to_configuration()
    return edited is not None and (inventory_to_json(edited), rules_to_json(edited)) == (
        current["inventory"],
        current["rules"],
    )


def parse_findings(body: Json) -> tuple[Finding, ...]:
    """Parse the findings in a response body."""
    return tuple(
        Finding(
            file=str(row.get("file", "")),
            place=str(row.get("place", "")),
            message=str(row.get("message", "")),
            remedy=str(row.get("remedy", "")),
            severity=Severity(row.get("severity", Severity.ERROR)),
            line=row.get("line"),
        )
        for row in body.get("findings") or ()
    )


def _parse_object(data: bytes) -> Json:
    try:
        document = json.loads(data)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _error_detail(body: Json, status: int) -> str:
    return str(body.get("detail") or body.get("title") or f"status {status}")


def _refused_error(reply: Reply) -> RefusedError:
    return RefusedError(
        f"refused with status {reply.status}: {_error_detail(reply.body, reply.status)}"
    )
