"""The live daemons, by leases in the table and by heartbeats."""

import logging
import threading
from collections.abc import Iterable, Sequence
from dataclasses import replace

from prometheus_client import Gauge
from result import Err, Ok, Result

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.failure_detector import (
    FailureDetector,
    MembershipSettings,
)
from chestnutstair.coordination.gossip import (
    Fact,
    FactsMessage,
    FactStore,
    HeartbeatMessage,
    MemberStatus,
    abbreviate_incarnation,
    build_member,
    select_links,
)
from chestnutstair.coordination.loop import Loop
from chestnutstair.coordination.messenger import (
    Member,
    Membership,
    PeerLinks,
)
from chestnutstair.coordination.platform import (
    Condition,
    ConflictFailure,
    ListedVm,
    PlatformFailure,
    Table,
)
from chestnutstair.coordination.registry import (
    find_gone,
    prune_rows,
    read_facts,
    write_facts,
)
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = [
    "MemberList",
    "MemberStatus",
    "MembershipSettings",
]

logger = logging.getLogger(__name__)

BEATS_PERIOD = 2  # every second heartbeat may list other daemons' beats
MISMATCH_LIMIT = 2  # differing digests in a row before facts are sent
LIVE_COUNT = Gauge("chestnutstair_members_live", "Daemons seen as live.")


class MemberList(Membership):
    """Tracks all daemons by their rows in the table and by heartbeats.

    A daemon is live while its heartbeat counter, from either source, rises
    within the lease time on this daemon's monotonic clock. Wall clocks of
    different daemons are never compared.
    """

    def __init__(
        self,
        member: Member,
        log: ChangeLog,
        table: Table,
        links: PeerLinks,
        clock: Clock,
        settings: MembershipSettings | None = None,
    ) -> None:
        self._settings = settings or MembershipSettings()
        self._log = log
        self._table = table
        self._links = links
        self._clock = clock
        self._lock = threading.RLock()
        self._facts = FactStore()
        self._detector = FailureDetector(clock, self._settings)
        self._joining: dict[str, Fact] = {}
        self._joining_revision = 0
        self._mismatches: dict[str, int] = {}
        self._table_read_at = clock.read_monotonic()
        self._next_scan_at = 0.0
        self._ticks = 0
        self._registered = False
        self._own = Fact(
            member.name, member.zone, member.address, member.incarnation, 1
        )
        self._merge(self._own)
        links.add_handler(HeartbeatMessage, self._handle_heartbeat)
        links.add_handler(FactsMessage, self._handle_facts)
        self._loops = (
            Loop("heartbeat", self._run_heartbeat),
            Loop("membership", self._run_renewal),
        )

    def start(self) -> None:
        """Start sending heartbeats and renewing this daemon's row."""
        for loop in self._loops:
            loop.start()

    def stop(self) -> None:
        """Announce that this daemon stops, and end the loops."""
        with self._lock:
            self._own = replace(self._own, stopping=True)
        self.send_heartbeats()
        for loop in self._loops:
            loop.stop()
        self._write_own(self._make_deadline())

    def register(self) -> None:
        """Write this daemon's row, which must precede loading the log.

        Reports on tickets that are committed later include this row and
        wait for this daemon; earlier tickets are in the log it loads.
        """
        self._write_own(self._make_deadline())

    def register_joining(self, name: str) -> bool:
        """Register a daemon that starts from this daemon's view.

        Until the row of the joining daemon is written, this daemon
        confirms no newer revision, so that no ticket report overlooks the
        joining daemon. Return False if no fact of that daemon is known yet.
        """
        with self._lock:
            fact = self._facts.get(name)
            if fact is None:
                return False
            if not self._joining:
                self._joining_revision = self._log.view.revision
            self._joining[name] = fact
            return True

    def is_registered(self) -> bool:
        """Return whether this daemon's row has been written."""
        return self._registered

    def mark_ready(self) -> None:
        """Publish that this daemon is ready to serve."""
        with self._lock:
            self._own = replace(self._own, ready=True)
        self.register()

    def get_self(self) -> Member:
        """Return this daemon."""
        return replace(
            build_member(self._own), revision=self._log.view.revision
        )

    def list_live(self) -> tuple[Member, ...]:
        """Return the live daemons and this one, sorted by name."""
        return tuple(
            build_member(status.fact)
            for status in self.list_statuses()
            if status.live and not status.fact.stopping
        )

    def list_unsuspected(self) -> frozenset[str]:
        """Return the incarnations of live daemons that are not suspected.

        Their heartbeats arrive here, and they can renew their rows in the
        table.
        """
        with self._lock:
            return frozenset(
                status.fact.incarnation
                for status in self.list_statuses()
                if status.live
                and not status.fact.stopping
                and status.fact.reaches_table
                and not self._detector.misses_heartbeats(status.fact.name)
            )

    def list_statuses(self) -> tuple[MemberStatus, ...]:
        """Return the status of every known daemon, sorted by name."""
        with self._lock:
            if self._own.revision != self._log.view.revision:
                self._refresh_own()
            wall = self._clock.read_wall()
            return tuple(
                self._describe(fact, wall) for fact in self._facts.list_facts()
            )

    def _describe(self, fact: Fact, wall: float) -> MemberStatus:
        silence = self._detector.measure_silence(fact.name)
        is_live = self._is_live(fact.name)
        return MemberStatus(fact, is_live, wall - silence, silence)

    def _is_live(self, name: str) -> bool:
        return name == self._own.name or self._detector.is_live(name)

    def _make_deadline(self) -> Deadline:
        return Deadline.after(self._clock, self._settings.table_seconds)

    def _merge(self, fact: Fact) -> None:
        own = fact.name == self._own.name
        if own and fact.incarnation != self._own.incarnation:
            # A fact of an earlier run of this daemon: continue above it.
            beat = max(self._own.beat, fact.beat + 1)
            self._own = replace(self._own, beat=beat)
        elif self._facts.merge(fact):
            self._detector.record_beat(fact.name)

    def _refresh_own(self) -> Fact:
        """Raise this daemon's beat and update its confirmed revision."""
        revision = self._log.view.revision
        if self._joining:
            revision = min(revision, self._joining_revision)
        self._own = replace(
            self._own, beat=self._own.beat + 1, revision=revision
        )
        self._merge(self._own)
        return self._own

    # Heartbeats

    def _run_heartbeat(self) -> float:
        self.send_heartbeats()
        return self._settings.heartbeat_seconds

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each peer with a stream kept open."""
        with self._lock:
            self._refresh_own()
            self._ticks += 1
            held = self._update_links()
            messages = {
                peer: self._build_heartbeat(peer) for peer in sorted(held)
            }
            LIVE_COUNT.set(len(self.list_live()))
        for peer, message in messages.items():
            self._links.send(peer, message)

    def _update_links(self) -> set[str]:
        addresses = {
            fact.name: fact.address
            for fact in self._facts.list_facts()
            if fact.name != self._own.name and not fact.stopping
        }
        live_names = [name for name in addresses if self._is_live(name)]
        limit = self._settings.mesh_limit
        held = select_links(self._own.name, live_names, limit)
        known_addresses = {*addresses.values(), self._own.address}
        seeds = {
            seed: seed
            for seed in self._settings.seeds
            if seed not in known_addresses
        }
        # Silent daemons may be on the other side of a network partition.
        silent = sorted(set(addresses) - set(live_names))[:limit]
        self._links.set_peers({**addresses, **seeds}, {*held, *seeds, *silent})
        return {*held, *seeds, *silent}

    def _build_heartbeat(self, peer: str) -> HeartbeatMessage:
        own = self._own
        live_names = self._list_live_names()
        return HeartbeatMessage(
            abbreviate_incarnation(own.incarnation),
            own.beat,
            own.revision,
            self._facts.compute_digest(live_names),
            self._facts.collect_updates(
                peer, live_names, self._settings.fact_limit
            ),
            self._list_beats(),
        )

    def _list_live_names(self) -> frozenset[str]:
        return frozenset(
            fact.name
            for fact in self._facts.list_facts()
            if self._is_live(fact.name)
        )

    def _list_beats(self) -> dict[str, int] | None:
        """Return other daemons' beats while the table cannot be read.

        Return None if the table was read within the lease time, and for
        the heartbeats that `BEATS_PERIOD` skips.
        """
        unread_seconds = self._clock.read_monotonic() - self._table_read_at
        if (
            unread_seconds < self._settings.lease_seconds
            or self._own.beat % BEATS_PERIOD
        ):
            return None
        return {
            fact.name: fact.beat
            for fact in self._facts.list_facts()
            if fact.name != self._own.name and self._is_live(fact.name)
        }

    def _handle_heartbeat(
        self, sender: str, message: HeartbeatMessage
    ) -> None:
        with self._lock:
            self._merge_facts(sender, message.facts)
            fact = self._facts.get(sender)
            if fact is not None and message.run == abbreviate_incarnation(
                fact.incarnation
            ):
                self._detector.record_direct_heartbeat(sender)
                self._merge(
                    replace(fact, beat=message.beat, revision=message.revision)
                )
            for name, beat in (message.beats or {}).items():
                current = self._facts.get(name)
                if current is not None and name != self._own.name:
                    self._merge(replace(current, beat=beat))
            self._compare_digest(sender, message)

    def _merge_facts(self, sender: str, facts: Iterable[Fact]) -> None:
        for fact in facts:
            current = self._facts.get(fact.name)
            if current is None or current.incarnation != fact.incarnation:
                self._facts.reset_peer(fact.name)
            self._merge(fact)
        self._facts.record_peer_facts(sender, facts)

    def _compare_digest(self, sender: str, message: HeartbeatMessage) -> None:
        """Send all live facts to a peer whose digest keeps differing."""
        live_names = self._list_live_names()
        if message.digest == self._facts.compute_digest(live_names):
            self._mismatches.pop(sender, None)
            return
        count = self._mismatches.get(sender, 0) + 1
        self._mismatches[sender] = count % MISMATCH_LIMIT
        if count == MISMATCH_LIMIT:
            facts = [
                fact
                for fact in self._facts.list_facts()
                if fact.name in live_names
            ]
            self._links.send(sender, FactsMessage(tuple(facts)))

    def _handle_facts(self, sender: str, message: FactsMessage) -> None:
        with self._lock:
            self._merge_facts(sender, message.facts)

    # The table

    def _run_renewal(self) -> float:
        self.renew()
        return self._settings.renew_seconds

    def renew(self) -> None:
        """Read all rows if a scan is due, then renew this daemon's row."""
        deadline = self._make_deadline()
        if self._clock.read_monotonic() >= self._next_scan_at:
            self.read_rows(deadline)
        self._write_own(deadline)

    def _write_own(self, deadline: Deadline) -> None:
        with self._lock:
            joining = list(self._joining.values())
            facts = [self._refresh_own(), *joining]
        written = write_facts(self._table, facts, deadline)
        with self._lock:
            self._own = replace(self._own, reaches_table=written.is_ok())
            for fact in joining if written.is_ok() else ():
                if self._joining.get(fact.name) is fact:
                    del self._joining[fact.name]
            self._registered = self._registered or written.is_ok()
        match written:
            case Err(failure):
                logger.info(
                    "renewing the membership row failed: %s",
                    describe_failure(failure),
                )

    def read_rows(self, deadline: Deadline) -> Result[None, PlatformFailure]:
        """Read the rows of all daemons."""
        now = self._clock.read_monotonic()
        match read_facts(self._table, deadline):
            case Ok(facts):
                self._merge_rows(facts)
                self._table_read_at = now
                self._next_scan_at = (
                    now + self._detector.choose_scan_interval()
                )
                return Ok(None)
            case Err(failure):
                logger.info(
                    "reading the membership rows failed: %s",
                    describe_failure(failure),
                )
                return Err(failure)
        raise AssertionError

    def _merge_rows(self, facts: tuple[Fact, ...]) -> None:
        with self._lock:
            for fact in facts:
                self._merge(fact)
            listed = {fact.name for fact in facts}
            for fact in self._facts.list_facts():
                if fact.name not in listed and not self._is_live(fact.name):
                    self._facts.remove(fact.name)
                    self._detector.remove(fact.name)

    def prune(
        self, listed: Sequence[ListedVm], fence: Condition, deadline: Deadline
    ) -> Result[None, ConflictFailure | PlatformFailure]:
        """Delete the rows of daemons that stopped or whose VM is gone.

        Silence alone is not enough: a partitioned daemon may still serve.
        """
        statuses = self.list_statuses()
        silent = [
            status.fact.name
            for status in statuses
            if status.silent_seconds > self._settings.forget_seconds
        ]
        gone = find_gone(silent, listed, self._own.name)
        return prune_rows(self._table, statuses, gone, fence, deadline)
