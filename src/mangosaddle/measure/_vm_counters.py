"""Counters of the entry processes, read before and after the load."""

import os
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from ..demo import EntryProcesses

USER_TIME_FIELD, SYSTEM_TIME_FIELD = 11, 12
"""Fields of ``/proc/PID/stat`` after the name of the program, counted from 0."""
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class VmCounters:
    """What one entry process has counted and used since its start."""

    cpu_s: float
    resident_bytes: int
    control_bytes_out: float
    forward_bytes_out: float
    forwards: float
    outcomes: dict[tuple[str, str], float]
    """Requests by class and outcome."""


def read_counters(processes: EntryProcesses) -> dict[str, VmCounters]:
    """Return the counters of all entry processes by VM; a VM that does not answer is left out."""
    found = {}
    for vm, process in processes.processes_by_vm.items():
        answer = processes.get(vm, "/metrics")
        if answer is not None:
            found[vm] = _parse(answer.data.decode(), process.pid)
    return found


def _parse(text: str, pid: int) -> VmCounters:
    values: Counter[tuple[str, str, str]] = Counter()
    outcomes: Counter[tuple[str, str]] = Counter()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            place = (sample.name, labels.get("direction", ""), labels.get("traffic", ""))
            values[place] += sample.value  # type: ignore[assignment]
            if sample.name == "mangosaddle_requests_total":
                outcomes[labels["request_class"], labels["outcome"]] += sample.value  # type: ignore[assignment]
    peer_bytes = "mangosaddle_peer_bytes_total"
    return VmCounters(
        cpu_s=_cpu_s(pid),
        resident_bytes=_resident_bytes(pid),
        control_bytes_out=values[peer_bytes, "out", "control"],
        forward_bytes_out=values[peer_bytes, "out", "forward"],
        forwards=values["mangosaddle_forwards_total", "", ""],
        outcomes=dict(outcomes),
    )


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def _resident_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
