"""Requests that were let in, and the slots they are granted."""

from dataclasses import dataclass

from chestnutstair.coordination.queueing import PoolQueue
from chestnutstair.coordination.request import Request
from chestnutstair.coordination.router import TargetLoad
from chestnutstair.state.failure import Failure
from chestnutstair.state.fleet import UrgencyClass

__all__ = ["Entry", "Grant", "Refusal"]


@dataclass(frozen=True)
class Entry:
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
    home: bool
    revision: int


@dataclass(frozen=True)
class Refusal:
    """Why a request may not start, and when to retry, in seconds."""

    failure: Failure
    retry_after: float = 0.0
