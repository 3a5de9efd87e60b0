"""Jobs, workers and a job tracker for tests of the scheduler."""

from collections.abc import Sequence
from dataclasses import replace

from result import Ok, Result

from chestnutstair.scheduling.advice import AdviceCache
from chestnutstair.scheduling.configuration import (
    FleetConfiguration,
    Queue,
    Service,
)
from chestnutstair.scheduling.job_tracker import JobTracker, JobTrackerSettings
from chestnutstair.scheduling.placement import (
    Placement,
    PlacementSettings,
    Planner,
)
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    PolicyService,
    RunEnd,
    RunListing,
    WorkerCallFailure,
    WorkerEntry,
)
from chestnutstair.scheduling.progress import JobRecord, Submission
from chestnutstair.scheduling.specification import JobSpecification, Step
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.tests.support import ManualClock

__all__ = [
    "CONFIGURATION",
    "TrackerHarness",
    "build_entry",
    "build_submission",
]

CONFIGURATION = FleetConfiguration(
    1,
    (
        Queue("quick", "example", "/quick/", "boxes", 0, 2, 1.6, 600),
        Queue("heavy", "example", "/heavy/", "boxes", 1, 2, 1.6, 600),
        Queue("ruled", "example", "/ruled/", "boxes", advice_seconds=3.0),
    ),
    {
        "boxes": Service("boxes"),
        "spare": Service("spare", spare=True),
    },
)


def build_entry(
    name: str, service: str = "boxes", rack: str = "r1"
) -> WorkerEntry:
    """Return the registry entry of a worker with 64 cores."""
    return WorkerEntry(
        name=name,
        born_ms=1,
        service=service,
        address=f"{name}:80",
        zone="zone-a",
        draining=False,
        millicores=64_000,
        memory_mb=262_144,
        accelerators=0,
        labels=("a", rack),
        rack=rack,
        vm=f"vm-{name}",
    )


def build_submission(
    name: str,
    steps: Sequence[Step],
    queue: str = "quick",
    at_ms: int = 1_000_000,
) -> Submission:
    """Return an accepted job; an unknown queue gets a pool of its name."""
    accepted = CONFIGURATION.find_queue_by_name(queue)
    if accepted is None:
        accepted = Queue(queue, "", "", queue, 0, 2, 1.6, 600)
    specification = JobSpecification("payload", tuple(steps))
    return Submission(name, accepted, at_ms, specification)


class FakePolicy(PolicyService):
    """A policy service with answers set by the test."""

    def __init__(self) -> None:
        self.good: dict[str, str] = {}
        self.asked: list[tuple[str, list[str]]] = []

    def advise(
        self, step: str, workers: list[str]
    ) -> Result[dict[str, str], WorkerCallFailure]:
        """Return the tickets in `good` of the given workers."""
        self.asked.append((step, workers))
        return Ok({n: t for n, t in self.good.items() if n in workers})


class TrackerHarness:
    """A tracker and planner on a manual clock, with workers that answer."""

    def __init__(
        self, workers: Sequence[str] = ("w1", "w2"), now: float = 1000.0
    ) -> None:
        self.clock = ManualClock(now)
        self.settings = JobTrackerSettings()
        self.tracker = JobTracker(self.clock, self.settings)
        self.tracker.configuration = CONFIGURATION
        self.policy = FakePolicy()
        self.advice = AdviceCache(self.policy, self.clock)
        self.planner = Planner(
            self.tracker, self.clock, PlacementSettings(), self.advice
        )
        self.born = 1
        for name in workers:
            self.tracker.apply_worker_entry(build_entry(name))
            self.answer(name)

    def get_worker(self, name: str) -> WorkerState:
        """Return the worker with the given name."""
        return self.tracker.workers[name]

    def answer(
        self,
        name: str,
        runs: Sequence[RunListing] = (),
        ends: Sequence[RunEnd] = (),
        sent: float | None = None,
        born_ms: int = 1,
    ) -> bool:
        """Deliver a worker's answer to a hold call."""
        answer = HoldAnswer(
            int(self.clock.now * 1000), born_ms, tuple(runs), tuple(ends)
        )
        at = self.clock.now if sent is None else sent
        return self.tracker.apply_hold_answer(
            self.get_worker(name), answer, at
        )

    def list_runs(self, name: str, percent: int = 100) -> list[RunListing]:
        """Return the listing of a worker that has started all its runs."""
        return [
            RunListing(task, run.run, "", percent)
            for task, run in self.get_worker(name).runs.items()
        ]

    def answer_all(self) -> None:
        """Deliver an answer of every worker with all its runs ready."""
        for name in list(self.tracker.workers):
            self.answer(name, self.list_runs(name))

    def admit(
        self, name: str, steps: Sequence[Step], queue: str = "quick"
    ) -> JobRecord:
        """Accept a job now."""
        at_ms = int(self.clock.now * 1000)
        self.tracker.admit(build_submission(name, steps, queue, at_ms))
        return self.tracker.jobs[name]

    def plan(self) -> list[Placement]:
        """Run a planning round now."""
        return self.planner.plan(self.clock.now, self.clock.now * 1000)

    def start_all(self, placements: Sequence[Placement]) -> None:
        """Acknowledge the starts of the given placements."""
        for placement in placements:
            self.tracker.confirm_start(
                placement.worker,
                placement.record.name_task(placement.key),
                placement.run,
            )

    def end(self, placement: Placement, outcome: str, number: int = 1) -> None:
        """Deliver an answer of the worker in which the run has ended."""
        name = placement.worker.name
        task = placement.record.name_task(placement.key)
        runs = [run for run in self.list_runs(name) if run.task != task]
        ends = [RunEnd(number, task, placement.run, outcome, "")]
        self.answer(name, runs, ends)

    def move_entry(self, name: str, **changes: object) -> None:
        """Change a worker's registry entry."""
        entry = self.get_worker(name).entry
        self.tracker.apply_worker_entry(replace(entry, **changes))  # type: ignore[arg-type]
