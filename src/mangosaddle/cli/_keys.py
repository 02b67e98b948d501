"""Commands for callers' keys."""

import click

from ._admin_client import AdminClient, Json
from ._exceptions import WaitTimeoutError
from ._options import TimeSource, admin_options, timeout_option
from ._output import print_json, print_table

CONFIRMATION_TIMEOUT_S = 30.0


@click.group("keys")
def keys() -> None:
    """Grant, list and withdraw callers' keys."""


@keys.command("grant")
@click.argument("organisation")
@admin_options
def grant(admin: AdminClient, organisation: str, as_json: bool) -> None:
    """Grant a new key to an organisation. The key cannot be shown again."""
    granted = admin.grant(organisation)
    if as_json:
        print_json(granted)
        return
    click.echo(f"key id: {granted['key_id']}")
    click.echo(f"key:    {granted['key']}")
    click.echo("The key cannot be shown again; only its hash is stored.")


@keys.command("list")
@admin_options
def list_keys(admin: AdminClient, as_json: bool) -> None:
    """List key ids and their organisations."""
    rows = admin.configuration()["keys"]
    if as_json:
        print_json({"keys": rows})
    else:
        print_table(("id", "organisation", "withdrawn"), rows)


@keys.command("withdraw")
@click.argument("key_id")
@timeout_option(CONFIRMATION_TIMEOUT_S, "CONFIRMATION_TIMEOUT")
@admin_options
def withdraw(admin: AdminClient, key_id: str, timeout: float, as_json: bool) -> None:
    """Withdraw a key and wait until all entry VMs confirm.

    The key is withdrawn even if the exit code is 5: some VM did not confirm in time.
    """
    state = admin.withdraw(key_id)

    def is_confirmed() -> bool:
        nonlocal state
        if state["unconfirmed"]:
            state = admin.withdrawal_state(key_id)
        return not state["unconfirmed"]

    try:
        done = TimeSource.from_context().wait_for(is_confirmed, timeout)
    finally:
        _print_withdrawal(key_id, state, as_json)
    if not done:
        unconfirmed = len(state["unconfirmed"])
        raise WaitTimeoutError(
            f"{unconfirmed} VMs have not confirmed within {timeout:g} s; see `mangosaddle status`"
        )


def _print_withdrawal(key_id: str, state: Json, as_json: bool) -> None:
    if as_json:
        print_json({"key_id": key_id, **state})
        return
    click.echo(f"key {key_id} is withdrawn")
    for name in ("confirmed", "unconfirmed"):
        click.echo(f"{name}: {', '.join(sorted(state[name])) or '-'}")
