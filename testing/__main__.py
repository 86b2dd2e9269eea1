"""Runs the behave features and prints a summary line with the counts.

Scenarios with the tag ``known_red`` fail because of faults that KNOWN-RED.txt lists: they are not
run, and the file is printed. Arguments are passed to behave, for example ``--define seed=7``.
"""

from __future__ import annotations

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario, Status
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FEATURES = ROOT / "testing" / "features"


def _run_features(arguments: list[str]) -> tuple[int, list[Scenario], bool]:
    configuration = Configuration(
        ["--no-capture", "--format=progress", "--tags=not @known_red", *arguments, str(FEATURES)],
        load_config=False,
    )
    runner = Runner(configuration)
    run_failed = runner.run()
    scenarios = [s for feature in runner.features for s in feature.walk_scenarios()]
    passed = sum(s.status == Status.passed for s in scenarios)
    failed = [s for s in scenarios if s.status.has_failed()]
    return passed, failed, run_failed


def _print_errors(scenario: Scenario) -> None:
    """Print why the steps failed, which the progress format leaves out."""
    print(f"{scenario.location} failed: {scenario.name}")
    for step in scenario.steps:
        if step.error_message:
            print(f"{step.name}:\n{step.error_message}")


def main() -> int:
    """Run the features; return 0 only if at least one scenario ran and all that ran passed."""
    passed, failed, run_failed = _run_features(sys.argv[1:])
    if KNOWN_RED.exists():
        print("KNOWN-RED.txt:")
        print(KNOWN_RED.read_text(encoding="utf-8"), end="")
    # These lines come last, because the users' CI keeps the end of the output but not the middle.
    for scenario in failed:
        _print_errors(scenario)
    failed_count = max(len(failed), int(run_failed))
    print(f"{passed} passed, {failed_count} failed")
    return 0 if passed and not failed_count else 1


if __name__ == "__main__":
    sys.exit(main())
