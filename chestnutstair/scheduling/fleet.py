"""Moves VMs between pools as demand changes, and maintains them in waves."""

import logging
import math
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.scheduling.book import JobBook
from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.guards import OrderGuards, VmOrder
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.load import PoolLoad, measure_loads
from chestnutstair.scheduling.metrics import VM_ORDERS
from chestnutstair.scheduling.placement import Planner
from chestnutstair.scheduling.ports import (
    RowStore,
    StartRefusedFailure,
    Vm,
    VmControl,
)
from chestnutstair.scheduling.waves import WaveLedger
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.state.deadline import Clock
from chestnutstair.state.failure import describe_failure

__all__ = ["FleetKeeper", "FleetKeeperSettings"]

logger = logging.getLogger(__name__)

UP = "up"


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
    A wave is to be over in `wave_share` of its time, where emptying a VM
    takes about `drain_seconds`, twice a usual task; it takes `away_share` of
    a pool at once at most, one rack of four. Workers register within
    `register_seconds` of a start of the whole system.
    """

    tick_seconds: float = 0.1
    list_seconds: float = 2.0
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
    wave_share: float = 0.8
    drain_seconds: float = 3.0
    register_seconds: float = 8.0
    fresh_seconds: float = 1.0


@dataclass(frozen=True)
class Drain:
    """Why a VM is being emptied: to join `service`, or for a wave."""

    service: str
    wave: int


class FleetKeeper:
    """Runs beside a leader, for its term."""

    def __init__(
        self,
        leader: Leader,
        planner: Planner,
        vms: VmControl,
        store: RowStore,
        get_waves: Callable[[], list[MaintenanceWave]],
        clock: Clock,
        settings: FleetKeeperSettings,
    ) -> None:
        self._leader = leader
        self._book: JobBook = leader.book
        self._planner = planner
        self._vms = vms
        self._get_waves = get_waves
        self._clock = clock
        self._settings = settings
        self._waves = WaveLedger(leader, store, clock)
        self._guards = OrderGuards(
            leader,
            store,
            clock,
            settings.turn_seconds,
            settings.maintenance_seconds + settings.settle_seconds,
        )
        self._began_at = clock.read_monotonic()
        self._listed: dict[str, Vm] = {}
        self._listed_at = float("-inf")
        self._orders: dict[str, VmOrder] = {}
        self._drains: dict[str, Drain] = {}
        self._calm_since: dict[str, float] = {}
        self._thread = threading.Thread(
            target=self._run, name="fleet", daemon=True
        )

    def start(self) -> None:
        """Begin to keep the fleet."""
        self._thread.start()

    def _run(self) -> None:
        while not (self._waves.load() and self._guards.load()):
            if self._leader.has_ended:
                return
            self._clock.sleep(self._settings.retry_seconds)
        self._orders = {order.vm: order for order in self._guards.down}
        while not self._leader.has_ended:
            try:
                self._step()
            except Exception:
                # Pools that keep their size are better than none at all.
                logger.exception("fleet keeping failed")
            self._clock.sleep(self._settings.tick_seconds)

    def _step(self) -> None:
        self._refresh_list()
        if not self._listed or not self._may_order():
            return
        now = self._clock.read_monotonic()
        self._settle_orders(now)
        with self._book.lock:
            loads = measure_loads(self._book, now)
            spare = self._find_spare()
        if spare and self._knows_workers(now):
            sized = [load for load in loads if load.service != spare]
            self._size_pools(sized, spare, now)
        for wave in self._get_waves():
            self._waves.note_wave(wave, now)
            self._keep_wave(wave, spare, now)
        self._finish_drains()
        self._set_cordons()

    def _knows_workers(self, now: float) -> bool:
        """Tell whether the workers had time to register since the start."""
        if now - self._began_at > self._settings.register_seconds:
            return True
        spare = self._find_spare()
        up = sum(
            vm.service != spare and vm.state == UP
            for vm in self._listed.values()
        )
        with self._book.lock:
            return len(self._book.workers) >= up

    def _may_order(self) -> bool:
        term = self._leader.term
        age = self._clock.read_boottime() - term.renewed_at
        return age <= self._settings.fresh_seconds

    def _refresh_list(self) -> None:
        now = self._clock.read_monotonic()
        if now - self._listed_at < self._settings.list_seconds:
            return
        self._listed_at = now
        match self._vms.list_vms():
            case Ok(vms):
                self._listed = {vm.name: vm for vm in vms}
                for order in self._orders.values():
                    if order.answered and not order.wave:
                        self._note_moved(order.vm, order.service)
            case Err(failure):
                logger.info(
                    "VMs could not be listed",
                    extra={"reason": describe_failure(failure)},
                )

    def _note_moved(self, vm: str, service: str) -> None:
        listed = self._listed.get(vm)
        if listed is not None:
            self._listed[vm] = replace(listed, service=service)

    def _find_spare(self) -> str:
        services = self._book.configuration.services.values()
        return next((item.name for item in services if item.spare), "")

    def _index_workers(self) -> dict[str, WorkerState]:
        """Return the workers by VM; the caller holds the book's lock."""
        return {
            worker.entry.vm: worker
            for worker in self._book.workers.values()
            if not worker.gone
        }

    # Orders

    def _order_all(self, orders: list[tuple[str, str, int]]) -> None:
        """Send orders once it is stored that they are sent."""
        now = self._clock.read_monotonic()
        orders = [
            item for item in orders if self._guards.may_order(item[0], now)
        ]
        if orders and self._guards.store(orders):
            for vm, service, wave in orders:
                if self._may_order():
                    self._order(vm, service, wave)

    def _order(self, vm: str, service: str, wave: int) -> None:
        """Send an order and remember it until its outcome is known."""
        settings = self._settings
        holder = self._leader.term.holder
        epoch = self._leader.term.epoch
        if wave:
            answer = self._vms.maintain(vm, wave, holder, epoch)
            seconds = settings.maintenance_seconds
        else:
            answer = self._vms.move(vm, service, holder, epoch)
            seconds = settings.move_seconds
        now = self._clock.read_monotonic()
        back_at = now + seconds + settings.settle_seconds
        order = VmOrder(vm, service, wave, back_at, True)
        outcome = "ok"
        if answer.is_err():
            outcome = describe_failure(answer.unwrap_err())
        logger.info(
            "VM ordered",
            extra={
                "vm": vm,
                "service": service,
                "wave": wave,
                "epoch": epoch,
                "outcome": outcome,
            },
        )
        match answer:
            case Ok(_):
                VM_ORDERS.labels("maintain" if wave else "move").inc()
                self._orders[vm] = order
                self._retire(vm)
                if wave:
                    self._waves.note_begun(wave, vm)
                else:
                    self._note_moved(vm, service)
            case Err(StartRefusedFailure() | UnavailableFailure()):
                self._orders.pop(vm, None)
                self._listed_at = float("-inf")
            case Err(_):
                retry_at = now + settings.retry_seconds
                self._orders[vm] = replace(
                    order, back_at=retry_at, answered=False
                )

    def _retire(self, vm: str) -> None:
        with self._book.lock:
            worker = self._index_workers().get(vm)
            if worker is not None:
                self._book.retire_worker(worker)

    def _settle_orders(self, now: float) -> None:
        for order in list(self._orders.values()):
            if now < order.back_at:
                continue
            if order.answered:
                del self._orders[order.vm]
            else:
                # Asking again tells whether it was carried out.
                self._order(order.vm, order.service, order.wave)

    def _set_cordons(self) -> None:
        with self._book.lock:
            for worker in self._book.workers.values():
                vm = worker.entry.vm
                worker.cordoned = vm in self._drains or vm in self._orders

    # Pools

    def _size_pools(
        self, loads: list[PoolLoad], spare: str, now: float
    ) -> None:
        missing: dict[str, int] = {}
        surplus: dict[str, int] = {}
        for load in loads:
            want = self._measure_want(load)
            have = load.workers + self._count_change(load.service)
            if want >= have:
                self._calm_since.pop(load.service, None)
            if want > have:
                missing[load.service] = want - have
            elif want < have:
                self._calm_since.setdefault(load.service, now)
                surplus[load.service] = have - want
        for service, count in sorted(missing.items(), key=lambda x: -x[1]):
            short = self._grow(service, spare, count)
            if short:
                self._take_from(surplus, service, short)
        for service, count in surplus.items():
            calm = now - self._calm_since[service]
            if count and calm >= self._settings.calm_seconds:
                self._drain_for(service, spare, count)

    def _count_change(self, service: str) -> int:
        """Return the VMs that are coming, less those that are leaving."""
        arriving = sum(
            order.service == service and not order.wave
            for order in self._orders.values()
        )
        with self._book.lock:
            workers = self._index_workers()
            leaving = sum(
                worker.entry.service == service
                for vm in self._drains
                if (worker := workers.get(vm)) is not None
                and not worker.silent
            )
        arriving += sum(
            drain.service == service for drain in self._drains.values()
        )
        return arriving - leaving

    def _measure_want(self, load: PoolLoad) -> int:
        settings = self._settings
        services = max(1, len(self._book.configuration.services))
        usual = len(self._listed) / services
        room = self._measure_vm()
        now = load.batch + load.waiting + settings.coming_share * load.coming
        demand = load.lasting + settings.headroom * max(now, load.rate)
        want = -int(-demand // room)
        most = round(usual * settings.largest_pool)
        base = max(1, round(usual * settings.base_share))
        return max(base, load.widest, min(want, most))

    def _measure_vm(self) -> int:
        sizes = [vm.millicores for vm in self._listed.values()]
        return max(1, round(sum(sizes) / max(1, len(sizes))))

    def _grow(self, service: str, spare: str, count: int) -> int:
        """Bring VMs into a pool; return how many are still missing."""
        with self._book.lock:
            # VMs that were to leave are the quickest to come back.
            workers = self._index_workers()
            for vm, drain in list(self._drains.items()):
                worker = workers.get(vm)
                if (
                    count > 0
                    and not drain.wave
                    and worker is not None
                    and worker.entry.service == service
                ):
                    del self._drains[vm]
                    count -= 1
        idle = [
            vm.name
            for vm in self._listed.values()
            if vm.service == spare
            and vm.state == UP
            and vm.name not in self._orders
        ]
        idle.sort(key=lambda vm: (self._waves.is_due(vm), vm))
        chosen = idle[: max(0, count)]
        self._order_all([(vm, service, 0) for vm in chosen])
        return count - len(chosen)

    def _take_from(
        self, surplus: dict[str, int], service: str, count: int
    ) -> None:
        """Let other pools give what they do not need, without waiting."""
        for other in sorted(surplus, key=lambda name: -surplus[name]):
            given = self._drain_for(other, service, min(count, surplus[other]))
            surplus[other] -= given
            count -= given

    def _drain_for(self, service: str, target: str, count: int) -> int:
        """Begin to empty VMs of a pool that are to join another."""
        with self._book.lock:
            candidates = [
                worker
                for worker in self._book.workers.values()
                if worker.entry.service == service
                and not worker.gone
                and not worker.silent
                and worker.entry.vm in self._listed
                and worker.entry.vm not in self._orders
                and worker.entry.vm not in self._drains
            ]
            candidates.sort(
                key=lambda worker: (
                    sum(run.step.lasting for run in worker.runs.values()),
                    not self._waves.is_due(worker.entry.vm),
                    worker.millicores,
                    worker.name,
                )
            )
            chosen = candidates[: max(0, count)]
            for worker in chosen:
                worker.cordoned = True
        for worker in chosen:
            self._drains[worker.entry.vm] = Drain(target, 0)
        return len(chosen)

    def _finish_drains(self) -> None:
        """Give the order for VMs that have become empty."""
        free: list[tuple[str, str, int]] = []
        with self._book.lock:
            workers = self._index_workers()
            for vm, drain in list(self._drains.items()):
                worker = workers.get(vm)
                if worker is None:
                    del self._drains[vm]
                    continue
                worker.cordoned = True
                self._move_lasting(worker)
                if self._is_free(worker):
                    free.append((vm, drain.service, drain.wave))
        for vm, _, _ in free:
            del self._drains[vm]
        self._order_all(free)

    @staticmethod
    def _is_free(worker: WorkerState) -> bool:
        # All its ends are in the store, and it has been told so.
        return not worker.runs and worker.seen_sent >= worker.seen_applied

    def _move_lasting(self, worker: WorkerState) -> None:
        """Stop lasting tasks that another worker can take at once."""
        for task, run in list(worker.runs.items()):
            record = self._book.jobs.get(run.job)
            if record is None or run.stopping or not run.step.lasting:
                continue
            if not self._book.may_be_away(record, run.key):
                continue
            if self._planner.find_place(record, run.key) is None:
                continue
            logger.info(
                "lasting task is to move",
                extra={"task": task, "worker": worker.name},
            )
            worker.replace_run(task, replace(run, stopping=True))
            self._leader.wake()

    # Waves

    def _keep_wave(
        self, wave: MaintenanceWave, spare: str, now: float
    ) -> None:
        if self._waves.is_over(wave):
            return
        self._waves.tell_running(wave)
        due = [
            vm
            for vm in wave.vms
            if vm in self._listed and self._waves.is_due_in(wave, vm)
        ]
        busy = sum(
            order.wave == wave.number for order in self._orders.values()
        )
        if not due:
            if not busy:
                self._waves.tell_completed(wave)
            return
        busy += sum(
            drain.wave == wave.number for drain in self._drains.values()
        )
        with self._book.lock:
            workers = self._index_workers()
        left = self._count_drainable(wave, due, workers, now)
        for vm in due:
            if busy >= wave.cap:
                return
            busy += self._advance(wave, vm, spare, workers.get(vm), left)

    def _advance(
        self,
        wave: MaintenanceWave,
        vm: str,
        spare: str,
        worker: WorkerState | None,
        left: dict[str, int],
    ) -> bool:
        """Begin to empty a VM, or maintain it; tell whether it was begun.

        `left` is how many more VMs of each pool may be away.
        """
        if vm in self._orders or vm in self._drains:
            return False
        listed = self._listed[vm]
        if worker is not None:
            service = worker.entry.service
            if left.get(service, 0) <= 0:
                return False
            left[service] -= 1
            self._drains[vm] = Drain(service, wave.number)
            return True
        if listed.service != spare or listed.state != UP:
            return False  # it is down, or its worker has not come back yet
        self._order_all([(vm, spare, wave.number)])
        return True

    def _count_drainable(
        self,
        wave: MaintenanceWave,
        due: list[str],
        workers: dict[str, WorkerState],
        now: float,
    ) -> dict[str, int]:
        """Return how many more VMs of each pool may be away for the wave.

        They are as many as the wave needs to be over in time, but no more
        than a share of the pool.
        """
        settings = self._settings
        services = [worker.entry.service for worker in workers.values()]
        sizes = Counter(services)
        due_in = Counter(
            workers[vm].entry.service for vm in due if vm in workers
        )
        away = Counter(
            worker.entry.service
            for vm, drain in self._drains.items()
            if drain.wave and (worker := workers.get(vm)) is not None
        )
        away += Counter(
            order.service for order in self._orders.values() if order.wave
        )
        cycle = settings.maintenance_seconds + settings.drain_seconds
        seconds = wave.seconds * settings.wave_share
        seconds -= self._waves.measure_age(wave, now)
        left = {}
        for service, count in due_in.items():
            needed = math.ceil(count * cycle / max(cycle, seconds))
            most = max(1, round(sizes[service] * settings.away_share))
            left[service] = min(needed, most) - away[service]
        return left
