"""Command line of the soak: ``python -m testing.soak --seeds 50``."""

from __future__ import annotations

import random
import sys
from pathlib import Path
from typing import Annotated

import typer

from testing.soak.run import Report, run

MAX_EXAMPLES = 3


def _print(report: Report) -> None:
    state = "broken" if report.broken else "kept"
    print(f"seed {report.seed}: {state}, {report.served} of {report.requests} served", flush=True)
    if report.broken:
        print("  faults: " + "; ".join(report.faults))
    for promise, rows in report.broken.items():
        print(f"  {promise}: {len(rows)}")
        for row in rows[:MAX_EXAMPLES]:
            print(f"    {row}")


def main(
    seed: Annotated[int, typer.Option(help="First seed; 0 draws one.")] = 0,
    seeds: Annotated[int, typer.Option(help="Number of seeds, one after the other.")] = 1,
    seconds: Annotated[float, typer.Option(help="How long faults are started.")] = 6.0,
    keep: Annotated[Path | None, typer.Option(help="Directory for logs of failed seeds.")] = None,
) -> None:
    """Run seeds and end with status 1 if a promise was broken."""
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    failed = []
    for number in range(first, first + seeds):
        report = run(number, traffic_s=seconds, keep=keep)
        _print(report)
        if report.broken:
            failed.append(number)
    print(f"{seeds - len(failed)} seeds kept all promises, {len(failed)} did not: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
