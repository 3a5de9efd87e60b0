"""What a caller asks for: a job of steps, each of equal tasks."""

from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.state.failure import Failure

__all__ = ["JobSpecification", "Step", "SubmissionFailure", "check_job"]


@dataclass(frozen=True)
class SubmissionFailure(Failure):
    """A submission that can not be a job; `problem` says why."""

    problem: str


@dataclass(frozen=True)
class Step:
    """Equal tasks that run side by side.

    `millicores`, `memory_mb` and `accelerators` are what one task needs.
    `after` are the numbers of the steps that must be done before.
    `spread_limit` is the most tasks of the step on one worker, 0 for any.
    `may_be_away` is how many tasks of a lasting step planned work may make
    unavailable at once. `tail_target_ms` bounds the tail latency of a task
    that serves, 0 if it does not. A `filler` uses what others leave over.
    """

    count: int
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    speculative: bool = False
    checkpoints: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: int = 0
    filler: bool = False
    max_unavailable: int = 0


@dataclass(frozen=True)
class JobSpecification:
    """A job: its payload, its steps and when they are due.

    `occurrences` is 0 for a job that runs once and at once; otherwise the
    steps run that many times, the first at `first_due_ms` (since 1970),
    each next one `interval_ms` later.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


def check_job(job: JobSpecification) -> Result[None, SubmissionFailure]:
    """Refuse jobs without tasks and steps that wait for each other."""
    if not job.steps or any(step.count < 1 for step in job.steps):
        return Err(SubmissionFailure("a job needs steps with tasks"))
    total = len(job.steps)
    if any(not 0 <= n < total for step in job.steps for n in step.after):
        return Err(SubmissionFailure("a step waits for one that is not there"))
    settled: set[int] = set()
    while len(settled) < total:
        ready = {
            number
            for number, step in enumerate(job.steps)
            if number not in settled and settled.issuperset(step.after)
        }
        if not ready:
            return Err(SubmissionFailure("steps wait for each other"))
        settled |= ready
    return Ok(None)
