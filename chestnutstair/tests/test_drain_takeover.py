"""Tests of operations whose daemon is killed or paused at any step."""

import logging
import random
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from chestnutstair.state.change import OutageChange, PauseChange, TicketChange
from chestnutstair.state.fleet import Vm
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import VmPhase
from chestnutstair.tests.maintenance_support import check_history
from chestnutstair.tests.support import build_ticket
from tools.maintained_fleet import Fleet

DAY_SECONDS = 86_400.0
VM = "quotes-0"
STEP_LIMIT = 40
FAULT_TICKS = 600
PERIOD_SECONDS = 200.0  # short, so that random faults meet many drains


class KilledError(Exception):
    """The daemon was killed."""


class Interruption:
    """Calls `act` once, before the nth commit or command of a daemon."""

    def __init__(self, fleet: Fleet, step: int, act: Callable[[], None]):
        self._left = step
        self._act = act
        fleet.table.before = fleet.vms.before_command = self.count

    @property
    def reached(self) -> bool:
        """Whether the nth commit or command was reached."""
        return self._left <= 0

    def count(self) -> None:
        """Count one commit or command."""
        self._left -= 1
        if self._left == 0:
            self._act()


def build_due_cleaning() -> Fleet:
    """Return a fleet with one VM that is due for cleaning."""
    fleet = Fleet(build_ticket(runners=4, workers=0, zones=2, budget=1))
    fleet.clock.sleep(1.5 * DAY_SECONDS)
    return fleet


def build_move() -> Fleet:
    """Return a fleet with one VM that a ticket moves to another pool."""
    ticket = build_ticket(runners=4, workers=4, zones=2, budget=1)
    fleet = Fleet(ticket)
    moved = replace(ticket.vms[0], pool="boxes")
    fleet.append(TicketChange(Ticket(2, "tester", vms=(moved,))))
    return fleet


def build_undo() -> Fleet:
    """Return a fleet whose drain is undone as an operator paused drains."""
    fleet = build_due_cleaning()
    for _ in range(3):
        fleet.tick()
    fleet.append(PauseChange(True))
    return fleet


SCENARIOS = {
    "cleaning": build_due_cleaning,
    "move": build_move,
    "undo": build_undo,
}


class TakeoverTest(unittest.TestCase):
    """Another daemon finishes an operation, and no step is done twice."""

    def finish(self, fleet: Fleet, daemon: int) -> None:
        fleet.tick_until(
            lambda view: (
                view.statuses[VM].phase is VmPhase.SERVING
                and (view.paused or self.is_done(fleet))
            ),
            daemon=daemon,
        )

    def is_done(self, fleet: Fleet) -> bool:
        return bool(fleet.vms.reboots) or (
            fleet.logs[1].view.statuses[VM].pool == "boxes"
        )

    def check(self, fleet: Fleet, context: tuple[str, int]) -> None:
        check_history(fleet)
        self.assertEqual(fleet.vms.unsafe_reboots, [], context)
        self.assertLessEqual(max(fleet.vms.reboots.values(), default=0), 1)
        self.assertFalse(fleet.vms.is_leaving(VM), context)

    def run_all(self, interrupt: Callable[[Fleet, int], bool]) -> None:
        for name, build in SCENARIOS.items():
            steps = 0
            for step in range(1, STEP_LIMIT):
                fleet = build()
                if not interrupt(fleet, step):
                    break
                steps += 1
                self.check(fleet, (name, step))
            self.assertGreater(steps, 1, name)

    def test_daemon_killed_at_each_step(self) -> None:
        def kill(fleet: Fleet, step: int) -> bool:
            def kill_daemon() -> None:
                raise KilledError

            interruption = Interruption(fleet, step, kill_daemon)
            try:
                self.finish(fleet, daemon=0)
            except KilledError:
                fleet.take_over("quotes")
                fleet.take_over("boxes")
                self.finish(fleet, daemon=1)
            return interruption.reached

        self.run_all(kill)

    def test_daemon_paused_at_each_step(self) -> None:
        def pause(fleet: Fleet, step: int) -> bool:
            def wait() -> None:
                fleet.take_over("quotes")
                fleet.take_over("boxes")
                self.finish(fleet, daemon=1)

            interruption = Interruption(fleet, step, wait)
            self.finish(fleet, daemon=0)
            for _ in range(10):
                fleet.tick(daemon=0)
            self.finish(fleet, daemon=0)
            return interruption.reached

        self.run_all(pause)


class RandomFaultsTest(unittest.TestCase):
    """Random faults, alone and combined, violate no guarantee."""

    def setUp(self) -> None:
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def send_requests(self, fleet: Fleet, rng: random.Random) -> None:
        """Start requests by a current and by a stale view, and end some."""
        for view in (fleet.log.view, self.stale):
            name = rng.choice(sorted(view.statuses))
            if view.statuses[name].phase is VmPhase.SERVING:
                fleet.vms.start_request(name)
        for name in view.statuses:
            fleet.vms.end_requests(name, rng.choice((0, 0, 1)))

    def file_ticket(self, fleet: Fleet, rng: random.Random) -> None:
        """Commit a move and a changed budget as tickets that race."""
        view = fleet.log.view
        vm: Vm = view.vms[rng.choice(sorted(view.vms))]
        pool = view.pools["quotes"]
        other = "boxes" if vm.pool == "quotes" else "quotes"
        budget = rng.choice((1, 2, 3))
        number = view.ticket + 1
        for log, ticket in (
            (
                fleet.logs[0],
                Ticket(number, "a", vms=(replace(vm, pool=other),)),
            ),
            (
                fleet.logs[1],
                Ticket(
                    number,
                    "b",
                    pools=(replace(pool, availability_budget=budget),),
                ),
            ),
        ):
            log.append(TicketChange(ticket), fleet.deadline)

    def inject_fault(self, fleet: Fleet, rng: random.Random) -> None:
        vms = fleet.log.view.vms.values()
        rack = rng.choice(sorted({vm.rack for vm in vms}))
        names = [vm.name for vm in vms if vm.rack == rack]
        match rng.randrange(20):
            case 0:
                fleet.vms.set_live(names, rng.random() < 0.6)
            case 1:
                fleet.vms.listed_dead = rng.choice(({*names}, set(), set()))
            case 2:
                fleet.table.lose_answers = 1
            case 3:
                fleet.vms.lose_answers = 1
            case 4:
                fleet.append(PauseChange(False))
            case 5:
                self.stale = fleet.log.view
            case 6 if rng.random() < 0.3:
                self.file_ticket(fleet, rng)

    def interleave(self, fleet: Fleet, rng: random.Random) -> None:
        """Run a takeover, outages or a pause just before a daemon commits."""
        fleet.table.down = False
        match rng.randrange(3):
            case 0:
                fleet.take_over(rng.choice(("quotes", "boxes")))
                for _ in range(rng.randrange(20)):
                    fleet.tick(daemon=2)
            case 1:
                log = fleet.logs[2]
                log.refresh(fleet.deadline)
                for vm in rng.sample(sorted(log.view.vms), 4):
                    log.append(OutageChange(vm), fleet.deadline)
            case 2:
                log = fleet.logs[2]
                log.refresh(fleet.deadline)
                log.append(PauseChange(True), fleet.deadline)

    def run_with_faults(self, seed: int) -> Fleet:
        rng = random.Random(seed)
        ticket = build_ticket(runners=8, workers=8, budget=3)
        pools = tuple(
            replace(pool, maintenance_period_seconds=PERIOD_SECONDS)
            for pool in ticket.pools
        )
        fleet = Fleet(replace(ticket, pools=pools), daemons=3)
        self.stale = fleet.log.view

        def interfere() -> None:
            fleet.table.down = rng.random() < 0.05
            if rng.random() < 0.1:
                fleet.table.before = lambda: None
                self.interleave(fleet, rng)

        for _ in range(FAULT_TICKS):
            fleet.table.before = lambda: None
            fleet.table.down = False
            self.send_requests(fleet, rng)
            self.inject_fault(fleet, rng)
            fleet.vms.list_down = rng.random() < 0.05
            fleet.table.before = interfere
            fleet.tick(daemon=rng.randrange(2))
        fleet.table.before = lambda: None
        fleet.table.down = fleet.vms.list_down = False
        return fleet

    def recover(self, fleet: Fleet) -> None:
        view = fleet.log.view
        fleet.vms.listed_dead = set()
        fleet.vms.set_live(view.statuses, True)
        fleet.append(PauseChange(True))
        for name in view.statuses:
            fleet.vms.end_requests(name, 1000)
        fleet.tick_until(
            lambda view: all(
                status.phase is VmPhase.SERVING
                for status in view.statuses.values()
            )
        )

    def test_random_faults_break_no_guarantee(self) -> None:
        totals: Counter[str] = Counter()
        for seed in range(8):
            fleet = self.run_with_faults(seed)
            self.recover(fleet)
            totals += check_history(fleet)
            self.assertEqual(fleet.vms.unsafe_reboots, [], seed)
            self.assertLessEqual(set(fleet.vms.reboots.values()), {1})
            leaving = filter(fleet.vms.is_leaving, fleet.log.view.vms)
            self.assertEqual(list(leaving), [], seed)
        kinds = {"move", "outage", "pause", "proof", "reboot", "undo"}
        self.assertLessEqual(kinds, set(totals))
