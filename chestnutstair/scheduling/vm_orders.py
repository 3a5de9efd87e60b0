"""Orders to VMs: stored, sent and tracked until their outcome is known."""

import logging
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from result import Err, Ok, Result

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.scheduling.fleet_state import (
    IN_MAINTENANCE,
    UP,
    FleetControllerSettings,
    FleetState,
)
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.metrics import VM_ORDERS
from chestnutstair.scheduling.ports import (
    StartRefusedFailure,
    VmControl,
    WorkerCallFailure,
)
from chestnutstair.scheduling.shards.shard import ONLY_SHARD, Shard
from chestnutstair.scheduling.vm_order_history import VmOrder, VmOrderHistory
from chestnutstair.scheduling.wave_progress import WaveProgress
from chestnutstair.state.deadline import Clock
from chestnutstair.state.failure import describe_failure

__all__ = ["VmOrderDispatcher"]

logger = logging.getLogger(__name__)

ORDER_THREADS = 12  # at 0.01 s a call, far above the platform's rate limit


class VmOrderDispatcher:
    """Lists VMs, and sends orders to move or maintain them."""

    def __init__(
        self,
        leader: Leader,
        vms: VmControl,
        history: VmOrderHistory,
        waves: WaveProgress,
        state: FleetState,
        clock: Clock,
        settings: FleetControllerSettings,
        shard: Shard = ONLY_SHARD,
    ) -> None:
        self._shard = shard
        self._leader = leader
        self._vms = vms
        self._order_history = history
        self._waves = waves
        self._state = state
        self._clock = clock
        self._settings = settings
        self._next_list_at = float("-inf")
        # When the latest listing that succeeded was requested; monotonic.
        self._listed_at = float("-inf")
        self._allowance = 0.0
        self._allowed_at = clock.read_monotonic()
        self._threads = ThreadPoolExecutor(
            ORDER_THREADS, thread_name_prefix="vm-order"
        )

    def may_order(self) -> bool:
        """Return whether the term is fresh enough to send orders.

        While it is, no other leader sends orders. A term that has ended may
        have been released, and the next one may begin at once.
        """
        if self._leader.has_ended:
            return False
        term = self._leader.term
        age = self._clock.read_boottime() - term.renewed_at
        return age <= self._settings.term_fresh_seconds

    def refresh_list(self) -> None:
        """List the VMs if due; a slow listing makes the next one due later."""
        now = self._clock.read_monotonic()
        if now < self._next_list_at:
            return
        answer = self._vms.list_vms()
        settings = self._settings
        elapsed = self._clock.read_monotonic() - now
        pause = max(settings.list_seconds, settings.list_factor * elapsed)
        pause = min(pause, settings.list_max_seconds)
        match answer:
            case Ok(vms):
                self._listed_at = now
                pause = max(pause, self._compute_list_interval(len(vms)))
                shards = {
                    vm.name: self._shard.find_shard_of_vm(vm) for vm in vms
                }
                self._state.replace_list(
                    {
                        vm.name: vm
                        for vm in vms
                        if shards[vm.name] == self._shard.number
                    },
                    shards,
                )
                self._check_workers()
                for order in self._state.orders.values():
                    if order.answered and not order.wave:
                        self._state.set_service(order.vm, order.service)
            case Err(failure):
                logger.info(
                    "listing VMs failed",
                    extra={"reason": describe_failure(failure)},
                )
        self._next_list_at = now + pause

    def _check_workers(self) -> None:
        """Log workers whose VM is listed as one of another shard.

        This leader would give them tasks and never move their VM. It happens
        if the list and the registry name different racks.
        """
        wrong = sorted(
            vm
            for vm in self._state.index_workers()
            if self._state.shards.get(vm, self._shard.number)
            != self._shard.number
        )
        if wrong:
            logger.error(
                "VMs are listed in another shard than their workers",
                extra={
                    "shard": self._shard.number,
                    "count": len(wrong),
                    "first": wrong[0],
                },
            )

    def _compute_list_interval(self, vms: int) -> float:
        """Return how often this leader may list the VMs, 0 if it is alone."""
        if self._shard.is_only:
            return 0.0
        settings = self._settings
        pages = -(-vms // settings.list_page_vms)
        shards = self._shard.layout.shards
        return pages * shards / settings.list_pages_per_second

    def order_all(self, orders: list[VmOrder]) -> set[str]:
        """Store and send orders; return the names of the VMs ordered.

        No order is sent if they cannot be stored. Orders beyond the
        platform's rate limit are not sent either, nor are orders for VMs that
        an earlier leader ordered recently; the caller passes them again in a
        later round.
        """
        now = self._clock.read_monotonic()
        allowed = [
            order
            for order in orders
            if self._order_history.is_interval_over(order.vm, now)
        ]
        sent = allowed[: self._consume_allowance(len(allowed), now)]
        return self._store_and_send(self._add_incarnations(sent))

    def _store_and_send(self, orders: list[VmOrder]) -> set[str]:
        """Store and send orders; return the names of the VMs ordered."""
        if not orders:
            return set()
        send_by = self._clock.read_boottime() + self._settings.send_seconds
        # Workers that register while the orders are stored get no tasks.
        self._cordon(orders)
        if not self._order_history.store(orders):
            return set()
        return self._send_all(
            [replace(order, send_by=send_by) for order in orders]
        )

    def _add_incarnations(self, orders: list[VmOrder]) -> list[VmOrder]:
        """Add the present incarnation of each VM, which its order will end.

        A repeat keeps it: by then the VM may have its next worker.
        """
        now = self._clock.read_monotonic()
        workers = self._state.index_workers()
        added = []
        for order in orders:
            worker = workers.get(order.vm)
            name, born_ms = worker.incarnation if worker else ("", 0)
            added.append(
                replace(order, worker=name, born_ms=born_ms, sent_at=now)
            )
        return added

    def _consume_allowance(self, count: int, now: float) -> int:
        """Consume up to `count` orders of the rate limit; return how many."""
        rate = self._settings.orders_per_second
        burst = max(1.0, rate * self._settings.order_burst_seconds)
        gained = rate * (now - self._allowed_at)
        self._allowance = min(burst, self._allowance + gained)
        self._allowed_at = now
        granted = min(count, int(self._allowance))
        self._allowance -= granted
        return granted

    def _send_all(self, orders: list[VmOrder]) -> set[str]:
        """Send orders that are stored; return the names of the VMs ordered.

        Orders are left out once the term has ended, or if they have waited
        for a thread for too long.
        """
        self._cordon(orders)
        answers = self._threads.map(self._send, orders)
        sent = set()
        for order, answer in zip(orders, answers, strict=True):
            if answer is not None:
                self._record_answer(order, answer)
                sent.add(order.vm)
        return sent

    def _cordon(self, orders: list[VmOrder]) -> None:
        """Cordon the VMs of orders until the end of the control round."""
        with self._leader.tracker.lock:
            for order in orders:
                pool = "" if order.wave else order.service
                self._leader.tracker.cordons[order.vm] = pool

    def _send(self, order: VmOrder) -> Result[None, WorkerCallFailure] | None:
        # The next leader leaves the VM alone for an interval that counts from
        # `send_by`, so that the term may end while the order is on its way.
        if not self.may_order() or self._clock.read_boottime() > order.send_by:
            return None
        term = self._leader.term
        if order.wave:
            return self._vms.maintain(
                order.vm, order.wave, term.holder, term.epoch
            )
        return self._vms.move(order.vm, order.service, term.holder, term.epoch)

    def _record_answer(
        self, order: VmOrder, answer: Result[None, WorkerCallFailure]
    ) -> None:
        """Track an order until its outcome is known and the VM is back."""
        settings = self._settings
        vm = order.vm
        logger.info(
            "VM ordered",
            extra={
                "vm": vm,
                "service": order.service,
                "wave": order.wave,
                "epoch": self._leader.term.epoch,
                "worker": order.worker,
                "born_ms": order.born_ms,
                "outcome": "ok"
                if answer.is_ok()
                else describe_failure(answer.unwrap_err()),
            },
        )
        now = self._clock.read_monotonic()
        retry_at = now + settings.retry_seconds
        match answer:
            case Ok(_):
                self._apply_outcome(order, now)
                if order.wave:
                    self._waves.mark_begun(order.wave, vm)
            case Err(StartRefusedFailure() | UnavailableFailure()):
                if now < order.in_doubt_until:
                    # Says nothing about earlier attempts, which may have
                    # taken the VM down or may still do so.
                    self._state.orders[vm] = replace(order, back_at=retry_at)
                    return
                self._state.orders.pop(vm, None)
                if order.wave:
                    self._order_history.mark_refused(order)
                self._next_list_at = float("-inf")
            case Err(_):
                self._state.orders[vm] = replace(
                    order,
                    back_at=retry_at,
                    in_doubt_until=self._compute_back_at(
                        order, now + settings.late_order_seconds
                    ),
                )

    def _compute_back_at(self, order: VmOrder, now: float) -> float:
        """Return when a VM is back whose order was carried out by `now`."""
        settings = self._settings
        seconds = settings.move_seconds
        if order.wave:
            seconds = settings.maintenance_seconds
        return now + seconds + settings.settle_seconds

    def _apply_outcome(self, order: VmOrder, now: float) -> None:
        """Retire the worker that a carried out order has ended."""
        VM_ORDERS.labels("maintain" if order.wave else "move").inc()
        self._state.orders[order.vm] = replace(
            order, back_at=self._compute_back_at(order, now), answered=True
        )
        if not order.wave:
            self._state.set_service(order.vm, order.service)
        tracker = self._leader.tracker
        with tracker.lock:
            worker = tracker.workers.get(order.worker)
            if worker is not None and worker.incarnation == order.incarnation:
                tracker.retire_worker(worker)

    def _settle_orders(self, now: float) -> None:
        """Detect which orders without an answer have been carried out.

        Only while the worker that they end does not answer.
        """
        unsettled = [
            order
            for order in self._state.orders.values()
            if not (order.answered or order.carried_out)
        ]
        workers = self._state.index_workers() if unsettled else {}
        for order in unsettled:
            if self._is_ended_worker_answering(order):
                continue
            worker = workers.get(order.vm)
            listed = self._state.listed.get(order.vm)
            if listed is None or self._listed_at < order.sent_at:
                listed = None
            if order.wave:
                # The list does not say which wave the maintenance is of, and
                # an earlier attempt for another one may have been late.
                if (
                    listed is not None
                    and listed.state == IN_MAINTENANCE
                    and self._waves.is_only_due_in(order.wave, order.vm)
                ):
                    self._log_settled(order, "listed")
                    self._state.orders[order.vm] = replace(
                        order, carried_out=True
                    )
            elif (
                worker is not None
                and worker.is_answering
                and self._state.is_successor(order, worker)
            ):
                self._log_settled(order, worker.name)
                self._apply_outcome(order, now)
                self._end_order(order)
            elif listed is not None and listed.service == order.service:
                self._log_settled(order, "listed")
                self._apply_outcome(order, now)
                if listed.state == UP:
                    self._end_order(order)

    def _is_ended_worker_answering(self, order: VmOrder) -> bool:
        with self._leader.tracker.lock:
            worker = self._leader.tracker.workers.get(order.worker)
            return (
                worker is not None
                and worker.incarnation == order.incarnation
                and worker.is_answering
            )

    def _log_settled(self, order: VmOrder, sign: str) -> None:
        logger.info(
            "VM order without an answer was carried out",
            extra={
                "vm": order.vm,
                "service": order.service,
                "wave": order.wave,
                "worker": order.worker,
                "shown_by": sign,
            },
        )

    def _end_order(self, order: VmOrder) -> None:
        self._state.orders.pop(order.vm, None)
        self._state.mark_up(order.vm)
        listed = self._state.listed.get(order.vm)
        if (
            order.worker
            and listed is not None
            and listed.service != self._state.find_spare_pool()
            and order.vm not in self._state.index_workers()
        ):
            with self._leader.tracker.lock:
                self._leader.tracker.readmit_worker(order.incarnation)

    def update_orders(self, now: float) -> None:
        """Drop orders whose VM is back; repeat those without an answer."""
        self._settle_orders(now)
        ended = [
            order
            for order in self._state.orders.values()
            if now >= order.back_at
        ]
        for order in ended:
            if order.answered:
                self._end_order(order)
        # The answer to the repeated order shows whether the first was applied.
        repeated = sorted(
            (order for order in ended if not order.answered),
            key=lambda order: order.back_at,
        )
        # More would wait for a thread while the VM service is slow.
        self._store_and_send(repeated[:ORDER_THREADS])

    def close(self) -> None:
        """Stop sending orders, without waiting for those in progress."""
        self._threads.shutdown(wait=False)
