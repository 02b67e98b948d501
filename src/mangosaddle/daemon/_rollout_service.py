"""Exchanges rollout evidence and vetoes between VMs and stores vetoes."""

import json
import logging
import random
import time
from collections.abc import Callable
from dataclasses import replace

from .._identifiers import ModelName, RegionName, VersionId, VmId
from .._tasks import BackgroundTasks
from ..configuration import Configuration, ModelVersion
from ..membership import (
    GROW_ONLY,
    HIGHEST_VERSION,
    PER_ORIGIN,
    Fact,
    FactKind,
    rendezvous_ranking,
)
from ..peers import PeerNode
from ..providers import StoreClient
from ..rollouts import EvidenceError, RolloutControl, RolloutState, RolloutStatus, Veto
from ._blocking import BlockingCalls
from ._reported_versions import loaded_capacity
from ._veto_store import VetoStore

EVIDENCE_KIND = FactKind("evidence", PER_ORIGIN, lifetime_s=300.0, regional=True, reconciled=False)
REGION_EVIDENCE_KIND = FactKind(
    "region-evidence", HIGHEST_VERSION, lifetime_s=300.0, reconciled=False
)
EVIDENCE_BYTES_PER_S = 1_200.0
"""Rate at which a VM receives evidence from its region during a rollout, and from other regions.

With payloads of 1,520 B the intervals are 72 s and 44 s at the target scale, where a VM sees enough
requests to decide on its own evidence; with six VMs they are 2.5 s and 3.8 s.
"""
VETO_KIND = FactKind("veto", GROW_ONLY)
EVALUATION_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class RolloutService:
    """Runs the rollout control on the evidence of all VMs; event loop thread only."""

    def __init__(
        self,
        own_vm: VmId,
        region: RegionName,
        control: RolloutControl,
        peers: PeerNode,
        store: StoreClient,
        blocking: BlockingCalls,
        tasks: BackgroundTasks,
        rng: random.Random,
        on_veto: Callable[[Veto], None],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create the service; ``on_veto`` is called once for each vetoed version."""
        self.control = control
        self._own_vm = own_vm
        self._region = region
        self._peers = peers
        self._tasks = tasks
        self._on_veto = on_veto
        self._wall_clock = wall_clock
        self._veto_store = VetoStore(
            store, blocking, rng, self._is_watcher, control.vetoes, self._handle_stored_veto
        )
        self._notified_vetoes: set[str] = set()
        self._unloaded_regions_by_model: dict[ModelName, list[RegionName]] = {}
        self._evidence_version = 0
        self._published_evidence = b""
        self._published_at_s = 0.0
        self._region_published_at_s = 0.0
        self._configuration = Configuration(revision=-1)

    def start(self) -> None:
        """Register the fact handlers and start evaluating rollouts."""
        self._peers.on_fact(EVIDENCE_KIND.name, self._handle_evidence_fact)
        self._peers.on_fact(REGION_EVIDENCE_KIND.name, self._handle_region_evidence_fact)
        self._peers.on_fact(VETO_KIND.name, self._handle_veto_fact)
        self._tasks.run_periodically(EVALUATION_INTERVAL_S, self._evaluate)
        self._tasks.spawn(self._veto_store.run())

    def _is_watcher(self) -> bool:
        """Return whether this VM is one of the two in its region that sync stored vetoes."""
        return self._own_vm in self._peers.membership.config_watchers(self._region)

    async def handle_restore(self, epoch: int) -> None:
        """Store the vetoes again that a restore of the store may have removed."""
        self._veto_store.handle_restore(epoch)

    def apply_reported_inventory(self, configuration: Configuration) -> None:
        """Update the loaded capacities from the inventory with reported versions."""
        endpoints = configuration.endpoints_by_id.values()
        for model, plan in configuration.rollouts_by_model.items():
            new, old = ModelVersion(model, plan.new), ModelVersion(model, plan.old)
            self.control.set_loaded_capacity(
                model, *loaded_capacity(endpoints, self._region, new, old)
            )
            regions_with_old_only = {
                e.region
                for e in endpoints
                if not e.leaving and old in e.versions and new not in e.versions
            }
            self._unloaded_regions_by_model[model] = sorted(regions_with_old_only)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the rollout plans of a configuration."""
        self._configuration = configuration
        self.control.apply_configuration(configuration)

    def _evaluate(self) -> None:
        if self._configuration.rollouts_by_model:
            self._publish_evidence()
            self._publish_region_evidence()
        for veto in self.control.evaluate(self._wall_clock()):
            _log.warning(
                "version vetoed",
                extra={"model": veto.model, "version": veto.version, "reason": veto.reason},
            )
            self._publish_veto(veto)

    def _publish_evidence(self) -> None:
        payload = self.control.evidence_payload()
        now = self._wall_clock()
        vms = len(self._live_in_region())
        due_s = self._published_at_s + vms * len(payload) / EVIDENCE_BYTES_PER_S
        if payload == self._published_evidence or now < due_s:
            return
        self._published_evidence, self._published_at_s = payload, now
        self._evidence_version += 1
        self._peers.publish(
            self._peers.new_fact(EVIDENCE_KIND.name, "", self._evidence_version, payload)
        )

    def _publish_region_evidence(self) -> None:
        """Publish the summed evidence of this region; one VM per region does this."""
        if (
            rendezvous_ranking(f"evidence {self._region}", self._live_in_region())[0]
            != self._own_vm
        ):
            return
        now = self._wall_clock()
        sequence_ms = int(now * 1000)
        payload = self.control.region_evidence_payload(sequence_ms)
        regions = len(self._configuration.regions())
        due_s = self._region_published_at_s + regions * len(payload) / EVIDENCE_BYTES_PER_S
        if now >= due_s:
            self._region_published_at_s = now
            kind = REGION_EVIDENCE_KIND.name
            self._peers.publish(self._peers.new_fact(kind, self._region, sequence_ms, payload))

    def _live_in_region(self) -> frozenset[VmId]:
        return self._peers.membership.live_vms(self._region) | {self._own_vm}

    def _handle_region_evidence_fact(self, fact: Fact) -> None:
        if fact.key == self._region:
            return
        try:
            self.control.merge_region_evidence(RegionName(fact.key), fact.payload)
        except EvidenceError:
            _log.warning("cannot decode evidence of a region", extra={"region": fact.key})

    def _publish_veto(self, veto: Veto) -> None:
        key = f"{veto.model}@{veto.version}"
        self._peers.publish(self._peers.new_fact(VETO_KIND.name, key, 1, _veto_payload(veto)))
        self._notify_veto(veto)

    def _notify_veto(self, veto: Veto) -> None:
        key = f"{veto.model}@{veto.version}"
        if key not in self._notified_vetoes:
            self._notified_vetoes.add(key)
            self._on_veto(veto)

    def _handle_stored_veto(self, veto: Veto) -> None:
        """Apply a veto from the store, and publish it if the fleet no longer knows it."""
        self.control.merge_vetoes([veto])
        if f"{veto.model}@{veto.version}" not in self._notified_vetoes:
            self._publish_veto(veto)

    def _handle_evidence_fact(self, fact: Fact) -> None:
        try:
            self.control.merge_evidence(fact.origin, fact.incarnation, fact.payload)
        except EvidenceError:
            _log.warning("cannot decode evidence", extra={"vm": fact.origin})

    def _handle_veto_fact(self, fact: Fact) -> None:
        model, _, version = fact.key.rpartition("@")
        try:
            document = json.loads(fact.payload)
            reason, at_s = str(document["reason"]), float(document["at_s"])
        except (ValueError, KeyError, TypeError):
            # The key identifies the vetoed version; an invalid payload must not void the veto.
            reason, at_s = "reason not readable", self._wall_clock()
        veto = Veto(ModelName(model), VersionId(version), reason, fact.origin, at_s)
        self.control.merge_vetoes([veto])
        self._notify_veto(veto)

    def vetoed(self) -> frozenset[ModelVersion]:
        """Return the model versions that have been vetoed."""
        return frozenset(
            ModelVersion(ModelName(v.model), VersionId(v.version)) for v in self.control.vetoes()
        )

    def _with_unloaded_regions(self, status: RolloutStatus, deadline_s: float) -> RolloutStatus:
        """Return the status, in progress or late while a region still has to load the version."""
        unloaded_regions = self._unloaded_regions_by_model.get(status.model)
        if status.state is not RolloutState.COMPLETED or not unloaded_regions:
            return status
        is_late = self._wall_clock() >= deadline_s
        state = RolloutState.LATE if is_late else RolloutState.IN_PROGRESS
        reason = f"not yet loaded on all engines in {', '.join(unloaded_regions)}"
        return replace(status, state=state, reason=reason)

    def versions(self) -> list[dict[str, object]]:
        """Return one row per rollout with its state, for operators."""
        rows: list[dict[str, object]] = []
        for model, plan in sorted(self._configuration.rollouts_by_model.items()):
            status = self.control.status(model, self._wall_clock())
            if status is None:
                continue
            status = self._with_unloaded_regions(status, plan.deadline_s)
            rows.append(
                {
                    "model": model,
                    "old": plan.old,
                    "new": plan.new,
                    "share": status.share,
                    "state": status.state.value,
                    "reason": status.reason,
                    "deadline": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(plan.deadline_s)),
                }
            )
        return rows


def _veto_payload(veto: Veto) -> bytes:
    return json.dumps({"reason": veto.reason, "at_s": veto.at_s}).encode()
