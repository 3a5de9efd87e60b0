"""Daemons in one process, on a network and platform that can fail."""

import random
from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

from result import Err, Ok, Result

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.compaction import COMPACTION_DUTY, Compactor
from chestnutstair.coordination.duties import DutySettings, LeasedDuties
from chestnutstair.coordination.membership import (
    MemberList,
    MembershipSettings,
)
from chestnutstair.coordination.messenger import (
    M,
    Member,
    Message,
    PeerLinks,
)
from chestnutstair.coordination.platform import (
    Condition,
    ConflictFailure,
    Key,
    ListedVm,
    PlatformFailure,
    Row,
    Table,
    UnavailableFailure,
    VmDirectory,
    Write,
)
from chestnutstair.coordination.replication import Replicator
from chestnutstair.coordination.tickets import TicketService
from chestnutstair.standins.table import MemoryObjectStore, MemoryTable
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.view import FleetView
from chestnutstair.tests.support import ManualClock

__all__ = ["Cluster", "FakeDaemon"]


class FakeHub:
    """Carries messages between fake daemons, with cuts and losses."""

    def __init__(self, loss: float, seed: int) -> None:
        self.loss = loss
        self.cuts: set[tuple[str, str]] = set()
        self._random = random.Random(seed)
        self._queue: deque[tuple[str, str, Message]] = deque()
        self._handlers: dict[tuple[str, type], list[Callable]] = {}

    def add_handler(self, name: str, kind: type, handler: Callable) -> None:
        """Call the handler for messages of the kind to the daemon."""
        self._handlers.setdefault((name, kind), []).append(handler)

    def remove(self, name: str) -> None:
        """Drop everything that is sent to the daemon from now on."""
        for key in [key for key in self._handlers if key[0] == name]:
            del self._handlers[key]

    def post(self, sender: str, receiver: str, message: Message) -> None:
        """Queue the message, unless it is lost or the path is cut."""
        lost = self._random.random() < self.loss
        if not lost and (sender, receiver) not in self.cuts:
            self._queue.append((sender, receiver, message))

    def deliver(self) -> None:
        """Deliver until no message is left."""
        while self._queue:
            sender, receiver, message = self._queue.popleft()
            key = (receiver, type(message))
            for handler in self._handlers.get(key, ()):
                handler(sender, message)


class FakeLinks(PeerLinks):
    """One daemon's connection to the hub; addresses are names."""

    def __init__(self, name: str, hub: FakeHub) -> None:
        self._name = name
        self._hub = hub
        self._addresses: dict[str, str] = {}
        self._held: tuple[str, ...] = ()

    def set_peers(
        self, addresses: Mapping[str, str], held: Collection[str]
    ) -> None:
        """Set the addresses, and the peers with streams kept open."""
        self._addresses = dict(addresses)
        self._held = tuple(sorted(held))

    def list_held(self) -> tuple[str, ...]:
        """Return the peers with streams kept open."""
        return self._held

    def send(self, peer: str, message: Message) -> bool:
        """Post the message."""
        if peer not in self._addresses:
            return False
        self._hub.post(self._name, self._addresses[peer], message)
        return True

    def add_handler(
        self, kind: type[M], handler: Callable[[str, M], None]
    ) -> None:
        """Register the handler at the hub."""
        self._hub.add_handler(self._name, kind, handler)


class FakeDirectory(VmDirectory):
    """Lists the entry VMs; those in `gone` are no longer live."""

    def __init__(self, names: Sequence[str]) -> None:
        self._names = names
        self.gone: set[str] = set()

    def list_vms(
        self, deadline: Deadline
    ) -> Result[tuple[ListedVm, ...], PlatformFailure]:
        """Return all entry VMs."""
        return Ok(
            tuple(
                ListedVm(name, "", name not in self.gone, False, 0)
                for name in self._names
            )
        )


class CutTable(Table):
    """One daemon's access to the shared table, which a test can cut."""

    def __init__(self, table: MemoryTable) -> None:
        self._table = table
        self.cut = False
        self.before_write: dict[Key, Callable[[], None]] = {}

    def _call(self, method: Callable, *args: Any) -> Result:
        if self.cut:
            return Err(UnavailableFailure("cut off from the platform"))
        return method(*args)

    def read(
        self, keys: Sequence[Key], deadline: Deadline
    ) -> Result[tuple[Row | None, ...], PlatformFailure]:
        """Read unless cut off."""
        return self._call(self._table.read, keys, deadline)

    def scan(
        self, table: str, start: str, end: str, limit: int, deadline: Deadline
    ) -> Result[tuple[Row, ...], PlatformFailure]:
        """Scan unless cut off."""
        args = (table, start, end, limit, deadline)
        return self._call(self._table.scan, *args)

    def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Result[None, ConflictFailure | PlatformFailure]:
        """Run the test's `before_write` hooks, then commit unless cut off."""
        for write in writes:
            self.before_write.get(write.key, lambda: None)()
        args = (conditions, writes, deadline)
        return self._call(self._table.commit, *args)


class FakeDaemon:
    """The coordination parts of one daemon."""

    def __init__(self, cluster: "Cluster", name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.paused = False
        clock = cluster.clock
        self.table = CutTable(cluster.table)
        self.log = ChangeLog(
            self.table, clock, name, FleetView(), cluster.objects
        )
        cluster.run_count += 1
        member = Member(name, zone, name, f"{name}/{cluster.run_count}")
        links = FakeLinks(name, cluster.hub)
        self.members = MemberList(
            member,
            self.log,
            self.table,
            links,
            clock,
            MembershipSettings(seeds=cluster.seeds),
        )
        self.replicator = Replicator(
            self.log,
            links,
            clock,
            self.members.is_registered,
            register_joining=self.members.register_joining,
        )
        self.duties = LeasedDuties(
            self.table,
            self.members,
            lambda: cluster.duty_names,
            clock,
            cluster.duty_settings,
        )
        self.ticket_service = TicketService(
            self.log, self.members, self.table, clock
        )
        self.compactor = Compactor(
            self.log, self.duties, self.members, cluster.directory, clock
        )
        self.revisions: list[int] = []

    def tick(self) -> None:
        """Run each loop once, as in one second."""
        if self.paused:
            return
        self.members.renew()
        self.members.send_heartbeats()
        self.replicator.poll()
        if self.replicator.is_ready():
            self.members.mark_ready()
            self.duties.reconcile()
            self.revisions.append(self.log.view.revision)


class Cluster:
    """Daemons on one clock, distributed over three zones in turn."""

    def __init__(
        self,
        size: int,
        loss: float = 0.0,
        seed: int = 1,
        duty_settings: DutySettings | None = None,
    ) -> None:
        self.duty_settings = duty_settings
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.hub = FakeHub(loss, seed)
        self.run_count = 0
        self.duty_names = [COMPACTION_DUTY, "pool-a", "pool-b", "pool-c"]
        names = [f"entry-{index}" for index in range(size)]
        self.seeds = tuple(names[:2])
        self.daemons: dict[str, FakeDaemon] = {}
        self.directory = FakeDirectory(names)
        for index, name in enumerate(names):
            self.daemons[name] = FakeDaemon(self, name, f"zone-{index % 3}")

    def run(self, seconds: int) -> None:
        """Advance the clock and all daemons by that many seconds."""
        for _ in range(seconds):
            self.clock.now += 1.0
            for daemon in list(self.daemons.values()):
                daemon.tick()
            self.hub.deliver()

    def kill(self, name: str) -> None:
        """Kill the daemon and remove its VM."""
        self.hub.remove(name)
        del self.daemons[name]
        self.directory.gone.add(name)

    def replace(self, name: str) -> FakeDaemon:
        """Kill the daemon and start a new one of the same name."""
        self.hub.remove(name)
        zone = self.daemons[name].zone
        self.daemons[name] = FakeDaemon(self, name, zone)
        return self.daemons[name]

    def remove(self, name: str) -> FakeDaemon:
        """Kill the daemon permanently; its VM stays listed."""
        self.hub.remove(name)
        return self.daemons.pop(name)

    def cut_zone(self, zone: str, platform: bool = True) -> None:
        """Cut the zone off from the others, by default also the platform."""
        for one in self.daemons.values():
            one.table.cut = one.table.cut or (platform and one.zone == zone)
            for other in self.daemons.values():
                if (one.zone == zone) != (other.zone == zone):
                    self.hub.cuts.add((one.name, other.name))

    def heal(self) -> None:
        """Undo all cuts."""
        self.hub.cuts.clear()
        for daemon in self.daemons.values():
            daemon.table.cut = False

    def make_deadline(self) -> Deadline:
        """Return a deadline that leaves enough time for any operation."""
        return Deadline.after(self.clock, 10.0)

    def list_revisions(self) -> set[int]:
        """Return the revisions that the daemons have applied."""
        return {item.log.view.revision for item in self.daemons.values()}
