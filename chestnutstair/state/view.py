"""The fleet as it is at one revision of the change log."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from chestnutstair.state.codec import STRICT
from chestnutstair.state.fleet import Job, Pool, Team, Vm, Zone

__all__ = ["AVAILABLE_PHASES", "FleetView", "VmPhase", "VmStatus"]


class VmPhase(StrEnum):
    """Where a VM stands in its life."""

    SERVING = "serving"
    DRAINING = "draining"  # takes no new work, ends what it has
    REBOOTING = "rebooting"  # past the point of no return
    PROVING = "proving"  # back, and not yet shown healthy
    RETURNING = "returning"  # drain undone, the VM not yet told
    ARRIVING = "arriving"  # moved, not yet serving in its new pool
    DOWN = "down"  # failed, not planned


# An arriving VM takes nothing from the pool that it has just joined.
AVAILABLE_PHASES = frozenset({VmPhase.SERVING, VmPhase.ARRIVING})


@dataclass(frozen=True)
class VmStatus:
    """The state of one VM that the system changes by itself.

    `pool` is the one pool the VM belongs to; the pool that operators
    declared for it may differ until its move is complete.
    `operation` is the drain or move in progress, or that an outage cut
    off, or empty; `destination` is the pool that it moves the VM to.
    `confirm_deadline`, `step_deadline` and `cleaned_at` are wall-clock
    epoch seconds; a VM that was never cleaned has the time it was added.
    `phase_revision` is the revision at which the phase began, and `boot`
    the VM's boot number before its planned reboot.
    """

    __pydantic_config__ = STRICT

    pool: str
    phase: VmPhase = VmPhase.SERVING
    operation: str = ""
    step_deadline: float = 0.0
    cleaned_at: float = 0.0
    destination: str = ""
    confirm_deadline: float = 0.0
    phase_revision: int = 0
    boot: int = 0


@dataclass(frozen=True)
class FleetView:
    """Everything folded from the change log up to `revision`.

    `ticket` is the newest ticket number. `paused` stops every planned
    drain and move.
    """

    __pydantic_config__ = STRICT

    revision: int = 0
    ticket: int = 0
    paused: bool = False
    zones: Mapping[str, Zone] = field(default_factory=dict)
    teams: Mapping[str, Team] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    vms: Mapping[str, Vm] = field(default_factory=dict)
    jobs: Mapping[str, Job] = field(default_factory=dict)
    statuses: Mapping[str, VmStatus] = field(default_factory=dict)

    def list_pool_vms(self, pool: str) -> tuple[Vm, ...]:
        """Return the VMs that belong to the pool now, by name."""
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
