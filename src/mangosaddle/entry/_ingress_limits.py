"""Divides the memory and the descriptors of a VM between its servers and its own connections."""

import resource
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..http11 import IngressLimits
from ..peers import MAX_BODY_BYTES

DEFAULT_MEMORY_BYTES = 1024 * 1024 * 1024
"""Memory if neither the settings nor the system state a limit."""
DEFAULT_DESCRIPTORS = 4096
CGROUP_LIMIT = Path("/sys/fs/cgroup/memory.max")
INGRESS_MEMORY_SHARE = 0.2
"""Share of the memory for what clients send and have not read. Bodies are copied once as they are
passed on, and the process itself takes 50 MB."""
BUFFERED_ANSWERS_SHARE = 0.1
"""Share of the memory for answers that are buffered until they are complete."""
FORWARDED_BODIES_SHARE = 0.1
"""Share of the memory for the bodies of requests that other VMs forward."""
MAX_BUFFERED_ANSWERS_BYTES = 32 * 1024 * 1024
MEMORY_SHARES_BY_DOOR = {"front": 0.7, "ready": 0.1, "directory": 0.15, "metrics": 0.05}
DESCRIPTOR_SHARES_BY_DOOR = {"front": 0.5, "ready": 0.03, "directory": 0.1, "metrics": 0.02}
"""The rest of the descriptors is left for links, the store and endpoints."""
HANDSHAKE_SHARE = 0.05
"""Share of the descriptors for connections on the port for links that are not authenticated yet."""
MIN_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class VmLimits:
    """Memory and descriptors of a VM; ``None`` where its settings state none."""

    memory_bytes: int | None = None
    descriptors: int | None = None


NO_STATED_LIMITS = VmLimits()


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What the parts of one process may take up."""

    ingress_by_door: Mapping[str, IngressLimits]
    buffered_answers_bytes: int
    handshakes: int
    forwarded_bodies_bytes: int

    @classmethod
    def from_vm(cls, stated: VmLimits) -> "ProcessLimits":
        """Divide what the settings state, or what the system allows if that is less."""
        memory_bytes = min(stated.memory_bytes or DEFAULT_MEMORY_BYTES, *_system_memory_limits())
        descriptors = min(stated.descriptors or DEFAULT_DESCRIPTORS, _descriptor_limit())
        ingress_bytes = INGRESS_MEMORY_SHARE * memory_bytes
        return cls(
            {
                door: IngressLimits(
                    int(share * ingress_bytes),
                    max(MIN_CONNECTIONS, int(DESCRIPTOR_SHARES_BY_DOOR[door] * descriptors)),
                )
                for door, share in MEMORY_SHARES_BY_DOOR.items()
            },
            min(MAX_BUFFERED_ANSWERS_BYTES, int(BUFFERED_ANSWERS_SHARE * memory_bytes)),
            max(MIN_CONNECTIONS, int(HANDSHAKE_SHARE * descriptors)),
            max(MAX_BODY_BYTES, int(FORWARDED_BODIES_SHARE * memory_bytes)),
        )


def _system_memory_limits() -> list[int]:
    """Return the limits of the control group and of the process; the default if there are none."""
    limits = [DEFAULT_MEMORY_BYTES]
    soft, _ = resource.getrlimit(resource.RLIMIT_AS)
    if soft != resource.RLIM_INFINITY:
        limits.append(soft)
    try:
        text = CGROUP_LIMIT.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError):
        return limits
    if text.isdigit():
        limits.append(int(text))
    return limits


def _descriptor_limit() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return DEFAULT_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
