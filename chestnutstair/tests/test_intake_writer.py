"""Tests of storing submissions while one thing fails at a time."""

import threading
import unittest
from collections.abc import Callable
from typing import Any, cast

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.platform.requesters import build_requester_application
from chestnutstair.scheduling.access import Access
from chestnutstair.scheduling.intake import IntakeLayout
from chestnutstair.scheduling.intake.write_planner import WritePlanner
from chestnutstair.scheduling.intake.writer import IntakeWriter
from chestnutstair.scheduling.job_requests import (
    JobRequestHandler,
    JobRequestSettings,
    LeaderLink,
    Outcome,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.scheduling_support import CONFIGURATION
from chestnutstair.tests.support import wait_until
from chestnutstair.tests.test_job_requests import BODY, QUEUE, SilentLink

LAYOUT = IntakeLayout()


class GatedStore(MemoryRowStore):
    """A store whose commits wait until the test opens the gate."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = threading.Event()
        self.waiting = 0
        self.broken = False

    def commit(self, *arguments: Any) -> Any:
        """Commit once the gate is open."""
        if self.broken:
            self.broken = False
            raise RuntimeError("a fault of the client")
        self.waiting += 1
        self.gate.wait()
        return super().commit(*arguments)


class NodeView(MemoryRowStore):
    """A store as one node sees it: the test can make it refuse the node."""

    def __init__(self, store: MemoryRowStore) -> None:
        super().__init__()
        self._store = store

    def commit(self, *arguments: Any) -> Any:
        """Commit unless the store refuses this node."""
        if self.down:
            return Err(UnavailableFailure("status 503"))
        return self._store.commit(*arguments)

    def read(self, *arguments: Any) -> Any:
        """Read unless the store refuses this node."""
        if self.down:
            return Err(UnavailableFailure("status 503"))
        return self._store.read(*arguments)


class RelayingLink(SilentLink):
    """A link to a leader's node that stores what is relayed."""

    def __init__(self, leader: JobRequestHandler) -> None:
        super().__init__()
        self._leader = leader

    def relay_submission(
        self, job: str, value: bytes, seconds: float
    ) -> Result[None, PlatformFailure]:
        """Store the submission at the leader's node."""
        self.relayed.append(job)
        deadline = Deadline.after(SystemClock(), seconds)
        return self._leader.store_submission(job, value, deadline)


def start(action: Callable[[], Any]) -> tuple[threading.Thread, list[Any]]:
    """Run an action in a thread; the list gets its result."""
    results: list[Any] = []
    thread = threading.Thread(
        target=lambda: results.append(action()), daemon=True
    )
    thread.start()
    return thread, results


class IntakeWriterTest(unittest.TestCase):
    """Rows that arrive during a write share the next one."""

    def setUp(self) -> None:
        self.clock = SystemClock()
        self.store = GatedStore()
        self.writer = IntakeWriter(
            self.store, WritePlanner(lambda: 0.5), self.clock
        )
        self.addCleanup(self.writer.close)
        self.addCleanup(self.store.gate.set)

    def write(
        self, job: str, seconds: float = 5.0
    ) -> Result[None, PlatformFailure]:
        key = LAYOUT.build_job_key(job)
        deadline = Deadline.after(self.clock, seconds)
        return self.writer.write(key, b"{}", True, deadline)

    def start_write(self, job: str) -> tuple[threading.Thread, list[Any]]:
        return start(lambda: self.write(job))

    def count_queued(self) -> int:
        return self.writer._planner.queued_count

    def test_rows_that_arrive_during_a_write_share_the_next(self) -> None:
        threads = [self.start_write("first")]
        wait_until(lambda: self.store.waiting == 1)
        threads += [self.start_write(f"{number}") for number in range(20)]
        wait_until(lambda: self.count_queued() == 20)
        self.store.gate.set()
        for thread, results in threads:
            thread.join()
            self.assertEqual(results, [Ok(None)])
        self.assertEqual(self.store.commit_count, 2)

    def test_a_row_in_progress_is_not_sent_again(self) -> None:
        threads = [self.start_write("a")]
        wait_until(lambda: self.store.waiting == 1)
        threads.append(self.start_write("a"))
        self.assertEqual(self.count_queued(), 0)
        self.store.gate.set()
        for thread, results in threads:
            thread.join()
            self.assertEqual(results, [Ok(None)])
        self.assertEqual(self.store.commit_count, 1)

    def test_a_caller_in_a_hurry_learns_what_became_of_its_row(self) -> None:
        thread, _ = self.start_write("first")
        wait_until(lambda: self.store.waiting == 1)
        sent = self.write("first", seconds=0.1)
        self.assertIsInstance(sent.err(), UnknownOutcomeFailure)
        queued = self.write("second", seconds=0.1)
        self.assertIsInstance(queued.err(), UnavailableFailure)
        self.store.gate.set()
        thread.join()
        self.assertEqual(self.write("third"), Ok(None))
        self.assertEqual(self.store.commit_count, 2, "second was not sent")

    def test_nothing_is_answered_before_it_is_written(self) -> None:
        # A process that is killed with rows queued has told no caller that
        # they are accepted, and they are not in the store.
        self.start_write("first")
        wait_until(lambda: self.store.waiting == 1)
        _, results = self.start_write("second")
        wait_until(lambda: self.count_queued() == 1)
        self.assertEqual(results, [])
        self.assertEqual(self.store.version, 0)

    def test_an_idle_writer_starts_no_thread(self) -> None:
        # Handing a row to another thread and back takes 0.1 ms.
        self.store.gate.set()
        for number in range(5):
            self.assertEqual(self.write(f"{number}"), Ok(None))
        self.assertEqual(self.writer._threads, 0)

    def test_an_error_in_the_client_does_not_block_a_partition(self) -> None:
        self.store.gate.set()
        self.store.broken = True
        failed = self.write("a")
        self.assertIsInstance(failed.err(), UnknownOutcomeFailure)
        self.assertEqual(self.write("b"), Ok(None))


class StorageFaultsTest(unittest.TestCase):
    """An answer to a caller is true though the store fails."""

    def setUp(self) -> None:
        self.clock = SystemClock()
        self.store = MemoryRowStore()

    def build_handler(
        self, store: MemoryRowStore, link: LeaderLink | None = None
    ) -> JobRequestHandler:
        return JobRequestHandler(
            store,
            link or SilentLink(),
            lambda shard: None,
            lambda: False,
            self.clock,
            JobRequestSettings(),
        )

    def submit(
        self, handler: JobRequestHandler, job: str = "a"
    ) -> PlatformFailure | None:
        deadline = Deadline.after(self.clock, 3.0)
        return handler.submit(QUEUE, job, BODY, deadline).failure

    def count_rows(self) -> int:
        deadline = Deadline.after(self.clock, 3.0)
        rows = self.store.read("intake", "intake", deadline).unwrap().rows
        return len(rows)

    def test_a_lost_response_is_found_without_a_second_write(self) -> None:
        self.store.lose_answers = 1
        self.assertIsNone(self.submit(self.build_handler(self.store)))
        self.assertEqual(self.store.commit_count, 1)

    def test_a_write_that_is_done_late_is_found_by_the_next_request(
        self,
    ) -> None:
        handler = self.build_handler(self.store)
        self.store.delay_commits = 2
        first = self.submit(handler)
        self.assertIsInstance(first, UnknownOutcomeFailure)
        self.store.apply_delayed_commits()
        commits = self.store.commit_count
        self.assertIsNone(self.submit(handler))
        self.assertEqual(self.store.commit_count, commits, "only looked up")
        self.assertEqual(self.count_rows(), 1)

    def test_a_job_that_may_still_be_written_is_not_refused(self) -> None:
        # The write of the first request is done after the second one.
        handler = self.build_handler(self.store)
        self.store.delay_commits = 2
        self.submit(handler)
        self.store.down = True
        self.assertIsInstance(self.submit(handler), UnknownOutcomeFailure)
        self.store.down = False
        self.store.apply_delayed_commits()
        self.assertEqual(self.count_rows(), 1)

    def test_the_leader_stores_if_the_store_refuses_this_node(self) -> None:
        leader = self.build_handler(self.store)
        link = RelayingLink(leader)
        view = NodeView(self.store)
        view.down = True
        node = self.build_handler(view, link)
        self.assertIsNone(self.submit(node))
        self.assertEqual(link.relayed, ["a"])
        self.assertEqual(self.count_rows(), 1)

    def test_relays_are_bounded(self) -> None:
        # A store that refuses every node must not get the relays of all
        # nodes through the leader's node on top.
        link = SilentLink()
        view = NodeView(self.store)
        view.down = True
        node = self.build_handler(view, link)
        link.relays = True
        failures = [self.submit(node, f"{number}") for number in range(40)]
        self.assertEqual(len(link.relayed), 10)
        self.assertEqual(failures.count(None), 10)

    def test_two_nodes_that_receive_the_same_job_both_accept_it(
        self,
    ) -> None:
        nodes = [self.build_handler(NodeView(self.store)) for _ in range(2)]
        threads = [
            start(lambda node=node: self.submit(node))  # type: ignore[misc]
            for node in nodes
        ]
        for thread, results in threads:
            thread.join()
            self.assertEqual(results, [None])
        self.assertEqual(self.count_rows(), 1)


class RetryAfterHeaderTest(unittest.TestCase):
    """A refused caller returns when the queue is expected to be drained."""

    def read_headers(self, outcome: Outcome) -> tuple[str, dict[str, str]]:
        class Handler:
            def cancel(
                self, job: str, deadline: Deadline, access: Access
            ) -> Outcome:
                return outcome

        application = build_requester_application(
            cast(JobRequestHandler, Handler()),
            lambda: CONFIGURATION,
            lambda: False,
            SystemClock(),
        )
        seen: list[Any] = []
        environ = {
            "REQUEST_METHOD": "DELETE",
            "HTTP_HOST": "example",
            "PATH_INFO": "/quick/0123456789abcdef",
        }
        application(
            environ, lambda status, headers: seen.extend([status, headers])
        )
        return seen[0], dict(seen[1])

    def test_a_refusal_has_the_estimate(self) -> None:
        status, headers = self.read_headers(
            Outcome(failure=UnavailableFailure("x"), retry_after_seconds=3)
        )
        self.assertEqual(status[:3], "503")
        self.assertEqual(headers["Retry-After"], "3")

    def test_a_refusal_without_an_estimate_has_one_second(self) -> None:
        _, headers = self.read_headers(
            Outcome(failure=UnavailableFailure("x"))
        )
        self.assertEqual(headers["Retry-After"], "1")

    def test_an_unknown_outcome_is_504_without_the_header(self) -> None:
        status, headers = self.read_headers(
            Outcome(failure=UnknownOutcomeFailure("x"), retry_after_seconds=3)
        )
        self.assertEqual(status[:3], "504")
        self.assertNotIn("Retry-After", headers)
