"""Prints served, late and lost requests of the model in :mod:`bench.queue_order`.

``python -m bench.queue_order_report DEPLOYMENT SEED SCALE LAST_COST``: ``SCALE`` multiplies the
usual load, and ``LAST_COST`` is the cost that a request accepts at the end of its wait (2.2; 1.35
if load probes are used up by then).
"""

from __future__ import annotations

import sys
from collections import defaultdict
from math import sqrt
from statistics import median, pstdev

from bench.queue_order import (
    END_MS,
    HEAVY,
    LOADS,
    PRIORITIES,
    START_MS,
    VARIANTS,
    Caller,
    Deployment,
    Model,
)

A = Deployment("A", 135, 2, 120, 430.0, 85.0, 308.0, 815.0, 815.0, 1, 0.03)
B = Deployment("B", 219, 4, 131, 620.0, 281.0, 913.0, 9_084.0, 4_000.0, 2)


def _outcomes(model: Model) -> list[tuple[Caller, str]]:
    """Return the callers of the loaded time with their outcomes."""
    rows = []
    for caller in model.callers:
        if START_MS <= caller.created_ms < END_MS:
            elapsed_ms = caller.ended_ms - caller.created_ms
            in_time = "good" if elapsed_ms <= model.d.objective_ms else "late"
            rows.append((caller, in_time if elapsed_ms <= model.d.deadline_ms else "lost"))
    return rows


def _share(rows: list[tuple[Caller, str]], *kinds: str) -> float:
    return sum(kind in kinds for _, kind in rows) / max(1, len(rows))


def report(model: Model) -> str:
    """Return one line: shares of all, by priority, of the heavy customer and others, by entry."""
    rows = _outcomes(model)
    by: dict[str, dict[int, list[tuple[Caller, str]]]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        by["priority"][row[0].priority].append(row)
        if row[0].priority == 1 and row[0].customer != HEAVY:
            by["entry"][row[0].entry].append(row)
        by["customer"][row[0].customer].append(row)
    served = [_share(by["priority"][p], "good", "late") for p in range(PRIORITIES)]
    peers = [
        _share(group, "good", "late")
        for customer, group in by["customer"].items()
        if customer != HEAVY and customer % PRIORITIES == HEAVY % PRIORITIES and len(group) >= 20
    ]
    groups = [group for group in by["entry"].values() if len(group) >= 8]
    spread = pstdev(_share(group, "good", "late") for group in groups)
    mean = _share([row for group in groups for row in group], "good", "late")
    chance = sqrt(mean * (1 - mean) * sum(1 / len(g) for g in groups) / len(groups))
    heavy = _share(by["customer"][HEAVY], "good", "late")
    return (
        f"{len(rows):6} {_share(rows, 'good'):.3f} {_share(rows, 'late'):.3f}"
        f" {_share(rows, 'lost'):.3f} | {' '.join(f'{s:.3f}' for s in served)} |"
        f" {heavy:.3f} {min(peers):.3f} {median(peers):.3f} | {spread:.3f} {chance:.3f}"
    )


def main(name: str, seed: str, scale: str, last_cost: str) -> None:
    """Print the table of one deployment."""
    print("requests good late lost | served by priority | heavy, least, median peer | entries")
    for load in LOADS:
        for variant in VARIANTS:
            model = Model(
                {"A": A, "B": B}[name],
                load,
                variant,
                seed=int(seed),
                scale=float(scale),
                last_cost=float(last_cost),
            )
            print(f"{name} {load:18} {variant:24} {report(model.run())}", flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
