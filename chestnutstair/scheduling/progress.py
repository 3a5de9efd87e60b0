"""Progress of jobs: one record per job, with the state of its tasks."""

import json
import logging
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum
from functools import cached_property

from chestnutstair.scheduling.configuration import Queue
from chestnutstair.scheduling.specification import JobSpecification, Step
from chestnutstair.state.fields import (
    MAX_NUMBER,
    MalformedFieldError,
    is_whole,
    read_whole,
)

__all__ = [
    "JobRecord",
    "JobState",
    "Lateness",
    "Outlook",
    "Submission",
    "TaskKey",
    "TaskState",
    "TaskStatus",
    "parse_task_name",
]


logger = logging.getLogger(__name__)

# Largest value of a row of the store.
MAX_ROW_BYTES = 65_536


@dataclass(frozen=True)
class TaskKey:
    """Position of a task in its job: occurrence, step and index from 0."""

    occurrence: int
    step: int
    index: int


class TaskStatus(StrEnum):
    """Status of a task; the values are written to the store."""

    WAITING = "w"
    PLACED = "p"  # its start is stored; the worker may have executed it
    DONE = "d"
    FAILED = "f"


class JobState(StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Lateness(IntEnum):
    """Whether a job can still meet its latency objective."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2  # so late that its result has little value


@dataclass(frozen=True)
class TaskState:
    """The state of one task.

    A run is one attempt to execute the task.
    """

    status: TaskStatus = TaskStatus.WAITING
    # Number of the latest run, 0 before the first; it never decreases.
    run: int = 0
    # Worker that the latest run was sent to, and its incarnation: the start
    # of its process, in ms.
    worker: str = ""
    born_ms: int = 0
    # Runs whose failure has been counted. A worker lists an end until it is
    # acknowledged, so the same failure may be reported more than once.
    failed_runs: tuple[int, ...] = ()
    # The latest known checkpoint.
    checkpoint: str = ""
    # VM of the worker, as the worker's own name ends with its process.
    vm: str = ""
    # Runs that may have crashed their worker.
    crashed_runs: tuple[int, ...] = ()
    # The last of them had not proven itself, so the next run has to do so
    # alone.
    suspected: bool = False

    def must_run_alone(self, step: Step) -> bool:
        """Return whether nothing else may start beside the next run."""
        # The tasks of a gang have to start together.
        return self.suspected and not step.gang

    @property
    def may_run(self) -> bool:
        """Return whether the latest run may still be on its worker.

        A task can be done or failed before its latest run has ended: by the
        end of an earlier run, or of another task of its gang. The worker is
        then kept, so that the next leader stops and counts the run as well.
        """
        return self.status is TaskStatus.PLACED or (
            self.status is not TaskStatus.WAITING and bool(self.worker)
        )

    @property
    def failures(self) -> int:
        """Return the number of failed runs."""
        return len(self.failed_runs)


INITIAL_STATE = TaskState()


class StepProgress:
    """Indexes of a step's waiting tasks, and its task counts by status.

    Updated with each task, so that planning does not iterate over all tasks.
    """

    def __init__(self, count: int) -> None:
        self.waiting = set(range(count))
        self.counts = {status: 0 for status in TaskStatus}
        self.counts[TaskStatus.WAITING] = count

    def record_transition(
        self, index: int, before: TaskStatus, now: TaskStatus
    ) -> None:
        """Update the counts after a task changed its status."""
        self.counts[before] -= 1
        self.counts[now] += 1
        if now is TaskStatus.WAITING:
            self.waiting.add(index)
        else:
            self.waiting.discard(index)


@dataclass(frozen=True)
class Submission:
    """A job as it was accepted.

    `accepted_ms` is in ms since 1970, and `queue` is the queue's
    configuration at that time. `organisation` is the name of the job's owner,
    empty if it has none.
    """

    job: str
    queue: Queue
    accepted_ms: int
    specification: JobSpecification
    organisation: str = ""


def _is_usable(state: TaskState) -> bool:
    """Return whether a stored state has the types that planning needs.

    Without calls where possible, as a leader loads thousands of tasks.
    """
    return (
        type(state.run) is int
        and 0 <= state.run <= MAX_NUMBER
        and type(state.born_ms) is int
        and 0 <= state.born_ms <= MAX_NUMBER
        and type(state.worker) is str
        and type(state.checkpoint) is str
        and type(state.vm) is str
        and (not state.failed_runs or all(map(is_whole, state.failed_runs)))
        and (not state.crashed_runs or all(map(is_whole, state.crashed_runs)))
    )


def parse_task_name(name: str) -> tuple[str, TaskKey] | None:
    """Split a task name into job and key; return None if it is malformed."""
    parts = name.split(".")
    try:
        job, occurrence, step, index = parts
        return job, TaskKey(int(occurrence), int(step), int(index))
    except ValueError:
        return None


@dataclass(frozen=True)
class Outlook:
    """What a job's current occurrence still needs.

    - `startable`: numbers of the steps that have waiting tasks and whose
      dependencies are done.
    - `remaining_ms`: estimated critical path of the steps not yet started.
    - `waiting_millicores`: total of the tasks that could start now.
    - `later_millicores`: what the widest step that cannot start yet will need
      beyond what runs and waits now.
    """

    startable: tuple[int, ...]
    remaining_ms: float
    waiting_millicores: int
    later_millicores: int


class JobRecord:
    """One job and the states of its tasks; the owner must lock access."""

    def __init__(self, submission: Submission) -> None:
        self.submission = submission
        self.tasks: dict[TaskKey, TaskState] = {}
        self.ended: JobState | None = None
        self.ended_ms = 0
        self.stored_state: JobState = JobState.QUEUED  # as last stored
        self._step_progress: dict[tuple[int, int], StepProgress] = {}
        self._remaining_ms: dict[frozenset[int], float] = {}
        # What the tasks still need; None after one of them has changed.
        self._outlook: Outlook | None = None
        # Steps with all tasks done, counted over all occurrences.
        self._completed_steps = 0
        self.started = False  # a task has been placed
        self.start_confirmed = False  # a worker has begun a task
        self.start_measured = False
        # Waiting tasks that have to start alone, as they may crash their
        # worker.
        self.suspects: set[TaskKey] = set()
        # Tasks and workers on which they failed; a hint that is not stored.
        self.failed_on: set[tuple[TaskKey, str]] = set()
        # The checkpoint that a member of a gang reported last, by occurrence
        # and step.
        self._gang_checkpoints: dict[tuple[int, int], str] = {}
        self.lateness = Lateness.IN_TIME  # as of the last planning round
        # The oldest incomplete occurrence and whether it was due, as of the
        # last planning round.
        self.current_occurrence = 0
        self.is_due = not submission.specification.occurrences

    @property
    def name(self) -> str:
        """Return the job's name."""
        return self.submission.job

    @property
    def steps(self) -> tuple[Step, ...]:
        """Return the steps of each occurrence."""
        return self.submission.specification.steps

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run; at least 1."""
        return max(1, self.submission.specification.occurrences)

    @property
    def state(self) -> JobState:
        """Return the current state, which may not be stored yet."""
        if self.ended is not None:
            return self.ended
        return JobState.RUNNING if self.started else JobState.QUEUED

    def name_task(self, key: TaskKey) -> str:
        """Return the task's name in orders to workers."""
        return f"{self.name}.{key.occurrence}.{key.step}.{key.index}"

    def name_step(self, key: TaskKey) -> str:
        """Return the step's name in calls to the policy service."""
        return f"{self.name}.{key.occurrence}.{key.step}"

    def get_task(self, key: TaskKey) -> TaskState:
        """Return the state of a task."""
        return self.tasks.get(key, INITIAL_STATE)

    def has_task(self, key: TaskKey) -> bool:
        """Return whether the job has a task with this key."""
        return (
            0 <= key.occurrence < self.occurrences
            and 0 <= key.step < len(self.steps)
            and 0 <= key.index < self.steps[key.step].count
        )

    def set_task(self, key: TaskKey, state: TaskState) -> None:
        """Replace the state of a task."""
        before = self.get_task(key)
        self.tasks[key] = state
        if state.run:
            self.started = True
        if self.steps[key.step].gang and (
            state.checkpoint not in ("", before.checkpoint)
        ):
            gang = (key.occurrence, key.step)
            self._gang_checkpoints[gang] = state.checkpoint
        waits = state.status is TaskStatus.WAITING
        if waits and state.must_run_alone(self.steps[key.step]):
            self.suspects.add(key)
        else:
            self.suspects.discard(key)
        if before.status is state.status:
            return
        self._outlook = None
        task_count = self.steps[key.step].count
        progress = self.get_step_progress(key.occurrence, key.step)
        was_done = progress.counts[TaskStatus.DONE] == task_count
        progress.record_transition(key.index, before.status, state.status)
        is_done = progress.counts[TaskStatus.DONE] == task_count
        self._completed_steps += int(is_done) - int(was_done)

    def find_gang_checkpoint(self, occurrence: int, step: int) -> str:
        """Return the checkpoint that all members of a gang start with.

        It is the last one of any member, and empty if there is none.
        """
        return self._gang_checkpoints.get((occurrence, step), "")

    def get_step_progress(self, occurrence: int, step: int) -> StepProgress:
        """Return the progress of a step in one occurrence."""
        progress = self._step_progress.get((occurrence, step))
        if progress is None:
            progress = StepProgress(self.steps[step].count)
            self._step_progress[occurrence, step] = progress
        return progress

    def has_begun_occurrence(self) -> bool:
        """Return whether a task of the current occurrence was placed."""
        if not self.submission.specification.occurrences:
            return self.start_confirmed
        occurrence = self.current_occurrence
        return any(
            len(self.get_step_progress(occurrence, number).waiting)
            < step.count
            for number, step in enumerate(self.steps)
        )

    def place_task(
        self, key: TaskKey, run: int, worker: str, born_ms: int, vm: str = ""
    ) -> None:
        """Mark a task as placed on a worker, with the number of the run."""
        state = self.get_task(key)
        self.set_task(
            key,
            replace(
                state,
                status=TaskStatus.PLACED,
                run=run,
                worker=worker,
                born_ms=born_ms,
                vm=vm,
            ),
        )

    def undo_placement(self, key: TaskKey, before: TaskState) -> None:
        """Undo a placement that was neither stored nor sent."""
        self.set_task(key, before)
        self.started = any(state.run for state in self.tasks.values())

    def release_task(self, key: TaskKey, checkpoint: str = "") -> None:
        """Return a task to the waiting state, for another run."""
        state = self.get_task(key)
        self.set_task(
            key,
            replace(
                state,
                status=TaskStatus.WAITING,
                worker="",
                born_ms=0,
                vm="",
                checkpoint=checkpoint or state.checkpoint,
            ),
        )

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        progress = self.get_step_progress(occurrence, step)
        return progress.counts[TaskStatus.DONE] == self.steps[step].count

    def is_complete(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return self._completed_steps >= self.occurrences * len(self.steps)

    def compute_due_ms(self, occurrence: int) -> int:
        """Return the due time of an occurrence in ms since 1970, 0 if none."""
        specification = self.submission.specification
        if not specification.occurrences:
            return 0
        return (
            specification.first_due_ms + occurrence * specification.interval_ms
        )

    def advance_occurrence(self, wall_ms: float) -> float:
        """Advance to the oldest incomplete occurrence.

        Return the time from which its latency counts, in ms since 1970: the
        due time, or `wall_ms` if it is not due yet. For a job that runs once
        this is the time of acceptance.
        """
        if not self.submission.specification.occurrences:
            return self.submission.accepted_ms
        while self.current_occurrence < self.occurrences - 1 and all(
            self.is_step_done(self.current_occurrence, step)
            for step in range(len(self.steps))
        ):
            self.current_occurrence += 1
            self._outlook = None
        due_ms = self.compute_due_ms(self.current_occurrence)
        self.is_due = due_ms <= wall_ms
        return min(wall_ms, due_ms)

    def list_startable_steps(self, wall_ms: float) -> list[tuple[int, int]]:
        """Return the occurrence and step numbers whose tasks may start now.

        Only steps with waiting tasks are included.
        """
        if not self.submission.specification.occurrences:
            return [(0, number) for number in self.outlook.startable]
        startable = []
        for occurrence in range(self.occurrences):
            if self.compute_due_ms(occurrence) > wall_ms:
                break
            startable += [
                (occurrence, number)
                for number in self._list_startable(occurrence)
            ]
        return startable

    def _list_startable(self, occurrence: int) -> list[int]:
        return [
            number
            for number, step in enumerate(self.steps)
            if self.get_step_progress(occurrence, number).waiting
            and self._are_dependencies_done(occurrence, step)
        ]

    def _are_dependencies_done(self, occurrence: int, step: Step) -> bool:
        return all(
            self.is_step_done(occurrence, dependency)
            for dependency in step.after
        )

    @property
    def outlook(self) -> Outlook:
        """What the current occurrence still needs.

        Computed again only after a task has changed, as a planning round
        reads it for every job.
        """
        if self._outlook is None:
            self._outlook = self._compute_outlook()
        return self._outlook

    def _compute_outlook(self) -> Outlook:
        occurrence = self.current_occurrence
        waiting = running = widest_later = 0
        for number, step in enumerate(self.steps):
            if step.filler:
                continue
            progress = self.get_step_progress(occurrence, number)
            needed = len(progress.waiting) * step.millicores
            running += progress.counts[TaskStatus.PLACED] * step.millicores
            if self._are_dependencies_done(occurrence, step):
                waiting += needed
            else:
                widest_later = max(widest_later, needed)
        return Outlook(
            tuple(self._list_startable(occurrence)),
            self._estimate_remaining_ms(),
            waiting,
            max(0, widest_later - waiting - running),
        )

    def end(self, state: JobState, wall_ms: int) -> None:
        """Set the final state of the job."""
        self.ended = state
        self.ended_ms = wall_ms

    def encode(self) -> bytes:
        """Encode the progress as JSON for the store.

        Checkpoints, whose length the workers choose, are left out if the row
        would be too large otherwise. A new leader then starts the tasks that
        no worker lists anew.
        """
        value = self._encode(True)
        if len(value) <= MAX_ROW_BYTES:
            return value
        logger.warning(
            "checkpoints of a job are not stored",
            extra={"job": self.name, "bytes": len(value)},
        )
        return self._encode(False)

    def _encode(self, has_checkpoints: bool) -> bytes:
        value: dict[str, object] = {
            "ended": self.ended or "",
            "ended_ms": self.ended_ms,
            "start_confirmed": self.start_confirmed,
            "tasks": {
                f"{key.occurrence}.{key.step}.{key.index}": [
                    state.status,
                    state.run,
                    state.worker,
                    state.born_ms,
                    state.failed_runs,
                    state.checkpoint if has_checkpoints else "",
                ]
                for key, state in self.tasks.items()
            },
        }
        # Not among the fields of a task, so that nodes of the previous
        # version can read the row.
        vms = {
            state.worker: state.vm
            for state in self.tasks.values()
            if state.worker and state.vm
        }
        if vms:
            value["vms"] = vms
        crashes = {
            f"{key.occurrence}.{key.step}.{key.index}": [
                state.crashed_runs,
                state.suspected,
            ]
            for key, state in self.tasks.items()
            if state.crashed_runs
        }
        if crashes:
            value["crashes"] = crashes
        return json.dumps(value, separators=(",", ":")).encode()

    def restore(self, value: bytes) -> None:
        """Restore the progress from its stored form."""
        fields = json.loads(value)
        vms = fields.get("vms", {})
        crashes = fields.get("crashes", {})
        for name, item in fields["tasks"].items():
            key = TaskKey(*(int(part) for part in name.split(".")))
            status, run, worker, born_ms, failed_runs, checkpoint = item
            crashed_runs, suspected = crashes.get(name, ((), False))
            state = TaskState(
                TaskStatus(status),
                run,
                worker,
                born_ms,
                tuple(failed_runs),
                checkpoint,
                vms.get(worker, ""),
                tuple(crashed_runs),
                suspected,
            )
            if not self.has_task(key) or not _is_usable(state):
                raise MalformedFieldError(f"tasks: {name} is not usable")
            self.set_task(key, state)
        # A placement is stored before its start is sent, so it does not show
        # that a task has begun. Rows of earlier versions lack the field.
        self.start_confirmed = bool(
            fields.get("start_confirmed", self.started)
        )
        if fields["ended"]:
            self.end(JobState(fields["ended"]), read_whole(fields, "ended_ms"))
        self.stored_state = self.state

    @cached_property
    def is_lasting(self) -> bool:
        """Whether the job has tasks that run until they are stopped."""
        return any(step.lasting for step in self.steps)

    @cached_property
    def critical_path_ms(self) -> float:
        """Return the estimated critical path of one occurrence."""
        return self._compute_critical_path_ms(frozenset())

    def _estimate_remaining_ms(self) -> float:
        # Started steps count as 0, as the progress of their tasks is unknown.
        started_steps = frozenset(
            number
            for number, step in enumerate(self.steps)
            if len(
                self.get_step_progress(self.current_occurrence, number).waiting
            )
            < step.count
        )
        if started_steps not in self._remaining_ms:
            self._remaining_ms[started_steps] = self._compute_critical_path_ms(
                started_steps
            )
        return self._remaining_ms[started_steps]

    def _compute_critical_path_ms(self, excluded: frozenset[int]) -> float:
        end_ms: dict[int, float] = {}
        for number in self._sort_steps():
            step = self.steps[number]
            start_ms = max((end_ms[n] for n in step.after), default=0.0)
            step_ms = 0 if number in excluded else step.estimate_ms
            end_ms[number] = start_ms + step_ms
        return max(end_ms.values(), default=0.0)

    def estimate_work(self) -> float:
        """Return the estimated work, in millicore-seconds.

        Lasting and filler tasks count as 0, as they never end, and so do
        jobs with set times, whose work is due later.
        """
        if self.submission.specification.occurrences:
            return 0.0
        return sum(
            step.count * step.millicores * step.estimate_ms / 1000
            for step in self.steps
            if not step.lasting and not step.filler
        )

    def _sort_steps(self) -> list[int]:
        ordered: list[int] = []
        while len(ordered) < len(self.steps):
            for number, step in enumerate(self.steps):
                if number not in ordered and set(step.after) <= set(ordered):
                    ordered.append(number)
        return ordered
