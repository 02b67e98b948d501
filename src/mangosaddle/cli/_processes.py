"""Commands that run an entry VM, the demo and the measurement."""

import signal
from importlib import import_module

import click
from returns.result import Success

from ._exceptions import ExitCode
from ._options import option


@click.command("entry")
@option("--vm", envvar="VM", help="Id of this entry VM in the inventory.")
@option("--region", envvar="REGION", help="Region of this VM.")
@option("--zone", envvar="ZONE", help="Availability zone of this VM.")
@option("--address", envvar="ADDRESS", help="IP address to listen on.")
@option("--port", envvar="PORT", help="TCP port for callers and operators.")
@option("--peer-port", envvar="PEER_PORT", help="TCP port for other entry VMs.")
@option("--fleet", envvar="FLEET", help="Fleet name; links to VMs of other fleets are refused.")
@option("--store-url", envvar="STORE_URL", help="Base URL of the store.")
@option("--vm-list-url", envvar="VM_LIST_URL", help="Base URL of the platform's VM list.")
@option(
    "--weight-store-url",
    envvar="WEIGHT_STORE_URL",
    help="Base URL of the weight store, which limits loads of versions; optional.",
)
@option(
    "--peer-secret",
    envvar="PEER_SECRET",
    help="Secret shared by all VMs. Prefer the variable: flags are visible in process lists.",
)
@option(
    "--operator-token",
    envvar="OPERATOR_TOKEN",
    help="Token that operators present. Prefer the variable.",
)
@option(
    "--peers",
    envvar="PEERS",
    help="VMs to contact while the store is down: ID=ws://ADDRESS:PORT, separated by commas.",
)
@option("--log-level", envvar="LOG_LEVEL", help="DEBUG, INFO, WARNING or ERROR.")
def entry(**flags: str | None) -> None:
    """Run an entry VM until SIGTERM, then shut it down gracefully."""
    # Its default action would cut all requests, for example when a terminal is closed. The
    # configuration comes from the store, so there is nothing to reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ..daemon import EntrySettings, run_entry

    values: dict[str, object] = {name: value for name, value in flags.items() if value is not None}
    if "peers" in values:
        values["peers"] = tuple(str(values["peers"]).split(","))
    settings = EntrySettings.from_values(values)
    if not isinstance(settings, Success):
        for finding in settings.failure():
            click.echo(f"{finding.place}: {finding.message}", err=True)
        raise click.exceptions.Exit(ExitCode.USAGE)
    run_entry(settings.unwrap())


@click.command("demo")
def demo() -> None:
    """Run the demo on loopback addresses. Exit code 1 if a step fails."""
    _exit(import_module("mangosaddle.demo").run_demo())


@click.command("measure")
@option(
    "--deployment",
    envvar="DEPLOYMENT",
    type=click.Choice(["authority", "division"]),
    default="authority",
    show_default=True,
    help="Deployment whose workload to run.",
)
@option(
    "--seed", envvar="SEED", type=int, default=1, show_default=True, help="Random seed of the run."
)
@click.option(
    "--bad-version", is_flag=True, help="The version that the rollout plan moves to is faulty."
)
def measure(deployment: str, seed: int, bad_version: bool) -> None:
    """Run the seeded workload and print the measurements. Exit code 1 if it could not run."""
    _exit(import_module("mangosaddle.measure").run_measure(deployment, seed, bad_version))


def _exit(code: int) -> None:
    if code != ExitCode.OK:
        raise click.exceptions.Exit(code)
