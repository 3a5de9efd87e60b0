"""Callers' requests and their possible outcomes."""

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
    """One request of a caller."""

    id: str
    service: str
    method: str
    path: str  # raw path and query as sent to the target
    deadline: Deadline
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    urgency: str = ""  # name of an urgency class; the least urgent if empty
    idempotent: bool = False
    # The caller chose the id, and so can send the request again.
    has_caller_id: bool = False
    # The caller guarantees that it has not sent the request before.
    first_attempt: bool = False

    def needs_claim(self) -> bool:
        """Return whether a claim is needed to keep it from running twice."""
        return self.has_caller_id and not self.idempotent


@dataclass(frozen=True)
class Answer:
    """A complete answer from a target."""

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
    """No target accepted the request; `detail` is the last failure."""

    service: str
    detail: str = ""


@dataclass(frozen=True)
class QueueFullFailure(Failure):
    """This daemon holds as many requests of the service as it may."""

    service: str


@dataclass(frozen=True)
class DeadlineFailure(Failure):
    """The request could not start before its deadline."""

    service: str


@dataclass(frozen=True)
class StoppingFailure(Failure):
    """This daemon is stopping and accepts no new requests."""


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
    """A target gave a complete answer."""

    answer: Answer
    ran: Ran = Ran.YES


@dataclass(frozen=True)
class RefusedOutcome(Outcome):
    """The request did not run; `retry_after` is in seconds, 0 for none."""

    failure: Failure
    retry_after: float = 0.0


@dataclass(frozen=True)
class UnknownOutcome(Outcome):
    """The request may have run, but its answer is not available.

    `retry_after` is in seconds, 0 for none.
    """

    failure: Failure
    retry_after: float = 0.0


@dataclass(frozen=True)
class ClaimedOutcome(Outcome):
    """Another attempt has claimed the id, so this one was not sent.

    `ran` says whether that attempt ran.
    """

    ran: Ran


RequestOutcome = (
    AnsweredOutcome | RefusedOutcome | UnknownOutcome | ClaimedOutcome
)
