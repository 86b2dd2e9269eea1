"""Runs the demonstration: ``python -m demo``; the exit status is 0 only if all rules hold."""

from __future__ import annotations

import sys
import time

from demo.rules import violated_rules
from demo.scenario import run_demo
from demo.table import render_table
from kingcupusher._core import KingcupusherError
from standins.processes import ProcessGroup


def main() -> int:
    """Run the demonstration, print the table and return the exit status."""
    started_s = time.monotonic()
    try:
        with ProcessGroup() as group:
            result = run_demo(group)
    except KingcupusherError as error:
        print(f"error: {error}", file=sys.stderr)
        return 1
    print(render_table(result))
    violated = list(violated_rules(result))
    for rule in violated:
        print(f"does not hold: {rule}")
    print(f"{'failed' if violated else 'passed'} in {time.monotonic() - started_s:.0f} s")
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main())
