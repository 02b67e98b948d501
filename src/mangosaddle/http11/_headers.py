"""Lists of HTTP headers."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]
"""Header names as received, and values, in the order of the message."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to a single connection only (RFC 9110, section 7.6.1)."""


class HeaderView:
    """Read access to headers by lower-case name."""

    __slots__ = ("_values_by_name",)

    def __init__(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Index the headers; all values of a repeated header are kept."""
        self._values_by_name: dict[bytes, list[bytes]] = {}
        for name, value in headers:
            self._values_by_name.setdefault(name.lower(), []).append(value)

    def first(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        values = self._values_by_name.get(name)
        return values[0] if values else None

    def count(self, name: bytes) -> int:
        """Return the number of occurrences of a header."""
        return len(self._values_by_name.get(name, ()))

    def tokens(self, name: bytes) -> frozenset[bytes]:
        """Return the comma-separated tokens of all values, in lower case."""
        joined = b",".join(self._values_by_name.get(name, ()))
        return frozenset(token.strip().lower() for token in joined.split(b",") if token.strip())


def without_hop_by_hop(headers: HeaderList, view: HeaderView) -> HeaderList:
    """Return the end-to-end headers, also without those that ``Connection`` lists."""
    dropped = HOP_BY_HOP_HEADERS | view.tokens(b"connection")
    return [(name, value) for name, value in headers if name.lower() not in dropped]
