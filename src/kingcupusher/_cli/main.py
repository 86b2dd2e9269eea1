"""The ``kingcupusher`` command."""

from __future__ import annotations

import typer

from kingcupusher import __version__
from kingcupusher._cli.entry import entry

app = typer.Typer(name="kingcupusher", no_args_is_help=True, add_completion=False)


@app.callback()
def root() -> None:
    """Balance HTTP requests over servers whose load shifts within milliseconds."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


app.command("entry")(entry)


def main() -> None:
    """Run the command line."""
    app()
