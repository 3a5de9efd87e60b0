"""Runs formatter, linter, type check and tests; prints one verdict.

Exits 0 when everything passed but the tests that KNOWN-RED.txt lists.
"""

import logging
import subprocess
import sys
from pathlib import Path
from typing import Any

import nose2
from nose2.events import Plugin

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SOURCES = ["chestnutstair", "tools"]
STEPS = {
    "format": ["-m", "ruff", "format", "--check", *SOURCES],
    "lint": ["-m", "ruff", "check", *SOURCES],
    "types": ["-m", "mypy"],
}


class OutcomePlugin(Plugin):
    """Notes the outcome of every test by its id."""

    def __init__(self) -> None:
        self.passed: set[str] = set()
        self.failed: set[str] = set()

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Note one outcome; a test with a failed part has failed."""
        bad = event.outcome in ("failed", "error", "skipped") or (
            event.outcome == "subtest" and event.exc_info is not None
        )
        test = getattr(event.test, "test_case", event.test)
        (self.failed if bad else self.passed).add(test.id())


def read_known_red() -> set[str]:
    """Return the test ids that KNOWN-RED.txt allows to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def run_step(name: str, arguments: list[str]) -> bool:
    """Run one checker and tell whether it found nothing."""
    print(f"== {name}", flush=True)
    done = subprocess.run([sys.executable, *arguments], cwd=ROOT, check=False)
    return done.returncode == 0


def run_tests(selection: list[str]) -> OutcomePlugin:
    """Run the tests and return their outcomes."""
    print("== tests", flush=True)
    plugin = OutcomePlugin()
    logging.basicConfig(handlers=[logging.NullHandler()])
    nose2.discover(
        exit=False,
        argv=["nose2", "-t", str(ROOT), *selection],
        extraHooks=[("testOutcome", plugin)],
    )
    return plugin


def report_known_red(outcomes: OutcomePlugin, known: set[str]) -> None:
    """Print the listed tests, and those whose entry may go."""
    for test in sorted(known):
        if test in outcomes.failed:
            print(f"known red: {test}")
        else:
            print(f"known red, but it passes now; drop its entry: {test}")


def main() -> int:
    """Run all checks, or only the tests named as arguments."""
    selection = sys.argv[1:]
    steps = {} if selection else STEPS
    results = [run_step(name, command) for name, command in steps.items()]
    outcomes = run_tests(selection)
    known = read_known_red()
    if not selection:
        report_known_red(outcomes, known)
    failed = outcomes.failed - known
    for test in sorted(failed):
        print(f"failed: {test}")
    passed_count = len(outcomes.passed - outcomes.failed) + sum(results)
    failed_count = len(failed) + len(results) - sum(results)
    print(f"{passed_count} passed, {failed_count} failed", flush=True)
    return 1 if failed_count or not passed_count else 0


if __name__ == "__main__":
    sys.exit(main())
