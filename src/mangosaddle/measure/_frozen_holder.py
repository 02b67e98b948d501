"""The holder of the order lease frozen or killed in the middle of a load."""

import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field

import urllib3

from .._identifiers import VmId
from ..daemon import OrderTimings
from ..demo import OPERATOR_TOKEN, PEER_SECRET, example_configuration, wait_for
from ..membership import rendezvous_ranking
from ..standins import EngineStandIn
from ._running_rollout import MODEL, NEW_NAME, RunningRollout

REGION = "addis"
FIRST_LOAD_S = 16.0
"""Longer than it takes another VM to notice the holder's end and to get the lease."""
LOAD_S = 1.0
DURATION_S = 90.0
TAKEOVER_S = 30.0
END_S = 60.0
SAMPLE_S = 0.01
PACE = OrderTimings(transfer_s=0.2, start_s=1.0)


@dataclass(slots=True)
class LoadWatch:
    """Samples how many engines of the region load at the same time."""

    engines: list[EngineStandIn]
    most_loading: int = 0
    stopping: threading.Event = field(default_factory=threading.Event)

    def run(self) -> None:
        """Sample until told to stop."""
        while not self.stopping.wait(SAMPLE_S):
            loading = sum(bool(engine.loading) for engine in self.engines)
            self.most_loading = max(self.most_loading, loading)


@dataclass(frozen=True, slots=True)
class HolderFigures:
    """What happened when the holder stopped."""

    takeover_s: float
    """Time from the signal to the first order under a later fencing number."""
    most_loading: int
    """Most engines of the region that loaded at the same time."""
    old_accepted: int
    """Orders with an old fencing number that an engine accepted after a newer one."""
    old_refused: int
    """Orders that engines refused for their fencing number."""
    loaded: int
    """Engines with the new version at the end."""
    failed: int
    answered: int


def run_frozen_holder(signal_name: str) -> HolderFigures:
    """Stop the holder's process in the middle of a load and follow the rollout to its end.

    After SIGSTOP the process wakes again once another VM has taken over.
    """
    vms = tuple(example_configuration("authority").vms_by_id)
    holder, *others = rendezvous_ranking(f"orders {MODEL}", vms)
    run = RunningRollout(
        DURATION_S,
        fencing=False,
        start_in_s=8.0,
        preloaded=("runner-1",),
        order_timings=PACE,
        region=REGION,
        vms=tuple(others),
    )
    with run:
        for engine in run.engines:
            engine.load_duration_s = FIRST_LOAD_S
        process = _start(run, holder)
        wait_for(lambda: _is_ready(run, holder), f"{holder} serves", TAKEOVER_S)
        run.ask()
        watch = LoadWatch(run.engines)
        thread = threading.Thread(target=watch.run, daemon=True)
        thread.start()
        try:
            return _follow(run, process, signal_name, watch)
        finally:
            watch.stopping.set()
            thread.join()
            process.kill()
            process.wait()


def _start(run: RunningRollout, vm: VmId) -> subprocess.Popen[bytes]:
    values = run.fleet.standins.settings_of(vm, PEER_SECRET, OPERATOR_TOKEN)
    values["peers"] = ",".join(values["peers"])  # type: ignore[arg-type]
    environment = {f"MANGOSADDLE_{name.upper()}": str(v) for name, v in values.items()}
    command = [sys.executable, "-c", "from mangosaddle.cli import main; main()", "entry"]
    return subprocess.Popen(command, env={**os.environ, **environment}, stderr=subprocess.DEVNULL)


def _is_ready(run: RunningRollout, vm: VmId) -> bool:
    """Return whether the process and all VMs of this one see each other."""
    try:
        answer = urllib3.request("GET", run.fleet.url(vm) + "/v1/entry-vms", retries=False)
    except urllib3.exceptions.HTTPError:
        return False
    nodes = run.fleet.nodes_by_vm.values()
    count = len(nodes) + 1
    seen = answer.status == 200 and len(answer.json()["vms"]) == count
    return seen and all(len(node.fleet.discovery(())) == count for node in nodes)


def _follow(
    run: RunningRollout, process: subprocess.Popen[bytes], signal_name: str, watch: LoadWatch
) -> HolderFigures:
    wait_for(lambda: any(e.loading for e in run.engines), "a load runs", DURATION_S)
    fencing = max(engine.fencing for engine in run.engines)
    process.send_signal(signal.Signals[signal_name])
    stopped_at = time.monotonic()
    wait_for(
        lambda: any(engine.fencing > fencing for engine in run.engines),
        "another VM orders",
        TAKEOVER_S,
    )
    takeover_s = time.monotonic() - stopped_at
    for engine in run.engines:
        engine.load_duration_s = LOAD_S
    if signal_name == "SIGSTOP":
        process.send_signal(signal.SIGCONT)
    wait_for(lambda: _loaded(run) == len(run.engines), "all engines have the version", END_S)
    return HolderFigures(
        round(takeover_s, 1),
        watch.most_loading,
        sum(_accepted_old(engine) for engine in run.engines),
        sum(engine.refused_orders for engine in run.engines),
        _loaded(run),
        len(run.callers.traffic.failed),
        run.callers.traffic.answered,
    )


def _loaded(run: RunningRollout) -> int:
    return sum(NEW_NAME in engine.versions for engine in run.engines)


def _accepted_old(engine: EngineStandIn) -> int:
    """Return the accepted orders whose fencing number is below an earlier one."""
    numbers = [int(str(order["fencing"])) for order in engine.orders]
    return sum(number < max(numbers[:at]) for at, number in enumerate(numbers) if at)
