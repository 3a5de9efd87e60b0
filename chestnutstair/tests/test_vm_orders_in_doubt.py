"""Tests of VM orders that are repeated, carried out late or inherited."""

import unittest
from dataclasses import replace
from typing import TypeVar
from unittest import mock

from result import Err, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.fleet_controller import FleetController
from chestnutstair.scheduling.fleet_state import Drain, FleetControllerSettings
from chestnutstair.scheduling.ports import RowWrite, WorkerCallFailure
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.vm_order_history import VmOrderHistory
from chestnutstair.tests.fleet_support import (
    MAINTENANCE_SECONDS,
    FakeVms,
    FleetHarness,
)
from chestnutstair.tests.scheduling_support import build_entry

AnyVms = TypeVar("AnyVms", bound=FakeVms)
WORKERS = ("w1", "w2", "w3", "w4")
# The platform carries an order without an answer out up to 12 s later.
LATE_SECONDS = 10.0
# SYSTEM.md: `leaseMs`, the same as FleetControllerSettings has.
MIN_ORDER_INTERVAL_SECONDS = 3.0


class LateVms(FakeVms):
    """VMs whose first order is carried out late; repeats are refused.

    With `delays_moves`, the first move, otherwise the first maintenance.
    """

    delays_moves = False
    late: tuple[float, str, str] | None = None

    def _delay(self, vm: str, order: str) -> Result[None, WorkerCallFailure]:
        self.orders.append((vm, order))
        if self.late is None:
            at = self._harness.clock.now + LATE_SECONDS
            self.late = (at, vm, order)
            return Err(UnknownOutcomeFailure("timed out"))
        return Err(UnavailableFailure("status 429"))

    def maintain(
        self, vm: str, wave: int, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """Delay the first order; refuse those for the same VM."""
        is_first = self.late is None or self.late[1] == vm
        if is_first and not self.delays_moves:
            return self._delay(vm, f"wave {wave}")
        return super().maintain(vm, wave, holder, fence)

    def move(
        self, vm: str, service: str, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """Delay the first order; refuse those for the same VM."""
        is_first = self.late is None or self.late[1] == vm
        if is_first and self.delays_moves:
            return self._delay(vm, service)
        return super().move(vm, service, holder, fence)


class LossyVms(FakeVms):
    """VMs whose first orders for maintenance are lost."""

    lose_maintenance = 0

    def maintain(
        self, vm: str, wave: int, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """Lose an order, or carry it out."""
        if not self.lose_maintenance:
            return super().maintain(vm, wave, holder, fence)
        self.lose_maintenance -= 1
        self.orders.append((vm, f"wave {wave}"))
        return Err(UnknownOutcomeFailure("order lost"))


class InDoubtTest(unittest.TestCase):
    """A pool of four VMs."""

    settings = FleetControllerSettings()

    def setUp(self) -> None:
        self.fleet = FleetHarness(
            dict.fromkeys(WORKERS, "boxes") | {"s1": "spare"}, self.settings
        )
        self.harness = self.fleet.tracker_harness
        self.controller = self.fleet.controller
        self.vms = self.fleet.vms
        self.run_round = self.fleet.run_round

    def use_vms(self, build: type[AnyVms]) -> AnyVms:
        vms = build(
            self.harness, dict.fromkeys(WORKERS, "boxes") | {"s1": "spare"}
        )
        self.controller._orders._vms = vms
        return vms

    def load_history(self) -> VmOrderHistory:
        """Return what a new leader reads now."""
        settings = self.controller._settings
        history = VmOrderHistory(
            self.fleet.leader,  # type: ignore[arg-type]
            self.fleet.store,
            self.harness.clock,
            MIN_ORDER_INTERVAL_SECONDS,
            MAINTENANCE_SECONDS + settings.settle_seconds,
        )
        self.assertTrue(history.load())
        return history


class RepeatedOrderTest(InDoubtTest):
    """A leader that repeats orders without an answer is replaced."""

    def test_a_new_leader_does_not_order_a_vm_right_after_a_repeat(
        self,
    ) -> None:
        # Guards against ONE: only the first attempt was stored, so the next
        # leader ordered a VM that the one before had ordered just now.
        self.controller._state.drains["vm-w1"] = Drain("spare")
        self.vms.lose_orders = 1000
        for _ in range(60):
            self.run_round()
        sent = self.vms.orders.count(("vm-w1", "spare"))
        self.assertGreater(sent, 2)
        for _ in range(30):
            self.run_round()
            if self.vms.orders.count(("vm-w1", "spare")) > sent:
                break  # the order has just been sent once more
        now = self.harness.clock.now
        history = self.load_history()
        self.assertFalse(history.is_interval_over("vm-w1", now + 0.1))

    def test_a_new_leader_counts_maintenance_begun_by_a_repeat(self) -> None:
        # Guards against LIMIT: a VM taken down by a repeated order did not
        # count against the wave's cap under the next leader.
        vms = self.use_vms(LossyVms)
        vms.lose_maintenance = 4
        vms.lose_answers = 1000
        self.controller._state.drains["vm-w1"] = Drain("boxes", 1)
        for _ in range(100):
            self.run_round()
            if "vm-w1" in vms.maintained:
                break
        self.assertGreater(vms.orders.count(("vm-w1", "wave 1")), 4)
        down = [
            order.vm for order in self.load_history().unfinished_maintenance
        ]
        self.assertEqual(down, ["vm-w1"])


class InheritedOrderTest(InDoubtTest):
    """Maintenance that the leader before has ordered."""

    def order_maintenance(self) -> None:
        self.controller._state.drains["vm-w1"] = Drain("boxes", 1)
        with mock.patch.object(self.controller, "_resize_pools"):
            self.run_round()
        self.assertEqual(self.vms.orders, [("vm-w1", "wave 1")])

    def list_inherited(self, seconds: float) -> list[str]:
        """Return the VMs that a leader counts which begins after a time."""
        self.harness.clock.now += seconds
        following = FleetController(
            self.fleet.leader,  # type: ignore[arg-type]
            self.harness.planner,
            self.vms,
            self.fleet.store,
            list,
            self.harness.clock,
            self.controller._settings,
        )
        self.assertTrue(following._load())
        following._inherit_maintenance()
        return list(following._state.orders)

    def test_a_vm_that_may_still_go_down_counts_under_the_next_leader(
        self,
    ) -> None:
        # Guards against LIMIT: the next leader counted a VM for as long as
        # maintenance takes, though its order could still be carried out.
        self.use_vms(LateVms)
        self.vms = self.controller._orders._vms  # type: ignore[assignment]
        self.order_maintenance()
        self.assertEqual(self.list_inherited(LATE_SECONDS), ["vm-w1"])
        self.assertEqual(self.list_inherited(20.0), [])

    def test_answered_maintenance_counts_no_longer_than_it_takes(
        self,
    ) -> None:
        # Guards against waves that are late because a new leader waits for
        # VMs that are back.
        self.order_maintenance()
        self.assertEqual(self.list_inherited(1.0), ["vm-w1"])
        self.assertEqual(self.list_inherited(MAINTENANCE_SECONDS + 2.0), [])

    def test_refused_maintenance_does_not_count_under_the_next_leader(
        self,
    ) -> None:
        # Guards against waves that are late because a new leader waits for
        # VMs that were never taken down.
        self.vms.refusals = 1
        self.order_maintenance()
        self.assertEqual(self.list_inherited(0.1), [])


class EndedTermTest(InDoubtTest):
    """A term that its leader has released, so that another may begin."""

    def test_orders_that_wait_are_not_sent_once_the_term_has_ended(
        self,
    ) -> None:
        # Guards against ONE: orders that waited for a thread were sent for up
        # to a second after the release, beside those of the next leader.
        for name in WORKERS[:2]:
            self.controller._state.drains[f"vm-{name}"] = Drain("spare")
        self.vms.lose_orders = 1000
        self.run_round()
        sent = len(self.vms.orders)
        self.assertEqual(sent, 2)
        orders = list(self.controller._state.orders.values())
        self.fleet.leader.has_ended = True
        self.controller._orders._send_all(orders)
        self.assertEqual(len(self.vms.orders), sent)

    def test_an_order_that_was_stored_too_long_ago_is_not_sent(self) -> None:
        # Guards against ONE: the next leader leaves a VM alone for an interval
        # that counts from the storing of its order, however late it was sent.
        self.controller._state.drains["vm-w1"] = Drain("spare")
        store = self.fleet.leader.store
        seconds = self.controller._settings.send_seconds

        def store_slowly(writes: list[RowWrite], limit: float) -> bool:
            is_stored = store(writes, limit)
            self.harness.clock.now += seconds + 0.1
            self.fleet.leader.term.renewed_at = self.harness.clock.now
            return is_stored

        with mock.patch.object(self.fleet.leader, "store", store_slowly):
            self.run_round()
        self.assertEqual(self.vms.orders, [])
        self.run_round()
        self.assertIn(("vm-w1", "spare"), self.vms.orders)

    def test_the_next_leader_waits_also_for_an_order_sent_late(self) -> None:
        # Guards against ONE: an order was sent up to a second after its time
        # had been stored, which is when the interval between the orders of
        # two leaders began.
        self.controller._state.drains["vm-w1"] = Drain("spare")
        self.run_round()
        seconds = self.controller._settings.send_seconds
        latest = self.harness.clock.now + seconds
        following = FleetController(
            self.fleet.leader,  # type: ignore[arg-type]
            self.harness.planner,
            self.vms,
            self.fleet.store,
            list,
            self.harness.clock,
            self.controller._settings,
        )
        self.assertTrue(following._load())
        history = following._order_history
        until = latest + MIN_ORDER_INTERVAL_SECONDS
        self.assertFalse(history.is_interval_over("vm-w1", until - 0.01))
        self.assertTrue(history.is_interval_over("vm-w1", until + 1.0))


class LateOrderTest(InDoubtTest):
    """An order without an answer is carried out 10 s after it was sent."""

    def test_a_vm_whose_move_may_still_come_gets_no_tasks(self) -> None:
        # Guards against tasks that an order still in flight ends: once its
        # repeats had been refused for longer than a move takes, the worker
        # got tasks again.
        vms = self.use_vms(LateVms)
        vms.delays_moves = True
        self.controller._state.drains["vm-w1"] = Drain("spare")
        self.run_round()
        assert vms.late is not None
        while self.harness.clock.now < vms.late[0] - 0.2:
            self.harness.admit(f"j{self.harness.clock.now}", [Step(4, 30_000)])
            self.harness.start_all(self.harness.plan())
            self.run_round()
            self.assertEqual(
                list(self.harness.get_worker("w1").runs),
                [],
                f"{vms.late[0] - self.harness.clock.now:.1f} s before the"
                " move is carried out",
            )

    def test_a_pool_does_not_count_a_vm_whose_move_may_still_come(
        self,
    ) -> None:
        # Guards against a pool that stays too small: it counted the VM, which
        # gets no tasks, for as long as its order is in doubt.
        self.use_vms(LateVms).delays_moves = True
        self.controller._state.drains["vm-w1"] = Drain("spare")
        with mock.patch.object(self.controller, "_resize_pools"):
            self.run_round()
        self.assertIn("vm-w1", self.controller._state.orders)
        changes = self.controller._state.count_pending_changes()
        self.assertEqual(changes, {"boxes": -1, "spare": 1})

    def test_a_vm_is_used_again_once_its_move_cannot_come_any_more(
        self,
    ) -> None:
        # Guards against VMs that are lost: a VM was kept from tasks for longer
        # than its order could be carried out.
        vms = self.use_vms(LateVms)
        vms.delays_moves = True
        self.controller._state.drains["vm-w1"] = Drain("spare")
        settings = self.controller._settings
        seconds = (
            settings.late_order_seconds
            + settings.move_seconds
            + settings.settle_seconds
            + settings.retry_seconds
        )
        with mock.patch.object(self.controller, "_resize_pools"):
            for _ in range(int(seconds / 0.1) + 3):
                self.run_round()
        self.assertNotIn("vm-w1", self.controller._state.orders)
        self.assertFalse(self.harness.get_worker("w1").cordoned)


class LateMaintenanceTest(InDoubtTest):
    """The same in a pool that must not shrink."""

    settings = FleetControllerSettings(base_share=1.6)

    def end_stopped_runs(self) -> None:
        for worker in self.harness.tracker.workers.values():
            for task, run in list(worker.runs.items()):
                if run.stopping:
                    self.harness.tracker.confirm_stop(worker, task, run.run)
                    worker.remove_run(task)
                    self.harness.tracker._release_if_current(run, "stopped")

    def test_a_vm_that_may_still_go_down_counts_against_the_cap(self) -> None:
        # Guards against LIMIT: once repeats of an order had been refused for
        # longer than maintenance takes, the VM was forgotten, another one was
        # taken down, and the first attempt was carried out meanwhile.
        vms = self.use_vms(LateVms)
        for _ in range(50):
            self.run_round()  # lasting tasks may move from now on
        self.fleet.waves.append(
            MaintenanceWave(1, tuple(f"vm-{n}" for n in WORKERS), 200.0, 1)
        )
        for _ in range(2):
            self.run_round()
        assert vms.late is not None
        at, first, _ = vms.late
        # The lasting task goes to another VM, which then is due before it.
        self.harness.admit("lasting", [Step(1, 1000, lasting=True)])
        while self.harness.clock.now < at:
            self.harness.start_all(self.harness.plan())
            self.run_round()
            self.end_stopped_runs()
        others = [
            vm for vm, order in vms.orders if vm != first and order == "wave 1"
        ]
        self.assertEqual(others, [], f"ordered while {first} is in doubt")


class CordonTest(InDoubtTest):
    """Workers that register on a VM while its order is under way."""

    def test_a_worker_that_restarts_while_its_order_is_stored_gets_no_tasks(
        self,
    ) -> None:
        # Guards against tasks that an order ends: the VM of a drain that began
        # in the same round was no cordon yet while its order was stored.
        self.controller._state.drains["vm-w1"] = Drain("spare")
        store = self.fleet.leader.store
        cordoned = []

        def store_slowly(writes: list[RowWrite], seconds: float) -> bool:
            self.harness.tracker.apply_worker_entry(
                replace(build_entry("w1"), born_ms=2)
            )
            self.harness.answer("w1", born_ms=2)
            cordoned.append(self.harness.get_worker("w1").cordoned)
            return store(writes, seconds)

        self.fleet.leader.store = store_slowly  # type: ignore[method-assign]
        self.run_round()
        self.assertEqual(self.vms.orders, [("vm-w1", "spare")])
        self.assertEqual(cordoned, [True])

    def test_maintenance_of_another_wave_does_not_settle_an_order(
        self,
    ) -> None:
        # Guards against tasks that a repeated order ends: the VM was listed
        # as under maintenance, which was that of another wave, and its next
        # worker got tasks although the order was yet to be carried out.
        vms = self.use_vms(LossyVms)
        vms.lose_maintenance = 1000
        self.controller._state.drains["vm-w1"] = Drain("boxes", 2)
        self.run_round()
        self.assertEqual(vms.orders, [("vm-w1", "wave 2")])
        # An attempt of wave 1 that had got no answer is carried out now.
        vms.maintained.append("vm-w1")
        vms.back_at["vm-w1"] = self.harness.clock.now + MAINTENANCE_SECONDS
        self.harness.get_worker("w1").unresponsive = True
        while self.harness.clock.now < vms.back_at["vm-w1"]:
            self.run_round()
        self.harness.tracker.apply_worker_entry(
            replace(build_entry("w1"), born_ms=2)
        )
        self.harness.answer("w1", born_ms=2)
        self.controller._step()
        self.assertIn("vm-w1", self.controller._state.orders)
        self.assertTrue(self.harness.get_worker("w1").cordoned)

    def test_maintenance_of_the_only_wave_settles_its_order(self) -> None:
        # Guards against VMs that are lost: with an earlier wave completed, the
        # list no longer settled orders, and a VM that had come back got no
        # tasks until its order was answered.
        vms = self.vms
        vms.lose_answers = 1000
        waves = self.controller._waves
        for number in (1, 2):
            wave = MaintenanceWave(number, ("vm-w1",), 200.0, 1)
            self.fleet.waves.append(wave)
        waves.mark_begun(1, "vm-w1")
        self.controller._state.drains["vm-w1"] = Drain("boxes", 2)
        self.run_round()
        self.assertEqual(vms.orders, [("vm-w1", "wave 2")])
        self.harness.get_worker("w1").unresponsive = True
        while self.harness.clock.now < vms.back_at["vm-w1"]:
            self.run_round()
        self.harness.tracker.apply_worker_entry(
            replace(build_entry("w1"), born_ms=2)
        )
        self.harness.answer("w1", born_ms=2)
        self.controller._step()
        self.assertFalse(self.harness.get_worker("w1").cordoned)


if __name__ == "__main__":
    unittest.main()
