"""Run behave and end with a line that counts the scenarios by result."""

from __future__ import annotations

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario, ScenarioOutline
from behave.model_type import Status
from behave.runner import Runner

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "
MAX_FAILURE_CHARACTERS = 500


def _known_red() -> set[str]:
    """Return the scenario names listed in KNOWN-RED.txt, one per `test: ` line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def _scenarios(runner: Runner) -> list[Scenario]:
    scenarios: list[Scenario] = []
    for feature in runner.features:
        for item in feature.walk_scenarios():
            if not isinstance(item, ScenarioOutline):
                scenarios.append(item)
    return scenarios


def _failure(scenario: Scenario) -> str:
    """Return the failed step and the first line of its error, as no other output has them in CI."""
    for step in scenario.all_steps:
        if step.status in (Status.failed, Status.error):
            lines = (step.error_message or "").strip().splitlines() or [""]
            return f"{step.name}: {lines[0]}"[:MAX_FAILURE_CHARACTERS]
    return ""


def main() -> int:
    """Run the features; return 0 only if a scenario passed and nothing failed unexpectedly."""
    arguments = ["--format=progress", "--no-source", "--no-timings", *sys.argv[1:]]
    if not any(Path(argument).exists() for argument in sys.argv[1:]):
        arguments.append(str(ROOT / "features"))
    runner = Runner(Configuration(arguments))
    aborted = runner.run() and runner.aborted
    known_red = _known_red()
    passed = failed = skipped = 0
    for scenario in _scenarios(runner):
        if scenario.status is Status.passed:
            passed += 1
        elif scenario.status in (Status.skipped, Status.untested):
            skipped += 1
        elif scenario.name.strip() in known_red:
            skipped += 1
            print(f"known red: {scenario.name}: {_failure(scenario)}")
        else:
            failed += 1
            print(f"FAILED: {scenario.location}: {scenario.name}: {_failure(scenario)}")
    hook_failed = any(feature.hook_failed for feature in runner.features)
    summary = f"{passed} passed, {failed} failed"
    print(summary + (f", {skipped} skipped" if skipped else ""))
    return 0 if passed and not failed and not aborted and not hook_failed else 1


if __name__ == "__main__":
    sys.exit(main())
