"""The adapter is the only part that knows the platform's names."""

import re
from pathlib import Path

import mangosaddle

NAMES = re.compile(
    r"Not-Run|MANGOSADDLE_CONFIG|(?i:Response-Stamp|Token-Counts|Prompt-Prefix|Request-Urgency|Deadline-Milliseconds"
    r"|Expect-Instance|Api-Key|Cold-Milliseconds|Length-Hint|kv-txn|kv-range|kv-watch|kv-keep"
    r"|op/config|op/evacuate|op/rollout|status/rollout|rolled_back|/api/|cold_per_s|session_affinity|kv_capacity)"
)
SOURCES = Path(mangosaddle.__file__).parent


def test_names_of_the_platform_stand_in_the_adapter_only() -> None:
    """Guards against a product that can run on one platform only."""
    found = [
        f"{path.relative_to(SOURCES)}: {match.group()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if path.relative_to(SOURCES).parts[0] not in ("platform", "standins")
        for match in NAMES.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_the_adapter_stays_small() -> None:
    """Guards against decisions that move into the adapter."""

    def _lines(folder: Path) -> int:
        return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))

    assert _lines(SOURCES / "platform") < 0.1 * _lines(SOURCES)
