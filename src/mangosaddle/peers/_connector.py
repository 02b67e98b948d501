"""Opens, accepts and manages the links of a node."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, cast

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import NegotiationError, WebSocketException
from websockets.typing import Subprotocol

from .._entities import Vm
from .._identifiers import VmId
from .._tasks import is_current_task_cancelled
from .._time_limits import TimeLimit
from ..membership import VmIdentity
from ._authentication import (
    SUBPROTOCOL,
    AcceptingHandshake,
    Credentials,
    DiallingHandshake,
    Session,
)
from ._codec import MAX_FRAME_BYTES
from ._exceptions import LinkRefusedError, NotSentError, RefusalReason
from ._link import Link
from ._metrics import PeerMetrics
from ._pending_handshakes import PendingHandshakes
from ._settings import PeerSettings

REFUSED_CLOSE_CODE = 1008
"""WebSocket close code "policy violation"."""
STOP_TIMEOUT_S = 0.2
"""Time that other VMs get to confirm the closing of a link at a stop: a round trip between regions.
A VM that is lost would not confirm it before the grace period of this one ends."""

logger = logging.getLogger(__name__)
websockets_logger = logging.getLogger(f"{__name__}.websockets")
# The library logs a traceback for each failed handshake, which the counters already report.
websockets_logger.setLevel(logging.CRITICAL)


@dataclass(slots=True)
class _Backoff:
    failures: int = 0
    next_dial_at_s: float = 0.0


class Connector:
    """Maintains one link per VM and resolves simultaneous dials in both directions."""

    def __init__(
        self,
        settings: PeerSettings,
        metrics: PeerMetrics,
        rng: random.Random,
        clock: Callable[[], float],
        is_current: Callable[[VmIdentity], bool],
        on_message: Callable[[Link, object], None],
        on_change: Callable[[Link, bool], None],
    ) -> None:
        """Create the connector.

        ``on_change`` is called for each link with True when it opens and False when it closes.
        """
        self.links_by_vm: dict[VmId, Link] = {}
        self.spare_links: set[Link] = set()
        """Additional links to a VM, which stay open until their requests have finished."""
        self._vms_by_id: Mapping[VmId, Vm] = {}
        self._settings = settings
        self._credentials = Credentials(settings.fleet, settings.secret, settings.identity)
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._is_current = is_current
        self._on_message = on_message
        self._on_change = on_change
        self._backoffs_by_vm: dict[VmId, _Backoff] = {}
        self._dials_by_vm: dict[VmId, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending = PendingHandshakes(
            settings.max_handshakes,
            lambda: metrics.count_refusal(RefusalReason.TOO_MANY_HANDSHAKES),
        )
        self._server: Server | None = None

    async def start(self) -> tuple[str, int]:
        """Start listening and return the bound address and port."""
        self._server = await serve(
            self._accept,
            self._settings.listen_address,
            self._settings.listen_port,
            subprotocols=[Subprotocol(SUBPROTOCOL)],
            select_subprotocol=self._select_subprotocol,
            compression=None,
            ping_interval=None,
            open_timeout=self._settings.timings.dial_timeout_s,
            close_timeout=1.0,
            max_size=MAX_FRAME_BYTES,
            server_header=None,
            logger=websockets_logger,
            create_connection=cast(type[ServerConnection], self._pending.create_connection),
        )
        address, port = next(iter(self._server.sockets)).getsockname()[:2]
        return address, port

    async def stop(self) -> None:
        """Close all links and the listening socket."""
        for dial in list(self._dials_by_vm.values()):
            dial.cancel()
        links = [*self.links_by_vm.values(), *self.spare_links]
        waits = [link.close() for link in links]
        if self._server is not None:
            self._server.close()
            waits.append(self._server.wait_closed())
        await _wait_within(STOP_TIMEOUT_S, waits)
        for link in links:
            link.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def secret(self) -> bytes:
        """Return the secret that new links authenticate with."""
        return self._credentials.secret

    def use_secret(self, secret: bytes) -> None:
        """Authenticate new links with another secret."""
        self._credentials = replace(self._credentials, secret=secret)

    def update_vms(self, vms_by_id: Mapping[VmId, Vm]) -> None:
        """Replace the inventory and its addresses."""
        self._vms_by_id = dict(vms_by_id)
        for vm in self._backoffs_by_vm.keys() - vms_by_id.keys():
            del self._backoffs_by_vm[vm]

    def dial_if_due(self, vm: VmId, now: float) -> None:
        """Dial a VM of the topology unless a link, a dial or a backoff is in progress.

        The VM with the larger id waits before its first attempt, by which time the other side has
        usually dialled. ``now`` is monotonic time in seconds.
        """
        if vm in self.links_by_vm or vm in self._dials_by_vm or vm not in self._vms_by_id:
            return
        backoff = self._backoffs_by_vm.get(vm)
        if backoff is None:
            delay_s = self._settings.timings.backoff_initial_s
            next_dial_at_s = now if self._settings.identity.vm < vm else now + delay_s
            backoff = self._backoffs_by_vm[vm] = _Backoff(next_dial_at_s=next_dial_at_s)
        if now >= backoff.next_dial_at_s:
            self._dial(vm)

    async def get_or_open_link(self, vm: VmId) -> Link:
        """Return the link to a VM, opening one if needed; raises ``NotSentError``."""
        link = self.links_by_vm.get(vm)
        if link is not None:
            return link
        if vm not in self._vms_by_id:
            raise NotSentError(f"VM {vm} is not in the inventory")
        dial = self._dials_by_vm.get(vm) or self._dial(vm)
        try:
            await asyncio.shield(dial)
        except asyncio.CancelledError:
            if is_current_task_cancelled() or not dial.cancelled():
                raise
            raise NotSentError(f"the dial of VM {vm} was cancelled") from None
        link = self.links_by_vm.get(vm)
        if link is None:
            raise NotSentError(f"VM {vm} cannot be reached")
        return link

    async def get_or_open_link_within(self, vm: VmId, timeout_s: float) -> Link:
        """Like ``get_or_open_link``, but raises ``NotSentError`` after ``timeout_s`` seconds."""
        try:
            async with TimeLimit(timeout_s):
                return await self.get_or_open_link(vm)
        except TimeoutError as error:
            raise NotSentError(f"no link to {vm} in {timeout_s} s") from error

    def _dial(self, vm: VmId) -> "asyncio.Task[None]":
        dial = asyncio.create_task(self._dial_once(vm))
        self._dials_by_vm[vm] = dial
        self._tasks.add(dial)
        dial.add_done_callback(self._tasks.discard)
        return dial

    async def _dial_once(self, vm: VmId) -> None:
        self._metrics.dials.inc()
        try:
            async with TimeLimit(self._settings.timings.dial_timeout_s):
                connection, session = await self._connect(vm)
        except LinkRefusedError as refusal:
            self._metrics.count_refusal(refusal.reason)
            self._back_off(vm)
        except (OSError, TimeoutError, WebSocketException, KeyError):
            self._back_off(vm)
        else:
            self._backoffs_by_vm.pop(vm, None)
            link = Link(connection, session, True, self._metrics)
            if self._register_link(link):
                self._spawn(self._run(link))
            else:
                self._spawn(link.close())
        finally:
            self._dials_by_vm.pop(vm, None)

    async def _connect(self, vm: VmId) -> tuple[Connection, Session]:
        connection = await connect(
            self._vms_by_id[vm].peer_url,
            subprotocols=[Subprotocol(SUBPROTOCOL)],
            compression=None,
            ping_interval=None,
            open_timeout=None,
            close_timeout=1.0,
            max_size=MAX_FRAME_BYTES,
            user_agent_header=None,
            proxy=None,
            # The source address identifies the VM in the network if several run on one host.
            local_addr=(self._settings.listen_address, 0),
            logger=websockets_logger,
        )
        try:
            if connection.subprotocol != SUBPROTOCOL:
                raise LinkRefusedError(RefusalReason.WRONG_SUBPROTOCOL)
            handshake = DiallingHandshake(self._credentials, vm)
            await connection.send(handshake.hello())
            proof, session = handshake.answer_challenge(await _receive_binary(connection))
            if not self._is_current(session.peer):
                raise LinkRefusedError(RefusalReason.STALE_INCARNATION)
            await connection.send(proof)
        except BaseException:
            await connection.close(REFUSED_CLOSE_CODE)
            raise
        return connection, session

    def _back_off(self, vm: VmId) -> None:
        """Increase the delay before the next dial after each failure.

        Jitter prevents all VMs from dialling a healed region at the same time.
        """
        timings = self._settings.timings
        backoff = self._backoffs_by_vm.setdefault(vm, _Backoff())
        delay_s = min(timings.backoff_initial_s * 2**backoff.failures, timings.backoff_max_s)
        backoff.next_dial_at_s = self._clock() + delay_s * self._rng.uniform(0.5, 1.5)
        backoff.failures = min(backoff.failures + 1, 16)

    def _select_subprotocol(
        self, _connection: ServerConnection, offered: Sequence[Subprotocol]
    ) -> Subprotocol:
        if SUBPROTOCOL not in offered:
            self._metrics.count_refusal(RefusalReason.WRONG_SUBPROTOCOL)
            raise NegotiationError(f"subprotocol {SUBPROTOCOL} required")
        return Subprotocol(SUBPROTOCOL)

    async def _accept(self, connection: ServerConnection) -> None:
        try:
            async with TimeLimit(self._settings.timings.dial_timeout_s):
                handshake = AcceptingHandshake(self._credentials, self._is_current)
                await connection.send(handshake.challenge(await _receive_binary(connection)))
                session = handshake.finish(await _receive_binary(connection))
        except LinkRefusedError as refusal:
            self._metrics.count_refusal(refusal.reason)
            await connection.close(REFUSED_CLOSE_CODE)
            return
        except (TimeoutError, WebSocketException):
            await connection.close(REFUSED_CLOSE_CODE)
            return
        self._pending.finish(connection)
        link = Link(connection, session, False, self._metrics)
        if self._register_link(link):
            await self._run(link)
        else:
            await link.close()

    def _register_link(self, link: Link) -> bool:
        """Register a new link of a VM; returns False if the link must be closed.

        If both sides dialled at the same time, both send on the link dialled by the VM with the
        smaller id. The other link stays open as a spare, because it may already carry a request.
        """
        vm = link.peer.vm
        link.last_used_at_s = link.last_received_at_s = self._clock()
        current = self.links_by_vm.get(vm)
        if current is not None and not current.closed.is_set():
            if current.peer.started_ms > link.peer.started_ms:
                self._metrics.count_refusal(RefusalReason.STALE_INCARNATION)
                return False
            same_peer = current.peer == link.peer
            if same_peer and link.dialled_by_us != current.dialled_by_us:
                dialled_by_smaller = link.dialled_by_us == (self._settings.identity.vm < vm)
                spare = current if dialled_by_smaller else link
                self.spare_links.add(spare)
                if spare is link:
                    return True
            else:
                self.close_in_background(current)
        self.links_by_vm[vm] = link
        self._backoffs_by_vm.pop(vm, None)
        self._metrics.links.set(len(self.links_by_vm))
        self._on_change(link, True)
        return True

    async def _run(self, link: Link) -> None:
        try:
            await link.run(self._on_message)
        finally:
            self._remove(link)

    def _remove(self, link: Link) -> None:
        link.closed.set()
        self.spare_links.discard(link)
        if self.links_by_vm.get(link.peer.vm) is link:
            del self.links_by_vm[link.peer.vm]
            self._metrics.links.set(len(self.links_by_vm))
        self._on_change(link, False)

    def close_in_background(self, link: Link) -> None:
        """Remove a link and close it without waiting for the closing handshake."""
        self._remove(link)
        self._spawn(link.close())

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _receive_binary(connection: Connection) -> bytes:
    frame = await connection.recv()
    if isinstance(frame, str):
        raise LinkRefusedError(RefusalReason.BAD_HANDSHAKE)
    return frame


async def _wait_within(timeout_s: float, waits: Sequence[Coroutine[Any, Any, None]]) -> None:
    """Wait until all waits have ended, and cancel those that last longer than ``timeout_s``."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    if not tasks:
        return
    await asyncio.wait(tasks, timeout=timeout_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
