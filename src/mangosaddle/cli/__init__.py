"""Command line interface for operators."""

from ._exceptions import ExitCode
from ._main import main

__all__ = ["ExitCode", "main"]
