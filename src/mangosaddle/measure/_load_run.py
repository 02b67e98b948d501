"""One load run: starts the deployment and the callers and gathers what they saw."""

import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path

from .._identifiers import ModelName, VersionId
from ..configuration import (
    Configuration,
    EndpointKind,
    ModelVersion,
    RolloutPlan,
    RolloutStep,
)
from ..demo import EntryProcesses, example_configuration, wait_for
from ..standins import EngineSpeed
from ._load_generator import MODEL, LoadGenerator, LoadResult
from ._load_plan import LoadPlan
from ._remote_stand_ins import PlatformCounts, RemoteStandIns, StandInSpeed
from ._vm_counters import VmCounters, read_counters

WARM_UP_S = 32.0
"""Start of all processes (about 8 s) and the longest burst / rate of the examples (20 s)."""
SLOTS_TIMEOUT_S = 20.0
REGION_DELAY_S = 0.04
ENGINE_USE = 0.6
PREFILL_S_PER_TOKEN = 0.0004
EXPECTED_RECOMPUTED_PART = 0.4
LOAD_LAG_S = 0.5
SLOTS_PER_ORGANISATION = 6
NEW_VERSION = VersionId("v2")
ROLLOUT_START_S = 1.0
ROLLOUT_STEPS = ((1.0, 0.05), (10.0, 0.2), (20.0, 0.5), (30.0, 1.0))
"""Seconds from the start of the load, and the new version's share from then on."""
ROLLOUT_DEADLINE_S = 55.0
"""The share is held back until enough answers have been seen, which takes about 45 s here."""


@dataclass(frozen=True, slots=True)
class LoadRun:
    """Everything that a report is made from."""

    deployment: str
    seed: int
    configuration: Configuration
    plan: LoadPlan
    result: LoadResult
    speed: StandInSpeed
    start_wall_s: float
    """Wall-clock time of the start of the load."""
    platform: tuple[PlatformCounts, PlatformCounts]
    """Counts of the stand-ins before and after the load."""
    vms: tuple[dict[str, VmCounters], dict[str, VmCounters]]
    """Counters of the entry processes before and after the load."""
    counted_s: float
    """Time between the two readings of counters."""
    versions: list[dict[str, object]]
    """State of the rollout as the first VM reports it after the load."""


def run_load(deployment: str, seed: int, bad_version: bool) -> LoadRun:
    """Run the load of a deployment once; raises ``FleetError`` when the fleet does not start."""
    start_s = time.monotonic() + WARM_UP_S
    start_wall_s = time.time() + WARM_UP_S
    configuration = _with_rollout(example_configuration(deployment), start_wall_s)
    plan = LoadPlan.from_seed(configuration, seed)
    speed = StandInSpeed(
        EngineSpeed(PREFILL_S_PER_TOKEN, _token_interval_s(plan, configuration), LOAD_LAG_S),
        REGION_DELAY_S,
        f"{MODEL}@{NEW_VERSION}" if bad_version else None,
    )
    standins = RemoteStandIns(configuration, speed)
    with tempfile.TemporaryDirectory(prefix="mangosaddle-measure-") as logs:
        processes = EntryProcesses(standins, Path(logs))
        try:
            standins.start()
            processes.start()
            slots = SLOTS_PER_ORGANISATION * len(configuration.organisations_by_id)
            wait_for(lambda: processes.slots() >= slots, "all slots held", SLOTS_TIMEOUT_S)
            generator = LoadGenerator(
                plan, standins.configuration, standins.keys_by_organisation, start_s
            )
            try:
                time.sleep(max(0.0, start_s - time.monotonic()))
                before = (time.monotonic(), standins.counts(), read_counters(processes))
                result = generator.result()
            finally:
                generator.stop()
            after = (time.monotonic(), standins.counts(), read_counters(processes))
            versions = processes.get(next(iter(processes.processes_by_vm)), "/admin/v1/versions")
        finally:
            processes.stop()
            standins.stop()
    return LoadRun(
        deployment,
        seed,
        standins.configuration,
        plan,
        result,
        speed,
        start_wall_s,
        (before[1], after[1]),
        (before[2], after[2]),
        after[0] - before[0],
        versions.json()["versions"] if versions is not None else [],
    )


def _token_interval_s(plan: LoadPlan, configuration: Configuration) -> float:
    prompts = sum(a.prompt_tokens for a in plan.arrivals if plan.ideal_by_number[a.number])
    prefill_s = prompts * EXPECTED_RECOMPUTED_PART * PREFILL_S_PER_TOKEN
    return plan.token_interval_s(configuration, ENGINE_USE, prefill_s)


def _with_rollout(configuration: Configuration, start_wall_s: float) -> Configuration:
    """Return the configuration with a plan inside the load, and the new version on all engines.

    With the new version on some engines only, the move itself would shrink the fleet.
    """
    model = ModelName(MODEL)
    plan = RolloutPlan(
        model,
        configuration.versions_by_model[model][0],
        NEW_VERSION,
        start_wall_s + ROLLOUT_START_S,
        start_wall_s + ROLLOUT_DEADLINE_S,
        tuple(RolloutStep(start_wall_s + at_s, share) for at_s, share in ROLLOUT_STEPS),
    )
    versions = frozenset(
        ModelVersion(model, version) for version in configuration.versions_by_model[model]
    )
    endpoints = {
        endpoint.id: replace(endpoint, versions=versions)
        if endpoint.kind is EndpointKind.ENGINE
        else endpoint
        for endpoint in configuration.endpoints_by_id.values()
    }
    return replace(configuration, endpoints_by_id=endpoints, rollouts_by_model={model: plan})
