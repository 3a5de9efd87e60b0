"""In-memory state of a leader's jobs and workers, updated by events.

The caller of any method must hold the tracker's lock.
"""

import logging
import threading
from collections import defaultdict, deque
from dataclasses import dataclass, field, replace

from chestnutstair.scheduling.access import build_owner
from chestnutstair.scheduling.cancellations import Cancellation
from chestnutstair.scheduling.configuration import FleetConfiguration, Queue
from chestnutstair.scheduling.crashes import (
    CrashRecorder,
    CrashSettings,
    LostWorker,
    LostWorkers,
    describe_lost_worker,
    describe_unseen_worker,
)
from chestnutstair.scheduling.early_cancellations import EarlyCancellations
from chestnutstair.scheduling.lookahead.durations import (
    DurationForecast,
    classify_step,
)
from chestnutstair.scheduling.metrics import RUN_ENDS, RUNS_LOST
from chestnutstair.scheduling.organisations.caps import Caps
from chestnutstair.scheduling.organisations.excess import ExcessJobs
from chestnutstair.scheduling.organisations.usage import OrganisationUsage
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    RunEnd,
    RunListing,
    WorkerEntry,
)
from chestnutstair.scheduling.progress import (
    JobRecord,
    JobState,
    Submission,
    TaskKey,
    TaskState,
    TaskStatus,
    parse_task_name,
)
from chestnutstair.scheduling.workers import (
    OrphanRun,
    PlacedRun,
    WorkerState,
)
from chestnutstair.state.deadline import Clock

__all__ = ["Arrival", "JobTracker", "JobTrackerSettings", "StopRequest"]

logger = logging.getLogger(__name__)

MAX_ARRIVALS = 2000  # far more than arrive within a second
DONE = "done"
FAILED = "failed"


@dataclass(frozen=True)
class JobTrackerSettings:
    """Timeouts and limits for workers and runs."""

    # How long leases granted by the previous leader may last on workers that
    # have not answered this leader.
    takeover_wait_seconds: float = 7.0
    # Longest time in which a worker stops a run; until then it lists the run
    # as it was.
    longest_stop_seconds: float = 1.0
    # How long a stop of the previous leader may be on its way: the timeout of
    # an order.
    late_stop_seconds: float = 0.5
    # Consecutive failures after which a worker gets no new tasks for
    # avoid_seconds.
    failure_streak: int = 3
    avoid_seconds: float = 3.0
    # Age up to which a listing without a lasting run allows a stop of the run.
    # Shorter than a lasting task takes to be ready after its start.
    absence_seconds: float = 0.3
    # Age up to which a worker's last listing counts as current; slightly
    # longer than one hold call waits.
    contact_seconds: float = 1.6
    # A task's first run is stopped and retried on another worker after
    # stuck_factor times its estimate plus stuck_seconds. Estimates are up to
    # half off, and tasks of one step differ in length.
    stuck_factor: float = 3.0
    stuck_seconds: float = 2.0
    # A start without an answer for this long is treated as lost; six times
    # the time limit of an order.
    start_timeout_seconds: float = 3.0
    # Interval of the checks for expired and for stuck runs.
    check_interval_seconds: float = 0.1
    crashes: CrashSettings = field(default_factory=CrashSettings)
    # Part of each organisation's cap that this leader may use.
    cap_share: float = 1.0


@dataclass(frozen=True)
class StopRequest:
    """A request to stop a run on a worker."""

    worker: WorkerState
    task: str
    run: int


@dataclass(frozen=True)
class Arrival:
    """An accepted job: `work` in millicore-seconds, `at` in monotonic time.

    `path_seconds` is its estimated critical path, and `slack_seconds` how much
    longer it may take.
    """

    at: float
    service: str
    work: float
    path_seconds: float = 0.0
    slack_seconds: float = 0.0
    organisation: str = ""


def _answered_before(worker: WorkerState, successor: WorkerState) -> bool:
    if worker.contact is None or successor.contact is None:
        return worker.contact is None
    return worker.contact.at <= successor.contact.at


class JobTracker:
    """Tracks the jobs, workers and runs of one leader for its term."""

    def __init__(self, clock: Clock, settings: JobTrackerSettings) -> None:
        self.lock = threading.RLock()
        self.configuration = FleetConfiguration(0)
        self.jobs: dict[str, JobRecord] = {}
        self.active: dict[str, JobRecord] = {}  # jobs that have not ended
        self.workers: dict[str, WorkerState] = {}
        self.usage = OrganisationUsage()
        self.caps = Caps(self.usage, settings.cap_share)
        self.excess = ExcessJobs()
        self.durations = DurationForecast()
        self.early_cancellations = EarlyCancellations()
        # Names of jobs with changes that are not stored yet.
        self.dirty: set[str] = set()
        # Runs that a worker lists although they are not placed there, by
        # worker and task; they must be stopped.
        self.orphans: dict[tuple[str, str], int] = {}
        self.arrivals: deque[Arrival] = deque(maxlen=MAX_ARRIVALS)
        # Placed tasks of restored jobs by worker name and born_ms, until that
        # incarnation registers.
        self._unclaimed: dict[
            tuple[str, int], list[tuple[JobRecord, TaskKey]]
        ] = {}
        # VMs with an order in progress that may end their workers, also those
        # that register meanwhile, other than in the pool that is the value.
        self.cordons: dict[str, str] = {}
        # VMs with an order of this leader, or of an earlier one, that may
        # still be in progress.
        self.ordered_vms: frozenset[str] = frozenset()
        # Retired incarnations, by worker name and born_ms.
        self._retired: set[tuple[str, int]] = set()
        self._crashes = CrashRecorder(
            self.jobs, self.dirty, self._fail_job, settings.crashes
        )
        self._lost_workers = LostWorkers(settings.crashes.remember_seconds)
        self._clock = clock
        self._settings = settings
        self._began_at = clock.read_monotonic()
        self._expiry_checked_at = float("-inf")
        self._stuck_checked_at = float("-inf")

    # Jobs

    def find_queue(self, submission: Submission) -> Queue:
        """Return the current version of the job's queue.

        Falls back to the queue as stored with the job when the configuration
        does not have it.
        """
        queue = self.configuration.find_queue_by_name(submission.queue.name)
        return queue or submission.queue

    def restore_job(
        self, submission: Submission, progress: bytes | None
    ) -> None:
        """Add a job from the store when a term begins."""
        self.excess.add(submission)
        record = JobRecord(submission)
        if progress is not None:
            try:
                record.restore(progress)
            except Exception:
                # Its tasks may have run, so they are not started again.
                logger.exception(
                    "cannot read the progress of a job; it is set aside",
                    extra={"job": record.name},
                )
                record = JobRecord(submission)
                record.started = True
                self.jobs[record.name] = record
                self._count_unreadable(record)
                return
        self.jobs[record.name] = record
        if record.ended is None:
            self.active[record.name] = record
        for key, state in record.tasks.items():
            if state.may_run:
                incarnation = (state.worker, state.born_ms)
                self._unclaimed.setdefault(incarnation, []).append(
                    (record, key)
                )
                self.usage.add_unregistered(
                    incarnation,
                    submission.organisation,
                    record.steps[key.step],
                )
        age = self._clock.read_wall() - submission.accepted_ms / 1000
        self._record_arrival(record, max(0.0, age))

    def _count_unreadable(self, record: JobRecord) -> None:
        """Count all tasks of a job until the previous leases have expired."""
        organisation = record.submission.organisation
        for step in record.steps:
            for _ in range(step.count):
                self.usage.add_unregistered(("", 0), organisation, step)

    def sort_arrivals(self) -> None:
        """Sort the arrivals of restored jobs by time."""
        ordered = sorted(self.arrivals, key=lambda arrival: arrival.at)
        self.arrivals.clear()
        self.arrivals.extend(ordered)

    def _record_arrival(self, record: JobRecord, age: float) -> None:
        at = self._clock.read_monotonic() - age
        queue = self.find_queue(record.submission)
        path_ms = record.critical_path_ms
        slack_ms = queue.compute_objective_ms(path_ms) - path_ms
        self.arrivals.append(
            Arrival(
                at,
                queue.service,
                record.estimate_work(),
                path_ms / 1000,
                slack_ms / 1000,
                record.submission.organisation,
            )
        )

    def admit(self, submission: Submission) -> bool:
        """Add an accepted job; return False if it already exists."""
        if submission.job in self.jobs:
            return False
        record = JobRecord(submission)
        self.jobs[record.name] = record
        self.active[record.name] = record
        self.excess.add(submission)
        self._record_arrival(record, 0.0)
        logger.info(
            "job admitted",
            extra={
                "job": record.name,
                "queue": submission.queue.name,
                "organisation": submission.organisation,
            },
        )
        if self.early_cancellations.take(record.name, build_owner(submission)):
            self.cancel(record.name)
        return True

    def apply_cancellation(self, cancellation: Cancellation) -> None:
        """Cancel a job if the cancellation covers its owner.

        A job that is not known yet is cancelled when it is admitted.
        """
        record = self.jobs.get(cancellation.job)
        scope = cancellation.scope
        is_new = False
        if record is None or scope is not None:
            now = self._clock.read_monotonic()
            is_new = self.early_cancellations.add(cancellation, now)
        if record is None:
            if is_new:
                logger.info(
                    "cancellation read before its job",
                    extra={
                        "job": cancellation.job,
                        "scoped": scope is not None,
                        "waiting": len(self.early_cancellations),
                    },
                )
        elif scope is None or scope.covers(build_owner(record.submission)):
            self.cancel(record.name)
        elif is_new:
            logger.info(
                "cancellation by others left alone",
                extra={
                    "job": record.name,
                    "organisations": scope.organisations,
                },
            )

    def cancel(self, name: str) -> None:
        """Mark a known job as cancelled and stop its runs."""
        record = self.jobs.get(name)
        if record is None or record.ended is not None:
            return
        logger.info("job cancelled", extra={"job": name})
        self._end_job(record, JobState.CANCELLED)

    def _end_job(self, record: JobRecord, state: JobState) -> None:
        record.end(state, int(self._clock.read_wall() * 1000))
        self.active.pop(record.name, None)
        self.dirty.add(record.name)
        for worker in self.workers.values():
            if record.name not in worker.runs_by_job:
                continue
            for task, run in list(worker.runs.items()):
                if run.job == record.name:
                    worker.mark_stopping(task)

    def _fail_job(self, record: JobRecord) -> None:
        self._end_job(record, JobState.FAILED)

    def set_aside(self, record: JobRecord) -> None:
        """Exclude a job from planning for this term; its runs go on."""
        self.active.pop(record.name, None)

    def forget_job(self, name: str) -> None:
        """Remove a job whose rows have been deleted from the store."""
        record = self.jobs.pop(name, None)
        if record is not None:
            self.excess.remove(record.submission)
        self.dirty.discard(name)

    # Workers

    def apply_worker_entry(self, entry: WorkerEntry) -> WorkerState | None:
        """Apply a registry entry; return the worker if it is new, else None.

        An entry of another incarnation of a known worker frees no runs, as it
        may be wrong, or written before a restart: the worker's own answer
        decides which one runs.
        """
        if (entry.name, entry.born_ms) in self._retired:
            return None  # the registry drops the entry some seconds later
        current = self.workers.get(entry.name)
        if current is not None:
            if current.entry.born_ms == entry.born_ms:
                self._log_drain(current, entry)
                current.update_entry(entry)
                current.gone = False
            else:
                self._record_claim(current, entry)
            return None
        return self._add_worker(entry)

    @staticmethod
    def _log_drain(worker: WorkerState, entry: WorkerEntry) -> None:
        if entry.draining != worker.entry.draining:
            logger.info(
                "worker draining" if entry.draining else "worker ready again",
                extra={
                    "worker": worker.name,
                    "born_ms": entry.born_ms,
                    "runs": len(worker.runs),
                },
            )

    def _record_claim(self, worker: WorkerState, entry: WorkerEntry) -> None:
        if worker.claim is None or worker.claim.born_ms != entry.born_ms:
            logger.info(
                "entry names another incarnation of a worker",
                extra={
                    "worker": worker.name,
                    "born_ms": worker.entry.born_ms,
                    "entry_born_ms": entry.born_ms,
                    "runs": len(worker.runs),
                },
            )
        worker.claim = entry

    def _add_worker(self, entry: WorkerEntry) -> WorkerState:
        current = self.workers.get(entry.name)
        worker = WorkerState(entry, self._clock.read_monotonic(), self.usage)
        pool = self.cordons.get(entry.vm)
        worker.cordoned = pool is not None and pool != entry.service
        self.workers[entry.name] = worker
        self._restore_runs(worker)
        if current is not None:
            self._replace_incarnation(current, worker)
        logger.info(
            "worker registered",
            extra={
                "worker": entry.name,
                "born_ms": entry.born_ms,
                "service": entry.service,
                "vm": entry.vm,
                "draining": entry.draining,
            },
        )
        return worker

    def _restore_runs(self, worker: WorkerState) -> None:
        """Add the runs that an earlier leader placed on the incarnation."""
        now = self._clock.read_monotonic()
        incarnation = (worker.name, worker.entry.born_ms)
        self.usage.remove_unregistered(incarnation)
        for record, key in self._unclaimed.pop(incarnation, []):
            state = record.get_task(key)
            if (
                not state.may_run
                or (state.worker, state.born_ms) != incarnation
            ):
                continue  # released in the meantime
            run = self._build_restored_run(record, key, state, now)
            worker.add_run(record.name_task(key), run)
            worker.vm_disputed |= bool(state.vm) and (
                state.vm != worker.entry.vm
            )

    @staticmethod
    def _build_restored_run(
        record: JobRecord, key: TaskKey, state: TaskState, now: float
    ) -> PlacedRun:
        step = record.steps[key.step]
        return PlacedRun(
            record.name,
            key,
            state.run,
            step,
            now,
            # Counts as confirmed, so that the first listing under this
            # term's epoch decides whether it still runs.
            confirmed_at=now,
            stopping=(
                record.ended is not None
                or state.status is not TaskStatus.PLACED
            ),
            on_probation=state.must_run_alone(step),
            organisation=record.submission.organisation,
            percent=None,
        )

    def _replace_incarnation(
        self, worker: WorkerState, successor: WorkerState
    ) -> None:
        logger.info(
            "worker restarted; its runs have ended",
            extra={"worker": worker.name, "runs": len(worker.runs)},
        )
        worker.gone = True
        lost = describe_lost_worker(worker, self._clock.read_monotonic())
        if lost.is_crash(successor.entry):
            self._crashes.record(lost)
        for task, run in list(worker.runs.items()):
            if run.listing is None:
                # Its start may have reached the successor, or still do so,
                # with a lease by the clock of the process before.
                successor.inherited_lease_until = (
                    self._clock.read_monotonic()
                    + self._settings.takeover_wait_seconds
                )
                self._reassign_unconfirmed(
                    task, worker.remove_run(task) or run, successor
                )
        self._release_all(worker, "restarted")

    def _reassign_unconfirmed(
        self, task: str, run: PlacedRun, successor: WorkerState
    ) -> None:
        """Put a run in doubt on the successor, where it may have started."""
        record = self.jobs.get(run.job)
        state = None if record is None else record.get_task(run.key)
        is_current = (
            state is not None and state.may_run and state.run == run.run
        )
        # Its job may have ended by the loss of the worker that had the run.
        has_ended = record is None or record.ended is not None
        doubtful = replace(
            run,
            confirmed_at=0.0,
            stop_answered_at=0.0,
            stopping=run.stopping or has_ended or not is_current,
        )
        successor.add_run(task, self._put_in_doubt(doubtful))
        if record is not None and state is not None and is_current:
            moved = replace(
                state,
                worker=successor.name,
                born_ms=successor.entry.born_ms,
                vm=successor.entry.vm,
            )
            record.set_task(run.key, moved)
            self.dirty.add(record.name)

    def retire_worker(self, worker: WorkerState) -> None:
        """Remove a worker whose VM has been moved or taken down.

        A VM is ordered once its worker has no runs. If it has some, the order
        may have been carried out before it registered, so that it goes on:
        its own silence decides. Its end, if it comes, is that of the order.
        """
        if worker.runs:
            worker.ordered_at = self._clock.read_monotonic()
            logger.warning(
                "worker with runs not retired",
                extra={
                    "worker": worker.name,
                    "born_ms": worker.entry.born_ms,
                    "vm": worker.entry.vm,
                    "runs": len(worker.runs),
                },
            )
            return
        self._end_incarnation(worker, "retired")

    def readmit_worker(self, incarnation: tuple[str, int]) -> None:
        """Let a retired incarnation register again if it still reports.

        `incarnation` is its name and born_ms. An order that had been carried
        out before is answered like one that ends the worker.
        """
        self._retired.discard(incarnation)

    def _end_incarnation(self, worker: WorkerState, reason: str) -> None:
        worker.gone = True
        self._retired.add((worker.name, worker.entry.born_ms))
        self._release_all(worker, reason)
        if self.workers.get(worker.name) is worker:
            del self.workers[worker.name]

    def mark_worker_gone(self, name: str) -> None:
        """Mark a worker that the registry no longer lists."""
        worker = self.workers.get(name)
        if worker is not None and not worker.gone:
            worker.gone = True
            logger.info(
                "worker left the registry",
                extra={"worker": name, "runs": len(worker.runs)},
            )

    def mark_incarnation_gone(self, worker: WorkerState) -> None:
        """Mark a worker at whose address another one answers.

        A later incarnation of the same name may have another address.
        """
        if self.workers.get(worker.name) is worker and not worker.gone:
            worker.gone = True
            logger.info(
                "another worker answers at a worker's address",
                extra={
                    "worker": worker.name,
                    "born_ms": worker.entry.born_ms,
                    "runs": len(worker.runs),
                },
            )

    # Crashed workers

    def _release_replaced(self) -> None:
        """Release the runs of workers that have a successor on their VM.

        A VM has one worker at a time, so the one before has ended. Only a
        successor that has answered counts, as entries of the registry may be
        wrong, and only for a worker that does not answer itself and last did
        so before: clocks of VMs may be set back. One whose VM is in dispute
        neither ends nor is ended.
        """
        newest: dict[str, WorkerState] = {}
        for worker in self.workers.values():
            vm = worker.entry.vm
            if not vm or worker.contact is None or worker.vm_disputed:
                continue
            other = newest.get(vm)
            if other is None or other.entry.born_ms < worker.entry.born_ms:
                newest[vm] = worker
        for worker in list(self.workers.values()):
            successor = newest.get(worker.entry.vm)
            if (
                successor is not None
                and worker.entry.born_ms < successor.entry.born_ms
                and not worker.vm_disputed
                and not worker.is_answering
                and _answered_before(worker, successor)
            ):
                self._end_replaced(worker, successor)
        entries = {vm: worker.entry for vm, worker in newest.items()}
        now = self._clock.read_monotonic()
        for lost in self._lost_workers.take_crashed(entries, now):
            self._crashes.record(lost)
        self._release_unclaimed(entries)

    def _end_replaced(
        self, worker: WorkerState, successor: WorkerState
    ) -> None:
        contact = worker.contact
        now = self._clock.read_monotonic()
        lost = describe_lost_worker(worker, now)
        is_crash = lost.is_crash(successor.entry)
        logger.info(
            "worker replaced on its VM",
            extra={
                "vm": worker.entry.vm,
                "worker": worker.name,
                "born_ms": worker.entry.born_ms,
                "successor": successor.name,
                "successor_born_ms": successor.entry.born_ms,
                "service": worker.entry.service,
                "successor_service": successor.entry.service,
                "draining": worker.entry.draining,
                "runs": len(worker.runs),
                "blamed": len(lost.blames) if is_crash else 0,
                "silent_seconds": now - contact.at if contact else None,
            },
        )
        if is_crash:
            self._crashes.record(lost)
        self._end_incarnation(worker, "replaced")

    def _release_unclaimed(self, newest: dict[str, WorkerEntry]) -> None:
        """Release runs that an earlier leader placed on ended workers."""
        now = self._clock.read_monotonic()
        for incarnation, items in list(self._unclaimed.items()):
            present = [
                (record, key)
                for record, key in items
                if self._may_run_on(record.get_task(key), incarnation)
            ]
            if not present:
                del self._unclaimed[incarnation]
                self.usage.remove_unregistered(incarnation)
                continue
            placed = [
                (record, key)
                for record, key in present
                if record.get_task(key).status is TaskStatus.PLACED
            ]
            lost = self._describe_unseen(incarnation, placed or present, now)
            successor = newest.get(lost.vm)
            if successor is not None and lost.is_replaced_by(successor):
                del self._unclaimed[incarnation]
                self.usage.remove_unregistered(incarnation)
                self._retired.add(incarnation)
                if (
                    placed
                    and lost.is_crash(successor)
                    and lost.vm not in self.ordered_vms
                ):
                    self._crashes.record(lost)
                self._release_replaced_runs(present, incarnation)

    def _describe_unseen(
        self,
        incarnation: tuple[str, int],
        placed: list[tuple[JobRecord, TaskKey]],
        now: float,
    ) -> LostWorker:
        """Describe a worker by the tasks that an earlier leader placed there.

        Its pool is that of their queues, which may have changed since.
        """
        submissions = [record.submission for record, _ in placed]
        services = frozenset(
            queue.service
            for submission in submissions
            for queue in (submission.queue, self.find_queue(submission))
        )
        return describe_unseen_worker(incarnation, placed, now, services)

    def _release_replaced_runs(
        self,
        present: list[tuple[JobRecord, TaskKey]],
        incarnation: tuple[str, int],
    ) -> None:
        now = self._clock.read_monotonic()
        successor = self.workers.get(incarnation[0])
        for record, key in present:
            state = record.get_task(key)
            if not self._may_run_on(state, incarnation):
                continue
            if successor is not None:
                # It has the same name, so a start may have reached it.
                run = self._build_restored_run(record, key, state, now)
                task = record.name_task(key)
                self._reassign_unconfirmed(task, run, successor)
                continue
            if state.status is TaskStatus.PLACED:
                RUNS_LOST.labels("replaced").inc()
                self._release(record, key, "replaced")
            self._forget_worker(record, key, state.run)

    @staticmethod
    def _may_run_on(state: TaskState, incarnation: tuple[str, int]) -> bool:
        return state.may_run and (state.worker, state.born_ms) == incarnation

    def release_expired(self) -> None:
        """Release the runs of workers that have ended, or whose lease has."""
        now = self._clock.read_monotonic()
        if (
            now - self._expiry_checked_at
            < self._settings.check_interval_seconds
        ):
            return
        self._expiry_checked_at = now
        self._release_replaced()
        # Leases from the previous leader remain valid, also on workers that
        # this leader has reached but not yet sent a lease.
        seconds = self._settings.takeover_wait_seconds
        previous_expiry = self._began_at + seconds
        for worker in list(self.workers.values()):
            if worker.is_in_contact(now, 1.0):
                continue
            expiry = (
                worker.compute_lease_expiry() or worker.first_seen_at + seconds
            )
            expiry = max(previous_expiry, expiry, worker.inherited_lease_until)
            if now <= expiry:
                continue
            self._lost_workers.add(describe_lost_worker(worker, now))
            self._release_all(worker, "lapsed")
            if worker.gone:
                self.workers.pop(worker.name, None)
        self._release_unregistered(now)

    def _release_unregistered(self, now: float) -> None:
        # Releases runs on incarnations that are not in the registry.
        if now <= self._began_at + self._settings.takeover_wait_seconds:
            return
        # The leases of the previous leader have expired.
        self._unclaimed.clear()
        self.usage.remove_all_unregistered()
        unregistered = defaultdict(list)
        for record in self.active.values():
            for key, state in record.tasks.items():
                if state.status is not TaskStatus.PLACED:
                    continue
                worker = self.workers.get(state.worker)
                if worker is None or worker.entry.born_ms != state.born_ms:
                    incarnation = (state.worker, state.born_ms)
                    unregistered[incarnation].append((record, key))
        for incarnation, placed in unregistered.items():
            self._lost_workers.add(
                self._describe_unseen(incarnation, placed, now)
            )
            for record, key in placed:
                RUNS_LOST.labels("unknown worker").inc()
                self._release(record, key, "unknown worker")

    def _release_all(self, worker: WorkerState, reason: str) -> None:
        worker.reserve_for_orphans([])
        for task, run in list(worker.runs.items()):
            worker.remove_run(task)
            RUNS_LOST.labels(reason).inc()
            self._release_if_current(run, reason)

    def _release(self, record: JobRecord, key: TaskKey, reason: str) -> None:
        state = record.get_task(key)
        logger.info(
            "run released",
            extra={
                "job": record.name,
                "task": record.name_task(key),
                "run": state.run,
                "worker": state.worker,
                "reason": reason,
            },
        )
        record.release_task(key)
        self.dirty.add(record.name)

    # Reports from workers

    def apply_hold_answer(
        self, worker: WorkerState, answer: HoldAnswer, sent_at: float
    ) -> bool:
        """Apply a worker's answer; return False for another incarnation.

        Of an answer of a worker that has been removed only the ends count.
        Its runs have been released, and if it goes on, it registers again and
        lists them to its next session. Returns False as well.

        `sent_at` is the monotonic time at which the call was sent.
        """
        now = self._clock.read_monotonic()
        is_present = self.workers.get(worker.name) is worker
        if answer.born_ms and worker.entry.born_ms != answer.born_ms:
            # Its clock may have been set back before its restart, so that
            # the later incarnation is not the one with the later time.
            if is_present:
                self._change_incarnation(worker, answer.born_ms)
            return False
        worker.record_contact(answer, now)
        worker.listed_since = max(worker.listed_since, sent_at)
        self._lost_workers.forget(worker.name, worker.entry.born_ms)
        for end in answer.ends:
            if end.number > worker.applied_end:
                self._apply_end(worker, end)
                worker.applied_end = end.number
        if not is_present:
            return False
        listed = {listing.task for listing in answer.runs}
        orphans = []
        for listing in answer.runs:
            if not self._apply_listing(worker, listing, now):
                orphans += self._find_orphan(listing)
        worker.reserve_for_orphans(orphans)
        worker.has_more_ends = answer.has_more_ends
        absent = [task for task in worker.runs if task not in listed]
        if answer.has_more_ends:
            self._await_ends(worker, absent)
        else:
            for task in absent:
                self._apply_absence(worker, task, worker.runs[task], sent_at)
        self._end_probation(worker)
        return True

    def _await_ends(self, worker: WorkerState, tasks: list[str]) -> None:
        """Keep runs that have ended, or not begun, until an answer tells."""
        for task in tasks:
            worker.mark_unready(task)
        logger.info(
            "answer may leave out ends; absent runs are kept",
            extra={
                "worker": worker.name,
                "absent": len(tasks),
                "runs": len(worker.runs),
                "last_end": worker.applied_end,
            },
        )

    def _change_incarnation(self, worker: WorkerState, born_ms: int) -> None:
        entry = replace(worker.entry, born_ms=born_ms)
        if worker.claim is not None and worker.claim.born_ms == born_ms:
            entry = worker.claim
        self._retired.discard((worker.name, born_ms))
        self._add_worker(entry)

    def _end_probation(self, worker: WorkerState) -> None:
        """Clear the suspicion of tasks whose runs have proven themselves."""
        for task in list(worker.probation):
            run = worker.runs[task]
            if not worker.has_proven(run):
                continue
            worker.probation.discard(task)
            record = self.jobs.get(run.job)
            if record is None or record.get_task(run.key).run != run.run:
                continue
            state = replace(record.get_task(run.key), suspected=False)
            if run.step.lasting:
                state = replace(state, crashed_runs=())
            record.set_task(run.key, state)
            self.dirty.add(record.name)
            logger.info(
                "task no longer suspected",
                extra={"task": task, "run": run.run, "worker": worker.name},
            )

    def _apply_absence(
        self, worker: WorkerState, task: str, run: PlacedRun, sent_at: float
    ) -> None:
        """Release or stop a run that the worker's answer does not list."""
        if self._is_gone(run, sent_at):
            worker.remove_run(task)
            self._release_if_current(run, "not listed")
        elif (
            run.in_doubt_at and run.in_doubt_at < sent_at and not run.stopping
        ):
            # Its start may still come.
            worker.mark_absent(task)
            logger.info(
                "start without answer not listed; stopping the run",
                extra={"task": task, "run": run.run, "worker": worker.name},
            )

    @staticmethod
    def _is_gone(run: PlacedRun, sent_at: float) -> bool:
        """Return whether a run that an answer does not list has ended.

        It has if the call was sent, at `sent_at`, after the start or the stop
        of the run was acknowledged.
        """
        if run.stop_answered_at and run.stop_answered_at < sent_at:
            return True
        return bool(run.confirmed_at) and run.confirmed_at < sent_at

    def _release_if_current(self, run: PlacedRun, reason: str) -> None:
        record = self.jobs.get(run.job)
        if record is None:
            return
        state = record.get_task(run.key)
        if state.status is TaskStatus.PLACED and state.run == run.run:
            self._release(record, run.key, reason)
        self._forget_worker(record, run.key, run.run)

    def _forget_worker(
        self, record: JobRecord, key: TaskKey, run: int
    ) -> None:
        """Record that a run has ended whose task had ended before."""
        state = record.get_task(key)
        ended = state.status in (TaskStatus.DONE, TaskStatus.FAILED)
        if ended and state.run == run and state.worker:
            record.set_task(key, replace(state, worker="", vm=""))
            self.dirty.add(record.name)

    def _apply_listing(
        self, worker: WorkerState, listing: RunListing, now: float
    ) -> bool:
        """Apply a listed run; return False if it is not placed there."""
        placed = worker.runs.get(listing.task)
        if placed is not None and placed.run == listing.run:
            was_absent = listing.task in worker.absent
            worker.confirm_run(listing.task, listing, now)
            if was_absent and listing.task not in worker.absent:
                logger.info(
                    "run listed after its start got no answer; not stopped",
                    extra={
                        "task": listing.task,
                        "run": listing.run,
                        "worker": worker.name,
                        "percent": listing.percent,
                    },
                )
            self._record_start_confirmed(placed.job)
            if listing.checkpoint:
                self._record_checkpoint(placed, listing.checkpoint)
            return True
        self.orphans[(worker.name, listing.task)] = listing.run
        return False

    def _find_orphan(self, listing: RunListing) -> list[OrphanRun]:
        """Return a listed run; empty if its job is not known."""
        parsed_name = parse_task_name(listing.task)
        record = self.jobs.get(parsed_name[0]) if parsed_name else None
        if parsed_name is None or record is None:
            return []
        if not record.has_task(parsed_name[1]):
            return []
        step = record.steps[parsed_name[1].step]
        return [OrphanRun(record.submission.organisation, step)]

    def _record_checkpoint(self, placed: PlacedRun, checkpoint: str) -> None:
        # Not written at once: stored with the next change of the task.
        record = self.jobs.get(placed.job)
        if record is None:
            return
        state = record.get_task(placed.key)
        if state.run == placed.run and state.checkpoint != checkpoint:
            record.set_task(placed.key, replace(state, checkpoint=checkpoint))

    def _apply_end(self, worker: WorkerState, end: RunEnd) -> None:
        placed = worker.runs.get(end.task)
        if placed is not None and placed.run == end.run:
            worker.remove_run(end.task)
            self._record_duration(placed, end)
        RUN_ENDS.labels(end.outcome).inc()
        parsed_name = parse_task_name(end.task)
        record = self.jobs.get(parsed_name[0]) if parsed_name else None
        logger.info(
            "run ended",
            extra={
                "task": end.task,
                "run": end.run,
                "how": end.outcome,
                "worker": worker.name,
                "number": end.number,
                "known": record is not None,
            },
        )
        if (
            parsed_name is None
            or record is None
            or not record.has_task(parsed_name[1])
        ):
            return
        record.start_confirmed = True
        self._update_failure_streak(worker, end.outcome)
        self._forget_worker(record, parsed_name[1], end.run)
        state = record.get_task(parsed_name[1])
        if end.run > state.run or state.status is TaskStatus.DONE:
            return
        if end.outcome == FAILED:
            record.failed_on.add((parsed_name[1], worker.name))
        self._apply_task_end(record, parsed_name[1], end)

    def _record_duration(self, run: PlacedRun, end: RunEnd) -> None:
        record = self.jobs.get(run.job)
        if end.outcome != DONE or not run.confirmed_at or record is None:
            return
        self.durations.record(
            classify_step(record.submission.queue.name, run.step),
            run.step,
            self._clock.read_monotonic() - run.confirmed_at,
        )

    def _apply_task_end(
        self, record: JobRecord, key: TaskKey, end: RunEnd
    ) -> None:
        state = record.get_task(key)
        step = record.steps[key.step]
        is_current = state.run == end.run and state.status is TaskStatus.PLACED
        self.dirty.add(record.name)
        if end.outcome == DONE and not step.lasting:
            self._finish_task(record, key, end.run)
            return
        if end.outcome == FAILED and not step.lasting:
            if end.run in state.failed_runs:
                return
            failed_runs = (*state.failed_runs, end.run)
            state = replace(state, failed_runs=failed_runs)
            record.set_task(key, state)
            max_attempts = self.find_queue(record.submission).max_attempts
            if state.failures >= max_attempts and record.ended is None:
                logger.info(
                    "job failed",
                    extra={
                        "job": record.name,
                        "task": end.task,
                        "failures": state.failures,
                        "limit": max_attempts,
                    },
                )
                record.set_task(key, replace(state, status=TaskStatus.FAILED))
                self._forget_worker(record, key, end.run)
                self._end_job(record, JobState.FAILED)
                return
        if is_current:
            record.release_task(key, end.checkpoint)

    def _finish_task(self, record: JobRecord, key: TaskKey, run: int) -> None:
        """Mark a task, or its gang, as done by the end of the given run."""
        keys = [key]
        if record.steps[key.step].gang:
            # The tasks of a gang finish together, so one end covers all.
            keys = [
                replace(key, index=index)
                for index in range(record.steps[key.step].count)
            ]
        for item in keys:
            state = record.get_task(item)
            record.set_task(
                item, replace(state, status=TaskStatus.DONE, checkpoint="")
            )
            self._stop_task(record.name_task(item), state.worker)
        self._forget_worker(record, key, run)
        if record.is_complete() and record.ended is None:
            logger.info("job completed", extra={"job": record.name})
            self._end_job(record, JobState.COMPLETED)

    def _stop_task(self, task: str, worker_name: str) -> None:
        # Earlier runs of the task, on other workers, are being stopped.
        worker = self.workers.get(worker_name)
        run = worker.runs.get(task) if worker is not None else None
        if worker is not None and run is not None and not run.stopping:
            worker.mark_stopping(task)

    def _update_failure_streak(
        self, worker: WorkerState, outcome: str
    ) -> None:
        if outcome == DONE:
            worker.failure_streak = 0
        elif outcome == FAILED:
            worker.failure_streak += 1
            if worker.failure_streak >= self._settings.failure_streak:
                now = self._clock.read_monotonic()
                worker.avoided_until = now + self._settings.avoid_seconds
                logger.info(
                    "worker avoided after repeated failures",
                    extra={
                        "worker": worker.name,
                        "streak": worker.failure_streak,
                    },
                )

    def allows_disruption(self, record: JobRecord, key: TaskKey) -> bool:
        """Return whether planned maintenance may stop a lasting task now.

        With this task stopped, no more than `max_unavailable` tasks of its
        step may be unready; one is always allowed. None is while a task that
        the previous leader has stopped may still be listed as ready.
        """
        if self._may_be_stopping_elsewhere():
            return False
        step = record.steps[key.step]
        unavailable = 0
        for index in range(step.count):
            other = replace(key, index=index)
            if other != key and not self._is_ready(record, other):
                unavailable += 1
        return unavailable < max(1, step.max_unavailable)

    def _may_be_stopping_elsewhere(self) -> bool:
        settings = self._settings
        seconds = (
            settings.late_stop_seconds
            + settings.longest_stop_seconds
            + settings.contact_seconds
        )
        return self._clock.read_monotonic() - self._began_at < seconds

    def _is_ready(self, record: JobRecord, key: TaskKey) -> bool:
        worker = self.workers.get(record.get_task(key).worker)
        now = self._clock.read_monotonic()
        seconds = self._settings.contact_seconds
        if worker is None or not worker.is_in_contact(now, seconds):
            return False  # its last listing is out of date
        run = worker.runs.get(record.name_task(key))
        return run is not None and run.is_ready and not run.stopping

    # Orders

    def place(
        self, record: JobRecord, key: TaskKey, worker: WorkerState
    ) -> int:
        """Place a task's next run on a worker; return the run number."""
        run = record.get_task(key).run + 1
        self.place_run(record, key, worker, run)
        return run

    def place_run(
        self, record: JobRecord, key: TaskKey, worker: WorkerState, run: int
    ) -> None:
        """Place the run with the given number on a worker."""
        entry = worker.entry
        record.place_task(key, run, entry.name, entry.born_ms, entry.vm)
        now = self._clock.read_monotonic()
        step = record.steps[key.step]
        placed = PlacedRun(
            record.name,
            key,
            run,
            step,
            now,
            on_probation=record.get_task(key).must_run_alone(step),
            organisation=record.submission.organisation,
        )
        worker.add_run(record.name_task(key), placed)
        self.dirty.add(record.name)

    def withdraw(
        self, worker: WorkerState, task: str, run: int, reason: str
    ) -> None:
        """Undo a placement of a run that certainly has not started."""
        placed = worker.runs.get(task)
        if placed is not None and placed.run == run:
            worker.remove_run(task)
            self._release_if_current(placed, reason)

    def confirm_start(self, worker: WorkerState, task: str, run: int) -> None:
        """Record that the worker acknowledged the start."""
        placed = worker.runs.get(task)
        if placed is not None and placed.run == run:
            now = self._clock.read_monotonic()
            worker.replace_run(
                task, replace(placed, confirmed_at=now, in_doubt=False)
            )
            self._record_start_confirmed(placed.job)

    def _record_start_confirmed(self, job: str) -> None:
        record = self.jobs.get(job)
        if record is not None:
            record.start_confirmed = True

    def mark_in_doubt(self, worker: WorkerState, task: str, run: int) -> None:
        """Record that a start got no answer and may still take effect."""
        placed = worker.runs.get(task)
        if placed is None or placed.run != run or placed.confirmed_at:
            return
        worker.replace_run(task, self._put_in_doubt(placed))

    def _put_in_doubt(self, run: PlacedRun) -> PlacedRun:
        """Return a run whose start may have been carried out."""
        # A lasting task may be at work by now, and its step may not spare it:
        # the next listing tells whether it has to be stopped.
        return replace(
            run,
            in_doubt=True,
            in_doubt_at=self._clock.read_monotonic(),
            stopping=run.stopping or not run.step.lasting,
        )

    def confirm_stop(self, worker: WorkerState, task: str, run: int) -> None:
        """Record that the worker acknowledged the stop."""
        self.orphans.pop((worker.name, task), None)
        placed = worker.runs.get(task)
        if placed is not None and placed.run == run:
            now = self._clock.read_monotonic()
            worker.replace_run(task, replace(placed, stop_answered_at=now))

    def stop_stuck_runs(self) -> None:
        """Stop first runs that take far longer than estimated.

        Runs whose start got no answer in time are stopped as well.
        """
        now = self._clock.read_monotonic()
        if (
            now - self._stuck_checked_at
            < self._settings.check_interval_seconds
        ):
            return
        self._stuck_checked_at = now
        for worker in self.workers.values():
            for task, run in list(worker.runs.items()):
                if self._is_start_overdue(run, now):
                    worker.replace_run(task, self._put_in_doubt(run))
                elif self._is_stuck(run, now):
                    logger.info(
                        "run exceeds its limit; retrying on another worker",
                        extra={
                            "task": task,
                            "worker": worker.name,
                            "seconds": now - run.confirmed_at,
                            "estimate_ms": run.step.estimate_ms,
                        },
                    )
                    worker.mark_stopping(task)
                    avoided = now + self._settings.avoid_seconds
                    worker.avoided_until = max(worker.avoided_until, avoided)

    def _is_start_overdue(self, run: PlacedRun, now: float) -> bool:
        # This process lost track of the order, which may have been sent.
        age = now - run.placed_at
        unanswered = not (run.confirmed_at or run.in_doubt or run.stopping)
        return unanswered and age > self._settings.start_timeout_seconds

    def _is_stuck(self, run: PlacedRun, now: float) -> bool:
        step = run.step
        if run.stopping or not run.confirmed_at or run.run > 1:
            return False
        if step.lasting or step.gang or not step.estimate_ms:
            return False
        max_seconds = self._settings.stuck_factor * step.estimate_ms / 1000
        max_seconds += self._settings.stuck_seconds
        return now - run.confirmed_at > max_seconds

    def list_stop_requests(self) -> list[StopRequest]:
        """Return the stops to send now, including those of orphaned runs."""
        stops = []
        for worker in self.workers.values():
            for task, run in worker.runs.items():
                if self._is_stop_due(worker, task, run):
                    stops.append(StopRequest(worker, task, run.run))
        for (name, task), number in self.orphans.items():
            found = self.workers.get(name)
            if found is not None:
                stops.append(StopRequest(found, task, number))
        return stops

    def is_still_due(self, stop: StopRequest) -> bool:
        """Return whether a stop that has waited is still to be sent."""
        placed = stop.worker.runs.get(stop.task)
        if placed is not None and placed.run == stop.run:
            return self._is_stop_due(stop.worker, stop.task, placed)
        orphan = self.orphans.get((stop.worker.name, stop.task))
        return orphan == stop.run

    def _is_stop_due(
        self, worker: WorkerState, task: str, run: PlacedRun
    ) -> bool:
        if not run.stopping or run.stop_answered_at:
            return False
        if task not in worker.absent:
            return True
        # Its start may have been carried out since the last listing.
        age = self._clock.read_monotonic() - worker.listed_since
        return age <= self._settings.absence_seconds

    def count_pending(self, queue: str) -> int:
        """Return how many active jobs of a queue wait for their first task.

        A start that was placed but refused, or not sent, counts as waiting.
        """
        return sum(
            1
            for record in self.active.values()
            if record.submission.queue.name == queue
            and not record.start_confirmed
        )
