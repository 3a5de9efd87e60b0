"""Tests of pools that follow demand, and of maintenance waves."""

import unittest

from result import Err, Ok, Result

from chestnutstair.coordination.platform import UnknownOutcomeFailure
from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.fleet import FleetKeeper, FleetKeeperSettings
from chestnutstair.scheduling.ports import (
    RowWrite,
    Vm,
    VmControl,
    WorkerCallFailure,
)
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.term import Term, TermRow, TermSettings
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.scheduling_support import BookCase, build_entry

POOL = ("w1", "w2", "w3", "w4")
SPARE = ("s1", "s2", "s3", "s4")


class FakeVms(VmControl):
    """VMs whose workers come and go as they are ordered."""

    def __init__(self, case: BookCase) -> None:
        self._case = case
        self.pools = {f"vm-{name}": "boxes" for name in POOL}
        self.pools |= {f"vm-{name}": "spare" for name in SPARE}
        self.orders: list[tuple[str, str]] = []
        self.lose_answers = 0

    def list_vms(self) -> Result[list[Vm], WorkerCallFailure]:
        """Return every VM."""
        return Ok(
            [
                Vm(name, pool, "up", "zone-a", "", ("a",), 64_000)
                for name, pool in self.pools.items()
            ]
        )

    def move(
        self, vm: str, service: str, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """Move a VM."""
        self.orders.append((vm, service))
        self.pools[vm] = service
        return self._answer()

    def maintain(
        self, vm: str, wave: int, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """Take a VM down."""
        self.orders.append((vm, f"wave {wave}"))
        return self._answer()

    def _answer(self) -> Result[None, WorkerCallFailure]:
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(UnknownOutcomeFailure("answer lost"))
        return Ok(None)

    def bring_workers_back(self) -> None:
        """Let the workers of VMs that are up register."""
        case = self._case
        for vm, pool in self.pools.items():
            known = {w.entry.vm for w in case.book.workers.values()}
            if pool == "boxes" and vm not in known:
                name = f"{vm[3:]}-{case.clock.now}"
                entry = build_entry(name)
                case.book.note_worker(type(entry)(**{**vars(entry), "vm": vm}))
                case.answer(name)


class StoringLeader:
    """The part of a leader that the keeper uses; stores at once."""

    def __init__(self, case: BookCase, store: MemoryRowStore) -> None:
        self.book = case.book
        self._case = case
        self._store = store
        row = TermRow("node", "node:1", 1, 0)
        self.term = Term(store, case.clock, row, 0, TermSettings())
        self.has_ended = False

    def store(self, writes: list[RowWrite], seconds: float) -> bool:
        """Store rows."""
        deadline = Deadline.after(self._case.clock, seconds)
        return self._store.commit([], writes, deadline).is_ok()

    def add_write(self, write: RowWrite) -> None:
        """Store a row."""
        self.store([write], 1.0)

    def wake(self) -> None:
        """Plan: nothing here."""


class FleetKeeperTest(unittest.TestCase):
    """A pool of four VMs, half of which are its base, and four in reserve."""

    def setUp(self) -> None:
        self.case = BookCase(POOL)
        self.store = MemoryRowStore()
        self.vms = FakeVms(self.case)
        self.waves: list[MaintenanceWave] = []
        self.leader = StoringLeader(self.case, self.store)
        self.keeper = FleetKeeper(
            self.leader,  # type: ignore[arg-type]
            self.case.planner,
            self.vms,
            self.store,
            lambda: self.waves,
            self.case.clock,
            FleetKeeperSettings(),
        )

    def step(self, seconds: float = 0.1) -> None:
        """Let time pass, workers answer, and the keeper look."""
        self.case.clock.now += seconds
        self.leader.term.renewed_at = self.case.clock.now
        self.case.answer_all()
        for worker in self.case.book.workers.values():
            worker.seen_sent = worker.seen_applied
        self.keeper._step()

    def count_pool(self) -> int:
        return sum(pool == "boxes" for pool in self.vms.pools.values())

    def flood(self) -> None:
        for number in range(30):
            steps = [Step(8, 4000, estimate_ms=1000)]
            self.case.admit(f"j{number}", steps)

    def test_a_wave_takes_as_many_vms_as_its_time_asks_for(self) -> None:
        # Half of a large pool is due: one VM at a time would take minutes.
        names = [f"n{number}" for number in range(40)]
        for name in names:
            self.case.book.note_worker(build_entry(name))
            self.vms.pools[f"vm-{name}"] = "boxes"
        due = tuple(f"vm-{name}" for name in names[:20])
        self.waves.append(MaintenanceWave(1, due, 26.0, 16))
        self.step()
        begun = [vm for vm, what in self.vms.orders if what == "wave 1"]
        self.assertGreaterEqual(len(begun), len(due) * 5.0 / 26.0)
        self.assertLessEqual(len(begun), len(names) / 4)

    def test_a_flood_brings_vms_at_once(self) -> None:
        self.flood()
        self.step()
        self.assertEqual(self.count_pool(), len(POOL) + len(SPARE))

    def test_idle_vms_leave_down_to_the_base(self) -> None:
        for _ in range(40):
            self.step()
        self.assertEqual(self.count_pool(), 2)
        self.assertEqual(len(self.case.book.workers), 2)

    def test_a_vm_with_work_does_not_leave(self) -> None:
        self.case.admit("j", [Step(4, 45_000)])
        self.case.start_all(self.case.plan())
        for _ in range(40):
            self.step()
        self.assertEqual(self.count_pool(), 4)

    def test_a_lasting_task_moves_before_its_vm_leaves(self) -> None:
        self.case.admit("j", [Step(4, 1000, lasting=True, spread_limit=1)])
        self.case.start_all(self.case.plan())
        for _ in range(40):
            self.step()
        self.assertEqual(self.count_pool(), 4, "no other may take it")

    def test_no_order_without_a_fresh_term(self) -> None:
        self.flood()
        self.case.clock.now += 2.0
        self.case.answer_all()
        self.leader.term.renewed_at = self.case.clock.now - 1.5
        self.keeper._step()
        self.assertEqual(self.vms.orders, [])

    def test_an_order_without_answer_is_given_again(self) -> None:
        self.flood()
        self.vms.lose_answers = 1
        self.step()
        first = self.vms.orders[0]
        self.step(1.1)
        self.assertEqual(self.vms.orders.count(first), 2)

    def test_a_wave_is_kept_under_its_cap_and_told(self) -> None:
        due = tuple(f"vm-{name}" for name in ("w1", "s1", "s2", "s3"))
        self.waves.append(MaintenanceWave(7, due, 20.0, 2))
        down: dict[str, float] = {}
        for _ in range(120):
            seen = len(self.vms.orders)
            self.step()
            now = self.case.clock.now
            for vm, what in self.vms.orders[seen:]:
                if what == "wave 7":
                    down[vm] = now
            under_way = [at for at in down.values() if now - at < 2.0]
            self.assertLessEqual(len(under_way), 2)
            self.vms.bring_workers_back()
        self.assertEqual(set(down), set(due))
        deadline = Deadline.after(self.case.clock, 1.0)
        rows = self.store.read("status", "", deadline).unwrap().rows
        self.assertIn(b"completed", rows[0].value or b"")
