"""Rows of the system itself that cannot be read stop no reader.

Each new leader reads the same rows, so one that ends a leader would end the
next one, too.
"""

import json
import unittest
from typing import Any
from unittest import mock

from result import Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.platform import PlatformRowStore, PlatformSubmissions
from chestnutstair.scheduling.access import read_owner
from chestnutstair.scheduling.intake import (
    build_job_key,
    decode_submission,
    encode_submission,
)
from chestnutstair.scheduling.job_requests import _read_progress_state
from chestnutstair.scheduling.ports import (
    Changes,
    ConditionFailure,
    Row,
    RowKey,
    RowWrite,
)
from chestnutstair.scheduling.shards.layout import read_layout
from chestnutstair.scheduling.shards.names import FIRST_NAMES
from chestnutstair.scheduling.shards.wave_parts import read_wave_parts
from chestnutstair.scheduling.term import TermRow, read_term
from chestnutstair.scheduling.vm_order_history import (
    ORDER_TABLE,
    VmOrderHistory,
)
from chestnutstair.scheduling.wave_progress import (
    MAINTENANCE_TABLE,
    WaveProgress,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.state.fields import MalformedFieldError
from chestnutstair.tests.leader_support import LeaderRowsTest
from chestnutstair.tests.malformed_values import (
    MALFORMED_DOCUMENTS,
    MALFORMED_NUMBERS,
    MALFORMED_TEXTS,
    encode_raw,
)
from chestnutstair.tests.support import ManualClock
from chestnutstair.tests.test_intake import BODY, QUEUE
from chestnutstair.tests.test_malformed_answers import AnswerStub
from chestnutstair.transport.platform_client import PlatformClient

CLOCK = SystemClock()
TASK = ["p", 1, "i-1", 17, [], ""]
PROGRESS: dict[str, Any] = {
    "ended": "",
    "ended_ms": 0,
    "tasks": {"0.0.0": TASK},
}
ODD_TASKS = (
    "7",
    "null",
    "{}",
    "[]",
    '["p", "1", "i-1", 17, [], ""]',
    '["p", 1e400, "i-1", 17, [], ""]',
    '["p", true, "i-1", 17, [], ""]',
    '["p", 1, 7, 17, [], ""]',
    '["p", 1, "i-1", NaN, [], ""]',
    '["p", 1, "i-1", [17], [], ""]',
    '["p", 1, "i-1", 17, 5, ""]',
    '["p", 1, "i-1", 17, [[1]], ""]',
    '["p", 1, "i-1", 17, [], {}]',
    '["?", 1, "i-1", 17, [], ""]',
)


def list_malformed_progress() -> list[bytes]:
    """Return progress rows that cannot be used."""
    values = list(MALFORMED_DOCUMENTS)
    values += [
        encode_raw(PROGRESS, tasks=f'{{"0.0.0": {task}}}')
        for task in ODD_TASKS
    ]
    values += [
        encode_raw(PROGRESS, tasks=f'{{"{name}": {json.dumps(TASK)}}}')
        for name in ("", "0", "0.0", "0.0.0.0", "0.0.-1", "0.9.0", "9.0.0")
    ]
    values += [
        encode_raw(PROGRESS, tasks=text) for text in ("7", "null", "[1]")
    ]
    values += [encode_raw(PROGRESS, ended=text) for text in ("7", '"odd"')]
    values += [
        encode_raw({**PROGRESS, "ended": "completed"}, ended_ms=text)
        for text in MALFORMED_NUMBERS
    ]
    return values


def list_malformed_submissions() -> list[bytes]:
    """Return intake rows that cannot be used."""
    row = json.loads(encode_submission(QUEUE, 1, BODY))
    values = list(MALFORMED_DOCUMENTS)
    values += [encode_raw(row, accepted_ms=text) for text in MALFORMED_NUMBERS]
    values += [
        encode_raw(
            row, queue=encode_raw(row["queue"], **{name: text}).decode()
        )
        for name in ("priority", "max_attempts", "stretch")
        for text in MALFORMED_NUMBERS
        if text != "-1"
    ]
    values += [
        encode_raw(row, queue=encode_raw(row["queue"], name=text).decode())
        for text in MALFORMED_TEXTS
    ]
    values += [
        encode_raw(row, **{name: text})
        for name in ("queue", "body")
        for text in ("7", "null", "[]", '"\\ud800"')
    ]
    return values


class LoadTest(LeaderRowsTest):
    """A leader loads beside unreadable jobs and progress rows."""

    # Guards against a job, or its progress, that keeps each new leader from
    # loading, or each planning round from ending.
    def test_unreadable_jobs_are_set_aside(self) -> None:
        odd = list_malformed_progress()
        for number, value in enumerate(odd):
            name = f"{number:016x}"
            submission = encode_submission(QUEUE, 1, BODY)
            self.write_row(build_job_key(name), submission)
            self.write_row(FIRST_NAMES.build_progress_key(name), value)
        for number, value in enumerate(list_malformed_submissions()):
            self.write_row(build_job_key(f"a{number:015x}"), value)
        self.write_row(
            build_job_key("f" * 16), encode_submission(QUEUE, 1, BODY)
        )
        self.assertTrue(self.leader.load())
        self.assertEqual(list(self.tracker.active), ["f" * 16])
        self.assertEqual(len(self.tracker.jobs), len(odd) + 1)

    # Guards against rows behind an unreadable one that are never applied.
    def test_jobs_behind_an_unreadable_row_are_followed(self) -> None:
        self.assertTrue(self.leader.load())
        for number, value in enumerate(list_malformed_submissions()):
            self.write_row(build_job_key(f"a{number:015x}"), value)
        self.write_row(
            build_job_key("f" * 16), encode_submission(QUEUE, 1, BODY)
        )
        self.leader._feeds[0]._step()
        self.assertEqual(list(self.tracker.jobs), ["f" * 16])

    def test_an_error_for_one_job_does_not_reach_the_others(self) -> None:
        restored = self.tracker.restore_job

        def fail_once(submission: Any, progress: bytes | None) -> None:
            if submission.job == "a" * 16:
                raise RuntimeError("cannot be restored")
            restored(submission, progress)

        for name in ("a" * 16, "b" * 16):
            submission = encode_submission(QUEUE, 1, BODY)
            self.write_row(build_job_key(name), submission)
        setattr(self.tracker, "restore_job", fail_once)  # noqa: B010
        with self.assertLogs("chestnutstair.scheduling.leader", "ERROR"):
            self.assertTrue(self.leader.load())
        self.assertEqual(list(self.tracker.jobs), ["b" * 16])


class RowReadersTest(unittest.TestCase):
    """Decoders of stored rows return or raise nothing but their failure."""

    def test_progress(self) -> None:
        for value in list_malformed_progress():
            try:
                _read_progress_state(value)
            except MalformedFieldError:
                continue

    def test_submissions(self) -> None:
        codec = PlatformSubmissions()
        for value in list_malformed_submissions():
            with self.subTest(value=value[:200]):
                self.assertTrue(decode_submission("j", value, codec).is_err())
                read_owner(value)

    def test_terms(self) -> None:
        for value in MALFORMED_DOCUMENTS:
            self.assertEqual(read_term(value, 5), TermRow("", "", 5, 0))

    def test_layouts_and_parts_of_waves(self) -> None:
        for text in MALFORMED_NUMBERS:
            shards = encode_raw({}, shards=text)
            self.assertIsNone(read_layout(shards), text)
            for parts in (
                encode_raw({"vms": [1]}, cap=text),
                encode_raw({"cap": 1}, vms=f"[{text}]"),
                encode_raw({"cap": 1}, vms=text),
            ):
                if parts != b'{"cap": 1, "vms": []}' and text != "[7]":
                    self.assertIsNone(read_wave_parts(parts), parts[:50])
        for value in MALFORMED_DOCUMENTS:
            self.assertIsNone(read_layout(value))
            self.assertIsNone(read_wave_parts(value))


class FleetRowsTest(unittest.TestCase):
    """The fleet controller loads beside unreadable rows of its own."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()

    def write(self, table: str, key: str, value: bytes) -> None:
        row = RowKey(table, FIRST_NAMES.partition, key)
        deadline = Deadline.after(self.clock, 1.0)
        self.store.commit([], [RowWrite(row, value)], deadline).unwrap()

    # Guards against a thread of the fleet controller that ends while it
    # loads, in each term: no pool changes any more.
    def test_unreadable_orders(self) -> None:
        odd = list(MALFORMED_DOCUMENTS[1:])
        for name in ("at", "wave", "service"):
            texts = MALFORMED_TEXTS if name == "service" else MALFORMED_NUMBERS
            order = {"at": 1.0, "service": "boxes", "wave": 0}
            odd += [encode_raw(order, **{name: text}) for text in texts]
        for number, value in enumerate(odd):
            self.write(ORDER_TABLE, f"vm-{number}", value)
        at = self.clock.now - 1.0
        good = {"at": at, "service": "boxes", "wave": 3}
        self.write(ORDER_TABLE, "vm-good", encode_raw(good))
        unused: Any = None
        history = VmOrderHistory(unused, self.store, self.clock, 3.0, 2.5)
        self.assertTrue(history.load())
        (found,) = history.unfinished_maintenance
        self.assertEqual((found.vm, found.wave), ("vm-good", 3))
        # It may have been ordered just now.
        for number in range(len(odd)):
            vm = f"vm-{number}"
            self.assertFalse(history.is_interval_over(vm, self.clock.now))
            later = self.clock.now + 4.0
            self.assertTrue(history.is_interval_over(vm, later))

    def test_unreadable_progress_of_waves(self) -> None:
        for number, value in enumerate(MALFORMED_DOCUMENTS):
            self.write(MAINTENANCE_TABLE, f"{number}/", value)
        for key in ("", "x/", "x/vm-1", "1e400/vm-1", "9" * 5000 + "/vm"):
            self.write(MAINTENANCE_TABLE, key, b"{}")
        for text in MALFORMED_NUMBERS:
            value = encode_raw({}, known_at=text)
            self.write(MAINTENANCE_TABLE, "90/", value)
        self.write(MAINTENANCE_TABLE, "99/vm-1", b"{}")
        unused: Any = None
        progress = WaveProgress(unused, self.store, self.clock)
        self.assertTrue(progress.load())
        self.assertEqual(progress._begun, {(99, "vm-1")})


class StoreAnswerTest(unittest.TestCase):
    """Answers of the store are decoded or returned as failures."""

    def setUp(self) -> None:
        client = PlatformClient("http://store:80", "", "", CLOCK)
        self.store = PlatformRowStore(client)
        self.pages: list[bytes] = []
        self.status = 200
        patched = mock.patch.object(PlatformClient, "send", self.answer)
        patched.start()
        self.addCleanup(patched.stop)

    def answer(self, *_: Any) -> Any:
        return Ok(AnswerStub(self.pages.pop(0), self.status))

    def read(self, *pages: bytes) -> Result[Changes, Any]:
        self.pages = list(pages)
        deadline = Deadline.after(CLOCK, 1.0)
        return self.store.read("t", "", deadline)

    def follow(self, page: bytes) -> Result[Changes, Any]:
        self.pages = [page]
        deadline = Deadline.after(CLOCK, 1.0)
        return self.store.follow("t", 7, 0.0, deadline)

    def commit(self, page: bytes) -> Any:
        self.pages = [page]
        return self.store.commit([], [], Deadline.after(CLOCK, 1.0))

    # Guards against one row for which no change is read any more.
    def test_an_unreadable_row_does_not_hide_the_others(self) -> None:
        good = {"table": "t", "key": "k", "value": "eA==", "ver": 8}
        expected = Row(RowKey("t", "", "k"), b"x", 8)
        for row in (
            "7",
            "null",
            "[]",
            "{}",
            encode_raw(good, key="7").decode(),
            encode_raw(good, table="[]").decode(),
            encode_raw(good, part="null").decode(),
            encode_raw(good, ver="1e400").decode(),
            encode_raw(good, ver='"8"').decode(),
        ):
            page = f'{{"rows": [{row}, {json.dumps(good)}], "ver": 9}}'
            for changes in (
                self.read(page.encode()),
                self.follow(page.encode()),
            ):
                self.assertEqual(changes.unwrap().rows, (expected,), row)
                self.assertEqual(changes.unwrap().version, 9)

    # Guards against a row that is taken for a removed one.
    def test_an_unreadable_value_is_empty(self) -> None:
        row = {"table": "t", "key": "k", "ver": 8}
        for text in ("7", "null", "[]", '"a"', '"\\u0141"', "1e400"):
            value = encode_raw(row, value=text).decode()
            page = f'{{"rows": [{value}], "ver": 9}}'.encode()
            (read,) = self.read(page).unwrap().rows
            self.assertEqual(read.value, b"", text)

    def test_unreadable_pages_are_failures(self) -> None:
        for page in (
            *(
                encode_raw({"rows": []}, ver=text)
                for text in MALFORMED_NUMBERS
            ),
            *(
                encode_raw({"ver": 1}, rows=text)
                for text in ("7", "null", "{}")
            ),
        ):
            for answer in (self.read(page), self.follow(page)):
                failure = answer.unwrap_err()
                self.assertIsInstance(failure, UnavailableFailure, page[:99])

    # Guards against a read without an end.
    def test_pages_that_lead_nowhere_are_failures(self) -> None:
        row = {"table": "t", "key": "k", "value": "", "ver": 8}
        page = encode_raw({"rows": [row], "ver": 9, "morePages": True})
        self.assertTrue(self.read(page, page, page).is_err())
        empty = encode_raw({"rows": [], "ver": 9, "morePages": True})
        self.assertTrue(self.read(page, empty).is_err())

    # Guards against a write that counts as not done although it is.
    def test_a_write_without_a_readable_version_is_in_doubt(self) -> None:
        for text in MALFORMED_NUMBERS:
            failure = self.commit(encode_raw({}, ver=text)).unwrap_err()
            self.assertIsInstance(failure, UnknownOutcomeFailure, text[:20])
        self.status = 412
        failure = self.commit(b'{"rows": 7}').unwrap_err()
        self.assertIsInstance(failure, UnknownOutcomeFailure)
        failure = self.commit(b'{"rows": [7]}').unwrap_err()
        self.assertEqual(failure, ConditionFailure(()))
