"""Runs tests for `tools.check` and writes each outcome to a file."""

import logging
import sys
from pathlib import Path
from typing import Any

import nose2
from nose2.events import Plugin

__all__ = ["ROOT", "run_tests"]

ROOT = Path(__file__).resolve().parent.parent


class OutcomePlugin(Plugin):
    """Collects the ids of passed and failed tests."""

    def __init__(self) -> None:
        self.passed: set[str] = set()
        self.failed: set[str] = set()

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Record one outcome; skips and failed subtests count as failures."""
        has_failed = event.outcome in ("failed", "error", "skipped") or (
            event.outcome == "subtest" and event.exc_info is not None
        )
        test = getattr(event.test, "test_case", event.test)
        (self.failed if has_failed else self.passed).add(test.id())


def run_tests(selection: list[str]) -> OutcomePlugin:
    """Run the tests with nose2; return the plugin with their outcomes."""
    plugin = OutcomePlugin()
    logging.basicConfig(handlers=[logging.NullHandler()])
    nose2.discover(
        exit=False,
        argv=["nose2", "-t", str(ROOT), *selection],
        extraHooks=[("testOutcome", plugin)],
    )
    return plugin


def main() -> int:
    """Run the tests named after the report path; write the report.

    The report has a line `passed ID` or `failed ID` for each test and ends
    with the line `end`, which is missing if the process crashed.
    """
    report, *selection = sys.argv[1:]
    outcomes = run_tests(selection)
    passed = outcomes.passed - outcomes.failed
    lines = [f"passed {test}" for test in sorted(passed)]
    lines += [f"failed {test}" for test in sorted(outcomes.failed)]
    lines.append("end")
    Path(report).write_text("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
