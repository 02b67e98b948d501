"""Operator actions on one entry VM: configuration, keys and status."""

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result, Success

from .._identifiers import KeyId, OrganisationId
from ..configuration import (
    Configuration,
    KeyExistsError,
    ModelVersion,
    UnknownKeyError,
    UnknownOrganisationError,
    with_key_granted,
    with_key_withdrawn,
)
from ..gateway import GrantedKey, KeyConfirmations, Problem, RequestFinding
from ..keys import KeyText
from ._configuration_service import ConfigurationService
from ._key_service import KeyService
from ._rollout_service import RolloutService

Value = TypeVar("Value")

CONFIRMATION_TIMEOUT_S = 2.0
CONFIRMATION_POLL_INTERVAL_S = 0.05


class AdministrationService:
    """Implements the administration interface of the admin API; event loop thread only."""

    def __init__(
        self,
        current_configuration: Callable[[], Configuration],
        configuration_service: ConfigurationService,
        key_service: KeyService,
        rollout_service: RolloutService,
        status: Callable[[], dict[str, object]],
    ) -> None:
        """Create the service on top of the services of the process."""
        self._current_configuration = current_configuration
        self._configuration_service = configuration_service
        self._key_service = key_service
        self._rollout_service = rollout_service
        self._status = status
        self._tasks: set[asyncio.Task[object]] = set()
        self._unconfirmed_key_ids: set[KeyId] = set()
        """Keys withdrawn through this VM whose withdrawal not all VMs have confirmed yet."""

    def configuration(self) -> Configuration:
        """Return the configuration that this VM currently applies."""
        return self._current_configuration()

    def vetoed(self) -> frozenset[ModelVersion]:
        """Return the model versions that have been vetoed."""
        return self._rollout_service.vetoed()

    async def compute(self, function: Callable[[], Value]) -> Value:
        """Run a CPU-bound pure function in a thread, without blocking the event loop."""
        return await self._configuration_service.compute(function)

    async def refresh(self) -> None:
        """Read the configuration from the store and apply it if it is newer."""
        await self._configuration_service.refresh()

    async def store(self, edited: Configuration, expected: int) -> Result[int, Problem]:
        """Store an edit if the store still has the expected revision; return the new revision."""
        return await self._configuration_service.store(edited, expected)

    async def grant_key(self, organisation: OrganisationId) -> Result[GrantedKey, Problem]:
        """Grant a new key, which becomes valid once the configuration with its hash is stored."""
        key_text = KeyText.generate()
        record = key_text.to_key(organisation)
        try:
            stored = await self._configuration_service.edit(
                lambda base: with_key_granted(base, record, time.time())
            )
        except UnknownOrganisationError as error:
            finding = RequestFinding(
                "body.organisation", str(error), "add it to the inventory first"
            )
            return Failure(Problem(404, "unknown-organisation", str(error), findings=(finding,)))
        except KeyExistsError:
            # The edit was stored but the response was lost, so that the retry finds the key.
            return Success(GrantedKey(key_text.id, key_text.reveal()))
        return stored.map(lambda _: GrantedKey(key_text.id, key_text.reveal()))

    async def withdraw_key(self, key_id: KeyId) -> Result[KeyConfirmations, Problem]:
        """Withdraw a key at once, store the withdrawal in the background, and await confirmations.

        Waits up to ``CONFIRMATION_TIMEOUT_S`` seconds for the other VMs.
        """
        if (
            key_id not in self._current_configuration().keys_by_id
            and not self._key_service.is_withdrawn(key_id)
        ):
            await self._configuration_service.refresh()
            if key_id not in self._current_configuration().keys_by_id:
                return Failure(Problem(404, "unknown-key", f"key {key_id!r} is not known"))
        self._key_service.withdraw(key_id)
        self._unconfirmed_key_ids.add(key_id)
        task = asyncio.get_running_loop().create_task(self._store_withdrawal(key_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return Success(await self._wait_for_confirmations(key_id))

    async def _store_withdrawal(self, key_id: KeyId) -> None:
        """Write the withdrawal to the store, retrying with backoff while it is down."""
        retry_delay_s = 0.5
        while True:
            try:
                stored = await self._configuration_service.edit(
                    lambda base: with_key_withdrawn(base, key_id, time.time())
                )
            except UnknownKeyError:
                return
            if isinstance(stored, Success):
                return
            await asyncio.sleep(retry_delay_s)
            retry_delay_s = min(retry_delay_s * 2, 30.0)

    async def _wait_for_confirmations(self, key_id: KeyId) -> KeyConfirmations:
        deadline = time.monotonic() + CONFIRMATION_TIMEOUT_S
        confirmations = self._key_service.confirmations(key_id)
        while confirmations.unconfirmed and time.monotonic() < deadline:
            await asyncio.sleep(CONFIRMATION_POLL_INTERVAL_S)
            confirmations = self._key_service.confirmations(key_id)
        return confirmations

    def key_confirmations(self, key_id: KeyId) -> KeyConfirmations | None:
        """Return which VMs have confirmed a withdrawal; ``None`` if the key is not withdrawn."""
        return (
            self._key_service.confirmations(key_id)
            if self._key_service.is_withdrawn(key_id)
            else None
        )

    def versions(self) -> list[dict[str, object]]:
        """Return one row per rollout with its state."""
        return self._rollout_service.versions()

    def status(self) -> dict[str, object]:
        """Return this VM's view of the fleet and the age of its data.

        Withdrawals requested through this VM are listed until all VMs have confirmed them.
        """
        return {**self._status(), "unconfirmed_withdrawals": self._unconfirmed_withdrawals()}

    def _unconfirmed_withdrawals(self) -> list[dict[str, object]]:
        rows: list[dict[str, object]] = []
        for key_id in sorted(self._unconfirmed_key_ids):
            unconfirmed = self._key_service.confirmations(key_id).unconfirmed
            if unconfirmed:
                rows.append({"key_id": key_id, "unconfirmed": list(unconfirmed)})
            else:
                self._unconfirmed_key_ids.discard(key_id)
        return rows
