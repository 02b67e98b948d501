"""Stand-in for the platform's metadata store, with keys, leases, watches and faults."""

import asyncio
import base64
import copy
import json
from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from urllib.parse import parse_qs

from mangosaddle._store_revisions import compose
from mangosaddle.http11 import HttpServer, ServerExchange, ServerLimits

ITEMS_PER_PAGE = 3
"""Page size of range reads; small so that a few items already need several pages."""


class StoreFault(StrEnum):
    """How the store misbehaves on calls."""

    NONE = "none"
    BUSY = "busy"
    """Responds with 503 without executing the call."""
    RATE_LIMITED = "many"
    """Responds with 429 without executing the call."""
    RESET = "reset"
    """Aborts the connection without executing the call."""
    ANSWER_LOST = "answer_lost"
    """Executes the call and aborts the connection instead of responding."""
    NOT_JSON = "not_json"
    """Executes the call and responds with bytes that are not JSON."""
    DEEPLY_NESTED = "nested"
    """Executes the call and responds with lists nested too deeply to be parsed."""
    ENDLESS = "endless"
    """Executes the call and sends an endless response."""
    SAME_PAGE = "same_page"
    """Returns the first page for each page of a range read."""


class StoreSilence(StrEnum):
    """What the store leaves out on connections that stay open."""

    NONE = "none"
    CALLS = "calls"
    """Calls that arrive are not executed and never answered, not even afterwards."""
    ANSWERS = "answers"
    """Calls are executed, and what is answered meanwhile is never sent."""
    HALF_ANSWERS = "half_answers"
    """Calls are executed, and of what is answered meanwhile only the first half is sent."""


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of the store at one moment, from which it can be restored."""

    revision: int
    items: dict[str, dict[str, Any]]
    leases: dict[int, set[str]]
    next_lease: int


class StoreStandIn:
    """Implements the HTTP calls of the platform's store; each port can have its own fault."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.hold_watches = False
        """While set, watches bring no changes, also those that end meanwhile."""
        self.silence = StoreSilence.NONE
        self.silent_paths: frozenset[str] | None = None
        """Paths of the calls that ``silence`` concerns; ``None`` for all calls."""
        self.reading_delay_s = 0.0
        self.write_delay_s = 0.0
        """Time from a write to its answer."""
        """Time that the answers to readings of a prefix take on their way."""
        self._faults: dict[int, StoreFault] = {}
        self._number = 1
        """Store revision, as responses state it."""
        self.era = 1
        """Number that each response states; it rises by one with each restore."""
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._oldest_kept_revision = 1
        self._leases: dict[int, set[str]] = {}
        self._next_lease = 100
        self._changed = asyncio.Condition()
        self._servers: list[HttpServer] = []

    async def start(self) -> tuple[str, int]:
        """Listen on an additional free port of the loopback address and return the address."""
        number = len(self._servers)

        async def _handle(exchange: ServerExchange) -> None:
            await self._handle(exchange, self._faults.get(number, StoreFault.NONE))

        server = HttpServer(_handle, ServerLimits)
        self._servers.append(server)
        return await server.start("127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for server in self._servers:
            await server.stop()

    async def set_fault(self, fault: StoreFault, port_index: int | None = None) -> None:
        """Apply a fault to the port with this index (from 0), or to all ports for ``None``."""
        port_indices = range(len(self._servers)) if port_index is None else (port_index,)
        for number in port_indices:
            self._faults[number] = fault
        # Pending watches are broken off, so that the fault affects their retries as well.
        if fault is not StoreFault.NONE:
            for number in port_indices:
                self._servers[number].abort_connections()

    # Direct access for tests, without HTTP and unaffected by faults

    async def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a value like the operator or a runner; bytes are not encoded as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._changed:
            self._put(key, base64.b64encode(raw).decode(), lease)
            self._changed.notify_all()
        return self.revision

    @property
    def revision(self) -> int:
        """Return the revision of the latest change as the product sees it."""
        return compose(self.era, self._number)

    async def remove(self, key: str) -> None:
        """Remove a key like the operator or a runner."""
        async with self._changed:
            self._remove(key)
            self._changed.notify_all()

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or ``None``."""
        item = self._items.get(key)
        return base64.b64decode(item["value"]) if item is not None else None

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change as the product sees it, or 0."""
        item = self._items.get(key)
        return compose(self.era, int(item["revision"])) if item is not None else 0

    def lease_of(self, key: str) -> int:
        """Return the lease that a key is attached to, or 0."""
        item = self._items.get(key)
        return int(item["lease"]) if item is not None else 0

    def keys(self, prefix: str = "") -> list[str]:
        """Return the keys below a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    async def drop_history(self) -> None:
        """Discard the change history and wake pending watches."""
        async with self._changed:
            self._history.clear()
            self._oldest_kept_revision = self._number + 1
            self._changed.notify_all()

    def copy_state(self) -> StoreCopy:
        """Return a copy of the current state."""
        return StoreCopy(
            self._number,
            copy.deepcopy(self._items),
            copy.deepcopy(self._leases),
            self._next_lease,
        )

    async def restore(self, state: StoreCopy, *, breaks_connections: bool = True) -> None:
        """Go back to a copy: what was written since is gone, and its numbers are given out again.

        Watches from revisions that do not exist any more get status 410.
        """
        async with self._changed:
            self.era += 1
            self._number = state.revision
            self._items = copy.deepcopy(state.items)
            self._leases = copy.deepcopy(state.leases)
            self._next_lease = state.next_lease
            self._history.clear()
            self._oldest_kept_revision = self._number + 1
            for server in self._servers if breaks_connections else ():
                server.abort_connections()
            self._changed.notify_all()

    async def expire_all_leases(self) -> None:
        """End all leases and remove their keys."""
        async with self._changed:
            for keys in self._leases.values():
                for key in list(keys):
                    self._remove(key)
            self._leases.clear()
            self._changed.notify_all()

    async def wait_for(self, key: str) -> bytes:
        """Wait until a key exists and return its value."""
        async with self._changed:
            await self._changed.wait_for(lambda: key in self._items)
        value = self.value(key)
        assert value is not None
        return value

    # HTTP calls

    async def _handle(self, exchange: ServerExchange, fault: StoreFault) -> None:
        path, _, query = exchange.target.decode().partition("?")
        self.calls.append(f"{exchange.method.decode()} {path}")
        if self._silence_of(path) is StoreSilence.CALLS:
            await asyncio.Event().wait()
        era = [(b"Store-Era", str(self.era).encode())]
        if fault in (StoreFault.BUSY, StoreFault.RATE_LIMITED):
            await exchange.respond(503 if fault is StoreFault.BUSY else 429, era)
            return
        if fault is StoreFault.RESET:
            exchange.abort()
            return
        parameters = {name: values[0] for name, values in parse_qs(query).items()}
        if fault is StoreFault.SAME_PAGE:
            parameters.pop("after", None)
        body = json.loads(exchange.body) if exchange.body else {}
        status, answer = await self._execute(exchange.method.decode(), path, parameters, body)
        era = [(b"Store-Era", str(self.era).encode())]
        silence = self._silence_of(path)
        if silence in (StoreSilence.ANSWERS, StoreSilence.HALF_ANSWERS):
            if silence is StoreSilence.HALF_ANSWERS:
                encoded = json.dumps(answer).encode()
                await exchange.start(status, era)
                await exchange.write(encoded[: len(encoded) // 2])
            await asyncio.Event().wait()
        if fault is StoreFault.ANSWER_LOST:
            exchange.abort()
        elif fault is StoreFault.NOT_JSON:
            await exchange.respond(status, era, b"<html>")
        elif fault is StoreFault.DEEPLY_NESTED:
            await exchange.respond(status, era, b"[" * 100_000)
        elif fault is StoreFault.ENDLESS:
            await exchange.start(status, era)
            while True:
                await exchange.write(b" " * 65_536)
        else:
            await exchange.respond(status, era, json.dumps(answer).encode())

    def _silence_of(self, path: str) -> StoreSilence:
        is_silent = self.silent_paths is None or path in self.silent_paths
        return self.silence if is_silent else StoreSilence.NONE

    async def _execute(
        self, method: str, path: str, parameters: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/api/kv-key":
            item = self._items.get(parameters["key"])
            return (404, {}) if item is None else (200, item | {"store_revision": self._number})
        if path == "/api/kv-range":
            answer = self._range(parameters)
            await asyncio.sleep(self.reading_delay_s)
            return answer
        if path == "/api/kv-watch":
            return await self._watch(parameters)
        async with self._changed:
            outcome = self._modify(method, path, body)
            self._changed.notify_all()
        await asyncio.sleep(self.write_delay_s)
        return outcome

    def _range(self, parameters: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = parameters.get("after", "")
        keys = [key for key in self.keys(parameters["prefix"]) if key > after]
        page = [self._items[key] for key in keys[:ITEMS_PER_PAGE]]
        more = len(keys) > ITEMS_PER_PAGE
        return 200, {"items": page, "more_pages": more, "store_revision": self._number}

    async def _watch(self, parameters: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(parameters["after"]), parameters["prefix"]
        wait_s = min(30_000, int(parameters["wait_ms"])) / 1000

        def _events() -> list[dict[str, Any]]:
            return [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(
                        lambda: (
                            not self.hold_watches
                            and (bool(_events()) or not self._keeps_history_since(after))
                        )
                    )
            except TimeoutError:
                pass
            if not self._keeps_history_since(after):
                return 410, {}
            events = [] if self.hold_watches else _events()
            return 200, {"events": events, "store_revision": self._number}

    def _keeps_history_since(self, revision: int) -> bool:
        return self._oldest_kept_revision - 1 <= revision <= self._number

    def _modify(self, method: str, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if path == "/api/kv-lease":
            self._next_lease += 1
            self._leases[self._next_lease] = set()
            return 200, {"lease": self._next_lease, "ttl_ms": body["ttl_ms"]}
        if path == "/api/kv-txn":
            return self._transact(body)
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            for key in self._leases.pop(lease):
                self._remove(key)
        return 200, {"ttl_ms": 1000}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body["expected"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        if any(row["lease"] and row["lease"] not in self._leases for row in body["set_keys"]):
            return 404, {}
        for row in body["set_keys"]:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            self._put(row["key"], row["value"], row["lease"])
        for key in body["remove"]:
            self._remove(key)
        return 200, {"revision": self._number}

    def _put(self, key: str, value: str, lease: int) -> None:
        self._number += 1
        created = self._items[key]["created"] if key in self._items else self._number
        item = {
            "key": key,
            "value": value,
            "revision": self._number,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._history.append(item)
        for keys in self._leases.values():
            keys.discard(key)
        if lease:
            self._leases[lease].add(key)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self._number += 1
        self._history.append({"key": key, "revision": self._number, "removed": True})
