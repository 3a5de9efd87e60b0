"""Leader election among the nodes, by conditional writes of one row."""

import logging
import math
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Err, Ok, Result

from chestnutstair.coordination.platform import PlatformFailure
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.metrics import LEADING
from chestnutstair.scheduling.ports import (
    Expectation,
    RowStore,
    RowWrite,
)
from chestnutstair.scheduling.shards.names import ShardNames
from chestnutstair.scheduling.term import (
    Term,
    TermRow,
    TermSettings,
    read_term,
)
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["Election", "ElectionSettings", "LeaderStatus", "StatusSource"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ElectionSettings:
    """Timing and thresholds of leader election."""

    # Average time between two checks of the leader.
    poll_seconds: float = 0.25
    # A leader that answers, but whose last write is older than this (three
    # of its heartbeats), is replaced at once. After a leader has stepped
    # down, nodes of its zone wait this long before they take over.
    fresh_seconds: float = 1.3
    # A leader that does not answer is replaced once its row has not changed
    # for this long. A leader that has not written for longer than this
    # counts as cut off.
    expiry_seconds: float = 1.5
    # Replaces `expiry_seconds` if the leader's address refuses connections,
    # or if the time written in its row is more than `expiry_seconds` ago;
    # two of the leader's heartbeats.
    dead_expiry_seconds: float = 0.8
    # Timeout of a status call to another node.
    call_seconds: float = 0.25
    # Timeout of a write of the leader's row.
    store_seconds: float = 1.2
    # Timeout of a read of it. A node that is cut off finds that out by a read
    # without answer.
    read_seconds: float = 0.6
    # A leader that reaches a smaller share of its workers than this for
    # `unfit_seconds` steps down in favour of a node in another zone.
    min_contact_share: float = 0.5
    unfit_seconds: float = 1.2
    # How long a node that stepped down does not take over again.
    cooldown_seconds: float = 2.0
    # CPU power that a leader of the largest fleets needs, about one core.
    required_power: float = 1.0
    # A VM with less power waits for a part of this time before it takes over,
    # in proportion to the missing power. It is long enough for every other
    # node to check the leader twice.
    yield_seconds: float = 1.0
    # A node that has reached neither the leader nor the store for this long,
    # which is two or three checks, counts as cut off: it cannot serve
    # callers.
    cut_off_seconds: float = 0.8


@dataclass(frozen=True)
class LeaderStatus:
    """A node's answer to a status call of another node.

    `age_seconds` is the age of the leader's last write to the store, 0 on a
    node that does not lead.
    """

    leading: bool
    epoch: int
    age_seconds: float
    configuration_version: int


class StatusSource(Protocol):
    """Client for status calls to other nodes."""

    def ask_status(
        self, address: str, seconds: float
    ) -> Result[LeaderStatus, PlatformFailure]:
        """Return the status of the node at the address.

        The call times out after `seconds`.
        """
        ...


class LeaderHealth(Enum):
    """State of the leader as a status call showed it."""

    FRESH = "fresh"
    CUT_OFF = "cut off"  # answers, but cannot write to the store
    STALE = "stale"  # no answer, not the leader, or no leader known
    DEAD = "dead"  # its address refuses connections


class Election:
    """Monitors the leader and takes over when its term has expired."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        store: RowStore,
        peers: StatusSource,
        build_leader: Callable[[Term, float], Leader],
        on_status: Callable[[str, LeaderStatus], None],
        clock: Clock,
        settings: ElectionSettings,
        term_settings: TermSettings,
        power: float = 1.0,
        names: ShardNames = ShardNames(),
    ) -> None:
        self._names = names
        self._key = names.term_key
        self._name = name
        self._zone = zone
        self._address = address
        self._store = store
        self._peers = peers
        self._build_leader = build_leader
        self._on_status = on_status
        self._clock = clock
        self._settings = settings
        self._term_settings = term_settings
        missing_share = max(0.0, 1.0 - power / settings.required_power)
        self._yield_seconds = missing_share * settings.yield_seconds
        self._expired_since: float | None = None
        self._stopped = threading.Event()
        self._row_version = -1
        self._row_changed_at = 0.0
        self._unfit_since: float | None = None
        self._cooldown_until = 0.0
        self._may_lead = True
        self._isolated_since: float | None = None
        self.leader: Leader | None = None
        self.leader_address = ""
        self._thread = threading.Thread(
            target=self._run, name="election", daemon=True
        )

    def start(self) -> None:
        """Start the election loop on a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; release the term if leading, for an immediate takeover."""
        self._may_lead = False
        self._stopped.set()
        self._thread.join()
        if self.leader is not None:
            self.leader.end(release=not self.leader.has_ended)
            self.leader = None

    @property
    def is_leading(self) -> bool:
        """Whether this node leads, as far as it knows."""
        leader = self.leader
        return leader is not None and not leader.has_ended

    def is_cut_off(self) -> bool:
        """Return whether this node reaches neither leader nor store.

        A leader counts as cut off when it has not written for
        `expiry_seconds`.
        """
        leader = self.leader
        if leader is not None:
            # Other nodes replace a leader that cannot write.
            age = self._clock.read_boottime() - leader.term.renewed_at
            return age > self._settings.expiry_seconds
        max_seconds = self._settings.cut_off_seconds
        since = self._isolated_since
        return since is not None and (
            self._clock.read_monotonic() - since >= max_seconds
        )

    def _record_contact(self, reached: bool, began: float) -> None:
        if reached:
            if self._isolated_since is not None:
                logger.info("leader or store reachable again")
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = began
            logger.warning("neither leader nor store reached")

    def describe(self, configuration_version: int) -> LeaderStatus:
        """Return this node's status."""
        leader = self.leader
        if leader is None or leader.has_ended:
            return LeaderStatus(False, 0, 0.0, configuration_version)
        age = self._clock.read_boottime() - leader.term.renewed_at
        return LeaderStatus(
            True, leader.term.epoch, age, configuration_version
        )

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step()
            except Exception:
                # If this loop ended, no node would replace a failed leader.
                logger.exception("election round failed")
            pause = self._settings.poll_seconds * random.uniform(0.8, 1.2)
            self._stopped.wait(pause)

    def _step(self) -> None:
        LEADING.set(int(self.is_leading))
        leader = self.leader
        if leader is not None:
            if leader.has_ended:
                leader.end(release=False)
                self.leader = None
                self.leader_address = ""
            else:
                self._check_fitness(leader)
            return
        began = self._clock.read_monotonic()
        health = self._check_leader()
        reached = health in (LeaderHealth.FRESH, LeaderHealth.CUT_OFF)
        if health is not LeaderHealth.FRESH:
            reached = self._check_row(health) or reached
        self._record_contact(reached, began)

    def _check_fitness(self, leader: Leader) -> None:
        """Step down after reaching too few workers for `unfit_seconds`."""
        now = self._clock.read_monotonic()
        with leader.tracker.lock:
            workers = [
                worker
                for worker in leader.tracker.workers.values()
                if not worker.gone and now - worker.first_seen_at > 1.0
            ]
            reached = sum(
                worker.is_in_contact(now, self._settings.unfit_seconds + 1)
                for worker in workers
            )
        if not workers or reached >= self._settings.min_contact_share * len(
            workers
        ):
            self._unfit_since = None
            return
        if self._unfit_since is None:
            self._unfit_since = now
        if now - self._unfit_since < self._settings.unfit_seconds:
            return
        logger.warning(
            "leader reaches too few workers; another zone should lead",
            extra={"reached": reached, "known": len(workers)},
        )
        self._unfit_since = None
        self._cooldown_until = now + self._settings.cooldown_seconds
        leader.end(release=True, avoided_zone=self._zone)
        self.leader = None
        self.leader_address = ""

    def _check_leader(self) -> LeaderHealth:
        if not self.leader_address:
            return LeaderHealth.STALE
        answer = self._peers.ask_status(
            self.leader_address, self._settings.call_seconds
        )
        match answer:
            case Ok(status):
                self._on_status(self.leader_address, status)
                if not status.leading:
                    return LeaderHealth.STALE
                fresh = status.age_seconds <= self._settings.fresh_seconds
                return LeaderHealth.FRESH if fresh else LeaderHealth.CUT_OFF
            case Err(failure):
                refused = "refused" in str(failure)
                return LeaderHealth.DEAD if refused else LeaderHealth.STALE
        raise AssertionError(answer)

    def _check_row(self, health: LeaderHealth) -> bool:
        """Read the leader's row, and take over if its term has expired.

        Returns whether the store answered.
        """
        deadline = Deadline.after(self._clock, self._settings.read_seconds)
        answer = self._store.read(
            self._key.table,
            self._key.partition,
            deadline,
            self._key.key,
            self._key.key + "\0",
        )
        if answer.is_err():
            return False
        now = self._clock.read_monotonic()
        rows = answer.unwrap().rows
        version = rows[0].version if rows else 0
        row = read_term(rows[0].value) if rows else None
        if version != self._row_version:
            self._row_version = version
            self._row_changed_at = now
            self._expired_since = None
        if row is not None and row.address != self.leader_address:
            health = LeaderHealth.STALE  # the status call went to another node
        if row and not row.released and row.holder != self._name:
            self.leader_address = row.address
        if not self._is_expired(row, health, now):
            self._expired_since = None
            return True
        if self._expired_since is None:
            self._expired_since = now
        waits = now - self._expired_since < self._yield_seconds
        if now >= self._cooldown_until and not waits:
            self._take_over(row, version)
        return True

    def _is_expired(
        self, row: TermRow | None, health: LeaderHealth, now: float
    ) -> bool:
        if row is None or row.holder == self._name:
            return True
        unchanged_seconds = now - self._row_changed_at
        if row.released:
            zone_wait = self._settings.fresh_seconds
            return (
                row.avoided_zone != self._zone or unchanged_seconds > zone_wait
            )
        if health is LeaderHealth.CUT_OFF:
            return True
        age = self._clock.read_wall() - row.written_at
        if health is LeaderHealth.DEAD or age >= self._settings.expiry_seconds:
            return unchanged_seconds >= self._settings.dead_expiry_seconds
        return unchanged_seconds >= self._settings.expiry_seconds

    def _measure_silence(self, row: TermRow | None) -> float:
        """Return the seconds for which the previous leader has not written.

        At least that long, as its last write was seen later than it was made;
        infinite if that leader has ended.
        """
        if row is None or row.released or row.holder == self._name:
            return math.inf
        return self._clock.read_monotonic() - self._row_changed_at

    def _take_over(self, row: TermRow | None, version: int) -> None:
        epoch = row.epoch + 1 if row is not None else 1
        wall = self._clock.read_wall()
        unchanged_seconds = self._measure_silence(row)
        new_row = TermRow(self._name, self._address, epoch, 0, wall)
        deadline = Deadline.after(self._clock, self._settings.store_seconds)
        answer = self._store.commit(
            [Expectation(self._key, version)],
            [RowWrite(self._key, new_row.encode())],
            deadline,
        )
        if answer.is_err():
            return
        logger.info(
            "term begun",
            extra={
                "epoch": epoch,
                "before": row.holder if row is not None else None,
                "released": row is not None and row.released,
            },
        )
        term = Term(
            self._store,
            self._clock,
            new_row,
            answer.unwrap(),
            self._term_settings,
            self._names,
        )
        leader = self._build_leader(term, unchanged_seconds)
        if not leader.load():
            return
        self.leader = leader
        self.leader_address = self._address
        leader.start()
