"""A pool of workers whose demand exceeds its room, on a manual clock."""

import heapq
import random
from dataclasses import dataclass, field

from chestnutstair.scheduling.ports import RunEnd, RunListing
from chestnutstair.scheduling.progress import JobRecord, JobState
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import (
    CONFIGURATION,
    TrackerHarness,
)

__all__ = ["OverloadModel", "OverloadResult"]

WORKERS = 20
WORKER_MILLICORES = 64_000
TICK_SECONDS = 0.05
QUEUE = "quick"
MEAN_CORE_SECONDS = 51.0  # of a job's work, as drawn below


@dataclass(frozen=True)
class OverloadResult:
    """What became of the jobs that arrived; work is in core-seconds."""

    jobs: int
    in_time: int
    work: float
    work_in_time: float
    large: int  # of the tenth with the most work
    large_in_time: int


@dataclass
class _Worker:
    number: int = 0
    ends: list[RunEnd] = field(default_factory=list)
    running: dict[str, int] = field(default_factory=dict)


class OverloadModel:
    """Submits jobs of one to three steps to a pool of 20 workers.

    A task takes half to one and a half times as long as estimated.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._harness = TrackerHarness([f"w{n}" for n in range(WORKERS)])
        self._workers = {
            name: _Worker() for name in self._harness.tracker.workers
        }
        self._due: list[tuple[float, str, str, int]] = []
        self._jobs: list[tuple[JobRecord, float]] = []
        self._ended_at: dict[str, float] = {}

    @property
    def room(self) -> float:
        """The cores of all workers."""
        return WORKERS * WORKER_MILLICORES / 1000

    def play(self, factor: float, seconds: float) -> OverloadResult:
        """Submit `factor` times the work that the room allows."""
        clock = self._harness.clock
        began = clock.now
        rate = factor * self.room / MEAN_CORE_SECONDS
        arrived = 0.0
        while clock.now - began < seconds + 30.0:
            clock.now += TICK_SECONDS
            if clock.now - began < seconds:
                arrived += rate * TICK_SECONDS
                while arrived >= 1.0:
                    arrived -= 1.0
                    self._submit()
            self._advance()
        return self._judge()

    def _submit(self) -> None:
        count = self._random.choice((1, 1, 1, 2, 2, 3))
        steps = [
            Step(
                self._random.randint(2, 14),
                self._random.randint(2000, 10_400),
                estimate_ms=self._random.randint(320, 960),
                after=(number - 1,) if number else (),
            )
            for number in range(count)
        ]
        record = self._harness.admit(f"j{len(self._jobs)}", steps, QUEUE)
        self._jobs.append((record, self._harness.clock.now))

    def _advance(self) -> None:
        harness = self._harness
        now = harness.clock.now
        while self._due and self._due[0][0] <= now:
            _, name, task, run = heapq.heappop(self._due)
            worker = self._workers[name]
            del worker.running[task]
            worker.number += 1
            worker.ends.append(RunEnd(worker.number, task, run, "done", ""))
        for name, worker in self._workers.items():
            listed = [
                RunListing(task, run, "", 100)
                for task, run in worker.running.items()
            ]
            harness.answer(name, listed, worker.ends)
            worker.ends = []
        placements = harness.plan()
        harness.start_all(placements)
        for placement in placements:
            step = placement.record.steps[placement.key.step]
            task = placement.record.name_task(placement.key)
            seconds = step.estimate_ms / 1000 * self._random.uniform(0.5, 1.5)
            worker = self._workers[placement.worker.name]
            worker.running[task] = placement.run
            heapq.heappush(
                self._due,
                (now + seconds, placement.worker.name, task, placement.run),
            )
        for record, _ in self._jobs:
            if record.ended is JobState.COMPLETED:
                self._ended_at.setdefault(record.name, now)

    def _judge(self) -> OverloadResult:
        queue = CONFIGURATION.find_queue_by_name(QUEUE)
        assert queue is not None
        work = {
            record.name: record.estimate_work() / 1000
            for record, _ in self._jobs
        }
        in_time = {
            record.name
            for record, at in self._jobs
            if self._ended_at.get(record.name, float("inf")) - at
            <= queue.compute_objective_ms(record.critical_path_ms) / 1000
        }
        by_work = sorted(work, key=lambda name: -work[name])
        large = by_work[: max(1, len(by_work) // 10)]
        return OverloadResult(
            len(work),
            len(in_time),
            sum(work.values()),
            sum(work[name] for name in in_time),
            len(large),
            len(in_time.intersection(large)),
        )
