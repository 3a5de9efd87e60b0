"""The leader's control loop: plans, stores results and sends orders."""

import logging
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from chestnutstair.scheduling.advice import AdviceCache
from chestnutstair.scheduling.cancellation_sweep import CancellationSweep
from chestnutstair.scheduling.change_feed import ChangeFeed
from chestnutstair.scheduling.configuration import FleetConfiguration
from chestnutstair.scheduling.intake import (
    DEFAULT_LAYOUT,
    INTAKE_PARTITION,
    IntakeLayout,
    IntakeTable,
    build_cancel_key,
    build_job_key,
    decode_cancellation,
    decode_submission,
    is_cancellation,
    parse_job_name,
)
from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.load import measure_loads
from chestnutstair.scheduling.metrics import (
    PLANNING_SECONDS,
    TERM_WRITE_SECONDS,
)
from chestnutstair.scheduling.orders import OrderSender
from chestnutstair.scheduling.placement import Planner
from chestnutstair.scheduling.ports import (
    Changes,
    Row,
    RowStore,
    RowWrite,
    SubmissionCodec,
    WireDecoder,
)
from chestnutstair.scheduling.progress import JobState
from chestnutstair.scheduling.sessions import WorkerSessions
from chestnutstair.scheduling.shards.names import PROGRESS_TABLE
from chestnutstair.scheduling.shards.registry import RegistryFilter
from chestnutstair.scheduling.shards.shard import ONLY_SHARD, Shard
from chestnutstair.scheduling.term import Term, WriteOutcome
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["Leader", "LeaderSettings", "split_batches"]

logger = logging.getLogger(__name__)

REGISTRY_TABLE = "servers"
REGISTRY_PARTITION = ""


# Bytes of the values in one write. The store accepts 1 MB, in base64.
BATCH_BYTES = 500_000


def split_batches(
    writes: list[RowWrite], batch_rows: int
) -> list[list[RowWrite]]:
    """Split rows into writes that the store accepts; at least one."""
    batches: list[list[RowWrite]] = [[]]
    size = 0
    for write in writes:
        write_bytes = len(write.value or b"")
        batch = batches[-1]
        if batch and (
            len(batch) >= batch_rows or size + write_bytes > BATCH_BYTES
        ):
            batches.append([])
            size = 0
        batches[-1].append(write)
        size += write_bytes
    return batches


@dataclass(frozen=True)
class LeaderSettings:
    """Intervals, timeouts and batch size of the leader's control loop."""

    # Longest time between writes, each of which also renews the term.
    renew_interval_seconds: float = 0.4
    # How long the term is renewed while its leader loads. With thousands of
    # jobs that takes longer than other nodes wait for a write.
    max_load_seconds: float = 8.0
    # Shortest time between writes, so that changes close together share one.
    min_write_interval_seconds: float = 0.02
    # Time between reads of the intake table. Other nodes also send new rows
    # directly.
    intake_poll_seconds: float = 0.3
    # Time between reads of the registry; short, so that the worker of a moved
    # VM is used at once.
    registry_poll_seconds: float = 0.05
    # Rows per write; the store accepts at most 100.
    batch_rows: int = 90
    # How long finished jobs remain available; callers are promised 120 s.
    retention_seconds: float = 150.0
    # How long a removed job is not admitted again: longer than a read of the
    # whole intake table takes, which may have begun before the removal.
    remember_removed_seconds: float = 30.0
    # Time between two removals while more jobs are old than one removes.
    removal_pause_seconds: float = 1.0
    # Deadline of a removal of old submissions. The next write of the term
    # waits for it, and other nodes replace a leader that does not write.
    removal_timeout_seconds: float = 0.4
    # Deadline of reads from the store.
    store_timeout_seconds: float = 3.0
    # Deadline of reading the registry where there are several shards: it has
    # the workers of all, 3,000 of which take 5 s over a link of 2 Mbit/s.
    registry_load_seconds: float = 7.0
    # Time between log records of the load of each pool.
    pool_log_interval_seconds: float = 1.0
    # How long end() waits for a write in progress; slightly longer than one
    # attempt.
    stop_timeout_seconds: float = 1.5


class Leader:
    """Runs the scheduler for one term, on state loaded from the store."""

    def __init__(
        self,
        leadership: Leadership,
        tracker: JobTracker,
        planner: Planner,
        advice: AdviceCache,
        store: RowStore,
        sessions: WorkerSessions,
        orders: OrderSender,
        decoder: WireDecoder,
        submissions: SubmissionCodec,
        get_configuration: Callable[[], FleetConfiguration | None],
        clock: Clock,
        settings: LeaderSettings,
        layout: IntakeLayout = DEFAULT_LAYOUT,
        shard: Shard = ONLY_SHARD,
    ) -> None:
        self._names = shard.names
        self._is_only_shard = shard.is_only
        self._registry = RegistryFilter(shard, decoder)
        self._leadership = leadership
        self.tracker = tracker
        self._planner = planner
        self._advice = advice
        self._store = store
        self._layout = layout
        self._intake = IntakeTable(store, layout)
        self._sessions = sessions
        self._orders = orders
        self._submissions = submissions
        self._get_configuration = get_configuration
        self._clock = clock
        self._settings = settings
        self._thread = threading.Thread(
            target=self._run, name="leader", daemon=True
        )
        self._feeds: list[ChangeFeed] = []
        self._queued_writes: list[RowWrite] = []
        self._pending_stores: list[threading.Event] = []
        self._start_callbacks: list[Callable[[], None]] = []
        self._logged_at = 0.0
        self._last_planning_seconds = 0.0
        self._next_removal_at = (
            clock.read_monotonic() + settings.retention_seconds / 10
        )
        # Jobs removed in the last remember_removed_seconds, and when.
        self._removed: dict[str, float] = {}
        self._last_round_seconds = 0.0
        self._sweep = CancellationSweep(store, layout, tracker, clock)

    @property
    def term(self) -> Term:
        """Return the term that this leader holds."""
        return self._leadership.term

    # Start and stop

    def load(self) -> bool:
        """Load jobs, progress and workers from the store.

        Renews the term meanwhile. Return False if the store did not answer.
        """
        loaded = threading.Event()
        renewal = threading.Thread(
            target=self._renew_until, args=(loaded,), name="renewal"
        )
        renewal.start()
        try:
            return self._load()
        finally:
            loaded.set()
            renewal.join()

    def _renew_until(self, loaded: threading.Event) -> None:
        deadline = Deadline.after(self._clock, self._settings.max_load_seconds)
        while not (
            loaded.wait(self._settings.renew_interval_seconds)
            or deadline.has_passed(self._clock)
        ):
            outcome = self.term.write([])
            if outcome is not WriteOutcome.DONE:
                self._leadership.mark_lost(outcome.value)
                return

    def _load(self) -> bool:
        deadline = Deadline.after(
            self._clock, self._settings.store_timeout_seconds
        )
        progress = self._store.read(
            PROGRESS_TABLE, self._names.partition, deadline
        )
        intake = self._intake.read(
            self._layout.table, INTAKE_PARTITION, deadline
        )
        if not self._is_only_shard:
            deadline = Deadline.after(
                self._clock, self._settings.registry_load_seconds
            )
        registry = self._store.read(
            REGISTRY_TABLE, REGISTRY_PARTITION, deadline
        )
        if progress.is_err() or intake.is_err() or registry.is_err():
            logger.warning(
                "cannot start the term: the store does not answer",
                extra={"epoch": self.term.epoch},
            )
            return False
        stored = {row.key.key: row.value for row in progress.unwrap().rows}
        with self.tracker.lock:
            self._refresh_configuration()
            for row in intake.unwrap().rows:
                try:
                    self._restore_row(row, stored)
                except Exception:
                    # One job must not keep each new leader from loading.
                    logger.exception(
                        "cannot restore a stored job",
                        extra={"job": parse_job_name(row)},
                    )
            self.tracker.sort_arrivals()
            for row in intake.unwrap().rows:
                if is_cancellation(row):
                    self._apply_cancellation_row(row)
            self._apply_registry(registry.unwrap())
        self._feeds = [
            ChangeFeed(
                self._intake,
                self._clock,
                self._layout.table,
                INTAKE_PARTITION,
                intake.unwrap().version,
                self._apply_intake,
                self._replace_intake,
                self._settings.intake_poll_seconds,
            ),
            ChangeFeed(
                self._store,
                self._clock,
                REGISTRY_TABLE,
                REGISTRY_PARTITION,
                registry.unwrap().version,
                self._apply_registry,
                self._replace_registry,
                self._settings.registry_poll_seconds,
            ),
        ]
        return True

    def _restore_row(self, row: Row, stored: dict[str, bytes | None]) -> None:
        if is_cancellation(row) or row.value is None:
            return
        name = parse_job_name(row)
        if name in self.tracker.jobs:
            return  # also stored in partition 0, before an upgrade
        match decode_submission(name, row.value, self._submissions):
            case Ok(submission):
                self.tracker.restore_job(submission, stored.get(name))
            case Err(failure):
                logger.error(
                    "cannot decode a stored job",
                    extra={"job": name, "reason": describe_failure(failure)},
                )

    def start(self) -> None:
        """Start planning and following the store."""
        for feed in self._feeds:
            feed.start()
        threading.Thread(
            target=self._advice.run,
            args=(self.wake,),
            name="advice",
            daemon=True,
        ).start()
        for callback in self._start_callbacks:
            callback()
        self._thread.start()
        self._leadership.planner_wakeup.set()

    def end(self, release: bool, avoided_zone: str = "") -> None:
        """Stop sending orders and end the term.

        With `release`, write to the store that the term is over, so that
        another node can take over at once; nodes in `avoided_zone`
        wait before they do.
        """
        self._leadership.end()
        for feed in self._feeds:
            feed.stop()
        if self._thread.is_alive():
            self._thread.join(self._settings.stop_timeout_seconds)
        # A write that is still retrying means that the store cannot be
        # reached, so the term cannot be released either.
        if release and not self._thread.is_alive():
            outcome = self.term.release(avoided_zone)
            logger.info(
                "term released",
                extra={"epoch": self.term.epoch, "outcome": outcome.value},
            )
        self._orders.close()
        self._advice.close()

    @property
    def has_ended(self) -> bool:
        """Return whether the term is over."""
        return self._leadership.has_ended

    def wake(self) -> None:
        """Wake the control loop for a planning round."""
        self._leadership.planner_wakeup.set()

    def _refresh_configuration(self) -> None:
        configuration = self._get_configuration()
        current_version = self.tracker.configuration.version
        if (
            configuration is not None
            and configuration.version > current_version
        ):
            self.tracker.configuration = configuration
            logger.info(
                "configuration updated",
                extra={
                    "version": configuration.version,
                    "before": current_version,
                },
            )

    def add_start_callback(self, start: Callable[[], None]) -> None:
        """Register a callback for when the leader starts.

        What it starts must stop when the term ends.
        """
        self._start_callbacks.append(start)

    def store(self, writes: list[RowWrite], seconds: float) -> bool:
        """Write rows under the term and wait for up to `seconds`.

        Return whether they were stored in that time.
        """
        done = threading.Event()
        with self.tracker.lock:
            self._queued_writes += writes
            self._pending_stores.append(done)
        self.wake()
        return done.wait(seconds) and not self._leadership.has_ended

    def queue_write(self, write: RowWrite) -> None:
        """Add a row to the next write of the term."""
        with self.tracker.lock:
            self._queued_writes.append(write)
        self.wake()

    # Changes from the store

    def _apply_intake(self, changes: Changes) -> None:
        # A table that is read as a whole has cancellations first.
        rows = sorted(changes.rows, key=is_cancellation)
        with self.tracker.lock:
            for row in rows:
                if row.value is None:
                    self.tracker.early_cancellations.remove(row.key)
                    continue
                try:
                    self._apply_intake_row(row)
                except Exception:
                    # The feed does not read the rows behind it again.
                    logger.exception(
                        "cannot apply an intake row",
                        extra={"job": parse_job_name(row)},
                    )
        self.wake()

    def _replace_intake(self, changes: Changes) -> None:
        self._apply_intake(changes)
        keys = {row.key for row in changes.rows}
        with self.tracker.lock:
            self.tracker.early_cancellations.retain(keys, changes.version)

    def _apply_intake_row(self, row: Row) -> None:
        name = parse_job_name(row)
        if is_cancellation(row):
            self._apply_cancellation_row(row)
            return
        if name in self.tracker.jobs or row.value is None:
            return
        if name in self._removed:
            return  # read before its row was removed
        match decode_submission(name, row.value, self._submissions):
            case Ok(submission):
                self.tracker.admit(submission)
            case Err(failure):
                logger.error(
                    "cannot decode a stored job",
                    extra={"job": name, "reason": describe_failure(failure)},
                )

    def _apply_cancellation_row(self, row: Row) -> None:
        match decode_cancellation(row):
            case Ok(cancellation):
                self.tracker.apply_cancellation(cancellation)
            case Err(failure):
                logger.error(
                    "cannot decode a cancellation",
                    extra={
                        "job": parse_job_name(row),
                        "reason": describe_failure(failure),
                    },
                )

    def apply_submission(self, job: str, value: bytes) -> None:
        """Apply a submission that another node has just stored."""
        key = build_job_key(job, self._layout)
        self._apply_intake(Changes((Row(key, value, 0),), 0))

    def apply_cancellation(self, job: str) -> None:
        """Apply a cancellation that another node has just stored."""
        key = build_cancel_key(job, self._layout)
        self._apply_intake(Changes((Row(key, b"{}", 0),), 0))

    def _apply_registry(self, changes: Changes) -> None:
        with self.tracker.lock:
            for row in changes.rows:
                try:
                    self._apply_entry(row)
                except Exception:
                    # An error for one entry must not keep the others from
                    # being applied, or a leader from loading.
                    logger.exception(
                        "registry entry cannot be applied",
                        extra={"worker": row.key.key},
                    )
        self.wake()

    def _apply_entry(self, row: Row) -> None:
        name = row.key.key
        if row.value is None:
            if not self._registry.is_foreign(name):
                self.tracker.mark_worker_gone(name)
            self._registry.forget(name)
            return
        entry = self._registry.read_worker(name, row.value)
        if entry is None:
            return  # not a worker entry, or one of another shard
        worker = self.tracker.apply_worker_entry(entry)
        if worker is not None:
            self._sessions.start_session(worker)
            return
        known = self.tracker.workers.get(name)
        if known is not None and known.claim is entry:
            self._sessions.start_probe(known, entry)

    def _replace_registry(self, changes: Changes) -> None:
        self._apply_registry(changes)
        names = {row.key.key for row in changes.rows}
        with self.tracker.lock:
            self._registry.retain(names)
            for name in list(self.tracker.workers):
                if name not in names:
                    self.tracker.mark_worker_gone(name)

    def count_pending_by_queue(self) -> dict[str, int]:
        """Return how many jobs of each queue wait for their first task."""
        with self.tracker.lock:
            return dict(
                Counter(
                    record.submission.queue.name
                    for record in self.tracker.active.values()
                    if not record.start_confirmed
                )
            )

    # Planning and storing

    def _run(self) -> None:
        while not self._leadership.has_ended:
            self._leadership.planner_wakeup.wait(
                self._settings.renew_interval_seconds
            )
            self._leadership.planner_wakeup.clear()
            began = self._clock.read_monotonic()
            try:
                self._run_round()
            except Exception:
                # The next round starts from the same state. Ending the term
                # on an error would stall every job until a takeover.
                logger.exception("planning round failed")
            elapsed = self._clock.read_monotonic() - began
            self._last_round_seconds = elapsed + self._last_planning_seconds
            remaining = self._settings.min_write_interval_seconds - elapsed
            # Sleeps at least as long as planning took, so that the other
            # threads get half of the time even if planning exceeds the
            # interval.
            self._clock.sleep(max(remaining, self._last_planning_seconds))

    def _run_round(self) -> None:
        with self.tracker.lock, PLANNING_SECONDS.time():
            now = self._clock.read_monotonic()
            self._refresh_configuration()
            self.tracker.release_expired()
            self.tracker.stop_stuck_runs()
            self._planner.evict_from_draining()
            limit = self._orders.limit_starts(self._last_round_seconds)
            placements = self._planner.plan(
                now, self._clock.read_wall() * 1000, limit
            )
            stops = self.tracker.list_stop_requests()
            writes, states = self._encode_dirty()
            writes += self._queued_writes
            self._queued_writes = []
            stores, self._pending_stores = self._pending_stores, []
            applied = [
                (worker, worker.applied_end)
                for worker in self.tracker.workers.values()
            ]
            self._last_planning_seconds = self._clock.read_monotonic() - now
        for stop in stops:
            self._orders.submit_stop(stop)
        if not limit:
            self._orders.wake_when_sent()
        if not writes and not self._is_renewal_due():
            return
        for batch in split_batches(writes, self._settings.batch_rows):
            with TERM_WRITE_SECONDS.time():
                outcome = self.term.write(batch)
            if outcome is not WriteOutcome.DONE:
                self._leadership.mark_lost(outcome.value)
                return
        self._mark_written(states, applied)
        for done in stores:
            done.set()
        self._log_pools()
        for placement in placements:
            self._orders.submit_start(placement)
        if limit and len(placements) >= limit:
            self._orders.wake_when_sent()
        self._remove_old_jobs()
        self._sweep.run()

    def _is_renewal_due(self) -> bool:
        age = self._clock.read_boottime() - self.term.renewed_at
        return age >= self._settings.renew_interval_seconds * 0.9

    def _encode_dirty(self) -> tuple[list[RowWrite], dict[str, JobState]]:
        writes = []
        states = {}
        for name in self.tracker.dirty:
            record = self.tracker.jobs[name]
            key = self._names.build_progress_key(name)
            writes.append(RowWrite(key, record.encode()))
            states[name] = record.state
        self.tracker.dirty.clear()
        return writes, states

    def _mark_written(
        self,
        states: dict[str, JobState],
        applied: list[tuple[WorkerState, int]],
    ) -> None:
        with self.tracker.lock:
            for name, state in states.items():
                record = self.tracker.jobs.get(name)
                if record is not None:
                    record.stored_state = state
            for worker, number in applied:
                if number > worker.stored_end:
                    worker.stored_end = number
                    self._sessions.signal_ends_stored(worker)

    def _log_pools(self) -> None:
        now = self._clock.read_monotonic()
        if now - self._logged_at < self._settings.pool_log_interval_seconds:
            return
        self._logged_at = now
        with self.tracker.lock:
            loads = measure_loads(self.tracker, now)
        for load in loads:
            extra = {"shard": self._names.shard, **vars(load)}
            logger.info("pool load", extra=extra)

    def _remove_old_jobs(self) -> None:
        now = self._clock.read_monotonic()
        retention_seconds = self._settings.retention_seconds
        if now < self._next_removal_at:
            return
        self._next_removal_at = now + retention_seconds / 10
        with self.tracker.lock:
            oldest_ms = (self._clock.read_wall() - retention_seconds) * 1000
            old = [
                record.name
                for record in self.tracker.jobs.values()
                if record.ended is not None and record.ended_ms < oldest_ms
            ]
        batch_jobs = self._settings.batch_rows // 2
        if len(old) > batch_jobs:
            self._next_removal_at = now + self._settings.removal_pause_seconds
            old = old[:batch_jobs]
        if not old:
            return
        # A submission without progress is a job that has not begun. The
        # submissions go first, so that no failure leaves one.
        stored = self._remove_intake_rows(old)
        logger.info(
            "old jobs removed",
            extra={"count": len(old), "stored": stored},
        )
        if not stored:
            return
        with self.tracker.lock:
            self._remember_removed(old, now)
            for name in old:
                self.tracker.forget_job(name)
        self.term.write(
            [
                RowWrite(self._names.build_progress_key(name), None)
                for name in old
            ]
        )

    def _remember_removed(self, jobs: list[str], now: float) -> None:
        since = now - self._settings.remember_removed_seconds
        self._removed = {
            name: at for name, at in self._removed.items() if at >= since
        }
        self._removed.update(dict.fromkeys(jobs, now))

    def _remove_intake_rows(self, jobs: list[str]) -> bool:
        """Remove the rows of jobs; return whether all were removed.

        A transaction has one partition. At most half of `batch_rows` jobs
        are passed, and each has two rows in each of its partitions.
        """
        removals: dict[str, list[RowWrite]] = {}
        for job in jobs:
            for partition in self._layout.list_lookup_partitions(job):
                removals.setdefault(partition, []).extend(
                    RowWrite(build(job, partition), None)
                    for build in (
                        self._layout.build_job_key,
                        self._layout.build_cancel_key,
                    )
                )
        deadline = Deadline.after(
            self._clock, self._settings.removal_timeout_seconds
        )
        results = [
            self._store.commit([], writes, deadline)
            for writes in removals.values()
        ]
        return all(result.is_ok() for result in results)
