"""Follows the changes of one table, through outages and lost history."""

import logging
import threading
from collections.abc import Callable

from result import Err, Ok

from chestnutstair.scheduling.ports import (
    Changes,
    HistoryLostFailure,
    RowStore,
)
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["ChangeFeed"]

logger = logging.getLogger(__name__)

WAIT_SECONDS = 5.0  # one long read; a silent connection is noticed after it
SLACK_SECONDS = 1.5  # for a slow answer beyond the wait
RETRY_SECONDS = 0.25
READ_SECONDS = 2.0


class ChangeFeed:
    """Calls `apply` with changes, and `replace` with the whole table.

    The whole table is read again when its history has been dropped.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        table: str,
        partition: str,
        version: int | None,
        apply: Callable[[Changes], None],
        replace: Callable[[Changes], None],
        gap_seconds: float,
        wait_seconds: float = WAIT_SECONDS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._table = table
        self._partition = partition
        self._version = version
        self._apply = apply
        self._replace = replace
        self._gap = gap_seconds
        self._wait = wait_seconds
        self._stopped = threading.Event()
        self._failing = False

    def start(self) -> None:
        """Begin to follow, on a thread of its own."""
        threading.Thread(
            target=self._run, name=f"feed {self._table}", daemon=True
        ).start()

    def stop(self) -> None:
        """Follow no more; a read in progress is not waited for."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                seconds = self._step()
            except Exception:
                # A feed that ended would leave its reader blind.
                logger.exception("feed failed", extra={"table": self._table})
                seconds = RETRY_SECONDS
            self._stopped.wait(seconds)

    def _step(self) -> float:
        if self._version is None:
            return self._read()
        wait = self._wait
        deadline = Deadline.after(self._clock, wait + SLACK_SECONDS)
        answer = self._store.follow(self._table, self._version, wait, deadline)
        if self._stopped.is_set():
            return 0.0
        match answer:
            case Ok(changes):
                self._record_success()
                self._version = changes.version
                if changes.rows:
                    self._apply(changes)
                return self._gap
            case Err(HistoryLostFailure()):
                logger.info("history lost", extra={"table": self._table})
                self._version = None
                return 0.0
            case Err(failure):
                self._record_failure(describe_failure(failure))
                return RETRY_SECONDS
        raise AssertionError(answer)

    def _read(self) -> float:
        deadline = Deadline.after(self._clock, READ_SECONDS)
        match self._store.read(self._table, self._partition, deadline):
            case Ok(changes):
                self._record_success()
                self._version = changes.version
                self._replace(changes)
                return self._gap
            case Err(failure):
                self._record_failure(describe_failure(failure))
        return RETRY_SECONDS

    def _record_success(self) -> None:
        if self._failing:
            self._failing = False
            logger.info("store regained", extra={"table": self._table})

    def _record_failure(self, reason: str) -> None:
        if not self._failing:
            self._failing = True
            logger.warning(
                "store lost", extra={"table": self._table, "reason": reason}
            )
