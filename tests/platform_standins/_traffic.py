"""Generates steady traffic to all VMs of a fleet."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

from mangosaddle.entry import EntryProcess
from mangosaddle.http11 import HttpError

from ._fleet import Fleet


@dataclass(frozen=True, slots=True)
class Call:
    """A request and its result as the caller saw them, with event loop times."""

    path: str
    vm: str
    sent_at_s: float
    ended_at_s: float
    status: int
    """HTTP status; 0 without a complete response."""
    body: bytes
    cause: str
    """Error without a complete response."""


class Traffic:
    """Sends requests at a steady rate, each on a new connection to a random ready VM."""

    def __init__(
        self, fleet: Fleet, weights_by_prefix: Mapping[str, float], requests_per_s: float
    ) -> None:
        """Send ``requests_per_s`` in total, spread over the prefixes by their weights."""
        self.calls: list[Call] = []
        self._fleet = fleet
        self._prefixes = list(weights_by_prefix)
        self._weights = list(weights_by_prefix.values())
        self._requests_per_s = requests_per_s
        self._rng = random.Random(requests_per_s)
        self._tasks: list[asyncio.Task[None]] = []
        self._sender: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sending requests."""
        self._sender = asyncio.create_task(self._send())

    async def stop(self) -> None:
        """Stop sending and wait for outstanding responses."""
        if self._sender is not None:
            self._sender.cancel()
            await asyncio.gather(self._sender, return_exceptions=True)
        await asyncio.gather(*self._tasks)

    async def _send(self) -> None:
        clock = asyncio.get_running_loop().time
        due_s = clock()
        number = 0
        while True:
            due_s += self._rng.uniform(0.5, 1.5) / self._requests_per_s
            await asyncio.sleep(max(0.0, due_s - clock()))
            vms = [vm for vm in self._fleet.vms.values() if vm.is_ready()]
            (prefix,) = self._rng.choices(self._prefixes, self._weights)
            number += 1
            # The send time is taken here: the VM may be killed before the task starts.
            call = self._call(self._rng.choice(vms), f"{prefix}{number}", clock())
            self._tasks.append(asyncio.create_task(call))

    async def _call(self, vm: EntryProcess, path: str, sent_at_s: float) -> None:
        clock = asyncio.get_running_loop().time
        status, body, cause = 0, b"", ""
        headers = {
            "Model": "m",
            "Token-Counts": "100,28",
            "Prompt-Prefix": f"{self._rng.randrange(8):x}:80,f{path.rpartition('/')[2]}:20",
        }
        try:
            answer = await self._fleet.call(
                vm, path, method="POST", body=b"question", extra=headers
            )
            status, body = answer.status, answer.body
        except (HttpError, TimeoutError) as error:
            cause = repr(error)
        self.calls.append(Call(path, vm.settings.vm, sent_at_s, clock(), status, body, cause))
