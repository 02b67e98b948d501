"""The adapter is the only part that uses the platform's names."""

import re
from pathlib import Path

import mangosaddle

PLATFORM_NAMES = re.compile(
    r"Not-Run|MANGOSADDLE_CONFIG|(?i:Response-Stamp|Token-Counts|Prompt-Prefix|Request-Urgency|Deadline-Milliseconds"
    r"|Expect-Instance|Api-Key|Cold-Milliseconds|Length-Hint|kv-txn|kv-range|kv-watch|kv-keep"
    r"|op/config|op/evacuate|op/rollout|status/rollout|rolled_back|/api/|cold_per_s|session_affinity|kv_capacity)"
)
SOURCES = Path(mangosaddle.__file__).parent


def test_platform_names_occur_in_the_adapter_only() -> None:
    """Guards against code that depends on one platform outside the adapter."""
    found = [
        f"{path.relative_to(SOURCES)}: {match.group()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if path.relative_to(SOURCES).parts[0] not in ("platform", "standins")
        for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_the_adapter_stays_small() -> None:
    """Guards against policy code that moves into the adapter."""

    def _count_lines(folder: Path) -> int:
        return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))

    assert _count_lines(SOURCES / "platform") < 0.1 * _count_lines(SOURCES)
