"""Prints the result of a publication."""

from __future__ import annotations

from typing import Any, NoReturn

import msgspec
import typer

from kingcupusher._cli.exit_codes import EXIT_CODE_BY_OUTCOME, fail
from kingcupusher._config import PublishOutcome, PublishResult

MESSAGES = {
    PublishOutcome.IN_FORCE: (
        "version {version} is in force with {items} (publication {publication})"
    ),
    PublishOutcome.UNCHANGED: (
        "version {version} already says the same of {items}; nothing was published"
    ),
    PublishOutcome.RACED: "somebody else changed {raced} at the same time; nothing was changed",
    PublishOutcome.BUSY: "other publications came first each time; nothing was changed",
    PublishOutcome.UNAVAILABLE: "the platform is not available; nothing was changed",
    PublishOutcome.UNKNOWN: (
        "{items}: the write was sent, but whether it is in force cannot be determined now"
    ),
}
FIXES = {
    PublishOutcome.RACED: "check that your change is still wanted, then run the command again",
    PublishOutcome.BUSY: "run the command again",
    PublishOutcome.UNAVAILABLE: "check --platform and run the command again",
    PublishOutcome.UNKNOWN: "run the command again; it changes nothing if the change is in force",
}


def print_json(content: Any) -> None:
    """Print ``content`` as one line of JSON."""
    typer.echo(msgspec.json.encode(content).decode())


def report_result(result: PublishResult, *, as_json: bool) -> None:
    """Print ``result``; exit with its error code unless the change is in force."""
    if as_json:
        print_json(result)
    if result.outcome in FIXES:
        _fail(result)
    if not as_json:
        typer.echo(_message(result))


def _fail(result: PublishResult) -> NoReturn:
    fail(_message(result), fix=FIXES[result.outcome], code=EXIT_CODE_BY_OUTCOME[result.outcome])


def _message(result: PublishResult) -> str:
    return MESSAGES[result.outcome].format(
        version=result.version,
        publication=result.publication_id,
        items=", ".join(result.items),
        raced=", ".join(result.raced_items),
    )
