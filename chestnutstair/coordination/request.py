"""Callers' requests, and how each of them can end."""

from dataclasses import dataclass
from enum import StrEnum

from chestnutstair.state.deadline import Deadline
from chestnutstair.state.failure import Failure

__all__ = [
    "Answer",
    "AnsweredOutcome",
    "ClaimFailure",
    "ClaimedOutcome",
    "DeadlineFailure",
    "NoTargetFailure",
    "Outcome",
    "QueueFullFailure",
    "Ran",
    "RefusedOutcome",
    "Request",
    "RequestOutcome",
    "StoppingFailure",
    "UnknownClassFailure",
    "UnknownOutcome",
    "UnknownServiceFailure",
]


class Ran(StrEnum):
    """Whether a request began to run on a target."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Request:
    """One request of a caller.

    `path` holds the raw path and query for the target. `repeatable` says
    that the caller chose `id`, and so can send the request again; `first`
    that the caller vouches that it never did.
    """

    id: str
    service: str
    method: str
    path: str
    deadline: Deadline
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    urgency: str = ""
    idempotent: bool = False
    has_caller_id: bool = False
    first_attempt: bool = False

    def needs_claim(self) -> bool:
        """Tell whether only a claim keeps it from running twice."""
        return self.has_caller_id and not self.idempotent


@dataclass(frozen=True)
class Answer:
    """A whole answer of a target."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True)
class UnknownServiceFailure(Failure):
    """No pool of runners serves the service."""

    service: str


@dataclass(frozen=True)
class UnknownClassFailure(Failure):
    """The pool has no urgency class of that name."""

    urgency: str
    known: tuple[str, ...]


@dataclass(frozen=True)
class NoTargetFailure(Failure):
    """No target took the request; `detail` is what the last one said."""

    service: str
    detail: str = ""


@dataclass(frozen=True)
class QueueFullFailure(Failure):
    """The queue of the service holds as much as this daemon allows."""

    service: str


@dataclass(frozen=True)
class DeadlineFailure(Failure):
    """The request could not start before its deadline."""

    service: str


@dataclass(frozen=True)
class StoppingFailure(Failure):
    """This daemon is stopping and takes no new requests."""


@dataclass(frozen=True)
class ClaimFailure(Failure):
    """The request id could not be claimed in the platform's table."""

    reason: str


@dataclass(frozen=True)
class Outcome:
    """How a request ended."""

    request_id: str


@dataclass(frozen=True)
class AnsweredOutcome(Outcome):
    """A target gave its whole answer."""

    answer: Answer
    ran: Ran = Ran.YES


@dataclass(frozen=True)
class RefusedOutcome(Outcome):
    """The request did not run; `retry_after` is in seconds, 0 for none."""

    failure: Failure
    retry_after: float = 0.0


@dataclass(frozen=True)
class UnknownOutcome(Outcome):
    """The request may have run, and its answer can not be had.

    `retry_after` is in seconds, 0 for none.
    """

    failure: Failure
    retry_after: float = 0.0


@dataclass(frozen=True)
class ClaimedOutcome(Outcome):
    """An earlier request with the id was sent; this one was not."""

    ran: Ran


RequestOutcome = (
    AnsweredOutcome | RefusedOutcome | UnknownOutcome | ClaimedOutcome
)
