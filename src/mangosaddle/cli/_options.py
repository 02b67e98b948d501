"""Options that commands share, each also an environment variable."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import update_wrapper
from typing import Any, TypeVar

import click

from ._admin_client import AdminClient
from ._exceptions import FindingsError, UnreachableError
from ._output import print_findings

Command = TypeVar("Command", bound=Callable[..., Any])


@dataclass(frozen=True, slots=True)
class Pacing:
    """Sources of time, replaced in tests."""

    clock: Callable[[], float] = time.monotonic
    """Monotonic time in seconds."""
    sleep: Callable[[float], None] = time.sleep

    @classmethod
    def from_context(cls) -> "Pacing":
        """Return the pacing that a test has put into the context, or real time."""
        found = click.get_current_context().find_object(cls)
        return found or cls()

    def wait_for(
        self, is_done: Callable[[], bool], timeout_s: float, interval_s: float = 1.0
    ) -> bool:
        """Ask until the answer is yes; return ``False`` when the time is up.

        Raises `UnreachableError` when the last question found no entry VM.
        """
        ends_at_s = self.clock() + timeout_s
        while True:
            failure: UnreachableError | None = None
            try:
                if is_done():
                    return True
            except UnreachableError as error:
                failure = error
            if self.clock() + interval_s > ends_at_s:
                if failure is not None:
                    raise failure
                return False
            self.sleep(interval_s)


def option(*names: str, envvar: str, **settings: Any) -> Callable[[Command], Command]:  # noqa: ANN401
    """Return an option that its help text also names as an environment variable."""
    return click.option(*names, envvar=f"MANGOSADDLE_{envvar}", show_envvar=True, **settings)


json_option = option("--json", "as_json", envvar="JSON", is_flag=True, help="Print JSON.")


def reports_findings(command: Callable[..., Any]) -> Callable[..., Any]:
    """Print the findings of a command that ends in `FindingsError`."""

    def wrapped(as_json: bool, **arguments: Any) -> Any:  # noqa: ANN401
        try:
            return command(as_json=as_json, **arguments)
        except FindingsError as error:
            print_findings(error.findings, as_json)
            raise

    return update_wrapper(wrapped, command)


def admin_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Give a command the options of the connection and a client as argument `admin`."""

    def wrapped(
        url: tuple[str, ...],
        operator_token: str,
        request_timeout: float,
        **arguments: Any,  # noqa: ANN401
    ) -> Any:  # noqa: ANN401
        # Operators' requests are spread over the entry VMs.
        urls = tuple(random.sample(url, len(url)))
        admin = AdminClient(urls, operator_token, request_timeout)
        return reports_findings(command)(admin=admin, **arguments)

    update_wrapper(wrapped, command)
    options = (
        option(
            "--url",
            envvar="URL",
            multiple=True,
            required=True,
            help="Base URL of an entry VM; repeat it for several (variable: separate by spaces).",
        ),
        option(
            "--operator-token",
            envvar="OPERATOR_TOKEN",
            required=True,
            help="Token of the operators. Prefer the variable: flags show in process lists.",
        ),
        option(
            "--request-timeout",
            envvar="REQUEST_TIMEOUT",
            type=click.FloatRange(0.1, 600),
            default=10.0,
            show_default=True,
            help="Seconds to wait for each answer.",
        ),
        json_option,
    )
    decorated: Callable[..., Any] = wrapped
    for add in reversed(options):
        decorated = add(decorated)
    return decorated


def timeout_option(default_s: float, envvar: str) -> Callable[[Command], Command]:
    """Return the option of commands that wait."""
    return option(
        "--timeout",
        envvar=envvar,
        type=click.FloatRange(0, 7 * 86_400),
        default=default_s,
        show_default=True,
        help="Seconds to wait before the command ends with exit code 5.",
    )
