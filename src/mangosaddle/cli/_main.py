"""Entry point of the `mangosaddle` command."""

import click

from .. import __version__
from ._admin_client import AdminClient
from ._check import check
from ._documents import document_group
from ._keys import keys
from ._options import admin_options
from ._output import print_document, print_json
from ._processes import demo, entry, measure
from ._stand_ins import stand_ins
from ._versions import versions


@click.group()
@click.version_option(__version__, prog_name="mangosaddle")
def main() -> None:
    """Operate a Mangosaddle fleet.

    Most flags can also be set by the environment variable named in their help text.

    \b
    Exit codes:
      0  done
      1  findings: a document has errors, a request is refused, a version is rolled back
      2  usage error
      3  conflict: the configuration has changed since the base revision of the edit
      4  no entry VM answered
      5  timed out
    """  # noqa: D301 - click needs the form feed escape as it is


@main.command("status")
@admin_options
def status(admin: AdminClient, as_json: bool) -> None:
    """Show the status of the fleet."""
    body = admin.status()
    if as_json:
        print_json(body)
    else:
        print_document(body)


main.add_command(document_group("inventory", "rules"))
main.add_command(document_group("rules", "inventory"))
for _command in (check, keys, versions, demo, entry, measure, stand_ins):
    main.add_command(_command)
