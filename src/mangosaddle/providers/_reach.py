"""Check of the network path to a platform service."""

import socket

import urllib3

from ._http import CONNECT_TIMEOUT_S


def is_connectable(url: str, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
    """Return whether a connection to the host of a URL can be opened; nothing is sent on it."""
    parsed = urllib3.util.parse_url(url)
    try:
        with socket.create_connection((str(parsed.host), parsed.port or 80), timeout_s):
            return True
    except OSError:
        return False
