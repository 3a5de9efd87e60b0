"""Requests that were let in, and the slots they are granted."""

from dataclasses import dataclass

from chestnutstair.coordination.queueing import PoolQueue
from chestnutstair.coordination.request import DeadlineFailure, Request
from chestnutstair.coordination.router import TargetLoad
from chestnutstair.state.failure import Failure
from chestnutstair.state.fleet import UrgencyClass

__all__ = ["AdmittedRequest", "Grant", "Refusal", "check_deadline"]


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that its pool has let in."""

    request: Request
    urgency: UrgencyClass
    queue: PoolQueue


@dataclass(frozen=True)
class Grant:
    """A slot of a target for one attempt of a request.

    `home` is false in the spare pool; `revision` is that of the view.
    """

    load: TargetLoad
    in_own_pool: bool
    revision: int


@dataclass(frozen=True)
class Refusal:
    """Why a request may not start, and when to retry, in seconds."""

    failure: Failure
    retry_after: float = 0.0


def check_deadline(
    admitted: AdmittedRequest, ahead: int, now: float
) -> Refusal | None:
    """Refuse a request that can not end by its deadline.

    `ahead` requests start before it; `now` is monotonic seconds.
    """
    queue = admitted.queue
    wait = queue.estimate_wait(ahead, now)
    needed = wait + queue.service_seconds
    if needed <= admitted.request.deadline.at - now:
        return None
    return Refusal(DeadlineFailure(queue.pool.service), max(1.0, wait))
