"""Threads that write the rows that a planner groups."""

import logging
import threading
from dataclasses import dataclass, field

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.intake.write_planner import (
    Settled,
    WriteBatch,
    WritePlanner,
)
from chestnutstair.scheduling.intake.write_queue import WriteEntry
from chestnutstair.scheduling.metrics import (
    INTAKE_BATCH_ROWS,
    INTAKE_CIRCUIT_OPEN,
    INTAKE_QUEUED,
    INTAKE_WRITE_LIMIT,
    INTAKE_WRITE_SECONDS,
    INTAKE_WRITES,
)
from chestnutstair.scheduling.ports import (
    ConditionFailure,
    RowKey,
    RowStore,
    StoreFailure,
)
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["IntakeWriter"]

logger = logging.getLogger(__name__)

# One thread for each write that the limit allows.
MAX_THREADS = 8


@dataclass
class _PendingRow:
    """A row that callers wait for."""

    entry: WriteEntry
    done: threading.Event = field(default_factory=threading.Event)
    outcome: Result[None, StoreFailure] | None = None
    waiters: int = 0


class IntakeWriter:
    """Writes rows for the threads that call `write`.

    An idle writer sends a row at once, in the thread of its caller if the
    write can't outlast the caller's deadline: handing it to another thread
    and back takes 0.1 ms. Rows that arrive while a write of their
    partition is in progress share the next one.
    """

    def __init__(
        self, store: RowStore, planner: WritePlanner, clock: Clock
    ) -> None:
        self._store = store
        self._planner = planner
        self._clock = clock
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._pending: dict[RowKey, _PendingRow] = {}
        self._sequence = 0
        self._threads = 0
        self._idle_threads = 0
        self._closed = False
        INTAKE_WRITE_LIMIT.set(planner.limit)

    def write(
        self,
        key: RowKey,
        value: bytes,
        is_submission: bool,
        deadline: Deadline,
    ) -> Result[None, StoreFailure]:
        """Write a row before the deadline and wait for the outcome.

        A row that another thread is writing is not sent again.
        """
        batch = None
        with self._lock:
            row = self._pending.get(key)
            if row is None:
                self._sequence += 1
                entry = WriteEntry(
                    deadline.at, self._sequence, key, value, is_submission
                )
                now = self._clock.read_monotonic()
                refusal = self._planner.admit(entry, now)
                if refusal is not None:
                    return Err(refusal)
                row = self._pending[key] = _PendingRow(entry)
                batch = self._take_for_caller(entry, now)
                if batch is None or entry not in batch.entries:
                    self._wake_thread()
            row.waiters += 1
        if batch is not None:
            self._execute(batch)
        row.done.wait(deadline.get_remaining_seconds(self._clock))
        with self._lock:
            row.waiters -= 1
            return self._conclude(row)

    def _take_for_caller(
        self, entry: WriteEntry, now: float
    ) -> WriteBatch | None:
        """Return a write that the caller's own thread makes, if any."""
        if now + self._planner.write_limit_seconds > entry.deadline_at:
            return None
        batch, refused = self._planner.take(now)
        self._settle(refused)
        return batch

    def _wake_thread(self) -> None:
        if not self._idle_threads and self._threads < MAX_THREADS:
            self._threads += 1
            threading.Thread(
                target=self._run, name="intake writer", daemon=True
            ).start()
        self._changed.notify()

    def _conclude(self, row: _PendingRow) -> Result[None, StoreFailure]:
        if row.outcome is not None:
            return row.outcome
        if not row.waiters and self._planner.withdraw(row.entry):
            self._pending.pop(row.entry.key, None)
            return Err(UnavailableFailure("not sent before its deadline"))
        return Err(UnknownOutcomeFailure("no response in time"))

    def estimate_drain(self) -> float:
        """Return the seconds in which what waits now is written."""
        with self._lock:
            return self._planner.estimate_drain(self._clock.read_monotonic())

    def close(self) -> None:
        """End the threads once their writes are answered."""
        with self._lock:
            self._closed = True
            self._changed.notify_all()

    # Threads

    def _run(self) -> None:
        while True:
            batch = self._wait_for_batch()
            if batch is None:
                return
            self._execute(batch)

    def _execute(self, batch: WriteBatch) -> None:
        try:
            answer = self._send(batch)
        except Exception as error:
            # A write that never ended would block its partition.
            logger.exception("intake write failed")
            answer = Err(UnknownOutcomeFailure(repr(error)))
        self._finish(batch, answer)

    def _wait_for_batch(self) -> WriteBatch | None:
        with self._lock:
            while not self._closed:
                now = self._clock.read_monotonic()
                batch, refused = self._planner.take(now)
                self._settle(refused)
                INTAKE_QUEUED.set(self._planner.queued_count)
                if batch is not None:
                    return batch
                self._idle_threads += 1
                self._changed.wait()
                self._idle_threads -= 1
            return None

    def _send(
        self, batch: WriteBatch
    ) -> Result[int, StoreFailure | ConditionFailure]:
        return self._store.commit(
            batch.list_expectations(),
            batch.list_writes(),
            Deadline.after(self._clock, batch.limit_seconds),
        )

    def _finish(
        self,
        batch: WriteBatch,
        answer: Result[int, StoreFailure | ConditionFailure],
    ) -> None:
        with self._lock:
            now = self._clock.read_monotonic()
            was_open = self._planner.is_circuit_open
            old_limit = self._planner.limit
            self._settle(self._planner.finish(batch, answer, now))
            is_open = self._planner.is_circuit_open
            limit = self._planner.limit
            queued = self._planner.queued_count
            if queued:
                # More than one partition may be able to go on.
                self._changed.notify(limit)
        _record_write(batch, answer, now)
        if limit != old_limit:
            INTAKE_WRITE_LIMIT.set(limit)
        if was_open != is_open:
            INTAKE_CIRCUIT_OPEN.set(is_open)
        if limit < old_limit or was_open != is_open:
            logger.info(
                "intake write limit or circuit changed",
                extra={
                    "limit": limit,
                    "limit_before": old_limit,
                    "circuit_open": is_open,
                    "circuit_open_before": was_open,
                    "partition": batch.place[1],
                    "rows": len(batch.entries),
                    "seconds": round(now - batch.began, 3),
                    "answer": _name_answer(answer),
                    "queued": queued,
                },
            )

    def _settle(self, settled: list[Settled]) -> None:
        for entry, outcome in settled:
            row = self._pending.pop(entry.key, None)
            if row is not None:
                row.outcome = outcome
                row.done.set()


def _name_answer(
    answer: Result[int, StoreFailure | ConditionFailure],
) -> str:
    match answer:
        case Ok(_):
            return "written"
        case Err(failure):
            return type(failure).__name__
    raise AssertionError(answer)


def _record_write(
    batch: WriteBatch,
    answer: Result[int, StoreFailure | ConditionFailure],
    now: float,
) -> None:
    INTAKE_WRITES.labels(_name_answer(answer)).inc()
    INTAKE_BATCH_ROWS.observe(len(batch.entries))
    INTAKE_WRITE_SECONDS.observe(now - batch.began)
