"""The interface through which requests reach targets."""

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
    """A target's answer with what the target says of itself."""

    answer: Answer
    ran: Ran
    leaving: bool = False


@dataclass(frozen=True)
class NotSentFailure(Failure):
    """Nothing of the request reached the target."""

    target: str
    reason: str


@dataclass(frozen=True)
class LostAnswerFailure(Failure):
    """The request was sent, in part at least, and no whole answer came."""

    target: str
    reason: str


TargetFailure = NotSentFailure | LostAnswerFailure


class TargetClient(ABC):
    """Sends requests to targets."""

    @abstractmethod
    def send(
        self, vm: Vm, connection_limit: int, request: Request
    ) -> Result[TargetAnswer, TargetFailure]:
        """Send the request once and wait for the answer or the deadline.

        At most `connection_limit` connections to the target are open.
        """

    @abstractmethod
    def retain(self, addresses: Collection[str]) -> None:
        """Close the idle connections to all other addresses."""
