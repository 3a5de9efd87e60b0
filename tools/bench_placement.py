"""Compares placers and measures rounds of placement on a model fleet."""

import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from chestnutstair.coordination.placement import Worker
from chestnutstair.coordination.placer import (
    BestFitPlacer,
    Placer,
    ScoreSettings,
    measure_score,
)
from chestnutstair.coordination.plan import (
    LiveTask,
    PlanSettings,
    PoolSnapshot,
    RoundPlan,
    WaitingJob,
    plan_round,
)
from chestnutstair.coordination.room import FleetRoom
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources
from chestnutstair.state.task import TaskName

SEED = 6
FLEET_SIZES = (16, 116, 1000, 9900)
ZONE_COUNT = 11
RACK_SIZE = 4
WORKER_SIZE = Resources(64, 256)
ACCELERATOR_WORKER_SIZE = Resources(64, 256, 8)
ACCELERATOR_EVERY = 5  # every fifth rack; 16,000 accelerators on 9,900
DEMAND = 1.1  # of the cores of the fleet
UNLIMITED = PlanSettings(start_limit=10**9)
QUOTA = Resources(10**9, 10**9, 10**9)


class SamplingPlacer(Placer):
    """Scores a few random workers per task, and all only if none fits."""

    def __init__(self, settings: ScoreSettings, sample: int) -> None:
        self._settings = settings
        self._sample = sample
        self._random = random.Random(SEED)

    def choose(
        self,
        room: FleetRoom,
        job: Job,
        size: Resources,
        avoided: frozenset[str] = frozenset(),
    ) -> Iterator[str]:
        """Yield the best of each sample of workers with room."""
        names = [name for name in room.workers if name not in avoided]
        while names:
            sample = self._random.sample(names, min(self._sample, len(names)))
            fitting = [name for name in sample if room.fits(name, size)]
            if not fitting:
                fitting = [name for name in names if room.fits(name, size)]
            if not fitting:
                return
            yield min(
                fitting, key=lambda name: self._score(room, name, job, size)
            )

    def _score(
        self, room: FleetRoom, name: str, job: Job, size: Resources
    ) -> float:
        worker = room.workers[name]
        return measure_score(room, self._settings, worker, job, size)


def build_workers(count: int) -> tuple[Worker, ...]:
    """Return workers of the design's kind, four to a rack."""
    workers = []
    for index in range(count):
        rack = index // RACK_SIZE
        special = rack % ACCELERATOR_EVERY == 0
        size = ACCELERATOR_WORKER_SIZE if special else WORKER_SIZE
        zone = f"zone-{rack % ZONE_COUNT}"
        workers.append(Worker(f"w{index:05d}", zone, f"rack-{rack}", size))
    return tuple(workers)


def build_jobs(cores: float, seed: int) -> list[Job]:
    """Return jobs whose tasks ask for the cores in all."""
    source = random.Random(seed)
    jobs: list[Job] = []
    while cores > 0:
        accelerators = source.choice((1, 2, 4, 8))
        special = source.random() < 0.1
        size = Resources(
            source.choice((1, 2, 4, 4, 8, 8, 16, 32)),
            source.choice((2, 8, 16, 32, 64, 128)),
            accelerators if special else 0,
        )
        count = source.choice((1, 2, 4, 8, 20))
        cores -= size.cores * count
        name = f"job-{len(jobs)}"
        jobs.append(Job(name, "team", "pool", "normal", size, 60.0, count))
    return jobs


def wait_for(job: Job, rank: int = 1) -> WaitingJob:
    """Return the job with all its tasks waiting."""
    names = [TaskName(job.name, index) for index in range(job.task_count)]
    return WaitingJob(
        job,
        rank,
        job.resources,
        lambda count: names[:count],
        lambda _: frozenset(),
    )


def build_snapshot(
    workers: tuple[Worker, ...],
    jobs: list[WaitingJob],
    live: tuple[LiveTask, ...] = (),
) -> PoolSnapshot:
    """Return what a round has to decide on, without quotas in the way."""
    return PoolSnapshot(
        workers=workers,
        sizes=frozenset(worker.size for worker in workers),
        live=live,
        jobs=tuple(jobs),
        rooms={"team": QUOTA},
        quotas={"team": QUOTA},
        now=1000.0,
    )


@dataclass(frozen=True)
class Quality:
    """How good a placement is, and what it cost.

    `rack_share` is the mean over jobs, of at least 4 tasks that were all
    placed, of the largest share that one rack holds.
    """

    cores_used: float
    accelerators_used: float
    unplaced: int
    rack_share: float
    zone_share: float
    seconds: float
    placed: int


def _measure_share(
    plan: RoundPlan, place_of: dict[str, str], jobs: list[Job]
) -> float:
    counts: dict[str, Counter[str]] = {job.name: Counter() for job in jobs}
    for placement in plan.placements:
        counts[placement.job.name][place_of[placement.worker]] += 1
    shares = [
        max(counts[job.name].values()) / job.task_count
        for job in jobs
        if job.task_count >= 4 and counts[job.name].total() == job.task_count
    ]
    return sum(shares) / len(shares) if shares else 0.0


def measure_quality(
    workers: tuple[Worker, ...], jobs: list[Job], placer: Placer
) -> Quality:
    """Place all jobs on the empty fleet."""
    snapshot = build_snapshot(workers, [wait_for(job) for job in jobs])
    began = time.process_time()
    plan = plan_round(snapshot, UNLIMITED, placer)
    seconds = time.process_time() - began
    used = Resources()
    for placement in plan.placements:
        used += placement.size
    whole = Resources()
    for worker in workers:
        whole += worker.size
    racks = {worker.name: worker.rack for worker in workers}
    zones = {worker.name: worker.zone for worker in workers}
    return Quality(
        cores_used=used.cores / whole.cores,
        accelerators_used=used.accelerators / whole.accelerators,
        unplaced=sum(job.task_count for job in jobs) - len(plan.placements),
        rack_share=_measure_share(plan, racks, jobs),
        zone_share=_measure_share(plan, zones, jobs),
        seconds=seconds,
        placed=len(plan.placements),
    )


def print_placers() -> None:
    """Print the quality and cost of each placer by fleet size."""
    score = ScoreSettings()
    print("workers placer       cores  accel unplaced rack  zone  us/task")
    for count in FLEET_SIZES:
        workers = build_workers(count)
        jobs = build_jobs(DEMAND * count * WORKER_SIZE.cores, SEED)
        placers = {
            "best of all": BestFitPlacer(score, count),
            "best of 128": BestFitPlacer(score, 128),
            "sampling 8": SamplingPlacer(score, 8),
            "sampling 32": SamplingPlacer(score, 32),
        }
        for name, placer in placers.items():
            found = measure_quality(workers, jobs, placer)
            print(
                f"{count:7d} {name:12s} {found.cores_used:.3f} "
                f"{found.accelerators_used:6.3f} {found.unplaced:8d} "
                f"{found.rack_share:.3f} {found.zone_share:.3f} "
                f"{1e6 * found.seconds / max(1, found.placed):7.0f}",
                flush=True,
            )


def main() -> None:
    """Print all measurements."""
    print_placers()


if __name__ == "__main__":
    main()
