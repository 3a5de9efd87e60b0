"""The interface for sending requests to targets."""

from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass

from result import Result

from chestnutstair.coordination.request import Answer, Ran, Request
from chestnutstair.state.failure import Failure
from chestnutstair.state.fleet import Vm

__all__ = [
    "LostAnswerFailure",
    "NotSentFailure",
    "TargetAnswer",
    "TargetClient",
    "TargetFailure",
]


@dataclass(frozen=True)
class TargetAnswer:
    """A target's answer and what the target reports with it.

    `ran` says whether the request ran, `leaving` whether the target is
    about to shut down.
    """

    answer: Answer
    ran: Ran
    leaving: bool = False


@dataclass(frozen=True)
class NotSentFailure(Failure):
    """No part of the request reached the target."""

    target: str
    reason: str


@dataclass(frozen=True)
class LostAnswerFailure(Failure):
    """The request was sent at least in part, but no full answer came."""

    target: str
    reason: str


TargetFailure = NotSentFailure | LostAnswerFailure


class TargetClient(ABC):
    """Sends requests to targets."""

    @abstractmethod
    def send(
        self, vm: Vm, connection_limit: int, request: Request
    ) -> Result[TargetAnswer, TargetFailure]:
        """Send the request once; wait for the answer or the deadline.

        At most `connection_limit` connections to the target are open.
        """

    @abstractmethod
    def retain(self, addresses: Collection[str]) -> None:
        """Close the idle connections to all other addresses."""
