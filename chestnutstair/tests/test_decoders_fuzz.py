"""Decoders of what others write raise nothing but their stated failure."""

import json
import logging
import math
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from result import Ok, Result

from chestnutstair.platform import (
    PlatformDecoder,
    PlatformRowStore,
    PlatformSubmissions,
    PlatformVmControl,
    PlatformWorkerControl,
    RunnerSettings,
)
from chestnutstair.platform.decoding import read_submission
from chestnutstair.scheduling.access import read_owner
from chestnutstair.scheduling.intake import (
    decode_submission,
    encode_submission,
)
from chestnutstair.scheduling.ports import HoldAnswer
from chestnutstair.scheduling.progress import JobRecord
from chestnutstair.scheduling.shards.layout import read_layout
from chestnutstair.scheduling.shards.wave_parts import read_wave_parts
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.term import TermRow, read_term
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.state.fields import MAX_NUMBER
from chestnutstair.tests.malformed_values import (
    MALFORMED_DOCUMENTS,
    MALFORMED_NUMBERS,
    MALFORMED_TEXTS,
)
from chestnutstair.tests.scheduling_support import (
    TrackerHarness,
    build_entry,
    build_submission,
)
from chestnutstair.tests.test_intake import BODY, QUEUE
from chestnutstair.tests.test_malformed_answers import AnswerStub
from chestnutstair.transport.leader_calls import HttpLeaderLink
from chestnutstair.transport.platform_client import PlatformClient

CLOCK = SystemClock()
ENTRY = {
    "service": "boxes",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "state": "ready",
    "born": 17,
    "capacity": {"cpu": 64000, "memMb": 1000, "gpu": 0},
    "labels": ["a", "r1-2"],
    "machine": "m-1",
}
CONFIGURATION = {
    "version": 5,
    "routes": [
        {
            "name": "quick",
            "host": "example",
            "prefix": "/quick/",
            "service": "boxes",
            "priority": 1,
            "maxAttempts": 2,
            "stretch": 1.6,
            "targetLatencyMs": 600,
            "advice": {"validMs": 3000},
        }
    ],
    "services": [{"name": "boxes"}],
    "tenants": [
        {"name": "a", "weight": 2, "cap": {"cpu": 1}, "apiKeys": ["k"]}
    ],
}
WAVE = {"wave": 3, "machines": ["m-1"], "durationS": 20, "cap": 1}
JOB = {
    "spec": "x",
    "steps": [{"count": 2, "cpu": 500, "after": [], "mayMiss": 1}],
    "repeats": 1,
    "initialDelayMs": 5,
    "intervalMs": 5,
}
HOLD = {
    "clockMs": 5,
    "born": 1,
    "running": [["j.0.0.0", 1, "saved", 41, 500]],
    "finished": [[1, "j.0.0.0", 1, "done", ""]],
}
VMS = {
    "machines": [
        {
            "machine": "m-1",
            "pool": "boxes",
            "state": "up",
            "labels": ["a", "r1"],
            "capacity": {"cpu": 64000},
            "id": "i-1",
        }
    ],
    "nextToken": "",
}
ROWS = {
    "rows": [{"table": "t", "key": "k", "value": "eA==", "ver": 8}],
    "ver": 9,
    "morePages": False,
}
STATUS = {
    "leading": True,
    "epoch": 3,
    "age_seconds": 0.1,
    "configuration_version": 7,
    "leader_address": "a:1",
    "members": ["b:1"],
    "poll_seconds": 0.5,
    "leaders": [],
    "state": "queued",
    "pending": 1,
    "counts": {"q": 1},
    "known": True,
    "owner": {"organisation": "", "queue": "q", "public": True},
    "good": [["w1", "t"]],
}
PROGRESS = {
    "ended": "completed",
    "ended_ms": 5,
    "tasks": {"0.0.0": ["p", 1, "i-1", 17, [1], "saved"]},
    "vms": {"i-1": "m-1"},
    "crashes": {"0.0.0": [[1], True]},
}
# JSON texts that replace a value anywhere in a document.
REPLACEMENTS = st.one_of(
    st.sampled_from((*MALFORMED_NUMBERS, *MALFORMED_TEXTS)),
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=5,
    ).map(json.dumps),
)
SEVERAL = settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
MARK = "@mark@"


def list_paths(
    value: Any, path: tuple[Any, ...] = ()
) -> list[tuple[Any, ...]]:
    """Return the paths of all values in a document."""
    paths = [path]
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        paths += list_paths(item, (*path, key))
    return paths


def replace_value(
    document: Any, path: tuple[Any, ...], text: str | None
) -> bytes:
    """Encode a document with one value replaced, or removed for None."""
    if not path:
        return b"" if text is None else text.encode("utf-8", "replace")
    copied = json.loads(json.dumps(document))
    target = copied
    for key in path[:-1]:
        target = target[key]
    if text is None:
        del target[path[-1]]
        return json.dumps(copied).encode()
    target[path[-1]] = MARK
    encoded = json.dumps(copied)
    return encoded.replace(json.dumps(MARK), text).encode("utf-8", "replace")


def mutate(document: Any) -> st.SearchStrategy[bytes]:
    """Return documents with up to one odd value, and other bytes."""
    return st.one_of(
        st.binary(max_size=50),
        st.sampled_from(MALFORMED_DOCUMENTS),
        st.builds(
            replace_value,
            st.just(document),
            st.sampled_from(list_paths(document)),
            st.none() | REPLACEMENTS,
        ),
    )


class DecodersFuzzTest(unittest.TestCase):
    """Documents of others with one odd value, and any bytes."""

    def setUp(self) -> None:
        self.data = b""
        self.status = 200
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        patched = mock.patch.object(
            PlatformClient,
            "send",
            lambda *_: Ok(AnswerStub(self.data, self.status)),
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.decoder = PlatformDecoder()
        client = PlatformClient("http://platform:80", "", "", CLOCK)
        self.store = PlatformRowStore(client)
        self.vms = PlatformVmControl(client, CLOCK)
        self.workers = PlatformWorkerControl(
            CLOCK, "advice:80", RunnerSettings()
        )
        self.link = HttpLeaderLink(CLOCK, lambda shard: "node:1")

    def call(
        self, data: bytes, *calls: Callable[[], Result[Any, Any]]
    ) -> None:
        self.data = data
        for call in calls:
            self.assertIsInstance(call().is_ok(), bool)

    @SEVERAL
    @given(mutate(ENTRY), st.just("i-1") | st.text(max_size=5))
    def test_registry_entries(self, value: bytes, name: str) -> None:
        entry = self.decoder.read_worker(name, value)
        problem = self.decoder.explain_worker(name, value)
        self.assertEqual(entry is None, bool(problem))
        self.assertLess(len(problem), 300)
        if entry is not None:
            for amount in (entry.millicores, entry.memory_mb, entry.born_ms):
                self.assertTrue(type(amount) is int and amount >= 0)
            entry.name.encode("ascii")
            harness = TrackerHarness(())
            harness.tracker.apply_worker_entry(entry)

    @SEVERAL
    @given(mutate(CONFIGURATION))
    def test_configurations(self, value: bytes) -> None:
        configuration = self.decoder.read_configuration(value)
        passed_on = self.decoder.remove_keys(value)
        if configuration is not None:
            read = self.decoder.read_configuration(passed_on)
            self.assertEqual(read, configuration)
            for queue in configuration.queues:
                self.assertTrue(math.isfinite(queue.compute_objective_ms(1.0)))

    @SEVERAL
    @given(mutate(WAVE))
    def test_waves(self, value: bytes) -> None:
        wave = self.decoder.read_wave(value)
        if wave is not None:
            self.assertTrue(0 <= wave.seconds <= MAX_NUMBER)
            self.assertTrue(0 <= wave.cap <= MAX_NUMBER)

    @SEVERAL
    @given(mutate(JOB))
    def test_submissions(self, value: bytes) -> None:
        match read_submission(value):
            case Ok(_):
                row = encode_submission(QUEUE, 1, value)
                codec = PlatformSubmissions()
                self.assertTrue(decode_submission("j", row, codec).is_ok())

    @SEVERAL
    @given(mutate(json.loads(encode_submission(QUEUE, 1, BODY))))
    def test_intake_rows(self, value: bytes) -> None:
        codec = PlatformSubmissions()
        if decode_submission("j", value, codec).is_ok():
            self.assertIsNotNone(read_owner(value))

    @SEVERAL
    @given(mutate(PROGRESS))
    def test_progress(self, value: bytes) -> None:
        harness = TrackerHarness(())
        submission = build_submission("j", [Step(2, 1000)])
        harness.tracker.restore_job(submission, value)
        harness.plan()
        harness.tracker.jobs["j"].encode()
        self.assertIsInstance(harness.tracker.jobs["j"], JobRecord)

    @SEVERAL
    @given(mutate(vars(TermRow("n", "n:1", 1, 2, 3.0))))
    def test_terms_and_layouts(self, value: bytes) -> None:
        row = read_term(value, 5)
        assert row is not None
        self.assertEqual(read_term(row.encode(), 5), row)
        read_layout(value)
        read_wave_parts(value)

    @SEVERAL
    @given(mutate(HOLD), st.sampled_from((200, 400, 409, 421, 503)))
    def test_answers_of_workers(self, data: bytes, status: int) -> None:
        self.status = status
        worker = build_entry("w1")
        self.call(data, lambda: self.workers.stop(worker, "j.0.0.0", 1, 1))
        answer = self.workers.hold(worker, 1, 0, None, 0.0)
        if answer.is_ok():
            harness = TrackerHarness(("w1",))
            hold: HoldAnswer = answer.unwrap()
            state = harness.get_worker("w1")
            harness.tracker.apply_hold_answer(state, hold, harness.clock.now)
            harness.tracker.list_stop_requests()

    @SEVERAL
    @given(mutate(VMS))
    def test_lists_of_vms(self, data: bytes) -> None:
        self.call(data, self.vms.list_vms)

    @SEVERAL
    @given(mutate(ROWS), st.sampled_from((200, 410, 412, 429)))
    def test_answers_of_the_store(self, data: bytes, status: int) -> None:
        self.status = status
        deadline = Deadline.after(CLOCK, 1.0)
        self.call(
            data,
            lambda: self.store.read("t", "", deadline),
            lambda: self.store.follow("t", 1, 0.0, deadline),
            lambda: self.store.commit([], [], deadline),
        )

    @SEVERAL
    @given(mutate(STATUS))
    def test_answers_of_nodes_and_of_the_policy_service(
        self, data: bytes
    ) -> None:
        self.call(
            data,
            lambda: self.link.ask_status("node:1", 1.0),
            lambda: self.link.ask_configuration("node:1", 1.0),
            lambda: self.link.ask_job_state("j", 1.0),
            lambda: self.link.ask_job_owner("j", 1.0),
            lambda: self.link.ask_pending_count("q", 1.0),
            lambda: self.link.ask_pending_counts(0, 1.0),
            lambda: self.link.relay_cancel("j", 1.0),
            lambda: self.workers.advise("j.0.0", ["w1"]),
        )
