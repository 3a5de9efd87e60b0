"""All jobs and workers of one leader, and what events do to them.

Every method expects the book's lock to be held by its caller.
"""

import logging
import threading
from collections import deque
from dataclasses import dataclass, replace

from chestnutstair.scheduling.configuration import FleetConfiguration, Queue
from chestnutstair.scheduling.metrics import ENDS
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
    TaskStatus,
    parse_task_name,
)
from chestnutstair.scheduling.workers import PlacedRun, WorkerState
from chestnutstair.state.deadline import Clock

__all__ = ["Arrival", "JobTracker", "JobTrackerSettings", "StopRequest"]

logger = logging.getLogger(__name__)

MAX_ARRIVALS = 2000  # far more than come within a second
DONE = "done"
FAILED = "failed"


@dataclass(frozen=True)
class JobTrackerSettings:
    """Limits of what the book believes.

    `takeover_lapse_seconds` is how long runs may outlive the leader before
    on workers that have not answered this one. `failure_streak` failures
    without a success between them keep new work off a worker for
    `avoid_seconds`. A first run that takes more than `stuck_factor` times
    its estimate and `stuck_seconds` more is stopped and tried elsewhere:
    estimates are up to half off, and tasks of one step uneven. What a
    worker listed is believed for `contact_seconds`, a little more than the
    wait of one hold. A start that is not answered after `unsent_seconds`,
    six times the limit of an order, is taken as lost. Runs are looked
    through for these limits every `sweep_seconds`, a tenth of the shortest.
    """

    takeover_wait_seconds: float = 7.0
    failure_streak: int = 3
    avoid_seconds: float = 3.0
    contact_seconds: float = 1.6
    stuck_factor: float = 3.0
    stuck_seconds: float = 2.0
    start_timeout_seconds: float = 3.0
    check_interval_seconds: float = 0.1


@dataclass(frozen=True)
class StopRequest:
    """A run that is to be stopped on a worker."""

    worker: WorkerState
    task: str
    run: int


@dataclass(frozen=True)
class Arrival:
    """The work of a job, in millicore-seconds, and when it was accepted."""

    at: float
    service: str
    work: float


class JobTracker:
    """The state of one leader."""

    def __init__(self, clock: Clock, settings: JobTrackerSettings) -> None:
        self.lock = threading.RLock()
        self.configuration = FleetConfiguration(0)
        self.jobs: dict[str, JobRecord] = {}
        self.active: dict[str, JobRecord] = {}
        self.workers: dict[str, WorkerState] = {}
        self.dirty: set[str] = set()
        self.orphans: dict[tuple[str, str], int] = {}
        self.arrivals: deque[Arrival] = deque(maxlen=MAX_ARRIVALS)
        self._retired: set[tuple[str, int]] = set()
        self._clock = clock
        self._settings = settings
        self._began_at = clock.read_monotonic()
        self._expiry_checked_at = float("-inf")
        self._stuck_checked_at = float("-inf")

    # Jobs

    def find_queue(self, submission: Submission) -> Queue:
        """Return the job's queue, as it was accepted if it is not known."""
        queue = self.configuration.find_queue_by_name(submission.queue.name)
        return queue or submission.queue

    def restore_job(
        self, submission: Submission, progress: bytes | None
    ) -> None:
        """Add a job as the store has it, when a term begins."""
        record = JobRecord(submission)
        if progress is not None:
            record.restore(progress)
        self.jobs[record.name] = record
        if record.ended is None:
            self.active[record.name] = record
        age = self._clock.read_wall() - submission.accepted_ms / 1000
        self._record_arrival(record, max(0.0, age))

    def sort_arrivals(self) -> None:
        """Put the arrivals of restored jobs in the order of time."""
        ordered = sorted(self.arrivals, key=lambda arrival: arrival.at)
        self.arrivals.clear()
        self.arrivals.extend(ordered)

    def _record_arrival(self, record: JobRecord, age: float) -> None:
        at = self._clock.read_monotonic() - age
        service = self.find_queue(record.submission).service
        self.arrivals.append(Arrival(at, service, record.estimate_work()))

    def admit(self, submission: Submission) -> bool:
        """Add a job that was accepted; tell whether it is new."""
        if submission.job in self.jobs:
            return False
        record = JobRecord(submission)
        self.jobs[record.name] = record
        self.active[record.name] = record
        self._record_arrival(record, 0.0)
        logger.info(
            "job admitted",
            extra={"job": record.name, "queue": submission.queue.name},
        )
        return True

    def cancel(self, name: str) -> None:
        """End a job and stop its runs."""
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
            for task, run in list(worker.runs.items()):
                if run.job == record.name:
                    worker.mark_stopping(task)

    def forget_job(self, name: str) -> None:
        """Drop a job whose rows have been removed."""
        self.jobs.pop(name, None)
        self.dirty.discard(name)

    # Workers

    def apply_worker_entry(self, entry: WorkerEntry) -> WorkerState | None:
        """Take over a registry entry; return the worker if it is new."""
        if (entry.name, entry.born_ms) in self._retired:
            return None  # the registry forgets it some seconds later
        known = self.workers.get(entry.name)
        if known is not None:
            if known.entry.born_ms == entry.born_ms:
                known.update_entry(entry)
                known.gone = False
                return None
            if entry.born_ms < known.entry.born_ms:
                return None  # an entry from before its restart
        worker = WorkerState(entry, self._clock.read_monotonic())
        self.workers[entry.name] = worker
        self._restore_runs(worker)
        if known is not None:
            self._replace_incarnation(known, worker)
        logger.info(
            "worker known",
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
        now = self._clock.read_monotonic()
        entry = worker.entry
        for record in self.jobs.values():
            for key, state in record.tasks.items():
                if (
                    state.status is TaskStatus.PLACED
                    and state.worker == entry.name
                    and state.born_ms == entry.born_ms
                ):
                    run = PlacedRun(
                        record.name,
                        key,
                        state.run,
                        record.steps[key.step],
                        now,
                        # The first listing under this term's fence decides.
                        confirmed_at=now,
                        stopping=record.ended is not None,
                    )
                    worker.add_run(record.name_task(key), run)

    def _replace_incarnation(
        self, worker: WorkerState, successor: WorkerState
    ) -> None:
        logger.info(
            "worker restarted; its runs are gone",
            extra={"worker": worker.name, "runs": len(worker.runs)},
        )
        worker.gone = True
        for task, run in list(worker.runs.items()):
            if run.listing is None:
                # Its start may have reached, or still reach, the successor.
                self._reassign_unconfirmed(
                    task, worker.remove_run(task) or run, successor
                )
        self._release_all(worker, "restarted")

    def _reassign_unconfirmed(
        self, task: str, run: PlacedRun, successor: WorkerState
    ) -> None:
        """Let a run that may have begun on a successor be stopped there."""
        doubtful = replace(
            run,
            confirmed_at=0.0,
            in_doubt=True,
            stopping=True,
            stop_answered_at=0.0,
        )
        successor.add_run(task, doubtful)
        record = self.jobs.get(run.job)
        if record is None:
            return
        state = record.get_task(run.key)
        if state.status is TaskStatus.PLACED and state.run == run.run:
            record.place_task(
                run.key, run.run, successor.name, successor.entry.born_ms
            )
            self.dirty.add(record.name)

    def retire_worker(self, worker: WorkerState) -> None:
        """Forget a worker whose VM has been moved or taken down."""
        worker.gone = True
        self._retired.add((worker.name, worker.entry.born_ms))
        self._release_all(worker, "retired")
        if self.workers.get(worker.name) is worker:
            del self.workers[worker.name]

    def mark_worker_gone(self, name: str) -> None:
        """Note that the registry no longer lists a worker."""
        worker = self.workers.get(name)
        if worker is not None and not worker.gone:
            worker.gone = True
            logger.info(
                "worker left the registry",
                extra={"worker": name, "runs": len(worker.runs)},
            )

    def release_expired(self) -> None:
        """Release the runs of workers whose leases have lapsed."""
        now = self._clock.read_monotonic()
        if (
            now - self._expiry_checked_at
            < self._settings.check_interval_seconds
        ):
            return
        self._expiry_checked_at = now
        # Leases of the leader before run on, also on workers that this one
        # has reached but not sent a lease.
        seconds = self._settings.takeover_wait_seconds
        previous_expiry = self._began_at + seconds
        for worker in list(self.workers.values()):
            expiry = (
                worker.compute_lease_expiry() or worker.first_seen_at + seconds
            )
            expiry = max(previous_expiry, expiry)
            if now <= expiry or worker.is_in_contact(now, 1.0):
                continue
            self._release_all(worker, "lapsed")
            if worker.gone:
                self.workers.pop(worker.name, None)
        self._release_unregistered(now)

    def _release_unregistered(self, now: float) -> None:
        # Runs placed on incarnations that no registry entry names.
        if now <= self._began_at + self._settings.takeover_wait_seconds:
            return
        for record in self.active.values():
            for key, state in list(record.tasks.items()):
                if state.status is not TaskStatus.PLACED:
                    continue
                worker = self.workers.get(state.worker)
                if worker is None or worker.entry.born_ms != state.born_ms:
                    self._release(record, key, "unknown worker")

    def _release_all(self, worker: WorkerState, reason: str) -> None:
        for task, run in list(worker.runs.items()):
            worker.remove_run(task)
            record = self.jobs.get(run.job)
            if record is not None:
                state = record.get_task(run.key)
                if state.status is TaskStatus.PLACED and state.run == run.run:
                    self._release(record, run.key, reason)

    def _release(self, record: JobRecord, key: TaskKey, reason: str) -> None:
        state = record.get_task(key)
        logger.info(
            "run given up",
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

    # What workers say

    def apply_hold_answer(
        self, worker: WorkerState, answer: HoldAnswer, sent_at: float
    ) -> bool:
        """Take over a listing; tell whether it is of this incarnation.

        `sent` is when the call was made, on the monotonic clock.
        """
        now = self._clock.read_monotonic()
        if answer.born_ms and worker.entry.born_ms != answer.born_ms:
            if answer.born_ms > worker.entry.born_ms:
                entry = replace(worker.entry, born_ms=answer.born_ms)
                if self.workers.get(worker.name) is worker:
                    self.apply_worker_entry(entry)
            return False
        worker.record_contact(answer, now)
        for end in answer.ends:
            if end.number > worker.applied_end:
                self._apply_end(worker, end)
                worker.applied_end = end.number
        listed = {listing.task: listing for listing in answer.runs}
        for listing in answer.runs:
            self._apply_listing(worker, listing, now)
        for task, run in list(worker.runs.items()):
            if task not in listed and self._is_gone(run, sent_at):
                worker.remove_run(task)
                self._release_if_current(run, "not listed")
        return True

    @staticmethod
    def _is_gone(run: PlacedRun, sent_at: float) -> bool:
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

    def _apply_listing(
        self, worker: WorkerState, listing: RunListing, now: float
    ) -> None:
        placed = worker.runs.get(listing.task)
        if placed is not None and placed.run == listing.run:
            worker.confirm_run(listing.task, listing, now)
            if listing.checkpoint:
                self._record_checkpoint(placed, listing.checkpoint)
            return
        self.orphans[(worker.name, listing.task)] = listing.run

    def _record_checkpoint(self, placed: PlacedRun, checkpoint: str) -> None:
        # Not stored by itself: it goes with the task's next change.
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
        ENDS.labels(end.outcome).inc()
        name = parse_task_name(end.task)
        record = self.jobs.get(name[0]) if name else None
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
        if name is None or record is None or not record.has_task(name[1]):
            return
        self._update_failure_streak(worker, end.outcome)
        state = record.get_task(name[1])
        if end.run > state.run or state.status is TaskStatus.DONE:
            return
        if end.outcome == FAILED:
            record.failed_on.add((name[1], worker.name))
        self._apply_task_end(record, name[1], end)

    def _apply_task_end(
        self, record: JobRecord, key: TaskKey, end: RunEnd
    ) -> None:
        state = record.get_task(key)
        step = record.steps[key.step]
        current = state.run == end.run and state.status is TaskStatus.PLACED
        self.dirty.add(record.name)
        if end.outcome == DONE and not step.lasting:
            self._finish_task(record, key)
            return
        if end.outcome == FAILED and not step.lasting:
            if end.run in state.failed_runs:
                return
            failed_runs = (*state.failed_runs, end.run)
            state = replace(state, failed_runs=failed_runs)
            record.set_task(key, state)
            limit = self.find_queue(record.submission).max_attempts
            if state.failures >= limit and record.ended is None:
                logger.info(
                    "job failed",
                    extra={
                        "job": record.name,
                        "task": end.task,
                        "failures": state.failures,
                        "limit": limit,
                    },
                )
                record.set_task(key, replace(state, status=TaskStatus.FAILED))
                self._end_job(record, JobState.FAILED)
                return
        if current:
            record.release_task(key, end.checkpoint)

    def _finish_task(self, record: JobRecord, key: TaskKey) -> None:
        keys = [key]
        if record.steps[key.step].gang:
            # The members of a gang end together; one end stands for all.
            keys = [
                replace(key, index=index)
                for index in range(record.steps[key.step].count)
            ]
        for item in keys:
            state = record.get_task(item)
            record.set_task(
                item,
                replace(
                    state, status=TaskStatus.DONE, worker="", checkpoint=""
                ),
            )
            self._stop_task(record.name_task(item))
        if record.is_complete() and record.ended is None:
            logger.info("job completed", extra={"job": record.name})
            self._end_job(record, JobState.COMPLETED)

    def _stop_task(self, task: str) -> None:
        for worker in self.workers.values():
            run = worker.runs.get(task)
            if run is not None and not run.stopping:
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
                    "worker avoided: its runs fail",
                    extra={
                        "worker": worker.name,
                        "streak": worker.failure_streak,
                    },
                )

    def allows_disruption(self, record: JobRecord, key: TaskKey) -> bool:
        """Tell whether planned work may stop a lasting task now.

        All others of its step but as many as may be away are at work.
        """
        step = record.steps[key.step]
        unavailable = 0
        for index in range(step.count):
            other = replace(key, index=index)
            if other != key and not self._is_ready(record, other):
                unavailable += 1
        return unavailable < max(1, step.max_unavailable)

    def _is_ready(self, record: JobRecord, key: TaskKey) -> bool:
        worker = self.workers.get(record.get_task(key).worker)
        now = self._clock.read_monotonic()
        seconds = self._settings.contact_seconds
        if worker is None or not worker.is_in_contact(now, seconds):
            return False  # its last listing says nothing of now
        run = worker.runs.get(record.name_task(key))
        return run is not None and run.is_ready and not run.stopping

    # Orders

    def place(
        self, record: JobRecord, key: TaskKey, worker: WorkerState
    ) -> int:
        """Give a task's next run to a worker; return the run's number."""
        run = record.get_task(key).run + 1
        self.place_run(record, key, worker, run)
        return run

    def place_run(
        self, record: JobRecord, key: TaskKey, worker: WorkerState, run: int
    ) -> None:
        """Give the run of that number to a worker."""
        record.place_task(key, run, worker.name, worker.entry.born_ms)
        now = self._clock.read_monotonic()
        step = record.steps[key.step]
        placed = PlacedRun(record.name, key, run, step, now)
        worker.add_run(record.name_task(key), placed)
        self.dirty.add(record.name)

    def withdraw(
        self, worker: WorkerState, task: str, run: int, reason: str
    ) -> None:
        """Take back a run that the worker has certainly not begun."""
        placed = worker.runs.get(task)
        if placed is not None and placed.run == run:
            worker.remove_run(task)
            self._release_if_current(placed, reason)

    def confirm_start(self, worker: WorkerState, task: str, run: int) -> None:
        """Note that the worker answered the start."""
        placed = worker.runs.get(task)
        if placed is not None and placed.run == run:
            now = self._clock.read_monotonic()
            worker.replace_run(
                task, replace(placed, confirmed_at=now, in_doubt=False)
            )

    def mark_in_doubt(self, worker: WorkerState, task: str, run: int) -> None:
        """Note that a start had no answer: it may still be carried out."""
        placed = worker.runs.get(task)
        if placed is None or placed.run != run or placed.confirmed_at:
            return
        worker.replace_run(task, replace(placed, in_doubt=True, stopping=True))

    def confirm_stop(self, worker: WorkerState, task: str, run: int) -> None:
        """Note that the worker answered the stop."""
        self.orphans.pop((worker.name, task), None)
        placed = worker.runs.get(task)
        if placed is not None and placed.run == run:
            now = self._clock.read_monotonic()
            worker.replace_run(task, replace(placed, stop_answered_at=now))

    def stop_stuck_runs(self) -> None:
        """Stop first runs that take far longer than estimated."""
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
                    worker.replace_run(
                        task, replace(run, in_doubt=True, stopping=True)
                    )
                elif self._is_stuck(run, now):
                    logger.info(
                        "run takes too long; trying another worker",
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
        # Its order was lost in this process; it may still have been sent.
        age = now - run.placed_at
        unanswered = not (run.confirmed_at or run.in_doubt or run.stopping)
        return unanswered and age > self._settings.start_timeout_seconds

    def _is_stuck(self, run: PlacedRun, now: float) -> bool:
        step = run.step
        if run.stopping or not run.confirmed_at or run.run > 1:
            return False
        if step.lasting or step.gang or not step.estimate_ms:
            return False
        limit = self._settings.stuck_factor * step.estimate_ms / 1000
        limit += self._settings.stuck_seconds
        return now - run.confirmed_at > limit

    def list_stop_requests(self) -> list[StopRequest]:
        """Return the stops that are to be sent now."""
        stops = []
        for worker in self.workers.values():
            for task, run in worker.runs.items():
                if run.stopping and not run.stop_answered_at:
                    stops.append(StopRequest(worker, task, run.run))
        for (name, task), number in self.orphans.items():
            found = self.workers.get(name)
            if found is not None:
                stops.append(StopRequest(found, task, number))
        return stops

    def count_pending(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have started no task."""
        return sum(
            1
            for record in self.active.values()
            if record.submission.queue.name == queue and not record.started
        )
