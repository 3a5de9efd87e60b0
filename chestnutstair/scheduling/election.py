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
from chestnutstair.scheduling.shards.shard import ONLY_SHARD, Shard
from chestnutstair.scheduling.shards.spread import compute_fraction
from chestnutstair.scheduling.shards.status_pacing import CALLS_PER_SECOND
from chestnutstair.scheduling.term import (
    Term,
    TermRow,
    TermSettings,
    read_term,
)
from chestnutstair.state.deadline import Clock, Deadline

__all__ = [
    "Election",
    "ElectionSettings",
    "LeaderStatus",
    "NodeContact",
    "StatusSource",
]

logger = logging.getLogger(__name__)

# Bounds of the random factor of the pause between two checks.
SHORTEST_PAUSE = 0.8
LONGEST_PAUSE = 1.2


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
    # node to check the leader twice; with so many nodes that they check less
    # often, it waits for one more check.
    yield_seconds: float = 1.0
    # A node that has reached neither the leader nor the store for this long,
    # which is two or three checks, counts as cut off: it cannot serve
    # callers.
    cut_off_seconds: float = 0.8
    # With several shards, a node waits this much longer before it takes a
    # term for each one that it leads, which is two checks of other nodes.
    led_wait_seconds: float = 0.5
    # With several shards, nodes take terms spread over this time, so that
    # hundreds of them do not write the same row at once.
    spread_seconds: float = 0.3
    # Number of nodes that watch the row of a leader which does not answer;
    # 160 reads a second of one partition. The other nodes wait for one of
    # them to take over, at first for `bystander_seconds`.
    watchers: int = 40
    bystander_seconds: float = 2.5


@dataclass(frozen=True)
class LeaderStatus:
    """A node's answer to a status call of another node.

    - `age_seconds`: the age of the leader's last write to the store, 0 on a
      node that does not lead.
    - `leader_address`: the address of the leader that the node knows, if
      there is one shard.
    - `members`: addresses of nodes that have called this one recently.
    - `poll_seconds`: how long the caller should wait until its next call.
    - `leaders`: the addresses of the leaders by shard, as far as the node
      knows them, if there are several shards.

    Nodes of the previous version send and read only the first four fields.
    """

    leading: bool
    epoch: int
    age_seconds: float
    configuration_version: int
    leader_address: str = ""
    members: tuple[str, ...] = ()
    poll_seconds: float = 0.0
    leaders: tuple[str, ...] = ()


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


class NodeContact:
    """Whether this node reaches any leader or the store.

    Shared by the elections of all shards.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._isolated_since: float | None = None

    def record(self, reached: bool, began: float) -> None:
        """Record whether a leader or the store answered a call.

        `began` is the monotonic time of the call.
        """
        if reached:
            if self._isolated_since is not None:
                logger.info("leader or store reachable again")
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = began
            logger.warning("neither leader nor store reached")

    def is_isolated(self, seconds: float) -> bool:
        """Return whether nothing has answered for the given seconds."""
        since = self._isolated_since
        return since is not None and (
            self._clock.read_monotonic() - since >= seconds
        )


def _run_inline(task: Callable[[], None]) -> None:
    task()


class Election:
    """Monitors a shard's leader and takes over when its term has expired.

    Its rounds are run by one thread, with those of the other shards.

    - `count_led`: returns how many shards this node leads.
    - `may_check`: returns whether a leader that did not answer last time, or
      that is not known, may be checked now by a status call and a read of
      its row.
    - `run_load`: runs the loading of a leader's state, which takes seconds;
      with several shards on a thread of its own.
    """

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
        shard: Shard = ONLY_SHARD,
        contact: NodeContact | None = None,
        count_led: Callable[[], int] | None = None,
        may_check: Callable[[], bool] = lambda: True,
        run_load: Callable[[Callable[[], None]], None] = _run_inline,
    ) -> None:
        self._shard = shard
        self._key = shard.names.term_key
        self._contact = contact or NodeContact(clock)
        self._count_led = count_led or self._count_self
        self._may_check = may_check
        self._run_load = run_load
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
        self._take_over_at = math.inf
        self._lock = threading.Lock()
        self._loading: Leader | None = None
        self._row_version = -1
        self._row_changed_at = 0.0
        self._unfit_since: float | None = None
        self._cooldown_until = 0.0
        self._may_lead = True
        # State of the leader in the last round, and when it last answered.
        self._health = LeaderHealth.STALE
        self._fresh_at = -math.inf
        # The interval that the leader asked for, 0 before its first answer.
        self._told_seconds = 0.0
        # Whether the store answered when it was last asked.
        self._store_answers = False
        self.leader: Leader | None = None
        self.leader_address = ""

    def stop(self) -> None:
        """Release the term if leading, so that another node takes over.

        The thread that runs the rounds must have stopped.
        """
        with self._lock:
            self._may_lead = False
            leader, self.leader = self.leader, None
        if leader is not None:
            leader.end(release=not leader.has_ended)

    def _count_self(self) -> int:
        return int(self.is_leading)

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
        return self._contact.is_isolated(self._settings.cut_off_seconds)

    @property
    def hears_leader(self) -> bool:
        """Whether this node leads, or the leader has answered it."""
        return self.is_leading or self._health in (
            LeaderHealth.FRESH,
            LeaderHealth.CUT_OFF,
        )

    def describe(self, configuration_version: int) -> LeaderStatus:
        """Return this node's status."""
        leader = self.leader
        if leader is None or leader.has_ended:
            return LeaderStatus(False, 0, 0.0, configuration_version)
        age = self._clock.read_boottime() - leader.term.renewed_at
        return LeaderStatus(
            True, leader.term.epoch, age, configuration_version
        )

    def run_round(self) -> float:
        """Check the leader once; return the seconds until the next round."""
        try:
            self._step()
        except Exception:
            # If the rounds ended, no node would replace a failed leader.
            logger.exception("election round failed")
        return self._choose_pause()

    def _choose_pause(self) -> float:
        pause = self._settings.poll_seconds
        if self.leader is None and self._loading is None:
            if self._health is LeaderHealth.FRESH or self._is_bystander():
                pause = max(pause, self._told_seconds)
            until = self._take_over_at - self._clock.read_monotonic()
            if until > 0 and not self._shard.is_only:
                return min(pause, until)
        return pause * random.uniform(SHORTEST_PAUSE, LONGEST_PAUSE)

    @property
    def shortest_interval(self) -> float:
        """Seconds between two checks that failed calls to the leader cause.

        Half of what the leader asks for, so that hundreds of nodes whose
        callers ask for its jobs do not flood it.
        """
        return max(self._settings.poll_seconds, self._told_seconds / 2)

    def suggest_leader(self, address: str) -> bool:
        """Note the address of the leader that another node knows.

        It is checked in the next round. Returns whether it is news: not
        while the known leader answers, or this node leads. The only shard's
        leader is named by the store while that answers.
        """
        if (
            self._health is LeaderHealth.FRESH
            or self.leader is not None
            or (self._shard.is_only and self._store_answers)
            or address in ("", self._address, self.leader_address)
        ):
            return False
        logger.info(
            "leader named by another node",
            extra={"address": address, "before": self.leader_address},
        )
        self.leader_address = address
        return True

    def _is_bystander(self) -> bool:
        """Return whether this node leaves the takeover to others for now.

        Each leader has some nodes that watch its row, chosen by a hash. The
        others watch it too if those have not replaced the leader in time.
        """
        pollers = self._told_seconds * CALLS_PER_SECOND
        if self._shard.is_only or pollers <= self._settings.watchers:
            return False
        age = self._clock.read_monotonic() - self._fresh_at
        if age > self._settings.bystander_seconds + self._told_seconds:
            return False
        fraction = compute_fraction(self._name, self._shard.number)
        return fraction >= self._settings.watchers / pollers

    def _step(self) -> None:
        LEADING.set(self._count_led())
        if self._loading is not None:
            return
        leader = self.leader
        if leader is not None:
            if leader.has_ended:
                leader.end(release=False)
                self.leader = None
                self.leader_address = ""
                self._health = LeaderHealth.STALE
            else:
                self._record_own_writes(leader)
                self._check_fitness(leader)
            return
        began = self._clock.read_monotonic()
        was_fresh = self._health is LeaderHealth.FRESH
        if not was_fresh and not self._may_check():
            return
        health = self._health = self._check_leader()
        reached = health in (LeaderHealth.FRESH, LeaderHealth.CUT_OFF)
        if health is LeaderHealth.FRESH:
            self._fresh_at = began
            self._take_over_at = math.inf
        elif self._is_bystander() or (was_fresh and not self._may_check()):
            if reached:
                self._contact.record(True, began)
            return
        else:
            self._store_answers = self._check_row(health)
            reached = self._store_answers or reached
        self._contact.record(reached, began)

    def _record_own_writes(self, leader: Leader) -> None:
        """Record whether the store takes the writes of this node's leader."""
        if not self._shard.is_only:
            age = self._clock.read_boottime() - leader.term.renewed_at
            now = self._clock.read_monotonic()
            self._contact.record(age <= self._settings.expiry_seconds, now)

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
        self._step_down(leader, now, self._zone)

    def _step_down(self, leader: Leader, now: float, avoided: str) -> None:
        """Release the term to a node outside the avoided zone, if any."""
        self._cooldown_until = now + self._settings.cooldown_seconds
        leader.end(release=True, avoided_zone=avoided)
        self.leader = None
        self.leader_address = ""
        self._health = LeaderHealth.STALE

    def hand_over(self) -> None:
        """Release the term, if this node leads, to any other node."""
        leader = self.leader
        if leader is not None and not leader.has_ended:
            logger.info(
                "term handed over: this node leads too many shards",
                extra={"shard": self._shard.number},
            )
            self._step_down(leader, self._clock.read_monotonic(), "")

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
                self._told_seconds = status.poll_seconds
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
        row = read_term(rows[0].value, version) if rows else None
        if version != self._row_version:
            if row is not None and not row.holder:
                logger.error(
                    "term row cannot be decoded",
                    extra={"shard": self._shard.number, "version": version},
                )
            self._row_version = version
            self._row_changed_at = now
            self._expired_since = None
            self._take_over_at = math.inf
        if row is not None and row.address != self.leader_address:
            health = LeaderHealth.STALE  # the status call went to another node
        if row and not row.released and row.holder != self._name:
            self.leader_address = row.address
        if not self._is_expired(row, health, now):
            self._expired_since = None
            self._take_over_at = math.inf
            return True
        if self._expired_since is None:
            self._expired_since = now
        self._take_over_at = self._expired_since + self._compute_wait()
        if now >= self._cooldown_until and now >= self._take_over_at:
            self._take_over(row, version)
        return True

    def _compute_wait(self) -> float:
        """Return how long this node leaves an expired term to others."""
        settings = self._settings
        wait = self._yield_seconds
        if wait > 0:
            # Nodes check the leader as often as it has asked for, so nodes
            # with more power may notice later by one interval.
            longest_pause = LONGEST_PAUSE * self._told_seconds
            wait += max(0.0, longest_pause - settings.poll_seconds)
        if not self._shard.is_only:
            wait += self._count_led() * settings.led_wait_seconds
            fraction = compute_fraction(self._name, self._shard.number)
            if self._yield_seconds > 0:
                fraction += 1.0  # after the nodes that have the power
            wait += fraction * settings.spread_seconds
        return wait

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
                "shard": self._shard.number,
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
            self._shard.names,
        )
        leader = self._build_leader(term, unchanged_seconds)
        self._loading = leader
        self._run_load(lambda: self._load(leader))

    @property
    def is_loading(self) -> bool:
        """Whether this node has taken the term and its leader loads."""
        return self._loading is not None

    def _load(self, leader: Leader) -> None:
        try:
            if not leader.load():
                return
            with self._lock:
                may_lead = self._may_lead
                if may_lead:
                    self.leader = leader
                    self.leader_address = self._address
            if may_lead:
                leader.start()
            else:
                leader.end(release=True)
        except Exception:
            # Another node takes over once the term has expired.
            logger.exception(
                "leader cannot start", extra={"shard": self._shard.number}
            )
        finally:
            self._take_over_at = math.inf
            self._loading = None
