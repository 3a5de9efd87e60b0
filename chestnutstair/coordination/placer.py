"""Chooses workers for the identical tasks of a job.

The score of a worker grows with the resources that the task would leave
unused there, with the imbalance between unused cores and memory, and with
the share of the job's tasks that the worker's rack and zone already hold.
The lowest score wins.
"""

import heapq
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from chestnutstair.coordination.free_capacity import FreeCapacity
from chestnutstair.coordination.placement import Worker
from chestnutstair.state.codec import STRICT
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources

__all__ = [
    "BestFitPlacer",
    "Placer",
    "ScoreSettings",
    "compute_score",
]

SAMPLE_SIZE = 128  # workers
SAMPLE_SEED = 1


@dataclass(frozen=True)
class ScoreSettings:
    """The weights of a worker's score, each the highest penalty.

    - `unused_weight`: for a worker that would be left empty.
    - `uneven_weight`: for a worker that would be left with all of its
      cores and none of its memory, or the reverse.
    - `rack_weight`: for a rack that holds all tasks of the job.
    - `zone_weight`: for a zone that holds all tasks of the job.
    - `accelerator_weight`: for a worker with accelerators if the task
      needs none.
    """

    __pydantic_config__ = STRICT

    unused_weight: float = 0.2
    uneven_weight: float = 1.0
    rack_weight: float = 2.0
    zone_weight: float = 1.0
    accelerator_weight: float = 4.0


def compute_score(
    capacity: FreeCapacity,
    settings: ScoreSettings,
    worker: Worker,
    job: Job,
    size: Resources,
) -> float:
    """Return the worker's score for a task of the job; lower is better."""
    free, worker_size = capacity.free[worker.name], worker.size
    cores = (free.cores - size.cores) / (worker_size.cores or 1.0)
    memory = (free.memory_gb - size.memory_gb) / (worker_size.memory_gb or 1.0)
    score = settings.unused_weight * (cores + memory) / 2
    score += settings.uneven_weight * abs(cores - memory)
    crowding = (
        settings.rack_weight * capacity.tasks_per_rack[job.name, worker.rack]
    )
    crowding += (
        settings.zone_weight * capacity.tasks_per_zone[job.name, worker.zone]
    )
    score += crowding / job.task_count
    if worker_size.accelerators and not size.accelerators:
        score += settings.accelerator_weight
    return score


class Placer(ABC):
    """A strategy that chooses workers for the tasks of one job."""

    @abstractmethod
    def choose(
        self,
        capacity: FreeCapacity,
        job: Job,
        size: Resources,
        avoided: frozenset[str] = frozenset(),
    ) -> Iterator[str]:
        """Yield a worker for each further task, the best one first.

        Before asking for the next worker, the calling code allocates the
        task's resources on the worker that it uses.
        """


class BestFitPlacer(Placer):
    """Scores workers once per job and keeps them in a heap.

    If there are more than `sample` workers, a random sample of that size
    is scored first, and all workers only once the sample is full. Placing
    a task can only worsen the scores of other workers, so it is enough to
    recompute a score when its entry reaches the top of the heap.
    """

    def __init__(
        self, settings: ScoreSettings, sample: int = SAMPLE_SIZE
    ) -> None:
        self._settings = settings
        self._sample = sample
        self._random = random.Random(SAMPLE_SEED)

    def choose(
        self,
        capacity: FreeCapacity,
        job: Job,
        size: Resources,
        avoided: frozenset[str] = frozenset(),
    ) -> Iterator[str]:
        """Yield a worker for each further task, the best one first."""
        names = [name for name in capacity.workers if name not in avoided]
        if len(names) > self._sample:
            sample = self._random.sample(names, self._sample)
            yield from self._choose_from(sample, capacity, job, size)
        yield from self._choose_from(names, capacity, job, size)

    def _choose_from(
        self,
        names: Iterable[str],
        capacity: FreeCapacity,
        job: Job,
        size: Resources,
    ) -> Iterator[str]:
        score = partial(compute_score, capacity, self._settings)
        workers = capacity.workers
        heap = [
            (score(workers[name], job, size), name)
            for name in names
            if size.fits_into(capacity.free[name])
        ]
        heapq.heapify(heap)
        while heap:
            cached_score, name = heap[0]
            if not size.fits_into(capacity.free[name]):
                heapq.heappop(heap)
                continue
            current = score(workers[name], job, size)
            if current > cached_score:
                heapq.heapreplace(heap, (current, name))
                continue
            yield name
            updated_score = score(workers[name], job, size)
            heapq.heapreplace(heap, (updated_score, name))
