"""Helpers for tests of the request path."""

import contextlib
import socket
import threading
from collections.abc import Callable, Collection, Sequence

from result import Result

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.claims import ClaimSettings, ClaimStore
from chestnutstair.coordination.forwarder import Forwarder, ForwarderSettings
from chestnutstair.coordination.messenger import (
    Member,
    Membership,
    Message,
    Messenger,
)
from chestnutstair.coordination.request import Request
from chestnutstair.coordination.target import (
    TargetAnswer,
    TargetClient,
    TargetFailure,
)
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.change import TicketChange
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Pool, PoolKind, Vm, Zone
from chestnutstair.state.ticket import Ticket
from chestnutstair.tests.support import build_log

__all__ = [
    "FakeTargetClient",
    "FixedMembership",
    "RecordingMessenger",
    "ScriptedTarget",
    "build_forwarder",
    "build_request",
    "build_runner_log",
]


def build_request(clock: Clock, seconds: float = 10.0, **fields) -> Request:  # type: ignore[no-untyped-def]
    """Return a request for the service `quotes`."""
    deadline = Deadline.after(clock, seconds)
    values = {"id": "r1", "service": "quotes", "method": "POST", "path": "/"}
    return Request(**{**values, "deadline": deadline, **fields})


def build_runner_log(  # type: ignore[no-untyped-def]
    clock: Clock,
    addresses: list[str],
    spare_addresses: Sequence[str] = (),
    zones: int = 1,
    **fields,
) -> ChangeLog:
    """Return a log with a runner of the pool `quotes` at each address.

    The spare pool `accounts` gets a runner at each of `spare_addresses`.
    `fields` are those of the pool `quotes`.
    """
    names = [f"zone-{index}" for index in range(zones)]
    vms = tuple(
        Vm(f"{pool}-{i}", pool, names[i % zones], f"rack-{i}", address)
        for pool, pool_addresses in (
            ("quotes", addresses),
            ("accounts", spare_addresses),
        )
        for i, address in enumerate(pool_addresses)
    )
    fields = {"availability_budget": 0, **fields}
    pools = (
        Pool("quotes", PoolKind.RUNNERS, "quotes", **fields),
        Pool("accounts", PoolKind.RUNNERS, "accounts", 0, spare=True),
    )
    zone_list = tuple(Zone(name, "region") for name in names)
    ticket = Ticket(1, "tester", zones=zone_list, pools=pools, vms=vms)
    log = build_log(MemoryTable(), clock)
    change = TicketChange(ticket)
    log.append(change, Deadline.after(clock, 10)).unwrap()
    return log


class FixedMembership(Membership):
    """A membership of this daemon and `others` more, all live."""

    def __init__(self, zone: str = "zone-0", others: int = 0) -> None:
        names = [f"entry-{index}" for index in range(others + 1)]
        self.members = tuple(
            Member(name, zone, "127.0.0.1:1", "i") for name in names
        )

    def get_self(self) -> Member:
        """Return the first member."""
        return self.members[0]

    def list_live(self) -> tuple[Member, ...]:
        """Return all members."""
        return self.members


class RecordingMessenger(Messenger):
    """Records sent messages; a test calls handlers with `receive`."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []
        self._handlers: dict[type, Callable] = {}

    def send(self, peer: str, message: Message) -> bool:
        """Record the message."""
        self.sent.append((peer, message))
        return True

    def add_handler(self, kind: type, handler: Callable) -> None:
        """Register the handler."""
        self._handlers[kind] = handler

    def receive(self, peer: str, message: Message) -> None:
        """Call the handler registered for the type of the message."""
        self._handlers[type(message)](peer, message)


class FakeTargetClient(TargetClient):
    """Answers each request by calling a function with VM and request."""

    def __init__(self, answer: Callable) -> None:
        self.answer = answer
        self.sent: list[str] = []

    def send(
        self, vm: Vm, connection_limit: int, request: Request
    ) -> Result[TargetAnswer, TargetFailure]:
        """Record the name of the VM and call the function."""
        self.sent.append(vm.name)
        return self.answer(vm, request)

    def retain(self, addresses: Collection[str]) -> None:
        """Do nothing, as there are no connections."""


def build_forwarder(
    log: ChangeLog,
    client: TargetClient,
    clock: Clock,
    others: int = 0,
    table: MemoryTable | None = None,
    settings: ForwarderSettings | None = None,
) -> tuple[Forwarder, RecordingMessenger]:
    """Return a forwarder whose threads are not started, and its messenger."""
    messenger = RecordingMessenger()
    membership = FixedMembership(others=others)
    claims = ClaimStore(
        table or MemoryTable(), clock, membership, ClaimSettings()
    )
    forwarder = Forwarder(
        log,
        client,
        clock,
        membership,
        messenger,
        claims,
        settings or ForwarderSettings(),
    )
    return forwarder, messenger


class ScriptedTarget:
    """A target that runs a script for each connection it accepts."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._run, args=(sock,), daemon=True
            ).start()

    def _run(self, sock: socket.socket) -> None:
        with sock:
            try:
                self._script(sock)
            except OSError:
                return

    def close(self) -> None:
        """Accept no more connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
