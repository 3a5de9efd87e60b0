"""Malformed requests and answers of nodes and callers end no thread."""

import base64
import io
import json
import threading
import unittest
from typing import Any
from unittest import mock

from result import Ok

from chestnutstair.platform import build_requester_application
from chestnutstair.platform.requesters import (
    ANSWER_MARGIN_SECONDS,
    DEFAULT_TIMEOUT_SECONDS,
    MAX_TIMEOUT_SECONDS,
)
from chestnutstair.scheduling.job_requests import Outcome
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.members import Members
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests import test_orders
from chestnutstair.tests.malformed_values import (
    MALFORMED_DOCUMENTS,
    MALFORMED_NUMBERS,
    MALFORMED_TEXTS,
    encode_raw,
    nest,
)
from chestnutstair.tests.scheduling_support import CONFIGURATION
from chestnutstair.tests.support import ManualClock, wait_until
from chestnutstair.tests.test_malformed_answers import AnswerStub
from chestnutstair.transport.leader_calls import (
    MAX_POLL_SECONDS,
    HttpLeaderLink,
    build_node_application,
)
from chestnutstair.transport.platform_client import PlatformClient

QUEUE = CONFIGURATION.queues[0]
STATUS: dict[str, Any] = {
    "leading": True,
    "epoch": 3,
    "age_seconds": 0.1,
    "configuration_version": 7,
    "leader_address": "a:1",
    "members": ["b:1"],
    "poll_seconds": 0.5,
    "leaders": [],
}
# Those that int() accepts are accepted, as they were before. A body has at
# most 32 KB.
REFUSED_NUMBERS = [
    text
    for text in (*MALFORMED_NUMBERS, nest(10_000))
    if text not in ("true", "false", "null", '"7"', "[]", "{}")
    and len(text) < 30_000
]


class RecordingHandler:
    """Accepts submissions and records their deadlines."""

    def __init__(self) -> None:
        self.deadlines: list[Deadline] = []

    def submit(
        self, queue: Any, job: str, body: bytes, deadline: Deadline, *_: Any
    ) -> Outcome:
        """Accept a job that can be stored as text."""
        body.decode()
        self.deadlines.append(deadline)
        return Outcome()


class CallerTest(unittest.TestCase):
    """Callers get an answer whatever they send."""

    def setUp(self) -> None:
        self.handler = RecordingHandler()
        handler: Any = self.handler
        self.application = build_requester_application(
            handler, lambda: CONFIGURATION, lambda: False, ManualClock(0.0)
        )

    def post(self, body: bytes, **headers: str) -> str:
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": "POST",
            "HTTP_HOST": QUEUE.host,
            "PATH_INFO": f"{QUEUE.prefix}0123456789abcdef",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            **headers,
        }
        self.application(environ, lambda status, _: statuses.append(status))
        return statuses[0]

    # Guards against an error in place of an answer, after which the caller
    # tries the next node.
    def test_jobs_with_malformed_numbers_are_refused(self) -> None:
        job = {"spec": "x", "steps": [{"count": 1}]}
        for text in REFUSED_NUMBERS:
            bodies = [
                encode_raw(job, **{name: text})
                for name in ("repeats", "initialDelayMs", "intervalMs")
            ]
            for name in ("count", "cpu", "memMb", "gpu", "estimateMs"):
                step = encode_raw({"count": 1}, **{name: text}).decode()
                bodies.append(encode_raw(job, steps=f"[{step}]"))
            after = f'{{"count": 1, "after": [{text}]}}'
            bodies.append(encode_raw(job, steps=f"[{after}]"))
            for body in bodies:
                with self.subTest(body=body[:200]):
                    self.assertEqual(self.post(body), "400 Bad Request")
        self.assertEqual(self.handler.deadlines, [])

    def test_bodies_that_are_no_text_are_refused(self) -> None:
        job = json.dumps({"spec": "x", "steps": [{"count": 1}]})
        for body in (
            *MALFORMED_DOCUMENTS,
            b"\xff\xfe" + job.encode("utf-16-le"),
            job.replace("x", "\ud800").encode("utf-8", "surrogatepass"),
        ):
            status = self.post(body)
            # The largest of them exceed the limit of the body's length.
            self.assertIn(status[:3], ("400", "413"), body[:50])

    # Guards against a wait that cannot be computed, or that keeps a thread
    # of the server for hours.
    def test_timeouts_are_bounded(self) -> None:
        body = json.dumps({"spec": "x", "steps": [{"count": 1}]}).encode()
        default = DEFAULT_TIMEOUT_SECONDS
        for text, seconds in (
            ("2000", 2.0),
            ("0", 0.0),
            ("1e400", default),
            ("-5", default),
            ("\xb2", default),
            ("\u0663", default),
            ("NaN", default),
            ("", default),
            ("9" * 12, MAX_TIMEOUT_SECONDS),
            ("9" * 400, MAX_TIMEOUT_SECONDS),
            ("9" * 5000, MAX_TIMEOUT_SECONDS),
        ):
            with self.subTest(text=text[:20]):
                headers = {"HTTP_X_CHESTNUTSTAIR_TIMEOUT_MS": text}
                self.assertEqual(self.post(body, **headers), "200 OK")
                deadline = self.handler.deadlines[-1]
                self.assertEqual(deadline.at, seconds - ANSWER_MARGIN_SECONDS)

    def test_lengths_that_are_no_number(self) -> None:
        body = json.dumps({"spec": "x", "steps": [{"count": 1}]}).encode()
        for length in ("\xb2", "9" * 5000, "-1", "1e400"):
            status = self.post(body, CONTENT_LENGTH=length)
            self.assertIn(status[:3], ("200", "413"), length[:20])


class NodeAnswerTest(unittest.TestCase):
    """Answers of other nodes are decoded or returned as failures."""

    def setUp(self) -> None:
        self.data = b"{}"
        self.link = HttpLeaderLink(SystemClock(), lambda shard: "node:1")
        patched = mock.patch.object(PlatformClient, "send", self.answer)
        patched.start()
        self.addCleanup(patched.stop)

    def answer(self, *_: Any) -> Any:
        return Ok(AnswerStub(self.data, 200))

    # Guards against an error, or an endless pause, in each check of the
    # leader: no node would take over from it.
    def test_malformed_statuses_are_failures(self) -> None:
        numbers = ("epoch", "age_seconds", "configuration_version")
        values = [
            encode_raw(STATUS, **{name: text})
            for name in (*numbers, "poll_seconds")
            for text in MALFORMED_NUMBERS
        ]
        values += [
            encode_raw(STATUS, **{name: text})
            for name in ("members", "leaders")
            for text in ("7", "null", '"a"', "{}")
        ]
        values += [encode_raw(STATUS, leading=text) for text in ("1", "null")]
        values += [
            encode_raw(STATUS, leader_address=text) for text in MALFORMED_TEXTS
        ]
        for value in (*values, *MALFORMED_DOCUMENTS):
            with self.subTest(value=value[:200]):
                self.data = value
                self.assertTrue(self.link.ask_status("node:1", 1.0).is_err())

    def test_a_pause_between_polls_is_bounded(self) -> None:
        self.data = encode_raw(STATUS, poll_seconds="1e15", members='[7, "c"]')
        status = self.link.ask_status("node:1", 1.0).unwrap()
        self.assertEqual(status.poll_seconds, MAX_POLL_SECONDS)
        self.assertEqual(status.members, ("c",))

    # Guards against an error in the answer to a caller.
    def test_other_malformed_answers_are_failures(self) -> None:
        bodies = [value for value in MALFORMED_DOCUMENTS if value]
        for name in ("state", "pending", "counts", "known", "owner"):
            for text in ("[]", "7.5", '{"a": 1e400}', '{"a": "b"}', "1e400"):
                bodies.append(encode_raw({}, **{name: text}))
        link = self.link
        for body in (b"", b"{}", *bodies):
            self.data = body
            with self.subTest(body=body[:200]):
                for answer in (
                    link.ask_job_state("j", 1.0),
                    link.ask_pending_count("q", 1.0),
                    link.ask_pending_counts(0, 1.0),
                    link.relay_cancel("j", 1.0),
                    link.ask_job_owner("j", 1.0),
                ):
                    self.assertTrue(answer.is_err())

    # Guards against messages that are sent no more after one that fails.
    def test_messages_go_on_after_an_error(self) -> None:
        sent = threading.Semaphore(0)

        def fail(*_: Any) -> Any:
            sent.release()
            raise RuntimeError("unexpected")

        with mock.patch.object(PlatformClient, "send", fail):
            for job in ("a", "b"):
                self.link.notify_cancelled(job)
                self.assertTrue(sent.acquire(timeout=10.0), job)


class NodeCallTest(unittest.TestCase):
    """Malformed calls of other nodes are answered."""

    def call(self, method: str, path: str, body: bytes, query: str) -> str:
        statuses: list[str] = []
        unused: Any = mock.MagicMock()
        clock = SystemClock()
        application = build_node_application(
            unused,
            lambda shard: None,
            lambda: b"{}",
            unused,
            clock,
            Members("a:1", clock),
        )
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        application(environ, lambda status, _: statuses.append(status))
        return statuses[0]

    def test_malformed_bodies_are_refused(self) -> None:
        value = base64.b64encode(b"x").decode()
        command = {"job": "j", "value": value, "shard": 0}
        bodies = list(MALFORMED_DOCUMENTS)
        bodies += [
            encode_raw(command, **{name: text})
            for name in ("job", "value")
            for text in MALFORMED_TEXTS
        ]
        bodies.append(encode_raw(command, value='"a"'))
        for path in ("/node/submit", "/node/stored", "/node/cancel"):
            for body in bodies:
                with self.subTest(path=path, body=body[:100]):
                    status = self.call("POST", path, body, "")
                    self.assertEqual(status, "400 Bad Request")

    def test_malformed_shards_name_none(self) -> None:
        for text in (*MALFORMED_NUMBERS, '"\\u00b2"', "7.5"):
            body = encode_raw({"job": "j"}, shard=text)
            status = self.call("POST", "/node/stored", body, "")
            self.assertIn(status[:3], ("400", "503"), text[:20])
        for text in ("9" * 5000, "-1", "%C2%B2", "1e400", ""):
            status = self.call("GET", "/node/pending", b"", f"shard={text}")
            self.assertEqual(status[:3], "503")


class OrderErrorTest(unittest.TestCase):
    """An error in the thread of an order is logged."""

    # Guards against errors that nobody sees, as the pool keeps them.
    def test_an_error_of_an_order_is_logged(self) -> None:
        case = test_orders.OrderOutcomeTest()
        case.setUp()
        self.addCleanup(case.doCleanups)
        name = "chestnutstair.scheduling.orders"
        unusable: Any = None
        with self.assertLogs(name, "ERROR") as logs:
            case.orders.submit_start(unusable)
            wait_until(lambda: logs.records)
        self.assertIsInstance(case.leadership, Leadership)
