"""Memory for the bodies of forwarded requests."""

import asyncio
from dataclasses import replace
from typing import Any, cast

from prometheus_client import CollectorRegistry

from mangosaddle._identifiers import OrganisationId, RequestId
from mangosaddle.http11._body_memory import GUARANTEED_BODY_BYTES
from mangosaddle.peers import ForwardEnd, ForwardRequest
from mangosaddle.peers._forward import ForwardService
from mangosaddle.peers._messages import ForwardCancel, ForwardOpen
from mangosaddle.peers._metrics import PeerMetrics
from mangosaddle.peers._transit import TransitDelay

REQUEST = ForwardRequest(
    "POST", "/v1", "text/plain", b"first part", OrganisationId("o"), "patient", RequestId("r1")
)
BODY_BYTES = 600 * 1024
MEMORY_BYTES = 1024 * 1024


class _Link:
    """Records what the service sends."""

    def __init__(self) -> None:
        self.closed = asyncio.Event()
        self.transit_delay = TransitDelay()
        self.ends: list[ForwardEnd] = []

    def send(self, message: object) -> int:
        if isinstance(message, ForwardEnd):
            self.ends.append(message)
        return 0


def test_bodies_of_forwarded_requests_share_a_bounded_memory() -> None:
    """Guards against VMs that run out of memory by what others forward to them."""

    async def _main() -> None:
        link = cast(Any, _Link())
        metrics = PeerMetrics(CollectorRegistry())
        service = ForwardService(metrics, bodies_bytes=MEMORY_BYTES)
        service.handler = cast(Any, lambda _vm, _request: None)
        for number in (1, 2, 3):
            service.handle_open(link, ForwardOpen(number, REQUEST, BODY_BYTES))
        assert [(end.number, end.execution) for end in link.ends] == [
            (2, "not_run"),
            (3, "not_run"),
        ]
        # Small requests are always accepted, and what has ended leaves room for others.
        small = replace(REQUEST, request_id=RequestId("r4"))
        service.handle_open(link, ForwardOpen(4, small, GUARANTEED_BODY_BYTES))
        service.handle_cancel(link, ForwardCancel(1))
        service.handle_open(link, ForwardOpen(5, REQUEST, BODY_BYTES))
        assert len(link.ends) == 2
        assert service.active_count == 2
        for number in (4, 5):
            service.handle_cancel(link, ForwardCancel(number))

    asyncio.run(_main())
