"""Runs test cases in a process of their own and reports each outcome."""

import logging
import sys
from pathlib import Path
from typing import Any

import nose2
from nose2.events import Plugin

__all__ = ["ROOT", "run_tests"]

ROOT = Path(__file__).resolve().parent.parent


class OutcomePlugin(Plugin):
    """Notes the outcome of every test by its id."""

    def __init__(self) -> None:
        self.passed: set[str] = set()
        self.failed: set[str] = set()

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Note one outcome; a test with a failed part has failed."""
        has_failed = event.outcome in ("failed", "error", "skipped") or (
            event.outcome == "subtest" and event.exc_info is not None
        )
        test = getattr(event.test, "test_case", event.test)
        (self.failed if has_failed else self.passed).add(test.id())


def run_tests(selection: list[str]) -> OutcomePlugin:
    """Run the tests and return their outcomes."""
    plugin = OutcomePlugin()
    logging.basicConfig(handlers=[logging.NullHandler()])
    nose2.discover(
        exit=False,
        argv=["nose2", "-t", str(ROOT), *selection],
        extraHooks=[("testOutcome", plugin)],
    )
    return plugin


def main() -> int:
    """Run the named tests; write a line for each outcome to a file."""
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
