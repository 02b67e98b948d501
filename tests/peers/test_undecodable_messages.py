"""Messages of forwarded requests that the VM which receives them cannot decode."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

import cbor2
import pytest
from peer_fleet import Fleet, run_with_fleet

from mangosaddle._identifiers import OrganisationId, RequestId, VmId
from mangosaddle.peers import (
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
    ForwardRequest,
    ForwardResponsePart,
    LinkLostError,
)
from mangosaddle.peers._authentication import FrameSigner
from mangosaddle.peers._codec import CODEC
from mangosaddle.peers._forward import MAX_CHUNK_BYTES, WINDOW_BYTES
from mangosaddle.peers._link import Link

ADDIS, GONDAR = VmId("addis-1"), VmId("gondar-1")
END_S = 5.0
"""Time in which a forwarded request has to end."""
LARGE_BODY = bytes(2 * MAX_CHUNK_BYTES)
"""A body that needs more than the first frame."""


class _OtherVersion:
    """Adds a field to all messages of one name, as a VM of another version may."""

    def __init__(self, name: str, *, keeps_number: bool = True) -> None:
        self.name = name
        self.keeps_number = keeps_number
        self.changed = 0

    def encode(self, body: bytes) -> bytes:
        items = cbor2.loads(body)
        if items[0] != self.name:
            return body
        self.changed += 1
        fields = [*items, "new"] if self.keeps_number else [self.name, {"new": "layout"}]
        return bytes(cbor2.dumps(fields))


def _send_as(monkeypatch: pytest.MonkeyPatch, version: _OtherVersion) -> None:
    """Let the messages of all links, also of later ones, be encoded by another version.

    Only one of two VMs sends messages of a given name of a forward.
    """
    sign = FrameSigner.sign
    monkeypatch.setattr(FrameSigner, "sign", lambda self, body: sign(self, version.encode(body)))


def _forward(fleet: Fleet, body: bytes) -> AsyncGenerator[ForwardResponsePart, None]:
    request = ForwardRequest(
        "POST", "/v1", "text/plain", body, OrganisationId("o"), "patient", RequestId("r1")
    )
    return fleet.nodes_by_vm[ADDIS].forward(GONDAR, request)


async def _end_of(fleet: Fleet, body: bytes = b"body") -> ForwardEnd:
    async with asyncio.timeout(END_S), aclosing(_forward(fleet, body)) as parts:
        async for part in parts:
            if isinstance(part, ForwardEnd):
                return part
    raise AssertionError("no end")


def _link(fleet: Fleet, own: VmId, other: VmId) -> Link:
    return fleet.nodes_by_vm[own]._connector.links_by_vm[other]


async def _answer(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
    yield ForwardHead(200, "text/plain")
    yield ForwardChunk(b"answer")
    yield ForwardEnd(True)


async def _refuse(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
    yield ForwardEnd(False, "not_run", "full")


async def _answer_without_end(
    _vm: VmId, _request: ForwardRequest
) -> AsyncIterator[ForwardResponsePart]:
    yield ForwardHead(200, "text/plain")
    while True:
        yield ForwardChunk(bytes(MAX_CHUNK_BYTES))


async def _wait_until_idle(fleet: Fleet) -> None:
    async with asyncio.timeout(END_S):
        while fleet.nodes_by_vm[GONDAR].running_forward_count:
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("name", ["fh", "fc", "fe"])
def test_a_response_that_cannot_be_decoded_ends_the_forward(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller's VM that waits until the deadline for a part that it has dropped."""

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_answer)
        version = _OtherVersion(name)
        _send_as(monkeypatch, version)
        end = await _end_of(fleet)
        assert (end.complete, end.execution) == (False, "unknown")
        assert version.changed == 1
        await _wait_until_idle(fleet)
        assert fleet.counter(ADDIS, "refused_total", reason="bad_message") == 1

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_a_response_that_cannot_be_decoded_is_not_sent_further(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that goes on with an answer which the other one has given up."""

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_answer_without_end)
        _send_as(monkeypatch, _OtherVersion("fh"))
        assert (await _end_of(fleet)).execution == "unknown"
        await _wait_until_idle(fleet)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_a_refusal_that_cannot_be_decoded_still_says_that_the_request_did_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a caller that must not try again what has not run."""

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_refuse)
        _send_as(monkeypatch, _OtherVersion("fe"))
        end = await _end_of(fleet)
        assert (end.complete, end.execution) == (False, "not_run")

    run_with_fleet(_scenario, "addis-1", "gondar-1")


@pytest.mark.parametrize("name", ["fo", "fb"])
def test_a_request_that_cannot_be_decoded_is_refused_as_not_run(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that neither runs nor ends, and holds up a planned stop."""
    has_run = False

    async def _record(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        nonlocal has_run
        has_run = True
        yield ForwardEnd(True)

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_record)
        _send_as(monkeypatch, _OtherVersion(name))
        end = await _end_of(fleet, LARGE_BODY)
        assert (end.complete, end.execution, has_run) == (False, "not_run", False)
        assert fleet.nodes_by_vm[GONDAR].running_forward_count == 0

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_a_cancellation_that_cannot_be_decoded_ends_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against work for a caller that has left."""

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_answer_without_end)
        _send_as(monkeypatch, _OtherVersion("fx"))
        async with aclosing(_forward(fleet, b"body")) as parts:
            assert isinstance(await anext(parts), ForwardHead)
        await _wait_until_idle(fleet)

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_a_credit_that_cannot_be_decoded_ends_the_response(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an answer that stalls until the deadline, as its window stays used up."""

    async def _stream(_vm: VmId, _request: ForwardRequest) -> AsyncIterator[ForwardResponsePart]:
        yield ForwardHead(200, "text/plain")
        for _ in range(2 * WINDOW_BYTES // MAX_CHUNK_BYTES):
            yield ForwardChunk(bytes(MAX_CHUNK_BYTES))
        yield ForwardEnd(True)

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_stream)
        _send_as(monkeypatch, _OtherVersion("fg"))
        end = await _end_of(fleet)
        assert (end.complete, end.execution) == (False, "unknown")
        assert fleet.nodes_by_vm[GONDAR].running_forward_count == 0

    run_with_fleet(_scenario, "addis-1", "gondar-1")


@pytest.mark.parametrize("name", ["fe", "fo"])
def test_a_message_that_cannot_be_attributed_closes_its_link(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a forward that waits until the deadline as nothing names its number."""

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_answer)
        version = _OtherVersion(name, keeps_number=False)
        links = _link(fleet, ADDIS, GONDAR), _link(fleet, GONDAR, ADDIS)
        _send_as(monkeypatch, version)
        with pytest.raises(LinkLostError):
            await _end_of(fleet)
        version.name = ""
        nodes = fleet.nodes_by_vm.values()
        await fleet.wait_until(
            lambda: all(
                node.linked_vms() and not set(node._connector.links_by_vm.values()) & set(links)
                for node in nodes
            )
        )
        assert (await _end_of(fleet)).complete

    run_with_fleet(_scenario, "addis-1", "gondar-1")


def test_messages_that_only_another_version_knows_do_not_close_a_link() -> None:
    """Guards against a rolling update that cuts the links between old and new VMs."""

    async def _scenario(fleet: Fleet) -> None:
        fleet.nodes_by_vm[GONDAR].on_forward(_answer)
        link = _link(fleet, GONDAR, ADDIS)
        link.send_encoded(cbor2.dumps(["a message of a later version", 1]))
        link.send_encoded(CODEC.encode(ForwardChunk(b"")).replace(b"fc", b"zz"))
        assert (await _end_of(fleet)).complete
        assert _link(fleet, GONDAR, ADDIS) is link
        assert fleet.counter(ADDIS, "refused_total", reason="bad_message") == 2

    run_with_fleet(_scenario, "addis-1", "gondar-1")
