"""The work of the node that leads: plans, stores, orders and listens."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from result import Err, Ok

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.advice import AdviceDesk
from chestnutstair.scheduling.book import JobBook, Stop
from chestnutstair.scheduling.configuration import FleetConfiguration
from chestnutstair.scheduling.feed import Feed
from chestnutstair.scheduling.intake import (
    INTAKE_PARTITION,
    INTAKE_TABLE,
    build_cancel_key,
    build_job_key,
    decode_submission,
    is_cancel,
    read_job_name,
)
from chestnutstair.scheduling.load import measure_loads
from chestnutstair.scheduling.metrics import (
    FIRST_STARTS,
    PLANNING,
    STARTS,
    STORE_WRITES,
)
from chestnutstair.scheduling.pacing import Pace, Pacer, PacingSettings
from chestnutstair.scheduling.placement import Placement, Planner
from chestnutstair.scheduling.ports import (
    Changes,
    Refusal,
    Row,
    RowKey,
    RowStore,
    RowWrite,
    StartOrder,
    StartRefusedFailure,
    SubmissionCodec,
    WireDecoder,
    WorkerControl,
    WrongIncarnationFailure,
)
from chestnutstair.scheduling.progress import JobRecord, JobState
from chestnutstair.scheduling.term import PARTITION, Term, Written
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["Leader", "LeaderSettings"]

logger = logging.getLogger(__name__)

PROGRESS_TABLE = "progress"
REGISTRY_TABLE = "servers"
REGISTRY_PARTITION = ""


@dataclass(frozen=True)
class LeaderSettings:
    """Times of the leader's work.

    `lease_seconds` is how long runs go on without word from a leader: long
    enough to outlive a restart of every node, short enough that work of a
    lost worker starts again in time to be of use. `hold_seconds` is the
    wait of one listing. `beat_seconds` is the longest time between writes;
    `write_gap_seconds` the shortest, which groups what comes close
    together. `intake_gap_seconds` lie between reads of the intake, whose
    rows also come by messages from the other nodes, and
    `registry_gap_seconds` between reads of the registry, where a VM that
    has moved must be seen at once.
    `order_threads` send orders side by side. `batch_rows` are written at
    once at most. `keep_seconds` is how long ended jobs can be asked for.
    """

    lease_seconds: float = 6.0
    hold_seconds: float = 1.0
    beat_seconds: float = 0.4
    write_gap_seconds: float = 0.02
    intake_gap_seconds: float = 0.3
    registry_gap_seconds: float = 0.05
    retry_seconds: float = 0.2
    order_threads: int = 24
    batch_rows: int = 90
    keep_seconds: float = 150.0
    read_seconds: float = 3.0
    pool_log_seconds: float = 1.0


class Leader:
    """Runs one term on a book that it loads from the store."""

    def __init__(
        self,
        term: Term,
        book: JobBook,
        planner: Planner,
        advice: AdviceDesk,
        store: RowStore,
        workers: WorkerControl,
        decoder: WireDecoder,
        submissions: SubmissionCodec,
        clock: Clock,
        settings: LeaderSettings,
    ) -> None:
        self.term = term
        self.book = book
        self._planner = planner
        self._advice = advice
        self._store = store
        self._workers = workers
        self._decoder = decoder
        self._submissions = submissions
        self._clock = clock
        self._settings = settings
        self._pacer = Pacer(clock, PacingSettings())
        self._woken = threading.Event()
        self._ended = threading.Event()
        self._stored: dict[int, threading.Event] = {}
        self._orders = ThreadPoolExecutor(
            settings.order_threads, thread_name_prefix="order"
        )
        self._stops_sent: set[tuple[str, str, int]] = set()
        self._main = threading.Thread(
            target=self._run, name="leader", daemon=True
        )
        self._feeds: list[Feed] = []
        self._writes: list[RowWrite] = []
        self._waiting_stores: list[threading.Event] = []
        self._companions: list[Callable[[], None]] = []
        self._logged_at = 0.0
        self._swept_at = clock.read_monotonic()

    # Life

    def load(self) -> bool:
        """Read jobs, progress and workers; tell whether all could be read."""
        deadline = Deadline.after(self._clock, self._settings.read_seconds)
        progress = self._store.read(PROGRESS_TABLE, PARTITION, deadline)
        intake = self._store.read(INTAKE_TABLE, INTAKE_PARTITION, deadline)
        registry = self._store.read(
            REGISTRY_TABLE, REGISTRY_PARTITION, deadline
        )
        if progress.is_err() or intake.is_err() or registry.is_err():
            logger.warning(
                "term can not begin: the store does not answer",
                extra={"epoch": self.term.epoch},
            )
            return False
        stored = {row.key.key: row.value for row in progress.unwrap().rows}
        with self.book.lock:
            for row in intake.unwrap().rows:
                self._restore_row(row, stored)
            for row in intake.unwrap().rows:
                if is_cancel(row):
                    self.book.cancel(read_job_name(row))
            self._apply_registry(registry.unwrap())
        self._feeds = [
            Feed(
                self._store,
                self._clock,
                INTAKE_TABLE,
                INTAKE_PARTITION,
                intake.unwrap().version,
                self._apply_intake,
                self._apply_intake,
                self._settings.intake_gap_seconds,
            ),
            Feed(
                self._store,
                self._clock,
                REGISTRY_TABLE,
                REGISTRY_PARTITION,
                registry.unwrap().version,
                self._apply_registry,
                self._replace_registry,
                self._settings.registry_gap_seconds,
            ),
        ]
        return True

    def _restore_row(self, row: Row, stored: dict[str, bytes | None]) -> None:
        if is_cancel(row) or row.value is None:
            return
        name = read_job_name(row)
        match decode_submission(name, row.value, self._submissions):
            case Ok(submission):
                self.book.restore_job(submission, stored.get(name))
            case Err(failure):
                logger.error(
                    "stored job can not be read",
                    extra={"job": name, "reason": describe_failure(failure)},
                )

    def start(self) -> None:
        """Begin to plan and to listen."""
        for feed in self._feeds:
            feed.start()
        threading.Thread(
            target=self._advice.run,
            args=(self.wake,),
            name="advice",
            daemon=True,
        ).start()
        for companion in self._companions:
            companion()
        self._main.start()
        self._woken.set()

    def end(self, release: bool, avoided_zone: str = "") -> None:
        """Send no more orders; hand the term over if it is to be released."""
        self._ended.set()
        self._woken.set()
        for feed in self._feeds:
            feed.stop()
        if self._main.is_alive():
            self._main.join()
        if release:
            outcome = self.term.release(avoided_zone)
            logger.info(
                "term released",
                extra={"epoch": self.term.epoch, "outcome": outcome.value},
            )
        self._orders.shutdown(wait=False)
        self._advice.close()

    @property
    def has_ended(self) -> bool:
        """Tell whether the term is over."""
        return self._ended.is_set()

    def wake(self) -> None:
        """Plan soon."""
        self._woken.set()

    def set_configuration(self, configuration: FleetConfiguration) -> None:
        """Take over a configuration, unless it is older."""
        with self.book.lock:
            if configuration.version > self.book.configuration.version:
                self.book.configuration = configuration
        self.wake()

    def add_companion(self, start: Callable[[], None]) -> None:
        """Let something start with the leader; it ends with its term."""
        self._companions.append(start)

    def store(self, writes: list[RowWrite], seconds: float) -> bool:
        """Store rows with the term; tell whether they are stored in time."""
        done = threading.Event()
        with self.book.lock:
            self._writes += writes
            self._waiting_stores.append(done)
        self.wake()
        return done.wait(seconds) and not self._ended.is_set()

    def add_write(self, write: RowWrite) -> None:
        """Let a row go with the next write of the term."""
        with self.book.lock:
            self._writes.append(write)
        self.wake()

    # What the store says

    def _apply_intake(self, changes: Changes) -> None:
        with self.book.lock:
            for row in changes.rows:
                if row.value is not None:
                    self._apply_intake_row(row)
        self.wake()

    def _apply_intake_row(self, row: Row) -> None:
        name = read_job_name(row)
        if is_cancel(row):
            self.book.cancel(name)
            return
        if name in self.book.jobs or row.value is None:
            return
        match decode_submission(name, row.value, self._submissions):
            case Ok(submission):
                self.book.admit(submission)
            case Err(failure):
                logger.error(
                    "stored job can not be read",
                    extra={"job": name, "reason": describe_failure(failure)},
                )

    def note_stored(self, job: str, value: bytes) -> None:
        """Take over a submission that another node has just stored."""
        key = build_job_key(job)
        self._apply_intake(Changes((Row(key, value, 0),), 0))

    def note_cancelled(self, job: str) -> None:
        """Take over a cancellation that another node has just stored."""
        key = build_cancel_key(job)
        self._apply_intake(Changes((Row(key, b"{}", 0),), 0))

    def _apply_registry(self, changes: Changes) -> None:
        with self.book.lock:
            for row in changes.rows:
                self._apply_entry(row)
        self.wake()

    def _apply_entry(self, row: Row) -> None:
        if row.value is None:
            self.book.drop_worker(row.key.key)
            return
        entry = self._decoder.read_worker(row.key.key, row.value)
        if entry is None:
            return  # written by somebody else; names no worker
        worker = self.book.note_worker(entry)
        if worker is not None:
            self._start_session(worker)

    def _replace_registry(self, changes: Changes) -> None:
        self._apply_registry(changes)
        names = {row.key.key for row in changes.rows}
        with self.book.lock:
            for name in list(self.book.workers):
                if name not in names:
                    self.book.drop_worker(name)

    # Workers

    def _start_session(self, worker: WorkerState) -> None:
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
        while not self._ended.is_set() and self._is_current(worker):
            if self._hold(worker, wait):
                wait = self._settings.hold_seconds
            else:
                wait = 0.0
                self._ended.wait(self._settings.retry_seconds)
        self._stored.pop(id(worker), None)

    def _is_current(self, worker: WorkerState) -> bool:
        with self.book.lock:
            current = self.book.workers.get(worker.name)
            if current is None or current is worker:
                return current is worker
            if id(current) not in self._stored:
                # Its restart was seen in its own listing.
                self._start_session(current)
            return False

    def _extend_lease(self, worker: WorkerState) -> int | None:
        # The deadline counts as sent before it is. A worker that does not
        # answer gets no further lease: its runs have to lapse some time.
        if worker.contact is None or worker.silent:
            return None
        now = self._clock.read_monotonic()
        deadline_ms = worker.contact.estimate_clock_ms(now) + int(
            self._settings.lease_seconds * 1000
        )
        worker.sent_deadline_ms = max(worker.sent_deadline_ms, deadline_ms)
        return deadline_ms

    def _hold(self, worker: WorkerState, wait: float) -> bool:
        with self.book.lock:
            deadline_ms = self._extend_lease(worker)
            seen = worker.seen_stored
        sent = self._clock.read_monotonic()
        answer = self._workers.hold(
            worker.entry, self.term.epoch, seen, deadline_ms, wait
        )
        match answer:
            case Ok(listing):
                with self.book.lock:
                    worker.silent = False
                    worker.seen_sent = max(worker.seen_sent, seen)
                    before = worker.contact
                    known = self.book.note_hold(worker, listing, sent)
                    paces = self._pacer.adjust(worker)
                    unstored = worker.seen_applied > worker.seen_stored
                if unstored or before is None or not known:
                    self.wake()
                for pace in paces:
                    self._orders.submit(self._pace, worker, pace)
                if unstored:
                    self._wait_stored(worker)
                return known
            case Err(StartRefusedFailure(reason)) if reason == Refusal.FENCE:
                self._lose("a worker knows a newer fence")
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

    def _lose(self, why: str) -> None:
        if not self._ended.is_set():
            logger.warning(
                "term lost", extra={"epoch": self.term.epoch, "reason": why}
            )
        self._ended.set()
        self._woken.set()

    # Planning and storing

    def _run(self) -> None:
        gap = self._settings.write_gap_seconds
        while not self._ended.is_set():
            self._woken.wait(self._settings.beat_seconds)
            self._woken.clear()
            began = self._clock.read_monotonic()
            try:
                self._work()
            except Exception:
                # The next round sees the same state; a term that ended on
                # a fault would leave every job waiting for a takeover.
                logger.exception("planning failed")
            left = gap - (self._clock.read_monotonic() - began)
            if left > 0:
                self._clock.sleep(left)

    def _work(self) -> None:
        with self.book.lock, PLANNING.time():
            now = self._clock.read_monotonic()
            self.book.release_lapsed()
            self.book.stop_stuck()
            self._planner.leave_draining()
            placements = self._planner.plan(
                now, self._clock.read_wall() * 1000
            )
            stops = self.book.list_stops()
            writes, states = self._encode_dirty()
            writes += self._writes
            self._writes = []
            stores, self._waiting_stores = self._waiting_stores, []
            seen = [
                (worker, worker.seen_applied)
                for worker in self.book.workers.values()
            ]
        for stop in stops:
            self._submit_stop(stop)
        if not writes and not self._is_beat_due():
            return
        batch = self._settings.batch_rows
        for first in range(0, max(1, len(writes)), batch):
            with STORE_WRITES.time():
                outcome = self.term.write(writes[first : first + batch])
            if outcome is not Written.DONE:
                self._lose(outcome.value)
                return
        self._note_written(states, seen)
        for done in stores:
            done.set()
        self._log_pools()
        for placement in placements:
            self._orders.submit(self._start, placement)
        self._sweep()

    def _is_beat_due(self) -> bool:
        age = self._clock.read_boottime() - self.term.renewed_at
        return age >= self._settings.beat_seconds * 0.9

    def _encode_dirty(self) -> tuple[list[RowWrite], dict[str, JobState]]:
        writes = []
        states = {}
        for name in self.book.dirty:
            record = self.book.jobs[name]
            key = RowKey(PROGRESS_TABLE, PARTITION, name)
            writes.append(RowWrite(key, record.encode()))
            states[name] = record.state
        self.book.dirty.clear()
        return writes, states

    def _note_written(
        self,
        states: dict[str, JobState],
        seen: list[tuple[WorkerState, int]],
    ) -> None:
        with self.book.lock:
            for name, state in states.items():
                record = self.book.jobs.get(name)
                if record is not None:
                    record.stored = state
            for worker, number in seen:
                if number > worker.seen_stored:
                    worker.seen_stored = number
                    event = self._stored.get(id(worker))
                    if event is not None:
                        event.set()

    def _log_pools(self) -> None:
        now = self._clock.read_monotonic()
        if now - self._logged_at < self._settings.pool_log_seconds:
            return
        self._logged_at = now
        with self.book.lock:
            loads = measure_loads(self.book, now)
        for load in loads:
            logger.info("pool load", extra=vars(load))

    def _sweep(self) -> None:
        now = self._clock.read_monotonic()
        keep = self._settings.keep_seconds
        if now - self._swept_at < keep / 10:
            return
        self._swept_at = now
        with self.book.lock:
            oldest_ms = (self._clock.read_wall() - keep) * 1000
            old = [
                record.name
                for record in self.book.jobs.values()
                if record.ended is not None and record.ended_ms < oldest_ms
            ][: self._settings.batch_rows // 2]
            for name in old:
                self.book.forget_job(name)
        if not old:
            return
        self.term.write(
            [
                RowWrite(RowKey(PROGRESS_TABLE, PARTITION, name), None)
                for name in old
            ]
        )
        keys = [
            build(name)
            for name in old
            for build in (build_job_key, build_cancel_key)
        ]
        removed = self._store.commit(
            [],
            [RowWrite(key, None) for key in keys],
            Deadline.after(self._clock, self._settings.read_seconds),
        )
        logger.info(
            "old jobs removed",
            extra={"count": len(old), "stored": removed.is_ok()},
        )

    # Orders

    def _submit_stop(self, stop: Stop) -> None:
        mark = (stop.worker.name, stop.task, stop.run)
        if mark not in self._stops_sent:
            self._stops_sent.add(mark)
            self._orders.submit(self._stop, stop, mark)

    def _stop(self, stop: Stop, mark: tuple[str, str, int]) -> None:
        try:
            answer = self._workers.stop(
                stop.worker.entry, stop.task, stop.run, self.term.epoch
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
                case Ok(_) | Err(StartRefusedFailure()):
                    with self.book.lock:
                        self.book.note_stopped(
                            stop.worker, stop.task, stop.run
                        )
                case Err(_):
                    self._ended.wait(self._settings.retry_seconds)
        finally:
            self._stops_sent.discard(mark)
            self.wake()

    def _pace(self, worker: WorkerState, pace: Pace) -> None:
        answer = self._workers.pace(
            worker.entry, pace.task, pace.run, pace.percent, self.term.epoch
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
        if answer.is_ok():
            with self.book.lock:
                self._pacer.note_paced(worker, pace)

    def _start(self, placement: Placement) -> None:
        worker = placement.worker
        record = placement.record
        task = record.name_task(placement.key)
        with self.book.lock:
            placed = worker.runs.get(task)
            if (
                self._ended.is_set()
                or placed is None
                or placed.run != placement.run
            ):
                return
            deadline_ms = self._extend_lease(worker)
            if placed.stopping or deadline_ms is None:
                self.book.withdraw(worker, task, placement.run, "not sent")
                self.wake()
                return
            saved = record.get_task(placement.key).saved
        order = StartOrder(
            task,
            placement.run,
            record.submission.specification.payload,
            deadline_ms,
            self.term.epoch,
            saved,
            placement.ticket,
        )
        answer = self._workers.start(worker.entry, order)
        logger.info(
            "start sent",
            extra={
                "task": task,
                "run": placement.run,
                "worker": worker.name,
                "epoch": self.term.epoch,
                "outcome": "ok"
                if answer.is_ok()
                else describe_failure(answer.unwrap_err()),
            },
        )
        STARTS.labels("ok" if answer.is_ok() else "not started").inc()
        with self.book.lock:
            match answer:
                case Ok(_):
                    self._measure_first_start(record)
                    self.book.note_started(worker, task, placement.run)
                case Err(failure):
                    if failure == StartRefusedFailure(Refusal.TICKET):
                        self._advice.drop(
                            record.name_step(placement.key),
                            worker.name,
                            worker.entry.born_ms,
                        )
                    self._note_not_started(
                        worker, task, placement.run, failure
                    )
                    self.wake()

    def _measure_first_start(self, record: JobRecord) -> None:
        if not record.start_measured:
            record.start_measured = True
            accepted = record.submission.accepted_ms / 1000
            seconds = self._clock.read_wall() - accepted
            FIRST_STARTS.observe(max(0.0, seconds))

    def _note_not_started(
        self, worker: WorkerState, task: str, run: int, failure: object
    ) -> None:
        now = self._clock.read_monotonic()
        match failure:
            case UnknownOutcomeFailure():
                self.book.note_doubt(worker, task, run)
            case StartRefusedFailure(Refusal.FENCE):
                self._lose("a worker knows a newer fence")
            case StartRefusedFailure(reason):
                worker.avoided_until = now + self._settings.retry_seconds
                self.book.withdraw(worker, task, run, reason)
            case UnavailableFailure(reason):
                worker.avoided_until = now + self._settings.retry_seconds
                self.book.withdraw(worker, task, run, reason)
            case WrongIncarnationFailure():
                self.book.withdraw(worker, task, run, "another incarnation")
                self.book.drop_worker(worker.name)
