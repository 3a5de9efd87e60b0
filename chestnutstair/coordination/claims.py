"""Claims on request ids, stored in the table so that a request runs once."""

import hashlib
import logging
import threading
import uuid
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated, Literal

from prometheus_client import Counter
from pydantic import Field
from result import Err, Ok, Result

from chestnutstair.coordination.messenger import Membership
from chestnutstair.coordination.platform import (
    ABSENT,
    Condition,
    ConflictFailure,
    Key,
    PlatformFailure,
    Table,
    UnknownOutcomeFailure,
    Write,
)
from chestnutstair.coordination.request import Ran
from chestnutstair.state.codec import STRICT, decode_value, encode_value
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import Failure, describe_failure

__all__ = [
    "Claim",
    "ClaimResult",
    "ClaimSettings",
    "ClaimStore",
    "ClaimTakenFailure",
    "ClaimUnavailableFailure",
    "ClaimUnknownFailure",
    "build_claim_key",
]

logger = logging.getLogger(__name__)

CLAIM_TABLE = "claims"
CLAIM_WRITES = Counter(
    "chestnutstair_claim_writes", "Transactions made for claims."
)


@dataclass(frozen=True)
class ClaimSettings:
    """Limits on the claims that are written to the table.

    - `writes_per_second`: the most transactions a second that all daemons
      together make for claims, so that enough of the table's write
      capacity is left to control work.
    - `group_size`: the most rows in one transaction.
    - `waiting`: the most claims that may wait in one daemon; further ones
      are refused.
    - `commit_seconds`: time limit of one transaction.
    - `suspect_seconds`: the least time between transactions after one has
      failed. Until one succeeds, all claims but one are refused, so that
      requests don't hold slots while the table hangs.
    - `keep_seconds`: age at which a claim expires and may be deleted.
    """

    __pydantic_config__ = STRICT

    writes_per_second: float = 150.0
    group_size: Annotated[int, Field(ge=2)] = 100
    waiting: int = 1000
    commit_seconds: float = 2.0
    suspect_seconds: float = 0.2
    keep_seconds: float = 24 * 3600.0


@dataclass(frozen=True)
class Claim:
    """The row of a claimed request.

    `id` is unique to the attempt that made the claim, `ran` says whether
    the request ran, and `expires_at` is in seconds since the Unix epoch.
    """

    __pydantic_config__ = STRICT

    id: str
    ran: Literal["no", "yes", "unknown"]
    expires_at: float


@dataclass(frozen=True)
class ClaimTakenFailure(Failure):
    """Another attempt has already claimed the request id."""

    ran: Ran


@dataclass(frozen=True)
class ClaimUnavailableFailure(Failure):
    """The claim was not made, or too late; the request must not be sent."""

    reason: str


@dataclass(frozen=True)
class ClaimUnknownFailure(Failure):
    """The id may already be claimed; the request must not be sent."""

    reason: str


ClaimResult = Result[
    Claim,
    ClaimTakenFailure | ClaimUnavailableFailure | ClaimUnknownFailure,
]


@dataclass(eq=False)
class _Pending:
    key: Key
    claim: Claim
    deadline: Deadline
    abandoned: bool = False  # the caller stopped waiting for the commit
    resolved: threading.Event = field(default_factory=threading.Event)
    answer: ClaimResult | None = None

    def resolve(self, answer: ClaimResult) -> None:
        self.answer = answer
        self.resolved.set()


def build_claim_key(service: str, request_id: str) -> Key:
    """Return the key of the claim; the request id may hold any characters."""
    text = f"{service}\n{request_id}".encode()
    return Key(CLAIM_TABLE, hashlib.sha256(text).hexdigest())


class ClaimStore:
    """Makes claims and records their results, grouped in transactions.

    One transaction at a time is made, by a thread of the store.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        membership: Membership,
        settings: ClaimSettings,
    ) -> None:
        self._table = table
        self._membership = membership
        self._clock = clock
        self._settings = settings
        self._changed = threading.Condition()
        self._pending: deque[_Pending] = deque()
        self._results: deque[Write] = deque()
        self._stopped = False
        self._table_failed = False  # the last transaction failed
        self._committing = False  # a transaction with claims is in progress
        self._thread = threading.Thread(
            target=self._run, name="claims", daemon=True
        )

    def start(self) -> None:
        """Start the thread that commits the transactions."""
        self._thread.start()

    def stop(self) -> None:
        """Commit what is pending and stop the thread.

        The thread gives up after the first transaction that fails.
        """
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._thread.join(2 * self._settings.commit_seconds)

    def claim(self, key: Key, deadline: Deadline) -> ClaimResult:
        """Claim the row before its request is sent; block for the result.

        Return an error if the deadline passes before the result is known.
        """
        expires_at = self._clock.read_wall() + self._settings.keep_seconds
        claim = Claim(uuid.uuid4().hex, "unknown", expires_at)
        pending = _Pending(key, claim, deadline)
        with self._changed:
            if self._table_failed and (self._pending or self._committing):
                return Err(ClaimUnavailableFailure("the table is down"))
            if len(self._pending) >= self._settings.waiting:
                return Err(ClaimUnavailableFailure("too many claims wait"))
            self._pending.append(pending)
            self._changed.notify_all()
        pending.resolved.wait(deadline.get_remaining_seconds(self._clock))
        with self._changed:
            if pending.answer is not None:
                return pending.answer
            if pending in self._pending:
                self._pending.remove(pending)
                return Err(ClaimUnavailableFailure("deadline"))
            pending.abandoned = True
            return Err(ClaimUnavailableFailure("the table is slow"))

    def record_result(self, key: Key, claim: Claim, ran: Ran) -> None:
        """Queue the result of a claimed request for writing.

        If the request did not run, its claim is deleted.
        """
        updated = Claim(claim.id, ran.value, claim.expires_at)
        value = None if ran is Ran.NO else encode_value(updated)
        with self._changed:
            self._results.append(Write(key, value))
            self._changed.notify_all()

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(
                    lambda: self._stopped or self._pending or self._results
                )
                if self._stopped and not self._pending and not self._results:
                    return
                size = self._settings.group_size
                results = self._pop_results(size // 2)
                group = self._pop_group(size - len(results))
                self._committing = bool(group)
            started_at = self._clock.read_monotonic()
            succeeded = self._commit_safely(group, results)
            with self._changed:
                self._table_failed = not succeeded
                self._committing = False
            if self._table_failed and self._stopped:
                return
            self._pace(started_at)

    def _pace(self, started_at: float) -> None:
        daemons = max(1, len(self._membership.list_live()))
        interval = daemons / self._settings.writes_per_second
        if self._table_failed:
            interval = max(interval, self._settings.suspect_seconds)
        remaining_seconds = (
            started_at + interval - self._clock.read_monotonic()
        )
        if remaining_seconds > 0:
            self._clock.sleep(remaining_seconds)

    def _pop_group(self, size: int) -> list[_Pending]:
        group: dict[Key, _Pending] = {}
        postponed: deque[_Pending] = deque()
        while self._pending and len(group) < size:
            pending = self._pending.popleft()
            if pending.key in group:
                # The next group finds the row that this one writes.
                postponed.append(pending)
            else:
                group[pending.key] = pending
        self._pending.extendleft(reversed(postponed))
        return list(group.values())

    def _pop_results(self, count: int) -> list[Write]:
        count = min(count, len(self._results))
        return [self._results.popleft() for _ in range(count)]

    def _commit_safely(
        self, group: list[_Pending], results: list[Write]
    ) -> bool:
        try:
            return self._commit(group, results)
        except Exception:  # this thread serves all claims and must not end
            logger.exception("unexpected error while committing claims")
            # The commit may have been applied, so deletions are dropped.
            self._requeue_results([item for item in results if item.value])
            for item in group:
                if item.answer is None:
                    reason = "internal error in this daemon"
                    item.resolve(Err(ClaimUnknownFailure(reason)))
            return False

    def _commit(self, group: list[_Pending], results: list[Write]) -> bool:
        """Commit until every claim is resolved.

        Claims whose row exists are removed from the group, and the others
        are committed again. Return whether the table answered.
        """
        while True:
            CLAIM_WRITES.inc()
            deadline = Deadline.after(
                self._clock, self._settings.commit_seconds
            )
            committed = self._table.commit(
                [Condition(item.key, ABSENT) for item in group],
                [
                    *(Write(i.key, encode_value(i.claim)) for i in group),
                    *results,
                ],
                deadline,
            )
            match committed:
                case Ok():
                    for item in group:
                        self._confirm(item)
                    return True
                case Err(ConflictFailure(rows)):
                    already_claimed = [
                        item for item in group if item.key in rows
                    ]
                    group = [i for i in group if i.key not in rows]
                    self._resolve_from_rows(already_claimed, deadline, False)
                    if not (group or results):
                        return True
                case Err(UnknownOutcomeFailure()):
                    self._resolve_from_rows(group, deadline, True)
                    self._requeue_results([e for e in results if e.value])
                    return False
                case Err(failure):
                    refused = ClaimUnavailableFailure(
                        describe_failure(failure)
                    )
                    for item in group:
                        item.resolve(Err(refused))
                    self._requeue_results(results)
                    return False

    def _confirm(self, item: _Pending) -> None:
        with self._changed:
            item.resolve(Ok(item.claim))
            if item.abandoned:
                self._results.append(Write(item.key, None))

    def _requeue_results(self, results: Sequence[Write]) -> None:
        """Put results back at the head of the queue.

        After a commit with an unknown outcome the caller leaves out
        deletions: another attempt may have claimed the deleted row since.
        """
        with self._changed:
            self._results.extendleft(reversed(results))

    def _resolve_from_rows(
        self, group: Sequence[_Pending], deadline: Deadline, may_be_ours: bool
    ) -> None:
        """Resolve claims by their rows after a failed or uncertain commit.

        With `may_be_ours` the commit may have succeeded. A row that is
        absent after a lost answer does not prove that the commit will not
        take effect later, so its request must not be sent.
        """
        if not group:
            return
        found = self._table.read([item.key for item in group], deadline)
        if isinstance(found, Err):
            for item in group:
                item.resolve(Err(ClaimUnknownFailure("the table is down")))
            return
        for item, row in zip(group, found.ok_value, strict=True):
            if row is None:
                reason = "the claim is not in the table"
                item.resolve(Err(ClaimUnavailableFailure(reason)))
                continue
            claim = decode_value(Claim, row.value).unwrap()
            if may_be_ours and claim.id == item.claim.id:
                self._confirm(item)
            else:
                item.resolve(Err(ClaimTakenFailure(Ran(claim.ran))))

    def sweep(
        self, start: str, limit: int, deadline: Deadline
    ) -> Result[str, ConflictFailure | PlatformFailure]:
        """Delete expired claims among up to `limit` rows from `start` on.

        Return the key to continue from, or an empty text once the scan has
        reached the end of the table.
        """
        scanned = self._table.scan(CLAIM_TABLE, start, "~", limit, deadline)
        if isinstance(scanned, Err):
            return scanned
        rows = scanned.ok_value
        now = self._clock.read_wall()
        expired = [
            row
            for row in rows
            if decode_value(Claim, row.value).unwrap().expires_at < now
        ]
        if expired:
            outcome = self._table.commit(
                [Condition(row.key, row.version) for row in expired],
                [Write(row.key, None) for row in expired],
                deadline,
            )
            if isinstance(outcome, Err):
                return outcome
        return Ok(rows[-1].key.key + " " if len(rows) == limit else "")
