"""Tests of the command that prints the log lines about a job."""

import json
import subprocess
import sys
import unittest

from typer.testing import CliRunner

from chestnutstair.cli import app
from chestnutstair.commands.logs import collect_job_lines


def build_line(time: str, message: str, **fields: object) -> str:
    """Return a log line in the format of a node."""
    return json.dumps({"time": time, "message": message, **fields})


LINES = [
    build_line("12:00:02", "start sent", task="aa.0.0.1", worker="w1"),
    build_line("12:00:01", "submission", job="aa", entry_vm="n1"),
    build_line("12:00:03", "submission", job="bb"),
    "  1.5 node-1 " + build_line("12:00:04", "run ended", task="aa.0.0.1"),
    "Traceback (most recent call last):",
    '{"cut off": ',
]


class JobLinesTest(unittest.TestCase):
    """Lines about one job, from all nodes, are found and sorted by time."""

    def test_lines_of_the_job_and_of_its_tasks_are_found(self) -> None:
        self.assertEqual(
            collect_job_lines(LINES, "aa"),
            [
                "12:00:01 n1: submission",
                "12:00:02 0.0.1: start sent worker=w1",
                "12:00:04 0.0.1: run ended",
            ],
        )

    def test_the_command_reads_standard_input(self) -> None:
        text = "\n".join(LINES)
        result = CliRunner().invoke(app, ["logs", "job", "bb"], input=text)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(result.output.strip(), "12:00:03 : submission")

    def test_exits_with_1_if_a_job_has_no_lines(self) -> None:
        result = CliRunner().invoke(app, ["logs", "job", "cc"], input="")
        self.assertEqual(result.exit_code, 1)


class QueuedLoggingTest(unittest.TestCase):
    """The thread that writes queued records goes on after an error."""

    # Guards against a value, such as one of another writer, that ends the
    # thread: logging.StreamHandler raises RecursionError out of its caller.
    def test_a_record_that_cannot_be_formatted_is_dropped(self) -> None:
        code = (
            "import logging\n"
            "from chestnutstair.log import configure_queued_logging\n"
            "listener = configure_queued_logging('info', 'vm', 'zone')\n"
            "nested = []\n"
            "for _ in range(5000):\n"
            "    nested = [nested]\n"
            "values = (nested, 10**5000, float('nan'), chr(0xD800), b'x')\n"
            "for value in values:\n"
            "    logging.info('odd', extra={'value': value})\n"
            "logging.info('last')\n"
            "listener.stop()\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        last = done.stdout.strip().splitlines()[-1]
        self.assertEqual(json.loads(last)["message"], "last")
