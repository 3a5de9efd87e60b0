"""What a leader knows of the VMs, and what it has ordered them to do."""

from collections import Counter
from dataclasses import dataclass, replace

from chestnutstair.scheduling.guards import VmOrder
from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.ports import Vm
from chestnutstair.scheduling.workers import WorkerState

__all__ = ["UP", "Drain", "FleetKeeperSettings", "FleetState"]

UP = "up"  # the state of a VM that is neither moving nor maintained


@dataclass(frozen=True)
class FleetKeeperSettings:
    """Times and shares by which pools are sized.

    `turn_seconds` must lie between the orders of two leaders for one VM. A
    pool has `base_share` of an even share of all VMs at least, and
    `largest_pool` even shares at most: the base serves a queue while more
    VMs are on their way. `headroom` is room beyond the demand, as sizes are
    estimates; `coming_share` is the part of the work in later steps that
    counts as demand already. A pool shrinks when its demand has been lower
    for `calm_seconds`, about what a move there and back costs.
    VMs are listed every `list_seconds`, or after `list_factor` times what
    the last listing took, but for `list_most_seconds` at the most.
    `orders_per_second` is what the
    platform takes of all nodes, of which `order_burst_seconds` may come at
    once.
    A wave is to be over in `wave_share` of its time, where emptying a VM
    takes about `drain_seconds`, twice a usual task; it takes `away_share` of
    a pool at once at most, one rack of four. Workers register within
    `register_seconds` of a start of the whole system; `known_share` of them
    are enough to size pools, as a rack may be down.
    """

    tick_seconds: float = 0.1
    list_seconds: float = 0.5
    list_factor: float = 20.0
    list_most_seconds: float = 2.0
    turn_seconds: float = 3.0
    move_seconds: float = 1.5
    maintenance_seconds: float = 2.0
    settle_seconds: float = 0.5
    retry_seconds: float = 1.0
    base_share: float = 0.5
    headroom: float = 1.2
    coming_share: float = 0.7
    calm_seconds: float = 1.5
    largest_pool: float = 3.0
    away_share: float = 0.25
    wave_share: float = 0.65
    drain_seconds: float = 3.0
    order_burst_seconds: float = 0.25
    orders_per_second: float = 50.0
    register_seconds: float = 8.0
    known_share: float = 0.8
    fresh_seconds: float = 1.0


@dataclass(frozen=True)
class Drain:
    """Why a VM is being emptied: to join `service`, or for a wave.

    It is `urgent` if the other pool has work that can be in time.
    """

    service: str
    wave: int = 0
    urgent: bool = False


class FleetState:
    """The VMs as last listed, those under order and those being emptied.

    Only the thread that keeps the fleet uses it.
    """

    def __init__(self, tracker: JobTracker) -> None:
        self._tracker = tracker
        self.listed: dict[str, Vm] = {}
        self.orders: dict[str, VmOrder] = {}
        self.drains: dict[str, Drain] = {}

    def find_spare(self) -> str:
        """Return the pool of VMs that are off, "" if there is none."""
        services = self._tracker.configuration.services.values()
        return next((item.name for item in services if item.spare), "")

    def index_workers(self) -> dict[str, WorkerState]:
        """Return the workers by VM."""
        with self._tracker.lock:
            return {
                worker.entry.vm: worker
                for worker in self._tracker.workers.values()
                if not worker.gone
            }

    def note_moved(self, vm: str, service: str) -> None:
        """Note that a VM is to be in another pool than listed."""
        listed = self.listed.get(vm)
        if listed is not None:
            self.listed[vm] = replace(listed, service=service)

    def note_back(self, vm: str) -> None:
        """Note that a VM is to be up again, before it is listed so."""
        listed = self.listed.get(vm)
        if listed is not None:
            self.listed[vm] = replace(listed, state=UP)

    def count_changes(self) -> Counter[str]:
        """Return the VMs that come to each pool, less those that leave."""
        changes = Counter(
            order.service for order in self.orders.values() if not order.wave
        )
        workers = self.index_workers()
        for vm, drain in self.drains.items():
            changes[drain.service] += 1
            worker = workers.get(vm)
            if worker is not None and not worker.unresponsive:
                changes[worker.entry.service] -= 1
        return changes

    def measure_vm(self) -> int:
        """Return the millicores of an average VM."""
        sizes = [vm.millicores for vm in self.listed.values()]
        return max(1, round(sum(sizes) / max(1, len(sizes))))
