"""Commands for rollouts of model versions."""

import click

from ..rollouts import RolloutState
from ._admin_client import AdminClient, Json
from ._exceptions import RollbackError, WaitTimeoutError
from ._options import TimeSource, admin_options, timeout_option
from ._output import print_json, print_table

COMPLETED = RolloutState.COMPLETED.value
REVERTED = RolloutState.REVERTED.value
WAIT_TIMEOUT_S = 86_400.0
POLL_INTERVAL_S = 5.0
COLUMNS = ("model", "old", "new", "share", "state", "deadline", "reason")


@click.group("versions")
def versions() -> None:
    """Monitor rollouts of model versions."""


@versions.command("status")
@admin_options
def status(admin: AdminClient, as_json: bool) -> None:
    """Show the status of all rollouts."""
    _print(admin.versions(), as_json)


@versions.command("wait")
@click.argument("model")
@timeout_option(WAIT_TIMEOUT_S, "ROLLOUT_TIMEOUT")
@admin_options
def wait(admin: AdminClient, model: str, timeout: float, as_json: bool) -> None:
    """Wait until the rollout of a model is complete or rolled back.

    Exit code 0: complete; 1: rolled back, or the model has no rollout; 5: timed out.
    """
    row: Json = {}

    def is_finished() -> bool:
        nonlocal row
        row = next((entry for entry in admin.versions() if entry["model"] == model), {})
        return row.get("state", REVERTED) in (COMPLETED, REVERTED)

    done = TimeSource.from_context().wait_for(is_finished, timeout, POLL_INTERVAL_S)
    if not row:
        raise RollbackError(f"model {model!r} has no rollout")
    _print([row], as_json)
    if not done:
        raise WaitTimeoutError(f"not finished within {timeout:g} s")
    if row["state"] == REVERTED:
        raise RollbackError(f"rolled back: {row.get('reason')}")


def _print(rows: list[Json], as_json: bool) -> None:
    if as_json:
        print_json({"versions": rows})
    else:
        print_table(COLUMNS, rows)
