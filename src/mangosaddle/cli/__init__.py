"""Command line of operators."""

from ._exceptions import ExitCode
from ._main import main
from ._processes import EntrySettings

__all__ = ["EntrySettings", "ExitCode", "main"]
