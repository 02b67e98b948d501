"""Runs one entry process from a source checkout, as configured in ``deploy/system.toml``."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from mangosaddle.platform import main

if __name__ == "__main__":
    raise SystemExit(main())
