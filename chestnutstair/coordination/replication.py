"""Replicates committed records to all daemons; bootstraps new ones."""

import logging
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from prometheus_client import Counter, Gauge
from result import Err, Ok

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.gossip import HeartbeatMessage
from chestnutstair.coordination.loop import Loop
from chestnutstair.coordination.messenger import Message, PeerLinks
from chestnutstair.state.change import ChangeRecord
from chestnutstair.state.codec import (
    STRICT,
    decode_json,
    encode_json,
)
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure
from chestnutstair.state.view import FleetView

__all__ = [
    "PullMessage",
    "RecordsMessage",
    "ReplicationSettings",
    "Replicator",
    "ViewMessage",
]

logger = logging.getLogger(__name__)

PARTIAL_VIEW_LIMIT = 4  # views whose parts are received at the same time
REVISION = Gauge("chestnutstair_revision", "Applied revision of the log.")
LEARNED = Counter(
    "chestnutstair_records_learned_total",
    "Records of other daemons that this one applied, by their source.",
    ["path"],
)


@dataclass(frozen=True)
class RecordsMessage(Message):
    """Committed records without a gap, oldest first."""

    __pydantic_config__ = STRICT

    records: tuple[ChangeRecord, ...]


@dataclass(frozen=True)
class PullMessage(Message):
    """Asks for the records after a revision.

    With `view`, a peer that no longer has all of them in memory sends its
    complete view. With `start`, a peer that has a fact of the sender always
    sends its view, and writes the sender's row in the table for the sender.
    """

    __pydantic_config__ = STRICT

    after: int
    view: bool = False
    start: bool = False


@dataclass(frozen=True)
class ViewMessage(Message):
    """One part of the JSON text of the sender's view at a revision."""

    __pydantic_config__ = STRICT

    revision: int
    part: int
    part_count: int
    text: str


@dataclass(frozen=True)
class ReplicationSettings:
    """How daemons replicate the records of the change log.

    - `poll_seconds`: time between reads of new records from the table; a
      daemon that is not ready yet reads six times as often.
    - `table_seconds`: deadline of one such read.
    - `peer_wait_seconds`: how long a starting daemon that cannot read the
      table waits for peers' revisions before it pulls a view.
    - `pull_seconds`: least time between two pulls of records from peers.
    - `start_pull_seconds`: least time between two pulls of a complete
      view by a starting daemon.
    - `heard_seconds`: how long a revision heard from a peer counts as
      current.
    - `push_bytes`: larger records are not pushed; peers pull them.
    - `message_bytes`: size of the records or the part of a view in one
      message; the last record may exceed it.
    """

    __pydantic_config__ = STRICT

    poll_seconds: float = 1.5
    table_seconds: float = 2.0
    peer_wait_seconds: float = 2.0
    pull_seconds: float = 0.5
    start_pull_seconds: float = 1.0
    heard_seconds: float = 6.0
    push_bytes: int = 32 * 1024
    message_bytes: int = 256 * 1024


class Replicator:
    """Fetches records for this daemon's log and pushes them to peers.

    A daemon gets a record by push, by pull from a peer whose heartbeat
    shows a higher revision, or from the table, whichever comes first.
    """

    def __init__(
        self,
        log: ChangeLog,
        links: PeerLinks,
        clock: Clock,
        is_registered: Callable[[], bool],
        settings: ReplicationSettings | None = None,
        register_joining: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self._register_joining = register_joining
        self._settings = settings or ReplicationSettings()
        self._log = log
        self._links = links
        self._is_registered = is_registered
        self._clock = clock
        self._lock = threading.Lock()
        self._peer_revisions: dict[str, tuple[int, float]] = {}
        self._parts: dict[tuple[str, int], dict[int, str]] = {}
        self._ready = False
        self._received_view = False
        self._table_reachable = True
        self._next_pull_at = 0.0
        self._started_at = clock.read_monotonic()
        log.add_listener(self._push)
        links.add_handler(HeartbeatMessage, self._handle_heartbeat)
        links.add_handler(RecordsMessage, self._handle_records)
        links.add_handler(PullMessage, self._handle_pull)
        links.add_handler(ViewMessage, self._handle_view_part)
        self._loop = Loop("spread", self._run)

    def start(self) -> None:
        """Start polling the table."""
        self._loop.start()

    def stop(self) -> None:
        """Stop polling the table."""
        self._loop.stop()

    def is_ready(self) -> bool:
        """Return whether this daemon loaded the newest view it knows of."""
        return self._ready

    def _run(self) -> float:
        self.poll()
        if self._ready:
            return self._settings.poll_seconds
        return self._settings.poll_seconds / 6

    def poll(self) -> None:
        """Apply new records from the table; until ready, load a snapshot."""
        deadline = Deadline.after(self._clock, self._settings.table_seconds)
        before = self._log.view.revision
        # A ticket report waits only for registered daemons, so a log that
        # was read before the registration does not make this one ready.
        registered = self._is_registered()
        load = self._log.refresh if self._ready else self._log.load
        match load(deadline):
            case Ok(revision):
                LEARNED.labels("table").inc(revision - before)
                self._ready = self._ready or registered
                self._table_reachable = True
            case Err(failure):
                self._table_reachable = False
                logger.info(
                    "reading the change log failed: %s",
                    describe_failure(failure),
                )
                if not self._ready:
                    self._bootstrap_from_peers()
        REVISION.set(self._log.view.revision)

    def _bootstrap_from_peers(self) -> None:
        """Become ready with the newest view of the reachable peers."""
        peer_revisions = self._list_peer_revisions()
        newest = max(peer_revisions.values(), default=0)
        waited_seconds = self._clock.read_monotonic() - self._started_at
        if newest == 0 or waited_seconds < self._settings.peer_wait_seconds:
            return
        revision = self._log.view.revision
        if revision >= newest and self._received_view:
            self._ready = True
            return
        now = self._clock.read_monotonic()
        if now >= self._next_pull_at:
            self._next_pull_at = now + self._settings.start_pull_seconds
            peer = max(peer_revisions, key=lambda peer: peer_revisions[peer])
            self._links.send(peer, PullMessage(revision, start=True))

    def _list_peer_revisions(self) -> dict[str, int]:
        cutoff = self._clock.read_monotonic() - self._settings.heard_seconds
        with self._lock:
            return {
                peer: revision
                for peer, (revision, at) in self._peer_revisions.items()
                if at >= cutoff
            }

    # Records

    def _push(self, record: ChangeRecord, view: FleetView) -> None:
        """Send a newly applied record to peers that may lack it."""
        if len(encode_json(record)) > self._settings.push_bytes:
            return
        message = RecordsMessage((record,))
        peer_revisions = self._list_peer_revisions()
        for peer in self._links.list_held():
            if peer_revisions.get(peer, 0) < record.revision:
                self._links.send(peer, message)

    def _pull(self, peer: str) -> None:
        """Request missing records from the peer, unless pulled recently."""
        now = self._clock.read_monotonic()
        with self._lock:
            if now < self._next_pull_at:
                return
            self._next_pull_at = now + self._settings.pull_seconds
        view = not self._table_reachable
        self._links.send(peer, PullMessage(self._log.view.revision, view))

    def _record_peer_revision(self, peer: str, revision: int) -> None:
        now = self._clock.read_monotonic()
        with self._lock:
            previous = self._peer_revisions.get(peer, (0, 0.0))[0]
            self._peer_revisions[peer] = (max(previous, revision), now)

    def _handle_records(self, sender: str, message: RecordsMessage) -> None:
        if not message.records:
            return
        self._record_peer_revision(sender, message.records[-1].revision)
        before = self._log.view.revision
        revision = self._log.apply_records(message.records)
        LEARNED.labels("peer").inc(revision - before)
        if revision < message.records[-1].revision:
            self._pull(sender)

    def _handle_heartbeat(
        self, sender: str, message: HeartbeatMessage
    ) -> None:
        self._record_peer_revision(sender, message.revision)
        if self._ready and message.revision > self._log.view.revision:
            self._pull(sender)

    def _handle_pull(self, sender: str, message: PullMessage) -> None:
        if message.start:
            if self._register_joining(sender):
                self._send_view(sender)
            return
        records = self._log.list_recent(message.after)
        if records:
            limit = self._settings.message_bytes
            fitting = tuple(_limit_bytes(records, limit))
            self._links.send(sender, RecordsMessage(fitting))
        elif records is None and message.view:
            self._send_view(sender)
        # Otherwise the peer reads the records from the table.

    def _send_view(self, peer: str) -> None:
        view = self._log.view
        text = encode_json(view).decode()
        size = self._settings.message_bytes
        parts = [text[at : at + size] for at in range(0, len(text), size)]
        for index, part in enumerate(parts):
            message = ViewMessage(view.revision, index, len(parts), part)
            self._links.send(peer, message)

    def _handle_view_part(self, sender: str, message: ViewMessage) -> None:
        if message.revision < self._log.view.revision:
            return
        if len(self._parts) > PARTIAL_VIEW_LIMIT:
            self._parts.clear()
        parts = self._parts.setdefault((sender, message.revision), {})
        parts[message.part] = message.text
        if len(parts) < message.part_count:
            return
        text = "".join(parts[index] for index in range(message.part_count))
        self._parts.clear()
        match decode_json(FleetView, text):
            case Ok(view):
                self._log.install_view(view)
                self._received_view = True
            case Err(failure):
                logger.warning(
                    "decoding a peer's view failed: %s",
                    describe_failure(failure),
                )


def _limit_bytes(
    records: Sequence[ChangeRecord], limit: int
) -> Iterator[ChangeRecord]:
    """Yield the first records until their total size reaches the limit."""
    remaining_bytes = limit
    for record in records:
        remaining_bytes -= len(encode_json(record))
        yield record
        if remaining_bytes <= 0:
            return
