"""Errors of the command line and their exit codes."""

from enum import IntEnum
from typing import ClassVar

import click

from ..configuration import Finding


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    TIMEOUT = 5


class CommandError(click.ClickException):
    """Base class of command failures; the exit code tells scripts the reason."""

    exit_code: ClassVar[int] = int(ExitCode.FINDINGS)


class RefusedError(CommandError):
    """An entry VM refused the request."""


class RollbackError(CommandError):
    """The rollout that a command waits for was rolled back or does not exist."""


class FindingsError(CommandError):
    """The documents have errors, so that the edit is not applied."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        """Create the error."""
        super().__init__("the documents have errors")
        self.findings = findings


class ConflictError(CommandError):
    """The configuration has changed since the base revision of the edit."""

    exit_code: ClassVar[int] = int(ExitCode.CONFLICT)

    def __init__(self, base: int, current: int) -> None:
        """Create the error."""
        super().__init__(
            f"the configuration has changed since revision {base}; the current revision is "
            f"{current}. Nothing was changed. Compare with `diff`, merge the changes and "
            "apply with the current revision"
        )


class UnreachableError(CommandError):
    """No entry VM answered."""

    exit_code: ClassVar[int] = int(ExitCode.UNREACHABLE)


class WaitTimeoutError(CommandError):
    """A command timed out while waiting for a state."""

    exit_code: ClassVar[int] = int(ExitCode.TIMEOUT)
