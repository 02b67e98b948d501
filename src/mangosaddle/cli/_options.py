"""Shared command options; each can also be set by an environment variable."""

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
class TimeSource:
    """Clock and sleep function; tests replace them."""

    clock: Callable[[], float] = time.monotonic
    """Monotonic time in seconds."""
    sleep: Callable[[float], None] = time.sleep

    @classmethod
    def from_context(cls) -> "TimeSource":
        """Return the time source in the click context, or real time if there is none."""
        time_source = click.get_current_context().find_object(cls)
        return time_source or cls()

    def wait_for(
        self, is_done: Callable[[], bool], timeout_s: float, interval_s: float = 1.0
    ) -> bool:
        """Poll until `is_done` returns true; return ``False`` on timeout.

        Times are in seconds. Raises `UnreachableError` if the last poll before the timeout reached
        no entry VM.
        """
        deadline_s = self.clock() + timeout_s
        while True:
            failure: UnreachableError | None = None
            try:
                if is_done():
                    return True
            except UnreachableError as error:
                failure = error
            if self.clock() + interval_s > deadline_s:
                if failure is not None:
                    raise failure
                return False
            self.sleep(interval_s)


def option(*names: str, envvar: str, **settings: Any) -> Callable[[Command], Command]:  # noqa: ANN401
    """Return a click option that can also be set by an environment variable."""
    return click.option(*names, envvar=f"MANGOSADDLE_{envvar}", show_envvar=True, **settings)


json_option = option("--json", "as_json", envvar="JSON", is_flag=True, help="Print JSON.")


def print_findings_on_error(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command to print the findings of a `FindingsError` before it is re-raised."""

    def wrapper(as_json: bool, **arguments: Any) -> Any:  # noqa: ANN401
        try:
            return command(as_json=as_json, **arguments)
        except FindingsError as error:
            print_findings(error.findings, as_json)
            raise

    return update_wrapper(wrapper, command)


def admin_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the connection options to a command and pass it a client as argument `admin`."""

    def wrapper(
        url: tuple[str, ...],
        operator_token: str,
        request_timeout: float,
        **arguments: Any,  # noqa: ANN401
    ) -> Any:  # noqa: ANN401
        # A random order spreads operators' requests over the entry VMs.
        urls = tuple(random.sample(url, len(url)))
        admin = AdminClient(urls, operator_token, request_timeout)
        return print_findings_on_error(command)(admin=admin, **arguments)

    update_wrapper(wrapper, command)
    options = (
        option(
            "--url",
            envvar="URL",
            multiple=True,
            required=True,
            help="Base URL of an entry VM; repeatable (variable: separate URLs by spaces).",
        ),
        option(
            "--operator-token",
            envvar="OPERATOR_TOKEN",
            required=True,
            help="Operator token. Prefer the variable: flags are visible in process lists.",
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
    decorated: Callable[..., Any] = wrapper
    for add in reversed(options):
        decorated = add(decorated)
    return decorated


def timeout_option(default_s: float, envvar: str) -> Callable[[Command], Command]:
    """Return the `--timeout` option for commands that wait; the default is in seconds."""
    return option(
        "--timeout",
        envvar=envvar,
        type=click.FloatRange(0, 7 * 86_400),
        default=default_s,
        show_default=True,
        help="Seconds to wait before the command ends with exit code 5.",
    )
