"""Tests of what nodes learn of each other while the leader or store fails."""

import unittest

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnavailableFailure,
)
from chestnutstair.scheduling.change_feed import ChangeFeed
from chestnutstair.scheduling.election import LeaderStatus
from chestnutstair.scheduling.members import (
    HEARD_SECONDS,
    MAX_HEARD,
    MAX_MEMBERS,
    SAMPLE_SIZE,
    MemberPoller,
    Members,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.tests.support import ManualClock

STATUS = LeaderStatus(False, 0, 0.0, 4, "leader:1")


class MembersTest(unittest.TestCase):
    """A bounded number of the nodes that exist now is kept and told."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.members = Members("me:1", self.clock)

    def test_a_sample_has_nodes_that_called_recently(self) -> None:
        self.members.record_call("old", "old:1")
        self.clock.now += HEARD_SECONDS + 0.1
        self.members.record_call("new", "new:1")
        self.members.record_call("me", "me:1")
        self.assertEqual(self.members.sample_heard(), ("new:1",))

    # Guards against statuses that grow with the number of nodes, and against
    # the same few nodes being named to all.
    def test_a_sample_is_small_and_random(self) -> None:
        for number in range(300):
            self.members.record_call(f"n{number}", f"n{number}:1")
        samples = [self.members.sample_heard() for _ in range(100)]
        for sample in samples:
            self.assertEqual(len(set(sample)), SAMPLE_SIZE)
        named = {address for sample in samples for address in sample}
        self.assertGreater(len(named), 250)

    def test_a_replaced_node_has_only_its_new_address(self) -> None:
        self.members.record_call("a", "a:1")
        self.members.record_call("a", "a:2")
        self.assertEqual(self.members.sample_heard(), ("a:2",))

    def test_what_is_kept_is_bounded(self) -> None:
        for number in range(MAX_HEARD + 5):
            self.members.record_call(f"n{number}", f"n{number}:1")
        self.assertEqual(len(self.members.choose(10_000)), MAX_HEARD)
        self.clock.now += HEARD_SECONDS + 0.1
        self.members.learn(f"m{number}:1" for number in range(100))
        self.members.learn(("me:1", ""))
        chosen = self.members.choose(10_000)
        expected = {f"m{n}:1" for n in range(100 - MAX_MEMBERS, 100)}
        self.assertEqual(set(chosen), expected)

    # The leader has heard from nodes, but nobody names any to it.
    def test_members_are_those_named_and_those_heard_from(self) -> None:
        self.members.learn(("a:1",))
        self.members.record_call("b", "b:1")
        self.assertEqual(set(self.members.choose(9)), {"a:1", "b:1"})
        self.assertEqual(len(self.members.choose(1)), 1)


class MemberPollerTest(unittest.TestCase):
    """Members are asked only while the node's own sources fail."""

    def setUp(self) -> None:
        self.members = Members("me:1", ManualClock())
        self.members.learn(("a:1", "b:1"))
        self.needed = True
        self.asked: list[str] = []
        self.answer: Result[LeaderStatus, PlatformFailure] = Ok(STATUS)
        self.statuses: list[tuple[str, LeaderStatus]] = []
        self.poller = self.build()

    def ask(
        self, address: str, seconds: float
    ) -> Result[LeaderStatus, PlatformFailure]:
        self.asked.append(address)
        return self.answer

    def build(self) -> MemberPoller:
        return MemberPoller(
            self.members,
            self.ask,
            lambda: self.needed,
            lambda address, status: self.statuses.append((address, status)),
        )

    def test_nobody_is_asked_while_leader_and_store_answer(self) -> None:
        self.needed = False
        self.poller.ask_one()
        self.assertEqual(self.asked, [])

    def test_a_random_member_is_asked(self) -> None:
        for _ in range(50):
            self.poller.ask_one()
        self.assertEqual(set(self.asked), {"a:1", "b:1"})
        self.assertEqual(self.statuses[0], (self.asked[0], STATUS))

    def test_a_member_that_does_not_answer_is_no_status(self) -> None:
        self.answer = Err(UnavailableFailure("x"))
        self.poller.ask_one()
        self.assertEqual(len(self.asked), 1)
        self.assertEqual(self.statuses, [])

    def test_a_node_that_knows_no_members_asks_nobody(self) -> None:
        self.members = Members("me:1", ManualClock())
        self.build().ask_one()
        self.assertEqual(self.asked, [])

    # Guards against both calls of a round going to one member that hangs.
    def test_a_member_is_asked_once_at_a_time(self) -> None:
        def ask(address: str, seconds: float) -> Result:
            self.asked.append(address)
            if len(self.asked) < 3:
                self.poller.ask_one()
            return Ok(STATUS)

        self.poller = MemberPoller(
            self.members, ask, lambda: True, lambda *_: None
        )
        self.poller.ask_one()
        self.assertEqual(sorted(self.asked), ["a:1", "b:1"])


class FeedFailureTest(unittest.TestCase):
    """A feed says that the store does not answer before its call fails."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()
        self.feed = ChangeFeed(
            self.store,
            self.clock,
            "op",
            "",
            None,
            lambda changes: None,
            lambda changes: None,
            0.0,
            1.0,
        )

    def test_a_failed_read_and_a_good_one(self) -> None:
        self.assertFalse(self.feed.is_failing)
        self.store.down = True
        self.feed._step()
        self.assertTrue(self.feed.is_failing)
        self.store.down = False
        self.feed._step()
        self.assertFalse(self.feed.is_failing)

    # Guards against learning of a withdrawn key only after the time-out of a
    # call whose packets are lost: 2.5 s of the 3 s.
    def test_an_overdue_answer(self) -> None:
        seen: list[bool] = []
        read = self.store.read

        def hang(*arguments):  # type: ignore[no-untyped-def]
            for _ in range(8):
                seen.append(self.feed.is_failing)
                self.clock.now += 0.25
            return read(*arguments)

        self.store.read = hang  # type: ignore[method-assign]
        self.feed._step()
        # At 0.00, 0.25 .. 1.75 s after the call began.
        self.assertEqual(seen, [False] * 7 + [True])
        self.assertFalse(self.feed.is_failing)
