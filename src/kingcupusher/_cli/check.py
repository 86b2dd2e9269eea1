"""The command ``check``."""

from __future__ import annotations

from pathlib import Path

import typer
from msgspec import Struct

from kingcupusher._cli.exit_codes import ExitCode, fail
from kingcupusher._cli.options import FilesArgument, JsonOption
from kingcupusher._cli.results import print_json
from kingcupusher._config import ServiceFile, ServiceFilesError, load_service_files


class CheckResult(Struct, frozen=True):
    """Output of ``check --json``."""

    valid: bool
    services: list[str]
    problems: list[str]


def load_or_fail(files: list[Path], *, as_json: bool) -> list[ServiceFile]:
    """Return the services of ``files``; print all problems and exit if there are any."""
    try:
        return load_service_files(files)
    except ServiceFilesError as error:
        if as_json:
            print_json(CheckResult(False, [], [str(problem) for problem in error.problems]))
        fail(
            "\n".join(map(str, error.problems)),
            fix="correct the named fields; nothing was published",
            code=ExitCode.INVALID,
        )


def check(files: FilesArgument, as_json: JsonOption = False) -> None:
    """Check service files without contacting the platform.

    Example: kingcupusher check examples/lagos/*.toml

    Exit codes: 0 all files are valid; 1 a file is not valid; 2 wrong usage.
    """
    names = [file.service.name for file in load_or_fail(files, as_json=as_json)]
    if as_json:
        print_json(CheckResult(True, names, []))
    else:
        typer.echo(f"{len(names)} valid: {', '.join(names)}")
