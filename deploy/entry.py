"""Runs one entry process from a source checkout, as configured in ``deploy/system.toml``."""

import gc
import signal
import sys
from pathlib import Path

# Until the process handles SIGHUP, the signal would end it; its settings are not read yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

# Imported objects live as long as the process; collecting while they are created delays the start.
gc.disable()
from mangosaddle.platform import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    raise SystemExit(main())
