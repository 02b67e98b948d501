"""One HTTP attempt: the response, or what is known about the request that failed."""

from collections.abc import Mapping
from dataclasses import dataclass

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS_PER_VM = 16


class AttemptFailed(Exception):  # noqa: N818 - internal signal, never seen by callers
    """The attempt has brought no response."""

    def __init__(self, sent: bool) -> None:
        """Create the signal; `sent` tells whether the VM may have received the request."""
        super().__init__("sent" if sent else "not sent")
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Request:
    """A request apart from the VM it goes to."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | None = None


class Http:
    """Connections to entry VMs."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self._pool = urllib3.PoolManager(
            maxsize=MAX_CONNECTIONS_PER_VM, retries=False, num_pools=64
        )

    def open(self, url: str, request: Request, timeout_s: float) -> urllib3.BaseHTTPResponse:
        """Send a request and return the response with its body unread.

        `timeout_s` bounds each wait for bytes. Raises `AttemptFailed`.
        """
        connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
        try:
            return self._pool.request(
                request.method,
                url + request.path,
                headers=dict(request.headers),
                body=request.body,
                timeout=urllib3.Timeout(connect=connect_s, read=timeout_s),
                preload_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise AttemptFailed(sent=False) from error
        except (HTTPError, OSError) as error:
            raise AttemptFailed(sent=True) from error

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()


def read_all(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the whole body; raises `AttemptFailed` when it is cut."""
    try:
        body = response.read()
    except (HTTPError, OSError) as error:
        # A broken connection never returns to the pool.
        response.close()
        raise AttemptFailed(sent=True) from error
    response.release_conn()
    return body
