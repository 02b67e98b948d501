"""Stand-in for the platform's calls that are the duty of one VM at a time."""

import asyncio
import json
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from mangosaddle.http11 import HttpServer, ServerExchange, ServerLimits


class DutyFault(StrEnum):
    """How the platform misbehaves on calls."""

    NONE = "none"
    ANSWER_LOST = "answer_lost"
    """Executes the call and aborts the connection."""
    LATE = "late"
    """Aborts the connection and executes the call ``LATE_S`` later."""
    TOO_MANY = "too_many"
    """Responds with 429 without executing the call."""
    RESET = "reset"
    SILENT = "silent"
    """Never responds, and does not execute the call."""


LATE_S = 1.0


@dataclass(frozen=True, slots=True)
class DutyCall:
    """Call that the platform has accepted."""

    path: str
    matter: str
    holder: str
    token: int
    body: dict[str, Any]


class DutyStandIn:
    """Checks the token of each call and keeps the calls that it accepts."""

    def __init__(self) -> None:
        """Create without calls."""
        self.fault = DutyFault.NONE
        self.accepted: list[DutyCall] = []
        self.refused: list[DutyCall] = []
        """Calls with a lower token than one seen before."""
        self._highest_by_matter: dict[str, int] = {}
        self._server = HttpServer(self._handle, ServerLimits)
        self._late: set[asyncio.Task[None]] = set()

    async def start(self) -> tuple[str, int]:
        """Listen on a free loopback port and return the address."""
        return await self._server.start("127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop listening and drop the calls that are still to be executed."""
        for task in self._late:
            task.cancel()
        await self._server.stop()

    def find_breaches(self) -> list[str]:
        """Return windows with different reports, and tokens that two VMs have used."""
        breaches = []
        counts_by_window: dict[int, object] = {}
        holders_by_token: dict[tuple[str, int], str] = {}
        for call in self.accepted:
            holder = holders_by_token.setdefault((call.matter, call.token), call.holder)
            if holder != call.holder:
                breaches.append(f"token {call.token} used by {holder} and {call.holder}")
            if call.path == "/usage":
                window, counts = call.body["window_number"], call.body["counts"]
                if counts_by_window.setdefault(window, counts) != counts:
                    breaches.append(f"window {window} reported twice with different counts")
        return breaches

    def reported_windows(self) -> list[int]:
        """Return the numbers of the windows that were reported, in order."""
        return sorted(
            {call.body["window_number"] for call in self.accepted if call.path == "/usage"}
        )

    async def _handle(self, exchange: ServerExchange) -> None:
        fault = self.fault
        if fault is DutyFault.SILENT:
            await asyncio.Event().wait()
        if fault is DutyFault.TOO_MANY:
            await exchange.respond(429, [])
        elif fault is DutyFault.RESET:
            exchange.abort()
        elif fault is DutyFault.LATE:
            task = asyncio.ensure_future(self._execute_late(exchange))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            exchange.abort()
        else:
            status = self._execute(exchange)
            if fault is DutyFault.ANSWER_LOST:
                exchange.abort()
            else:
                await exchange.respond(status, [])

    async def _execute_late(self, exchange: ServerExchange) -> None:
        await asyncio.sleep(LATE_S)
        self._execute(exchange)

    def _execute(self, exchange: ServerExchange) -> int:
        body = json.loads(exchange.body)
        path = exchange.target.decode()
        matter = path if path == "/usage" else f"{path} {body['service']} {body['zone']}"
        token = int(exchange.view.first(b"fencing-token") or b"0")
        holder = (exchange.view.first(b"duty-holder") or b"").decode()
        call = DutyCall(path, matter, holder, token, body)
        if token < self._highest_by_matter.get(matter, 0):
            self.refused.append(call)
            return 409
        self._highest_by_matter[matter] = token
        self.accepted.append(call)
        return 200
