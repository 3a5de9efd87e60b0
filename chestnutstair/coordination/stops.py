"""Which running tasks were told to end, and how."""

from collections.abc import Iterator
from dataclasses import dataclass

from chestnutstair.coordination.pool_fleet import PoolFleet
from chestnutstair.coordination.tasks import TaskLedger
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.task import TaskName, TaskRecord

__all__ = ["StopOrder", "StopOrders"]


@dataclass(frozen=True)
class StopOrder:
    """An order to end one start of a task."""

    task: TaskName
    record: TaskRecord
    checkpoint: bool


class StopOrders:
    """The tasks that have to end: unwanted, draining or preempted.

    Orders are repeated until the task's end is confirmed. A preempted
    task that takes longer to checkpoint than its deadline is cut, if its
    job is restartable.
    """

    def __init__(self, clock: Clock, checkpoint_seconds: float) -> None:
        self._clock = clock
        self._checkpoint_seconds = checkpoint_seconds
        self._quiet_fleet: PoolFleet | None = None  # known to need no stop
        self._preempted: dict[TaskName, tuple[int, Deadline]] = {}

    def preempt(self, task: TaskName, record: TaskRecord) -> StopOrder:
        """Order this start of the task to end for a more urgent one."""
        until = Deadline.after(self._clock, self._checkpoint_seconds)
        self._preempted[task] = (record.token, until)
        return StopOrder(task, record, checkpoint=True)

    def is_ordered(self, task: TaskName, record: TaskRecord) -> bool:
        """Tell whether this start of the task was preempted."""
        token, _ = self._preempted.get(task, (0, None))
        return token == record.token

    def list_orders(
        self, fleet: PoolFleet, ledger: TaskLedger
    ) -> Iterator[StopOrder]:
        """Yield an order for each live task that has to end."""
        self._forget_ended(ledger)
        if fleet is self._quiet_fleet and not self._preempted:
            return
        self._quiet_fleet = None
        orders = 0
        for order in self._find_orders(fleet, ledger):
            orders += 1
            yield order
        if not orders:
            self._quiet_fleet = fleet

    def _find_orders(
        self, fleet: PoolFleet, ledger: TaskLedger
    ) -> Iterator[StopOrder]:
        for worker in ledger.list_busy_workers():
            draining = fleet.is_draining(worker)
            for task in ledger.list_live(worker):
                record = ledger.get(task)
                if not fleet.is_wanted(task):
                    yield StopOrder(task, record, checkpoint=False)
                elif draining:
                    yield StopOrder(task, record, checkpoint=True)
                elif self.is_ordered(task, record):
                    _, until = self._preempted[task]
                    cut = until.has_passed(self._clock)
                    cut = cut and fleet.jobs[task.job].restartable
                    yield StopOrder(task, record, checkpoint=not cut)

    def _forget_ended(self, ledger: TaskLedger) -> None:
        for task, (token, _) in list(self._preempted.items()):
            record = ledger.get(task)
            if not record.is_live() or record.token != token:
                del self._preempted[task]
