"""Tests that a target gets no new requests once it is leaving."""

import unittest

from result import Ok

from chestnutstair.coordination.leaving import LeavingMessage
from chestnutstair.coordination.platform import ListedVm
from chestnutstair.coordination.request import Answer, Ran, Request
from chestnutstair.coordination.target import TargetAnswer
from chestnutstair.state.change import (
    Change,
    DrainChange,
    RecoveryChange,
    UndoChange,
)
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.fleet import Vm
from chestnutstair.tests.requests_support import (
    FakeTargetClient,
    build_forwarder,
    build_request,
    build_runner_log,
)
from chestnutstair.tests.support import ManualClock


class LeavingTest(unittest.TestCase):
    """Two targets; hints say that `quotes-0` is leaving."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        addresses = ["127.0.0.1:1", "127.0.0.1:2"]
        self.log = build_runner_log(
            self.clock, addresses, availability_budget=1
        )
        self.says_leaving: set[str] = set()
        self.client = FakeTargetClient(self.answer)
        self.forwarder, self.messenger = build_forwarder(
            self.log, self.client, self.clock, others=2
        )

    def answer(self, vm: Vm, request: Request) -> Ok[TargetAnswer]:
        leaving = vm.name in self.says_leaving
        return Ok(TargetAnswer(Answer(200), Ran.YES, leaving))

    def list_used(self) -> set[str]:
        self.client.sent.clear()
        for _ in range(40):
            self.forwarder.forward(build_request(self.clock))
        return set(self.client.sent)

    def list_vm(self, leaving: bool) -> ListedVm:
        return ListedVm("quotes-0", "zone-0", True, leaving, 1)

    def append(self, change: Change) -> None:
        self.log.append(change, Deadline.after(self.clock, 5)).unwrap()

    def test_a_leaving_answer_is_applied_and_announced_once(self) -> None:
        self.says_leaving = {"quotes-0"}
        self.list_used()
        self.assertEqual(self.client.sent.count("quotes-0"), 1)
        message = LeavingMessage("quotes-0", 1)
        expected = [("entry-1", message), ("entry-2", message)]
        self.assertEqual(self.messenger.sent, expected)

    def test_a_leaving_message_from_a_peer_is_applied(self) -> None:
        message = LeavingMessage("quotes-0", 1)
        self.messenger.receive("entry-1", message)
        self.assertEqual(self.list_used(), {"quotes-1"})
        self.assertEqual(self.messenger.sent, [])

    def test_the_vm_list_is_applied_until_it_says_otherwise(self) -> None:
        self.forwarder.apply_vm_list([self.list_vm(True)])
        self.assertEqual(self.list_used(), {"quotes-1"})
        self.forwarder.apply_vm_list([self.list_vm(False)])
        self.assertEqual(len(self.list_used()), 2)

    def test_a_lagging_vm_list_does_not_override_the_target(self) -> None:
        self.messenger.receive("entry-1", LeavingMessage("quotes-0", 1))
        self.forwarder.apply_vm_list([self.list_vm(False)])
        self.assertEqual(self.list_used(), {"quotes-1"})
        self.clock.now += 60
        self.forwarder.apply_vm_list([self.list_vm(False)])
        self.assertEqual(len(self.list_used()), 2)

    def test_an_undone_drain_ends_older_hints(self) -> None:
        message = LeavingMessage("quotes-0", 1)
        self.messenger.receive("entry-1", message)
        self.append(DrainChange("quotes-0", "op", 0.0))
        self.assertEqual(self.list_used(), {"quotes-1"})
        self.append(UndoChange("quotes-0", "op"))
        self.assertEqual(self.list_used(), {"quotes-1"})
        self.append(RecoveryChange("quotes-0", "op"))
        self.assertEqual(len(self.list_used()), 2)
        self.messenger.receive("entry-2", message)  # arrives late
        self.assertEqual(len(self.list_used()), 2)

    def test_a_drain_in_the_change_log_is_applied(self) -> None:
        self.append(DrainChange("quotes-0", "op", 0.0))
        self.assertEqual(self.list_used(), {"quotes-1"})
