"""Header lists."""

from collections.abc import Iterable

HeaderList = list[tuple[bytes, bytes]]
"""Names as received and values, in order."""

HOP_BY_HOP = frozenset(
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
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""


class HeaderView:
    """Read access by lower-case name."""

    __slots__ = ("_values_by_name",)

    def __init__(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Index the headers; of a repeated name all values are kept."""
        self._values_by_name: dict[bytes, list[bytes]] = {}
        for name, value in headers:
            self._values_by_name.setdefault(name.lower(), []).append(value)

    def first(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        values = self._values_by_name.get(name)
        return values[0] if values else None

    def count(self, name: bytes) -> int:
        """Return how often a header occurs."""
        return len(self._values_by_name.get(name, ()))

    def tokens(self, name: bytes) -> frozenset[bytes]:
        """Return the comma-separated tokens of all values, in lower case."""
        joined = b",".join(self._values_by_name.get(name, ()))
        return frozenset(token.strip().lower() for token in joined.split(b",") if token.strip())


def without_hop_by_hop(headers: HeaderList, view: HeaderView) -> HeaderList:
    """Return the headers that may travel on, without those that ``Connection`` names."""
    dropped = HOP_BY_HOP | view.tokens(b"connection")
    return [(name, value) for name, value in headers if name.lower() not in dropped]
