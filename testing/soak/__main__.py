"""Command line of the soak test: ``python -m testing.soak --seeds 50``."""

from __future__ import annotations

import random
import sys
from pathlib import Path
from typing import Annotated

import typer

from testing.soak.run import SoakReport, run_soak

MAX_EXAMPLES = 3


def _print_report(report: SoakReport) -> None:
    state = "invariants violated" if report.violations else "all invariants held"
    print(f"seed {report.seed}: {state}, {report.served} of {report.requests} served", flush=True)
    if report.violations:
        print("  faults: " + "; ".join(report.faults))
    for invariant, violations in report.violations.items():
        print(f"  {invariant}: {len(violations)}")
        for violation in violations[:MAX_EXAMPLES]:
            print(f"    {violation}")


def main(
    seed: Annotated[int, typer.Option(help="First seed; 0 draws a random one.")] = 0,
    seeds: Annotated[int, typer.Option(help="Number of consecutive seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Duration of the fault injection.")] = 6.0,
    keep: Annotated[Path | None, typer.Option(help="Directory for logs of failed seeds.")] = None,
) -> None:
    """Run the seeds; the exit status is 1 if an invariant was violated."""
    first_seed = seed or random.SystemRandom().randrange(1, 1_000_000)
    failed_seeds = []
    for run_seed in range(first_seed, first_seed + seeds):
        report = run_soak(run_seed, traffic_s=seconds, keep=keep)
        _print_report(report)
        if report.violations:
            failed_seeds.append(run_seed)
    print(f"{seeds - len(failed_seeds)} seeds passed, {len(failed_seeds)} failed: {failed_seeds}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    typer.run(main)
