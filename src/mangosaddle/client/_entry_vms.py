"""The entry VMs that a client may use, in order of preference."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

FAILED_VM_PENALTY_S = 5.0
"""Time for which a failed VM is tried after all others."""

MAX_VALID_FOR_S = 60.0
"""Upper limit on the validity stated in a discovery response."""


@dataclass(frozen=True, slots=True)
class OrderId:
    """An order id issued by an entry VM, which tracks the execution in memory."""

    id: str
    issuer_url: str


class EntryVms:
    """Entry VMs known from discovery, with recent failures."""

    def __init__(self, seed_urls: Iterable[str], clock: Callable[[], float]) -> None:
        """Create the list from seed URLs; discovery is due immediately.

        Raises `ValueError` without a seed URL.
        """
        self._seed_urls = tuple(url.rstrip("/") for url in seed_urls)
        if not self._seed_urls:
            raise ValueError("at least one entry VM URL is required")
        self._clock = clock
        self._urls: tuple[str, ...] = ()
        self._order_ids: list[OrderId] = []
        self._expires_at_s = clock()
        self._failed_until_s_by_url: dict[str, float] = {}

    def needs_discovery(self) -> bool:
        """Return whether the list has expired or one of its VMs has failed."""
        return self._clock() >= self._expires_at_s

    def update(self, urls: Sequence[str], valid_for_s: float, order_ids: Sequence[OrderId]) -> None:
        """Replace the list by a discovery response; order ids of the old list are dropped."""
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._order_ids = list(order_ids)
        self._expires_at_s = self._clock() + min(max(valid_for_s, 0.0), MAX_VALID_FOR_S)

    def postpone_discovery(self, seconds: float) -> None:
        """Keep the current list for `seconds` after a failed discovery."""
        self._expires_at_s = self._clock() + seconds

    def mark_failed(self, url: str) -> None:
        """Try this VM last for `FAILED_VM_PENALTY_S` and make discovery due."""
        self._failed_until_s_by_url[url] = self._clock() + FAILED_VM_PENALTY_S
        self._expires_at_s = self._clock()

    def urls(self) -> tuple[str, ...]:
        """Return all base URLs: discovered ones, then seeds, with failed VMs last."""
        now = self._clock()
        known = dict.fromkeys((*self._urls, *self._seed_urls))
        return tuple(sorted(known, key=lambda url: self._failed_until_s_by_url.get(url, 0) > now))

    def has_order_id(self) -> bool:
        """Return whether an issued order id is available."""
        return bool(self._order_ids)

    def take_order_id(self) -> OrderId:
        """Remove and return an issued order id; raises `IndexError` if there is none."""
        return self._order_ids.pop(0)
