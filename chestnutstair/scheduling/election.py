"""Keeps one node of all leading, by one row in the store."""

import logging
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
from chestnutstair.scheduling.term import (
    PARTITION,
    TERM_KEY,
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
    """Times of finding and replacing a leader.

    `poll_seconds` lie between two looks at the leader. A leader that says
    its last write is older than `fresh_seconds`, three of its beats, is
    replaced at once. One that does not answer is watched in the store, and
    replaced if its row has not changed for `expiry_seconds`; for
    `dead_seconds`, two of its beats, if its address refuses connections or
    the row says that it was written longer ago than `expiry_seconds`. A
    leader that reaches less than `least_contact` of its workers for
    `unfit_seconds` lets one in another zone lead, and stands back for
    `stand_back_seconds`. Leading takes about `full_power` of a core at the
    largest sizes; a VM with less lets others go first, for up to
    `yield_seconds`, in which each other one looks twice. A node that for
    `cut_off_seconds` reaches neither the leader nor the store, two or three
    looks, can do nothing for callers.
    """

    poll_seconds: float = 0.25
    fresh_seconds: float = 1.3
    expiry_seconds: float = 1.5
    dead_seconds: float = 0.8
    call_seconds: float = 0.25
    store_seconds: float = 1.2
    least_contact: float = 0.5
    unfit_seconds: float = 1.2
    stand_back_seconds: float = 2.0
    full_power: float = 1.0
    yield_seconds: float = 1.0
    cut_off_seconds: float = 0.8


@dataclass(frozen=True)
class LeaderStatus:
    """What a node says when asked whether it leads.

    `age_seconds` is the age of its last write to the store.
    """

    leading: bool
    epoch: int
    age_seconds: float
    configuration_version: int


class StatusSource(Protocol):
    """Asks another node for its status."""

    def ask_status(
        self, address: str, seconds: float
    ) -> Result[LeaderStatus, PlatformFailure]:
        """Return the status of the node at the address."""
        ...


class Sight(Enum):
    """What a look at the leader showed."""

    FRESH = "fresh"
    CUT_OFF = "cut off"  # it answers, but can not write to the store
    STALE = "stale"
    DEAD = "dead"


class Election:
    """Watches the leader and takes over when it is gone."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        store: RowStore,
        peers: StatusSource,
        build_leader: Callable[[Term, bool], Leader],
        note_status: Callable[[str, LeaderStatus], None],
        clock: Clock,
        settings: ElectionSettings,
        term_settings: TermSettings,
        power: float = 1.0,
    ) -> None:
        self._name = name
        self._zone = zone
        self._address = address
        self._store = store
        self._peers = peers
        self._build_leader = build_leader
        self._note_status = note_status
        self._clock = clock
        self._settings = settings
        self._term_settings = term_settings
        missing = max(0.0, 1.0 - power / settings.full_power)
        self._yield_seconds = missing * settings.yield_seconds
        self._over_since: float | None = None
        self._stopped = threading.Event()
        self._seen_version = -1
        self._seen_at = 0.0
        self._unfit_since: float | None = None
        self._stand_back_until = 0.0
        self._may_lead = True
        self._alone_since: float | None = None
        self.leader: Leader | None = None
        self.leader_address = ""
        self._thread = threading.Thread(
            target=self._run, name="election", daemon=True
        )

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> None:
        """Lead no more; let another node take over at once."""
        self._may_lead = False
        self._stopped.set()
        self._thread.join()
        if self.leader is not None:
            self.leader.end(release=not self.leader.has_ended)
            self.leader = None

    @property
    def is_leading(self) -> bool:
        """Tell whether this node leads, as far as it knows."""
        leader = self.leader
        return leader is not None and not leader.has_ended

    def is_cut_off(self) -> bool:
        """Tell whether this node reaches neither the leader nor the store."""
        leader = self.leader
        if leader is not None:
            # Others take over from a leader that can not write.
            age = self._clock.read_boottime() - leader.term.renewed_at
            return age > self._settings.expiry_seconds
        limit = self._settings.cut_off_seconds
        since = self._alone_since
        return since is not None and (
            self._clock.read_monotonic() - since >= limit
        )

    def _note_reach(self, reached: bool, began: float) -> None:
        if reached:
            if self._alone_since is not None:
                logger.info("leader or store reached again")
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = began
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
                # Without this loop nobody would replace a lost leader.
                logger.exception("election failed")
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
        sight = self._look()
        reached = sight in (Sight.FRESH, Sight.CUT_OFF)
        if sight is not Sight.FRESH:
            reached = self._watch_row(sight) or reached
        self._note_reach(reached, began)

    def _check_fitness(self, leader: Leader) -> None:
        now = self._clock.read_monotonic()
        with leader.tracker.lock:
            known = [
                worker
                for worker in leader.tracker.workers.values()
                if not worker.gone and now - worker.first_seen_at > 1.0
            ]
            reached = sum(
                worker.is_in_contact(now, self._settings.unfit_seconds + 1)
                for worker in known
            )
        if not known or reached >= self._settings.least_contact * len(known):
            self._unfit_since = None
            return
        if self._unfit_since is None:
            self._unfit_since = now
        if now - self._unfit_since < self._settings.unfit_seconds:
            return
        logger.warning(
            "leader reaches too few workers; another zone should lead",
            extra={"reached": reached, "known": len(known)},
        )
        self._unfit_since = None
        self._stand_back_until = now + self._settings.stand_back_seconds
        leader.end(release=True, avoided_zone=self._zone)
        self.leader = None
        self.leader_address = ""

    def _look(self) -> Sight:
        if not self.leader_address:
            return Sight.STALE
        answer = self._peers.ask_status(
            self.leader_address, self._settings.call_seconds
        )
        match answer:
            case Ok(status):
                self._note_status(self.leader_address, status)
                if not status.leading:
                    return Sight.STALE
                fresh = status.age_seconds <= self._settings.fresh_seconds
                return Sight.FRESH if fresh else Sight.CUT_OFF
            case Err(failure):
                refused = "refused" in str(failure)
                return Sight.DEAD if refused else Sight.STALE
        raise AssertionError(answer)

    def _watch_row(self, sight: Sight) -> bool:
        """Read the leader's row; tell whether the store answered."""
        deadline = Deadline.after(self._clock, self._settings.store_seconds)
        answer = self._store.read(
            TERM_KEY.table,
            PARTITION,
            deadline,
            TERM_KEY.key,
            TERM_KEY.key + "\0",
        )
        if answer.is_err():
            return False
        now = self._clock.read_monotonic()
        rows = answer.unwrap().rows
        version = rows[0].version if rows else 0
        row = read_term(rows[0].value) if rows else None
        if version != self._seen_version:
            self._seen_version = version
            self._seen_at = now
            self._over_since = None
        if row is not None and row.address != self.leader_address:
            sight = Sight.STALE  # the look was at another one
        if row and not row.released and row.holder != self._name:
            self.leader_address = row.address
        if not self._is_over(row, sight, now):
            self._over_since = None
            return True
        if self._over_since is None:
            self._over_since = now
        waits = now - self._over_since < self._yield_seconds
        if now >= self._stand_back_until and not waits:
            self._take_over(row, version)
        return True

    def _is_over(self, row: TermRow | None, sight: Sight, now: float) -> bool:
        if row is None or row.holder == self._name:
            return True
        unchanged = now - self._seen_at
        if row.released:
            wait = self._settings.fresh_seconds
            return row.avoided_zone != self._zone or unchanged > wait
        if sight is Sight.CUT_OFF:
            return True
        age = self._clock.read_wall() - row.written_at
        if sight is Sight.DEAD or age >= self._settings.expiry_seconds:
            return unchanged >= self._settings.dead_seconds
        return unchanged >= self._settings.expiry_seconds

    def _take_over(self, row: TermRow | None, version: int) -> None:
        epoch = row.epoch + 1 if row is not None else 1
        wall = self._clock.read_wall()
        mine = TermRow(self._name, self._address, epoch, 0, wall)
        deadline = Deadline.after(self._clock, self._settings.store_seconds)
        answer = self._store.commit(
            [Expectation(TERM_KEY, version)],
            [RowWrite(TERM_KEY, mine.encode())],
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
            mine,
            answer.unwrap(),
            self._term_settings,
        )
        ended = row is None or row.released or row.holder == self._name
        leader = self._build_leader(term, ended)
        if not leader.load():
            return
        self.leader = leader
        self.leader_address = self._address
        leader.start()
