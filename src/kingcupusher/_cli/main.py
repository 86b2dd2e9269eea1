"""The ``kingcupusher`` command."""

from __future__ import annotations

import typer

from kingcupusher import __version__
from kingcupusher._cli.check import check
from kingcupusher._cli.entry import entry
from kingcupusher._cli.exit_codes import EXIT_CODES_HELP
from kingcupusher._cli.explain import explain
from kingcupusher._cli.publish import publish
from kingcupusher._cli.status import status
from kingcupusher._cli.trace import trace
from kingcupusher._cli.zone_in import zone_in
from kingcupusher._cli.zone_list import zone_list
from kingcupusher._cli.zone_out import zone_out

app = typer.Typer(name="kingcupusher", no_args_is_help=True, add_completion=False)
zone = typer.Typer(name="zone", help="Take zones out and bring them back.", no_args_is_help=True)
app.add_typer(zone)
app.command("check")(check)
app.command("entry")(entry)
app.command("explain")(explain)
app.command("trace")(trace)
app.command("status", epilog=EXIT_CODES_HELP)(status)
app.command("publish", epilog=EXIT_CODES_HELP)(publish)
zone.command("out", epilog=EXIT_CODES_HELP)(zone_out)
zone.command("in", epilog=EXIT_CODES_HELP)(zone_in)
zone.command("list", epilog=EXIT_CODES_HELP)(zone_list)


@app.callback()
def root() -> None:
    """Balance HTTP requests over servers whose load shifts within milliseconds."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command line."""
    app()
