"""Admitted requests and the slots that they are granted."""

from dataclasses import dataclass

from chestnutstair.coordination.queueing import PoolQueue
from chestnutstair.coordination.request import DeadlineFailure, Request
from chestnutstair.coordination.router import TargetLoad
from chestnutstair.state.failure import Failure
from chestnutstair.state.fleet import UrgencyClass

__all__ = ["AdmittedRequest", "Grant", "Refusal", "check_deadline"]


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that the queue of its pool has admitted."""

    request: Request
    urgency: UrgencyClass
    queue: PoolQueue


@dataclass(frozen=True)
class Grant:
    """A slot of a target for one attempt of a request."""

    load: TargetLoad
    in_own_pool: bool  # false for overflow into the spare pool
    revision: int  # of the view at the time of the grant


@dataclass(frozen=True)
class Refusal:
    """Why a request may not start; `retry_after` is in seconds."""

    failure: Failure
    retry_after: float = 0.0


def check_deadline(
    admitted: AdmittedRequest, ahead: int, now: float
) -> Refusal | None:
    """Return a refusal if the request can't end by its deadline, or None.

    The estimate is the time until `ahead` requests have started plus the
    average run time. `now` is in monotonic seconds.
    """
    queue = admitted.queue
    wait = queue.estimate_wait(ahead, now)
    needed = wait + queue.service_seconds
    if needed <= admitted.request.deadline.at - now:
        return None
    return Refusal(DeadlineFailure(queue.pool.service), max(1.0, wait))
