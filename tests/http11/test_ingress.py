"""Played crowds at one server, and who yields room to whom."""

from dataclasses import dataclass

import pytest

from mangosaddle.http11 import IngressGuard, IngressLimits
from mangosaddle.http11._ingress import (
    CONNECTION_BYTES,
    MAX_ADDRESS_SHARE,
    MIN_STALL_S,
)

LIMITS = IngressLimits(memory_bytes=100 * CONNECTION_BYTES, connections=10)
LARGE_BYTES = 30 * CONNECTION_BYTES


@dataclass(eq=False)
class Client:
    """Connection that a test controls."""

    address: str = "crowd"
    held_bytes: int = 0
    may_yield: bool = True
    ahead_bytes: int = 0
    has_yielded: bool = False

    def yield_room(self) -> None:
        """Record that the connection has given up its room."""
        self.has_yielded = True


class Clock:
    """Clock that a test sets."""

    now = 100.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


def _guard(clock: Clock, limits: IngressLimits = LIMITS) -> IngressGuard:
    return IngressGuard("front", limits, clock)


def test_the_client_without_progress_for_longest_yields() -> None:
    """Guards against active clients that are closed in place of stalled ones."""
    clock = Clock()
    guard = _guard(clock)
    clients = [Client() for _ in range(LIMITS.connections)]
    for client in clients:
        assert guard.admit(client)
        clock.now += 0.01
    clock.now += MIN_STALL_S
    guard.record_progress(clients[0])
    newcomer = Client("ordinary")
    assert guard.admit(newcomer)
    assert [client.has_yielded for client in clients] == [False, True] + [False] * 8


def test_clients_that_have_completed_a_request_yield_last() -> None:
    """Guards against kept connections of ordinary clients that a silent crowd drives out."""
    clock = Clock()
    guard = _guard(clock)
    ordinary = Client("ordinary")
    assert guard.admit(ordinary)
    guard.record_request(ordinary)
    for _ in range(50):
        clock.now += 1.0
        guard.admit(Client())
    assert not ordinary.has_yielded
    assert guard.connections == LIMITS.connections


def test_a_newcomer_is_refused_while_all_others_make_progress() -> None:
    """Guards against large bodies that are refused just before they are complete."""
    clock = Clock()
    guard = _guard(clock)
    sending = [Client("a"), Client("b"), Client("c")]
    for client in sending:
        assert guard.admit(client)
        assert guard.resize(client, LARGE_BYTES)
    newcomer = Client("d")
    assert guard.admit(newcomer)
    assert not guard.resize(newcomer, LARGE_BYTES)
    assert not any(client.has_yielded for client in sending)


def test_a_request_that_is_being_handled_does_not_yield() -> None:
    """Guards against requests that have run and are refused as not run."""
    clock = Clock()
    guard = _guard(clock)
    busy = [Client(may_yield=False) for _ in range(LIMITS.connections)]
    for client in busy:
        assert guard.admit(client)
    clock.now += 60.0
    assert not guard.admit(Client("ordinary"))
    assert not any(client.has_yielded for client in busy)


def test_an_address_above_its_share_makes_room_for_itself_only() -> None:
    """Guards against one address that takes the room of all others."""
    clock = Clock()
    guard = _guard(clock)
    ordinary, crowd = Client("ordinary"), [Client() for _ in range(3)]
    assert guard.admit(ordinary)
    assert guard.resize(ordinary, LARGE_BYTES)
    clock.now += 1.0
    for client in crowd:
        assert guard.admit(client)
        guard.resize(client, LARGE_BYTES)
    clock.now += 1.0
    newcomer = Client()
    assert guard.admit(newcomer)
    assert MAX_ADDRESS_SHARE * LIMITS.memory_bytes < LARGE_BYTES * 2
    guard.resize(newcomer, LARGE_BYTES)
    assert not ordinary.has_yielded
    assert any(client.has_yielded for client in crowd)


def test_the_client_with_most_requests_ahead_yields_if_no_one_has_stalled() -> None:
    """Guards against clients that send many requests ahead and keep others out."""
    clock = Clock()
    guard = _guard(clock)
    clients = [Client(may_yield=False, ahead_bytes=10 * n) for n in range(LIMITS.connections)]
    for client in clients:
        assert guard.admit(client)
    assert guard.admit(Client("ordinary"))
    assert [client for client in clients if client.has_yielded] == clients[-1:]


def test_room_is_given_back() -> None:
    """Guards against a server that is full of connections which have ended."""
    clock = Clock()
    guard = _guard(clock)
    for _ in range(100):
        client = Client()
        assert guard.admit(client)
        assert guard.resize(client, LARGE_BYTES)
        assert guard.resize(client, CONNECTION_BYTES)
        guard.release(client)
        guard.release(client)
    assert (guard.held_bytes, guard.connections) == (0, 0)


@pytest.mark.parametrize("clients", [1, 500])
def test_log_lines_are_bounded(clients: int, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a crowd that fills the log."""
    clock = Clock()
    guard = _guard(clock, IngressLimits(LIMITS.memory_bytes, 1))
    for _ in range(clients + 1):
        guard.admit(Client())
        clock.now += 0.001
    assert len(caplog.records) == 1
