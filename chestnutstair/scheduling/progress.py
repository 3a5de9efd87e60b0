"""How far a job has come: one record a job, with the state of its tasks."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum
from functools import cached_property

from chestnutstair.scheduling.configuration import Queue
from chestnutstair.scheduling.specification import JobSpecification, Step

__all__ = [
    "JobRecord",
    "JobState",
    "Lateness",
    "Submission",
    "TaskKey",
    "TaskState",
    "TaskStatus",
    "parse_task_name",
]


@dataclass(frozen=True)
class TaskKey:
    """Which task of a job: occurrence, step and index, each from 0."""

    occurrence: int
    step: int
    index: int


class TaskStatus(StrEnum):
    """Where a task stands; the values are those stored."""

    WAITING = "w"
    PLACED = "p"  # its start is stored and may have been carried out
    DONE = "d"
    FAILED = "f"


class JobState(StrEnum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Lateness(IntEnum):
    """Whether a job can still end in time."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2  # it is too late to be of much use


@dataclass(frozen=True)
class TaskState:
    """The state of one task.

    `run` numbers its starts and never falls. `worker` and `born_ms` name
    the incarnation that run `run` was sent to. `failed_runs` are the runs
    whose failure has been counted; a worker lists an end until it is told
    that it was seen, so the same one may come again. `saved` is the newest
    checkpoint known.
    """

    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    worker: str = ""
    born_ms: int = 0
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""

    @property
    def failures(self) -> int:
        """Return how many runs have failed."""
        return len(self.failed_runs)


INITIAL_STATE = TaskState()


class StepProgress:
    """Which tasks of one step wait, and how many have been placed or done.

    It spares planning a look at every task, round after round.
    """

    def __init__(self, count: int) -> None:
        self.waiting = set(range(count))
        self.counts = {status: 0 for status in TaskStatus}
        self.counts[TaskStatus.WAITING] = count

    def record_transition(
        self, index: int, before: TaskStatus, now: TaskStatus
    ) -> None:
        """Note that a task went from one status to another."""
        self.counts[before] -= 1
        self.counts[now] += 1
        if now is TaskStatus.WAITING:
            self.waiting.add(index)
        else:
            self.waiting.discard(index)


@dataclass(frozen=True)
class Submission:
    """A job as it was accepted; `accepted_ms` is the time of day.

    `queue` is as it was then.
    """

    job: str
    queue: Queue
    accepted_ms: int
    specification: JobSpecification


def parse_task_name(name: str) -> tuple[str, TaskKey] | None:
    """Split a task's name into job and key; None if it is no such name."""
    parts = name.split(".")
    try:
        job, occurrence, step, index = parts
        return job, TaskKey(int(occurrence), int(step), int(index))
    except ValueError:
        return None


class JobRecord:
    """One job and the states of its tasks; its owner guards it."""

    def __init__(self, submission: Submission) -> None:
        self.submission = submission
        self.tasks: dict[TaskKey, TaskState] = {}
        self.ended: JobState | None = None
        self.ended_ms = 0
        self.stored_state: JobState = JobState.QUEUED  # as last committed
        self._step_progress: dict[tuple[int, int], StepProgress] = {}
        self._remaining_ms: dict[frozenset[int], float] = {}
        self._completed_steps = (
            0  # steps of occurrences whose tasks are all done
        )
        self.started = False
        self.start_measured = False
        # Workers on which tasks failed; not stored, as it is only a hint.
        self.failed_on: set[tuple[TaskKey, str]] = set()
        self.lateness = Lateness.IN_TIME  # as last planned
        self.current_occurrence = 0  # the occurrence that was planned last
        self.is_due = not submission.specification.occurrences  # then

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
        """Return how many times the steps run, at least once."""
        return max(1, self.submission.specification.occurrences)

    @property
    def state(self) -> JobState:
        """Return the state, whether committed or not."""
        if self.ended is not None:
            return self.ended
        return JobState.RUNNING if self.started else JobState.QUEUED

    def name_task(self, key: TaskKey) -> str:
        """Return the name by which workers know the task."""
        return f"{self.name}.{key.occurrence}.{key.step}.{key.index}"

    def name_step(self, key: TaskKey) -> str:
        """Return the name by which the policy service knows the step."""
        return f"{self.name}.{key.occurrence}.{key.step}"

    def get_task(self, key: TaskKey) -> TaskState:
        """Return the state of a task."""
        return self.tasks.get(key, INITIAL_STATE)

    def has_task(self, key: TaskKey) -> bool:
        """Tell whether the job has such a task."""
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
        if before.status is state.status:
            return
        full = self.steps[key.step].count
        progress = self.get_step_progress(key.occurrence, key.step)
        was_done = progress.counts[TaskStatus.DONE] == full
        progress.record_transition(key.index, before.status, state.status)
        is_done = progress.counts[TaskStatus.DONE] == full
        self._completed_steps += int(is_done) - int(was_done)

    def get_step_progress(self, occurrence: int, step: int) -> StepProgress:
        """Return how the tasks of a step stand."""
        progress = self._step_progress.get((occurrence, step))
        if progress is None:
            progress = StepProgress(self.steps[step].count)
            self._step_progress[occurrence, step] = progress
        return progress

    def place_task(
        self, key: TaskKey, run: int, worker: str, born: int
    ) -> None:
        """Note that a run is to be started on a worker."""
        state = self.get_task(key)
        self.set_task(
            key,
            replace(
                state,
                status=TaskStatus.PLACED,
                run=run,
                worker=worker,
                born_ms=born,
            ),
        )

    def undo_placement(self, key: TaskKey, before: TaskState) -> None:
        """Take back a placement of which nothing was stored or sent."""
        self.set_task(key, before)
        self.started = any(state.run for state in self.tasks.values())

    def release_task(self, key: TaskKey, checkpoint: str = "") -> None:
        """Let a task wait for another run."""
        state = self.get_task(key)
        self.set_task(
            key,
            replace(
                state,
                status=TaskStatus.WAITING,
                worker="",
                born_ms=0,
                checkpoint=checkpoint or state.checkpoint,
            ),
        )

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step have ended as done."""
        progress = self.get_step_progress(occurrence, step)
        return progress.counts[TaskStatus.DONE] == self.steps[step].count

    def is_complete(self) -> bool:
        """Tell whether every task of every occurrence is done."""
        return self._completed_steps >= self.occurrences * len(self.steps)

    def compute_due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in ms since 1970."""
        specification = self.submission.specification
        if not specification.occurrences:
            return 0
        return (
            specification.first_due_ms + occurrence * specification.interval_ms
        )

    def advance_occurrence(self, wall_ms: float) -> float:
        """Find the oldest occurrence that is due and not done.

        Return since when it is, in ms since 1970; for a job that runs once,
        when it was accepted, and now if no occurrence is due.
        """
        if not self.submission.specification.occurrences:
            return self.submission.accepted_ms
        while self.current_occurrence < self.occurrences - 1 and all(
            self.is_step_done(self.current_occurrence, step)
            for step in range(len(self.steps))
        ):
            self.current_occurrence += 1
        due_ms = self.compute_due_ms(self.current_occurrence)
        self.is_due = due_ms <= wall_ms
        return min(wall_ms, due_ms)

    def list_ready_steps(self, wall_ms: float) -> Iterator[tuple[int, int]]:
        """Yield occurrence and step where tasks may start now."""
        for occurrence in range(self.occurrences):
            if self.compute_due_ms(occurrence) > wall_ms:
                return
            for number, step in enumerate(self.steps):
                if self.is_step_done(occurrence, number):
                    continue
                if all(
                    self.is_step_done(occurrence, before)
                    for before in step.after
                ):
                    yield occurrence, number

    def end(self, state: JobState, wall_ms: int) -> None:
        """Note the final state of the job."""
        self.ended = state
        self.ended_ms = wall_ms

    def encode(self) -> bytes:
        """Return the progress as it is stored."""
        value = {
            "ended": self.ended or "",
            "ended_ms": self.ended_ms,
            "tasks": {
                f"{key.occurrence}.{key.step}.{key.index}": [
                    state.status,
                    state.run,
                    state.worker,
                    state.born_ms,
                    state.failed_runs,
                    state.checkpoint,
                ]
                for key, state in self.tasks.items()
            },
        }
        return json.dumps(value, separators=(",", ":")).encode()

    def restore(self, value: bytes) -> None:
        """Take over progress that was stored."""
        fields = json.loads(value)
        for name, item in fields["tasks"].items():
            key = TaskKey(*(int(part) for part in name.split(".")))
            status, run, worker, born_ms, failed_runs, checkpoint = item
            state = TaskState(
                TaskStatus(status),
                run,
                worker,
                born_ms,
                tuple(failed_runs),
                checkpoint,
            )
            self.set_task(key, state)
        if fields["ended"]:
            self.end(JobState(fields["ended"]), fields["ended_ms"])
        self.stored_state = self.state

    @cached_property
    def critical_path_ms(self) -> float:
        """Return the longest chain of estimated work of one occurrence."""
        return self._compute_critical_path_ms(frozenset())

    def estimate_remaining_ms(self) -> float:
        """Return the longest chain of work in steps that have not begun.

        Steps that run count as nothing, as their progress is not known.
        """
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
        longest: dict[int, float] = {}
        for number in self._sort_steps():
            step = self.steps[number]
            before = max((longest[n] for n in step.after), default=0.0)
            work = 0 if number in excluded else step.estimate_ms
            longest[number] = before + work
        return max(longest.values(), default=0.0)

    def estimate_work(self) -> float:
        """Return the estimated work, in millicore-seconds.

        Tasks that last or fill have none, as they never end, and neither
        have those that are due later.
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
