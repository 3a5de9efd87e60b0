"""Floods daemons in one process; the targets are simulated by sleeping."""

import queue
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Collection
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace

from result import Ok, Result

from chestnutstair.coordination.admission import AdmissionSettings
from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.claims import ClaimSettings, ClaimStore
from chestnutstair.coordination.forwarder import Forwarder, ForwarderSettings
from chestnutstair.coordination.messenger import (
    Member,
    Membership,
    Message,
    Messenger,
)
from chestnutstair.coordination.request import (
    Answer,
    AnsweredOutcome,
    Ran,
    Request,
)
from chestnutstair.coordination.target import (
    TargetAnswer,
    TargetClient,
    TargetFailure,
)
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.change import TicketChange
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.state.fleet import Pool, PoolKind, Vm, Zone
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView

__all__ = ["Flood", "FloodReport", "run_flood"]

SERVICES = ("flooded", "second", "third", "fourth", "spare")
# Urgency classes and their shares of each service's requests.
URGENCY_SHARES = (("urgent", 0.2), ("normal", 0.5), ("patient", 0.3))
DAEMON_COUNT = 7
THREADS_PER_DAEMON = 64
SLOTS_PER_TARGET = 8
SERVICE_SECONDS = 0.5  # mean of the service times, which are exponential
FLOODED_TIMEOUT_SECONDS = 10.0
TIMEOUT_SECONDS = 2.0  # for the other services
MEAN_LOAD = 0.6  # offered load without a flood, as a share of the slots
NETWORK_DELAY_SECONDS = 0.001


@dataclass(frozen=True)
class Flood:
    """Parameters of one run."""

    targets: int  # of each service
    zones: int
    urgency: str  # class of the extra requests; empty for no flood
    factor: float = 5.0  # flooded load as a multiple of the usual load
    seconds: float = 10.0  # time during which requests arrive
    seed: int = 1


@dataclass(frozen=True)
class FloodReport:
    """Counts of one run; the keys are service and urgency class."""

    offered: Counter[tuple[str, str]]
    completed: Counter[tuple[str, str]]  # answered before the deadline
    refused: int  # requests that no target answered
    peak_running: int  # most requests at once on one target


class _SimulatedTargets(TargetClient):
    """Answers after a random time and refuses requests beyond the slots."""

    def __init__(self, seed: int) -> None:
        self._lock = threading.Lock()
        self._running: Counter[str] = Counter()
        self._random = random.Random(seed)
        self.peak = 0

    def send(
        self, vm: Vm, connection_limit: int, request: Request
    ) -> Result[TargetAnswer, TargetFailure]:
        """Sleep for the service time and answer 200, or answer 503 if full."""
        time.sleep(NETWORK_DELAY_SECONDS)
        with self._lock:
            if self._running[vm.name] >= SLOTS_PER_TARGET:
                return Ok(TargetAnswer(Answer(503), Ran.NO))
            self._running[vm.name] += 1
            self.peak = max(self.peak, self._running[vm.name])
            seconds = self._random.expovariate(1 / SERVICE_SECONDS)
        time.sleep(min(seconds, 4 * SERVICE_SECONDS))
        with self._lock:
            self._running[vm.name] -= 1
        return Ok(TargetAnswer(Answer(200), Ran.YES))

    def retain(self, addresses: Collection[str]) -> None:
        """Do nothing, as there are no connections."""


class _FixedMembership(Membership):
    def __init__(self, members: tuple[Member, ...], own: int) -> None:
        self._members = members
        self._own = own

    def get_self(self) -> Member:
        return self._members[self._own]

    def list_live(self) -> tuple[Member, ...]:
        return self._members


class _MessageBus:
    """Delivers messages between the daemons on its own thread."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, type], Callable] = {}
        self.messages: queue.Queue[tuple[str, str, Message]] = queue.Queue()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            sender, peer, message = self.messages.get()
            self.handlers[peer, type(message)](sender, message)


class _BusMessenger(Messenger):
    def __init__(self, bus: _MessageBus, own: str) -> None:
        self._bus = bus
        self._own = own

    def send(self, peer: str, message: Message) -> bool:
        self._bus.messages.put((self._own, peer, message))
        return True

    def add_handler(self, kind: type, handler: Callable) -> None:
        self._bus.handlers[self._own, kind] = handler


def _build_log(flood: Flood, clock: SystemClock) -> ChangeLog:
    zones = [f"zone-{index}" for index in range(flood.zones)]
    vms = [
        Vm(
            f"{service}-{index}",
            service,
            zones[index % flood.zones],
            "rack",
            f"127.0.{number}.{index}:1",
        )
        for number, service in enumerate(SERVICES)
        for index in range(flood.targets)
    ]
    pools = [
        Pool(name, PoolKind.RUNNERS, name, 1, spare=name == "spare")
        for name in SERVICES
    ]
    ticket = Ticket(
        1,
        "bench",
        zones=tuple(Zone(name, "region") for name in zones),
        pools=tuple(pools),
        vms=tuple(vms),
    )
    log = ChangeLog(MemoryTable(), clock, "bench", FleetView())
    log.append(TicketChange(ticket), Deadline.after(clock, 5)).unwrap()
    return log


def _build_daemons(
    flood: Flood, client: TargetClient, settings: AdmissionSettings
) -> list[Forwarder]:
    clock = SystemClock()
    log = _build_log(flood, clock)
    bus = _MessageBus()
    members = tuple(
        Member(f"entry-{i}", f"zone-{i % flood.zones}", "127.0.0.1:1", "i")
        for i in range(DAEMON_COUNT)
    )
    forwarders = []
    for index, member in enumerate(members):
        membership = _FixedMembership(members, index)
        forwarder = Forwarder(
            log,
            client,
            clock,
            membership,
            _BusMessenger(bus, member.name),
            ClaimStore(MemoryTable(), clock, membership, ClaimSettings()),
            ForwarderSettings(
                admission=replace(settings, threads=THREADS_PER_DAEMON)
            ),
        )
        forwarder.start()
        forwarders.append(forwarder)
    return forwarders


def _list_arrivals(flood: Flood) -> list[tuple[float, str, str]]:
    rng = random.Random(flood.seed)
    slots = SLOTS_PER_TARGET * flood.targets
    rate = MEAN_LOAD * slots / SERVICE_SECONDS
    streams = [
        (service, urgency, rate * share)
        for service in SERVICES
        for urgency, share in URGENCY_SHARES
    ]
    if flood.urgency:
        extra = (flood.factor - 1) * rate
        streams.append((SERVICES[0], flood.urgency, extra))
    arrivals = []
    for service, urgency, per_second in streams:
        at = rng.expovariate(per_second)
        while at < flood.seconds:
            arrivals.append((at, service, urgency))
            at += rng.expovariate(per_second)
    return sorted(arrivals)


def run_flood(flood: Flood, settings: AdmissionSettings) -> FloodReport:
    """Run one flood in real time and count requests by their outcome."""
    client = _SimulatedTargets(flood.seed)
    daemons = _build_daemons(flood, client, settings)
    servers = [ThreadPoolExecutor(THREADS_PER_DAEMON) for _ in daemons]
    rng = random.Random(flood.seed)
    offered: Counter[tuple[str, str]] = Counter()
    completed: Counter[tuple[str, str]] = Counter()
    refused = [0]
    clock = SystemClock()

    def serve(number: int, request: Request) -> None:
        outcome = daemons[number].forward(request)
        late = request.deadline.has_passed(clock)
        if not isinstance(outcome, AnsweredOutcome):
            refused[0] += 1
        elif not late:
            completed[request.service, request.urgency] += 1

    started = time.monotonic()
    for at, service, urgency in _list_arrivals(flood):
        delay = started + at - time.monotonic()
        if delay > 0:
            time.sleep(delay)
        number = rng.randrange(DAEMON_COUNT)
        flooded = service == SERVICES[0]
        timeout = FLOODED_TIMEOUT_SECONDS if flooded else TIMEOUT_SECONDS
        deadline = Deadline.after(clock, timeout)
        request = Request(
            "r",
            service,
            "GET",
            "/",
            deadline,
            urgency=urgency,
            idempotent=True,
        )
        offered[service, urgency] += 1
        servers[number].submit(serve, number, request)
    for server in servers:
        server.shutdown()
    for daemon in daemons:
        daemon.stop()
    return FloodReport(offered, completed, refused[0], client.peak)
