"""Specification of a job: its steps, each of identical tasks."""

from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.state.failure import Failure

__all__ = [
    "MAX_TASKS",
    "JobSpecification",
    "Step",
    "SubmissionFailure",
    "check_job",
    "check_limits",
]

# Tasks of a job in all of its occurrences. Their states share one row of the
# store, which holds 64 KB.
MAX_TASKS = 500
# Largest number in a job, such as a task's memory in MB.
MAX_AMOUNT = 2**31
# Largest due time, in ms since 1970.
MAX_TIME_MS = 2**53


@dataclass(frozen=True)
class SubmissionFailure(Failure):
    """An invalid submission; `problem` says why."""

    problem: str


@dataclass(frozen=True)
class Step:
    """Identical tasks that run in parallel."""

    count: int
    # What one task needs.
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    # Estimated duration of one task; 0 if unknown.
    estimate_ms: int = 0
    # Numbers of the steps that must be done before this one starts.
    after: tuple[int, ...] = ()
    # All tasks start together or not at all.
    gang: bool = False
    # A gang is placed within one rack if possible.
    same_rack: bool = False
    # Label that a worker must have; "" for any worker.
    required_label: str = ""
    # Preferred rack, where the data is; "" for none.
    data_rack: str = ""
    # The most tasks of the step on one worker; 0 for no limit.
    spread_limit: int = 0
    speculative: bool = False  # not used by the scheduler
    checkpoints: bool = False  # not used by the scheduler
    # The tasks run until they are stopped, such as servers.
    lasting: bool = False
    image: str = ""  # not used by the scheduler
    # Limit of the tail latency of a serving task; 0 if it does not serve.
    tail_target_ms: int = 0
    # The tasks use only CPU time that other tasks leave unused.
    filler: bool = False
    # How many tasks of a lasting step planned maintenance may make
    # unavailable at once.
    max_unavailable: int = 0


@dataclass(frozen=True)
class JobSpecification:
    """A job: its payload, its steps and when they are due."""

    payload: str
    steps: tuple[Step, ...]
    # How many times the steps run at set times; 0 for a job that runs once
    # and starts immediately.
    occurrences: int = 0
    # Due time of the first occurrence, in ms since 1970.
    first_due_ms: int = 0
    # Time between the due times of consecutive occurrences.
    interval_ms: int = 0


def check_job(job: JobSpecification) -> Result[None, SubmissionFailure]:
    """Reject jobs without tasks, and unknown or cyclic step dependencies."""
    if not job.steps or any(step.count < 1 for step in job.steps):
        return Err(SubmissionFailure("a job needs steps, each with tasks"))
    step_count = len(job.steps)
    if any(not 0 <= n < step_count for step in job.steps for n in step.after):
        return Err(SubmissionFailure("a step depends on an unknown step"))
    ordered: set[int] = set()
    while len(ordered) < step_count:
        ready = {
            number
            for number, step in enumerate(job.steps)
            if number not in ordered and ordered.issuperset(step.after)
        }
        if not ready:
            return Err(SubmissionFailure("steps wait for each other"))
        ordered |= ready
    return Ok(None)


def check_limits(job: JobSpecification) -> Result[None, SubmissionFailure]:
    """Reject jobs that cannot be stored, and numbers that make no sense.

    For new jobs only, as jobs that were accepted with other limits stay.
    """
    if (
        sum(step.count for step in job.steps) * max(1, job.occurrences)
        > MAX_TASKS
    ):
        return Err(SubmissionFailure(f"a job has at most {MAX_TASKS} tasks"))
    amounts = [job.occurrences, job.interval_ms]
    for step in job.steps:
        amounts += [
            step.millicores,
            step.memory_mb,
            step.accelerators,
            step.estimate_ms,
            step.spread_limit,
            step.tail_target_ms,
            step.max_unavailable,
        ]
    if any(not 0 <= amount <= MAX_AMOUNT for amount in amounts):
        return Err(SubmissionFailure("a number is out of range"))
    if not 0 <= job.first_due_ms <= MAX_TIME_MS:
        return Err(SubmissionFailure("the due time is out of range"))
    return Ok(None)
