"""Control loop that moves VMs between pools and runs maintenance waves."""

import logging
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.fleet_state import (
    UP,
    Drain,
    FleetControllerSettings,
    FleetState,
)
from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.load import measure_loads
from chestnutstair.scheduling.maintenance import WaveController
from chestnutstair.scheduling.metrics import (
    TURN_PREDICTIONS,
    VMS_HANDED_OVER,
    VMS_HELD,
)
from chestnutstair.scheduling.placement import Planner
from chestnutstair.scheduling.pool_sizes import PoolSize, PoolSizer
from chestnutstair.scheduling.ports import RowStore, VmControl
from chestnutstair.scheduling.progress import Lateness
from chestnutstair.scheduling.shards.shard import ONLY_SHARD, Shard
from chestnutstair.scheduling.turns import NO_TURNS, TurnTracker
from chestnutstair.scheduling.vm_order_history import VmOrder, VmOrderHistory
from chestnutstair.scheduling.vm_orders import VmOrderDispatcher
from chestnutstair.scheduling.wave_progress import WaveProgress
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.state.deadline import Clock

__all__ = ["FleetController"]

logger = logging.getLogger(__name__)


class FleetController:
    """Resizes pools and runs waves on its own thread, for one term."""

    def __init__(
        self,
        leader: Leader,
        planner: Planner,
        vms: VmControl,
        store: RowStore,
        get_waves: Callable[[], list[MaintenanceWave]],
        clock: Clock,
        settings: FleetControllerSettings,
        shard: Shard = ONLY_SHARD,
    ) -> None:
        self._leader = leader
        self._tracker: JobTracker = leader.tracker
        self._planner = planner
        self._get_waves = get_waves
        self._clock = clock
        self._settings = settings
        self._waves = WaveProgress(leader, store, clock, shard)
        self._order_history = VmOrderHistory(
            leader,
            store,
            clock,
            settings.min_order_interval_seconds + settings.send_seconds,
            settings.send_seconds
            + settings.maintenance_seconds
            + settings.settle_seconds,
            shard.names,
            settings.late_order_seconds,
        )
        self._state = FleetState(self._tracker)
        self._orders = VmOrderDispatcher(
            leader,
            vms,
            self._order_history,
            self._waves,
            self._state,
            clock,
            settings,
            shard,
        )
        self._sizer = PoolSizer(self._tracker, self._state, settings)
        self._wave_controller = WaveController(
            self._waves, self._orders, self._state, settings
        )
        self._turns = TurnTracker()
        self._outlook = NO_TURNS
        # Until when VMs that did not drain are not chosen again.
        self._left_out_until: dict[str, float] = {}
        self._began_at = clock.read_monotonic()
        self._workers_registered = False
        self._thread = threading.Thread(
            target=self._run, name="fleet", daemon=True
        )

    def start(self) -> None:
        """Start the control loop on a thread of its own."""
        self._thread.start()

    def _run(self) -> None:
        while not self._load():
            if self._leader.has_ended:
                return
            self._clock.sleep(self._settings.retry_seconds)
        self._inherit_maintenance()
        while not self._leader.has_ended:
            try:
                self._step()
            except Exception:
                # The loop must go on; a failed round leaves pools as they are.
                logger.exception("fleet control round failed")
            self._clock.sleep(self._settings.tick_seconds)
        self._orders.close()

    def _inherit_maintenance(self) -> None:
        """Count maintenance that earlier leaders ordered against the caps.

        An order whose answer is not stored may be carried out late. It is not
        repeated, as the VM may have tasks by now.
        """
        now = self._clock.read_monotonic()
        for order in self._order_history.unfinished_maintenance:
            until = order.in_doubt_until
            if self._waves.is_begun(order.wave, order.vm):
                until = order.back_at
            if until > now:
                self._state.orders[order.vm] = replace(order, back_at=until)

    def _load(self) -> bool:
        try:
            return self._waves.load() and self._order_history.load()
        except Exception:
            # If the thread ended, no pool would change in this term.
            logger.exception("loading orders and waves failed")
            return False

    def _step(self) -> None:
        self._orders.refresh_list()
        if not self._state.shards or not self._orders.may_order():
            return
        now = self._clock.read_monotonic()
        self._orders.update_orders(now)
        with self._tracker.lock:
            loads = measure_loads(self._tracker, now)
            spare = self._state.find_spare_pool()
            if self._settings.follow_turns:
                self._update_outlook(now)
        self._expect_arrivals()
        if spare and self._are_workers_registered(now):
            self._replace_drains_by_idle_vms(spare)
            sized = [load for load in loads if load.service != spare]
            sizes = self._sizer.measure(sized, self._outlook, now)
            self._resize_pools(sizes, spare, now)
        self._finish_drains(now)
        for wave in self._get_waves():
            try:
                self._wave_controller.reconcile(wave, spare, now)
            except Exception:
                # An error for one wave must not delay the others.
                logger.exception(
                    "wave cannot be reconciled", extra={"wave": wave.number}
                )
        self._set_cordons()

    def _expect_arrivals(self) -> None:
        """Tell the planner when VMs that are on their way arrive."""
        if self._planner.lookahead is None:
            return
        arrivals: dict[str, tuple[float, ...]] = {}
        for order in self._state.orders.values():
            if order.answered and not order.wave:
                before = arrivals.get(order.service, ())
                arrivals[order.service] = (*before, order.back_at)
        with self._tracker.lock:
            self._planner.lookahead.set_arrivals(arrivals)

    def _are_workers_registered(self, now: float) -> bool:
        """Return whether enough workers have registered, or had time to."""
        if self._workers_registered:
            return True
        spare = self._state.find_spare_pool()
        expected = sum(
            vm.service != spare and vm.state == UP
            for vm in self._state.listed.values()
        )
        with self._tracker.lock:
            registered = len(self._tracker.workers)
        age = now - self._began_at
        # Once true it stays so: workers of VMs that this leader moves later
        # are not waited for.
        self._workers_registered = (
            registered >= expected * self._settings.registered_share
            or age > self._settings.registration_seconds
        )
        return self._workers_registered

    def _set_cordons(self) -> None:
        now = self._clock.read_monotonic()
        with self._tracker.lock:
            self._tracker.cordons = self._state.list_cordons()
            self._tracker.ordered_vms = frozenset(self._state.orders)
            for worker in self._tracker.workers.values():
                worker.cordoned = self._state.must_cordon(worker)
                if self._may_be_ended(worker):
                    worker.ordered_at = now
                worker.maintenance_due = self._waves.is_due(worker.entry.vm)

    def _may_be_ended(self, worker: WorkerState) -> bool:
        """Return whether an order for its VM may end a worker now.

        Which worker an order of an earlier leader ends is not known.
        """
        vm = worker.entry.vm
        order = self._state.orders.get(vm)
        if order is None or vm in self._state.drains:
            return False
        return worker.cordoned or not order.worker

    # Turns

    def _update_outlook(self, now: float) -> None:
        """Predict the next turn; the caller must hold the tracker's lock."""
        before = self._outlook
        self._turns.observe(self._tracker.arrivals)
        configuration = self._tracker.configuration
        pools = frozenset(queue.service for queue in configuration.queues)
        self._outlook = after = self._turns.predict(
            pools, now, self._settings.shrink_delay_seconds
        )
        if (before.pool, before.next_pool) == (after.pool, after.next_pool):
            return
        outcome = "none"
        if before.next_pool and after.pool == before.next_pool:
            outcome = "right"
        elif before.next_pool:
            outcome = "wrong" if after.pool != before.pool else "overdue"
        if before.next_pool:
            TURN_PREDICTIONS.labels(outcome).inc()
        logger.info(
            "turn predicted",
            extra={
                "service": after.pool,
                "rate": after.rate,
                "next_service": after.next_pool,
                "next_rate": after.next_rate,
                "rises_in": round(after.rises_at - now, 2),
                "method": after.method,
                "before": before.next_pool,
                "outcome": outcome,
                "turns": [turn.pool for turn in self._turns.turns[-8:]],
            },
        )

    # Pools

    def _resize_pools(
        self, sizes: list[PoolSize], spare: str, now: float
    ) -> None:
        """Add VMs to pools that lack some; drain those in surplus.

        Drained VMs take no new tasks, so that work gathers on the others and
        they are empty when the delay before their order is over.
        """
        drained: Counter[str] = Counter()
        received: Counter[str] = Counter()
        if self._settings.follow_turns:
            # A pool may not lose the VMs that it has for those on their way.
            drained = self._state.count_incoming()
            received = self._hand_over(sizes, drained, spare, now)
        for size in sorted(sizes, key=lambda size: size.have - size.need):
            missing = size.need - size.have - received[size.service]
            if missing > 0:
                missing = self._grow(size.service, spare, missing, True)
            if missing > 0:
                self._drain_other_pools(sizes, drained, size.service, missing)
        for size in sizes:
            have = size.have + received[size.service]
            extra = size.want - max(have, size.need)
            if extra > 0:
                self._grow(size.service, spare, extra, False)
            surplus = size.have - size.want - drained[size.service]
            if surplus > 0:
                order_at = now + self._settings.shrink_delay_seconds
                self._start_drains(
                    size.service,
                    Drain(spare, order_at=order_at, begun_at=now),
                    surplus,
                )

    def _hand_over(
        self,
        sizes: list[PoolSize],
        drained: Counter[str],
        spare: str,
        now: float,
    ) -> Counter[str]:
        """Send surplus VMs straight to the pools that lack some.

        Empty VMs move at once and save a move through the spare pool. VMs
        with tasks are sent only where idle VMs of the spare pool, which
        arrive sooner, do not suffice. Returns how many VMs each pool got
        or took back, and adds the surplus that was sent to `drained`.
        """
        received: Counter[str] = Counter()
        idle = len(self._list_orderable_vms(spare))
        for size in sorted(
            sizes,
            key=lambda size: (size.have - size.need, size.have - size.want),
        ):
            service = size.service
            lack = max(size.want, size.need) - size.have
            if lack <= 0:
                continue
            kept = self._cancel_drains(service, spare, lack, False)
            empty = self._take_surplus(
                sizes, drained, service, spare, lack - kept, True, now
            )
            left = lack - kept - empty
            busy = self._take_surplus(
                sizes, drained, service, spare, left - idle, False, now
            )
            idle = max(0, idle - (left - busy))
            received[service] = kept + empty + busy
            if kept or empty or busy:
                VMS_HANDED_OVER.inc(empty + busy)
                logger.info(
                    "surplus VMs handed over",
                    extra={
                        "service": service,
                        "have": size.have,
                        "want": size.want,
                        "need": size.need,
                        "kept": kept,
                        "empty": empty,
                        "busy": busy,
                        "idle": idle,
                    },
                )
        return received

    def _take_surplus(
        self,
        sizes: list[PoolSize],
        drained: Counter[str],
        service: str,
        spare: str,
        count: int,
        empty: bool,
        now: float,
    ) -> int:
        """Let up to `count` surplus VMs drain for a pool; return how many.

        Takes VMs that drain for the spare pool first. With `empty`, only
        VMs without tasks. VMs that have not drained for long are left out.
        """
        with self._tracker.lock:
            workers = self._state.index_workers()
            draining = [
                (vm, drain)
                for vm, drain in self._state.drains.items()
                if drain.service == spare
                and not drain.wave
                and (worker := workers.get(vm)) is not None
                and worker.entry.service != service
                and (
                    self._is_empty(worker)
                    if empty
                    else not self._is_overdue(drain, now)
                )
            ][: max(0, count)]
        for vm, drain in draining:
            self._state.drains[vm] = Drain(service, begun_at=drain.begun_at)
        taken = len(draining)
        for size in sorted(sizes, key=lambda size: size.want - size.have):
            surplus = (
                size.have - max(size.want, size.need) - drained[size.service]
            )
            if size.service != service and surplus > 0 and taken < count:
                started = self._start_drains(
                    size.service,
                    Drain(service, begun_at=now),
                    min(surplus, count - taken),
                    empty,
                )
                drained[size.service] += started
                taken += started
        return taken

    def _replace_drains_by_idle_vms(self, spare: str) -> None:
        """Order idle VMs for pools that wait for VMs of others to drain.

        An idle VM is there sooner. The draining ones are redirected to the
        spare pool, from which their own pools can take them back.
        """
        waiting = [
            (vm, drain)
            for vm, drain in self._state.drains.items()
            if not drain.wave and drain.service != spare
        ]
        idle = self._list_orderable_vms(spare)
        pairs = list(zip(idle, waiting, strict=False))
        ordered = self._orders.order_all(
            [VmOrder(vm, drain.service) for vm, (_, drain) in pairs]
        )
        for vm, (draining_vm, _) in pairs:
            if vm in ordered:
                self._state.drains[draining_vm] = Drain(spare)

    def _grow(self, service: str, spare: str, count: int, timely: bool) -> int:
        """Add VMs to a pool; return how many could not be added.

        Cancels drains of the pool's VMs first, then orders idle spare VMs.
        With `timely`, the VMs are for work that can be in time: VMs that
        drain for another pool are kept too, and VMs that drain for the spare
        pool are redirected to this one.
        """
        count -= self._cancel_drains(service, spare, count, timely)
        if timely:
            count -= self._redirect_drains(service, spare, count)
        chosen = self._list_orderable_vms(spare)[: max(0, count)]
        # VMs beyond the rate limit are ordered in one of the next rounds.
        self._orders.order_all([VmOrder(vm, service) for vm in chosen])
        return count - len(chosen)

    def _list_orderable_vms(self, spare: str) -> list[str]:
        """Return the idle VMs that may be ordered, best ones first."""
        now = self._clock.read_monotonic()
        orderable = [
            vm
            for vm in self._state.list_idle_vms(spare)
            if self._order_history.is_interval_over(vm, now)
            and not self._must_be_maintained(vm, now)
        ]
        # A VM that is due for maintenance would soon leave its pool again.
        return sorted(orderable, key=lambda vm: (self._waves.is_due(vm), vm))

    def _must_be_maintained(self, vm: str, now: float) -> bool:
        """Return whether a VM must not move before its maintenance."""
        share = self._settings.wave_time_share
        return self._waves.is_due_after(vm, share, now)

    def _cancel_drains(
        self, service: str, spare: str, count: int, timely: bool
    ) -> int:
        """Cancel up to `count` drains of a pool's VMs; return how many.

        Drains for maintenance continue. Unless `timely`, so do drains for
        pools other than the spare pool.
        """
        workers = self._state.index_workers()
        candidates = [
            vm
            for vm, drain in self._state.drains.items()
            if not drain.wave
            and (timely or drain.service == spare)
            and (worker := workers.get(vm)) is not None
            and worker.entry.service == service
        ]
        cancelled = candidates[: max(0, count)]
        for vm in cancelled:
            del self._state.drains[vm]
        return len(cancelled)

    def _redirect_drains(self, service: str, spare: str, count: int) -> int:
        """Redirect VMs that drain for the spare pool to another pool.

        Redirects up to `count` VMs; returns how many.
        """
        now = self._clock.read_monotonic()
        candidates = [
            vm
            for vm, drain in self._state.drains.items()
            if not drain.wave
            and drain.service == spare
            and not self._is_overdue(drain, now)
        ]
        redirected = candidates[: max(0, count)]
        for vm in redirected:
            self._state.drains[vm] = Drain(service, urgent=True)
        return len(redirected)

    def _drain_other_pools(
        self,
        sizes: list[PoolSize],
        drained: Counter[str],
        service: str,
        missing: int,
    ) -> None:
        """Urgently drain VMs that other pools have beyond their `need`.

        Up to `missing` VMs join the pool `service`. Their work that will be
        late anyway is stopped and waits for capacity. `drained` counts, for
        each pool, the VMs drained for others so far, and is updated.
        """
        for size in sorted(sizes, key=lambda size: size.need - size.have):
            available = size.have - size.need - drained[size.service]
            if size.service != service and missing > 0 and available > 0:
                started = self._start_drains(
                    size.service,
                    Drain(service, urgent=True),
                    min(missing, available),
                )
                drained[size.service] += started
                missing -= started

    def _start_drains(
        self, service: str, drain: Drain, count: int, empty: bool = False
    ) -> int:
        """Start draining up to `count` VMs of a pool; return how many.

        With `empty`, only VMs without tasks.

        Prefers VMs with few lasting runs and, if the drain is urgent, few
        runs that can be in time; then VMs due for maintenance, then those
        with little in use.
        """
        with self._tracker.lock:
            candidates = [
                worker
                for worker in self._tracker.workers.values()
                if worker.entry.service == service
                and not worker.gone
                and not worker.unresponsive
                and worker.entry.vm in self._state.listed
                and worker.entry.vm not in self._state.orders
                and worker.entry.vm not in self._state.drains
                and (not empty or self._is_empty(worker))
                and not (
                    drain.begun_at
                    < self._left_out_until.get(worker.entry.vm, 0.0)
                    and not drain.urgent
                )
            ]
            candidates.sort(
                key=lambda worker: (
                    worker.lasting_runs,
                    self._count_timely(worker) if drain.urgent else 0,
                    not self._waves.is_due(worker.entry.vm),
                    worker.used_millicores,
                    worker.name,
                )
            )
            chosen = candidates[: max(0, count)]
            for worker in chosen:
                worker.cordoned = True
        for worker in chosen:
            self._state.drains[worker.entry.vm] = drain
        return len(chosen)

    def _finish_drains(self, now: float) -> None:
        """Send the orders for draining VMs that have become empty.

        Also moves lasting tasks off draining VMs, and stops late runs on VMs
        that drain urgently.
        """
        orders: list[VmOrder] = []
        spare = self._state.find_spare_pool()
        hold = self._count_vms_to_hold(now)
        held = 0
        with self._tracker.lock:
            workers = self._state.index_workers()
            for vm, drain in list(self._state.drains.items()):
                worker = workers.get(vm)
                if worker is None:
                    del self._state.drains[vm]
                    continue
                worker.cordoned = True
                if now < drain.order_at:
                    continue
                self._move_lasting_tasks(worker)
                self._stop_delaying_runs(vm, drain, worker, now)
                if not self._is_empty(worker):
                    self._end_overdue_drain(vm, drain, spare, now)
                    continue
                if not drain.wave and drain.service == spare and held < hold:
                    held += 1
                    continue
                if not drain.wave and self._must_be_maintained(vm, now):
                    del self._state.drains[vm]  # the wave drains it again
                else:
                    orders.append(VmOrder(vm, drain.service, drain.wave))
        VMS_HELD.set(held)
        if self._settings.follow_turns:
            # Beyond the rate limit, pools that lack VMs go first.
            orders.sort(key=lambda order: order.service == spare)
        for vm in self._orders.order_all(orders):
            del self._state.drains[vm]

    def _count_vms_to_hold(self, now: float) -> int:
        """Return how many surplus VMs to hold for the turn that is due.

        A VM on its way to the spare pool cannot be ordered back before the
        move is over. VMs for a known pool are ordered ahead of its turn,
        others once the turn has begun. A turn that does not come ends the
        hold when its prediction is withdrawn.
        """
        settings = self._settings
        outlook = self._outlook
        lead = settings.move_seconds if outlook.next_pool else 0.0
        order_seconds = settings.move_seconds + settings.settle_seconds
        lead += order_seconds + settings.hold_seconds
        if now < outlook.rises_at - lead:
            return 0
        rate = outlook.next_rate if outlook.next_pool else outlook.rate
        vm_millicores = self._state.compute_average_millicores()
        return round(settings.turn_headroom * rate / vm_millicores)

    def _end_overdue_drain(
        self, vm: str, drain: Drain, spare: str, now: float
    ) -> None:
        """Return a surplus VM that does not drain to its pool.

        Others are sent in its place, as it is left out for as long again.
        """
        if drain.service == spare or not self._is_overdue(drain, now):
            return
        logger.info(
            "surplus VM has not drained in time",
            extra={
                "vm": vm,
                "service": drain.service,
                "seconds": round(now - drain.begun_at, 2),
            },
        )
        del self._state.drains[vm]
        self._left_out_until[vm] = now + self._settings.drain_seconds

    def _is_overdue(self, drain: Drain, now: float) -> bool:
        """Return whether a VM in surplus has not drained in time."""
        return (
            self._settings.follow_turns
            and drain.begun_at > 0
            and now - drain.begun_at >= self._settings.drain_seconds
        )

    def _stop_delaying_runs(
        self, vm: str, drain: Drain, worker: WorkerState, now: float
    ) -> None:
        """Stop runs that delay a drain and are worth less than the VM."""
        if drain.wave:
            share = self._settings.wave_stop_share
            if self._waves.is_due_after(vm, share, now):
                self._stop_batch_runs(worker, "maintenance is overdue")
        elif drain.urgent and not self._count_timely(worker):
            self._stop_batch_runs(worker, "late, and another pool lacks VMs")

    def _count_timely(self, worker: WorkerState) -> int:
        """Return how many non-lasting runs are of jobs that can be in time."""
        return sum(
            not run.step.lasting
            and (record := self._tracker.active.get(run.job)) is not None
            and record.lateness is Lateness.IN_TIME
            for run in worker.runs.values()
        )

    def _stop_batch_runs(self, worker: WorkerState, reason: str) -> None:
        for task, run in list(worker.runs.items()):
            if run.step.lasting or run.stopping:
                continue
            logger.info(
                "stopping run to free its VM",
                extra={
                    "task": task,
                    "worker": worker.name,
                    "reason": reason,
                },
            )
            worker.mark_stopping(task)
            self._leader.wake()

    @staticmethod
    def _is_empty(worker: WorkerState) -> bool:
        # All ends of its runs are stored and acknowledged to the worker.
        return (
            not worker.runs and worker.acknowledged_end >= worker.applied_end
        )

    def _move_lasting_tasks(self, worker: WorkerState) -> None:
        """Stop lasting tasks that fit on another worker right now."""
        for task, run in list(worker.runs.items()):
            record = self._tracker.jobs.get(run.job)
            if record is None or run.stopping or not run.step.lasting:
                continue
            if not self._tracker.allows_disruption(record, run.key):
                continue
            if self._planner.find_worker(record, run.key) is None:
                continue
            logger.info(
                "moving lasting task to another worker",
                extra={"task": task, "worker": worker.name},
            )
            worker.mark_stopping(task)
            self._leader.wake()
