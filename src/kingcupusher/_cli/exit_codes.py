"""Exit codes of the commands, and exit with an error message."""

from __future__ import annotations

from enum import IntEnum
from typing import NoReturn

import typer

from kingcupusher._config import PublishOutcome


class ExitCode(IntEnum):
    """Exit codes of the commands, as documented for operators."""

    DONE = 0
    INVALID = 1
    USAGE = 2
    RACED = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    NEEDS_FORCE = 6


EXIT_CODES_HELP = (
    "Exit codes: 0 done or nothing to do; 1 a file is not valid or does not fit; 2 wrong usage; "
    "3 somebody else changed the same item first, nothing was changed; 4 the platform is not "
    "available, nothing was changed; 5 the change may or may not be in force; "
    "6 --force is needed, nothing was changed."
)

EXIT_CODE_BY_OUTCOME: dict[PublishOutcome, ExitCode] = {
    PublishOutcome.IN_FORCE: ExitCode.DONE,
    PublishOutcome.UNCHANGED: ExitCode.DONE,
    PublishOutcome.RACED: ExitCode.RACED,
    PublishOutcome.BUSY: ExitCode.RACED,
    PublishOutcome.UNAVAILABLE: ExitCode.UNAVAILABLE,
    PublishOutcome.UNKNOWN: ExitCode.UNKNOWN,
}


def fail(message: str, *, fix: str, code: ExitCode) -> NoReturn:
    """Print an error and how to fix it on standard error, and exit with ``code``."""
    typer.echo(f"error: {message}", err=True)
    typer.echo(f"fix: {fix}", err=True)
    raise typer.Exit(code)
