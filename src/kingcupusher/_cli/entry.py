"""``kingcupusher entry``: run one entry process."""

from __future__ import annotations

import sys

import typer

from kingcupusher._cli.entry_options import with_options
from kingcupusher._settings import ENTRY_SETTINGS, SettingsError, parse_entry_settings

EXIT_USAGE = 2


@with_options(ENTRY_SETTINGS)
def entry(**raw: str | None) -> None:
    """Run one entry: accept requests, choose a target for each, and forward them.

    Every setting may also come from its environment variable. SIGTERM drains: the entry reports
    itself not ready, finishes the requests in flight, and ends.

    Exit status: 0 after a drain, 1 after a failure, 2 for wrong settings.

    Example: kingcupusher entry --vm-id vm1 --zone a --caller-address 127.0.0.1:8080
    --peer-address 127.0.0.1:8081 --admin-address 127.0.0.1:8082 --platform 127.0.0.1:8090
    """
    try:
        settings = parse_entry_settings(raw)
    except SettingsError as error:
        for problem in error.problems:
            typer.echo(f"error: {problem}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    from kingcupusher._entry import run_entry

    sys.exit(run_entry(settings))
