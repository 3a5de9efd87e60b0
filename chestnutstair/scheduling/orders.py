"""Sends orders to workers and records their outcomes."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from result import Err, Ok

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.advice import AdviceCache
from chestnutstair.scheduling.job_tracker import JobTracker, StopRequest
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.metrics import FIRST_START_SECONDS, START_ORDERS
from chestnutstair.scheduling.pacing import Pace, Pacer
from chestnutstair.scheduling.placement import Placement
from chestnutstair.scheduling.ports import (
    RefusalReason,
    StartOrder,
    StartRefusedFailure,
    WorkerCallFailure,
    WorkerControl,
    WrongIncarnationFailure,
)
from chestnutstair.scheduling.progress import JobRecord
from chestnutstair.scheduling.workers import (
    SLOWEST_CLOCK_RATE,
    WorkerState,
)
from chestnutstair.state.deadline import Clock
from chestnutstair.state.failure import describe_failure

__all__ = ["OrderSender", "OrderSettings"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class OrderSettings:
    """Leases, retries and threads of orders."""

    # How long runs continue without contact to a leader: long enough to
    # survive a restart of every node, short enough that work of a lost worker
    # is restarted while it is still useful.
    lease_seconds: float = 6.0
    # A leader that has not written for longer extends no leases, so that its
    # successor knows when runs have expired on workers that it cannot reach.
    # Together with the lease this outlasts a store outage of 7 s.
    max_write_age_seconds: float = 2.0
    # Delay after a refused or failed order.
    retry_seconds: float = 0.2
    # Starts sent in parallel.
    threads: int = 24
    # Stops and speeds sent in parallel, apart from starts: an order to a
    # worker that does not answer occupies a thread for 0.7 s. More than the
    # workers of a rack, which may fail together.
    stop_threads: int = 16
    # Starts a second that the threads send with one core: a start and the
    # call that tells its end take about a millisecond of it.
    starts_per_second: float = 1000.0
    # Starts are placed so far ahead of those that wait to be sent that the
    # threads stay busy until the next round and this much longer.
    queue_seconds: float = 0.05
    # Longest time to the next round that counts for this. A round takes as
    # long as the store is away, and up to 0.6 s while it is slow.
    longest_round_seconds: float = 1.0

    def compute_takeover_wait(self, unchanged_seconds: float) -> float:
        """Return how long leases of the previous leader may still last.

        `unchanged_seconds` is how long it has not written: it may have
        extended leases until `max_write_age_seconds` after its last write.
        """
        extended = max(0.0, self.max_write_age_seconds - unchanged_seconds)
        return self.lease_seconds / SLOWEST_CLOCK_RATE + extended


class OrderSender:
    """Starts, stops and paces runs from a pool of threads."""

    def __init__(
        self,
        leadership: Leadership,
        tracker: JobTracker,
        workers: WorkerControl,
        advice: AdviceCache,
        pacer: Pacer,
        clock: Clock,
        settings: OrderSettings,
    ) -> None:
        self._leadership = leadership
        self._tracker = tracker
        self._workers = workers
        self._advice = advice
        self._pacer = pacer
        self._clock = clock
        self._settings = settings
        self._stops_in_flight: set[tuple[str, str, int]] = set()
        # Starts that were placed and have not been answered, and whether to
        # wake the planner once few are left.
        self._unanswered = 0
        self._must_wake = False
        self._count_lock = threading.Lock()
        self._threads = ThreadPoolExecutor(
            settings.threads, thread_name_prefix="order"
        )
        self._stop_threads = ThreadPoolExecutor(
            settings.stop_threads, thread_name_prefix="stop"
        )

    def close(self) -> None:
        """Drop the orders that wait, without waiting for those in progress."""
        for threads in (self._threads, self._stop_threads):
            threads.shutdown(wait=False, cancel_futures=True)

    def extend_lease(self, worker: WorkerState) -> int | None:
        """Return the lease deadline to send, or None to not extend it.

        The deadline is recorded as sent before it is sent, so that it is
        never underestimated. A worker that does not answer gets no further
        lease, as otherwise its runs would never expire. The caller must hold
        the tracker's lock.
        """
        if worker.contact is None or worker.unresponsive:
            return None
        age = self._clock.read_boottime() - self._leadership.term.renewed_at
        if age > self._settings.max_write_age_seconds:
            return None
        now = self._clock.read_monotonic()
        deadline_ms = worker.contact.estimate_clock_ms(now) + int(
            self._settings.lease_seconds * 1000
        )
        worker.sent_deadline_ms = max(worker.sent_deadline_ms, deadline_ms)
        return deadline_ms

    def submit_stop(self, stop: StopRequest) -> None:
        """Send a stop, unless the same one is in progress.

        A worker that does not answer gets one stop at a time, so that its
        stops do not occupy the threads that others need.
        """
        key = (stop.worker.name, stop.task, stop.run)
        with self._count_lock:
            waits = stop.worker.unresponsive and any(
                name == stop.worker.name for name, *_ in self._stops_in_flight
            )
            if waits or key in self._stops_in_flight:
                return
            self._stops_in_flight.add(key)
        self._submit(self._stop_threads, self._stop, stop, key)

    def submit_start(self, placement: Placement) -> None:
        """Send a start whose placement has been stored."""
        with self._count_lock:
            self._unanswered += 1
        self._submit(self._threads, self._run_start, placement)

    def limit_starts(self, round_seconds: float) -> int:
        """Return how many starts a round may place, at least 0.

        Starts are sent in the order in which they were placed, so what waits
        here is not overtaken by a more urgent job, and holds room that is not
        used. `round_seconds` is the time until the next round places more.
        """
        settings = self._settings
        seconds = min(round_seconds, settings.longest_round_seconds)
        seconds += settings.queue_seconds
        allowed = int(settings.starts_per_second * seconds)
        return max(0, allowed - self._unanswered)

    def wake_when_sent(self) -> None:
        """Wake the planner once few starts are left, as it placed no more."""
        with self._count_lock:
            self._must_wake = True
        self._wake_if_few_starts_are_left()

    def _wake_if_few_starts_are_left(self) -> None:
        with self._count_lock:
            few = self._unanswered <= self._settings.threads
            wakes = self._must_wake and few
            if wakes:
                self._must_wake = False
        if wakes:
            self._leadership.wake_planner()

    def _run_start(self, placement: Placement) -> None:
        try:
            self._start(placement)
        finally:
            with self._count_lock:
                self._unanswered -= 1
            if self._must_wake:
                self._wake_if_few_starts_are_left()

    def submit_pace(self, worker: WorkerState, pace: Pace) -> None:
        """Send an order that sets the speed of a run."""
        self._submit(self._stop_threads, self._pace, worker, pace)

    def _submit(
        self,
        threads: ThreadPoolExecutor,
        send: Callable[..., None],
        *arguments: Any,
    ) -> None:
        threads.submit(self._run, send, arguments)

    @staticmethod
    def _run(send: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        try:
            send(*arguments)
        except Exception:
            # The pool would keep the error in a result that nobody reads.
            logger.exception("order raised an error")

    def _stop(self, stop: StopRequest, key: tuple[str, str, int]) -> None:
        if self._leadership.has_ended:
            return  # the next leader decides what is stopped
        # With slow workers a stop waits for seconds for a thread.
        with self._tracker.lock:
            is_due = self._tracker.is_still_due(stop)
        if not is_due:
            with self._count_lock:
                self._stops_in_flight.discard(key)
            return
        try:
            answer = self._workers.stop(
                stop.worker.entry, stop.task, stop.run, self._leadership.epoch
            )
            logger.info(
                "stop sent",
                extra={
                    "task": stop.task,
                    "run": stop.run,
                    "worker": stop.worker.name,
                    "answered": answer.is_ok(),
                },
            )
            match answer:
                case Err(StartRefusedFailure(RefusalReason.FENCE)):
                    self._leadership.mark_fenced()
                case Ok(_) | Err(StartRefusedFailure(RefusalReason.OLD)):
                    with self._tracker.lock:
                        self._tracker.confirm_stop(
                            stop.worker, stop.task, stop.run
                        )
                case Err(_):
                    self._leadership.ended.wait(self._settings.retry_seconds)
        finally:
            with self._count_lock:
                self._stops_in_flight.discard(key)
            self._leadership.wake_planner()

    def _pace(self, worker: WorkerState, pace: Pace) -> None:
        if self._leadership.has_ended:
            return
        answer = self._workers.pace(
            worker.entry,
            pace.task,
            pace.run,
            pace.percent,
            self._leadership.epoch,
        )
        logger.info(
            "pace sent",
            extra={
                "task": pace.task,
                "percent": pace.percent,
                "worker": worker.name,
                "answered": answer.is_ok(),
            },
        )
        with self._tracker.lock:
            match answer:
                case Ok(_):
                    self._pacer.record_pace(worker, pace)
                case Err(UnknownOutcomeFailure()):
                    self._pacer.record_doubt(worker, pace)

    def _start(self, placement: Placement) -> None:
        worker = placement.worker
        record = placement.record
        task = record.name_task(placement.key)
        with self._tracker.lock:
            placed = worker.runs.get(task)
            if (
                self._leadership.has_ended
                or placed is None
                or placed.run != placement.run
            ):
                return
            deadline_ms = self.extend_lease(worker)
            # A gang of which one member is not started ends.
            is_leaving = worker.entry.draining and not placed.step.gang
            if placed.stopping or is_leaving or deadline_ms is None:
                self._tracker.withdraw(worker, task, placement.run, "not sent")
                self._leadership.wake_planner()
                return
            checkpoint = record.get_task(placement.key).checkpoint
        order = StartOrder(
            task,
            placement.run,
            record.submission.specification.payload,
            deadline_ms,
            self._leadership.epoch,
            checkpoint,
            placement.ticket,
        )
        answer = self._workers.start(worker.entry, order)
        logger.info(
            "start sent",
            extra={
                "task": task,
                "run": placement.run,
                "worker": worker.name,
                "epoch": self._leadership.epoch,
                "outcome": "ok"
                if answer.is_ok()
                else describe_failure(answer.unwrap_err()),
            },
        )
        START_ORDERS.labels("ok" if answer.is_ok() else "not started").inc()
        with self._tracker.lock:
            match answer:
                case Ok(_):
                    self._measure_first_start(record)
                    self._tracker.confirm_start(worker, task, placement.run)
                case Err(failure):
                    self._handle_failed_start(placement, task, failure)
                    self._leadership.wake_planner()

    def _measure_first_start(self, record: JobRecord) -> None:
        if not record.start_measured:
            record.start_measured = True
            accepted = record.submission.accepted_ms / 1000
            seconds = self._clock.read_wall() - accepted
            FIRST_START_SECONDS.observe(max(0.0, seconds))

    def _handle_failed_start(
        self, placement: Placement, task: str, failure: WorkerCallFailure
    ) -> None:
        worker = placement.worker
        run = placement.run
        match failure:
            case UnknownOutcomeFailure():
                self._tracker.mark_in_doubt(worker, task, run)
            case StartRefusedFailure(RefusalReason.FENCE):
                self._leadership.mark_fenced()
            case StartRefusedFailure(RefusalReason.TICKET):
                self._advice.drop(
                    placement.record.name_step(placement.key),
                    worker.name,
                    worker.entry.born_ms,
                )
                self._tracker.withdraw(worker, task, run, RefusalReason.TICKET)
            case StartRefusedFailure(reason) | UnavailableFailure(reason):
                now = self._clock.read_monotonic()
                worker.avoided_until = now + self._settings.retry_seconds
                self._tracker.withdraw(worker, task, run, reason)
            case WrongIncarnationFailure():
                self._tracker.withdraw(
                    worker, task, run, "another incarnation"
                )
                self._tracker.mark_incarnation_gone(worker)
