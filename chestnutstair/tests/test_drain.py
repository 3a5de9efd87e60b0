"""Tests of planned drains and outages, from start to recovery."""

import logging
import unittest
from dataclasses import replace
from functools import partial

from chestnutstair.coordination.operation import append_change
from chestnutstair.coordination.platform import ConflictFailure
from chestnutstair.state.change import (
    OutageChange,
    PauseChange,
    RecoveryChange,
    TicketChange,
    UndoChange,
)
from chestnutstair.state.fold import PhaseFailure, apply_change
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView, VmPhase
from chestnutstair.tests.maintenance_support import (
    check_history,
    list_in_phase,
)
from chestnutstair.tests.support import FixedDutyHolder, build_ticket
from tools.maintained_fleet import START_SECONDS, Fleet

DAY_SECONDS = 86_400.0
VM = "quotes-0"


class FleetTest(unittest.TestCase):
    """Base class with an in-memory fleet whose `VM` falls due for cleaning."""

    def setUp(self) -> None:
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.ticket = build_ticket(runners=4, workers=4, zones=2)
        self.fleet = Fleet(self.ticket)
        self.vms = self.fleet.vms

    def move_to(self, pool: str, number: int) -> None:
        vm = replace(self.ticket.vms[0], pool=pool)
        self.fleet.append(TicketChange(Ticket(number, "tester", vms=(vm,))))

    def tick(self, count: int) -> None:
        for _ in range(count):
            self.fleet.tick()

    def run_to(self, *phases: VmPhase, limit: int = 300) -> None:
        def is_in(view: FleetView, phase: VmPhase) -> bool:
            return view.statuses[VM].phase is phase

        for phase in phases:
            self.fleet.tick_until(partial(is_in, phase=phase), limit)

    def start_drain(self) -> None:
        self.fleet.clock.sleep(1.3 * DAY_SECONDS)
        self.run_to(VmPhase.DRAINING)

    def finish(self) -> None:
        self.run_to(VmPhase.SERVING)
        self.kinds = check_history(self.fleet)
        self.assertEqual(self.vms.unsafe_reboots, [])
        self.assertFalse(self.vms.is_leaving(VM))


class DrainTest(FleetTest):
    """Drains respect the budget and running requests despite lost answers."""

    def test_cleans_a_vm_when_it_is_due(self) -> None:
        self.tick(10)
        self.assertEqual(
            list_in_phase(self.fleet.log.view, VmPhase.DRAINING), []
        )
        self.start_drain()
        started_at = self.fleet.clock.now
        self.finish()
        status = self.fleet.log.view.statuses[VM]
        self.assertGreater(status.cleaned_at, started_at)
        self.assertIn(VM, {vm for vm, _ in self.vms.reboots})

    def test_waits_for_running_requests(self) -> None:
        self.vms.start_request(VM)
        self.start_drain()
        self.tick(30)
        self.vms.end_requests(VM, 1)
        self.finish()

    def test_undoes_a_drain_that_takes_too_long(self) -> None:
        self.vms.start_request(VM)
        self.start_drain()
        self.run_to(VmPhase.RETURNING, limit=1000)
        self.finish()
        self.tick(20)
        phase = self.fleet.log.view.statuses[VM].phase
        self.assertIs(phase, VmPhase.SERVING)

    def test_waits_for_confirmation_a_bounded_time(self) -> None:
        self.fleet.stuck_revisions.append(1)
        self.start_drain()
        self.tick(25)
        self.assertFalse(self.vms.is_leaving(VM))
        self.assertEqual(self.vms.reboots.total(), 0)
        self.finish()

    def test_ignores_a_stale_vm_list(self) -> None:
        self.vms.list_lag = 10.0
        self.start_drain()
        self.run_to(VmPhase.REBOOTING)
        self.finish()
        self.assertEqual(self.kinds["outage"], 0)
        self.vms.start_request("quotes-1")
        self.fleet.clock.sleep(1.3 * DAY_SECONDS)
        self.tick(60)
        self.fleet.append(PauseChange(True))
        self.tick(60)
        kinds = check_history(self.fleet)
        self.assertEqual((kinds["outage"], kinds["undo"]), (0, 1))

    def test_does_not_reboot_a_vm_that_booted_by_itself(self) -> None:
        self.start_drain()
        self.tick(2)
        self.vms.commands_down = True
        self.run_to(VmPhase.REBOOTING)
        for live in (False, True):
            self.vms.set_live([VM], live)
            self.tick(10)
        phase = self.fleet.log.view.statuses[VM].phase
        self.assertIs(phase, VmPhase.REBOOTING)
        self.vms.commands_down = False
        self.finish()
        operations = [op for vm, op in self.vms.reboots if vm == VM]
        self.assertEqual(operations, [])

    def test_reboots_once_though_answers_are_lost(self) -> None:
        self.start_drain()
        self.vms.lose_answers = 8
        self.finish()
        self.assertEqual(set(self.vms.reboots.values()), {1})

    def test_gives_up_a_vm_that_does_not_come_back(self) -> None:
        self.vms.reboot_seconds = 1000.0
        self.start_drain()
        self.run_to(VmPhase.REBOOTING, VmPhase.DOWN, limit=700)
        self.vms.set_live([VM], True)
        self.finish()

    def test_gives_up_a_vm_that_does_not_prove_healthy(self) -> None:
        self.start_drain()
        self.run_to(VmPhase.PROVING)
        self.tick(1)
        self.vms.listed_leaving = {VM}
        self.run_to(VmPhase.DOWN)
        self.vms.listed_leaving = set()
        self.finish()
        status = self.fleet.log.view.statuses[VM]
        self.assertEqual(status.cleaned_at, START_SECONDS)

    def test_moves_a_vm_to_the_declared_pool(self) -> None:
        self.move_to("boxes", 2)
        self.run_to(VmPhase.DRAINING, VmPhase.ARRIVING)
        self.finish()
        self.assertEqual(self.fleet.log.view.statuses[VM].pool, "boxes")

    def test_undoes_a_cancelled_move(self) -> None:
        self.vms.start_request(VM)
        self.move_to("boxes", 2)
        self.run_to(VmPhase.DRAINING)
        self.tick(1000)
        self.assertEqual(check_history(self.fleet)["undo"], 0)
        self.move_to("quotes", 3)
        self.finish()

    def test_undoes_drains_while_paused(self) -> None:
        self.start_drain()
        self.fleet.append(PauseChange(True))
        self.finish()
        self.tick(20)
        self.assertEqual(
            check_history(self.fleet)["drain"], self.kinds["drain"]
        )
        self.fleet.append(PauseChange(False))
        self.run_to(VmPhase.DRAINING)
        self.finish()

    def test_a_former_duty_holder_cannot_commit(self) -> None:
        holder = FixedDutyHolder(self.fleet.table, self.fleet.clock)
        duty = holder.find_duty("maintenance/quotes")
        assert duty is not None
        self.fleet.take_over("quotes")
        failure = append_change(
            self.fleet.log, PauseChange(True), duty, self.fleet.deadline
        ).unwrap_err()
        self.assertIsInstance(failure, ConflictFailure)

    def test_changes_of_another_operation_or_phase_are_refused(self) -> None:
        self.start_drain()
        view = self.fleet.log.view
        undo = UndoChange(VM, view.statuses[VM].operation)
        returning = apply_change(view, undo).unwrap()
        down = apply_change(view, OutageChange(VM)).unwrap()
        for failed in (
            apply_change(view, UndoChange(VM, "other")),
            apply_change(returning, undo),
            apply_change(returning, RecoveryChange(VM, "other")),
            apply_change(down, OutageChange(VM)),
        ):
            self.assertIsInstance(failed.unwrap_err(), PhaseFailure)


class OutageTest(FleetTest):
    """Outages use up the budget of planned drains until they end."""

    def test_undoes_drains_when_a_rack_fails(self) -> None:
        fleet = Fleet(build_ticket(runners=8, workers=0, budget=4))
        fleet.clock.sleep(20 * DAY_SECONDS)
        fleet.tick()
        draining = list_in_phase(fleet.log.view, VmPhase.DRAINING)
        self.assertEqual(draining, ["quotes-0", "quotes-1", "quotes-2"])
        for vm in draining:
            fleet.vms.start_request(vm)
        rack = [f"quotes-{index}" for index in range(4, 8)]
        fleet.vms.set_live(rack, False)
        fleet.tick_until(
            lambda view: (
                list_in_phase(view, VmPhase.DOWN) == rack
                and len(list_in_phase(view, VmPhase.SERVING)) == 4
            )
        )
        for _ in range(20):
            fleet.tick()
        self.assertEqual(list_in_phase(fleet.log.view, VmPhase.DRAINING), [])
        fleet.vms.set_live(rack, True)
        fleet.tick_until(
            lambda view: bool(list_in_phase(view, VmPhase.DRAINING))
        )
        check_history(fleet)
        self.assertEqual(fleet.vms.unsafe_reboots, [])

    def test_undoes_no_more_than_the_excess(self) -> None:
        fleet = Fleet(build_ticket(runners=8, workers=0, budget=4))
        fleet.clock.sleep(20 * DAY_SECONDS)
        fleet.tick()
        for vm in list_in_phase(fleet.log.view, VmPhase.DRAINING):
            fleet.vms.start_request(vm)
        fleet.vms.set_live(["quotes-4", "quotes-5"], False)
        for _ in range(30):
            fleet.tick()
        self.assertEqual(check_history(fleet)["undo"], 1)

    def test_ignores_a_short_absence(self) -> None:
        self.vms.listed_dead = {VM}
        self.tick(4)
        self.vms.listed_dead = set()
        self.tick(10)
        self.assertEqual(check_history(self.fleet)["outage"], 0)

    def test_records_a_vm_that_leaves_unplanned_as_down(self) -> None:
        self.vms.listed_leaving = {VM}
        self.run_to(VmPhase.DOWN)
        self.vms.listed_leaving = set()
        self.tick(2)
        self.vms.listed_leaving = {VM}
        self.tick(10)
        self.vms.listed_leaving = set()
        self.finish()
        self.assertEqual(self.kinds["recovery"], 1)

    def test_cancels_a_drain_interrupted_by_an_outage(self) -> None:
        self.vms.list_lag = 10.0
        self.vms.start_request(VM)
        self.start_drain()
        self.tick(3)
        self.vms.listed_dead = {VM}
        self.run_to(VmPhase.DOWN)
        self.vms.listed_dead = set()
        self.finish()
        self.tick(15)
        self.assertEqual(check_history(self.fleet)["outage"], 1)


if __name__ == "__main__":
    unittest.main()
