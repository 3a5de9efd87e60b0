"""Tests that one job does not take down one node after the other.

What a caller submits is stored and read by each new leader, so whatever ends
or stalls one leader would end or stall the next one, too.
"""

import io
import json
import unittest
from dataclasses import replace
from typing import Any

from chestnutstair.platform import build_requester_application
from chestnutstair.platform.decoding import PlatformSubmissions
from chestnutstair.scheduling.job_requests import Outcome
from chestnutstair.scheduling.leader import LeaderSettings, split_batches
from chestnutstair.scheduling.ports import RowKey, RowWrite
from chestnutstair.scheduling.progress import (
    JobRecord,
    JobState,
    TaskKey,
    TaskState,
    TaskStatus,
)
from chestnutstair.scheduling.specification import MAX_TASKS
from chestnutstair.tests.scheduling_support import (
    CONFIGURATION,
    TrackerHarness,
    build_submission,
)
from chestnutstair.tests.support import ManualClock

QUEUE = CONFIGURATION.queues[0]
PATH = f"{QUEUE.prefix}0123456789abcdef"
# Limits of the platform's store.
ROW_BYTES = 65_536
TRANSACTION_BYTES = 1_000_000


class AcceptingHandler:
    """Accepts each submission and counts them."""

    def __init__(self) -> None:
        self.accepted = 0

    def submit(self, *_: Any) -> Outcome:
        """Accept the job."""
        self.accepted += 1
        return Outcome()


class UnreadBody(io.BytesIO):
    """A body of which a test counts the bytes that are read."""

    read_bytes = 0

    def read(self, size: int | None = -1) -> bytes:
        """Return up to `size` bytes."""
        data = super().read(size)
        self.read_bytes += len(data)
        return data


class SubmissionLimitsTest(unittest.TestCase):
    """Submissions that no leader could store or plan are refused at once."""

    def setUp(self) -> None:
        self.handler = AcceptingHandler()
        handler: Any = self.handler
        self.application = build_requester_application(
            handler, lambda: CONFIGURATION, lambda: False, ManualClock(0.0)
        )

    def post(self, body: bytes, length: str | None = None) -> str:
        """Submit a body; return the status line."""
        statuses: list[str] = []
        self.stream = UnreadBody(body)
        environ = {
            "REQUEST_METHOD": "POST",
            "HTTP_HOST": QUEUE.host,
            "PATH_INFO": PATH,
            "CONTENT_LENGTH": str(len(body)) if length is None else length,
            "wsgi.input": self.stream,
        }
        self.application(environ, lambda status, _: statuses.append(status))
        return statuses[0]

    def post_job(self, **fields: Any) -> str:
        step = {"count": 1, "cpu": 100}
        job = {"spec": "x", "steps": [step], **fields}
        return self.post(json.dumps(job).encode())

    def test_an_ordinary_job_is_accepted(self) -> None:
        self.assertEqual(self.post_job(), "200 OK")
        self.assertEqual(self.handler.accepted, 1)

    # Guards against a leader that runs out of memory, or whose writes the
    # store refuses, and so does its successor.
    def test_a_job_with_too_many_tasks_is_refused(self) -> None:
        for fields in (
            {"steps": [{"count": MAX_TASKS + 1}]},
            {"steps": [{"count": 1_000_000_000}]},
            {"steps": [{"count": MAX_TASKS}, {"count": 1}]},
            {"repeats": MAX_TASKS + 1},
            {"repeats": 10**9},
        ):
            with self.subTest(fields=fields):
                self.assertEqual(self.post_job(**fields), "400 Bad Request")
        self.assertEqual(self.handler.accepted, 0)

    # Guards against arithmetic that fails in each planning round, and against
    # tasks that add room to a worker.
    def test_amounts_out_of_range_are_refused(self) -> None:
        for name in (
            "cpu",
            "memMb",
            "gpu",
            "estimateMs",
            "antiAffinity",
            "mayMiss",
            "targetMs",
        ):
            for value in (-1, 10**400):
                with self.subTest(name=name, value=value):
                    steps = [{"count": 1, name: value}]
                    status = self.post_job(steps=steps)
                    self.assertEqual(status, "400 Bad Request")
        for name in ("repeats", "initialDelayMs", "intervalMs"):
            for value in (-1, 10**400):
                with self.subTest(name=name, value=value):
                    status = self.post_job(**{name: value})
                    self.assertEqual(status, "400 Bad Request")

    def test_a_body_that_is_nested_too_deeply_is_refused(self) -> None:
        status = self.post(b'{"steps":' + b"[" * 20_000)
        self.assertEqual(status, "400 Bad Request")

    # Guards against nodes that run out of memory one by one, as the caller
    # tries again elsewhere.
    def test_a_large_body_is_refused_without_being_read(self) -> None:
        status = self.post(b"x", length=str(10**9))
        self.assertEqual(status, "413 Request Entity Too Large")
        self.assertEqual(self.stream.read_bytes, 0)

    def test_a_large_body_without_a_length_is_refused(self) -> None:
        status = self.post(b"x" * 10_000_000, length="")
        self.assertEqual(status, "413 Request Entity Too Large")
        self.assertLess(self.stream.read_bytes, 100_000)

    def test_a_job_of_an_earlier_version_beyond_the_limit_is_kept(
        self,
    ) -> None:
        body = {"spec": "x", "steps": [{"count": MAX_TASKS + 1}]}
        answer = PlatformSubmissions().read_job(json.dumps(body).encode())
        self.assertTrue(answer.is_ok())


class StoredSizeTest(unittest.TestCase):
    """The progress of any accepted job fits into a row, and into a write."""

    def test_the_progress_of_the_largest_job_fits_into_a_row(self) -> None:
        submission = build_submission("0" * 16, [])
        specification = replace(
            submission.specification,
            steps=(replace_count(MAX_TASKS),),
        )
        record = JobRecord(replace(submission, specification=specification))
        state = TaskState(
            TaskStatus.PLACED,
            12,
            "i-0123456789",
            1_789_447_563_230,
            (1, 2, 3),
            "0" * 16,
            "m-01234",
            (4, 5, 6),
            True,
        )
        for index in range(MAX_TASKS):
            record.set_task(TaskKey(0, 0, index), state)
        self.assertLess(len(record.encode()), ROW_BYTES)

    # Guards against a row that the store refuses in each write of each leader,
    # as workers choose how long checkpoints are and list them again.
    def test_checkpoints_that_do_not_fit_are_left_out(self) -> None:
        submission = build_submission("0" * 16, [replace_count(MAX_TASKS)])
        record = JobRecord(submission)
        state = TaskState(TaskStatus.PLACED, 1, "i-0123456789", 17)
        state = replace(state, checkpoint="x" * 1000)
        for index in range(MAX_TASKS):
            record.set_task(TaskKey(0, 0, index), state)
        with self.assertLogs("chestnutstair.scheduling.progress", "WARNING"):
            value = record.encode()
        self.assertLess(len(value), ROW_BYTES)
        restored = JobRecord(submission)
        restored.restore(value)
        task = restored.get_task(TaskKey(0, 0, 7))
        self.assertEqual(task, replace(state, checkpoint=""))
        self.assertEqual(record.get_task(TaskKey(0, 0, 7)), state)

    def test_large_rows_are_written_in_several_transactions(self) -> None:
        writes = [
            RowWrite(RowKey("t", "p", str(number)), b"x" * 60_000)
            for number in range(90)
        ]
        batches = split_batches(writes, LeaderSettings().batch_rows)
        for batch in batches:
            encoded = sum(4 * len(item.value or b"") / 3 for item in batch)
            self.assertLess(encoded, 0.9 * TRANSACTION_BYTES)
        self.assertEqual([item for batch in batches for item in batch], writes)

    def test_an_empty_write_still_renews_the_term(self) -> None:
        self.assertEqual(split_batches([], 90), [[]])


class PlanningTest(unittest.TestCase):
    """A job whose planning fails keeps no other job from running."""

    # Guards against an error in each planning round of each leader.
    def test_other_jobs_are_planned(self) -> None:
        harness = TrackerHarness(("w1",))
        broken = harness.admit("a", [replace_count(1)])
        broken.submission = replace(
            broken.submission,
            queue=replace(broken.submission.queue, name="gone", stretch=None),  # type: ignore[arg-type]
        )
        other = harness.admit("b", [replace_count(1)])
        for _ in range(2):
            harness.start_all(harness.plan())
        self.assertEqual(other.get_task(TaskKey(0, 0, 0)).run, 1)
        self.assertIsNone(broken.ended)

    def test_a_job_whose_planning_fails_can_be_cancelled(self) -> None:
        harness = TrackerHarness(("w1",))
        broken = harness.admit("a", [replace_count(1)])
        broken.submission = replace(
            broken.submission,
            queue=replace(broken.submission.queue, name="gone", stretch=None),  # type: ignore[arg-type]
        )
        harness.plan()
        harness.tracker.cancel("a")
        self.assertIs(broken.ended, JobState.CANCELLED)


class StoredProgressTest(unittest.TestCase):
    """A progress row that cannot be read concerns its job only."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.submission = build_submission("j", [replace_count(1)])

    # Guards against each new leader failing to load.
    def test_other_jobs_are_restored(self) -> None:
        self.harness.tracker.restore_job(self.submission, b"{")
        other = build_submission("k", [replace_count(1)])
        self.harness.tracker.restore_job(other, None)
        placed = self.harness.plan()
        self.assertEqual([item.record.name for item in placed], ["k"])

    # Guards against running again what the row said had run.
    def test_its_tasks_are_not_started_again(self) -> None:
        self.harness.tracker.restore_job(
            self.submission, b'{"tasks":{"0":[]}}'
        )
        self.assertFalse(self.harness.tracker.admit(self.submission))
        self.assertEqual(self.harness.plan(), [])

    def test_its_row_is_not_overwritten(self) -> None:
        self.harness.tracker.restore_job(self.submission, b"{")
        self.assertEqual(self.harness.tracker.dirty, set())


def replace_count(count: int) -> Any:
    """Return a step with the given number of small tasks."""
    return (
        PlatformSubmissions()
        .read_job(
            json.dumps({"steps": [{"count": count, "cpu": 100}]}).encode()
        )
        .unwrap()
        .steps[0]
    )
