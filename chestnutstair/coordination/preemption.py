"""Chooses less urgent tasks to stop in favour of an urgent one."""

import heapq
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from chestnutstair.coordination.free_capacity import FreeCapacity
from chestnutstair.state.resource import Resources
from chestnutstair.state.task import TaskName

__all__ = [
    "Preemption",
    "Victim",
    "choose_victims",
    "compute_cost",
    "find_preemptions",
]

LOWEST_RANK = 1_000_000


@dataclass(frozen=True)
class Victim:
    """A running task that may be stopped, or was chosen to be."""

    task: TaskName
    worker: str
    rank: int  # a lower rank is more urgent
    size: Resources
    loss: float  # core-seconds of work lost if the checkpoint fails


@dataclass(frozen=True)
class Preemption:
    """The tasks to stop on one worker to make room for a task."""

    worker: str
    victims: tuple[Victim, ...]


def compute_cost(victims: Sequence[Victim]) -> tuple[int, float]:
    """Return the cost, ordered by the highest urgency, then by loss."""
    if not victims:
        return (-LOWEST_RANK, 0.0)
    most_urgent = min(victim.rank for victim in victims)
    return (-most_urgent, sum(victim.loss for victim in victims))


def _measure_gain(size: Resources, lacking: Resources) -> float:
    """Return how much of the lacking resources the size provides.

    Each resource that is lacking contributes 0 to 1, so that the result
    is between 0 and 3.
    """
    parts = (
        (size.cores, lacking.cores),
        (size.memory_gb, lacking.memory_gb),
        (size.accelerators, lacking.accelerators),
    )
    return sum(min(have / need, 1.0) for have, need in parts if need > 0)


def _choose_cheapest(
    free: Resources, size: Resources, gains: Mapping[Victim, float]
) -> tuple[Victim, ...] | None:
    """Add tasks by loss per gain, then drop those that are not needed."""
    chosen: list[Victim] = []
    for victim in sorted(gains, key=lambda item: item.loss / gains[item]):
        if size.fits_into(free):
            break
        chosen.append(victim)
        free += victim.size
    if not size.fits_into(free):
        return None
    for victim in sorted(chosen, key=lambda item: -item.loss):
        if size.fits_into(free - victim.size):
            chosen.remove(victim)
            free -= victim.size
    return tuple(chosen)


def choose_victims(
    free: Resources, size: Resources, candidates: Sequence[Victim]
) -> tuple[Victim, ...] | None:
    """Return the tasks to stop to make room for the size.

    More urgent tasks are considered only if less urgent ones do not free
    enough. The result is empty if the size fits already, and None if even
    all candidates together do not free enough.
    """
    if size.fits_into(free):
        return ()
    lacking = size - free
    gains = {item: _measure_gain(item.size, lacking) for item in candidates}
    for rank in sorted({item.rank for item in candidates}, reverse=True):
        allowed = {
            item: gain
            for item, gain in gains.items()
            if gain and item.rank >= rank
        }
        chosen = _choose_cheapest(free, size, allowed)
        if chosen is not None:
            return chosen
    return None


def _find_on_worker(
    capacity: FreeCapacity,
    worker: str,
    size: Resources,
    candidates: Sequence[Victim],
) -> Preemption | None:
    if not size.fits_into(capacity.workers[worker].size):
        return None
    victims = choose_victims(capacity.free[worker], size, candidates)
    return None if victims is None else Preemption(worker, victims)


def find_preemptions(
    capacity: FreeCapacity,
    size: Resources,
    candidates: Mapping[str, list[Victim]],
) -> Iterator[Preemption]:
    """Yield preemptions that each make room for a task, cheapest first.

    `candidates` holds the tasks that may be stopped, by worker. Before
    asking for the next preemption, the calling code removes the tasks
    that it stops from `candidates` and updates `capacity`.
    """
    heap = []
    for worker in candidates:
        preemption = _find_on_worker(
            capacity, worker, size, candidates[worker]
        )
        if preemption is not None:
            heap.append((compute_cost(preemption.victims), worker, preemption))
    heapq.heapify(heap)
    while heap:
        _, worker, preemption = heapq.heappop(heap)
        yield preemption
        next_preemption = _find_on_worker(
            capacity, worker, size, candidates[worker]
        )
        if next_preemption is not None:
            heapq.heappush(
                heap,
                (
                    compute_cost(next_preemption.victims),
                    worker,
                    next_preemption,
                ),
            )
