"""Decides which rows are written, when, and which are refused unsent."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.intake.circuit import Circuit
from chestnutstair.scheduling.intake.write_limit import WriteLimit
from chestnutstair.scheduling.intake.write_queue import (
    BATCH_ROWS,
    Place,
    WriteEntry,
    WriteQueue,
)
from chestnutstair.scheduling.ports import (
    ConditionFailure,
    Expectation,
    RowKey,
    RowWrite,
    StoreFailure,
)

__all__ = [
    "CircuitOpenFailure",
    "QueueTooLongFailure",
    "Settled",
    "WriteBatch",
    "WritePlanner",
    "WritePlannerSettings",
]


@dataclass(frozen=True)
class CircuitOpenFailure(UnavailableFailure):
    """Nothing was sent: the store has left writes without a response."""


@dataclass(frozen=True)
class QueueTooLongFailure(UnavailableFailure):
    """Nothing was sent: it would not be stored before its deadline."""


@dataclass(frozen=True)
class WritePlannerSettings:
    """Time limits of writes."""

    # The time limit of a write while writes are quick. A lost response
    # delays the rows behind it by this time, and its own rows have 0.35 s of
    # their 0.95 s left for a second attempt.
    calm_limit_seconds: float = 0.6
    # The same while they are slow. A write that is given up still runs in
    # the store, and another one would be added to its queue.
    slow_limit_seconds: float = 2.0
    # A write that takes longer is slow, see `WriteLimitSettings`.
    slow_seconds: float = 0.1
    # Weight of the last write in the recent duration: two calm writes bring
    # the duration after a slow period below a quarter.
    duration_weight: float = 0.5
    # The recent duration halves in this time without a finished write, so
    # that an old measurement doesn't refuse rows for ever.
    duration_half_life_seconds: float = 0.5
    # Duration of a write of a calm store.
    usual_write_seconds: float = 0.012


@dataclass(frozen=True)
class WriteBatch:
    """Rows of one partition that are sent in one transaction."""

    place: Place
    entries: tuple[WriteEntry, ...]
    began: float
    limit_seconds: float
    is_probe: bool

    def list_expectations(self) -> list[Expectation]:
        """Return the conditions: the submissions must be new."""
        return [
            Expectation(entry.key, 0)
            for entry in self.entries
            if entry.is_submission
        ]

    def list_writes(self) -> list[RowWrite]:
        """Return the rows to write."""
        return [RowWrite(entry.key, entry.value) for entry in self.entries]


# An entry and its outcome.
Settled = tuple[WriteEntry, Result[None, StoreFailure]]


class WritePlanner:
    """Holds the queue, the writes in flight, the limit and the circuit.

    All times are monotonic seconds and passed in. `draw` returns a random
    number between 0 and 1.
    """

    def __init__(
        self,
        draw: Callable[[], float],
        settings: WritePlannerSettings = WritePlannerSettings(),
        limit: WriteLimit | None = None,
        circuit: Circuit | None = None,
    ) -> None:
        self._draw = draw
        self._settings = settings
        self._limit = limit or WriteLimit()
        self._circuit = circuit or Circuit()
        self._queue = WriteQueue()
        self._in_flight: dict[Place, WriteBatch] = {}
        self._duration = settings.usual_write_seconds
        self._measured_at = float("-inf")
        # Whether the last write that ended was slow or had no answer.
        self._is_slow = False

    @property
    def queued_count(self) -> int:
        """Return how many rows wait to be sent."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return how many writes may be in flight."""
        return self._limit.value

    @property
    def write_limit_seconds(self) -> float:
        """Return the time limit of the next write."""
        if self._is_slow:
            return self._settings.slow_limit_seconds
        return self._settings.calm_limit_seconds

    @property
    def is_circuit_open(self) -> bool:
        """Return whether only probes are sent."""
        return self._circuit.is_open

    def _limit_now(self, now: float) -> int:
        """Return the limit, halved for each write in flight that is late.

        The limit itself learns only from writes that have ended.
        """
        late = sum(
            now - batch.began > self._settings.slow_seconds
            for batch in self._in_flight.values()
        )
        return max(1, self.limit >> late)

    # Estimates

    def estimate_duration(self, now: float) -> float:
        """Return the duration that the next write is expected to have."""
        settings = self._settings
        age = max(0.0, now - self._measured_at)
        decay = 0.5 ** (age / settings.duration_half_life_seconds)
        return max(settings.usual_write_seconds, self._duration * decay)

    def _estimate_rest(self, batch: WriteBatch, now: float) -> float:
        """Return how long a write in flight is expected to last.

        One that is late already is expected to take as long again.
        """
        elapsed = now - batch.began
        rest = max(self.estimate_duration(now) - elapsed, elapsed)
        return max(0.0, min(rest, batch.limit_seconds - elapsed))

    def estimate_seconds(self, place: Place, at: float, now: float) -> float:
        """Return when a new row with deadline `at` is stored, from now."""
        duration = self.estimate_duration(now)
        ahead = self._queue.count_before(place, at) // BATCH_ROWS
        seconds = duration * (ahead + 1)
        if place in self._in_flight:
            seconds += self._estimate_rest(self._in_flight[place], now)
            return seconds
        places = self._queue.count_places_before(place, at)
        limit = self._limit_now(now)
        waiting = len(self._in_flight) + places + 1 - limit
        if waiting > 0 and self._in_flight:
            rounds = math.ceil(waiting / limit) - 1
            seconds += duration * rounds + min(
                self._estimate_rest(batch, now)
                for batch in self._in_flight.values()
            )
        return seconds

    def estimate_drain(self, now: float) -> float:
        """Return the seconds in which what waits now is written."""
        duration = self.estimate_duration(now)
        writes = len(self._in_flight) + len(self._queue.list_places())
        rounds = math.ceil(writes / self._limit_now(now))
        return self._circuit.compute_wait(now) + duration * max(1, rounds)

    # Queue

    def admit(
        self, entry: WriteEntry, now: float
    ) -> UnavailableFailure | None:
        """Queue a row, or return why it is refused before it is sent."""
        if not self._circuit.may_send(now):
            return CircuitOpenFailure("the store does not answer writes")
        remaining = entry.deadline_at - now
        expected = self.estimate_seconds(entry.place, entry.deadline_at, now)
        if expected > remaining:
            return self._refuse_late(expected, remaining)
        self._queue.add(entry)
        return None

    def _refuse_late(
        self, expected: float, remaining: float
    ) -> QueueTooLongFailure:
        return QueueTooLongFailure(
            f"expected {expected:.3f} s, {max(0.0, remaining):.3f} s are left,"
            f" {len(self._queue)} queued, limit {self.limit}"
        )

    def withdraw(self, entry: WriteEntry) -> bool:
        """Remove a row that is no longer waited for, unless it was sent."""
        return self._queue.remove(entry)

    def take(self, now: float) -> tuple[WriteBatch | None, list[Settled]]:
        """Return the next write to send now, if any, and rows refused."""
        refused: list[Settled] = []
        if len(self._in_flight) >= self._limit_now(
            now
        ) or not self._circuit.may_send(now):
            return None, refused
        duration = self.estimate_duration(now)
        for place in self._queue.list_places():
            if place in self._in_flight:
                continue
            for entry in self._queue.take_late(place, now + duration):
                remaining = entry.deadline_at - now
                failure = self._refuse_late(duration, remaining)
                refused.append((entry, Err(failure)))
            entries = self._queue.take_batch(place)
            if entries:
                return self._begin(place, entries, now), refused
        return None, refused

    def _begin(
        self, place: Place, entries: tuple[WriteEntry, ...], now: float
    ) -> WriteBatch:
        is_probe = self._circuit.record_sent()
        batch = WriteBatch(
            place, entries, now, self.write_limit_seconds, is_probe
        )
        self._in_flight[place] = batch
        return batch

    # Answers

    def finish(
        self,
        batch: WriteBatch,
        answer: Result[int, StoreFailure | ConditionFailure],
        now: float,
    ) -> list[Settled]:
        """Apply the answer to a write; return the outcomes now known.

        Rows that the answer says nothing about are queued again: those of a
        transaction whose condition failed were not written.
        """
        del self._in_flight[batch.place]
        self._learn(batch, answer, now)
        settled = self._settle(batch, answer)
        if self._circuit.is_open:
            settled += [
                (entry, Err(CircuitOpenFailure("the circuit has opened")))
                for entry in self._queue.take_all()
            ]
        return settled

    def _learn(
        self,
        batch: WriteBatch,
        answer: Result[int, StoreFailure | ConditionFailure],
        now: float,
    ) -> None:
        settings = self._settings
        weight = settings.duration_weight
        recent = self.estimate_duration(now)
        self._duration = recent + weight * (now - batch.began - recent)
        self._measured_at = now
        self._is_slow = now - batch.began > settings.slow_seconds
        match answer:
            case Ok(_) | Err(ConditionFailure()):
                self._limit.record(batch.began, now, True)
                self._circuit.record_answer(batch.is_probe)
            case Err(UnknownOutcomeFailure()):
                self._limit.record(batch.began, now, False)
                self._circuit.record_silence(batch.is_probe, now, self._draw())
            case Err(UnavailableFailure()):
                self._limit.record(batch.began, now, False)
                self._circuit.record_refusal(batch.is_probe, now, self._draw())
            case _:
                self._circuit.record_refusal(batch.is_probe, now, self._draw())

    def _settle(
        self,
        batch: WriteBatch,
        answer: Result[int, StoreFailure | ConditionFailure],
    ) -> list[Settled]:
        match answer:
            case Ok(_):
                return [(entry, Ok(None)) for entry in batch.entries]
            case Err(ConditionFailure(rows)):
                existing = {row.key for row in rows}
                return self._settle_existing(batch, existing)
            case Err(RefusedFailure()) if len(batch.entries) > 1:
                self._requeue_alone(batch.entries)
                return []
            case Err(
                (
                    RefusedFailure()
                    | UnavailableFailure()
                    | UnknownOutcomeFailure()
                ) as failure
            ):
                return [(entry, Err(failure)) for entry in batch.entries]
        raise AssertionError(answer)

    def _settle_existing(
        self, batch: WriteBatch, existing: set[RowKey]
    ) -> list[Settled]:
        """Settle rows that exist, and send the others again."""
        if len(batch.entries) == 1:
            return [(batch.entries[0], Ok(None))]
        found = [entry for entry in batch.entries if entry.key in existing]
        if not found:  # the answer names no row of the batch
            self._requeue_alone(batch.entries)
            return []
        for entry in batch.entries:
            if entry.key not in existing:
                self._queue.add(entry)
        return [(entry, Ok(None)) for entry in found]

    def _requeue_alone(self, entries: tuple[WriteEntry, ...]) -> None:
        for entry in entries:
            self._queue.add(replace(entry, is_alone=True))
