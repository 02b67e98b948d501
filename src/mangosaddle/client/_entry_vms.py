"""The entry VMs that a client may use, in the order of preference."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

FAILED_FOR_S = 5.0
"""Time for which a VM that failed is tried only after the others."""

MAX_VALID_FOR_S = 60.0
"""Longest time that a list is used, whatever its sender states."""


@dataclass(frozen=True, slots=True)
class OrderId:
    """An order id issued by an entry VM, which executes it from memory."""

    id: str
    issuer_url: str


class EntryVms:
    """List of entry VMs from discovery, with the failures that the client has seen."""

    def __init__(self, seed_urls: Iterable[str], clock: Callable[[], float]) -> None:
        """Create the list from known base URLs; it is due for discovery at once."""
        self._seed_urls = tuple(url.rstrip("/") for url in seed_urls)
        if not self._seed_urls:
            raise ValueError("at least one URL of an entry VM is needed")
        self._clock = clock
        self._urls: tuple[str, ...] = ()
        self._order_ids: list[OrderId] = []
        self._expires_at_s = clock()
        self._failed_until_s_by_url: dict[str, float] = {}

    def is_due(self) -> bool:
        """Tell whether the list has expired or a VM of it has failed."""
        return self._clock() >= self._expires_at_s

    def update(self, urls: Sequence[str], valid_for_s: float, order_ids: Sequence[OrderId]) -> None:
        """Take over a discovery response; order ids of the old list are dropped with it."""
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._order_ids = list(order_ids)
        self._expires_at_s = self._clock() + min(max(valid_for_s, 0.0), MAX_VALID_FOR_S)

    def postpone(self, seconds: float) -> None:
        """Keep the present list for a while after a discovery that failed."""
        self._expires_at_s = self._clock() + seconds

    def mark_failed(self, url: str) -> None:
        """Try this VM last for a while, and ask for a new list."""
        self._failed_until_s_by_url[url] = self._clock() + FAILED_FOR_S
        self._expires_at_s = self._clock()

    def urls(self) -> tuple[str, ...]:
        """Return all base URLs: those of discovery, then the seeds; failed ones last."""
        now = self._clock()
        known = dict.fromkeys((*self._urls, *self._seed_urls))
        return tuple(sorted(known, key=lambda url: self._failed_until_s_by_url.get(url, 0) > now))

    def has_order_id(self) -> bool:
        """Tell whether an issued order id is at hand."""
        return bool(self._order_ids)

    def take_order_id(self) -> OrderId:
        """Remove and return an issued order id; raises `IndexError` when there is none."""
        return self._order_ids.pop(0)
