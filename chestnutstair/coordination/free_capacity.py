"""Tracks the free resources of workers and where jobs have tasks."""

from collections import Counter
from collections.abc import Iterable

from chestnutstair.coordination.placement import Worker
from chestnutstair.state.resource import Resources

__all__ = ["FreeCapacity"]


class FreeCapacity:
    """Free resources by worker, and counts of tasks by job and location.

    Calls that name an unknown worker have no effect.
    """

    def __init__(self, workers: Iterable[Worker]) -> None:
        self.workers = {worker.name: worker for worker in workers}
        self.free = {
            worker.name: worker.size for worker in self.workers.values()
        }
        # Keys are the names of a job and of a rack or zone with its tasks.
        self.tasks_per_rack: Counter[tuple[str, str]] = Counter()
        self.tasks_per_zone: Counter[tuple[str, str]] = Counter()

    def copy(self) -> "FreeCapacity":
        """Return a copy that can be changed; it shares the workers."""
        other = FreeCapacity(())
        other.workers = self.workers
        other.free = self.free.copy()
        other.tasks_per_rack = self.tasks_per_rack.copy()
        other.tasks_per_zone = self.tasks_per_zone.copy()
        return other

    def allocate(self, worker_name: str, job: str, size: Resources) -> None:
        """Reserve the size on the worker and count one task of the job."""
        worker = self.workers.get(worker_name)
        if worker is not None:
            self.free[worker_name] -= size
            self.tasks_per_rack[job, worker.rack] += 1
            self.tasks_per_zone[job, worker.zone] += 1

    def deallocate(self, worker_name: str, job: str, size: Resources) -> None:
        """Undo one `allocate` of the same worker, job and size."""
        worker = self.workers.get(worker_name)
        if worker is not None:
            self.free[worker_name] += size
            self.tasks_per_rack[job, worker.rack] -= 1
            self.tasks_per_zone[job, worker.zone] -= 1

    def fits(self, worker_name: str, size: Resources) -> bool:
        """Return whether the worker is known and has that much free."""
        free = self.free.get(worker_name)
        return free is not None and size.fits_into(free)
