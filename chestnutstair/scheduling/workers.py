"""The scheduler's view of a worker: its lease, runs and free room."""

from collections import Counter
from dataclasses import dataclass, replace

from chestnutstair.scheduling.organisations.usage import OrganisationUsage
from chestnutstair.scheduling.ports import HoldAnswer, RunListing, WorkerEntry
from chestnutstair.scheduling.progress import TaskKey
from chestnutstair.scheduling.specification import Step

__all__ = [
    "PROVING_SECONDS",
    "SLOWEST_CLOCK_RATE",
    "Contact",
    "OrphanRun",
    "PlacedRun",
    "WorkerState",
]

# Rate of the slowest permitted clock: a worker's clock may run 2% slow, so a
# lease may last that much longer.
SLOWEST_CLOCK_RATE = 0.98
# A run whose worker is alive this long after the run's start has not crashed
# it by starting.
PROVING_SECONDS = 0.2


@dataclass(frozen=True)
class Contact:
    """A reading of a worker's clock, received at monotonic time `at`."""

    clock_ms: int
    at: float

    def estimate_clock_ms(self, now: float) -> int:
        """Estimate what the worker's clock shows now, or slightly less.

        The estimate falls short by the delay of the answer.
        """
        return int(self.clock_ms + (now - self.at) * 1000)


@dataclass(frozen=True)
class PlacedRun:
    """A run that occupies room on a worker; times are monotonic."""

    job: str
    key: TaskKey
    run: int
    step: Step
    placed_at: float
    # When the start was acknowledged or the run first listed; 0 before.
    confirmed_at: float = 0.0
    # The start got no answer and may still take effect.
    in_doubt: bool = False
    # When the start became in doubt; 0 if it never was.
    in_doubt_at: float = 0.0
    # The run must be stopped. Its room becomes free once its end is listed.
    stopping: bool = False
    # When the stop was acknowledged; 0 before.
    stop_answered_at: float = 0.0
    # The speed last accepted by the worker, in percent of full speed; None if
    # another leader may have set it.
    percent: int | None = 100
    # Until when an order of another speed, which got no answer, may still be
    # carried out.
    pace_in_doubt_until: float = 0.0
    # Its task may crash the worker: no other run starts there until this one
    # has proven itself.
    on_probation: bool = False
    # The latest listing of the run; None before the first.
    listing: RunListing | None = None
    # The job's owner; "" for none.
    organisation: str = ""

    @property
    def is_ready(self) -> bool:
        """Return whether the worker lists the run as ready."""
        return self.listing is not None and self.listing.percent >= 100


@dataclass(frozen=True)
class OrphanRun:
    """A run that a worker lists although it is not placed there."""

    organisation: str
    step: Step


class WorkerState:
    """One incarnation of a worker; the owner must lock access.

    It adds its runs to the usage of their organisations.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        first_seen_at: float,
        usage: OrganisationUsage,
    ) -> None:
        self.entry = entry
        # The latest entry of another incarnation, until either one answers.
        self.claim: WorkerEntry | None = None
        # Monotonic time until which it may hold a lease that was meant for
        # the incarnation before.
        self.inherited_lease_until = 0.0
        # Entries, or stored placements, name different VMs for it.
        self.vm_disputed = False
        self.calls_claim = False  # the last call went to the claim's address
        self._usage = usage
        # The pool in which its runs are counted, also if the entry changes.
        self._service = entry.service
        self.first_seen_at = first_seen_at
        self.contact: Contact | None = None
        # When its process was last known to run; monotonic.
        self.alive_at = 0.0
        # End of the latest lease sent, on the worker's clock.
        self.sent_deadline_ms = 0
        # Ends of runs are numbered. Numbers of the last end that was stored
        # with its effects, acknowledged to the worker, and applied in memory:
        self.stored_end = 0
        self.acknowledged_end = 0
        self.applied_end = 0
        self.runs: dict[str, PlacedRun] = {}
        # Number of the runs of each job.
        self.runs_by_job: Counter[str] = Counter()
        # Resources reserved by the runs.
        self.used_millicores = 0
        self.used_memory_mb = 0
        self.used_accelerators = 0
        self.lasting_runs = 0
        # Sort key of workers by what runs on them, the fullest first. Kept up
        # to date here, as a round compares all workers of a pool for each
        # task that it places.
        self.fullness: tuple[int, int, str] = (0, 0, entry.name)
        # Runs that it listed last although they are not placed there. These
        # still use its room.
        self._orphan_runs: list[OrphanRun] = []
        # Its last answer may have left out ends of runs.
        self.has_more_ends = False
        self.cordoned = False  # gets no new tasks
        # Last time at which an order for its VM was in progress that may end
        # it; monotonic, None if there was none.
        self.ordered_at: float | None = None
        self.maintenance_due = False  # its VM is due for maintenance soon
        self.gone = False  # left the registry, retired or restarted
        self.unresponsive = False  # the last hold call failed
        self.failure_streak = 0
        self.avoided_until = 0.0  # gets no new tasks before this time
        # Tasks of the runs on probation that have not proven themselves yet.
        self.probation: set[str] = set()
        # Lasting tasks that are stopped only because the worker does not list
        # them, as their starts got no answer.
        self.absent: set[str] = set()
        # When the last answered hold call was sent; its lists are no older.
        self.listed_since = float("-inf")
        self.reserved = False  # gets only tasks that run alone
        self.suspects_wait = False  # in its pool, for a worker to run alone
        self.filler_percent = 100  # speed of filler tasks
        self.paced_at = 0.0  # when filler_percent was last adjusted

    @property
    def name(self) -> str:
        """Return the worker's name in the registry."""
        return self.entry.name

    def add_run(self, task: str, run: PlacedRun) -> None:
        """Add a run and reserve its room."""
        self.remove_run(task)
        self.runs[task] = run
        self.runs_by_job[run.job] += 1
        if run.on_probation:
            self.probation.add(task)
        self._adjust_usage(run, 1)

    def replace_run(self, task: str, run: PlacedRun) -> None:
        """Replace the state of a run without changing its reserved room."""
        self.runs[task] = run

    def mark_stopping(self, task: str) -> None:
        """Mark a run to be stopped; it keeps its room until it has ended."""
        self.runs[task] = replace(self.runs[task], stopping=True)
        self.absent.discard(task)

    def mark_absent(self, task: str) -> None:
        """Mark a run to be stopped unless the worker lists it by then."""
        self.mark_stopping(task)
        self.absent.add(task)

    def mark_unready(self, task: str) -> None:
        """Record that a run is not at work, though its end is not known."""
        run = self.runs[task]
        if run.listing is not None:
            listing = replace(run.listing, percent=0)
            self.runs[task] = replace(run, listing=listing)

    def remove_run(self, task: str) -> PlacedRun | None:
        """Remove a run and free its room; return it, or None if unknown."""
        run = self.runs.pop(task, None)
        self.probation.discard(task)
        self.absent.discard(task)
        if run is not None:
            self.runs_by_job[run.job] -= 1
            if not self.runs_by_job[run.job]:
                del self.runs_by_job[run.job]
            self._adjust_usage(run, -1)
        return run

    def _adjust_usage(self, run: PlacedRun, sign: int) -> None:
        self.lasting_runs += sign * run.step.lasting
        self._adjust_resources(run.organisation, run.step, sign)

    def reserve_for_orphans(self, runs: list[OrphanRun]) -> None:
        """Reserve the room of the listed runs that are not placed there."""
        for run in self._orphan_runs:
            self._adjust_resources(run.organisation, run.step, -1)
        self._orphan_runs = runs
        for run in runs:
            self._adjust_resources(run.organisation, run.step, 1)

    def _adjust_resources(
        self, organisation: str, step: Step, sign: int
    ) -> None:
        if sign > 0:
            self._usage.add(organisation, self._service, step)
        else:
            self._usage.remove(organisation, self._service, step)
        if not step.filler:
            self.used_millicores += sign * step.millicores
        self.used_memory_mb += sign * step.memory_mb
        self.used_accelerators += sign * step.accelerators
        self.fullness = (
            -self.lasting_runs,
            -self.used_millicores,
            self.entry.name,
        )

    def has_room(self, step: Step, tasks: int = 1) -> bool:
        """Return whether `tasks` more tasks of the step fit."""
        entry = self.entry
        millicores = 0 if step.filler else step.millicores
        return (
            self.used_millicores + tasks * millicores <= entry.millicores
            and self.used_memory_mb + tasks * step.memory_mb <= entry.memory_mb
            and self.used_accelerators + tasks * step.accelerators
            <= entry.accelerators
        )

    def could_take(self, step: Step) -> bool:
        """Return whether a task would fit beside the lasting runs alone."""
        lasting = [run.step for run in self.runs.values() if run.step.lasting]
        entry = self.entry
        millicores = sum(
            item.millicores for item in (*lasting, step) if not item.filler
        )
        memory_mb = sum(item.memory_mb for item in (*lasting, step))
        accelerators = sum(item.accelerators for item in (*lasting, step))
        return (
            millicores <= entry.millicores
            and memory_mb <= entry.memory_mb
            and accelerators <= entry.accelerators
            and (
                not step.required_label or step.required_label in entry.labels
            )
        )

    def record_contact(self, answer: HoldAnswer, now: float) -> None:
        """Record an answer and the worker's clock in it."""
        self.contact = Contact(answer.clock_ms, now)
        self.alive_at = now

    def record_closed(self, now: float) -> None:
        """Record that it closed a connection, so it ran until now."""
        self.alive_at = max(self.alive_at, now)

    def has_proven(self, run: PlacedRun) -> bool:
        """Return whether the worker has survived the start of a run."""
        return (
            bool(run.confirmed_at)
            and self.alive_at - run.confirmed_at >= PROVING_SECONDS
        )

    @property
    def incarnation(self) -> tuple[str, int]:
        """Its name and born_ms."""
        return self.entry.name, self.entry.born_ms

    @property
    def may_be_ended_by_order(self) -> bool:
        """Whether an order for its VM may have ended it since it answered."""
        return (
            self.ordered_at is not None
            and self.listed_since <= self.ordered_at
        )

    @property
    def is_answering(self) -> bool:
        """Whether it has answered, and its last hold call did not fail."""
        return self.contact is not None and not self.unresponsive

    def is_in_contact(self, now: float, seconds: float) -> bool:
        """Return whether the worker answered within the given seconds."""
        return self.contact is not None and now - self.contact.at <= seconds

    def compute_lease_expiry(self) -> float | None:
        """Return the monotonic time by which all leases have expired.

        None if the worker has not answered yet.
        """
        if self.contact is None:
            return None
        remaining_ms = max(0, self.sent_deadline_ms - self.contact.clock_ms)
        return self.contact.at + remaining_ms / 1000 / SLOWEST_CLOCK_RATE

    def update_entry(self, entry: WorkerEntry) -> None:
        """Store a newer registry entry of the same incarnation.

        It is one life of a VM, so that of two VMs one is wrong.
        """
        self.vm_disputed |= entry.vm != self.entry.vm
        self.entry = entry

    def confirm_run(self, task: str, listing: RunListing, now: float) -> None:
        """Record a listing of a run.

        A run that was to be stopped for not being listed goes on. Later
        listings of a batch run tell nothing new.
        """
        run = self.runs[task]
        is_batch = not (run.step.lasting or run.step.filler)
        if is_batch and run.listing is not None and not run.in_doubt:
            return
        goes_on = task in self.absent and not run.stop_answered_at
        if goes_on:
            self.absent.discard(task)
        self.runs[task] = replace(
            run,
            confirmed_at=run.confirmed_at or now,
            in_doubt=False,
            stopping=run.stopping and not goes_on,
            listing=listing,
        )
