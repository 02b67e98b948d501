"""Order ids issued by entry VMs, which can execute them without access to the store."""

import hmac
import math
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .._identifiers import Incarnation, VmId

ORDER_ID_PREFIX = "oid"
ORDER_ID_LIFETIME_S = 300.0
"""Time after which an issued id can no longer start an order."""
MAX_ORDER_ID_CHARACTERS = 256
MAX_IDS_PER_ISSUE = 100
MAC_CONTEXT = b"mangosaddle order id\n"
"""Domain separation: the MAC key is derived from the shared secret with this text."""
MAC_HEX_DIGITS = 32


@dataclass(frozen=True, slots=True)
class IssuedOrderId:
    """An order id whose MAC has been verified."""

    vm: VmId
    incarnation: Incarnation
    sequence: int
    expires_s: int
    """Wall-clock time in seconds since the epoch."""


@dataclass(frozen=True, slots=True)
class InvalidOrderId:
    """The text is not an order id issued by an entry VM, so no order can have run under it."""

    reason: str


class OrderIdIssuer:
    """Issues order ids for one VM incarnation and verifies ids issued by any VM of the fleet."""

    def __init__(self, vm: VmId, incarnation: Incarnation, mac_key: bytes) -> None:
        """Create an issuer from a derived key; use ``from_secret`` instead."""
        self.vm = vm
        self.incarnation = incarnation
        self._mac_key = mac_key
        self._sequence = 0

    @classmethod
    def from_secret(cls, vm: VmId, incarnation: Incarnation, secret: bytes) -> "OrderIdIssuer":
        """Create an issuer from the secret that all VMs of the fleet share."""
        return cls(vm, incarnation, hmac.digest(secret, MAC_CONTEXT, "sha256"))

    def issue(self, count: int, now: float) -> tuple[str, ...]:
        """Issue ids that are valid for ``ORDER_ID_LIFETIME_S``.

        At most ``MAX_IDS_PER_ISSUE`` ids are issued; ``now`` is wall-clock time in seconds.
        """
        expires_s = math.ceil(now + ORDER_ID_LIFETIME_S)
        return tuple(
            self._issue_one(expires_s) for _ in range(max(0, min(count, MAX_IDS_PER_ISSUE)))
        )

    def _issue_one(self, expires_s: int) -> str:
        self._sequence += 1
        signed = f"{ORDER_ID_PREFIX}_{self.vm}_{self.incarnation}_{self._sequence}_{expires_s}"
        return f"{signed}_{self._mac(signed)}"

    def verify(self, text: str) -> Result[IssuedOrderId, InvalidOrderId]:
        """Check the MAC and parse the id; expiry and earlier use are not checked."""
        if len(text) > MAX_ORDER_ID_CHARACTERS or not text.isascii():
            return Failure(InvalidOrderId("too long or not ASCII"))
        signed, _, mac = text.rpartition("_")
        parts = signed.rsplit("_", 3)
        if len(parts) != 4 or not parts[0].startswith(f"{ORDER_ID_PREFIX}_"):
            return Failure(InvalidOrderId("not of the form of an order id"))
        if not hmac.compare_digest(mac, self._mac(signed)):
            return Failure(InvalidOrderId("wrong MAC"))
        vm = VmId(parts[0].removeprefix(f"{ORDER_ID_PREFIX}_"))
        return Success(IssuedOrderId(vm, Incarnation(parts[1]), int(parts[2]), int(parts[3])))

    def _mac(self, signed: str) -> str:
        return hmac.digest(self._mac_key, signed.encode(), "sha256").hex()[:MAC_HEX_DIGITS]
