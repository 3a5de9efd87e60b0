"""Holds the lease of each worker and listens to what it runs and ended."""

import logging
import threading
from dataclasses import dataclass

from result import Err, Ok

from chestnutstair.scheduling.book import JobBook
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.orders import OrderSender
from chestnutstair.scheduling.pacing import Pacer
from chestnutstair.scheduling.ports import (
    Refusal,
    StartRefusedFailure,
    WorkerControl,
)
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.state.deadline import Clock
from chestnutstair.state.failure import describe_failure

__all__ = ["SessionKeeper", "SessionSettings"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class SessionSettings:
    """Times of listening.

    `hold_seconds` is the wait of one listing, which an end cuts short.
    After a call without answer `retry_seconds` pass.
    """

    hold_seconds: float = 1.0
    retry_seconds: float = 0.2


class SessionKeeper:
    """One thread for each worker, for one tenure."""

    def __init__(
        self,
        leadership: Leadership,
        book: JobBook,
        workers: WorkerControl,
        orders: OrderSender,
        pacer: Pacer,
        clock: Clock,
        settings: SessionSettings,
    ) -> None:
        self._leadership = leadership
        self._book = book
        self._workers = workers
        self._orders = orders
        self._pacer = pacer
        self._clock = clock
        self._settings = settings
        self._stored: dict[int, threading.Event] = {}

    def note_stored(self, worker: WorkerState) -> None:
        """Let a worker be told that its ends have been seen."""
        event = self._stored.get(id(worker))
        if event is not None:
            event.set()

    def start_session(self, worker: WorkerState) -> None:
        """Begin to listen to a worker, on a thread of its own."""
        self._stored[id(worker)] = threading.Event()
        threading.Thread(
            target=self._run_session,
            args=(worker,),
            name=f"worker {worker.name}",
            daemon=True,
        ).start()

    def _run_session(self, worker: WorkerState) -> None:
        """Hold the worker's lease and listen to it until it is gone."""
        wait = 0.0
        while not self._leadership.has_ended and self._is_current(worker):
            if self._hold(worker, wait):
                wait = self._settings.hold_seconds
            else:
                wait = 0.0
                self._leadership.ended.wait(self._settings.retry_seconds)
        self._stored.pop(id(worker), None)

    def _is_current(self, worker: WorkerState) -> bool:
        with self._book.lock:
            current = self._book.workers.get(worker.name)
            if current is None or current is worker:
                return current is worker
            if id(current) not in self._stored:
                # Its restart was seen in its own listing.
                self.start_session(current)
            return False

    def _hold(self, worker: WorkerState, wait: float) -> bool:
        with self._book.lock:
            deadline_ms = self._orders.extend_lease(worker)
            # Another incarnation may answer next, whose ends are numbered
            # anew: it must forget none that this node has not seen.
            seen = 0 if worker.silent else worker.seen_stored
        sent = self._clock.read_monotonic()
        answer = self._workers.hold(
            worker.entry, self._leadership.epoch, seen, deadline_ms, wait
        )
        match answer:
            case Ok(listing):
                with self._book.lock:
                    worker.silent = False
                    worker.seen_sent = max(worker.seen_sent, seen)
                    before = worker.contact
                    known = self._book.note_hold(worker, listing, sent)
                    paces = self._pacer.adjust(worker)
                    unstored = worker.seen_applied > worker.seen_stored
                if unstored or before is None or not known:
                    self._leadership.wake_planner()
                for pace in paces:
                    self._orders.submit_pace(worker, pace)
                if unstored:
                    self._wait_stored(worker)
                return known
            case Err(StartRefusedFailure(reason)) if reason == Refusal.FENCE:
                self._leadership.mark_lost("a worker knows a newer fence")
            case Err(failure):
                if not worker.silent:
                    worker.silent = True
                    logger.info(
                        "worker does not answer",
                        extra={
                            "worker": worker.name,
                            "reason": describe_failure(failure),
                            "runs": len(worker.runs),
                        },
                    )
        return False

    def _wait_stored(self, worker: WorkerState) -> None:
        event = self._stored.get(id(worker))
        if event is not None:
            event.wait(self._settings.hold_seconds / 2)
            event.clear()
