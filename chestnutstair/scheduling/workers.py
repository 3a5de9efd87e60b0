"""What the scheduler knows of each worker: lease, runs and room."""

from dataclasses import dataclass, replace

from chestnutstair.scheduling.ports import HoldAnswer, RunListing, WorkerEntry
from chestnutstair.scheduling.progress import TaskKey
from chestnutstair.scheduling.specification import Step

__all__ = ["Contact", "PlacedRun", "WorkerState"]

# A worker's clock may be 2% slow, so a lease may last that much longer.
SLOWEST_CLOCK_RATE = 0.98


@dataclass(frozen=True)
class Contact:
    """A reading of the worker's clock; `at` is when it was received."""

    clock_ms: int
    at: float

    def estimate_clock_ms(self, now: float) -> int:
        """Return what the worker's clock shows now, or a little less."""
        return int(self.clock_ms + (now - self.at) * 1000)


@dataclass(frozen=True)
class PlacedRun:
    """A run that takes room on a worker.

    `confirmed_at` is when the start was answered or the run was listed, 0
    before. `in_doubt` says that the start had no answer. `stopping` says
    that a stop is wanted; the room is free once the end is listed.
    """

    job: str
    key: TaskKey
    run: int
    step: Step
    placed_at: float
    confirmed_at: float = 0.0
    in_doubt: bool = False
    stopping: bool = False
    stop_answered_at: float = 0.0
    percent: int = 100  # the speed that was ordered
    listing: RunListing | None = None

    @property
    def is_ready(self) -> bool:
        """Tell whether the run is listed as fully at work."""
        return self.listing is not None and self.listing.percent >= 100


class WorkerState:
    """One incarnation of a worker; its owner guards it."""

    def __init__(self, entry: WorkerEntry, first_seen_at: float) -> None:
        self.entry = entry
        self.first_seen_at = first_seen_at
        self.contact: Contact | None = None
        self.sent_deadline_ms = 0  # the latest lease sent, on its clock
        self.stored_end = 0  # ends up to here are in the store
        self.acknowledged_end = 0  # the worker has been told up to here
        self.applied_end = 0
        self.runs: dict[str, PlacedRun] = {}
        self.millicores = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.lasting_runs = 0
        self.cordoned = False
        self.maintenance_due = False  # its VM is to be taken down soon
        self.gone = False
        self.unresponsive = False  # the last call had no answer
        self.failure_streak = 0
        self.avoided_until = 0.0
        self.filler_percent = 100  # the speed of tasks that fill
        self.paced_at = 0.0  # when that was last changed

    @property
    def name(self) -> str:
        """Return the worker's name in the registry."""
        return self.entry.name

    def add_run(self, task: str, run: PlacedRun) -> None:
        """Take room for a run."""
        self.remove_run(task)
        self.runs[task] = run
        self._adjust_usage(run.step, 1)

    def replace_run(self, task: str, run: PlacedRun) -> None:
        """Change what is known of a run without changing its room."""
        self.runs[task] = run

    def mark_stopping(self, task: str) -> None:
        """Want a run to be stopped; it keeps its room until it has ended."""
        self.runs[task] = replace(self.runs[task], stopping=True)

    def remove_run(self, task: str) -> PlacedRun | None:
        """Free the room of a run."""
        run = self.runs.pop(task, None)
        if run is not None:
            self._adjust_usage(run.step, -1)
        return run

    def _adjust_usage(self, step: Step, sign: int) -> None:
        self.lasting_runs += sign * step.lasting
        if not step.filler:
            self.millicores += sign * step.millicores
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators

    def has_room(self, step: Step, tasks: int = 1) -> bool:
        """Tell whether that many tasks of the step fit beside the runs."""
        entry = self.entry
        millicores = 0 if step.filler else step.millicores
        return (
            self.millicores + tasks * millicores <= entry.millicores
            and self.memory_mb + tasks * step.memory_mb <= entry.memory_mb
            and self.accelerators + tasks * step.accelerators
            <= entry.accelerators
        )

    def record_contact(self, answer: HoldAnswer, now: float) -> None:
        """Take over the worker's clock."""
        self.contact = Contact(answer.clock_ms, now)

    def is_in_contact(self, now: float, seconds: float) -> bool:
        """Tell whether the worker answered within the given seconds."""
        return self.contact is not None and now - self.contact.at <= seconds

    def compute_lease_expiry(self) -> float | None:
        """Return when all runs have lapsed for certain, None if unknown."""
        if self.contact is None:
            return None
        left = max(0, self.sent_deadline_ms - self.contact.clock_ms)
        return self.contact.at + left / 1000 / SLOWEST_CLOCK_RATE

    def update_entry(self, entry: WorkerEntry) -> None:
        """Take over a newer entry of the same incarnation."""
        self.entry = entry

    def confirm_run(self, task: str, listing: RunListing, now: float) -> None:
        """Note that a run is listed."""
        run = self.runs[task]
        self.runs[task] = replace(
            run,
            confirmed_at=run.confirmed_at or now,
            in_doubt=False,
            listing=listing,
        )
