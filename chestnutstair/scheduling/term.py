"""The leader's term, and the fencing of its writes by one row."""

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
    RowStore,
    RowWrite,
)
from chestnutstair.scheduling.shards.names import FIRST_NAMES, ShardNames
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fields import (
    MalformedFieldError,
    parse_object,
    read_number,
    read_text,
    read_whole,
)

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

# The names of shard 0.
PARTITION = FIRST_NAMES.partition
TERM_KEY = FIRST_NAMES.term_key


@dataclass(frozen=True)
class TermSettings:
    """Timeouts of the leader's writes to the store."""

    # Timeout of one attempt; longer than a transaction takes while the
    # store is a hundred times slower than usual.
    attempt_seconds: float = 1.2
    # Pause between two attempts.
    pause_seconds: float = 0.05
    # The term ends when a write has not succeeded for this long.
    give_up_seconds: float = 8.0
    # Limit for writing the release of a term; by then the other nodes take
    # over without it.
    release_seconds: float = 1.0


@dataclass(frozen=True)
class TermRow:
    """The stored row of the leader's term.

    - `holder`, `address`: name and address of the leading node.
    - `epoch`: number of the term, also the fencing token.
    - `number`: number of the leader's last write in this term.
    - `written_at`: wall-clock time of that write in seconds since 1970;
      clocks may differ between nodes.
    - `released`: the leader has stepped down.
    - `avoided_zone`: zone whose nodes wait before they take over a released
      term; empty for none.
    """

    holder: str
    address: str
    epoch: int
    number: int
    written_at: float = 0.0
    released: bool = False
    avoided_zone: str = ""

    def encode(self) -> bytes:
        """Return the row's stored value, in JSON."""
        return json.dumps(vars(self), separators=(",", ":")).encode()


def read_term(value: bytes | None, version: int = 0) -> TermRow | None:
    """Decode a stored row of the given version; None if there is none.

    Fields of later versions of this program are ignored. A row that cannot be
    decoded is one of nobody, which expires like any other. As each term has
    written at least one version, no earlier term has a higher epoch than the
    row's version, which it gets.
    """
    if value is None:
        return None
    try:
        stored = parse_object(value)
        return TermRow(
            read_text(stored, "holder"),
            read_text(stored, "address"),
            read_whole(stored, "epoch"),
            read_whole(stored, "number"),
            read_number(stored, "written_at", 0.0),
            stored.get("released") is True,
            read_text(stored, "avoided_zone", ""),
        )
    except MalformedFieldError:
        return TermRow("", "", version, 0)


class WriteOutcome(Enum):
    """Outcome of a write with the term's row."""

    DONE = "done"
    LOST = "lost"  # another leader has taken over
    GIVEN_UP = "given up"  # no success within the time limit


class Term:
    """Writes of one leader, one at a time, fenced by the term's row.

    Every write is conditional on the version of the term's row, and
    replaces that row. A write that arrives late, or comes from a leader
    that has been replaced, therefore fails and changes nothing.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        row: TermRow,
        version: int,
        settings: TermSettings,
        names: ShardNames = FIRST_NAMES,
    ) -> None:
        self._store = store
        self._key = names.term_key
        self._clock = clock
        self._row = row
        self._version = version
        self._settings = settings
        self.renewed_at = clock.read_boottime()

    @property
    def epoch(self) -> int:
        """The number of the term, which is also the fencing token."""
        return self._row.epoch

    @property
    def holder(self) -> str:
        """The name of the leading node."""
        return self._row.holder

    def write(self, writes: list[RowWrite]) -> WriteOutcome:
        """Write rows together with the term's row.

        Retries until the outcome is known or `give_up_seconds` are over.
        """
        row = replace(
            self._row,
            number=self._row.number + 1,
            written_at=self._clock.read_wall(),
        )
        return self._write(row, writes, self._settings.give_up_seconds)

    def release(self, avoided_zone: str = "") -> WriteOutcome:
        """Release the term, so that another node takes over at once."""
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
            [Expectation(self._key, self._version)],
            [RowWrite(self._key, row.encode()), *writes],
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
                    "store write failed; retrying",
                    extra={"number": row.number, "reason": reason},
                )
        return None

    def _record_success(
        self, row: TermRow, version: int, sent: float
    ) -> WriteOutcome:
        self._row = row
        self._version = version
        if not row.released:
            # After a release the next term may begin at once.
            self.renewed_at = sent
        return WriteOutcome.DONE

    def _resolve_conflict(
        self, row: TermRow, rows: tuple[Row, ...], sent: float
    ) -> WriteOutcome:
        # An earlier attempt without an answer may have been applied.
        for stored in rows:
            if stored.key.key == self._key.key and (
                read_term(stored.value) == row
            ):
                return self._record_success(row, stored.version, sent)
        return WriteOutcome.LOST
