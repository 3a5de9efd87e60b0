"""Leases on exclusive duties, distributed over the live daemons."""

import logging
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from prometheus_client import Counter, Gauge
from result import Err, Ok, Result

from chestnutstair.coordination.duty import (
    BEAT_TABLE,
    DUTY_TABLE,
    Duty,
    DutyHolder,
    DutyRow,
    rank_members,
)
from chestnutstair.coordination.loop import Loop
from chestnutstair.coordination.messenger import Membership
from chestnutstair.coordination.platform import (
    ABSENT,
    Condition,
    ConflictFailure,
    Key,
    PlatformFailure,
    Row,
    Table,
    Write,
)
from chestnutstair.coordination.version_tracker import VersionTracker
from chestnutstair.state.codec import STRICT, decode_value, encode_value
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["DutySettings", "LeasedDuties"]

logger = logging.getLogger(__name__)

# The least time between two checks, as a share of the renewal interval.
CHECK_SHARE = 0.7
HELD_COUNT = Gauge(
    "chestnutstair_duties_held", "Duties that this daemon holds."
)
TAKEOVERS = Counter("chestnutstair_duty_takeovers_total", "Duties taken over.")


@dataclass(frozen=True)
class DutySettings:
    """Times of duty leases, each on a daemon's own monotonic clock.

    - `lease_seconds`: how long the rows of a duty must stay unchanged
      before another daemon may take it over.
    - `margin_seconds`: the holder stops using the duty this long before
      another daemon may take it over; the clocks of two daemons may drift
      apart by this much within one lease.
    - `renew_seconds`: time between two renewals.
    - `settle_seconds`: time to learn of the other daemons after the start,
      before any duty is acquired.
    - `rank_seconds`: additional wait before a takeover for each daemon
      that is preferred to this one.
    - `recheck_seconds`: time between two checks of a duty whose holder
      seems to be live.
    - `handover_seconds`: how long a holder keeps a duty for which another
      live daemon is preferred.
    - `table_seconds`: deadline for the reads and writes of one round.
    """

    __pydantic_config__ = STRICT

    lease_seconds: float = 6.0
    margin_seconds: float = 1.0
    renew_seconds: float = 2.0
    settle_seconds: float = 4.0
    rank_seconds: float = 2.0
    recheck_seconds: float = 30.0
    handover_seconds: float = 30.0
    table_seconds: float = 1.5


class LeasedDuties(DutyHolder):
    """Acquires, renews and releases duties through the table.

    Each daemon has one row with a counter, its beat, which it raises to
    renew all its duties at once. A renewal is conditional on the rows of
    these duties. A takeover is conditional on the rows of the duty and of
    the holder's beat still having the versions that were unchanged for
    the lease time.
    """

    def __init__(
        self,
        table: Table,
        membership: Membership,
        list_names: Callable[[], Sequence[str]],
        clock: Clock,
        settings: DutySettings | None = None,
    ) -> None:
        self._table = table
        self._membership = membership
        self._list_names = list_names
        self._clock = clock
        self._settings = settings or DutySettings()
        self._me = membership.get_self()
        self._settle_deadline = Deadline.after(
            clock, self._settings.settle_seconds
        )
        self._beat = 0
        self._lock = threading.Lock()
        self._held: dict[str, Duty] = {}
        self._tracker = VersionTracker(clock)
        self._checked_at: dict[str, float] = {}
        self._holders: dict[str, str] = {}
        self._unpreferred_since: dict[str, float] = {}
        self._loop = Loop("duties", self._run)

    def start(self) -> None:
        """Start renewing and taking over duties."""
        self._loop.start()

    def stop(self) -> None:
        """Stop the loop and release all duties."""
        self._loop.stop()
        self._release(list(self._held), self._make_deadline())

    def find_duty(self, name: str) -> Duty | None:
        """Return the duty if held and its deadline has not passed."""
        with self._lock:
            duty = self._held.get(name)
        if duty is None or duty.deadline.has_passed(self._clock):
            return None
        return duty

    def list_held(self) -> tuple[str, ...]:
        """Return the names of the duties that are held now."""
        return tuple(name for name in list(self._held) if self.find_duty(name))

    def _make_deadline(self) -> Deadline:
        return Deadline.after(self._clock, self._settings.table_seconds)

    def _make_lease_deadline(self) -> Deadline:
        seconds = self._settings.lease_seconds - self._settings.margin_seconds
        return Deadline.after(self._clock, seconds)

    def _run(self) -> float:
        self.reconcile()
        return self._settings.renew_seconds

    def reconcile(self) -> None:
        """Renew and hand over held duties, then take over free ones."""
        deadline = self._make_deadline()
        names = self._list_names()
        self._renew(deadline)
        self._hand_over(names, deadline)
        if not self._settle_deadline.has_passed(self._clock):
            return
        match self._take_over_free(names, deadline):
            case Err(failure):
                logger.info(
                    "checking duties failed: %s", describe_failure(failure)
                )
        HELD_COUNT.set(len(self.list_held()))

    # Renewal

    def _renew(self, deadline: Deadline) -> None:
        held = dict(self._held)
        if not held:
            return
        lease_deadline = self._make_lease_deadline()
        conditions = [duty.build_condition() for duty in held.values()]
        match self._table.commit(
            conditions, [self._build_beat_write()], deadline
        ):
            case Ok():
                self._extend(held, lease_deadline)
            case Err(ConflictFailure(rows)):
                self._drop({key.key for key in rows})
                self._renew(deadline)
            case Err(failure):
                # The deadlines stay: a renewal with an unknown outcome
                # counts as failed.
                logger.info(
                    "renewing duties failed: %s", describe_failure(failure)
                )

    def _build_beat_write(self) -> Write:
        self._beat += 1
        key = Key(BEAT_TABLE, self._me.incarnation)
        return Write(key, {"beat": self._beat})

    def _extend(self, held: dict[str, Duty], lease_deadline: Deadline) -> None:
        with self._lock:
            for name, duty in held.items():
                self._held[name] = Duty(
                    name, duty.token, duty.version, lease_deadline
                )

    def _drop(self, names: set[str]) -> None:
        with self._lock:
            for name in names:
                self._held.pop(name, None)
        logger.info("lost duties %s", sorted(names))

    # Release

    def _hand_over(self, names: Sequence[str], deadline: Deadline) -> None:
        """Release a duty that another daemon should hold, one per call.

        This daemon keeps the duty for `handover_seconds` first. A duty that
        no longer exists is released in the same way.
        """
        now = self._clock.read_monotonic()
        members = self._membership.list_live()
        for name in list(self._held):
            ranked = rank_members(name, members)
            if name in names and ranked and ranked[0] == self._me.name:
                self._unpreferred_since.pop(name, None)
                continue
            since = self._unpreferred_since.setdefault(name, now)
            if now - since >= self._settings.handover_seconds:
                self._release([name], deadline)
                return

    def _release(self, names: Sequence[str], deadline: Deadline) -> None:
        with self._lock:
            duties = [self._held.pop(name) for name in names]
        for duty in duties:
            self._holders.pop(duty.name, None)
            self._unpreferred_since.pop(duty.name, None)
            key = Key(DUTY_TABLE, duty.name)
            row = encode_value(DutyRow(duty.token))
            self._table.commit(
                [duty.build_condition()], [Write(key, row)], deadline
            )

    # Takeover

    def _take_over_free(
        self, names: Sequence[str], deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Check the duties that are due; take over those without a holder."""
        ranks = self._list_due(names)
        if not ranks:
            return Ok(None)
        keys = [Key(DUTY_TABLE, name) for name in ranks]
        match self._table.read(keys, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(rows):
                found = dict(zip(ranks, rows, strict=True))
        match self._read_beats(found, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(beats):
                for name, row in found.items():
                    self._check_duty(name, ranks[name], row, beats, deadline)
        return Ok(None)

    def _list_due(self, names: Sequence[str]) -> dict[str, int]:
        """Return the duties to check now, with this daemon's rank for each."""
        now = self._clock.read_monotonic()
        members = self._membership.list_live()
        unsuspected = self._membership.list_unsuspected()
        due = {}
        for name in names:
            ranked = rank_members(name, members)
            if name in self._held or self._me.name not in ranked:
                continue
            rank = ranked.index(self._me.name)
            healthy = self._holders.get(name) in unsuspected and rank > 0
            if now - self._checked_at.get(
                name, 0.0
            ) >= self._choose_check_interval(rank, healthy):
                due[name] = rank
                self._checked_at[name] = now
        return due

    def _choose_check_interval(self, rank: int, healthy: bool) -> float:
        """Return the seconds between two checks of a duty."""
        if healthy:
            return self._settings.recheck_seconds
        # Checks run with the loop's calls, whose intervals have jitter.
        return self._settings.renew_seconds * (rank + CHECK_SHARE)

    def _read_beats(
        self, found: dict[str, Row | None], deadline: Deadline
    ) -> Result[dict[str, int], PlatformFailure]:
        """Return the versions of the holders' beat rows."""
        holders = sorted(
            {row.value["holder"] for row in found.values() if row is not None}
            - {""}
        )
        keys = [Key(BEAT_TABLE, holder) for holder in holders]
        rows = self._table.read(keys, deadline) if keys else Ok(())
        return rows.map(
            lambda beats: {
                holder: ABSENT if beat is None else beat.version
                for holder, beat in zip(holders, beats, strict=True)
            }
        )

    def _check_duty(
        self,
        name: str,
        rank: int,
        row: Row | None,
        beats: dict[str, int],
        deadline: Deadline,
    ) -> None:
        if row is None:
            duty_row = DutyRow(0)
            version = ABSENT
        else:
            duty_row = decode_value(DutyRow, row.value).unwrap()
            version = row.version
        self._holders[name] = duty_row.holder
        if duty_row.holder == self._me.incarnation:
            # Acquired by a commit whose answer was lost.
            self._adopt(name, duty_row.token, version)
            return
        beat = beats.get(duty_row.holder, ABSENT)
        if self._may_take_over(name, rank, duty_row.holder, version, beat):
            self._take_over(name, duty_row, version, beat, deadline)

    def _may_take_over(
        self, name: str, rank: int, holder: str, version: int, beat: int
    ) -> bool:
        unchanged_seconds = self._tracker.measure_unchanged(
            name, (version, beat)
        )
        lease_seconds = self._settings.lease_seconds if holder else 0.0
        wait = lease_seconds + rank * self._settings.rank_seconds
        return unchanged_seconds >= wait

    def _adopt(self, name: str, token: int, version: int) -> None:
        # Already expired, so only the next renewal makes it usable.
        past = Deadline(self._clock.read_monotonic())
        with self._lock:
            self._held[name] = Duty(name, token, version, past)

    def _take_over(
        self,
        name: str,
        duty_row: DutyRow,
        version: int,
        beat: int,
        deadline: Deadline,
    ) -> None:
        key = Key(DUTY_TABLE, name)
        row = encode_value(DutyRow(duty_row.token + 1, self._me.incarnation))
        conditions = [Condition(key, version)]
        writes = [Write(key, row), self._build_beat_write()]
        if duty_row.holder:
            beat_key = Key(BEAT_TABLE, duty_row.holder)
            conditions.append(Condition(beat_key, beat))
        lease_deadline = self._make_lease_deadline()
        match self._table.commit(conditions, writes, deadline):
            case Err(failure):
                logger.info(
                    "taking over a duty failed: %s", describe_failure(failure)
                )
                return
        match self._table.read([key], deadline):
            case Ok((Row(value=value, version=new_version),)) if value == row:
                TAKEOVERS.inc()
                logger.info(
                    "took over duty %s with token %d", name, duty_row.token + 1
                )
                with self._lock:
                    duty = Duty(
                        name, duty_row.token + 1, new_version, lease_deadline
                    )
                    self._held[name] = duty
