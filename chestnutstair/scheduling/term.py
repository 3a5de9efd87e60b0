"""The leader's term: one row that every write of the leader goes with."""

import json
import logging
from dataclasses import dataclass, replace
from enum import Enum

from result import Err, Ok

from chestnutstair.coordination.platform import (
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.ports import (
    ConditionFailure,
    Expectation,
    Row,
    RowKey,
    RowStore,
    RowWrite,
)
from chestnutstair.state.deadline import Clock, Deadline

__all__ = [
    "PARTITION",
    "TERM_KEY",
    "Term",
    "TermRow",
    "TermSettings",
    "WriteOutcome",
    "read_term",
]

logger = logging.getLogger(__name__)

PARTITION = "scheduler"
TERM_KEY = RowKey("term", PARTITION, "leader")


@dataclass(frozen=True)
class TermSettings:
    """Times of one leader's writes.

    `attempt_seconds` bounds one attempt, longer than a transaction takes
    while the store is a hundred times slower than usual. `pause_seconds`
    lies between attempts. `give_up_seconds` without a success end the term;
    handing it over is not worth more than `release_seconds`, in which the
    others take over anyway.
    """

    attempt_seconds: float = 1.2
    pause_seconds: float = 0.05
    give_up_seconds: float = 8.0
    release_seconds: float = 1.0


@dataclass(frozen=True)
class TermRow:
    """The row: who leads, and the number and time of its last write.

    `written_at` is a time of day, which may differ between nodes.
    `released` says that the leader gave up; `avoided_zone` is the zone
    whose nodes are to let others go first.
    """

    holder: str
    address: str
    epoch: int
    number: int
    written_at: float = 0.0
    released: bool = False
    avoided_zone: str = ""

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(vars(self), separators=(",", ":")).encode()


def read_term(value: bytes | None) -> TermRow | None:
    """Return the row, or None if there is none."""
    return None if value is None else TermRow(**json.loads(value))


class WriteOutcome(Enum):
    """What came of a write."""

    DONE = "done"
    LOST = "lost"  # another leader has taken over
    GIVEN_UP = "given up"  # the store did not answer for too long


class Term:
    """Writes for one leader, one at a time, until its term is over.

    Every write has the term's row as its condition and replaces it, so a
    write that arrives late, or comes from a leader that has been replaced,
    changes nothing.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        row: TermRow,
        version: int,
        settings: TermSettings,
    ) -> None:
        self._store = store
        self._clock = clock
        self._row = row
        self._version = version
        self._settings = settings
        self.renewed_at = clock.read_boottime()

    @property
    def epoch(self) -> int:
        """Return the number of the term, which is also the fence."""
        return self._row.epoch

    @property
    def holder(self) -> str:
        """Return the name of the leader."""
        return self._row.holder

    def write(self, writes: list[RowWrite]) -> WriteOutcome:
        """Write with the term's row, again until the outcome is known."""
        row = replace(
            self._row,
            number=self._row.number + 1,
            written_at=self._clock.read_wall(),
        )
        return self._write(row, writes, self._settings.give_up_seconds)

    def release(self, avoided_zone: str = "") -> WriteOutcome:
        """End the term so that another leader need not wait."""
        row = replace(
            self._row,
            number=self._row.number + 1,
            released=True,
            avoided_zone=avoided_zone,
        )
        return self._write(row, [], self._settings.release_seconds)

    def _write(
        self, row: TermRow, writes: list[RowWrite], give_up_seconds: float
    ) -> WriteOutcome:
        started = self._clock.read_boottime()
        while True:
            sent = self._clock.read_boottime()
            outcome = self._attempt(row, writes, sent)
            if outcome is not None:
                return outcome
            if sent - started > give_up_seconds:
                logger.warning(
                    "term given up: the store does not answer",
                    extra={"epoch": row.epoch, "seconds": sent - started},
                )
                return WriteOutcome.GIVEN_UP
            self._clock.sleep(self._settings.pause_seconds)

    def _attempt(
        self, row: TermRow, writes: list[RowWrite], sent: float
    ) -> WriteOutcome | None:
        answer = self._store.commit(
            [Expectation(TERM_KEY, self._version)],
            [RowWrite(TERM_KEY, row.encode()), *writes],
            Deadline.after(self._clock, self._settings.attempt_seconds),
        )
        match answer:
            case Ok(version):
                return self._record_success(row, version, sent)
            case Err(ConditionFailure(rows)):
                return self._resolve_conflict(row, rows, sent)
            case Err(RefusedFailure(reason)):
                logger.error("store refused a write", extra={"reason": reason})
            case Err(
                UnavailableFailure(reason) | UnknownOutcomeFailure(reason)
            ):
                logger.warning(
                    "store write failed; trying again",
                    extra={"number": row.number, "reason": reason},
                )
        return None

    def _record_success(
        self, row: TermRow, version: int, sent: float
    ) -> WriteOutcome:
        self._row = row
        self._version = version
        self.renewed_at = sent
        return WriteOutcome.DONE

    def _resolve_conflict(
        self, row: TermRow, rows: tuple[Row, ...], sent: float
    ) -> WriteOutcome:
        # An attempt that had no answer may have been carried out.
        for stored in rows:
            if stored.key.key == TERM_KEY.key and (
                read_term(stored.value) == row
            ):
                return self._record_success(row, stored.version, sent)
        return WriteOutcome.LOST
