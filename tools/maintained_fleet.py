"""An in-memory fleet maintained by daemons, for benchmarks and tests."""

from collections.abc import Callable, Sequence

from result import Result

from chestnutstair.coordination.drain_controller import DrainController
from chestnutstair.coordination.messenger import Member, Membership
from chestnutstair.coordination.outage import OutageDetector
from chestnutstair.coordination.platform import (
    Condition,
    ConflictFailure,
    Key,
    PlatformFailure,
    Write,
)
from chestnutstair.standins.memory_vms import MemoryVms
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.change import Change, TicketChange
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView
from chestnutstair.tests.support import FixedDutyHolder, ManualClock, build_log

__all__ = ["START_SECONDS", "Fleet", "HookedTable"]

START_SECONDS = 1_700_000_000.0  # wall-clock epoch seconds


class HookedTable(MemoryTable):
    """A table that calls the hook `before` ahead of each commit."""

    def __init__(self) -> None:
        super().__init__()
        self.before: Callable[[], None] = lambda: None

    def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Result[None, ConflictFailure | PlatformFailure]:
        """Call `before`, then commit."""
        self.before()
        return super().commit(conditions, writes, deadline)


class _FakeMembership(Membership):
    """The daemons of a fleet, and stuck ones that learn no new revision."""

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet

    def get_self(self) -> Member:
        """Return the first daemon."""
        return self.list_live()[0]

    def list_live(self) -> tuple[Member, ...]:
        """Return the stuck daemons, then the others."""
        revisions = self._fleet.stuck_revisions + [
            log.view.revision for log in self._fleet.logs
        ]
        return tuple(
            Member(f"entry-{index}", "zone-0", "", "", revision)
            for index, revision in enumerate(revisions)
        )


class Fleet:
    """Simulated VMs, and the control loops of daemons that maintain them."""

    def __init__(self, ticket: Ticket, daemons: int = 2) -> None:
        self.clock = ManualClock(START_SECONDS)
        self.table = HookedTable()
        self.vms = MemoryVms(self.clock)
        for vm in ticket.vms:
            self.vms.add(vm.name, vm.zone)
        self.expected_load = 0.1  # predicted load of every pool, 0 to 1
        # Revisions of stuck daemons, which confirm no later one.
        self.stuck_revisions: list[int] = []
        self.logs = [
            build_log(self.table, self.clock, f"entry-{index}")
            for index in range(daemons)
        ]
        self.log = self.logs[0]
        self.append(TicketChange(ticket))
        for pool in ticket.pools:
            self.take_over(pool.name)
        membership = _FakeMembership(self)
        holder = FixedDutyHolder(self.table, self.clock)
        self.controllers = [
            DrainController(
                log,
                holder,
                self.vms,
                self.vms,
                membership,
                self.clock,
                lambda pool: self.expected_load,
            )
            for log in self.logs
        ]
        self.detectors = [
            OutageDetector(log, holder, self.vms, self.vms, self.clock)
            for log in self.logs
        ]

    @property
    def deadline(self) -> Deadline:
        """Deadline of one call, 10 s from now."""
        return Deadline.after(self.clock, 10.0)

    def append(self, change: Change) -> None:
        """Commit a change as an operator."""
        self.log.refresh(self.deadline)
        self.log.append(change, self.deadline).unwrap()

    def take_over(self, pool: str) -> None:
        """Invalidate the held duty for the pool by writing its row.

        A takeover by another daemon writes the same row.
        """
        write = Write(Key("duty", f"maintenance/{pool}"), {"token": 1})
        MemoryTable.commit(self.table, [], [write], self.deadline)

    def tick(self, daemon: int = 0) -> None:
        """Advance the clock by one second and run one round of the daemon."""
        self.clock.sleep(1.0)
        for log in self.logs:
            log.refresh(self.deadline)
        for loop in (self.detectors[daemon], self.controllers[daemon]):
            self.table.down = False  # duties are read from the table
            loop.run_once(self.deadline)

    def tick_until(
        self,
        reached: Callable[[FleetView], bool],
        limit: int = 300,
        daemon: int = 0,
    ) -> None:
        """Tick until `reached` holds for the daemon's view.

        Raises AssertionError after `limit` ticks.
        """
        for _ in range(limit):
            self.tick(daemon)
            if reached(self.logs[daemon].view):
                return
        raise AssertionError("not reached", self.log.view.statuses)
