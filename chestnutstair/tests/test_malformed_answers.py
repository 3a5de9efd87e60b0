"""Answers that cannot be used end neither the calls nor the threads.

One worker, or the policy service, answers with values that the protocol does
not allow. Each leader meets the same answer.
"""

import json
import threading
import unittest
from collections.abc import Mapping
from typing import Any
from unittest import mock

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.platform import PlatformWorkerControl, RunnerSettings
from chestnutstair.scheduling.advice import AdviceCache
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    RunListing,
    StartOrder,
    StartRefusedFailure,
)
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.malformed_values import (
    MALFORMED_DOCUMENTS,
    MALFORMED_NUMBERS,
    MALFORMED_TEXTS,
    encode_raw,
)
from chestnutstair.tests.scheduling_support import build_entry
from chestnutstair.transport.platform_client import (
    PlatformClient,
    PlatformClientSettings,
    connect_to_address,
)

CLOCK = SystemClock()
ORDER = StartOrder("j.0.0.0", 1, "payload", 1000, 1)
RUN = ["j.0.0.0", 1, "saved", 41, 500]
# Without those that make the whole answer unreadable.
DECODABLE_NUMBERS = [text for text in MALFORMED_NUMBERS if len(text) < 1000]
END = [1, "j.0.0.0", 1, "done", ""]


class AnswerStub:
    """The status and body of an answer."""

    def __init__(self, data: bytes, status: int) -> None:
        self.data = data
        self.status = status


class ScriptedClient:
    """Answers each call with the body set by the test."""

    def __init__(self) -> None:
        self.data = b"{}"
        self.status = 200

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        deadline: Deadline,
        headers: Mapping[str, str] | None = None,
    ) -> Result[AnswerStub, Any]:
        """Return the scripted answer."""
        return Ok(AnswerStub(self.data, self.status))


def encode_row(row: list[Any], position: int, text: str) -> str:
    """Encode a list with one value replaced by JSON text."""
    parts = [json.dumps(value) for value in row]
    parts[position] = text
    return f"[{', '.join(parts)}]"


def list_malformed_holds() -> list[bytes]:
    """Return answers to a hold call that cannot be used."""
    answer = {"clockMs": 5, "born": 1, "running": [RUN], "finished": [END]}
    values = [value for value in MALFORMED_DOCUMENTS if value]
    values += [
        encode_raw(answer, **{name: text})
        for name in ("clockMs", "born")
        for text in MALFORMED_NUMBERS
    ]
    values += [
        encode_raw(answer, **{name: text})
        for name in ("running", "finished")
        for text in ("7", "null", '"abcde"', "{}", "[7]", '["abcde"]', "[[]]")
    ]
    kinds = {
        "running": (RUN, {0: "text", 1: "number", 2: "text", 3: "number"}),
        "finished": (
            END,
            {0: "number", 1: "text", 2: "number", 3: "text", 4: "text"},
        ),
    }
    for name, (row, types) in kinds.items():
        for position, kind in types.items():
            texts = MALFORMED_TEXTS if kind == "text" else MALFORMED_NUMBERS
            values += [
                encode_raw(
                    answer, **{name: f"[{encode_row(row, position, text)}]"}
                )
                for text in texts
                # A share of a run may be any number.
                if not (name == "running" and position == 3 and text == "-1")
            ]
    values += [
        encode_raw(answer, running=f"[{encode_row(RUN, 4, text)}]")
        for text in ("NaN", "1e400", '"7"', "null", "true", "[]")
    ]
    values.append(
        encode_raw(
            answer, finished=f"[{encode_row(END, 3, json.dumps('odd'))}]"
        )
    )
    return values


class WorkerAnswerTest(unittest.TestCase):
    """Each answer is decoded or returned as a failure."""

    def setUp(self) -> None:
        self.control = PlatformWorkerControl(
            CLOCK, "advice:80", RunnerSettings()
        )
        self.client = ScriptedClient()
        patched = mock.patch.object(PlatformClient, "send", self.client.send)
        patched.start()
        self.addCleanup(patched.stop)
        self.worker = build_entry("w1")

    def hold(self, data: bytes) -> Result[HoldAnswer, Any]:
        self.client.data = data
        return self.control.hold(self.worker, 1, 0, None, 0.0)

    def test_a_valid_answer_is_read(self) -> None:
        fields = {"clockMs": 5, "born": 17, "running": [RUN, RUN[:4]]}
        answer = self.hold(encode_raw(fields)).unwrap()
        self.assertEqual((answer.clock_ms, answer.born_ms), (5, 17))
        listing = RunListing("j.0.0.0", 1, "saved", 41, 500)
        self.assertEqual(answer.runs[0], listing)
        self.assertEqual(answer.runs[1].gauge, 0)

    # Guards against an exception out of the call, which ended the worker's
    # session for good: its leases lapsed and its ends were not received.
    # A run that is left out of a listing would be started again elsewhere.
    def test_a_malformed_answer_to_a_hold_call_is_a_failure(self) -> None:
        for value in list_malformed_holds():
            with self.subTest(value=value[:200]):
                failure = self.hold(value).unwrap_err()
                self.assertIsInstance(failure, UnknownOutcomeFailure)

    # Guards against an order that counts as not sent although the worker has
    # carried it out.
    def test_the_clock_does_not_decide_the_outcome_of_an_order(self) -> None:
        for text in DECODABLE_NUMBERS:
            self.client.data = encode_raw({}, clockMs=text)
            with self.subTest(text=text):
                self.assertTrue(self.control.start(self.worker, ORDER).is_ok())
                stopped = self.control.stop(self.worker, "j.0.0.0", 1, 1)
                self.assertTrue(stopped.is_ok())

    # Guards against an exception in the thread of an order.
    def test_a_malformed_refusal_is_a_refusal(self) -> None:
        self.client.status = 409
        for text in MALFORMED_TEXTS:
            self.client.data = encode_raw({"clockMs": 5}, reason=text)
            with self.subTest(text=text[:20]):
                failure = self.control.start(self.worker, ORDER).unwrap_err()
                self.assertIsInstance(failure, StartRefusedFailure)
                self.assertIn("status 409", str(failure))
        for text in MALFORMED_NUMBERS:
            self.client.data = encode_raw({"reason": "old"}, clockMs=text)
            failure = self.control.start(self.worker, ORDER).unwrap_err()
            self.assertIsInstance(failure, StartRefusedFailure)

    # Guards against an exception that ends the thread of all advice calls, and
    # against one odd row that hides the other workers' tickets.
    def test_unusable_rows_of_advice_are_left_out(self) -> None:
        for text in ("7", "null", "[]", '["w2"]', '["w2", 7]', '[["w"], "t"]'):
            self.client.data = encode_raw({}, good=f'[["w1", "t"], {text}]')
            with self.subTest(text=text):
                answer = self.control.advise("j.0.0", ["w1"])
                self.assertEqual(answer.unwrap(), {"w1": "t"})
        for text in ("7", "null", '"w1"', "{}"):
            self.client.data = encode_raw({}, good=text)
            answer = self.control.advise("j.0.0", ["w1"])
            self.assertIsInstance(answer.unwrap_err(), UnavailableFailure)


class AddressTest(unittest.TestCase):
    """Calls to unusable addresses fail like those to unreachable ones."""

    # Guards against LocationParseError out of the place where the client is
    # built, in the thread of a session or an order.
    def test_an_unusable_address_is_a_failure(self) -> None:
        control = PlatformWorkerControl(CLOCK, "advice:80", RunnerSettings())
        for address in ("a:70000", "a:-1", "a b:80", "\ud800:80", "[::1"):
            worker = build_entry(address)
            with self.subTest(address=address):
                failure = control.start(worker, ORDER).unwrap_err()
                self.assertIsInstance(failure, UnavailableFailure)

    # Guards against an exception for a header that cannot be sent.
    def test_a_header_that_cannot_be_sent_is_a_failure(self) -> None:
        settings = PlatformClientSettings()
        client = connect_to_address("127.0.0.1:9", CLOCK, settings).unwrap()
        for text in ("a\r\nX-B: c", "\u0141", "\ud800"):
            deadline = Deadline.after(CLOCK, 1.0)
            answer = client.send("GET", "/", None, deadline, {"X-A": text})
            self.assertTrue(answer.is_err())

    def test_a_client_of_the_settings_still_rejects_its_address(self) -> None:
        with self.assertRaises(ValueError):
            PlatformClient("http://a:70000", "", "", CLOCK)


class AdviceThreadTest(unittest.TestCase):
    """The thread of the advice calls survives an error."""

    # Guards against tasks of queues with advice that wait for a whole term.
    def test_calls_go_on_after_an_error(self) -> None:
        answered = threading.Event()

        class FailingPolicy:
            """Raises an error once, then answers."""

            def __init__(self) -> None:
                self.calls = 0

            def advise(self, step: str, workers: list[str]) -> Any:
                """Return no tickets."""
                self.calls += 1
                if self.calls == 1:
                    raise RuntimeError("unexpected")
                answered.set()
                return Err(UnavailableFailure("busy"))

        policy: Any = FailingPolicy()
        advice = AdviceCache(policy, CLOCK)
        self.addCleanup(advice.close)
        thread = threading.Thread(
            target=advice.run, args=(lambda: None,), daemon=True
        )
        with self.assertLogs("chestnutstair.scheduling.advice", "ERROR"):
            advice.find_tickets("j.0.0", [("w1", 1)], 3.0)
            thread.start()
            while not answered.wait(0.2):
                advice.find_tickets("j.0.0", [("w1", 1)], 3.0)
                self.assertTrue(thread.is_alive())
