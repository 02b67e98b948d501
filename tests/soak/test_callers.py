"""What the callers of the soak record about their connections."""

import asyncio
import os
import socket
import threading
import time
from pathlib import Path

from soak_harness._callers import Callers, Outcome
from soak_harness._processes import FRONT_PORT, VmProcess

HOST = f"127.{200 + os.getpid() // 250 % 50}.{os.getpid() % 250}.1"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ANSWER_AFTER_S = 0.05
STALL_S = 0.6
"""Time without processor for the callers, in which the first answer arrives."""


def _serve(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    with connection:
        while connection.recv(65536):
            time.sleep(ANSWER_AFTER_S)
            connection.sendall(ANSWER)


def test_idle_time_includes_a_stall_of_the_callers(tmp_path: Path) -> None:
    """Guards against blaming a VM for closing a connection while the callers stood still."""
    vm = VmProcess("vm-1", "east-a", HOST, tmp_path, ("127.0.0.1", 1), ("127.0.0.1", 1), 0)

    async def _main(callers: Callers) -> None:
        callers.start(per_vm=1)
        while not callers.requests_sent:
            await asyncio.sleep(0)
        time.sleep(STALL_S)
        while len(callers.calls) < 2:
            await asyncio.sleep(0.01)
        await callers.stop()

    with socket.create_server((HOST, FRONT_PORT)) as listener:
        threading.Thread(target=_serve, args=(listener,), daemon=True).start()
        callers = Callers([vm], 1, {"/read/": "key-1"})
        asyncio.run(_main(callers))
    first, second = callers.calls[:2]
    assert first.outcome is second.outcome is Outcome.ANSWERED
    assert second.idle_s > STALL_S - 2 * ANSWER_AFTER_S
