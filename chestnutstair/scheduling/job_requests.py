"""Handles callers' requests about jobs on every node, leader or not."""

import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    RefusedFailure,
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
from chestnutstair.scheduling.configuration import Queue
from chestnutstair.scheduling.intake import (
    build_cancel_key,
    build_job_key,
    encode_submission,
)
from chestnutstair.scheduling.leader import PROGRESS_TABLE, Leader
from chestnutstair.scheduling.metrics import (
    SUBMISSION_SECONDS,
    SUBMISSIONS,
)
from chestnutstair.scheduling.ports import (
    ConditionFailure,
    Expectation,
    RowKey,
    RowStore,
    RowWrite,
)
from chestnutstair.scheduling.progress import JobState
from chestnutstair.scheduling.term import PARTITION
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["JobRequestHandler", "JobRequestSettings", "LeaderLink", "Outcome"]

logger = logging.getLogger(__name__)

T = TypeVar("T")


@dataclass(frozen=True)
class JobRequestSettings:
    """Timeouts of answering callers."""

    # Timeout of one read or write of the store; a write usually takes
    # 0.012 s.
    attempt_seconds: float = 0.8
    # How long this node tries to write before it relays to the leader's
    # node: enough for a second attempt, which resolves a lost answer. With
    # `leader_call_seconds` it leaves a caller half of its usual 3 s, so that
    # after an unknown outcome the caller can try another node.
    local_write_seconds: float = 0.95
    # Timeout of a call to the leader's node.
    leader_call_seconds: float = 0.4
    # Pause between two attempts to write.
    pause_seconds: float = 0.05
    # How long a queue's last known count is served while the leader does
    # not answer.
    pending_cache_seconds: float = 1.5


class LeaderLink(Protocol):
    """Client for calls to the leader's node; `seconds` are timeouts."""

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
    - `failure`: None on success. UnavailableFailure means that nothing was
      stored, UnknownOutcomeFailure that it may have been stored.
    """

    known: bool = True
    state: str = ""
    pending: int = 0
    failure: PlatformFailure | None = None


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


class JobRequestHandler:
    """Stores submissions and cancellations; answers queries about jobs."""

    def __init__(
        self,
        store: RowStore,
        link: LeaderLink,
        get_leader: Callable[[], Leader | None],
        is_cut_off: Callable[[], bool],
        clock: Clock,
        settings: JobRequestSettings,
    ) -> None:
        self._store = store
        self._is_cut_off = is_cut_off
        self._link = link
        self._get_leader = get_leader
        self._clock = clock
        self._settings = settings
        self._owners = OwnerCache()
        # The leader's last count of pending jobs and its time, by queue.
        self._pending: dict[str, tuple[int, float]] = {}

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
        if result.is_err() and self._get_leader() is None:
            relayed = self._link.relay_submission(
                job, value, self._compute_relay_seconds(deadline)
            )
            result = _combine_results(result, relayed)
        logger.info(
            "submission",
            extra={
                "job": job,
                "queue": queue.name,
                "organisation": organisation,
                "outcome": "stored" if result.is_ok() else str(result.err()),
            },
        )
        elapsed_seconds = self._clock.read_monotonic() - began
        SUBMISSION_SECONDS.observe(elapsed_seconds)
        failure = result.err()
        kind = "stored" if failure is None else type(failure).__name__
        SUBMISSIONS.labels(kind).inc()
        return Outcome(failure=failure)

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
        key = build_job_key(job)
        result = self._write_once(
            [Expectation(key, 0)], [RowWrite(key, value)], deadline
        )
        if result.is_ok():
            leader = self._get_leader()
            if leader is not None:
                leader.apply_submission(job, value)
            else:
                self._link.notify_stored(job, value)
        return result

    def _write_once(
        self,
        expectations: list[Expectation],
        writes: list[RowWrite],
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Write until the outcome is known or the deadline has passed.

        A failed condition counts as success: the rows are already stored.
        """
        in_doubt = False
        while True:
            remaining_seconds = deadline.get_remaining_seconds(self._clock)
            if remaining_seconds <= 0:
                return Err(
                    UnknownOutcomeFailure("no answer in time")
                    if in_doubt
                    else UnavailableFailure("deadline exceeded")
                )
            seconds = min(remaining_seconds, self._settings.attempt_seconds)
            answer = self._store.commit(
                expectations, writes, Deadline.after(self._clock, seconds)
            )
            match answer:
                case Ok(_) | Err(ConditionFailure()):
                    return Ok(None)
                case Err(UnknownOutcomeFailure()):
                    in_doubt = True
                case Err((UnavailableFailure() | RefusedFailure()) as failure):
                    if not in_doubt:
                        return Err(failure)
            self._clock.sleep(self._settings.pause_seconds)

    # Cancellations

    def cancel(
        self, job: str, deadline: Deadline, access: Access | None = None
    ) -> Outcome:
        """Cancel a job permanently.

        A job that `access` does not show is answered like an unknown one.
        """
        if self._is_cut_off():
            return self._refuse_cut_off(job)
        hidden = self._check_access(job, deadline, access)
        if hidden is not None:
            return hidden
        result = self.store_cancel(job, self._limit_local_attempts(deadline))
        if result.is_err() and self._get_leader() is None:
            relayed = self._link.relay_cancel(
                job, self._compute_relay_seconds(deadline)
            )
            result = _combine_results(result, relayed)
        logger.info("cancellation", extra={"job": job, "outcome": str(result)})
        match result:
            case Ok(known):
                return Outcome(known=known)
            case Err(failure):
                return Outcome(failure=failure)
        raise AssertionError(result)

    def store_cancel(
        self, job: str, deadline: Deadline
    ) -> Result[bool, PlatformFailure]:
        """Store a cancellation and notify the leader.

        Returns whether the job is known; an unknown one is not cancelled.
        """
        match self._read_row(build_job_key(job), deadline):
            case Err(failure):
                return Err(failure)
            case Ok(None):
                return Ok(False)
        write = RowWrite(build_cancel_key(job), b"{}")
        stored = self._write_once([], [write], deadline)
        match stored:
            case Err(failure):
                return Err(failure)
        leader = self._get_leader()
        if leader is not None:
            leader.apply_cancellation(job)
        else:
            self._link.notify_cancelled(job)
        return Ok(True)

    def _read_row(
        self, key: RowKey, deadline: Deadline
    ) -> Result[bytes | None, PlatformFailure]:
        remaining_seconds = deadline.get_remaining_seconds(self._clock)
        seconds = min(remaining_seconds, self._settings.attempt_seconds)
        answer = self._store.read(
            key.table,
            key.partition,
            Deadline.after(self._clock, seconds),
            key.key,
            key.key + "\0",
        )
        return answer.map(
            lambda changes: changes.rows[0].value if changes.rows else None
        )

    # Access

    def _check_access(
        self, job: str, deadline: Deadline, access: Access | None
    ) -> Outcome | None:
        """Return None if the caller may see the job, else the answer."""
        if access is None or not access.is_restricted:
            return None
        match self._find_owner(job, deadline):
            case Err(failure):
                logger.info(
                    "request refused: owner of the job not known",
                    extra={"job": job, "reason": str(failure)},
                )
                return Outcome(failure=failure)
            case Ok(owner):
                if owner is None:
                    return Outcome(known=False)
                if access.may_see(owner):
                    return None
        logger.info(
            "job of another organisation requested",
            extra={
                "job": job,
                "queue": access.queue.name,
                "organisations": access.organisations,
            },
        )
        return Outcome(known=False)

    def _find_owner(
        self, job: str, deadline: Deadline
    ) -> Result[JobOwner | None, PlatformFailure]:
        """Return a job's owner, from the leader or else from the store."""
        owner = self._owners.find(job)
        if owner is not None:
            return Ok(owner)
        leader = self._get_leader()
        if leader is not None:
            owner = self.get_owner(leader, job)
        else:
            seconds = self._compute_relay_seconds(deadline)
            owner = self._link.ask_job_owner(job, seconds).unwrap_or(None)
        if owner is None:
            match self._read_row(build_job_key(job), deadline):
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
        hidden = self._check_access(job, deadline, access)
        if hidden is not None:
            return hidden
        leader = self._get_leader()
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
        stored = self._read_row(build_job_key(job), deadline)
        if stored.is_err():
            return Outcome(failure=stored.err())
        if stored.unwrap() is None:
            return Outcome(known=False)
        progress = self._read_row(
            RowKey(PROGRESS_TABLE, PARTITION, job), deadline
        )
        cancelled = self._read_row(build_cancel_key(job), deadline)
        if progress.is_err() or cancelled.is_err():
            return Outcome(failure=progress.err() or cancelled.err())
        value = progress.unwrap()
        fields = json.loads(value) if value is not None else {}
        if fields.get("ended"):
            return Outcome(state=fields["ended"])
        if cancelled.unwrap() is not None:
            return Outcome(state=JobState.CANCELLED)
        started = any(task[1] for task in fields.get("tasks", {}).values())
        return Outcome(state=JobState.RUNNING if started else JobState.QUEUED)

    def count_pending(self, queue: Queue) -> Outcome:
        """Return how many jobs of a queue have started no task.

        While the leader does not answer, its last count is returned for
        `pending_cache_seconds`.
        """
        now = self._clock.read_monotonic()
        leader = self._get_leader()
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
