"""Control loop of maintenance waves: takes their VMs down in batches."""

import math
from collections import Counter

from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.fleet_state import (
    UP,
    Drain,
    FleetControllerSettings,
    FleetState,
)
from chestnutstair.scheduling.vm_order_history import VmOrder
from chestnutstair.scheduling.vm_orders import VmOrderDispatcher
from chestnutstair.scheduling.wave_progress import WaveProgress
from chestnutstair.scheduling.workers import WorkerState

__all__ = ["WaveController"]


class WaveController:
    """Drains VMs that are due; sends orders for idle spare VMs at once."""

    def __init__(
        self,
        waves: WaveProgress,
        orders: VmOrderDispatcher,
        state: FleetState,
        settings: FleetControllerSettings,
    ) -> None:
        self._waves = waves
        self._orders = orders
        self._state = state
        self._settings = settings

    def reconcile(self, wave: MaintenanceWave, spare: str, now: float) -> None:
        """Start draining or maintaining a wave's next VMs, within its cap.

        `spare` is the name of the spare pool, `now` a monotonic time.
        """
        self._waves.add_wave(wave, now)
        if self._waves.is_completed(wave):
            return
        self._waves.report_running(wave)
        cap = self._waves.find_cap(wave, self._state.shards, now)
        if cap is None:
            return
        not_begun = [vm for vm in wave.vms if self._waves.is_due_in(wave, vm)]
        due = [vm for vm in not_begun if vm in self._state.listed]
        in_progress = sum(
            order.wave == wave.number for order in self._state.orders.values()
        )
        if not due:
            self._complete_if_gone(wave, not_begun, in_progress)
            return
        in_progress += sum(
            drain.wave == wave.number for drain in self._state.drains.values()
        )
        workers = self._state.index_workers()
        allowed = self._count_drainable(wave, due, workers, now)
        allowed[spare] = self._count_available_idle(spare)
        idle: list[VmOrder] = []
        # VMs with most lasting tasks first: these move a few at a time, so
        # such VMs take longest to drain.
        due.sort(
            key=lambda vm: -workers[vm].lasting_runs if vm in workers else 0
        )
        for vm in due:
            if in_progress >= cap:
                break
            if vm in self._state.orders or vm in self._state.drains:
                continue
            worker = workers.get(vm)
            listed = self._state.listed[vm]
            service = worker.entry.service if worker else spare
            if allowed.get(service, 0) <= 0:
                continue
            if worker is not None:
                self._state.drains[vm] = Drain(service, wave.number)
            elif listed.service == spare and listed.state == UP:
                idle.append(VmOrder(vm, spare, wave.number))
            else:
                continue  # VM down, or its worker not registered again yet
            allowed[service] -= 1
            in_progress += 1
        self._orders.order_all(idle)

    def _complete_if_gone(
        self, wave: MaintenanceWave, not_begun: list[str], in_progress: int
    ) -> None:
        if not in_progress and self._state.are_gone(not_begun):
            self._waves.report_completed(wave)

    def _count_available_idle(self, spare: str) -> int:
        """Return how many more VMs of the spare pool may be unavailable."""
        idle = sum(vm.service == spare for vm in self._state.listed.values())
        unavailable = sum(
            order.wave > 0 and order.service == spare
            for order in self._state.orders.values()
        )
        return math.ceil(idle * self._settings.unavailable_share) - unavailable

    def _count_drainable(
        self,
        wave: MaintenanceWave,
        due: list[str],
        workers: dict[str, WorkerState],
        now: float,
    ) -> dict[str, int]:
        """Return how many more VMs of each pool may be unavailable.

        The limit is as many as the wave needs to complete in time, but no
        more than `unavailable_share` of the pool.
        """
        settings = self._settings
        services = [worker.entry.service for worker in workers.values()]
        pool_sizes = Counter(services)
        due_by_pool = Counter(
            workers[vm].entry.service for vm in due if vm in workers
        )
        unavailable = Counter(
            worker.entry.service
            for vm, drain in self._state.drains.items()
            if drain.wave and (worker := workers.get(vm)) is not None
        )
        unavailable += Counter(
            order.service
            for order in self._state.orders.values()
            if order.wave
        )
        cycle = settings.maintenance_seconds + settings.drain_seconds
        seconds = wave.seconds * settings.wave_time_share
        seconds -= self._waves.measure_age(wave, now)
        allowed = {}
        for service, count in due_by_pool.items():
            needed = math.ceil(count * cycle / max(cycle, seconds))
            max_unavailable = max(
                1, round(pool_sizes[service] * settings.unavailable_share)
            )
            allowed[service] = (
                min(needed, max_unavailable) - unavailable[service]
            )
        return allowed
