"""Determines which running tasks have to stop, and how."""

from collections.abc import Iterator
from dataclasses import dataclass

from chestnutstair.coordination.pool_fleet import PoolFleet
from chestnutstair.coordination.task_store import TaskStore
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.task import TaskName, TaskRecord

__all__ = ["StopOrder", "StopOrders"]


@dataclass(frozen=True)
class StopOrder:
    """An order to stop one start of a task."""

    task: TaskName
    record: TaskRecord
    checkpoint: bool  # whether the task may save its state first


class StopOrders:
    """Orders to stop tasks that are unwanted, draining or preempted.

    Orders are repeated until the task's end is confirmed. A preempted
    task of a restartable job that does not finish its checkpoint by the
    deadline is stopped without it.
    """

    def __init__(self, clock: Clock, checkpoint_seconds: float) -> None:
        self._clock = clock
        self._checkpoint_seconds = checkpoint_seconds
        self._fleet_without_stops: PoolFleet | None = None  # last seen
        self._preempted: dict[TaskName, tuple[int, Deadline]] = {}

    def preempt(self, task: TaskName, record: TaskRecord) -> StopOrder:
        """Order this start of the task to stop with a checkpoint.

        The checkpoint's deadline starts now.
        """
        checkpoint_deadline = Deadline.after(
            self._clock, self._checkpoint_seconds
        )
        self._preempted[task] = (record.token, checkpoint_deadline)
        return StopOrder(task, record, checkpoint=True)

    def is_preempted(self, task: TaskName, record: TaskRecord) -> bool:
        """Return whether this start of the task was preempted."""
        token, _ = self._preempted.get(task, (0, None))
        return token == record.token

    def list_orders(
        self, fleet: PoolFleet, task_store: TaskStore
    ) -> Iterator[StopOrder]:
        """Yield an order for each live task that has to stop."""
        self._drop_ended(task_store)
        if fleet is self._fleet_without_stops and not self._preempted:
            return
        self._fleet_without_stops = None
        orders = 0
        for order in self._find_orders(fleet, task_store):
            orders += 1
            yield order
        if not orders:
            self._fleet_without_stops = fleet

    def _find_orders(
        self, fleet: PoolFleet, task_store: TaskStore
    ) -> Iterator[StopOrder]:
        for worker in task_store.list_busy_workers():
            draining = fleet.is_draining(worker)
            for task in task_store.list_live(worker):
                record = task_store.get(task)
                if not fleet.is_wanted(task):
                    yield StopOrder(task, record, checkpoint=False)
                elif draining:
                    yield StopOrder(task, record, checkpoint=True)
                elif self.is_preempted(task, record):
                    _, checkpoint_deadline = self._preempted[task]
                    skip_checkpoint = checkpoint_deadline.has_passed(
                        self._clock
                    )
                    skip_checkpoint = (
                        skip_checkpoint and fleet.jobs[task.job].restartable
                    )
                    yield StopOrder(
                        task, record, checkpoint=not skip_checkpoint
                    )

    def _drop_ended(self, task_store: TaskStore) -> None:
        for task, (token, _) in list(self._preempted.items()):
            record = task_store.get(task)
            if not record.is_live() or record.token != token:
                del self._preempted[task]
