"""Claims that a VM has written recently, which a restore of the store may remove."""

from collections import OrderedDict
from dataclasses import dataclass, replace

from ..providers import epoch_of
from ._claims import Claim, ClaimState

RETENTION_S = 120.0
"""Age of the oldest copy from which the store is expected to be restored."""
MAX_CLAIMS = 16_384
"""70 orders/s for the retention need 8,400 entries."""
MAX_BODIES_BYTES = 8 * 1_048_576
"""Limit on the total size of the recorded response bodies; older bodies are dropped."""


@dataclass(frozen=True, slots=True)
class _RecentClaim:
    key: str
    claim: Claim
    position: int
    """Store position of the last write."""
    written_s: float


class RecentClaims:
    """The last record of each attempt that may have sent its order; not thread-safe."""

    def __init__(self) -> None:
        """Create without claims."""
        self._claims_by_nonce: OrderedDict[str, _RecentClaim] = OrderedDict()
        self._body_bytes_by_nonce: OrderedDict[str, int] = OrderedDict()
        self._body_bytes = 0

    def __len__(self) -> int:
        """Return the number of claims kept."""
        return len(self._claims_by_nonce)

    def record(self, key: str, claim: Claim, position: int, now_s: float) -> None:
        """Record a successful write at the wall-clock time ``now_s``."""
        self._remove(claim.nonce)
        if claim.state is not ClaimState.RELEASED:
            self._claims_by_nonce[claim.nonce] = _RecentClaim(key, claim, position, now_s)
            self._body_bytes_by_nonce[claim.nonce] = _body_bytes(claim)
            self._body_bytes += _body_bytes(claim)
        while self._claims_by_nonce and self._is_surplus(now_s):
            self._remove(next(iter(self._claims_by_nonce)))
        self._drop_bodies()

    def written_before(self, epoch: int) -> tuple[tuple[str, Claim], ...]:
        """Return the claims that were last written in an earlier epoch, with their keys."""
        return tuple(
            (recent.key, recent.claim)
            for recent in self._claims_by_nonce.values()
            if epoch_of(recent.position) < epoch
        )

    def _is_surplus(self, now_s: float) -> bool:
        oldest = next(iter(self._claims_by_nonce.values()))
        return len(self._claims_by_nonce) > MAX_CLAIMS or now_s - oldest.written_s > RETENTION_S

    def _remove(self, nonce: str) -> None:
        self._claims_by_nonce.pop(nonce, None)
        self._body_bytes -= self._body_bytes_by_nonce.pop(nonce, 0)

    def _drop_bodies(self) -> None:
        while self._body_bytes > MAX_BODIES_BYTES:
            nonce, size = self._body_bytes_by_nonce.popitem(last=False)
            self._body_bytes -= size
            recent = self._claims_by_nonce[nonce]
            if recent.claim.response is not None:
                claim = replace(recent.claim, response=recent.claim.response.without_body())
                self._claims_by_nonce[nonce] = replace(recent, claim=claim)


def _body_bytes(claim: Claim) -> int:
    response = claim.response
    return len(response.body) if response is not None and response.body is not None else 0
