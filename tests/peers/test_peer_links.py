"""Tests of link authentication and frame integrity, using a raw WebSocket connection."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from peer_fleet import WAIT_TIMEOUT_S, Fleet
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, InvalidStatus
from websockets.typing import Subprotocol

from mangosaddle._identifiers import Incarnation, VmId
from mangosaddle.membership import VmIdentity
from mangosaddle.peers import CODEC, LinkRefusedError, RefusalReason
from mangosaddle.peers._authentication import (
    SUBPROTOCOL,
    AcceptingHandshake,
    Credentials,
    DiallingHandshake,
    FrameSigner,
    FrameVerifier,
    Session,
)
from mangosaddle.peers._messages import Heartbeat

TARGET = VmId("addis-1")
OUTSIDER = VmIdentity(VmId("gondar-9"), Incarnation("i"), 5000)
HEARTBEAT = CODEC.encode(Heartbeat(0, False, False, bytes(8)))
Misbehaviour = Callable[[ClientConnection], Awaitable[None]]


async def complete_handshake(
    connection: ClientConnection, fleet: str = "test fleet", secret: bytes = b"secret"
) -> Session:
    """Run the dialling side of the handshake without checking the other side's secret."""
    credentials = Credentials(fleet, secret, OUTSIDER)
    handshake = DiallingHandshake(credentials, TARGET)
    await connection.send(handshake.hello())
    received = await connection.recv()
    assert isinstance(received, bytes)
    proof, session = handshake.answer_challenge(received)
    await connection.send(proof)
    return session


async def foreign_fleet(connection: ClientConnection) -> None:
    """Send the name of another fleet."""
    await complete_handshake(connection, fleet="other fleet")


async def wrong_proof(connection: ClientConnection) -> None:
    """Respond to the challenge with a corrupted proof."""
    handshake = DiallingHandshake(Credentials("test fleet", b"secret", OUTSIDER), TARGET)
    await connection.send(handshake.hello())
    received = await connection.recv()
    assert isinstance(received, bytes)
    proof, _ = handshake.answer_challenge(received)
    await connection.send(proof[:-1] + bytes([proof[-1] ^ 1]))


async def garbage(connection: ClientConnection) -> None:
    """Send bytes that are not a ``Hello``."""
    await connection.send(b"garbage")


async def text(connection: ClientConnection) -> None:
    """Send a text frame."""
    await connection.send("hello")


async def replayed(connection: ClientConnection) -> None:
    """Send the same frame twice."""
    frame = FrameSigner((await complete_handshake(connection)).send_key).sign(HEARTBEAT)
    await connection.send(frame)
    await connection.send(frame)


async def reordered(connection: ClientConnection) -> None:
    """Send the second frame before the first one."""
    signer = FrameSigner((await complete_handshake(connection)).send_key)
    first, second = signer.sign(HEARTBEAT), signer.sign(HEARTBEAT)
    await connection.send(second)
    await connection.send(first)


async def reflected(connection: ClientConnection) -> None:
    """Send a frame signed with the key of the other direction."""
    await connection.send(
        FrameSigner((await complete_handshake(connection)).receive_key).sign(HEARTBEAT)
    )


async def short_frame(connection: ClientConnection) -> None:
    """Send a frame that is shorter than the frame header."""
    await complete_handshake(connection)
    await connection.send(b"short")


@pytest.mark.parametrize(
    ("misbehave", "reason"),
    [
        (foreign_fleet, RefusalReason.FOREIGN_FLEET),
        (wrong_proof, RefusalReason.WRONG_SECRET),
        (garbage, RefusalReason.BAD_HANDSHAKE),
        (text, RefusalReason.BAD_HANDSHAKE),
        (replayed, RefusalReason.BAD_SEQUENCE),
        (reordered, RefusalReason.BAD_SEQUENCE),
        (reflected, RefusalReason.BAD_MAC),
        (short_frame, RefusalReason.BAD_FRAME),
    ],
)
def test_invalid_peer_is_disconnected_and_counted(
    misbehave: Misbehaviour, reason: RefusalReason
) -> None:
    """Guards against accepting foreign peers and forged, replayed or reordered frames."""

    async def _scenario() -> None:
        fleet = await Fleet.create("addis-1")
        url = fleet.vms_by_id[TARGET].peer_url
        async with (
            asyncio.timeout(WAIT_TIMEOUT_S),
            connect(url, subprotocols=[Subprotocol(SUBPROTOCOL)], proxy=None) as connection,
        ):
            try:
                await misbehave(connection)
                while True:
                    await connection.recv()
            except ConnectionClosed:
                pass
        await fleet.stop()
        assert fleet.counter(TARGET, "refused_total", reason=reason.value) == 1

    asyncio.run(_scenario())


@pytest.mark.parametrize("offered", [None, [Subprotocol("other.v1")]])
def test_wrong_subprotocol_is_rejected(offered: list[Subprotocol] | None) -> None:
    """Guards against clients of another protocol on the peer port."""

    async def _scenario() -> None:
        fleet = await Fleet.create("addis-1")
        url = fleet.vms_by_id[TARGET].peer_url
        with pytest.raises(InvalidStatus):
            await connect(url, subprotocols=offered, proxy=None)
        await fleet.stop()
        assert fleet.counter(TARGET, "refused_total", reason="wrong_subprotocol") == 1

    asyncio.run(_scenario())


def credentials(name: str, secret: bytes = b"secret") -> Credentials:
    """Return credentials for a VM id."""
    return Credentials("fleet", secret, VmIdentity(VmId(name), Incarnation("i"), 1))


@pytest.mark.parametrize(
    ("acceptor", "reason"),
    [
        (credentials("gondar-1", b"other"), RefusalReason.WRONG_SECRET),
        (credentials("mekele-1"), RefusalReason.UNEXPECTED_VM),
    ],
)
def test_dialling_side_rejects_an_impostor(acceptor: Credentials, reason: RefusalReason) -> None:
    """Guards against a process that listens at the address of another VM."""
    dialling = DiallingHandshake(credentials("addis-1"), "gondar-1")
    accepting = AcceptingHandshake(acceptor, lambda _identity: True)
    with pytest.raises(LinkRefusedError) as refused:
        dialling.answer_challenge(accepting.challenge(dialling.hello()))
    assert refused.value.reason is reason


def test_recorded_handshake_cannot_be_replayed_on_a_new_link() -> None:
    """Guards against replaying a recorded handshake to the same VM."""
    dialling = DiallingHandshake(credentials("addis-1"), "gondar-1")
    first, second = (
        AcceptingHandshake(credentials("gondar-1"), lambda _identity: True) for _ in range(2)
    )
    proof, session = dialling.answer_challenge(first.challenge(dialling.hello()))
    recorded = FrameSigner(session.send_key).sign(HEARTBEAT)
    assert FrameVerifier(first.finish(proof).receive_key).verify(recorded) == HEARTBEAT
    second.challenge(dialling.hello())
    with pytest.raises(LinkRefusedError):
        second.finish(proof)
