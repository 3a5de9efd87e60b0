"""Chooses workers for tasks: best fit with a penalty for crowding."""

from collections import Counter
from collections.abc import Iterable

from chestnutstair.coordination.placement import TaskRequest, Worker
from chestnutstair.state.resource import Resources

__all__ = ["FleetRoom", "find_best_worker"]

RACK_PENALTY = 1.0
ZONE_PENALTY = 0.5


class FleetRoom:
    """The free resources of workers, and where each job has its tasks."""

    def __init__(self, workers: Iterable[Worker]) -> None:
        self.workers = {worker.name: worker for worker in workers}
        self.free = {
            worker.name: worker.size for worker in self.workers.values()
        }
        self._racks: Counter[tuple[str, str]] = Counter()
        self._zones: Counter[tuple[str, str]] = Counter()

    def take(self, name: str, job: str, size: Resources) -> None:
        """Count a task of the job on the worker, if it is known."""
        worker = self.workers.get(name)
        if worker is None:
            return
        self.free[name] -= size
        self._racks[job, worker.rack] += 1
        self._zones[job, worker.zone] += 1

    def measure_crowding(self, job: str, worker: Worker) -> float:
        """Return the penalty for tasks of the job nearby."""
        return (
            RACK_PENALTY * self._racks[job, worker.rack]
            + ZONE_PENALTY * self._zones[job, worker.zone]
        )


def _measure_waste(
    free: Resources, size: Resources, whole: Resources
) -> float:
    left = free - size
    cores = left.cores / whole.cores if whole.cores else 0.0
    memory = left.memory_gb / whole.memory_gb if whole.memory_gb else 0.0
    return cores + memory


def find_best_worker(room: FleetRoom, request: TaskRequest) -> str | None:
    """Return the worker where the task leaves least room and crowding."""
    best = None
    for worker in room.workers.values():
        free = room.free[worker.name]
        if worker.name in request.avoid or not request.size.fits_into(free):
            continue
        waste = _measure_waste(free, request.size, worker.size)
        crowding = room.measure_crowding(request.task.job, worker)
        score = (waste + crowding, worker.name)
        if best is None or score < best:
            best = score
    return best[1] if best else None
