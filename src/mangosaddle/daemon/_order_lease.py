"""The store lease that allows one VM to send orders to the endpoints of a model."""

import logging
from collections.abc import Callable

from returns.result import Success

from .._identifiers import ModelName, VmId
from ..providers import Lease, LeaseLost, StoreClient
from ..rollouts import OrderLeaseGuard, OrderLeaseState
from ._blocking import BlockingCalls

LEASE_KEY_PREFIX = "orders/"
RENEWALS_PER_TTL = 3
EXPIRY_MARGIN_S = 1.0
"""No orders are sent in this time before the lease expires."""

_log = logging.getLogger(__name__)


class OrderLease:
    """Acquires, renews and releases the lease of one model; event loop thread only."""

    def __init__(
        self,
        model: ModelName,
        own_vm: VmId,
        store: StoreClient,
        blocking: BlockingCalls,
        clock: Callable[[], float],
        ttl_s: float,
    ) -> None:
        """Create without a lease; ``clock`` must keep running while the VM is suspended."""
        self.guard = OrderLeaseGuard()
        self._model = model
        self._own_vm = own_vm
        self._store = store
        self._blocking = blocking
        self._clock = clock
        self._ttl_s = ttl_s
        self._lease: Lease | None = None
        self._renew_due_s = 0.0

    @property
    def is_held(self) -> bool:
        """Whether orders may be sent now."""
        return (
            self._lease is not None and self.guard.state(self._clock()) is OrderLeaseState.HOLDING
        )

    def order_deadline_s(self) -> float:
        """Return the clock time in seconds from which no more orders may be sent."""
        return 0.0 if self._lease is None else self._lease.expires_at_s - EXPIRY_MARGIN_S

    async def acquire_or_renew(self) -> bool:
        """Acquire the lease, or renew it when due; return whether it is held."""
        if not self.is_held:
            await self._acquire()
        elif self._clock() >= self._renew_due_s:
            await self._renew()
        return self.is_held

    async def _acquire(self) -> None:
        requested_at = self._clock()
        key = LEASE_KEY_PREFIX + self._model
        result = await self._blocking.run(
            self._store.acquire_lease, key, self._own_vm.encode(), self._ttl_s
        )
        self._lease = result.value_or(None)
        if self._lease is None:
            return
        now = self._clock()
        self._renew_due_s = requested_at + self._ttl_s / RENEWALS_PER_TTL
        # The former holder may consider its lease valid for a full TTL after its last renewal.
        if self.guard.on_lease_acquired(
            self._lease.fencing, requested_at, now, self._ttl_s, self._ttl_s
        ):
            _log.info(
                "order lease acquired", extra={"model": self._model, "fencing": self._lease.fencing}
            )

    async def _renew(self) -> None:
        if self._lease is None:
            return
        requested_at = self._clock()
        result = await self._blocking.run(self._store.renew, self._lease)
        if isinstance(result, Success):
            self._lease = result.unwrap()
            self._renew_due_s = requested_at + self._ttl_s / RENEWALS_PER_TTL
            self.guard.on_lease_renewed(requested_at, self._clock(), self._ttl_s)
        elif isinstance(result.failure(), LeaseLost):
            self.mark_lost()

    def mark_lost(self) -> None:
        """Stop sending orders: the store or an endpoint reported a later holder."""
        _log.warning("order lease lost", extra={"model": self._model})
        self._lease = None
        self.guard.on_lease_lost()

    async def release(self) -> None:
        """Release the lease, so that another VM can acquire it at once."""
        lease, self._lease = self._lease, None
        if lease is not None:
            self.guard.on_lease_lost()
            await self._blocking.run(self._store.release, lease)
