"""Calls to the platform that are the duty of one VM at a time."""

import json
import logging
from collections.abc import Callable, Mapping

from .._identifiers import OrganisationId, ServiceName, VmId, ZoneName
from ..duties import CallOutcome
from ..entry import Address
from ..http11 import (
    ConnectFailedError,
    ConnectionPool,
    HttpError,
    UnsendableRequestError,
    UpstreamConnection,
    UpstreamRequest,
)

CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 64 * 1024
OUTCOMES_BY_STATUS = {
    200: CallOutcome.ACCEPTED,
    409: CallOutcome.SUPERSEDED,
    429: CallOutcome.POSTPONED,
    503: CallOutcome.POSTPONED,
}
MIN_SERVER_FAILURE = 500
"""Lowest status after which it is not known whether a call was executed."""

logger = logging.getLogger(__name__)


class PlatformDutyCalls:
    """Implements ``DutyCalls`` over HTTP; one call is in flight at a time for each duty."""

    def __init__(self, address: Address) -> None:
        """Create a client of the platform at ``address``; connections are opened on demand."""
        self._address = address
        self._pool = ConnectionPool()
        self._host = f"{address[0]}:{address[1]}".encode()

    async def report_usage(
        self,
        holder: VmId,
        token: int,
        window: int,
        counts: Mapping[OrganisationId, int],
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        """Report the requests of each organisation that began in a window."""
        body = {"window_number": window, "counts": dict(counts)}
        return await self._post(b"/usage", holder, token, body, may_send)

    async def order_endpoints(
        self,
        holder: VmId,
        token: int,
        service: ServiceName,
        zone: ZoneName,
        count: int,
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        """Order the number of endpoints of a service in a zone."""
        body = {"service": service, "zone": zone, "desired_count": count}
        return await self._post(b"/scale", holder, token, body, may_send)

    async def _post(
        self,
        target: bytes,
        holder: VmId,
        token: int,
        body: Mapping[str, object],
        may_send: Callable[[], bool],
    ) -> CallOutcome:
        headers = [
            (b"Host", self._host),
            (b"Duty-Holder", holder.encode()),
            (b"Fencing-Token", str(token).encode()),
            (b"Content-Type", b"application/json"),
        ]
        request = UpstreamRequest(b"POST", target, headers, json.dumps(body).encode())
        connection = self._pool.take(self._address)
        if connection is None:
            try:
                connection = await UpstreamConnection.open(*self._address, CONNECT_TIMEOUT_S)
            except ConnectFailedError as error:
                logger.info("platform not reached", extra={"cause": str(error)})
                return CallOutcome.NOT_SENT
        # The claim may have lapsed while the connection was opened.
        if not may_send():
            self._pool.give_back(self._address, connection)
            return CallOutcome.NOT_SENT
        try:
            head, _ = await connection.call(request, CALL_TIMEOUT_S, MAX_RESPONSE_BYTES)
        except UnsendableRequestError as error:
            logger.error("duty call cannot be sent", extra={"cause": str(error)})
            connection.abort()
            return CallOutcome.REJECTED
        except HttpError as error:
            logger.info("no response to a duty call", extra={"cause": str(error)})
            return CallOutcome.UNKNOWN
        self._pool.give_back(self._address, connection)
        if head.status >= MIN_SERVER_FAILURE:
            return OUTCOMES_BY_STATUS.get(head.status, CallOutcome.UNKNOWN)
        return OUTCOMES_BY_STATUS.get(head.status, CallOutcome.REJECTED)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
