"""Second copies of a response that arrive on a connection that is used again."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from mangosaddle.http11 import BadResponseError, UpstreamConnection, UpstreamRequest

CALL_TIMEOUT_S = 2.0
REFUSAL = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nRequest-Id: first\r\nContent-Length: 4\r\n\r\nfull"
OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: second\r\nContent-Length: 2\r\n\r\nok"
WITHOUT_ID = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"


def _request(id_: bytes) -> UpstreamRequest:
    return UpstreamRequest(b"POST", b"/x", [(b"Host", b"h")], b"body", id_, b"request-id")


@asynccontextmanager
async def _peer(*responses: list[bytes]) -> AsyncIterator[UpstreamConnection]:
    """Yield a connection whose peer sends the parts of a response, with pauses, per request."""

    async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            for parts in responses:
                await reader.readuntil(b"body")
                for part in parts:
                    writer.write(part)
                    await asyncio.sleep(0.01)
            await reader.read()
        finally:
            writer.close()

    async with await asyncio.start_server(_serve, "127.0.0.1", 0) as server:
        connection = await UpstreamConnection.open(
            "127.0.0.1", server.sockets[0].getsockname()[1], 1.0
        )
        try:
            yield connection
        finally:
            connection.abort()
            await asyncio.sleep(0.01)


async def _call_twice(first: bytes, parts: list[bytes]) -> tuple[int, bytes]:
    """Return what the second call got, in response to which the peer sends ``parts``."""
    async with _peer([first], parts) as connection:
        await connection.call(_request(b"first"), CALL_TIMEOUT_S, 100)
        head, body = await connection.call(_request(b"second"), CALL_TIMEOUT_S, 100)
        return head.status, body


@pytest.mark.parametrize("cut", [0, 1, 20, len(REFUSAL) - 5, len(REFUSAL) - 1, len(REFUSAL)])
@pytest.mark.parametrize("copies", [1, 2])
def test_a_copy_of_an_earlier_refusal_is_skipped_however_it_is_split(cut: int, copies: int) -> None:
    """Guards against "not run" for a request that the endpoint runs."""
    data = REFUSAL * copies + OWN
    assert asyncio.run(_call_twice(REFUSAL, [data[:cut], data[cut:]])) == (200, b"ok")


def test_a_refusal_without_an_id_proves_nothing_on_a_used_connection() -> None:
    """Guards against "not run" from a copy that does not say which request it answers."""
    with pytest.raises(BadResponseError):
        asyncio.run(_call_twice(REFUSAL, [WITHOUT_ID, OWN]))


@pytest.mark.parametrize("parts", [[WITHOUT_ID], [REFUSAL + REFUSAL], [REFUSAL, REFUSAL[:9]]])
def test_a_connection_whose_next_response_is_in_doubt_is_not_used_again(parts: list[bytes]) -> None:
    """Guards against sending a request behind which a copy is already waiting."""

    async def _is_usable() -> bool:
        async with _peer(parts) as connection:
            await connection.call(_request(b"first"), CALL_TIMEOUT_S, 100)
            await asyncio.sleep(0.1)
            return connection.usable

    assert not asyncio.run(_is_usable())
