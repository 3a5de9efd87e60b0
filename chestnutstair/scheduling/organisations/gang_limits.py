"""Refuses jobs with gangs that their organisation's cap never admits."""

from result import Err, Ok, Result

from chestnutstair.scheduling.organisations.organisation import Cap
from chestnutstair.scheduling.specification import (
    JobSpecification,
    Step,
    SubmissionFailure,
)

__all__ = ["check_gangs"]


def check_gangs(
    job: JobSpecification, cap: Cap, share: float = 1.0
) -> Result[None, SubmissionFailure]:
    """Reject a job with a gang that cannot start even when nothing else runs.

    A task starts only while the usage is below the cap, so all tasks of a
    gang but one must fit below it. `share` is the part of the cap that one
    shard has.
    """
    for number, step in enumerate(job.steps):
        if step.gang:
            exceeded = _list_exceeded(step, cap, share)
            if exceeded:
                return Err(
                    SubmissionFailure(
                        f"the gang of step {number} exceeds the cap of its"
                        f" organisation: {', '.join(exceeded)}"
                    )
                )
    return Ok(None)


def _list_exceeded(step: Step, cap: Cap, share: float) -> list[str]:
    """Return the dimensions, by their names in a submission."""
    # A filler uses processor time that others leave, which is not counted.
    millicores = 0 if step.filler else step.millicores
    dimensions = (
        ("cpu", millicores, cap.millicores),
        ("memMb", step.memory_mb, cap.memory_mb),
        ("gpu", step.accelerators, cap.accelerators),
    )
    return [
        name
        for name, need, limit in dimensions
        if limit and (step.count - 1) * need >= limit * share
    ]
