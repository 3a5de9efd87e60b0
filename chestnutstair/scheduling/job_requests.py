"""Handles callers' requests about jobs on every node, leader or not."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeVar

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.access import (
    Access,
    JobOwner,
    OwnerCache,
    build_owner,
    read_owner,
)
from chestnutstair.scheduling.cancellation_limit import (
    CancellationLimit,
    CancellationLimitFailure,
)
from chestnutstair.scheduling.cancellations import (
    CancelScope,
    build_scope,
    encode_scope,
    name_scope,
)
from chestnutstair.scheduling.configuration import Queue
from chestnutstair.scheduling.intake import (
    DEFAULT_LAYOUT,
    IntakeLayout,
    IntakeReader,
    IntakeStorage,
    IntakeWrite,
    decode_cancellation,
    encode_submission,
)
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.metrics import (
    SUBMISSION_SECONDS,
    SUBMISSIONS,
    UNKNOWN_CANCELLATIONS,
)
from chestnutstair.scheduling.ports import Row, RowStore
from chestnutstair.scheduling.progress import JobState
from chestnutstair.scheduling.shards.layout import ONE_SHARD, ShardLayout
from chestnutstair.scheduling.shards.names import ShardNames
from chestnutstair.scheduling.shards.queue_counts import (
    QueueCounts,
    QueueCountsSettings,
)
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fields import MalformedFieldError, parse_object

__all__ = ["JobRequestHandler", "JobRequestSettings", "LeaderLink", "Outcome"]

logger = logging.getLogger(__name__)

T = TypeVar("T")


@dataclass(frozen=True)
class JobRequestSettings:
    """Timeouts of answering callers."""

    # Timeout of one read of the store.
    attempt_seconds: float = 0.8
    # How long this node tries to write before it relays to the leader's
    # node: enough for a second attempt, which resolves a lost answer. With
    # `leader_call_seconds` it leaves a caller half of its usual 3 s, so that
    # after an unknown outcome the caller can try another node.
    local_write_seconds: float = 0.95
    # Timeout of a call to the leader's node.
    leader_call_seconds: float = 0.4
    # How long a queue's last known count is served while the leader does
    # not answer.
    pending_cache_seconds: float = 1.5


class LeaderLink(Protocol):
    """Client for calls to the leaders' nodes; `seconds` are timeouts.

    A call about a job goes to the leader of the job's shard.
    """

    def ask_job_state(
        self, job: str, seconds: float
    ) -> Result[str, PlatformFailure]:
        """Return a job's state, empty if the leader does not know the job."""
        ...

    def ask_job_owner(
        self, job: str, seconds: float
    ) -> Result[JobOwner | None, PlatformFailure]:
        """Return a job's owner, None if the leader does not know the job."""
        ...

    def ask_pending_count(
        self, queue: str, seconds: float
    ) -> Result[int, PlatformFailure]:
        """Return how many jobs of a queue have started no task."""
        ...

    def ask_pending_counts(
        self, shard: int, seconds: float
    ) -> Result[dict[str, int], PlatformFailure]:
        """Return a shard's counts of jobs without a started task, by queue."""
        ...

    def notify_stored(self, job: str, value: bytes) -> None:
        """Notify the leader of a stored submission, without waiting."""
        ...

    def notify_cancelled(self, job: str) -> None:
        """Notify the leader of a stored cancellation, without waiting."""
        ...

    def relay_submission(
        self, job: str, value: bytes, seconds: float
    ) -> Result[None, PlatformFailure]:
        """Store a submission through the leader's node."""
        ...

    def relay_cancel(
        self, job: str, seconds: float
    ) -> Result[bool, PlatformFailure]:
        """Store a cancellation through the leader's node.

        Returns whether the job is known.
        """
        ...


@dataclass(frozen=True)
class Outcome:
    """The outcome of a caller's request.

    - `known`: whether the job exists.
    - `state`: the job's state, for a query about a job.
    - `pending`: how many jobs have started no task, for a query about a
      queue.
    - `retry_after_seconds`: when a caller whose submission was refused
      should return; 0 if it is not known.
    - `failure`: None on success. UnavailableFailure means that nothing was
      stored, UnknownOutcomeFailure that it may have been stored.
    """

    known: bool = True
    state: str = ""
    pending: int = 0
    retry_after_seconds: int = 0
    failure: PlatformFailure | None = None


def _read_progress_state(value: bytes | None) -> JobState:
    """Return the state in a stored progress; QUEUED if there is none.

    Raises MalformedFieldError if it cannot be decoded.
    """
    if value is None:
        return JobState.QUEUED
    fields = parse_object(value)
    try:
        if fields.get("ended"):
            return JobState(fields["ended"])
        started = any(task[1] for task in fields.get("tasks", {}).values())
    except (AttributeError, LookupError, TypeError, ValueError) as error:
        raise MalformedFieldError(repr(error)) from error
    return JobState.RUNNING if started else JobState.QUEUED


def _is_cancelled(submission: bytes, rows: Iterable[Row]) -> bool:
    """Return whether one of the rows cancels the submitted job."""
    owner = read_owner(submission)
    for row in rows:
        match decode_cancellation(row):
            case Ok(cancellation):
                scope = cancellation.scope
                if scope is None or (owner and scope.covers(owner)):
                    return True
    return False


def _find_default_layout(job: str) -> IntakeLayout:
    return DEFAULT_LAYOUT


def _combine_results(
    own: Result[T, PlatformFailure], relayed: Result[T, PlatformFailure]
) -> Result[T, PlatformFailure]:
    """Combine this node's attempt and the one relayed to the leader's node.

    If both failed and the first may have been applied, the outcome remains
    unknown.
    """
    match own:
        case Err(UnknownOutcomeFailure()) if relayed.is_err():
            return own
    return relayed


class _Visibility(Enum):
    """What a caller may know of a job."""

    VISIBLE = "visible"
    HIDDEN = "hidden"  # it belongs to others
    UNKNOWN = "unknown"  # neither the leader nor the store has it


class JobRequestHandler:
    """Stores submissions and cancellations; answers queries about jobs.

    - `get_leader`: returns the leader of a shard if this node leads it.
    - `get_layout`: returns the layout, None while it is not known. The node
      counts as cut off until then.
    """

    def __init__(
        self,
        store: RowStore,
        link: LeaderLink,
        get_leader: Callable[[int], Leader | None],
        is_cut_off: Callable[[], bool],
        clock: Clock,
        settings: JobRequestSettings,
        find_layout: Callable[[str], IntakeLayout] = _find_default_layout,
        get_layout: Callable[[], ShardLayout | None] = lambda: ONE_SHARD,
    ) -> None:
        self._get_layout = get_layout
        self._counts = QueueCounts(
            self._ask_pending_counts, clock, QueueCountsSettings()
        )
        self._store = store
        self._find_layout = find_layout
        self._reader = IntakeReader(store, clock, settings.attempt_seconds)
        self._storage = IntakeStorage(store, self._reader, clock)
        self._is_cut_off = is_cut_off
        self._link = link
        self._get_leader = get_leader
        self._clock = clock
        self._settings = settings
        self._owners = OwnerCache()
        self._unknown_limit = CancellationLimit(clock)
        # The leader's last count of pending jobs and its time, by queue.
        self._pending: dict[str, tuple[int, float]] = {}

    # Shards

    def _find_names(self, job: str) -> ShardNames:
        layout = self._get_layout() or ONE_SHARD
        return ShardNames(layout.find_shard_of_job(job))

    def _get_job_leader(self, job: str) -> Leader | None:
        """Return the leader of the job's shard if this node leads it."""
        return self._get_leader(self._find_names(job).shard)

    def _ask_pending_counts(
        self, shard: int
    ) -> Result[dict[str, int], PlatformFailure]:
        leader = self._get_leader(shard)
        if leader is not None:
            return Ok(leader.count_pending_by_queue())
        seconds = self._settings.leader_call_seconds
        return self._link.ask_pending_counts(shard, seconds)

    # Submissions

    def submit(
        self,
        queue: Queue,
        job: str,
        body: bytes,
        deadline: Deadline,
        organisation: str = "",
    ) -> Outcome:
        """Store a job, which belongs to the organisation if there is one.

        A repeated submission under the same name changes nothing and
        succeeds. A node that is cut off refuses the job at once, so that the
        caller can try another one.
        """
        if self._is_cut_off():
            return self._refuse_cut_off(job)
        began = self._clock.read_monotonic()
        accepted_ms = int(self._clock.read_wall() * 1000)
        value = encode_submission(queue, accepted_ms, body, organisation)
        result = self.store_submission(
            job, value, self._limit_local_attempts(deadline)
        )
        is_relayed = self._may_relay(job, result)
        if is_relayed:
            relayed = self._link.relay_submission(
                job, value, self._compute_relay_seconds(deadline)
            )
            key = self._find_layout(job).build_job_key(job)
            self._storage.record_relay(key, relayed)
            result = _combine_results(result, relayed)
        logger.info(
            "submission",
            extra={
                "job": job,
                "queue": queue.name,
                "organisation": organisation,
                "outcome": "stored" if result.is_ok() else str(result.err()),
                "relayed": is_relayed,
                "remaining_seconds": round(
                    deadline.get_remaining_seconds(self._clock), 3
                ),
            },
        )
        elapsed_seconds = self._clock.read_monotonic() - began
        SUBMISSION_SECONDS.observe(elapsed_seconds)
        failure = result.err()
        kind = "stored" if failure is None else type(failure).__name__
        SUBMISSIONS.labels(kind).inc()
        return self._describe_failure(failure)

    def _describe_failure(self, failure: PlatformFailure | None) -> Outcome:
        match failure:
            case None | UnknownOutcomeFailure():
                return Outcome(failure=failure)
        seconds = self._storage.compute_retry_after()
        return Outcome(failure=failure, retry_after_seconds=seconds)

    def _may_relay(self, job: str, result: Result[T, PlatformFailure]) -> bool:
        match result:
            case Err(CancellationLimitFailure()):
                return False
            case Err(failure):
                return self._get_job_leader(
                    job
                ) is None and self._storage.may_relay(failure)
        return False

    @staticmethod
    def _refuse_cut_off(job: str) -> Outcome:
        logger.info("request refused: cut off", extra={"job": job})
        return Outcome(failure=UnavailableFailure("cut off"))

    def _limit_local_attempts(self, deadline: Deadline) -> Deadline:
        """Return the deadline of this node's own attempts to write."""
        own = Deadline.after(self._clock, self._settings.local_write_seconds)
        return own if own.at < deadline.at else deadline

    def _compute_relay_seconds(self, deadline: Deadline) -> float:
        remaining_seconds = deadline.get_remaining_seconds(self._clock)
        return min(remaining_seconds, self._settings.leader_call_seconds)

    def store_submission(
        self, job: str, value: bytes, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Store a submission and notify the leader; idempotent.

        `value` is the encoded submission.
        """
        if self._get_layout() is None:
            return Err(UnavailableFailure("layout not known"))
        key = self._find_layout(job).build_job_key(job)
        result = self._storage.store(IntakeWrite(key, value, True), deadline)
        if result.is_ok():
            leader = self._get_job_leader(job)
            if leader is not None:
                leader.apply_submission(job, value)
            else:
                self._link.notify_stored(job, value)
        return result

    # Cancellations

    def cancel(
        self, job: str, deadline: Deadline, access: Access | None = None
    ) -> Outcome:
        """Cancel a job permanently, also one that is not known yet.

        A job that `access` does not show is answered like an unknown one.
        """
        if self._is_cut_off():
            return self._refuse_cut_off(job)
        scope = None
        match self._check_access(job, deadline, access):
            case Err(failure):
                return Outcome(failure=failure)
            case Ok(_Visibility.HIDDEN):
                return Outcome(known=False)
            case Ok(_Visibility.UNKNOWN) if access is not None:
                scope = build_scope(access)
        result = self.store_cancel(
            job, self._limit_local_attempts(deadline), scope
        )
        # The leader's node checks no keys: only jobs that the caller may
        # cancel are relayed.
        if scope is None and self._may_relay(job, result):
            relayed = self._link.relay_cancel(
                job, self._compute_relay_seconds(deadline)
            )
            key = self._find_layout(job).build_cancel_key(job)
            self._storage.record_relay(key, relayed)
            result = _combine_results(result, relayed)
        logger.info("cancellation", extra={"job": job, "outcome": str(result)})
        match result:
            case Ok(known):
                return Outcome(known=known)
            case Err(failure):
                return self._describe_failure(failure)
        raise AssertionError(result)

    def store_cancel(
        self, job: str, deadline: Deadline, scope: CancelScope | None = None
    ) -> Result[bool, PlatformFailure]:
        """Store a cancellation and notify the leader.

        Returns whether the job is known. The cancellation of an unknown job
        is stored as well: a write of its submission may still be done. It has
        a scope if the caller may not cancel the jobs of all organisations.
        """
        if self._get_layout() is None:
            return Err(UnavailableFailure("layout not known"))
        layout = self._find_layout(job)
        if scope is not None:
            key = layout.build_cancel_key(job, scope=name_scope(scope))
            write = IntakeWrite(key, encode_scope(scope), False)
            return self._store_unknown(write, deadline).map(lambda _: False)
        write = IntakeWrite(layout.build_cancel_key(job), b"{}", False)
        match self._reader.find_submission(layout, job, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(submission):
                is_known = submission is not None
        if is_known:
            stored = self._storage.store(write, deadline)
        else:
            stored = self._store_unknown(write, deadline)
        match stored:
            case Err(failure):
                return Err(failure)
        leader = self._get_job_leader(job)
        if leader is not None:
            leader.apply_cancellation(job)
        else:
            self._link.notify_cancelled(job)
        return Ok(is_known)

    def _store_unknown(
        self, write: IntakeWrite, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Store the cancellation of an unknown job."""
        if not self._unknown_limit.admit():
            UNKNOWN_CANCELLATIONS.labels("refused").inc()
            return Err(CancellationLimitFailure("too many unknown jobs"))
        stored = self._storage.store(write, deadline)
        outcome = "stored" if stored.is_ok() else "failed"
        UNKNOWN_CANCELLATIONS.labels(outcome).inc()
        return stored

    # Access

    def _check_access(
        self, job: str, deadline: Deadline, access: Access | None
    ) -> Result[_Visibility, PlatformFailure]:
        """Return whether the caller may see the job, if it exists."""
        if access is None or not access.is_restricted:
            return Ok(_Visibility.VISIBLE)
        match self._find_owner(job, deadline):
            case Err(failure):
                logger.info(
                    "request refused: owner of the job not known",
                    extra={"job": job, "reason": str(failure)},
                )
                return Err(failure)
            case Ok(owner):
                if owner is None:
                    return Ok(_Visibility.UNKNOWN)
                if access.may_see(owner):
                    return Ok(_Visibility.VISIBLE)
        logger.info(
            "job of another organisation requested",
            extra={
                "job": job,
                "queue": access.queue.name,
                "organisations": access.organisations,
            },
        )
        return Ok(_Visibility.HIDDEN)

    def _find_owner(
        self, job: str, deadline: Deadline
    ) -> Result[JobOwner | None, PlatformFailure]:
        """Return a job's owner, from the leader or else from the store."""
        owner = self._owners.find(job)
        if owner is not None:
            return Ok(owner)
        leader = self._get_job_leader(job)
        if leader is not None:
            owner = self.get_owner(leader, job)
        else:
            seconds = self._compute_relay_seconds(deadline)
            owner = self._link.ask_job_owner(job, seconds).unwrap_or(None)
        if owner is None:
            layout = self._find_layout(job)
            match self._reader.find_submission(layout, job, deadline):
                case Err(failure):
                    # Nothing was written, so the outcome is not unknown.
                    return Err(UnavailableFailure(str(failure)))
                case Ok(value) if value is not None:
                    owner = read_owner(value)
        if owner is not None:
            self._owners.add(job, owner)
        return Ok(owner)

    @staticmethod
    def get_owner(leader: Leader, job: str) -> JobOwner | None:
        """Return a job's owner, None if the leader does not know the job."""
        with leader.tracker.lock:
            record = leader.tracker.jobs.get(job)
            return None if record is None else build_owner(record.submission)

    # Queries

    def describe_job(
        self, job: str, deadline: Deadline, access: Access | None = None
    ) -> Outcome:
        """Return a job's state, from the leader or else from the store.

        The store is read if the leader does not answer or does not know the
        job. A job that `access` does not show is answered like an unknown
        one.
        """
        if self._is_cut_off():
            return self._refuse_cut_off(job)
        match self._check_access(job, deadline, access):
            case Err(failure):
                return Outcome(failure=failure)
            case Ok(_Visibility.HIDDEN | _Visibility.UNKNOWN):
                return Outcome(known=False)
        leader = self._get_job_leader(job)
        if leader is not None:
            state = self.get_stored_state(leader, job)
        else:
            answer = self._link.ask_job_state(
                job, self._settings.leader_call_seconds
            )
            state = answer.unwrap_or("")
        if state:
            return Outcome(state=state)
        return self._read_state(job, deadline)

    @staticmethod
    def get_stored_state(leader: Leader, job: str) -> str:
        """Return a job's state as last stored, empty for an unknown job."""
        with leader.tracker.lock:
            record = leader.tracker.jobs.get(job)
            return record.stored_state.value if record is not None else ""

    def _read_state(self, job: str, deadline: Deadline) -> Outcome:
        layout = self._find_layout(job)
        stored = self._reader.find_submission(layout, job, deadline)
        if stored.is_err():
            return Outcome(failure=stored.err())
        submission = stored.unwrap()
        if submission is None:
            return Outcome(known=False)
        progress = self._reader.read_key(
            self._find_names(job).build_progress_key(job), deadline
        )
        cancelled = self._reader.find_cancellations(layout, job, deadline)
        if progress.is_err() or cancelled.is_err():
            return Outcome(failure=progress.err() or cancelled.err())
        value = progress.unwrap()
        try:
            state = _read_progress_state(value)
        except MalformedFieldError as error:
            logger.error(
                "cannot read the progress of a job",
                extra={"job": job, "reason": str(error)},
            )
            return Outcome(failure=UnavailableFailure("unreadable progress"))
        ended = state not in (JobState.RUNNING, JobState.QUEUED)
        if not ended and _is_cancelled(submission, cancelled.unwrap()):
            return Outcome(state=JobState.CANCELLED)
        return Outcome(state=state)

    def _count_in_all(self, queue: Queue, shards: int) -> Outcome:
        match self._counts.count(queue.name, shards):
            case Ok(count):
                return Outcome(pending=count)
            case Err(failure):
                return Outcome(failure=failure)
        raise AssertionError(queue)

    def count_pending(self, queue: Queue) -> Outcome:
        """Return how many jobs of a queue have started no task.

        While the leader does not answer, its last count is returned for
        `pending_cache_seconds`.
        """
        layout = self._get_layout()
        if layout is None:
            return Outcome(failure=UnavailableFailure("layout not known"))
        if layout.shards > 1:
            return self._count_in_all(queue, layout.shards)
        now = self._clock.read_monotonic()
        leader = self._get_leader(0)
        if leader is not None:
            with leader.tracker.lock:
                return Outcome(
                    pending=leader.tracker.count_pending(queue.name)
                )
        seconds = self._settings.leader_call_seconds
        match self._link.ask_pending_count(queue.name, seconds):
            case Ok(count):
                self._pending[queue.name] = (count, now)
                return Outcome(pending=count)
            case Err(failure):
                count, at = self._pending.get(queue.name, (0, 0.0))
                if at and now - at <= self._settings.pending_cache_seconds:
                    return Outcome(pending=count)
                return Outcome(failure=failure)
        raise AssertionError(queue)
