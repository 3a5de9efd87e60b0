"""Runs the configuration components of a daemon for the benchmark."""

import contextlib
import os
import random
import resource
import socket
import struct
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from multiprocessing.connection import Connection
from typing import Any

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.duties import LeasedDuties
from chestnutstair.coordination.gossip import FactsMessage, HeartbeatMessage
from chestnutstair.coordination.membership import (
    MemberList,
    MembershipSettings,
)
from chestnutstair.coordination.messenger import Member, Message
from chestnutstair.coordination.platform import (
    Condition,
    Key,
    Write,
)
from chestnutstair.coordination.replication import (
    PullMessage,
    RecordsMessage,
    Replicator,
    ViewMessage,
)
from chestnutstair.coordination.tickets import TicketService
from chestnutstair.state.change import ChangeRecord
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView
from chestnutstair.transport.peers import PeerNetwork
from chestnutstair.transport.platform import HttpObjectStore, HttpTable

__all__ = ["NodeSettings", "ReplicationMode", "Usage", "run_node"]

MESSAGE_TYPES = (
    FactsMessage,
    HeartbeatMessage,
    PullMessage,
    RecordsMessage,
    ViewMessage,
)
# Fields of the Linux struct tcp_info from this offset: bytes acknowledged and
# received (64 bits each), then segments sent and received (32 bits each).
TCP_INFO_OFFSET = 120
TCP_INFO_FORMAT = "=QQII"
TCP_INFO_BYTES = 256
SAMPLE_INTERVAL_SECONDS = 1.0
HEADER_BYTES = 52  # per segment: IP, and TCP with the timestamp option


class ReplicationMode(StrEnum):
    """How records reach the daemons that did not accept them."""

    POLL = "poll"  # every daemon polls the table; no push or pull
    ZONE = "zone"  # one daemon per zone polls and pushes to the others
    PUSH = "push"  # as shipped: push, digests in heartbeats, and polling


@dataclass(frozen=True)
class NodeSettings:
    """Settings of one benchmark process, which runs one node."""

    name: str
    zone: str
    platform: str  # host:port of the stand-in platform
    seeds: tuple[str, ...]  # peer addresses to join through
    mode: ReplicationMode
    loss_share: float  # share of the peer messages to drop, 0 to 1
    random_seed: int  # for the choice of dropped messages
    duties: int = 10  # number of duties that the nodes share


@dataclass(frozen=True)
class Usage:
    """Resources that the process has used since its start."""

    measured_at: float  # monotonic seconds
    cpu_seconds: float  # user and system
    sent_bytes: int  # TCP and IP headers included
    received_bytes: int  # TCP and IP headers included
    table_reads: int
    table_writes: int
    memory_mb: float  # peak resident set


class LossyNetwork(PeerNetwork):
    """Drops a share of the messages, and all to unreachable peers."""

    loss_share = 0.0
    unreachable_peers: frozenset[str] = frozenset()
    rng = random.Random(0)

    def send(self, peer: str, message: Message) -> bool:
        """Send or drop the message; a dropped one counts as sent."""
        if (
            peer in self.unreachable_peers
            or self.rng.random() < self.loss_share
        ):
            return True
        return super().send(peer, message)


class CountingTable(HttpTable):
    """Counts read and write operations on the table."""

    reads = 0
    writes = 0

    def read(self, keys: Sequence[Key], deadline: Deadline) -> Any:
        """Count one read and perform it."""
        self.reads += 1
        return super().read(keys, deadline)

    def scan(self, *arguments: Any) -> Any:
        """Count one read and perform the scan."""
        self.reads += 1
        return super().scan(*arguments)

    def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Any:
        """Count one write and perform the commit."""
        self.writes += 1
        return super().commit(conditions, writes, deadline)


class PollingReplicator(Replicator):
    """Replicates by polling the table only, without push or pull."""

    def _push(self, record: ChangeRecord, view: FleetView) -> None:
        return

    def _handle_heartbeat(
        self, sender: str, message: HeartbeatMessage
    ) -> None:
        self._record_peer_revision(sender, message.revision)


class ZoneReplicator(Replicator):
    """Polls the table in one daemon per zone.

    Daemons push the records that they apply to peers, except those of
    tickets that they file themselves.
    """

    members: MemberList
    filing = False  # whether this daemon is filing a ticket

    def _push(self, record: ChangeRecord, view: FleetView) -> None:
        if not self.filing:
            super()._push(record, view)

    def poll(self) -> None:
        """Poll until ready, then only in one daemon of the zone.

        That daemon is the first by name of the live ones.
        """
        me = self.members.get_self()
        zone = [
            item.name
            for item in self.members.list_live()
            if item.zone == me.zone
        ]
        if not self._ready or zone[0] == me.name:
            super().poll()


@dataclass
class BenchNode:
    """The components of a daemon that replicate its configuration."""

    settings: NodeSettings
    # Monotonic seconds at which each revision was applied here.
    applied_at: dict[int, float] = field(default_factory=dict)

    def start(self) -> str:
        """Build and start all components; return the address for peers."""
        settings = self.settings
        clock = SystemClock()
        url = f"http://{settings.platform}"
        arguments = (url, settings.name, settings.zone, clock)
        self.table = CountingTable(*arguments)
        incarnation = f"{settings.name}-{os.getpid()}"
        self.network = LossyNetwork(settings.name, incarnation, MESSAGE_TYPES)
        self.network.rng = random.Random(settings.random_seed)
        self.network.loss_share = settings.loss_share
        self.counter = ByteCounter()
        address = self.network.start()
        self.log = ChangeLog(
            self.table,
            clock,
            settings.name,
            FleetView(),
            HttpObjectStore(*arguments),
        )
        self.members = MemberList(
            Member(settings.name, settings.zone, address, incarnation),
            self.log,
            self.table,
            self.network,
            clock,
            MembershipSettings(seeds=settings.seeds),
        )
        replicator_classes = {
            ReplicationMode.POLL: PollingReplicator,
            ReplicationMode.ZONE: ZoneReplicator,
        }
        replicator_class = replicator_classes.get(settings.mode, Replicator)
        self.replicator = replicator_class(
            self.log, self.network, clock, self.members.is_registered
        )
        if isinstance(self.replicator, ZoneReplicator):
            self.replicator.members = self.members
        self.log.add_listener(self._record_applied)
        duty_names = [f"duty-{index}" for index in range(settings.duties)]
        self.duties = LeasedDuties(
            self.table, self.members, lambda: duty_names, clock
        )
        self.ticket_service = TicketService(
            self.log, self.members, self.table, clock
        )
        self.members.start()
        self.replicator.start()
        self.duties.start()
        return address

    def _record_applied(self, record: ChangeRecord, view: FleetView) -> None:
        self.applied_at[record.revision] = time.monotonic()

    def file(self, ticket: Ticket) -> tuple[int, float]:
        """File the ticket; return its revision and the time it was applied.

        The time is in monotonic seconds. Raises if the ticket is refused.
        """
        if isinstance(self.replicator, ZoneReplicator):
            self.replicator.filing = True
        deadline = Deadline.after(SystemClock(), 10.0)
        outcome = self.ticket_service.file(ticket, deadline).unwrap()
        if isinstance(self.replicator, ZoneReplicator):
            self.replicator.filing = False
        return outcome.revision, self.applied_at[outcome.revision]

    def measure(self) -> Usage:
        """Return the resources that this process has used so far."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        sent, received = self.counter.count()
        return Usage(
            time.monotonic(),
            used.ru_utime + used.ru_stime,
            sent,
            received,
            self.table.reads,
            self.table.writes,
            used.ru_maxrss / 1024,
        )


class ByteCounter:
    """Counts the bytes of this process's TCP sockets, headers included.

    A thread samples the sockets, because the kernel drops the counters of a
    socket when it is closed.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._bytes_by_socket: dict[str, tuple[int, int]] = {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while True:
            self.count()
            time.sleep(SAMPLE_INTERVAL_SECONDS)

    def count(self) -> tuple[int, int]:
        """Return the bytes sent and received so far by all sockets seen."""
        with self._lock:
            for descriptor in os.listdir("/proc/self/fd"):
                with contextlib.suppress(OSError):
                    self._read_socket(descriptor)
            counts = list(self._bytes_by_socket.values())
        return sum(sent for sent, _ in counts), sum(
            received for _, received in counts
        )

    def _read_socket(self, descriptor: str) -> None:
        inode = os.readlink(f"/proc/self/fd/{descriptor}")
        if not inode.startswith("socket"):
            return
        with socket.socket(fileno=os.dup(int(descriptor))) as copy:
            info = copy.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
        acked_bytes, received_bytes, sent_segments, received_segments = (
            struct.unpack_from(TCP_INFO_FORMAT, info, TCP_INFO_OFFSET)
        )
        self._bytes_by_socket[inode] = (
            acked_bytes + sent_segments * HEADER_BYTES,
            received_bytes + received_segments * HEADER_BYTES,
        )


def run_node(settings: NodeSettings, pipe: Connection) -> None:
    """Start a node and serve the commands of the benchmark.

    Sends the node's address for peers first, then an answer for each
    command. Returns when it receives any other message.
    """
    node = BenchNode(settings)
    pipe.send(node.start())
    while True:
        match pipe.recv():
            case ("file", ticket):
                pipe.send(node.file(ticket))
            case ("folds",):
                pipe.send(dict(node.applied_at))
            case ("measure",):
                pipe.send(node.measure())
            case ("cut", peers):
                node.network.unreachable_peers = frozenset(peers)
                pipe.send(True)
            case ("live",):
                pipe.send(len(node.members.list_live()))
            case ("revision",):
                pipe.send(node.log.view.revision)
            case _:
                return
