"""Runs the behave features and prints a closing line with the counts.

Scenarios that carry the tag ``known_red`` are faults listed in KNOWN-RED.txt; they are printed
and not counted. Arguments are passed on to behave, for example ``--define seed=7``.
"""

from __future__ import annotations

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FEATURES = ROOT / "testing" / "features"


def _run(arguments: list[str]) -> tuple[int, int, bool]:
    configuration = Configuration(
        ["--no-capture", "--format=progress", "--tags=not @known_red", *arguments, str(FEATURES)],
        load_config=False,
    )
    runner = Runner(configuration)
    failed_run = runner.run()
    scenarios = [s for feature in runner.features for s in feature.walk_scenarios()]
    passed = sum(s.status == Status.passed for s in scenarios)
    failed = sum(s.status.has_failed() for s in scenarios)
    return passed, failed, failed_run


def main() -> int:
    """Run the features; return 0 only if all that ran passed and at least one ran."""
    passed, failed, failed_run = _run(sys.argv[1:])
    if failed_run and not failed:
        failed = 1
    if KNOWN_RED.exists():
        print("KNOWN-RED.txt:")
        print(KNOWN_RED.read_text(encoding="utf-8"), end="")
    print(f"{passed} passed, {failed} failed")
    return 0 if passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
