"""Decides on lookups, second attempts and relays of one row."""

from collections.abc import Generator
from dataclasses import dataclass
from typing import TypeVar

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.intake.doubts import DoubtfulRows
from chestnutstair.scheduling.intake.retry_budget import RetryBudget
from chestnutstair.scheduling.intake.write_planner import QueueTooLongFailure
from chestnutstair.scheduling.ports import RowKey

__all__ = [
    "AttemptPolicy",
    "AttemptSettings",
    "LookUpStep",
    "Step",
    "StepAnswer",
    "WriteStep",
]

T = TypeVar("T")


@dataclass(frozen=True)
class AttemptSettings:
    """When second attempts and relays are made."""

    # A second attempt needs time for a read and a write; 20 calm writes.
    least_seconds: float = 0.25
    # How long no row is relayed after the leader's node gave no response.
    relay_pause_seconds: float = 1.0


@dataclass(frozen=True)
class WriteStep:
    """Write the row."""


@dataclass(frozen=True)
class LookUpStep:
    """Look up whether the row is stored."""


Step = WriteStep | LookUpStep


@dataclass(frozen=True)
class StepAnswer:
    """The outcome of a step and the time at which it is known.

    `outcome` is whether the row is stored.
    """

    outcome: Result[bool, PlatformFailure]
    now: float


class AttemptPolicy:
    """The retry budget, rows in doubt and relays of one node."""

    def __init__(
        self,
        budget: RetryBudget | None = None,
        settings: AttemptSettings = AttemptSettings(),
    ) -> None:
        self._budget = budget or RetryBudget()
        self._settings = settings
        self._doubts = DoubtfulRows()
        self._no_relay_until = float("-inf")

    def store(
        self, key: RowKey, deadline_at: float, now: float
    ) -> Generator[Step, StepAnswer, Result[None, PlatformFailure]]:
        """Yield the steps that store a row; return the outcome.

        A row whose outcome is unknown is looked up before it is sent again.
        It is never reported as refused while an earlier write of it may
        still be done.
        """
        self._budget.record_submission(now)
        if self._doubts.contains(key, now):
            found = yield LookUpStep()
            if found.outcome == Ok(True):
                self._doubts.remove(key)
                return Ok(None)
            if found.outcome.is_err():
                return Err(UnknownOutcomeFailure("the lookup failed"))
        written = yield WriteStep()
        if self._may_try_again(written, deadline_at):
            found = yield LookUpStep()
            if found.outcome == Ok(True):
                return Ok(None)
            if found.outcome == Ok(False):
                self._doubts.add(key, found.now)
                written = yield WriteStep()
        return self._conclude(key, written)

    def _may_try_again(self, written: StepAnswer, deadline_at: float) -> bool:
        match written.outcome:
            case Err(UnknownOutcomeFailure()):
                remaining = deadline_at - written.now
                return (
                    remaining >= self._settings.least_seconds
                    and self._budget.try_spend(written.now)
                )
        return False

    def _conclude(
        self, key: RowKey, written: StepAnswer
    ) -> Result[None, PlatformFailure]:
        match written.outcome:
            case Ok(_):
                self._doubts.remove(key)
                return Ok(None)
            case Err(UnknownOutcomeFailure() as failure):
                self._doubts.add(key, written.now)
                return Err(failure)
            case Err(failure):
                if self._doubts.contains(key, written.now):
                    reason = "an earlier write may still be done"
                    return Err(UnknownOutcomeFailure(reason))
                return Err(failure)
        raise AssertionError(written)

    def may_relay(self, failure: PlatformFailure, now: float) -> bool:
        """Return whether a row that this node did not store is relayed.

        A row that was refused because the queue is too long is not: the
        leader's node writes to the same partition.
        """
        match failure:
            case QueueTooLongFailure():
                return False
        return now >= self._no_relay_until and self._budget.try_spend(now)

    def record_relay(
        self,
        key: RowKey,
        outcome: Result[T, PlatformFailure],
        now: float,
    ) -> None:
        """Learn from a relay: whether the leader's node answers."""
        match outcome:
            case Ok(_):
                self._doubts.remove(key)
            case Err(UnknownOutcomeFailure()):
                self._doubts.add(key, now)
                self._no_relay_until = now + self._settings.relay_pause_seconds
