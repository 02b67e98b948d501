"""Command that serves the stand-ins of an example, for entry VMs started by hand."""

import shlex
import signal
import threading

import click

from ._exceptions import CommandError
from ._options import option

SECRET_SETTINGS = ("peer_secret", "operator_token")


@click.command("stand-ins")
@option(
    "--deployment",
    envvar="DEPLOYMENT",
    type=click.Choice(["authority", "division"]),
    default="authority",
    show_default=True,
    help="Example whose inventory gives the addresses and ports.",
)
def stand_ins(deployment: str) -> None:
    """Serve store, VM list, runners and services of an example until Ctrl-C.

    Prints a key for each organisation and the commands that start the entry VMs.
    """
    from ..demo import OPERATOR_TOKEN, PEER_SECRET, example_configuration
    from ..standins import DeploymentStandIns, VmFollower

    served = DeploymentStandIns(example_configuration(deployment), inventory_ports=True)
    stopping = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda _number, _frame: stopping.set())
    try:
        served.start()
        urls_by_vm = {vm.id: vm.url for vm in served.configuration.vms_by_id.values()}
        # Stopping the host cancels the follower.
        served.host.spawn(VmFollower(served.vm_list, urls_by_vm, OPERATOR_TOKEN).run())
        commands = [
            entry_command(served.settings_of(vm, PEER_SECRET, OPERATOR_TOKEN)) for vm in urls_by_vm
        ]
        _print_keys({o: served.key_of(o) for o in served.keys_by_organisation})
        _print_commands(commands, list(urls_by_vm.values()), PEER_SECRET, OPERATOR_TOKEN)
        stopping.wait()
    except OSError as error:
        raise CommandError(f"the stand-ins cannot listen: {error}") from error
    finally:
        served.stop()


def entry_command(settings: dict[str, object]) -> str:
    """Return the command that starts an entry VM; secrets come from the environment."""
    words = ["mangosaddle", "entry"]
    for name, value in settings.items():
        if name not in SECRET_SETTINGS:
            text = ",".join(value) if isinstance(value, tuple) else str(value)
            words += [f"--{name.replace('_', '-')}", text]
    return shlex.join(words)


def _print_keys(keys_by_organisation: dict[str, str]) -> None:
    click.echo("# Keys of the organisations:")
    for organisation, key in sorted(keys_by_organisation.items()):
        click.echo(f"#   {organisation}: {key}")


def _print_commands(commands: list[str], urls: list[str], secret: str, token: str) -> None:
    click.echo("# In each terminal first:")
    click.echo(f"export MANGOSADDLE_PEER_SECRET={secret} MANGOSADDLE_OPERATOR_TOKEN={token}")
    click.echo(f"export MANGOSADDLE_URL={shlex.quote(' '.join(urls))}")
    click.echo("# Then one entry VM in each:")
    for command in commands:
        click.echo(command)
    click.echo("# Serving until Ctrl-C.")
