"""Runs the benchmark: ``python -m bench``; exits 0 only if every bound holds."""

from __future__ import annotations

import sys
from typing import Annotated

import msgspec
import typer

import bench.added_latency
import bench.tail
import bench.zone  # noqa: F401 - importing a case registers it
from bench.bounds import broken_bounds
from bench.cases import CASES, Options
from kingcupusher._core import KingcupusherError
from kingcupusher._routing import DEFAULT_POLICY


def main(
    *,
    quick: Annotated[bool, typer.Option(help="Short runs of fewer cases, under 50 s.")] = False,
    case: Annotated[list[str] | None, typer.Option(help="Case to run; repeatable.")] = None,
    seed: Annotated[int, typer.Option(min=1)] = 1,
    policy: Annotated[str, typer.Option(help="Routing policy of the entries.")] = DEFAULT_POLICY,
) -> None:
    """Print one JSON object for each measurement, and each broken bound on standard error."""
    options = Options(quick=quick, seed=seed, policy=policy)
    problems: list[str] = []
    try:
        for name in case or CASES:
            problems += _run(name, options)
    except KingcupusherError as error:
        problems.append(str(error))
        typer.echo(f"error: {error}", err=True)
    sys.exit(1 if problems else 0)


def _run(name: str, options: Options) -> list[str]:
    problems = []
    for result in CASES.get(name)(options):
        typer.echo(msgspec.json.encode(result).decode())
        for problem in broken_bounds(result):
            typer.echo(f"bound broken: {problem}", err=True)
            problems.append(problem)
    return problems


if __name__ == "__main__":
    typer.run(main)
