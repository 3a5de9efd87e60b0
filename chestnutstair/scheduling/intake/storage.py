"""Stores submissions and cancellations durably, with bounded retries."""

import random
import threading
from dataclasses import dataclass
from typing import TypeVar

from result import Result

from chestnutstair.coordination.platform import PlatformFailure
from chestnutstair.scheduling.intake.attempts import (
    AttemptPolicy,
    LookUpStep,
    Step,
    StepAnswer,
    WriteStep,
)
from chestnutstair.scheduling.intake.reader import IntakeReader
from chestnutstair.scheduling.intake.retry_after import compute_retry_after
from chestnutstair.scheduling.intake.write_planner import WritePlanner
from chestnutstair.scheduling.intake.writer import IntakeWriter
from chestnutstair.scheduling.metrics import INTAKE_RETRIES
from chestnutstair.scheduling.ports import RowKey, RowStore
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["IntakeStorage", "IntakeWrite"]

T = TypeVar("T")


@dataclass(frozen=True)
class IntakeWrite:
    """A row to store; a submission must be new, others are replaced."""

    key: RowKey
    value: bytes
    is_submission: bool


class IntakeStorage:
    """The intake writer of a node, and its policy of attempts."""

    def __init__(
        self, store: RowStore, reader: IntakeReader, clock: Clock
    ) -> None:
        self._reader = reader
        self._clock = clock
        self._lock = threading.Lock()
        self._policy = AttemptPolicy()
        self._writer = IntakeWriter(store, WritePlanner(random.random), clock)

    def store(
        self, write: IntakeWrite, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Store a row; succeeds if a submission is stored already."""
        with self._lock:
            now = self._clock.read_monotonic()
            steps = self._policy.store(write.key, deadline.at, now)
            step = next(steps)
        writes = 0
        while True:
            if step == WriteStep():
                writes += 1
                if writes > 1:
                    INTAKE_RETRIES.labels("second attempt").inc()
            answer = self._take_step(step, write, deadline)
            with self._lock:
                try:
                    step = steps.send(answer)
                except StopIteration as end:
                    outcome: Result[None, PlatformFailure] = end.value
                    return outcome

    def _take_step(
        self, step: Step, write: IntakeWrite, deadline: Deadline
    ) -> StepAnswer:
        outcome: Result[bool, PlatformFailure]
        match step:
            case LookUpStep():
                found = self._reader.read_key(write.key, deadline)
                outcome = found.map(lambda value: value is not None)
            case WriteStep():
                written = self._writer.write(
                    write.key, write.value, write.is_submission, deadline
                )
                outcome = written.map(lambda _: True)
        return StepAnswer(outcome, self._clock.read_monotonic())

    def may_relay(self, failure: PlatformFailure) -> bool:
        """Return whether to relay what this node failed to store."""
        with self._lock:
            now = self._clock.read_monotonic()
            may_relay = self._policy.may_relay(failure, now)
        INTAKE_RETRIES.labels("relay" if may_relay else "no relay").inc()
        return may_relay

    def record_relay(
        self, key: RowKey, outcome: Result[T, PlatformFailure]
    ) -> None:
        """Learn from a relay of a row."""
        with self._lock:
            now = self._clock.read_monotonic()
            self._policy.record_relay(key, outcome, now)

    def compute_retry_after(self) -> int:
        """Return when a refused caller should return, in whole seconds."""
        return compute_retry_after(
            self._writer.estimate_drain(), random.random()
        )
