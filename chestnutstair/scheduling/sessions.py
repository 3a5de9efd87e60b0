"""Renews each worker's lease and receives its runs and their ends."""

import logging
import threading
from dataclasses import dataclass

from result import Err, Ok

from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.orders import OrderSender
from chestnutstair.scheduling.pacing import Pacer
from chestnutstair.scheduling.ports import (
    RefusalReason,
    StartRefusedFailure,
    WorkerControl,
)
from chestnutstair.scheduling.workers import PROVING_SECONDS, WorkerState
from chestnutstair.state.deadline import Clock
from chestnutstair.state.failure import describe_failure

__all__ = ["SessionSettings", "WorkerSessions"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class SessionSettings:
    """Timing of the hold calls, which are long polls to workers."""

    # How long a hold call waits for the end of a run, which cuts it short.
    hold_seconds: float = 1.0
    # Delay after a failed call.
    retry_seconds: float = 0.2


@dataclass(frozen=True)
class _HoldCall:
    """A hold call: how long it waits, the lease to send and the last end."""

    wait_seconds: float
    deadline_ms: int | None
    acknowledged_end: int


class WorkerSessions:
    """Runs one thread per worker for the duration of a term."""

    def __init__(
        self,
        leadership: Leadership,
        tracker: JobTracker,
        workers: WorkerControl,
        orders: OrderSender,
        pacer: Pacer,
        clock: Clock,
        settings: SessionSettings,
    ) -> None:
        self._leadership = leadership
        self._tracker = tracker
        self._workers = workers
        self._orders = orders
        self._pacer = pacer
        self._clock = clock
        self._settings = settings
        self._stored_events: dict[int, threading.Event] = {}

    def signal_ends_stored(self, worker: WorkerState) -> None:
        """Signal that a worker's ends are stored and can be acknowledged."""
        event = self._stored_events.get(id(worker))
        if event is not None:
            event.set()

    def start_session(self, worker: WorkerState) -> None:
        """Start a worker's session on its own thread."""
        self._stored_events[id(worker)] = threading.Event()
        threading.Thread(
            target=self._run_session,
            args=(worker,),
            name=f"worker {worker.name}",
            daemon=True,
        ).start()

    def _run_session(self, worker: WorkerState) -> None:
        """Poll the worker and renew its lease until it is gone."""
        answered = False
        while not self._leadership.has_ended:
            call = self._prepare_call(worker, answered)
            if call is None:
                break
            answered = self._hold(worker, call)
            if not answered:
                self._leadership.ended.wait(self._settings.retry_seconds)
        self._stored_events.pop(id(worker), None)

    def _prepare_call(
        self, worker: WorkerState, answered: bool
    ) -> _HoldCall | None:
        """Return the next hold call; None for a worker that was replaced.

        `answered` says whether the worker answered the last call. Takes the
        lock once, as the sessions of all workers wait for it in each round.
        """
        with self._tracker.lock:
            if not self._is_current(worker):
                return None
            wait = self._choose_wait(worker) if answered else 0.0
            return self._build_call(worker, wait)

    def _build_call(self, worker: WorkerState, wait: float) -> _HoldCall:
        return _HoldCall(
            wait,
            self._orders.extend_lease(worker),
            # Another incarnation may answer next, whose ends are numbered
            # from 1 again. Acknowledging nothing keeps it from dropping ends
            # that this node has not seen.
            0 if worker.unresponsive else worker.stored_end,
        )

    def _choose_wait(self, worker: WorkerState) -> float:
        """Return how long the next hold call may wait.

        It waits only briefly while suspected tasks run or wait to, as each
        answer may show that another can start.

        A VM that is to leave its pool is ordered once its last end is
        acknowledged, which only the answer to a call shows.
        """
        if (
            worker.cordoned
            and not worker.runs
            and worker.acknowledged_end < worker.stored_end
        ):
            return 0.0
        if worker.probation or worker.suspects_wait:
            return PROVING_SECONDS
        return self._settings.hold_seconds

    def _is_current(self, worker: WorkerState) -> bool:
        current = self._tracker.workers.get(worker.name)
        if current is None or current is worker:
            return current is worker
        if id(current) not in self._stored_events:
            # The restart was detected by the answer to a hold call, so the
            # new incarnation has no session yet.
            self.start_session(current)
        return False

    def _hold(self, worker: WorkerState, call: _HoldCall) -> bool:
        """Make a hold call; return whether this incarnation answered it."""
        sent = self._clock.read_monotonic()
        answer = self._workers.hold(
            worker.entry,
            self._leadership.epoch,
            call.acknowledged_end,
            call.deadline_ms,
            call.wait_seconds,
        )
        match answer:
            case Ok(hold_answer):
                with self._tracker.lock:
                    worker.unresponsive = False
                    worker.acknowledged_end = max(
                        worker.acknowledged_end, call.acknowledged_end
                    )
                    previous_contact = worker.contact
                    had_probation = bool(worker.probation)
                    is_current = self._tracker.apply_hold_answer(
                        worker, hold_answer, sent
                    )
                    paces = self._pacer.adjust(worker)
                    unstored = worker.applied_end > worker.stored_end
                    is_proven = had_probation and not worker.probation
                if (
                    unstored
                    or previous_contact is None
                    or not is_current
                    or is_proven
                ):
                    self._leadership.wake_planner()
                for pace in paces:
                    self._orders.submit_pace(worker, pace)
                if unstored:
                    self._wait_until_stored(worker)
                return is_current
            case Err(StartRefusedFailure(RefusalReason.FENCE)):
                self._leadership.mark_fenced()
            case Err(failure):
                now = self._clock.read_monotonic()
                if not worker.unresponsive:
                    worker.unresponsive = True
                    if now - sent < call.wait_seconds:
                        # The call did not time out: its connection was closed.
                        with self._tracker.lock:
                            worker.record_closed(now)
                    logger.info(
                        "worker does not answer",
                        extra={
                            "worker": worker.name,
                            "reason": describe_failure(failure),
                            "runs": len(worker.runs),
                        },
                    )
        return False

    def _wait_until_stored(self, worker: WorkerState) -> None:
        event = self._stored_events.get(id(worker))
        if event is not None:
            event.wait(self._settings.hold_seconds / 2)
            event.clear()
