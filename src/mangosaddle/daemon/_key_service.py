"""Key withdrawals: applied locally at once and published to the other VMs as facts."""

import logging
import time
from collections.abc import Callable

from .._identifiers import KeyId
from ..configuration import Configuration
from ..gateway import KeyConfirmations
from ..keys import KeyRing
from ..membership import GROW_ONLY, Fact, FactKind
from ..peers import PeerNode

KEY_WITHDRAWAL_KIND = FactKind("withdrawn-key", GROW_ONLY, confirmed=True)

_log = logging.getLogger(__name__)


class KeyService:
    """Keeps the key ring in sync with the configuration and with facts; event loop thread only."""

    def __init__(
        self, keys: KeyRing, peers: PeerNode, end_withdrawn_streams: Callable[[], int]
    ) -> None:
        """Create the service and register the handler of withdrawal facts."""
        self._keys = keys
        self._peers = peers
        self._end_withdrawn_streams = end_withdrawn_streams
        peers.on_fact(KEY_WITHDRAWAL_KIND.name, self._handle_fact)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the keys of a configuration and end the streams of removed keys."""
        self._keys.update(configuration)
        self._end_streams()

    def withdraw(self, key_id: KeyId) -> KeyConfirmations:
        """Refuse a key from now on, end its streams and publish the withdrawal."""
        self._keys.withdraw(key_id)
        version_ms = int(time.time() * 1000)
        self._peers.publish(self._peers.new_fact(KEY_WITHDRAWAL_KIND.name, key_id, version_ms))
        _log.info("key withdrawn", extra={"key_id": key_id})
        self._end_streams()
        return self.confirmations(key_id)

    def _handle_fact(self, fact: Fact) -> None:
        self._keys.withdraw(KeyId(fact.key))
        self._end_streams()

    def _end_streams(self) -> None:
        ended = self._end_withdrawn_streams()
        if ended:
            _log.info("streams of withdrawn keys ended", extra={"streams": ended})

    def confirmations(self, key_id: KeyId) -> KeyConfirmations:
        """Return which VMs have confirmed a withdrawal."""
        found = self._peers.confirmations(KEY_WITHDRAWAL_KIND.name, key_id)
        return KeyConfirmations(tuple(sorted(found.confirmed)), tuple(sorted(found.unconfirmed)))

    def is_withdrawn(self, key_id: KeyId) -> bool:
        """Return whether a key has been withdrawn."""
        return self._keys.is_withdrawn(key_id)
