"""The leader's view of the VMs, and its unfinished orders for them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.ports import Vm
from chestnutstair.scheduling.vm_order_history import VmOrder
from chestnutstair.scheduling.workers import WorkerState

__all__ = [
    "IN_MAINTENANCE",
    "UP",
    "Drain",
    "FleetControllerSettings",
    "FleetState",
]

UP = "up"  # state of a VM that is neither moving nor under maintenance
IN_MAINTENANCE = "maintenance"


@dataclass(frozen=True)
class FleetControllerSettings:
    """Settings of sizing pools, ordering VMs and running waves.

    An even share is the number of all VMs divided by the number of pools.
    """

    # Pause between two rounds of the control loop.
    tick_seconds: float = 0.1
    # Interval between two listings of the VMs. After a slow listing it is
    # `list_factor` times its duration, but at most `list_max_seconds`.
    list_seconds: float = 0.5
    list_factor: float = 20.0
    list_max_seconds: float = 2.0
    # With several shards, their leaders read at most this many pages of the
    # VM list a second in all. A leader knows the outcome of its own orders
    # without the list.
    list_pages_per_second: float = 40.0
    list_page_vms: int = 200
    # Minimum time between the orders of two leaders for the same VM.
    min_order_interval_seconds: float = 3.0
    # An order is sent within this time of the start of its storing, or not at
    # all: 1 s for the store, the rest for a thread. The next leader adds it to
    # the minimum interval, as only the time of storing is stored.
    send_seconds: float = 1.5
    # How long a VM is away for a move, and for maintenance.
    move_seconds: float = 1.5
    maintenance_seconds: float = 2.0
    # Added to both before the VM counts as back.
    settle_seconds: float = 0.5
    # How long after its call has failed an order without an answer may still
    # be carried out. The platform states no bound; 2 to 12 s were seen.
    late_order_seconds: float = 12.0
    # Pause before an order without an answer is repeated, and before
    # another attempt to load the state of earlier leaders.
    retry_seconds: float = 1.0
    # Minimum size of a pool in even shares: it serves a queue while more
    # VMs are on their way.
    base_share: float = 0.5
    # Capacity for each unit of demand; above 1 because sizes are estimates.
    headroom: float = 1.2
    # Part of a job's slack that it may spend waiting for a VM; the rest is for
    # tasks that run longer than estimated.
    slack_share: float = 0.6
    # Part of the work in later steps that already counts as demand.
    later_work_share: float = 0.7
    # Minimum time between the start of a drain for the spare pool and the
    # order to move the VM, about the cost of a move there and back. Until
    # then the pool can take the VM back for nothing.
    shrink_delay_seconds: float = 1.5
    # Time in which all suspected tasks that wait should have started alone.
    suspects_seconds: float = 5.0
    # Maximum size of a pool in even shares.
    max_share: float = 3.0
    # Maximum part of a pool that waves take down at a time: one rack of
    # four.
    unavailable_share: float = 0.25
    # Part of a wave's time in which the wave should be completed.
    wave_time_share: float = 0.65
    # After this part of a wave's time its VMs no longer wait for their tasks
    # to end: these start again on other VMs.
    wave_stop_share: float = 0.85
    # Estimated time to empty a VM, twice that of a usual task.
    drain_seconds: float = 3.0
    # Orders are rate limited to `orders_per_second`, which is what the
    # platform accepts from all nodes together; those of
    # `order_burst_seconds` may be sent at once.
    order_burst_seconds: float = 0.25
    orders_per_second: float = 50.0
    # Workers register within this time after a start of the whole system.
    registration_seconds: float = 8.0
    # Part of the workers that is enough to size pools, as a rack may be
    # down.
    registered_share: float = 0.8
    # Orders are sent only if the term was renewed no longer ago than this.
    term_fresh_seconds: float = 1.0
    # Predict the turns of queues and move VMs straight from pool to pool.
    follow_turns: bool = False
    # The same as `headroom` for demand known from the rate of a turn, which
    # many more jobs tell. What is not used is free for the next turn.
    turn_headroom: float = 1.1
    # How much longer than a move takes surplus VMs are held before a turn:
    # holding a VM for a second costs about as much as the move that it saves.
    hold_seconds: float = 1.0
    # Part of the running work of a pool whose turn is over that comes back as
    # later steps. The rest ends where it runs, also on VMs that drain. With
    # jobs of one to three steps, half of the tasks are of a last step.
    fallen_share: float = 0.5


@dataclass(frozen=True)
class Drain:
    """The reason why a VM is being drained.

    - `service`: pool that the VM will join, or its own pool for a wave.
    - `wave`: number of the maintenance wave; 0 for a move.
    - `urgent`: the new pool needs the VM for work that can be in time.
    - `order_at`: monotonic time before which the VM is not ordered, and
      keeps its lasting tasks, even if it is empty otherwise.
    - `begun_at`: monotonic time of its start, for VMs that move in surplus.
    """

    service: str
    wave: int = 0
    urgent: bool = False
    order_at: float = 0.0
    begun_at: float = 0.0


class FleetState:
    """The VMs as last listed, unfinished orders, and drains, by VM name.

    They are the VMs of one shard.

    Used only by the thread of the fleet controller.
    """

    def __init__(self, tracker: JobTracker) -> None:
        self._tracker = tracker
        self.listed: dict[str, Vm] = {}
        # The shard of every listed VM, also of those of other shards.
        self.shards: dict[str, int] = {}
        # The names in the list before the last one; None before there are two.
        self._listed_before: frozenset[str] | None = None
        self._list_count = 0
        self.orders: dict[str, VmOrder] = {}
        self.drains: dict[str, Drain] = {}

    def replace_list(
        self, listed: dict[str, Vm], shards: dict[str, int]
    ) -> None:
        """Replace the list of VMs by a later one."""
        if self._list_count:
            self._listed_before = frozenset(self.listed)
        self._list_count += 1
        self.listed = listed
        self.shards = shards

    def are_gone(self, vms: Iterable[str]) -> bool:
        """Return whether none of the VMs exists any more.

        Pages of a list are read one after the other, so that a single list
        may leave out a VM while others leave or join.
        """
        before = self._listed_before
        return all(
            before is not None and vm not in before and vm not in self.listed
            for vm in vms
        )

    def find_spare_pool(self) -> str:
        """Return the spare pool, whose VMs are off; empty if there is none."""
        services = self._tracker.configuration.services.values()
        return next((item.name for item in services if item.spare), "")

    def index_workers(self) -> dict[str, WorkerState]:
        """Return the present workers by the name of their VM.

        If several name the same VM, one that answers goes first, then the
        listed one, then the latest: others have ended, or their entries are
        wrong.
        """
        found: dict[str, WorkerState] = {}
        with self._tracker.lock:
            for worker in self._tracker.workers.values():
                if worker.gone:
                    continue
                other = found.get(worker.entry.vm)
                if other is None or self._rank(other) < self._rank(worker):
                    found[worker.entry.vm] = worker
        return found

    def _rank(self, worker: WorkerState) -> tuple[bool, bool, int]:
        listed = self.listed.get(worker.entry.vm)
        return (
            worker.is_answering,
            listed is not None and listed.worker == worker.name,
            worker.entry.born_ms,
        )

    def is_successor(self, order: VmOrder, worker: WorkerState) -> bool:
        """Return whether a worker shows that a move was carried out.

        It is the VM's first one in the new pool. Maintenance has no such
        sign, as a worker that crashed comes back in the same pool.
        """
        return (
            not order.wave
            and not worker.gone
            and worker.entry.vm == order.vm
            and worker.entry.service == order.service
            and worker.first_seen_at >= order.sent_at
            and worker.incarnation != order.incarnation
        )

    def set_service(self, vm: str, service: str) -> None:
        """Set a VM's pool after a move that the list may not show yet."""
        listed = self.listed.get(vm)
        if listed is not None:
            self.listed[vm] = replace(listed, service=service)

    def mark_up(self, vm: str) -> None:
        """Set a VM's state to up before the list shows it."""
        listed = self.listed.get(vm)
        if listed is not None:
            self.listed[vm] = replace(listed, state=UP)

    def count_incoming(self) -> Counter[str]:
        """Return how many VMs drain for each pool or are on their way."""
        workers = self.index_workers()
        incoming = Counter(
            order.service
            for order in self.orders.values()
            if not order.wave and order.vm not in workers
        )
        incoming.update(
            drain.service for drain in self.drains.values() if not drain.wave
        )
        return incoming

    def count_in_maintenance(self) -> Counter[str]:
        """Return how many VMs of each pool are under maintenance.

        VMs whose worker has registered again no longer count.
        """
        workers = self.index_workers()
        return Counter(
            order.service
            for order in self.orders.values()
            if order.wave and order.vm not in workers
        )

    def count_maintenance_drains(self) -> Counter[str]:
        """Return how many VMs of each pool are draining for maintenance."""
        return Counter(
            drain.service for drain in self.drains.values() if drain.wave
        )

    def list_idle_vms(self, spare: str) -> list[str]:
        """Return the VMs of the spare pool that can be ordered."""
        return [
            vm.name
            for vm in self.listed.values()
            if vm.service == spare
            and vm.state == UP
            and vm.name not in self.orders
        ]

    def count_pending_changes(self) -> Counter[str]:
        """Return how many VMs each pool will gain, less those it will lose."""
        changes: Counter[str] = Counter()
        workers = self.index_workers()
        for order in self.orders.values():
            worker = workers.get(order.vm)
            if not order.wave and (
                worker is None or worker.entry.service != order.service
            ):
                changes[order.service] += 1  # not registered there yet
                if worker is not None:
                    # Still present without an answer, but gets no tasks.
                    changes[worker.entry.service] -= 1
        for vm, drain in self.drains.items():
            changes[drain.service] += 1
            worker = workers.get(vm)
            if worker is not None and not worker.unresponsive:
                changes[worker.entry.service] -= 1
        return changes

    def must_cordon(self, worker: WorkerState) -> bool:
        """Return whether the worker must get no new tasks.

        These are workers that an order in progress may still end.
        """
        vm = worker.entry.vm
        order = self.orders.get(vm)
        if vm in self.drains:
            return True
        if order is None:
            return False
        if worker.incarnation == order.incarnation:
            return True
        may_be_repeated = not (order.answered or order.carried_out)
        return may_be_repeated and not self.is_successor(order, worker)

    def list_cordons(self) -> dict[str, str]:
        """Return the VMs whose next workers get no new tasks either.

        The value is the pool whose workers do, as the order for the VM has
        been carried out once one registers there; empty for none.
        """
        cordons = dict.fromkeys(self.drains, "")
        for order in self.orders.values():
            if not (order.answered or order.carried_out):
                cordons[order.vm] = "" if order.wave else order.service
        return cordons

    def compute_even_share(self) -> float:
        """Return the number of all VMs divided by the number of pools."""
        pool_count = max(1, len(self._tracker.configuration.services))
        return len(self.listed) / pool_count

    def compute_average_millicores(self) -> int:
        """Return the average millicores of a VM, at least 1."""
        sizes = [vm.millicores for vm in self.listed.values()]
        return max(1, round(sum(sizes) / max(1, len(sizes))))
