"""The state of the fleet at one revision of the change log."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from chestnutstair.state.codec import STRICT
from chestnutstair.state.fleet import Job, Pool, Team, Vm, Zone

__all__ = ["AVAILABLE_PHASES", "FleetView", "VmPhase", "VmStatus"]


class VmPhase(StrEnum):
    """The phase of a VM in its life cycle."""

    SERVING = "serving"
    DRAINING = "draining"  # gets no new work, finishes what it has
    REBOOTING = "rebooting"  # cannot be cancelled any more
    PROVING = "proving"  # rebooted, health checks not yet passed
    RETURNING = "returning"  # drain cancelled, the VM not yet notified
    ARRIVING = "arriving"  # moved, not yet serving in its new pool
    DOWN = "down"  # failed unexpectedly


# An arriving VM uses none of the budget of the pool that it has joined.
AVAILABLE_PHASES = frozenset({VmPhase.SERVING, VmPhase.ARRIVING})


@dataclass(frozen=True)
class VmStatus:
    """The state of one VM that the daemons change, not the operators.

    Times and deadlines are wall-clock epoch seconds.
    """

    __pydantic_config__ = STRICT

    # The pool that the VM belongs to now. The pool that operators declared
    # for it may differ until its move is complete.
    pool: str
    phase: VmPhase = VmPhase.SERVING
    # The drain or move in progress, or interrupted by an outage; or empty.
    operation: str = ""
    step_deadline: float = 0.0
    cleaned_at: float = 0.0  # or, before the first cleaning, when it was added
    destination: str = ""  # the pool that the operation moves the VM to
    confirm_deadline: float = 0.0
    phase_revision: int = 0  # revision at which the phase began
    boot: int = 0  # boot number before the planned reboot


@dataclass(frozen=True)
class FleetView:
    """The fleet after every change up to and including `revision`."""

    __pydantic_config__ = STRICT

    revision: int = 0
    ticket: int = 0  # number of the newest ticket
    paused: bool = False  # planned drains and moves are paused
    zones: Mapping[str, Zone] = field(default_factory=dict)
    teams: Mapping[str, Team] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    vms: Mapping[str, Vm] = field(default_factory=dict)
    jobs: Mapping[str, Job] = field(default_factory=dict)
    statuses: Mapping[str, VmStatus] = field(default_factory=dict)

    def list_pool_vms(self, pool: str) -> tuple[Vm, ...]:
        """Return the VMs that belong to the pool now, sorted by name."""
        return tuple(
            self.vms[name]
            for name in sorted(self.vms)
            if self.statuses[name].pool == pool
        )

    def count_unavailable(self, pool: str) -> int:
        """Return how many VMs of the pool are unavailable."""
        return sum(
            status.pool == pool and status.phase not in AVAILABLE_PHASES
            for status in self.statuses.values()
        )

    def replace_status(self, name: str, status: VmStatus) -> "FleetView":
        """Return the view with the status of one VM replaced."""
        return replace(self, statuses={**self.statuses, name: status})
