"""Commands that run processes: an entry VM, the demo and the measurement."""

from dataclasses import dataclass
from importlib import import_module

import click

from ._exceptions import ExitCode
from ._options import option


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry process."""

    vm: str
    region: str
    zone: str
    listen: str
    """Address and port for callers."""
    peer_listen: str
    """Address and port for other entry VMs."""
    store_url: str
    vm_list_url: str
    fleet: str
    """Name of the fleet; links to VMs of other fleets are refused."""
    peer_secret: str
    operator_token: str


@click.command("entry")
@option("--vm", envvar="VM", required=True, help="Id of this entry VM in the inventory.")
@option("--region", envvar="REGION", required=True, help="Region of this VM.")
@option("--zone", envvar="ZONE", required=True, help="Availability zone of this VM.")
@option("--listen", envvar="LISTEN", required=True, help="ADDRESS:PORT for callers.")
@option("--peer-listen", envvar="PEER_LISTEN", required=True, help="ADDRESS:PORT for peers.")
@option("--store-url", envvar="STORE_URL", required=True, help="Base URL of the store.")
@option("--vm-list-url", envvar="VM_LIST_URL", required=True, help="Base URL of the VM list.")
@option("--fleet", envvar="FLEET", default="mangosaddle", show_default=True, help="Fleet name.")
@option(
    "--peer-secret",
    envvar="PEER_SECRET",
    required=True,
    help="Secret shared by all VMs. Prefer the variable: flags show in process lists.",
)
@option(
    "--operator-token",
    envvar="OPERATOR_TOKEN",
    required=True,
    help="Token that operators present. Prefer the variable.",
)
def entry(**settings: str) -> None:
    """Run one entry VM until SIGTERM, then shut it down gracefully."""
    import_module("mangosaddle.daemon").run_entry(EntrySettings(**settings))


@click.command("demo")
def demo() -> None:
    """Run the demonstration on loopback addresses. Exit code 1 if a promise fails."""
    _exit(import_module("mangosaddle.demo").run_demo())


@click.command("measure")
@option(
    "--deployment",
    envvar="DEPLOYMENT",
    type=click.Choice(["authority", "division"]),
    default="authority",
    show_default=True,
    help="Deployment whose workload is run.",
)
@option("--seed", envvar="SEED", type=int, default=1, show_default=True, help="Seed of the run.")
def measure(deployment: str, seed: int) -> None:
    """Run the seeded load and print the measures. Exit code 1 if a target is missed."""
    _exit(import_module("mangosaddle.measure").run_measure(deployment, seed))


def _exit(code: int) -> None:
    if code != ExitCode.OK:
        raise click.exceptions.Exit(code)
