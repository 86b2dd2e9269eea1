"""Command line of the benchmark: ``python -m bench``; the exit status is 0 if every bound holds."""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from typing import Annotated

import msgspec
import typer

import bench.added_latency
import bench.control
import bench.faults
import bench.tail
import bench.zone  # noqa: F401 - the import registers the case
from bench.bounds import broken_bounds
from bench.cases import CASES, Options
from bench.deployment import Deployment
from bench.result import BenchResult
from kingcupusher._core import KingcupusherError
from kingcupusher._routing import DEFAULT_POLICY
from standins.processes import ProcessGroup

ENTRY_COUNTS = (3, 15)
QUICK_ENTRY_COUNTS = (3,)


def main(
    *,
    quick: Annotated[bool, typer.Option(help="Short runs with 3 entries, under 50 s.")] = False,
    case: Annotated[list[str] | None, typer.Option(help="Case to run; repeatable.")] = None,
    seed: Annotated[int, typer.Option(min=1)] = 1,
    policy: Annotated[str, typer.Option(help="Routing policy of the entries.")] = DEFAULT_POLICY,
) -> None:
    """Print one JSON object for each measurement, and each broken bound on standard error."""
    options = Options(quick=quick, seed=seed, policy=policy)
    broken_count = 0
    try:
        for result in _run_cases(case or list(CASES), options):
            typer.echo(msgspec.json.encode(result).decode())
            for problem in broken_bounds(result):
                typer.echo(f"bound broken: {problem}", err=True)
                broken_count += 1
    except KingcupusherError as error:
        typer.echo(f"error: {error}", err=True)
        sys.exit(1)
    sys.exit(1 if broken_count else 0)


def _run_cases(names: Sequence[str], options: Options) -> Iterator[BenchResult]:
    cases = [CASES.get(name) for name in names]
    for entries in QUICK_ENTRY_COUNTS if options.quick else ENTRY_COUNTS:
        selected = [case for case in cases if entries in case.entry_counts]
        if not selected:
            continue
        with ProcessGroup() as group:
            deployment = Deployment(group, entries=entries, policy=options.policy)
            deployment.start()
            for case in selected:
                yield from case.measure(deployment, options)


if __name__ == "__main__":
    typer.run(main)
