"""HTTP connections to entry VMs, and the failure of a single attempt."""

from collections.abc import Mapping
from dataclasses import dataclass

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from .._whole_responses import create_pool_manager

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS_PER_VM = 16


class AttemptFailed(Exception):  # noqa: N818 - internal signal, never seen by callers
    """The attempt ended without a complete response."""

    def __init__(self, sent: bool) -> None:
        """Create the signal; `sent` is whether the VM may have received the request."""
        super().__init__("sent" if sent else "not sent")
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Request:
    """A request, independent of the VM that it is sent to."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | None = None


class HttpClient:
    """Connection pool for entry VMs."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self._pool = create_pool_manager(
            maxsize=MAX_CONNECTIONS_PER_VM, retries=False, num_pools=64
        )

    def open(self, url: str, request: Request, timeout_s: float) -> urllib3.BaseHTTPResponse:
        """Send a request and return the response with its body unread.

        `timeout_s` is the timeout of each read, in seconds. Raises `AttemptFailed`.
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
    """Return the whole body; raises `AttemptFailed` if it is truncated."""
    try:
        body = response.read()
    except (HTTPError, OSError) as error:
        # A broken connection must not be returned to the pool.
        response.close()
        raise AttemptFailed(sent=True) from error
    response.release_conn()
    return body
