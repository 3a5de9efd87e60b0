"""Tests of connections that stay open and carry nothing any more."""

import unittest
from collections.abc import Callable
from typing import Any

from result import Err, Result

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.platform import PlatformDecoder
from chestnutstair.scheduling.change_feed import RETRY_SECONDS, ChangeFeed
from chestnutstair.scheduling.leader import LeaderSettings
from chestnutstair.scheduling.operator_watch import OperatorWatch
from chestnutstair.scheduling.ports import (
    Changes,
    HistoryLostFailure,
    RowKey,
    RowWrite,
    StoreFailure,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import ManualClock
from chestnutstair.tests.test_change_feed import build_configuration

# How long after a change may a node act on what was before it: a start on a
# draining worker, a task of a cancelled job, a request by an old
# configuration.
DRAIN_SECONDS = 2.0
CANCEL_SECONDS = 3.0
CONFIGURATION_SECONDS = 2.0

Answer = Result[Changes, StoreFailure | HistoryLostFailure]


class SilentRowStore(MemoryRowStore):
    """A store behind connections that go silent, on a manual clock.

    A call on a silent connection ends at its deadline, also if it was made
    before the silence. Calls that begin later use another connection.
    """

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock
        # Called once, when the next long poll has been received.
        self.on_poll: Callable[[], None] | None = None
        self.silent_polls = 0
        self.answer_seconds = 0.0
        self.polls = 0

    def follow(
        self, table: str, after: int, seconds: float, deadline: Deadline
    ) -> Answer:
        """Return the changes, or wait for what does not come."""
        self.polls += 1
        if self.on_poll is not None:
            act, self.on_poll = self.on_poll, None
            act()
        if self.silent_polls:
            self.silent_polls -= 1
            self._clock.now = deadline.at
            return Err(UnavailableFailure("timed out"))
        answer = super().follow(table, after, seconds, deadline)
        if not answer.is_ok() or not answer.unwrap().rows:
            self._clock.now += seconds
        self._clock.now += self.answer_seconds
        if self._clock.now > deadline.at:
            self._clock.now = deadline.at
            return Err(UnavailableFailure("timed out"))
        return answer


class SilentFeedTest(unittest.TestCase):
    """Guards against news that are heard later than they must be followed.

    Starts went on for 6 s on a worker that was draining, as the connection
    on which the leader follows the registry had gone silent.
    """

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = SilentRowStore(self.clock)
        self.heard_at: float | None = None

    def build_feed(self, table: str, gap_seconds: float) -> ChangeFeed:
        return ChangeFeed(
            self.store,
            self.clock,
            table,
            "",
            0,
            self.hear,
            self.hear,
            gap_seconds,
        )

    def hear(self, changes: Changes) -> None:
        self.heard_at = self.clock.now

    def put(self, table: str, key: str, value: bytes = b"{}") -> None:
        write = RowWrite(RowKey(table, "", key), value)
        self.store.commit([], [write], Deadline.after(self.clock, 1.0))

    def measure(self, feed: ChangeFeed, put: Callable[[], None]) -> float:
        """Return when a change during a silent poll is heard."""
        for _ in range(3):
            self.clock.sleep(feed._step())

        def fall_silent() -> None:
            self.store.silent_polls = 1
            put()

        self.heard_at = None
        self.store.on_poll = fall_silent
        changed_at = self.clock.now
        for _ in range(100):
            self.clock.sleep(feed._step())
            if self.heard_at is not None:
                return self.heard_at - changed_at
        raise AssertionError("not heard")

    def test_a_draining_worker_is_heard_of_in_time(self) -> None:
        feed = self.build_feed("t", LeaderSettings.registry_poll_seconds)
        seconds = self.measure(feed, lambda: self.put("t", "worker"))
        # The rest is for a round and for orders on their way.
        self.assertLess(seconds, DRAIN_SECONDS * 0.75)

    def test_a_cancellation_is_heard_of_in_time(self) -> None:
        feed = self.build_feed("t", LeaderSettings.intake_poll_seconds)
        seconds = self.measure(feed, lambda: self.put("t", "cancel"))
        self.assertLess(seconds, CANCEL_SECONDS * 0.75)

    def test_a_configuration_is_heard_of_in_time(self) -> None:
        watch = OperatorWatch(
            self.store,
            PlatformDecoder(),
            self.clock,
            lambda: self.hear(Changes((), 0)),
        )
        seconds = self.measure(
            watch._feed,
            lambda: self.put("op", "config", build_configuration(5)),
        )
        self.assertEqual(watch.configuration_version, 5)
        self.assertLess(seconds, CONFIGURATION_SECONDS)

    # A feed that gave up each answer of a slow store would hear nothing.
    def test_a_slow_store_is_heard(self) -> None:
        for seconds in (0.3, 0.6, 1.2, 1.9):
            with self.subTest(seconds=seconds):
                self.store.answer_seconds = seconds
                feed = self.build_feed("t", 0.0)
                self.measure(feed, lambda: self.put("t", "worker"))

    # A store that refuses or cannot be reached is not called in a loop.
    def test_failures_are_retried_with_a_pause(self) -> None:
        feed = self.build_feed("t", 0.0)
        self.store.down = True
        began = self.clock.now
        for _ in range(20):
            self.clock.sleep(feed._step())
        self.assertGreaterEqual(self.clock.now - began, 20 * RETRY_SECONDS)

    def test_polls_are_few_without_changes(self) -> None:
        # Twice a second is 0.1% of the reads of the smallest store.
        feed: Any = self.build_feed("t", 0.0)
        began = self.clock.now
        while self.clock.now - began < 60.0:
            self.clock.sleep(feed._step())
        self.assertLessEqual(self.store.polls, 2 * 60 + 1)
