"""Chooses workers for the equal tasks of a job.

The score of a worker is what the task would leave unused there, and how
unevenly, plus penalties for the share of the job that the worker's rack
and zone hold. The lowest score wins.
"""

import heapq
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import partial

from chestnutstair.coordination.placement import Worker
from chestnutstair.coordination.free_capacity import FreeCapacity
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
    """The weights of a score.

    `unused_weight` counts for a worker left empty, `uneven_weight` for
    one left with all of its cores and none of its memory or the reverse,
    `rack_weight` and `zone_weight` for a rack or zone that holds the
    whole job, `accelerator_weight` for a task that needs none on a worker
    that has some.
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
    """Return how badly a task of the job suits the worker."""
    free, whole = capacity.free[worker.name], worker.size
    cores = (free.cores - size.cores) / (whole.cores or 1.0)
    memory = (free.memory_gb - size.memory_gb) / (whole.memory_gb or 1.0)
    score = settings.unused_weight * (cores + memory) / 2
    score += settings.uneven_weight * abs(cores - memory)
    crowding = settings.rack_weight * capacity.tasks_per_rack[job.name, worker.rack]
    crowding += settings.zone_weight * capacity.tasks_per_zone[job.name, worker.zone]
    score += crowding / job.task_count
    if whole.accelerators and not size.accelerators:
        score += settings.accelerator_weight
    return score


class Placer(ABC):
    """A way to choose workers for the tasks of one job."""

    @abstractmethod
    def choose(
        self,
        capacity: FreeCapacity,
        job: Job,
        size: Resources,
        avoided: frozenset[str] = frozenset(),
    ) -> Iterator[str]:
        """Yield workers with room for a task each, the best one first.

        The caller takes the room of each worker that it uses before it
        asks for the next.
        """


class BestFitPlacer(Placer):
    """Scores every worker with room once per job, or a sample of many.

    Of more than `sample` workers that many are scored, and the others
    only if these are full. Taking a worker can only worsen the scores of
    others, so a heap whose entries are scored anew when they come up
    yields the order of the scores.
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
        """Yield workers with room for a task each, the best one first."""
        names = [name for name in capacity.workers if name not in avoided]
        if len(names) > self._sample:
            sample = self._random.sample(names, self._sample)
            yield from self._choose_from(sample, capacity, job, size)
        yield from self._choose_from(names, capacity, job, size)

    def _choose_from(
        self, names: Iterable[str], capacity: FreeCapacity, job: Job, size: Resources
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
            known, name = heap[0]
            if not size.fits_into(capacity.free[name]):
                heapq.heappop(heap)
                continue
            current = score(workers[name], job, size)
            if current > known:
                heapq.heapreplace(heap, (current, name))
                continue
            yield name
            again = score(workers[name], job, size)
            heapq.heapreplace(heap, (again, name))
