"""Client of the admin API."""

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

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
"""Larger bodies are compressed: the server's limit of a request body is 1 MiB."""

Json = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Reply:
    """A response of the admin API."""

    status: int
    body: Json
    lost_before: bool
    """Whether an earlier attempt was sent and brought no answer."""


class AdminClient:
    """Access to the admin API through the first entry VM that answers."""

    def __init__(self, urls: tuple[str, ...], token: str, timeout_s: float) -> None:
        """Create the client; `timeout_s` bounds each attempt."""
        self._urls = urls
        self._token = token
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False)

    def configuration(self) -> Json:
        """Return revision, inventory, rules and keys."""
        return self._ok("GET", "/admin/v1/configuration")

    def status(self) -> Json:
        """Return the state of the fleet."""
        return self._ok("GET", "/admin/v1/status")

    def versions(self) -> list[Json]:
        """Return the state of all rollouts."""
        rows: list[Json] = self._ok("GET", "/admin/v1/versions")["versions"]
        return rows

    def check(self, inventory: Json, rules: Json) -> tuple[Finding, ...]:
        """Return the findings on an edit, without applying it."""
        body = {"inventory": inventory, "rules": rules}
        return findings_of(self._ok("POST", "/admin/v1/configuration/check", body))

    def apply(self, inventory: Json, rules: Json, base: int) -> tuple[int, tuple[Finding, ...]]:
        """Apply an edit that is based on a revision; return the new revision and warnings.

        Raises `ConflictError` when the configuration has another revision and `FindingsError`.
        """
        body = {"inventory": inventory, "rules": rules}
        headers = {"If-Match": format_etag(base)}
        reply = self._request("PUT", "/admin/v1/configuration", body, headers)
        if reply.status == 200:
            return int(reply.body["revision"]), findings_of(reply.body)
        if reply.status == 412:
            current = self.configuration()
            if reply.lost_before and _is_in_force(inventory, rules, current):
                # The attempt whose answer was lost had taken effect.
                return int(current["revision"]), ()
            raise ConflictError(base, current["revision"])
        if reply.status == 422:
            raise FindingsError(findings_of(reply.body))
        raise _refused(reply)

    def grant(self, organisation: str) -> Json:
        """Return a new key; a lost answer is not retried, for each attempt creates a key."""
        body = {"organisation": organisation}
        return self._ok("POST", "/admin/v1/keys", body, repeatable=False)

    def withdraw(self, key_id: str) -> Json:
        """Withdraw a key; return which VMs have confirmed."""
        return self._ok("DELETE", f"/admin/v1/keys/{key_id}")

    def withdrawal(self, key_id: str) -> Json:
        """Return which VMs have confirmed a withdrawal."""
        return self._ok("GET", f"/admin/v1/keys/{key_id}")

    def _ok(
        self, method: str, path: str, body: Json | None = None, repeatable: bool = True
    ) -> Json:
        reply = self._request(method, path, body, {}, repeatable)
        if reply.status >= 300:
            raise _refused(reply)
        return reply.body

    def _request(
        self,
        method: str,
        path: str,
        body: Json | None,
        headers: Mapping[str, str],
        repeatable: bool = True,
    ) -> Reply:
        data, sent_headers = self._encoded(body, headers)
        lost = False
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
                lost = True
                if not repeatable:
                    raise UnreachableError(
                        f"{url} took the request and gave no answer; a key may have been granted: "
                        "see `mangosaddle keys list` and withdraw it"
                    ) from error
                continue
            if response.status in (502, 503, 504) and repeatable:
                failures.append(f"{url}: {_detail(_json(response.data), response.status)}")
                lost = lost or method != "GET"
                continue
            return Reply(response.status, _json(response.data), lost)
        after = " The request may have taken effect." if lost and method != "GET" else ""
        raise UnreachableError("no entry VM answered: " + "; ".join(failures) + "." + after)

    def _encoded(
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


def _is_in_force(inventory: Json, rules: Json, current: Json) -> bool:
    """Tell whether two documents mean the same as the current ones, whatever their order."""
    edited = check_documents(inventory, rules).to_configuration()
    return edited is not None and (inventory_to_json(edited), rules_to_json(edited)) == (
        current["inventory"],
        current["rules"],
    )


def findings_of(body: Json) -> tuple[Finding, ...]:
    """Return the findings of a response."""
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


def _json(data: bytes) -> Json:
    try:
        document = json.loads(data)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _detail(body: Json, status: int) -> str:
    return str(body.get("detail") or body.get("title") or f"status {status}")


def _refused(reply: Reply) -> RefusedError:
    return RefusedError(f"refused with status {reply.status}: {_detail(reply.body, reply.status)}")
