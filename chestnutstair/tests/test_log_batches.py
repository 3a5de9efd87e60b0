"""Tests of log records in numbers that a leader writes in a turn.

A leader of 200 workers logs over 2,000 records a second.
"""

import io
import json
import logging
import queue
import time
import unittest
from typing import Any

from chestnutstair.log import (
    BatchHandler,
    BatchListener,
    DroppingHandler,
    build_formatter,
)

RECORDS = 1000
WAIT_SECONDS = 10.0


class _CountingStream(io.StringIO):
    """A stream that records when it is flushed."""

    def __init__(self) -> None:
        super().__init__()
        self.flushes = 0
        self.flushed = ""

    def flush(self) -> None:
        self.flushes += 1
        self.flushed = self.getvalue()
        super().flush()


class LogBatchTest(unittest.TestCase):
    """Records are written together, in order, and none is lost at a stop."""

    def setUp(self) -> None:
        self.stream = _CountingStream()
        records: queue.SimpleQueue[Any] = queue.SimpleQueue()
        writer = BatchHandler(self.stream)
        writer.setFormatter(build_formatter("n1", "zone-a"))
        self.listener = BatchListener(records, writer)
        self.handler = DroppingHandler(records, limit=RECORDS)

    def log(self, number: int) -> None:
        record = logging.makeLogRecord({"msg": "start sent", "run": number})
        self.handler.handle(record)

    def read_lines(self) -> list[dict[str, Any]]:
        return [
            json.loads(line) for line in self.stream.getvalue().splitlines()
        ]

    def test_a_burst_of_records_is_written_in_few_writes(self) -> None:
        # A write and a wake-up of the writer for each record took more of a
        # leader's processor than formatting it.
        self.listener.start()
        for number in range(RECORDS):
            self.log(number)
        self.listener.stop()
        self.assertLessEqual(self.stream.flushes, RECORDS // 10)
        runs = [line["run"] for line in self.read_lines()]
        self.assertEqual(runs, list(range(RECORDS)))

    def test_records_beyond_the_limit_are_dropped_and_counted(self) -> None:
        # Logging must neither block nor use memory without bound.
        for number in range(RECORDS + 5):
            self.log(number)
        self.listener.start()
        self.listener.stop()
        self.assertEqual(len(self.read_lines()), RECORDS)
        self.log(RECORDS + 5)
        self.listener.start()
        self.listener.stop()
        last = self.read_lines()[-1]
        self.assertEqual((last["run"], last["dropped_before"]), (1005, 5))

    def test_records_are_written_without_waiting_for_more(self) -> None:
        # The lines of a leader that is killed must show what it decided.
        self.listener.start()
        self.addCleanup(self.listener.stop)
        self.log(1)
        end = time.monotonic() + WAIT_SECONDS
        while not self.stream.flushed and time.monotonic() < end:
            time.sleep(0.01)
        self.assertEqual(self.read_lines()[0]["run"], 1)
