"""Fakes and an oracle that the tests of maintenance share."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.drain_conductor import DrainConductor
from chestnutstair.coordination.messenger import Member, Membership
from chestnutstair.coordination.outage import OutageWatcher
from chestnutstair.coordination.platform import (
    Key,
    ListedVm,
    PlatformFailure,
    RefusedFailure,
    UnknownOutcomeFailure,
    VmControl,
    VmDirectory,
    Write,
)
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.change import DrainChange, TicketChange
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.fold import apply_record
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView
from chestnutstair.tests.support import (
    FixedDutyHolder,
    ManualClock,
    build_log,
)

__all__ = ["FakeVms", "Fleet", "check_history"]


@dataclass
class _FakeVm:
    listed: ListedVm
    running: int = 0
    leaving: bool = False
    token: int = 0
    back_at: float = 0.0


class FakeVms(VmControl, VmDirectory):
    """VMs that drain and reboot, and a list of them that lags.

    `before` is called with the name of each command, before its effect;
    `lose_answers` hides the answers of that many commands.
    """

    def __init__(self, clock: ManualClock, lag: float = 1.0) -> None:
        self._clock = clock
        self._lag = lag
        self._vms: dict[str, _FakeVm] = {}
        self._seen: list[tuple[float, tuple[ListedVm, ...]]] = []
        self._ended: set[tuple[str, str]] = set()
        self.reboots: Counter[tuple[str, str]] = Counter()
        self.cut: list[str] = []
        self.before: Callable[[str, str], None] = lambda command, vm: None
        self.lose_answers = 0

    def add(self, name: str, zone: str) -> None:
        """Add a live VM."""
        listed = ListedVm(name, zone, live=True, leaving=False, boot=1)
        self._vms[name] = _FakeVm(listed)

    def set_live(self, names: Sequence[str], live: bool) -> None:
        """Fail or revive VMs; a revived one has booted anew."""
        for name in names:
            vm = self._vms[name]
            boot = vm.listed.boot + live
            vm.listed = replace(vm.listed, live=live, boot=boot)
            vm.running = 0

    def set_running(self, name: str, count: int) -> None:
        """Set how many requests run on the VM."""
        self._vms[name].running = count

    def is_leaving(self, name: str) -> bool:
        """Tell whether the VM refuses new work."""
        return self._vms[name].leaving

    def list_vms(
        self, deadline: Deadline
    ) -> Result[tuple[ListedVm, ...], PlatformFailure]:
        """Return the VMs as they were a while ago."""
        now = self._clock.read_monotonic()
        for vm in self._vms.values():
            if vm.back_at and now >= vm.back_at:
                vm.back_at = 0.0
                vm.leaving = False
                vm.listed = replace(
                    vm.listed, live=True, boot=vm.listed.boot + 1
                )
        current = tuple(
            replace(vm.listed, leaving=vm.leaving) for vm in self._vms.values()
        )
        self._seen.append((now, current))
        old = [seen for at, seen in self._seen if at <= now - self._lag]
        return Ok(old[-1] if old else self._seen[0][1])

    def announce_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Make the VM refuse new work."""
        return self._command("announce", vm, operation, token)

    def cancel_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Make the VM take new work again."""
        return self._command("cancel", vm, operation, token)

    def count_running(
        self, vm: str, deadline: Deadline
    ) -> Result[int, PlatformFailure]:
        """Return what runs on the VM."""
        if not self._vms[vm].listed.live:
            return Err(UnknownOutcomeFailure("the VM is dead"))
        return Ok(self._vms[vm].running)

    def reboot(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Reboot the VM, once per operation, for five seconds."""
        return self._command("reboot", vm, operation, token)

    def _command(
        self, command: str, name: str, operation: str, token: int
    ) -> Result[None, PlatformFailure]:
        self.before(command, name)
        vm = self._vms[name]
        ended = (name, operation) in self._ended
        if token < vm.token or (ended and command == "announce"):
            return Err(RefusedFailure("the token is too low"))
        vm.token = token
        if not (ended and command == "reboot"):
            self._apply(command, name, vm, operation)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Err(UnknownOutcomeFailure("the answer was lost"))
        return Ok(None)

    def _apply(
        self, command: str, name: str, vm: _FakeVm, operation: str
    ) -> None:
        if command == "announce":
            vm.leaving = True
            return
        self._ended.add((name, operation))
        if command == "cancel":
            vm.leaving = False
            return
        self.reboots[name, operation] += 1
        if vm.running or not vm.leaving:
            self.cut.append(name)
        vm.listed = replace(vm.listed, live=False)
        vm.back_at = self._clock.read_monotonic() + 5.0


class _FakeMembership(Membership):
    """Daemons that confirm what the log has, but for the stuck ones."""

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet

    def get_self(self) -> Member:
        """Return the first daemon."""
        return self.list_live()[0]

    def list_live(self) -> tuple[Member, ...]:
        """Return all daemons of the fleet."""
        return tuple(
            Member(name, "zone-0", "", name, revision)
            for name, revision in self._fleet.read_revisions()
        )


class Fleet:
    """A fleet of fake VMs with daemons that maintain it."""

    def __init__(self, ticket: Ticket, daemons: int = 2) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.vms = FakeVms(self.clock)
        for vm in ticket.vms:
            self.vms.add(vm.name, vm.zone)
        self.share = 0.1
        self.stuck: dict[str, int] = {}  # the revisions of stuck daemons
        self.logs = [
            build_log(self.table, self.clock, f"entry-{index}")
            for index in range(daemons)
        ]
        self.logs[0].append(TicketChange(ticket), self.deadline).unwrap()
        self.start_daemons()

    def start_daemons(self) -> None:
        """Replace the control loops of all daemons by fresh ones."""
        membership = _FakeMembership(self)
        holder = FixedDutyHolder(self.table, self.clock)
        self.conductors = [
            DrainConductor(
                log,
                holder,
                self.vms,
                self.vms,
                membership,
                self.clock,
                lambda pool: self.share,
            )
            for log in self.logs
        ]
        self.watchers = [
            OutageWatcher(log, holder, self.vms, self.vms, self.clock)
            for log in self.logs
        ]

    @property
    def deadline(self) -> Deadline:
        """A deadline for one call."""
        return Deadline.after(self.clock, 10.0)

    @property
    def log(self) -> ChangeLog:
        """The log of the first daemon."""
        return self.logs[0]

    def read_revisions(self) -> list[tuple[str, int]]:
        """Return the revision that each daemon has in force."""
        live = [
            (f"entry-{index}", log.view.revision)
            for index, log in enumerate(self.logs)
        ]
        return live + list(self.stuck.items())

    def take_over(self, pool: str) -> None:
        """Give the duty for the pool to another holder."""
        key = Key("duty", f"maintenance/{pool}")
        row = self.table.read([key], self.deadline).unwrap()[0]
        token = row.value["token"] + 1 if row else 1
        write = Write(key, {"token": token})
        self.table.commit([], [write], self.deadline).unwrap()

    def tick(self, daemon: int = 0) -> None:
        """Let one second pass and a daemon do its rounds."""
        self.clock.sleep(1.0)
        for log in self.logs:
            log.refresh(self.deadline)
        self.watchers[daemon].run_once(self.deadline)
        self.conductors[daemon].run_once(self.deadline)

    def tick_until(
        self, reached: Callable[[FleetView], bool], limit: int = 300
    ) -> None:
        """Tick until the view has reached something."""
        for _ in range(limit):
            self.tick()
            if reached(self.log.view):
                return
        raise AssertionError("not reached", self.log.view.statuses)


def check_history(fleet: Fleet) -> FleetView:
    """Replay the log and check each planned stop against the budget."""
    records = fleet.log.read_records(0, 1_000_000, fleet.deadline).unwrap()
    view = FleetView()
    for record in records:
        before = view
        view = apply_record(view, record).unwrap()
        assert set(view.statuses) == set(view.vms)
        if isinstance(record.change, DrainChange):
            pool = before.statuses[record.change.vm].pool
            taken = sum(
                status.pool == pool
                and status.phase not in ("serving", "arriving")
                for status in before.statuses.values()
            )
            budget = before.pools[pool].availability_budget
            assert taken + 1 <= budget, (record, taken, budget)
    return view
