"""Claims of request ids in the table, so that a request runs once."""

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
    """Limits of the claims; times in seconds.

    All daemons' claims together make at most `writes_per_second`
    transactions of up to `group_size` rows, so that control work keeps
    its part of the table's writes. After a failed transaction there is
    one every `suspect_seconds`, and all claims but one are refused until
    one succeeds, so that slots are not held for a hanging table. Rows
    may be swept after `keep_seconds`.
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
    """A row: who claimed the request, and whether it ran.

    `expires_at` is wall-clock epoch seconds.
    """

    __pydantic_config__ = STRICT

    id: str
    ran: Literal["no", "yes", "unknown"]
    expires_at: float


@dataclass(frozen=True)
class ClaimTakenFailure(Failure):
    """Another attempt claimed the request id before."""

    ran: Ran


@dataclass(frozen=True)
class ClaimUnavailableFailure(Failure):
    """The claim was not made, or not in time; nothing may be sent."""

    reason: str


@dataclass(frozen=True)
class ClaimUnknownFailure(Failure):
    """An earlier attempt may have claimed the id; nothing may be sent."""

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
    abandoned: bool = False
    resolved: threading.Event = field(default_factory=threading.Event)
    answer: ClaimResult | None = None

    def resolve(self, answer: ClaimResult) -> None:
        self.answer = answer
        self.resolved.set()


def build_claim_key(service: str, request_id: str) -> Key:
    """Return the row of a request id, which may hold any characters."""
    text = f"{service}\n{request_id}".encode()
    return Key(CLAIM_TABLE, hashlib.sha256(text).hexdigest())


class ClaimStore:
    """Groups claims, and what became of them, into few transactions."""

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
        self._committing = False  # a transaction with claims is being made
        self._thread = threading.Thread(
            target=self._run, name="claims", daemon=True
        )

    def start(self) -> None:
        """Start the thread that makes the transactions."""
        self._thread.start()

    def stop(self) -> None:
        """Write what is left once and end the thread."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._thread.join(2 * self._settings.commit_seconds)

    def claim(self, key: Key, deadline: Deadline) -> ClaimResult:
        """Claim the row before its request is sent; block for the answer."""
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
        pending.resolved.wait(deadline.measure_left(self._clock))
        with self._changed:
            if pending.answer is not None:
                return pending.answer
            if pending in self._pending:
                self._pending.remove(pending)
                return Err(ClaimUnavailableFailure("deadline"))
            pending.abandoned = True
            return Err(ClaimUnavailableFailure("the table is slow"))

    def record_result(self, key: Key, claim: Claim, ran: Ran) -> None:
        """Have the outcome written, later; a claim that did not run goes."""
        ended = Claim(claim.id, ran.value, claim.expires_at)
        value = None if ran is Ran.NO else encode_value(ended)
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
            begun = self._clock.read_monotonic()
            done = self._commit_safely(group, results)
            with self._changed:
                self._table_failed = not done
                self._committing = False
            if self._table_failed and self._stopped:
                return
            self._pace(begun)

    def _pace(self, begun: float) -> None:
        daemons = max(1, len(self._membership.list_live()))
        gap = daemons / self._settings.writes_per_second
        if self._table_failed:
            gap = max(gap, self._settings.suspect_seconds)
        left = begun + gap - self._clock.read_monotonic()
        if left > 0:
            self._clock.sleep(left)

    def _pop_group(self, size: int) -> list[_Pending]:
        group: dict[Key, _Pending] = {}
        later: deque[_Pending] = deque()
        while self._pending and len(group) < size:
            pending = self._pending.popleft()
            if pending.key in group:
                later.append(pending)  # meets the row in the next group
            else:
                group[pending.key] = pending
        self._pending.extendleft(reversed(later))
        return list(group.values())

    def _pop_results(self, count: int) -> list[Write]:
        count = min(count, len(self._results))
        return [self._results.popleft() for _ in range(count)]

    def _commit_safely(
        self, group: list[_Pending], results: list[Write]
    ) -> bool:
        try:
            return self._commit(group, results)
        except Exception:  # this thread serves all claims and must live on
            logger.exception("claims failed")
            for item in group:
                if item.answer is None:
                    reason = "this daemon failed"
                    item.resolve(Err(ClaimUnknownFailure(reason)))
            return False

    def _commit(self, group: list[_Pending], results: list[Write]) -> bool:
        """Commit until all is decided; tell whether the table worked."""
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
                    taken = [item for item in group if item.key in rows]
                    group = [i for i in group if i.key not in rows]
                    self._resolve_from_rows(taken, deadline, False)
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
        """Queue ends again, but no deletion that may have been made.

        The row of a deletion may be another attempt's by now.
        """
        with self._changed:
            self._results.extendleft(reversed(results))

    def _resolve_from_rows(
        self, group: Sequence[_Pending], deadline: Deadline, may_be_ours: bool
    ) -> None:
        """Read the rows of claims whose commit did not plainly succeed.

        An absent row after a lost answer is no proof that the commit will
        not take effect yet, so nothing may be sent on it.
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
                reason = "the claim is gone"
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
        """Delete expired rows from the key on; return the next key.

        An empty next key says that the scan reached the end.
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
            done = self._table.commit(
                [Condition(row.key, row.version) for row in expired],
                [Write(row.key, None) for row in expired],
                deadline,
            )
            if isinstance(done, Err):
                return done
        return Ok(rows[-1].key.key + " " if len(rows) == limit else "")
