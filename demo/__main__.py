"""Runs the demonstration: ``python -m demo``; exits 0 only if the table is right."""

from __future__ import annotations

import sys
import time

from demo.rules import broken_rules
from demo.scenario import run_demo
from demo.table import render
from kingcupusher._core import KingcupusherError
from standins.processes import ProcessGroup


def main() -> int:
    """Run, print the table and return the exit status."""
    started_s = time.monotonic()
    try:
        with ProcessGroup() as group:
            result = run_demo(group)
    except KingcupusherError as error:
        print(f"error: {error}", file=sys.stderr)
        return 1
    print(render(result))
    broken = list(broken_rules(result))
    for rule in broken:
        print(f"does not hold: {rule}")
    print(f"{'failed' if broken else 'passed'} in {time.monotonic() - started_s:.0f} s")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
