"""Errors of the command line and the exit codes they end in."""

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
    """A command that failed; the exit code tells scripts why."""

    exit_code: ClassVar[int] = int(ExitCode.FINDINGS)


class RefusedError(CommandError):
    """The entry VM refused the request."""


class RollbackError(CommandError):
    """The rollout that a command waits for was rolled back, or there is none."""


class FindingsError(CommandError):
    """Documents have findings that prevent the edit."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        """Create the error."""
        super().__init__("the documents have errors")
        self.findings = findings


class ConflictError(CommandError):
    """The configuration has changed since the revision that the edit is based on."""

    exit_code: ClassVar[int] = int(ExitCode.CONFLICT)

    def __init__(self, base: int, current: int) -> None:
        """Create the error."""
        super().__init__(
            f"the configuration has changed since revision {base}; the current revision is "
            f"{current}. Nothing was changed. Compare with `diff`, take over the changes and "
            "apply with the current revision"
        )


class UnreachableError(CommandError):
    """No entry VM answered."""

    exit_code: ClassVar[int] = int(ExitCode.UNREACHABLE)


class NotInTimeError(CommandError):
    """The state that a command waits for did not come about in time."""

    exit_code: ClassVar[int] = int(ExitCode.TIMEOUT)
