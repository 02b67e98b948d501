"""What an entry process loads before it can serve."""

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
OTHER_PRODUCT = {"cli", "client", "configuration", "daemon", "gateway", "measure", "routing"}
LOADED = """
import gc, json, runpy, sys
runpy.run_path("deploy/entry.py", run_name="loaded")
modules = [name for name in sys.modules if name.startswith("mangosaddle.")]
print(json.dumps([modules, gc.get_freeze_count(), gc.isenabled()]))
"""


def load_entry() -> tuple[list[str], int, bool]:
    """Return the imported modules, the number of frozen objects and whether collections run.

    Collections do not visit frozen objects.
    """
    output = subprocess.run(
        [sys.executable, "-c", LOADED], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout
    modules, frozen, collects = json.loads(output)
    return modules, frozen, collects


def test_entry_process_loads_no_module_of_the_other_product() -> None:
    """Guards against a late start after a restart, most of which is the time of the imports."""
    modules, _, _ = load_entry()
    assert "mangosaddle.platform._run" in modules
    assert not {name.split(".")[1] for name in modules} & OTHER_PRODUCT


def test_entry_process_collects_after_its_imports_only() -> None:
    """Guards against collections that visit all imported objects while the process starts."""
    _, frozen, collects = load_entry()
    assert frozen > 0
    assert collects
