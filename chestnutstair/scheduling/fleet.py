"""Moves VMs between pools as demand changes, and maintains them in waves."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.scheduling.book import JobBook
from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.load import PoolLoad, measure_loads
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

    `turn_seconds` must lie between the orders of two leaders for one VM,
    so a leader that replaced another gives none before. A pool is kept at
    `base_share` of the VMs that it had when the leader first saw it: what
    it needs while more are on their way, `move_seconds` and a little more.
    `headroom` is room beyond the demand; `coming_share` is the part of the
    work in later steps that counts as demand already. A pool shrinks when
    its demand has been lower for `calm_seconds`, about what a move there
    and back costs, and never grows beyond `largest_pool` times its first
    size. `drains_per_pool` VMs are emptied at once for maintenance, and
    twice as many once `late_share` of the wave's time has gone. Workers
    register within `register_seconds` of a start of the whole system.
    """

    tick_seconds: float = 0.1
    list_seconds: float = 2.0
    turn_seconds: float = 3.0
    move_seconds: float = 1.5
    maintenance_seconds: float = 2.0
    settle_seconds: float = 0.5
    retry_seconds: float = 1.0
    base_share: float = 0.5
    headroom: float = 1.1
    coming_share: float = 0.3
    calm_seconds: float = 2.5
    drains_per_pool: int = 1
    largest_pool: float = 2.0
    late_share: float = 0.4
    register_seconds: float = 8.0
    fresh_seconds: float = 1.0


@dataclass(frozen=True)
class VmOrder:
    """An order for a VM that may still be under way.

    `wave` is 0 for a move to `service`. Until `back_at` the VM counts as
    away; `answered` is False while the outcome is unknown.
    """

    vm: str
    service: str
    wave: int
    back_at: float
    answered: bool


@dataclass
class _Pool:
    """What the keeper remembers of one pool."""

    first_size: int
    base: int
    calm_since: float | None = None


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
        self._began_at = clock.read_monotonic()
        self._listed: dict[str, Vm] = {}
        self._listed_at = float("-inf")
        self._orders: dict[str, VmOrder] = {}
        self._drains: dict[str, int] = {}  # VM to wave, 0 to leave its pool
        self._pools: dict[str, _Pool] = {}
        self._thread = threading.Thread(
            target=self._run, name="fleet", daemon=True
        )

    def start(self) -> None:
        """Begin to keep the fleet."""
        self._thread.start()

    def _run(self) -> None:
        while not self._waves.load() and not self._leader.has_ended:
            self._clock.sleep(self._settings.retry_seconds)
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
            loads = measure_loads(self._book)
            spare = self._find_spare()
        if spare and self._knows_workers(now):
            for load in loads:
                if load.service != spare:
                    self._size_pool(load, spare, now)
        for wave in self._get_waves():
            self._waves.note_wave(wave, now)
            self._keep_wave(wave, spare, now)
        self._finish_drains(spare)
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
        if age > self._settings.fresh_seconds:
            return False
        waited = self._clock.read_monotonic() - self._began_at
        return term.epoch == 1 or waited >= self._settings.turn_seconds

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

    def _find_worker(self, vm: str) -> WorkerState | None:
        return next(
            (
                worker
                for worker in self._book.workers.values()
                if worker.entry.vm == vm and not worker.gone
            ),
            None,
        )

    # Orders

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
            worker = self._find_worker(vm)
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

    def _size_pool(self, load: PoolLoad, spare: str, now: float) -> None:
        pool = self._pools.get(load.service)
        if pool is None:
            size = sum(
                vm.service == load.service for vm in self._listed.values()
            )
            base = max(1, round(size * self._settings.base_share))
            pool = self._pools[load.service] = _Pool(size, base)
        want = self._measure_want(load, pool)
        have = load.workers + self._count_change(load.service)
        if want > have:
            pool.calm_since = None
            self._grow(load.service, spare, want - have)
        elif want < have:
            if pool.calm_since is None:
                pool.calm_since = now
            if now - pool.calm_since >= self._settings.calm_seconds:
                self._shrink(load.service, have - want)
        else:
            pool.calm_since = None

    def _count_change(self, service: str) -> int:
        """Return the VMs that are coming, less those that are leaving."""
        arriving = sum(
            order.service == service and not order.wave
            for order in self._orders.values()
        )
        with self._book.lock:
            leaving = sum(
                worker.entry.service == service and not worker.gone
                for vm in self._drains
                if (worker := self._find_worker(vm)) is not None
            )
        return arriving - leaving

    def _measure_want(self, load: PoolLoad, pool: _Pool) -> int:
        settings = self._settings
        room = max(load.room // max(1, load.workers), 1)
        demand = (
            load.lasting
            + load.batch
            + load.waiting
            + settings.coming_share * load.coming
        )
        want = -int(-demand * settings.headroom // room)
        most = round(pool.first_size * settings.largest_pool)
        return max(pool.base, load.widest, min(want, most))

    def _grow(self, service: str, spare: str, count: int) -> None:
        with self._book.lock:
            # VMs that were to leave are the quickest to come back.
            for vm, wave in list(self._drains.items()):
                worker = self._find_worker(vm)
                if (
                    count > 0
                    and not wave
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
        for vm in idle[: max(0, count)]:
            self._order(vm, service, 0)

    def _shrink(self, service: str, count: int) -> None:
        with self._book.lock:
            candidates = [
                worker
                for worker in self._book.workers.values()
                if worker.entry.service == service
                and not worker.gone
                and worker.entry.vm in self._listed
                and worker.entry.vm not in self._orders
                and worker.entry.vm not in self._drains
                and not any(run.step.lasting for run in worker.runs.values())
            ]
        candidates.sort(
            key=lambda worker: (
                not self._waves.is_due(worker.entry.vm),
                worker.millicores,
                worker.name,
            )
        )
        for worker in candidates[:count]:
            self._drains[worker.entry.vm] = 0

    def _finish_drains(self, spare: str) -> None:
        """Give the order for VMs that have become empty."""
        for vm, wave in list(self._drains.items()):
            with self._book.lock:
                worker = self._find_worker(vm)
                if worker is None:
                    del self._drains[vm]
                    continue
                worker.cordoned = True
                if wave:
                    self._move_lasting(worker)
                free = self._is_free(worker)
                service = worker.entry.service
            if free:
                del self._drains[vm]
                self._order(vm, service if wave else spare, wave)

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
        busy += sum(number == wave.number for number in self._drains.values())
        for vm in due:
            if busy >= wave.cap:
                return
            busy += self._advance(wave, vm, spare, now)

    def _advance(
        self, wave: MaintenanceWave, vm: str, spare: str, now: float
    ) -> bool:
        """Begin to empty a VM, or maintain it; tell whether it was begun."""
        if vm in self._orders or vm in self._drains:
            return False
        listed = self._listed[vm]
        with self._book.lock:
            worker = self._find_worker(vm)
        if worker is not None:
            if not self._may_drain(worker, wave, now):
                return False
            self._drains[vm] = wave.number
            return True
        if listed.service != spare or listed.state != UP:
            return False  # it is down, or its worker has not come back yet
        self._order(vm, spare, wave.number)
        return True

    def _may_drain(
        self, worker: WorkerState, wave: MaintenanceWave, now: float
    ) -> bool:
        age = self._waves.measure_age(wave, now)
        limit = self._settings.drains_per_pool
        if age > self._settings.late_share * wave.seconds:
            limit *= 2
        service = worker.entry.service
        with self._book.lock:
            drained = sum(
                other.entry.service == service
                for vm, number in self._drains.items()
                if number and (other := self._find_worker(vm)) is not None
            )
        down = sum(
            order.wave > 0 and order.service == service
            for order in self._orders.values()
        )
        return drained + down < limit
