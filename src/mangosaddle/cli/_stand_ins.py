"""Command that serves the stand-ins of an example for manually started entry VMs."""

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
    help="Example whose inventory defines the addresses and ports.",
)
def stand_ins(deployment: str) -> None:
    """Serve the store, VM list, runners and services of an example until Ctrl-C.

    Prints a key for each organisation and the commands that start the entry VMs.
    """
    from ..demo import OPERATOR_TOKEN, PEER_SECRET, example_configuration
    from ..standins import DeploymentStandIns, VmFollower

    platform = DeploymentStandIns(example_configuration(deployment), inventory_ports=True)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, lambda _number, _frame: stop_requested.set())
    try:
        platform.start()
        urls_by_vm = {vm.id: vm.url for vm in platform.configuration.vms_by_id.values()}
        # The follower is cancelled when the host stops.
        platform.host.spawn(VmFollower(platform.vm_list, urls_by_vm, OPERATOR_TOKEN).run())
        commands = [
            entry_command(platform.settings_of(vm, PEER_SECRET, OPERATOR_TOKEN))
            for vm in urls_by_vm
        ]
        _print_keys({o: platform.key_of(o) for o in platform.keys_by_organisation})
        _print_commands(commands, list(urls_by_vm.values()), PEER_SECRET, OPERATOR_TOKEN)
        stop_requested.wait()
    except OSError as error:
        raise CommandError(f"the stand-ins cannot listen: {error}") from error
    finally:
        platform.stop()


def entry_command(settings: dict[str, object]) -> str:
    """Return the command that starts an entry VM; secrets are left to the environment."""
    arguments = ["mangosaddle", "entry"]
    for name, value in settings.items():
        if name not in SECRET_SETTINGS:
            text = ",".join(value) if isinstance(value, tuple) else str(value)
            arguments += [f"--{name.replace('_', '-')}", text]
    return shlex.join(arguments)


def _print_keys(keys_by_organisation: dict[str, str]) -> None:
    click.echo("# Keys of the organisations:")
    for organisation, key in sorted(keys_by_organisation.items()):
        click.echo(f"#   {organisation}: {key}")


def _print_commands(commands: list[str], urls: list[str], secret: str, token: str) -> None:
    click.echo("# Run first in each terminal:")
    click.echo(f"export MANGOSADDLE_PEER_SECRET={secret} MANGOSADDLE_OPERATOR_TOKEN={token}")
    click.echo(f"export MANGOSADDLE_URL={shlex.quote(' '.join(urls))}")
    click.echo("# Then start one entry VM per terminal:")
    for command in commands:
        click.echo(command)
    click.echo("# Serving until Ctrl-C.")
