"""Helpers that several test modules share."""

import time
from collections.abc import Callable

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.duty import Duty, DutyHolder
from chestnutstair.coordination.platform import Key, Table, Write
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Job, Pool, PoolKind, Team, Vm, Zone
from chestnutstair.state.resource import Resources
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView

__all__ = [
    "FixedDutyHolder",
    "ManualClock",
    "build_log",
    "build_ticket",
    "wait_until",
]

WAIT_SECONDS = 30.0  # long, so that a busy machine fails no test
POLL_SECONDS = 0.01


class ManualClock(Clock):
    """A clock that moves only when a test moves it."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def read_monotonic(self) -> float:
        """Return the time that the test set."""
        return self.now

    def read_wall(self) -> float:
        """Return the time that the test set."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Move the clock instead of blocking."""
        self.now += seconds


class FixedDutyHolder(DutyHolder):
    """Holds every duty by a row in the table that a test can overwrite."""

    def __init__(self, table: MemoryTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    def find_duty(self, name: str) -> Duty | None:
        """Return the duty, creating its row on first use."""
        deadline = Deadline.after(self._clock, 10.0)
        key = Key("duty", name)
        row = self._table.read([key], deadline).unwrap()[0]
        if row is None:
            self._table.commit([], [Write(key, {"token": 1})], deadline)
            row = self._table.read([key], deadline).unwrap()[0]
        assert row is not None
        return Duty(name, row.value["token"], row.version, deadline)


def build_ticket(
    runners: int = 8, workers: int = 8, zones: int = 4, budget: int = 2
) -> Ticket:
    """Return ticket 1 with one pool of runners and one of workers."""
    names = [f"zone-{index}" for index in range(zones)]
    size = Resources(64, 256)
    vms = [
        Vm(
            name=f"{pool}-{index}",
            pool=pool,
            zone=names[index % zones],
            rack=f"rack-{pool}-{index // 4}",
            address=f"127.0.0.1:{port + index}",
            resources=size,
        )
        for pool, count, port in (
            ("quotes", runners, 10000),
            ("boxes", workers, 20000),
        )
        for index in range(count)
    ]
    return Ticket(
        number=1,
        author="tester",
        zones=tuple(Zone(name, "region") for name in names),
        teams=(Team("toys", Resources(1000, 4000, 100)),),
        pools=(
            Pool("quotes", PoolKind.RUNNERS, "quotes", budget),
            Pool("boxes", PoolKind.WORKERS, "boxes", budget),
        ),
        vms=tuple(vms),
        jobs=(Job("build", "toys", "boxes", "normal", Resources(4, 8), 60.0),),
    )


def build_log(table: Table, clock: Clock, name: str = "entry-0") -> ChangeLog:
    """Return an empty change log on the table."""
    return ChangeLog(table, clock, name, FleetView())


def wait_until(condition: Callable[[], object]) -> None:
    """Poll until the condition holds; fail after `WAIT_SECONDS`."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("the condition did not hold in time")
        time.sleep(POLL_SECONDS)
