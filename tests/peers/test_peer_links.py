"""Authentication of links and protection of frames, against a hand-driven connection."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from peer_fleet import WAIT_S, Fleet
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
    FrameOpener,
    FrameSealer,
    Session,
)
from mangosaddle.peers._messages import Heartbeat

TARGET = VmId("addis-1")
OUTSIDER = VmIdentity(VmId("gondar-9"), Incarnation("i"), 5000)
BEAT = CODEC.encode(Heartbeat(0, False, False, bytes(8)))
Driver = Callable[[ClientConnection], Awaitable[None]]


async def shake_hands(
    connection: ClientConnection, fleet: str = "test fleet", secret: bytes = b"secret"
) -> Session:
    """Run the dialling side of the handshake without checking the other side's secret."""
    credentials = Credentials(fleet, secret, OUTSIDER)
    handshake = DiallingHandshake(credentials, TARGET)
    await connection.send(handshake.hello())
    received = await connection.recv()
    assert isinstance(received, bytes)
    proof, session = handshake.answer(received)
    await connection.send(proof)
    return session


async def foreign_fleet(connection: ClientConnection) -> None:
    """Name another fleet."""
    await shake_hands(connection, fleet="other fleet")


async def wrong_proof(connection: ClientConnection) -> None:
    """Answer the challenge with a proof that was not made with the secret."""
    handshake = DiallingHandshake(Credentials("test fleet", b"secret", OUTSIDER), TARGET)
    await connection.send(handshake.hello())
    received = await connection.recv()
    assert isinstance(received, bytes)
    proof, _ = handshake.answer(received)
    await connection.send(proof[:-1] + bytes([proof[-1] ^ 1]))


async def garbage(connection: ClientConnection) -> None:
    """Send something else than a hello."""
    await connection.send(b"garbage")


async def text(connection: ClientConnection) -> None:
    """Send a text frame."""
    await connection.send("hello")


async def replayed(connection: ClientConnection) -> None:
    """Send the same frame twice."""
    frame = FrameSealer((await shake_hands(connection)).send_key).seal(BEAT)
    await connection.send(frame)
    await connection.send(frame)


async def reordered(connection: ClientConnection) -> None:
    """Send the second frame before the first one."""
    sealer = FrameSealer((await shake_hands(connection)).send_key)
    first, second = sealer.seal(BEAT), sealer.seal(BEAT)
    await connection.send(second)
    await connection.send(first)


async def reflected(connection: ClientConnection) -> None:
    """Send a frame under the key of the other direction."""
    await connection.send(FrameSealer((await shake_hands(connection)).receive_key).seal(BEAT))


async def short_frame(connection: ClientConnection) -> None:
    """Send a frame that is too short for its header."""
    await shake_hands(connection)
    await connection.send(b"short")


@pytest.mark.parametrize(
    ("drive", "reason"),
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
def test_link_is_refused_closed_and_counted(drive: Driver, reason: RefusalReason) -> None:
    """Guards against foreign, forged, repeated and moved frames that are taken over."""

    async def _scenario() -> None:
        fleet = await Fleet.of("addis-1")
        url = fleet.vms_by_id[TARGET].peer_url
        async with (
            asyncio.timeout(WAIT_S),
            connect(url, subprotocols=[Subprotocol(SUBPROTOCOL)], proxy=None) as connection,
        ):
            try:
                await drive(connection)
                while True:
                    await connection.recv()
            except ConnectionClosed:
                pass
        await fleet.stop()
        assert fleet.counted(TARGET, "refused_total", reason=reason.value) == 1

    asyncio.run(_scenario())


@pytest.mark.parametrize("offered", [None, [Subprotocol("other.v1")]])
def test_wrong_subprotocol_is_refused(offered: list[Subprotocol] | None) -> None:
    """Guards against another protocol spoken on the peers' port."""

    async def _scenario() -> None:
        fleet = await Fleet.of("addis-1")
        url = fleet.vms_by_id[TARGET].peer_url
        with pytest.raises(InvalidStatus):
            await connect(url, subprotocols=offered, proxy=None)
        await fleet.stop()
        assert fleet.counted(TARGET, "refused_total", reason="wrong_subprotocol") == 1

    asyncio.run(_scenario())


def credentials(name: str, secret: bytes = b"secret") -> Credentials:
    """Return the credentials of a VM."""
    return Credentials("fleet", secret, VmIdentity(VmId(name), Incarnation("i"), 1))


@pytest.mark.parametrize(
    ("acceptor", "reason"),
    [
        (credentials("gondar-1", b"other"), RefusalReason.WRONG_SECRET),
        (credentials("mekele-1"), RefusalReason.UNEXPECTED_VM),
    ],
)
def test_dialler_refuses_an_impostor(acceptor: Credentials, reason: RefusalReason) -> None:
    """Guards against a process that answers at the address of another VM."""
    dialling = DiallingHandshake(credentials("addis-1"), "gondar-1")
    accepting = AcceptingHandshake(acceptor, lambda _identity: True)
    with pytest.raises(LinkRefusedError) as refused:
        dialling.answer(accepting.challenge(dialling.hello()))
    assert refused.value.reason is reason


def test_recorded_handshake_and_frames_are_useless_on_a_new_link() -> None:
    """Guards against a recorded link that is played back to the same VM."""
    dialling = DiallingHandshake(credentials("addis-1"), "gondar-1")
    first, second = (
        AcceptingHandshake(credentials("gondar-1"), lambda _identity: True) for _ in range(2)
    )
    proof, session = dialling.answer(first.challenge(dialling.hello()))
    recorded = FrameSealer(session.send_key).seal(BEAT)
    assert FrameOpener(first.finish(proof).receive_key).open(recorded) == BEAT
    second.challenge(dialling.hello())
    with pytest.raises(LinkRefusedError):
        second.finish(proof)
