"""Compares placers and measures rounds of placement on a model fleet."""

import logging
import math
import random
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace

from chestnutstair.coordination.free_capacity import FreeCapacity
from chestnutstair.coordination.placement import Worker
from chestnutstair.coordination.placer import (
    BestFitPlacer,
    Placer,
    ScoreSettings,
    compute_score,
)
from chestnutstair.coordination.plan import (
    LiveTask,
    PlanSettings,
    PoolSnapshot,
    RoundPlan,
    WaitingJob,
    plan_round,
)
from chestnutstair.coordination.pool_reconciler import PlacementSettings
from chestnutstair.coordination.usage import UsageSettings
from chestnutstair.coordination.worker_client import WorkerClientSettings
from chestnutstair.coordination.worker_lease import LeaseSettings
from chestnutstair.standins.memory_workers import TaskBehaviour
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources
from chestnutstair.state.task import TaskName
from tools.placement_model import (
    ROUND_INTERVAL_SECONDS,
    PlacementModel,
    PoolSize,
    RoundCost,
)

SEED = 6
FLEET_SIZES = (16, 116, 1000, 9900)
ZONE_COUNT = 11
RACK_SIZE = 4
WORKER_SIZE = Resources(64, 256)
ACCELERATOR_WORKER_SIZE = Resources(64, 256, 8)
# Every fifth rack has accelerators: 16,000 of them on 9,900 workers.
ACCELERATOR_RACK_INTERVAL = 5
DEMAND_RATIO = 1.1  # requested cores, as a share of the fleet's cores
UNLIMITED_STARTS = PlanSettings(start_limit=10**9)
URGENT_LIMIT_SECONDS = 3.8  # an urgent task that starts later is late
PAPAGALAKI = PoolSize("papagalaki", 8, 4, WORKER_SIZE)
ROSALEDA = PoolSize("rosaleda", 6, 3, Resources(16, 64))
DESIGN_POOL = PoolSize("design", 116, 11, WORKER_SIZE)  # one of 85 pools
QUOTA = Resources(10**9, 10**9, 10**9)


class SamplingPlacer(Placer):
    """Scores a random sample of workers, and all only if none has room."""

    def __init__(self, settings: ScoreSettings, sample: int) -> None:
        self._settings = settings
        self._sample = sample
        self._random = random.Random(SEED)

    def choose(
        self,
        capacity: FreeCapacity,
        job: Job,
        size: Resources,
        avoided: frozenset[str] = frozenset(),
    ) -> Iterator[str]:
        """Yield the best worker with room in each sample."""
        names = [name for name in capacity.workers if name not in avoided]
        while names:
            sample = self._random.sample(names, min(self._sample, len(names)))
            fitting = [name for name in sample if capacity.fits(name, size)]
            if not fitting:
                fitting = [name for name in names if capacity.fits(name, size)]
            if not fitting:
                return
            yield min(
                fitting,
                key=lambda name: self._score(capacity, name, job, size),
            )

    def _score(
        self, capacity: FreeCapacity, name: str, job: Job, size: Resources
    ) -> float:
        worker = capacity.workers[name]
        return compute_score(capacity, self._settings, worker, job, size)


def build_workers(count: int) -> tuple[Worker, ...]:
    """Return workers as in the design, RACK_SIZE to a rack."""
    workers = []
    for index in range(count):
        rack = index // RACK_SIZE
        has_accelerators = rack % ACCELERATOR_RACK_INTERVAL == 0
        size = ACCELERATOR_WORKER_SIZE if has_accelerators else WORKER_SIZE
        zone = f"zone-{rack % ZONE_COUNT}"
        workers.append(Worker(f"w{index:05d}", zone, f"rack-{rack}", size))
    return tuple(workers)


def build_jobs(cores: float, seed: int) -> list[Job]:
    """Return jobs whose tasks request at least the cores in total."""
    rng = random.Random(seed)
    jobs: list[Job] = []
    while cores > 0:
        accelerators = rng.choice((1, 2, 4, 8))
        has_accelerators = rng.random() < 0.1
        size = Resources(
            rng.choice((1, 2, 4, 4, 8, 8, 16, 32)),
            rng.choice((2, 8, 16, 32, 64, 128)),
            accelerators if has_accelerators else 0,
        )
        count = rng.choice((1, 2, 4, 8, 20))
        cores -= size.cores * count
        name = f"job-{len(jobs)}"
        jobs.append(Job(name, "team", "pool", "normal", size, 60.0, count))
    return jobs


def build_waiting_job(job: Job, rank: int = 1) -> WaitingJob:
    """Return the job with all of its tasks waiting."""
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
    """Return the input of a planning round with an unlimited quota."""
    return PoolSnapshot(
        workers=workers,
        sizes=frozenset(worker.size for worker in workers),
        live=live,
        jobs=tuple(jobs),
        team_limits={"team": QUOTA},
        quotas={"team": QUOTA},
        now=1000.0,
    )


@dataclass(frozen=True)
class PlacementQuality:
    """Quality and cost of a placement.

    `rack_share` is the mean of the largest share of a job's tasks on one
    rack, over the jobs with at least 4 tasks that were all placed;
    `zone_share` is the same by zone.
    """

    cores_used: float  # share of all cores
    accelerators_used: float  # share of all accelerators
    unplaced: int  # tasks
    rack_share: float
    zone_share: float
    seconds: float  # CPU time of planning
    placed: int  # tasks


def _measure_largest_share(
    plan: RoundPlan, location_by_worker: dict[str, str], jobs: list[Job]
) -> float:
    counts: dict[str, Counter[str]] = {job.name: Counter() for job in jobs}
    for placement in plan.placements:
        counts[placement.job.name][location_by_worker[placement.worker]] += 1
    shares = [
        max(counts[job.name].values()) / job.task_count
        for job in jobs
        if job.task_count >= 4 and counts[job.name].total() == job.task_count
    ]
    return sum(shares) / len(shares) if shares else 0.0


def measure_quality(
    workers: tuple[Worker, ...], jobs: list[Job], placer: Placer
) -> PlacementQuality:
    """Place all jobs on the empty fleet and measure the result."""
    snapshot = build_snapshot(
        workers, [build_waiting_job(job) for job in jobs]
    )
    began = time.process_time()
    plan = plan_round(snapshot, UNLIMITED_STARTS, placer)
    seconds = time.process_time() - began
    used = Resources()
    for placement in plan.placements:
        used += placement.size
    total = Resources()
    for worker in workers:
        total += worker.size
    racks = {worker.name: worker.rack for worker in workers}
    zones = {worker.name: worker.zone for worker in workers}
    return PlacementQuality(
        cores_used=used.cores / total.cores,
        accelerators_used=used.accelerators / total.accelerators,
        unplaced=sum(job.task_count for job in jobs) - len(plan.placements),
        rack_share=_measure_largest_share(plan, racks, jobs),
        zone_share=_measure_largest_share(plan, zones, jobs),
        seconds=seconds,
        placed=len(plan.placements),
    )


def print_placers() -> None:
    """Print the quality and cost of each placer, by fleet size."""
    score = ScoreSettings()
    print("workers placer       cores  accel unplaced rack  zone  us/task")
    for count in FLEET_SIZES:
        workers = build_workers(count)
        jobs = build_jobs(DEMAND_RATIO * count * WORKER_SIZE.cores, SEED)
        placers = {
            "best of all": BestFitPlacer(score, count),
            "best of 128": BestFitPlacer(score, 128),
            "sampling 8": SamplingPlacer(score, 8),
            "sampling 32": SamplingPlacer(score, 32),
        }
        for name, placer in placers.items():
            quality = measure_quality(workers, jobs, placer)
            print(
                f"{count:7d} {name:12s} {quality.cores_used:.3f} "
                f"{quality.accelerators_used:6.3f} {quality.unplaced:8d} "
                f"{quality.rack_share:.3f} {quality.zone_share:.3f} "
                f"{1e6 * quality.seconds / max(1, quality.placed):7.0f}",
                flush=True,
            )


def find_percentile(values: list[float], share: float) -> float:
    """Return the nearest-rank percentile of sorted values.

    `share` is above 0, up to 1. Without values, the result is NaN.
    """
    return values[math.ceil(share * len(values)) - 1] if values else math.nan


def fill_pool(model: PlacementModel) -> None:
    """File patient work for three times the cores and let the pool fill."""
    cores = model.size.workers * model.size.worker.cores
    jobs = model.build_jobs("slow", "patient", 3 * cores, 600.0)
    behaviour = TaskBehaviour(
        600.0, checkpoint_seconds=0.8, used=Resources(0.9, 0.9)
    )
    model.file_jobs(jobs, behaviour)
    # Well above the number of tasks that fit.
    task_limit = 40 * model.size.workers
    model.run(
        task_limit / PlanSettings().start_limit * ROUND_INTERVAL_SECONDS + 20
    )


def _print_cost(name: str, costs: list[RoundCost]) -> None:
    count = len(costs)
    seconds = sorted(cost.seconds for cost in costs)
    span = count * ROUND_INTERVAL_SECONDS
    print(
        f"  {name:8s} round mean {1e3 * sum(seconds) / count:7.2f} ms, "
        f"p99 {1e3 * find_percentile(seconds, 0.99):7.2f} ms; per second: "
        f"CPU {1e3 * sum(seconds) / span:7.2f} ms, "
        f"calls {sum(c.worker_calls for c in costs) / span:6.1f}, "
        f"commits {sum(c.table_writes for c in costs) / span:5.2f}, "
        f"rows {sum(c.table_rows for c in costs) / span:6.1f}, "
        f"reads {sum(c.table_reads for c in costs) / span:5.2f}",
        flush=True,
    )


def print_flood(size: PoolSize) -> None:
    """Print start delays of urgent work in a flood, and round costs."""
    model = PlacementModel(size, SEED)
    fill_pool(model)
    print(
        f"{size.name}: {size.workers} workers, "
        f"{model.measure_core_share():.2f} of the cores allocated"
    )
    _print_cost("flooded", model.run(30))
    cores = size.workers * size.worker.cores
    jobs = model.build_jobs("now", "urgent", 0.1 * cores, 30.0)
    model.file_jobs(jobs, TaskBehaviour(30.0, used=Resources(0.9, 0.9)))
    share_before = model.measure_core_share()
    _print_cost("urgent", model.run(15))
    delays = model.list_start_delays("now")
    task_count = sum(job.task_count for job in jobs)
    late = sum(delay > URGENT_LIMIT_SECONDS for delay in delays)
    print(
        f"  urgent tasks {task_count}, started {len(delays)}, late {late}; "
        f"p50 {find_percentile(delays, 0.5):.1f} s, "
        f"p99 {find_percentile(delays, 0.99):.1f} s, "
        f"max {max(delays, default=math.nan):.1f} s; "
        f"in rounds p50 "
        f"{find_percentile(delays, 0.5) / ROUND_INTERVAL_SECONDS:.0f}, "
        f"p99 {find_percentile(delays, 0.99) / ROUND_INTERVAL_SECONDS:.0f}"
    )
    stopped = model.list_stopped_runs()
    killed = [run for run in stopped if run.ended_at != run.checkpoint_end]
    lost = sum(run.ended_at - run.started_at for run in killed)
    checkpointing = sum(0.8 for run in stopped if run not in killed)
    print(
        f"  stopped {len(stopped)}, killed without a checkpoint "
        f"{len(killed)}, lost {lost:.0f} "
        f"task-seconds, checkpointing {checkpointing:.0f} task-seconds; "
        f"cores allocated before {share_before:.2f}, "
        f"after {model.measure_core_share():.2f}",
        flush=True,
    )


def print_floods() -> None:
    """Print the flood for both deployments and one design pool."""
    for size in (PAPAGALAKI, ROSALEDA, DESIGN_POOL):
        print_flood(size)


def print_cost_by_size() -> None:
    """Print the cost of rounds on one flooded pool, by pool size."""
    for count in FLEET_SIZES:
        size = PoolSize(f"one pool of {count}", count, 11, WORKER_SIZE)
        plan = PlanSettings(start_limit=20 * count)
        model = PlacementModel(size, SEED, PlacementSettings(plan=plan))
        cores = count * WORKER_SIZE.cores
        jobs = model.build_jobs("slow", "patient", 1.5 * cores, 600.0)
        model.file_jobs(jobs, TaskBehaviour(600.0, used=Resources(0.9, 0.9)))
        model.run(6)
        print(
            f"{size.name}: {model.count_running()} tasks, "
            f"{model.measure_core_share():.2f} of the cores allocated"
        )
        _print_cost("flooded", model.run(8))


def print_churn() -> None:
    """Print the cost of a full pool whose tasks run for about 5 minutes."""
    for size in (PAPAGALAKI, ROSALEDA, DESIGN_POOL):
        model = PlacementModel(size, SEED)
        cores = size.workers * size.worker.cores
        jobs = model.build_jobs("job", "normal", 4 * cores, 300.0)
        model.file_jobs(jobs, TaskBehaviour(300.0, used=Resources(0.9, 0.9)))
        model.run(240)
        before = len(model.workers.runs)
        costs = model.run(120)
        starts = (len(model.workers.runs) - before) / 120
        print(
            f"{size.name}: {model.measure_core_share():.2f} of the cores "
            f"allocated, {starts:.2f} starts per second"
        )
        _print_cost("churn", costs)


def print_lease_lengths() -> None:
    """Print the cost of rounds by task lease duration on a design pool."""
    settings = PlacementSettings(
        leases=LeaseSettings(lease_seconds=60.0),
        visits=WorkerClientSettings(visit_seconds=16.0),
    )
    for name, chosen in (("15 s", None), ("60 s", settings)):
        model = PlacementModel(DESIGN_POOL, SEED, chosen)
        fill_pool(model)
        print(f"lease {name}:")
        _print_cost("flooded", model.run(32))


def print_learned_sizes() -> None:
    """Print the gain from learned sizes if jobs declare more than they use."""
    size = PoolSize("papagalaki", 8, 4, WORKER_SIZE)
    declared_only = PlacementSettings(
        usage=UsageSettings(task_count=1_000_000)
    )
    for name, settings in (("declared", declared_only), ("learned", None)):
        model = PlacementModel(size, SEED, settings)
        jobs = model.build_jobs("job", "normal", 6 * 8 * 64, 300.0)
        model.file_jobs(jobs, TaskBehaviour(300.0, used=Resources(0.4, 0.4)))
        model.run(120)
        core_share = model.measure_core_share()
        print(
            f"{name:8s} sizes, tasks use 0.4 of what they declare: "
            f"declared by running tasks {core_share:.2f} of the cores, "
            f"used {0.4 * core_share:.2f}"
        )


def print_cancellations() -> None:
    """Print how many rounds it takes to cancel all tasks of a full pool."""
    for size in (PAPAGALAKI, ROSALEDA, DESIGN_POOL):
        model = PlacementModel(size, SEED)
        cores = size.workers * size.worker.cores
        jobs = model.build_jobs("old", "normal", cores, 900.0)
        model.file_jobs(jobs, TaskBehaviour(900.0))
        model.run(20 + size.workers / 5)
        running = model.count_running()
        cancelled_jobs = [replace(job, cancelled=True) for job in jobs]
        model.file_jobs(cancelled_jobs, TaskBehaviour(900.0))
        rounds = 0
        while model.count_running() and rounds < 100:
            model.run(ROUND_INTERVAL_SECONDS)
            rounds += 1
        print(f"{size.name}: {running} tasks cancelled in {rounds} rounds")


def main() -> None:
    """Print the measurements named on the command line, or all."""
    logging.disable(logging.WARNING)
    parts = {
        "placers": print_placers,
        "flood": print_floods,
        "slope": print_cost_by_size,
        "churn": print_churn,
        "visits": print_lease_lengths,
        "learning": print_learned_sizes,
        "cancellations": print_cancellations,
    }
    for name in sys.argv[1:] or parts:
        print(f"== {name}")
        parts[name]()


if __name__ == "__main__":
    main()
