"""Answers callers on every node, whichever of them leads."""

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

__all__ = ["DeskSettings", "JobDesk", "LeaderLink", "Outcome"]

logger = logging.getLogger(__name__)

T = TypeVar("T")


@dataclass(frozen=True)
class DeskSettings:
    """Times of answering callers.

    `attempt_seconds` bounds one write to the store, far above the usual
    0.012 s. A write is tried for `own_seconds`, so that a second attempt can
    find out about a lost answer; after that the leader's node is asked to
    write. A caller who then is told that the outcome is unknown has half of
    its usual 3 s left to try another node. `leader_seconds` bounds a question
    to the leader. `pending_seconds` is how old a queue's count may be if the
    leader does not answer.
    """

    attempt_seconds: float = 0.8
    own_seconds: float = 0.95
    leader_seconds: float = 0.4
    pause_seconds: float = 0.05
    pending_seconds: float = 1.5


class LeaderLink(Protocol):
    """Calls the node that leads."""

    def ask_job(
        self, job: str, seconds: float
    ) -> Result[str, PlatformFailure]:
        """Return a job's state, "" if the leader does not know it."""
        ...

    def ask_pending(
        self, queue: str, seconds: float
    ) -> Result[int, PlatformFailure]:
        """Return how many jobs of a queue wait."""
        ...

    def tell_stored(self, job: str, value: bytes) -> None:
        """Tell the leader of a submission, without waiting."""
        ...

    def tell_cancelled(self, job: str) -> None:
        """Tell the leader of a cancellation, without waiting."""
        ...

    def relay_submission(
        self, job: str, value: bytes, seconds: float
    ) -> Result[None, PlatformFailure]:
        """Let the leader's node store a submission."""
        ...

    def relay_cancel(
        self, job: str, seconds: float
    ) -> Result[bool, PlatformFailure]:
        """Let the leader's node cancel a job; tell whether it is known."""
        ...


@dataclass(frozen=True)
class Outcome:
    """The answer to a caller.

    `failure` is None if it went well; an UnavailableFailure says that
    nothing was done, an UnknownOutcomeFailure that it may have been.
    """

    known: bool = True
    state: str = ""
    pending: int = 0
    failure: PlatformFailure | None = None


def _choose_known(
    own: Result[T, PlatformFailure], relayed: Result[T, PlatformFailure]
) -> Result[T, PlatformFailure]:
    """Return what is known after both attempts; either may be in doubt."""
    match own:
        case Err(UnknownOutcomeFailure()) if relayed.is_err():
            return own
    return relayed


class JobDesk:
    """Stores submissions and cancellations, and tells how jobs stand."""

    def __init__(
        self,
        store: RowStore,
        link: LeaderLink,
        get_leader: Callable[[], Leader | None],
        clock: Clock,
        settings: DeskSettings,
    ) -> None:
        self._store = store
        self._link = link
        self._get_leader = get_leader
        self._clock = clock
        self._settings = settings
        self._pending: dict[str, tuple[int, float]] = {}

    # Submissions

    def submit(
        self, queue: Queue, job: str, body: bytes, deadline: Deadline
    ) -> Outcome:
        """Store a job; the same name again is the same job."""
        began = self._clock.read_monotonic()
        accepted_ms = int(self._clock.read_wall() * 1000)
        value = encode_submission(queue, accepted_ms, body)
        result = self.store_submission(job, value, self._bound(deadline))
        if result.is_err() and self._get_leader() is None:
            relayed = self._link.relay_submission(
                job, value, self._measure_relay(deadline)
            )
            result = _choose_known(result, relayed)
        logger.info(
            "submission",
            extra={
                "job": job,
                "queue": queue.name,
                "outcome": "stored" if result.is_ok() else str(result.err()),
            },
        )
        taken = self._clock.read_monotonic() - began
        SUBMISSION_SECONDS.observe(taken)
        failure = result.err()
        kind = "stored" if failure is None else type(failure).__name__
        SUBMISSIONS.labels(kind).inc()
        return Outcome(failure=failure)

    def _bound(self, deadline: Deadline) -> Deadline:
        """Return the end of this node's own attempts."""
        own = Deadline.after(self._clock, self._settings.own_seconds)
        return own if own.at < deadline.at else deadline

    def _measure_relay(self, deadline: Deadline) -> float:
        left = deadline.measure_left(self._clock)
        return min(left, self._settings.leader_seconds)

    def store_submission(
        self, job: str, value: bytes, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Store a submission and tell the leader; idempotent."""
        key = build_job_key(job)
        result = self._write_once(
            [Expectation(key, 0)], [RowWrite(key, value)], deadline
        )
        if result.is_ok():
            leader = self._get_leader()
            if leader is not None:
                leader.apply_submission(job, value)
            else:
                self._link.tell_stored(job, value)
        return result

    def _write_once(
        self,
        expectations: list[Expectation],
        writes: list[RowWrite],
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Write until the outcome is known; a conflict means it was done."""
        in_doubt = False
        while True:
            left = deadline.measure_left(self._clock)
            if left <= 0:
                return Err(
                    UnknownOutcomeFailure("no answer in time")
                    if in_doubt
                    else UnavailableFailure("no time left")
                )
            seconds = min(left, self._settings.attempt_seconds)
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

    # Cancelling

    def cancel(self, job: str, deadline: Deadline) -> Outcome:
        """Cancel a job for good."""
        result = self.store_cancel(job, self._bound(deadline))
        if result.is_err() and self._get_leader() is None:
            relayed = self._link.relay_cancel(
                job, self._measure_relay(deadline)
            )
            result = _choose_known(result, relayed)
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
        """Store a cancellation; tell whether the job is known."""
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
            self._link.tell_cancelled(job)
        return Ok(True)

    def _read_row(
        self, key: RowKey, deadline: Deadline
    ) -> Result[bytes | None, PlatformFailure]:
        left = deadline.measure_left(self._clock)
        seconds = min(left, self._settings.attempt_seconds)
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

    # Questions

    def describe_job(self, job: str, deadline: Deadline) -> Outcome:
        """Return a job's state, from the leader or else from the store."""
        leader = self._get_leader()
        if leader is not None:
            state = self.ask_leader_here(leader, job)
        else:
            answer = self._link.ask_job(job, self._settings.leader_seconds)
            state = answer.unwrap_or("")
        if state:
            return Outcome(state=state)
        return self._read_state(job, deadline)

    @staticmethod
    def ask_leader_here(leader: Leader, job: str) -> str:
        """Return a job's state as stored, "" if it is not known."""
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
        """Return how many jobs of a queue have started no task."""
        now = self._clock.read_monotonic()
        leader = self._get_leader()
        if leader is not None:
            with leader.tracker.lock:
                return Outcome(
                    pending=leader.tracker.count_pending(queue.name)
                )
        seconds = self._settings.leader_seconds
        match self._link.ask_pending(queue.name, seconds):
            case Ok(count):
                self._pending[queue.name] = (count, now)
                return Outcome(pending=count)
            case Err(failure):
                count, at = self._pending.get(queue.name, (0, 0.0))
                if at and now - at <= self._settings.pending_seconds:
                    return Outcome(pending=count)
                return Outcome(failure=failure)
        raise AssertionError(queue)
