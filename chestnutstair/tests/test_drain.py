"""Tests of planned drains through all their steps."""

import unittest
from dataclasses import replace

from chestnutstair.state.change import PauseChange, TicketChange
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView, VmPhase
from chestnutstair.tests.maintenance_support import Fleet, check_history
from chestnutstair.tests.support import build_ticket

DAY_SECONDS = 86_400.0


def find_phase(view: FleetView, phase: VmPhase) -> list[str]:
    """Return the VMs in the phase."""
    return [
        name for name, item in view.statuses.items() if item.phase is phase
    ]


class ConductorTest(unittest.TestCase):
    """Drains keep the budget, cut nothing and survive lost answers."""

    def setUp(self) -> None:
        self.fleet = Fleet(build_ticket(runners=4, workers=0, zones=2))
        self.fleet.clock.sleep(1.5 * DAY_SECONDS)

    def run_to(self, phase: VmPhase) -> str:
        self.fleet.tick_until(lambda view: bool(find_phase(view, phase)))
        return find_phase(self.fleet.log.view, phase)[0]

    def finish(self, vm: str) -> None:
        self.fleet.tick_until(
            lambda view: view.statuses[vm].phase is VmPhase.SERVING
        )
        check_history(self.fleet)
        self.assertEqual(self.fleet.vms.cut, [])

    def test_cleans_a_vm(self) -> None:
        vm = self.run_to(VmPhase.DRAINING)
        self.finish(vm)
        status = self.fleet.log.view.statuses[vm]
        self.assertGreater(status.cleaned_at, 1.5 * DAY_SECONDS)
        self.assertEqual(list(self.fleet.vms.reboots.values()), [1])

    def test_waits_for_running_requests(self) -> None:
        self.fleet.vms.set_running("quotes-0", 1)
        vm = self.run_to(VmPhase.DRAINING)
        self.assertEqual(vm, "quotes-0")
        for _ in range(30):
            self.fleet.tick()
        self.assertEqual(
            self.fleet.log.view.statuses[vm].phase, VmPhase.DRAINING
        )
        self.fleet.vms.set_running(vm, 0)
        self.finish(vm)

    def test_undoes_a_drain_that_takes_too_long(self) -> None:
        self.fleet.vms.set_running("quotes-0", 1)
        vm = self.run_to(VmPhase.DRAINING)
        self.fleet.tick_until(
            lambda view: view.statuses[vm].phase is VmPhase.RETURNING, 1000
        )
        self.finish(vm)
        self.assertFalse(self.fleet.vms.is_leaving(vm))
        self.assertEqual(sum(self.fleet.vms.reboots.values()), 0)

    def test_waits_for_confirmation_a_bounded_time(self) -> None:
        self.fleet.stuck["entry-9"] = 1
        vm = self.run_to(VmPhase.DRAINING)
        for _ in range(10):
            self.fleet.tick()
        self.assertFalse(self.fleet.vms.is_leaving(vm))
        self.finish(vm)

    def test_reboots_once_though_answers_are_lost(self) -> None:
        vm = self.run_to(VmPhase.DRAINING)
        self.fleet.vms.lose_answers = 3
        self.finish(vm)
        self.assertEqual(list(self.fleet.vms.reboots.values()), [1])

    def test_moves_a_vm_to_the_declared_pool(self) -> None:
        ticket = build_ticket(runners=4, workers=4, zones=2)
        moved = replace(ticket.vms[0], pool="boxes")
        fleet = self.fleet = Fleet(ticket)
        change = TicketChange(Ticket(2, "tester", vms=(moved,)))
        fleet.log.append(change, fleet.deadline).unwrap()
        self.assertEqual(self.run_to(VmPhase.ARRIVING), "quotes-0")
        self.finish("quotes-0")
        self.assertEqual(fleet.log.view.statuses["quotes-0"].pool, "boxes")
        self.assertFalse(fleet.vms.is_leaving("quotes-0"))

    def test_undoes_drains_while_paused(self) -> None:
        vm = self.run_to(VmPhase.DRAINING)
        self.fleet.log.append(PauseChange(True), self.fleet.deadline).unwrap()
        self.finish(vm)
        for _ in range(20):
            self.fleet.tick()
        self.assertEqual(find_phase(self.fleet.log.view, VmPhase.DRAINING), [])
        self.fleet.log.append(PauseChange(False), self.fleet.deadline).unwrap()
        self.finish(self.run_to(VmPhase.DRAINING))


class OutageTest(unittest.TestCase):
    """Failures take the budget from planned drains, and give it back."""

    def test_undoes_drains_when_a_rack_fails(self) -> None:
        fleet = Fleet(build_ticket(runners=8, workers=0, budget=4))
        fleet.clock.sleep(20 * DAY_SECONDS)
        fleet.tick()
        draining = find_phase(fleet.log.view, VmPhase.DRAINING)
        self.assertEqual(draining, ["quotes-0", "quotes-1", "quotes-2"])
        for vm in draining:
            fleet.vms.set_running(vm, 1)
        rack = [f"quotes-{index}" for index in range(4, 8)]
        fleet.vms.set_live(rack, False)
        fleet.tick_until(
            lambda view: (
                find_phase(view, VmPhase.DOWN) == rack
                and len(find_phase(view, VmPhase.SERVING)) == 4
            )
        )
        for _ in range(20):
            fleet.tick()
        self.assertEqual(find_phase(fleet.log.view, VmPhase.DRAINING), [])
        fleet.vms.set_live(rack, True)
        fleet.tick_until(lambda view: bool(find_phase(view, VmPhase.DRAINING)))
        check_history(fleet)
        self.assertEqual(fleet.vms.cut, [])


if __name__ == "__main__":
    unittest.main()
