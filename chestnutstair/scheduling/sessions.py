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
    WorkerEntry,
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
    # The same while lasting tasks are stopped for not being listed; such a
    # stop needs a recent listing.
    absence_hold_seconds: float = 0.1
    # Delay after a failed call.
    retry_seconds: float = 0.2


@dataclass(frozen=True)
class _HoldCall:
    """A hold call: how long it waits, the lease to send and the last end.

    It goes to the address in `entry`. `claim` is the entry that named another
    incarnation as the call was made.
    """

    entry: WorkerEntry
    claim: WorkerEntry | None
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
        self._probed: set[str] = set()  # names of workers being probed

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

    def start_probe(self, worker: WorkerState, entry: WorkerEntry) -> None:
        """Ask a worker which incarnation it is, on a thread of its own.

        `entry` names another one than the worker's session knows. A call of
        the session may take seconds to fail. The caller must hold the
        tracker's lock.
        """
        if worker.name in self._probed:
            return
        self._probed.add(worker.name)
        threading.Thread(
            target=self._probe,
            args=(worker, entry),
            name=f"probe {worker.name}",
            daemon=True,
        ).start()

    def _probe(self, worker: WorkerState, entry: WorkerEntry) -> None:
        try:
            self._ask_incarnation(worker, entry)
        except Exception:
            # The worker must be probed again when its entry changes.
            with self._tracker.lock:
                self._probed.discard(worker.name)
            logger.exception(
                "probe raised an error", extra={"worker": worker.name}
            )

    def _ask_incarnation(
        self, worker: WorkerState, entry: WorkerEntry
    ) -> None:
        sent = self._clock.read_monotonic()
        answer = self._workers.hold(
            entry, self._leadership.epoch, 0, None, 0.0
        )
        with self._tracker.lock:
            self._probed.discard(worker.name)
            match answer:
                case Ok(held) if held.born_ms not in (
                    0,
                    worker.entry.born_ms,
                ):
                    self._tracker.apply_hold_answer(worker, held, sent)
                    self._is_current(worker)  # starts the next session
                    self._leadership.wake_planner()
                case Err(StartRefusedFailure(RefusalReason.FENCE)):
                    self._leadership.mark_fenced()

    def _run_session(self, worker: WorkerState) -> None:
        """Poll the worker and renew its lease until it is gone."""
        answered = False
        while not self._leadership.has_ended:
            step = self._try_step(worker, answered)
            if step is None:
                break
            answered = step
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
        claim = worker.claim
        return _HoldCall(
            self._choose_entry(worker),
            claim,
            wait,
            self._orders.extend_lease(worker),
            # Another incarnation may answer next, whose ends are numbered
            # from 1 again. Acknowledging nothing keeps it from dropping ends
            # that this node has not seen.
            0 if worker.unresponsive or claim else worker.stored_end,
        )

    def _choose_wait(self, worker: WorkerState) -> float:
        """Return how long the next hold call may wait.

        It waits only briefly while suspected tasks run or wait to, as each
        answer may show that another can start.

        A VM that is to leave its pool is ordered once its last end is
        acknowledged, which only the answer to a call shows. Ends that an
        answer left out are listed once those in it are acknowledged.
        """
        is_leaving = worker.cordoned and not worker.runs
        if (
            is_leaving or worker.has_more_ends
        ) and worker.acknowledged_end < worker.stored_end:
            return 0.0
        if worker.absent:
            return self._settings.absence_hold_seconds
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

    def _try_step(self, worker: WorkerState, answered: bool) -> bool | None:
        """Make the next hold call; return whether it was answered.

        None for a worker that was replaced.
        """
        try:
            call = self._prepare_call(worker, answered)
            return None if call is None else self._hold(worker, call)
        except Exception:
            # If the thread ended, the worker's leases would lapse, and its
            # ends would not be received.
            logger.exception(
                "hold call raised an error", extra={"worker": worker.name}
            )
            self._leadership.ended.wait(self._settings.hold_seconds)
            return False

    def _hold(self, worker: WorkerState, call: _HoldCall) -> bool:
        """Make a hold call; return whether this incarnation answered it."""
        sent = self._clock.read_monotonic()
        answer = self._workers.hold(
            call.entry,
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
                    if is_current and worker.claim is call.claim:
                        worker.claim = None  # refuted by the answer
                    paces = self._pacer.adjust(worker)
                    unstored = worker.applied_end > worker.stored_end
                    is_proven = had_probation and not worker.probation
                    has_absent = bool(worker.absent)
                if (
                    unstored
                    or previous_contact is None
                    or not is_current
                    or is_proven
                    or has_absent
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

    @staticmethod
    def _choose_entry(worker: WorkerState) -> WorkerEntry:
        """Return the entry whose address to call.

        Those of a worker that does not answer and of an entry that names
        another incarnation take turns.
        """
        entry = worker.entry
        if worker.unresponsive and worker.claim is not None:
            worker.calls_claim = not worker.calls_claim
            if worker.calls_claim:
                entry = worker.claim
        return entry

    def _wait_until_stored(self, worker: WorkerState) -> None:
        event = self._stored_events.get(id(worker))
        if event is not None:
            event.wait(self._settings.hold_seconds / 2)
            event.clear()
