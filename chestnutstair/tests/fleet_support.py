"""A fake fleet of VMs, and a leader without planner, for tests of pools."""

from collections.abc import Mapping

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.fleet_controller import FleetController
from chestnutstair.scheduling.fleet_state import FleetControllerSettings
from chestnutstair.scheduling.ports import (
    RowWrite,
    Vm,
    VmControl,
    WorkerCallFailure,
)
from chestnutstair.scheduling.shards.shard import ONLY_SHARD, Shard
from chestnutstair.scheduling.term import Term, TermRow, TermSettings
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.scheduling_support import TrackerHarness, build_entry

__all__ = ["MOVE_SECONDS", "FakeVms", "FleetHarness", "StoringLeader"]


MOVE_SECONDS = 1.5
MAINTENANCE_SECONDS = 2.0


class FakeVms(VmControl):
    """VMs that move between pools as ordered, and record the orders."""

    def __init__(
        self, harness: TrackerHarness, pools: Mapping[str, str]
    ) -> None:
        self._harness = harness
        self.pools = {f"vm-{name}": pool for name, pool in pools.items()}
        self.orders: list[tuple[str, str]] = []
        self.lose_answers = 0
        self.lose_orders = 0
        self.refusals = 0
        self.maintained: list[str] = []
        self.workers: dict[str, str] = {}  # listed names of workers by VM
        self.back_at: dict[str, float] = {}

    def list_vms(self) -> Result[list[Vm], WorkerCallFailure]:
        """Return all VMs."""
        return Ok(
            [
                Vm(
                    name,
                    pool,
                    self._get_state(name),
                    "zone-a",
                    self.workers.get(name, ""),
                    ("a",),
                    64_000,
                )
                for name, pool in self.pools.items()
            ]
        )

    def _get_state(self, vm: str) -> str:
        if self._harness.clock.now >= self.back_at.get(vm, 0.0):
            return "up"
        return "maintenance" if vm in self.maintained else "moving"

    def move(
        self, vm: str, service: str, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """Record a move of a VM, and carry it out.

        A VM that has joined the pool before is left as it is.
        """
        self.orders.append((vm, service))
        if self.lose_orders:
            self.lose_orders -= 1
            return Err(UnknownOutcomeFailure("order lost"))
        if self.refusals:
            self.refusals -= 1
            return Err(UnavailableFailure("status 429"))
        if self.pools[vm] == service:
            return self._answer()
        self.pools[vm] = service
        self.back_at[vm] = self._harness.clock.now + MOVE_SECONDS
        return self._answer()

    def maintain(
        self, vm: str, wave: int, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """Record an order for maintenance of a VM, and carry it out once."""
        self.orders.append((vm, f"wave {wave}"))
        if self.refusals:
            self.refusals -= 1
            return Err(UnavailableFailure("status 429"))
        if vm not in self.maintained:
            self.maintained.append(vm)
            self.back_at[vm] = self._harness.clock.now + MAINTENANCE_SECONDS
        return self._answer()

    def _answer(self) -> Result[None, WorkerCallFailure]:
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(UnknownOutcomeFailure("answer lost"))
        return Ok(None)

    def bring_workers_back(self) -> None:
        """Register a worker for each VM that is up and has none.

        VMs of the spare pool have no workers.
        """
        harness = self._harness
        for vm, pool in self.pools.items():
            vms_with_worker = {
                w.entry.vm for w in harness.tracker.workers.values()
            }
            is_up = self._get_state(vm) == "up"
            if pool != "spare" and is_up and vm not in vms_with_worker:
                name = f"{vm[3:]}-{harness.clock.now}"
                entry = build_entry(name, pool)
                harness.tracker.apply_worker_entry(
                    type(entry)(**{**vars(entry), "vm": vm})
                )
                harness.answer(name)


class StoringLeader:
    """The part of a leader that the fleet controller uses.

    Stores rows at once, without its term.
    """

    def __init__(self, harness: TrackerHarness, store: MemoryRowStore) -> None:
        self.tracker = harness.tracker
        self._harness = harness
        self._store = store
        row = TermRow("node", "node:1", 1, 0)
        self.term = Term(store, harness.clock, row, 0, TermSettings())
        self.has_ended = False

    def store(self, writes: list[RowWrite], seconds: float) -> bool:
        """Store rows; return whether that succeeded."""
        deadline = Deadline.after(self._harness.clock, seconds)
        return self._store.commit([], writes, deadline).is_ok()

    def queue_write(self, write: RowWrite) -> None:
        """Store a row."""
        self.store([write], 1.0)

    def wake(self) -> None:
        """Do nothing; there is no planner."""


class FleetHarness:
    """A fleet controller on a manual clock.

    `pools` maps worker names to pools; VMs of the pool `spare` are off.
    """

    def __init__(
        self,
        pools: Mapping[str, str],
        settings: FleetControllerSettings | None = None,
        shard: Shard = ONLY_SHARD,
    ) -> None:
        on = {name: pool for name, pool in pools.items() if pool != "spare"}
        self.tracker_harness = TrackerHarness(())
        for name, pool in on.items():
            self.tracker_harness.tracker.apply_worker_entry(
                build_entry(name, pool)
            )
            self.tracker_harness.answer(name)
        self.store = MemoryRowStore()
        self.vms = FakeVms(self.tracker_harness, pools)
        self.waves: list[MaintenanceWave] = []
        self.leader = StoringLeader(self.tracker_harness, self.store)
        self.controller = FleetController(
            self.leader,  # type: ignore[arg-type]
            self.tracker_harness.planner,
            self.vms,
            self.store,
            lambda: self.waves,
            self.tracker_harness.clock,
            settings or FleetControllerSettings(),
            shard,
        )

    def run_round(self, seconds: float = 0.1) -> None:
        """Advance the clock, let workers answer, run one control round."""
        harness = self.tracker_harness
        harness.clock.now += seconds
        self.leader.term.renewed_at = harness.clock.now
        harness.answer_all()
        for worker in harness.tracker.workers.values():
            worker.acknowledged_end = worker.applied_end
        self.controller._step()

    def count_vms(self, service: str = "boxes") -> int:
        """Return how many VMs are in a pool or are moving to it."""
        return sum(pool == service for pool in self.vms.pools.values())
