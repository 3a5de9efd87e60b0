"""Runs the formatter, linter, type checker and tests; prints a summary.

Exits with status 0 if something passed and nothing failed except tests that
are listed in KNOWN-RED.txt.
"""

import os
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from tools.test_process import ROOT

KNOWN_RED = ROOT / "KNOWN-RED.txt"
SOURCES = ["chestnutstair", "tools"]
TESTS = "chestnutstair/tests"
STEPS = {
    "format": ["-m", "ruff", "format", "--check", *SOURCES],
    "lint": ["-m", "ruff", "check", *SOURCES],
    "types": ["-m", "mypy"],
}
# Most tests spend more time waiting than computing.
PROCESS_COUNT = max(2, os.cpu_count() or 2)
# A test case that runs longer is considered hung; the slowest one takes
# about a minute.
CASE_TIMEOUT_SECONDS = 600
# The slowest modules: they start first, in this order, and each of their
# tests runs in its own process.
SLOW_MODULES = (
    "test_maintenance_faults",
    "test_cluster_faults",
    "test_request_faults",
    "test_fleet_node",
    "test_shard_nodes",
    "test_soak",
    "test_protocol",
    "test_router",
    "test_specification",
    "test_configuration",
    "test_task_takeover",
)
# Modules whose tests run after all others, one at a time: they measure what
# other processes on the machine would disturb.
SERIAL_MODULES = ("test_hostile_clients",)


@dataclass(frozen=True)
class CaseOutcome:
    """The result of one test case, or of one test of a slow module."""

    name: str
    passed: frozenset[str]  # test ids
    failed: frozenset[str]  # test ids; `name` if the process failed
    seconds: float
    output: str  # stdout and stderr


def read_known_red() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt allows to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def run_step(name: str, arguments: list[str]) -> bool:
    """Run one checker; return whether it succeeded."""
    print(f"== {name}", flush=True)
    process = subprocess.run(
        [sys.executable, *arguments], cwd=ROOT, check=False
    )
    return process.returncode == 0


def list_cases() -> list[str]:
    """Return the names to pass to `run_case`, slowest modules first.

    A name is a test case, or a single test in a slow module.
    """
    loader = unittest.TestLoader()
    suite = loader.discover(str(ROOT / TESTS), top_level_dir=str(ROOT))
    names = sorted({_name_case(test) for test in _flatten(suite)})
    return sorted(names, key=_rank_case)


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _flatten(item)
        else:
            yield item


def _name_case(test: unittest.TestCase) -> str:
    case = type(test)
    if case.__module__.startswith("unittest"):
        # The module cannot be imported; running it prints the reason.
        return test.id().partition("_FailedTest.")[2]
    if case.__module__.rpartition(".")[2] in SLOW_MODULES:
        return test.id()
    return f"{case.__module__}.{case.__qualname__}"


def _rank_case(name: str) -> int:
    for rank, module in enumerate(SLOW_MODULES):
        if module in name.split("."):
            return rank
    return len(SLOW_MODULES)


def run_case(name: str) -> CaseOutcome:
    """Run one test case, or one test, in a separate process."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder, "outcomes")
        command = [sys.executable, "-m", "tools.test_process"]
        try:
            process = subprocess.run(
                [*command, str(report), name],
                cwd=ROOT,
                check=False,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                timeout=CASE_TIMEOUT_SECONDS,
                text=True,
            )
            output = process.stdout
        except subprocess.TimeoutExpired as timeout:
            output = f"timed out after {timeout.timeout} s"
        lines = report.read_text().splitlines() if report.exists() else []
    passed = {line[7:] for line in lines if line.startswith("passed ")}
    failed = {line[7:] for line in lines if line.startswith("failed ")}
    if not lines or lines[-1] != "end" or not passed | failed:
        failed.add(name)  # the process crashed, timed out or found no test
    return CaseOutcome(
        name,
        frozenset(passed),
        frozenset(failed),
        time.monotonic() - began,
        output,
    )


def is_serial(name: str) -> bool:
    """Return whether a case must run apart from all others."""
    return any(module in name.split(".") for module in SERIAL_MODULES)


def run_tests(selection: list[str]) -> list[CaseOutcome]:
    """Run the selected, or all, test cases; most of them in parallel."""
    print("== tests", flush=True)
    names = selection or list_cases()
    outcomes = []
    with ThreadPoolExecutor(PROCESS_COUNT) as threads:
        futures = [
            threads.submit(run_case, name)
            for name in names
            if not is_serial(name)
        ]
        for future in as_completed(futures):
            outcomes.append(report_outcome(future.result()))
    outcomes += [
        report_outcome(run_case(name)) for name in names if is_serial(name)
    ]
    return outcomes


def report_outcome(outcome: CaseOutcome) -> CaseOutcome:
    """Print the result of a case, and return it."""
    print(
        f"{outcome.name}: {len(outcome.passed)} passed, "
        f"{len(outcome.failed)} failed, {outcome.seconds:.1f} s",
        flush=True,
    )
    if outcome.failed:
        print(outcome.output, flush=True)
    return outcome


def report_known_red(failed: set[str], known: set[str]) -> None:
    """Print the known failures; mark those that pass now."""
    for test in sorted(known):
        if test in failed:
            print(f"known red: {test}")
        else:
            print(f"known red, but passes now; remove its entry: {test}")


def main() -> int:
    """Run all checks, or only the tests named on the command line."""
    selection = sys.argv[1:]
    steps = {} if selection else STEPS
    results = [run_step(name, command) for name, command in steps.items()]
    outcomes = run_tests(selection)
    passed = {test for outcome in outcomes for test in outcome.passed}
    failed = {test for outcome in outcomes for test in outcome.failed}
    known = read_known_red()
    if not selection:
        report_known_red(failed, known)
    passed_count = len(passed - failed) + sum(results)
    failed -= known
    for test in sorted(failed):
        print(f"failed: {test}")
    failed_count = len(failed) + len(results) - sum(results)
    print(f"{passed_count} passed, {failed_count} failed", flush=True)
    return 1 if failed_count or not passed_count else 0


if __name__ == "__main__":
    sys.exit(main())
