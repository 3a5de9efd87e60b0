"""Admission control: which request starts when, and on which target."""

import logging
import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

from prometheus_client import Counter, Gauge
from result import Err, Ok, Result

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.daemon_counter import (
    DaemonCounter,
    DaemonCounterSettings,
)
from chestnutstair.coordination.ejection import EjectionSettings, Ejector
from chestnutstair.coordination.grant import (
    AdmittedRequest,
    Grant,
    Refusal,
    check_deadline,
)
from chestnutstair.coordination.leaving import (
    LeavingMessage,
    LeavingSettings,
    LeavingTracker,
)
from chestnutstair.coordination.messenger import Membership, Messenger
from chestnutstair.coordination.overflow import OverflowSettings, may_overflow
from chestnutstair.coordination.platform import ListedVm
from chestnutstair.coordination.pressure import (
    PressureController,
    PressureMessage,
    PressureSettings,
)
from chestnutstair.coordination.queueing import PoolQueue, Waiter
from chestnutstair.coordination.request import (
    DeadlineFailure,
    QueueFullFailure,
    Request,
    UnknownClassFailure,
    UnknownServiceFailure,
)
from chestnutstair.coordination.retry import RetryBudget, RetrySettings
from chestnutstair.coordination.router import (
    ClosedReason,
    Router,
    TargetLoad,
)
from chestnutstair.coordination.slot_backoff import SlotBackoff, SlotSettings
from chestnutstair.coordination.timers import Timers
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock
from chestnutstair.state.fleet import UrgencyClass

__all__ = [
    "Admission",
    "AdmissionSettings",
]

logger = logging.getLogger(__name__)

REFUSALS = Counter(
    "chestnutstair_target_refusals", "Refusals by full targets.", ["pool"]
)
HELD = Gauge(
    "chestnutstair_requests_held", "Requests that wait or run.", ["pool"]
)


@dataclass(frozen=True)
class AdmissionSettings:
    """Limits on the threads that serve callers, and settings of the parts.

    - `threads`: number of threads that serve callers. A request occupies
      one while it waits or runs.
    - `pool_share`: the share of these threads that the requests of one
      pool may occupy. Beyond this limit a request is still admitted while
      its urgency class is below its floor, a share of the limit.
    """

    __pydantic_config__ = STRICT

    threads: int = 64
    pool_share: float = 0.4
    overflow: OverflowSettings = field(default_factory=OverflowSettings)
    pressure: PressureSettings = field(default_factory=PressureSettings)
    slots: SlotSettings = field(default_factory=SlotSettings)
    ejection: EjectionSettings = field(default_factory=EjectionSettings)
    retry: RetrySettings = field(default_factory=RetrySettings)
    leaving: LeavingSettings = field(default_factory=LeavingSettings)
    census: DaemonCounterSettings = field(
        default_factory=DaemonCounterSettings
    )


class Admission:
    """Queues requests by pool and urgency class and grants them slots.

    One lock guards the queues and the router. Nothing blocks while it is
    held.
    """

    def __init__(
        self,
        log: ChangeLog,
        clock: Clock,
        membership: Membership,
        messenger: Messenger,
        settings: AdmissionSettings,
    ) -> None:
        self._log = log
        self._clock = clock
        self._settings = settings
        self._changed = threading.Condition()
        self._daemons = DaemonCounter(clock, membership, settings.census)
        self._router = Router(
            membership.get_self().zone, self._daemons.compute_connection_share
        )
        self._queues: dict[str, PoolQueue] = {}
        self._timers = Timers(clock, self._changed, self._grant_all_waiting)
        self._pressure = PressureController(
            clock,
            membership,
            messenger,
            self._timers.schedule,
            settings.pressure,
        )
        self._slot_backoff = SlotBackoff(
            self._router, settings.slots, self._timers.schedule
        )
        self._ejector = Ejector(
            self._router, settings.ejection, self._timers.schedule
        )
        self._leaving = LeavingTracker(
            clock, messenger, membership, self._mark_leaving, settings.leaving
        )
        messenger.add_handler(LeavingMessage, self._handle_leaving_message)
        messenger.add_handler(PressureMessage, self._handle_pressure_message)

    def admit(self, request: Request) -> Result[AdmittedRequest, Refusal]:
        """Admit a request if its pool may occupy one more thread.

        If the pool has no thread left, the newest waiting request of a
        less urgent class is evicted to make room. A request is refused if
        nothing can be evicted, or if its service or class is unknown.
        """
        with self._changed:
            self._refresh_view()
            pool = self._router.find_pool(request.service)
            if pool is None:
                failure = UnknownServiceFailure(request.service)
                return Err(Refusal(failure))
            queue = self._find_queue(pool.name)
            urgency = queue.find_class(request.urgency)
            if urgency is None:
                known = tuple(item.name for item in pool.classes)
                unknown = UnknownClassFailure(request.urgency, known)
                return Err(Refusal(unknown))
            limit = int(self._settings.threads * self._settings.pool_share)
            has_room = queue.has_room(urgency, max(1, limit))
            if not has_room and not queue.evict_less_urgent(urgency):
                full = QueueFullFailure(pool.service)
                wait = queue.estimate_retry_after(self._clock.read_monotonic())
                return Err(Refusal(full, wait))
            queue.held[urgency.name] += 1
            queue.budget.earn()
            HELD.labels(pool.name).set(queue.held.total())
            return Ok(AdmittedRequest(request, urgency, queue))

    def finish(self, admitted: AdmittedRequest) -> None:
        """Stop counting an admitted request as held by its pool."""
        with self._changed:
            admitted.queue.held[admitted.urgency.name] -= 1

    def acquire(
        self, admitted: AdmittedRequest, is_retry: bool = False
    ) -> Result[Grant, Refusal]:
        """Wait for a slot until the deadline.

        A retry goes to the head of its class's queue. Any other request
        is refused at once if its deadline is too near for the queue.
        """
        queue = admitted.queue
        with self._changed:
            self._refresh_view()
            ahead = queue.count_ahead(admitted.urgency)
            if is_retry or ahead == 0:
                load = self._try_start(queue, admitted.urgency)
                if load is not None:
                    return Ok(self._build_grant(queue, load))
            if not is_retry:
                refusal = check_deadline(
                    admitted, ahead + 1, self._clock.read_monotonic()
                )
                if refusal is not None:
                    return Err(refusal)
            waiter = Waiter(admitted.request, admitted.urgency)
            queue.push(waiter, is_retry)
        waiter.decided.wait(
            admitted.request.deadline.get_remaining_seconds(self._clock)
        )
        with self._changed:
            return self._conclude_wait(queue, waiter)

    def release(self, grant: Grant, admitted: AdmittedRequest) -> None:
        """Release the slot and grant it to the next waiting request."""
        with self._changed:
            load = grant.load
            self._router.release(load)
            if grant.in_own_pool:
                admitted.queue.running[admitted.urgency.name] -= 1
            else:
                self._find_queue(load.pool).overflow_running -= 1
            self._refresh_view()
            self._grant_waiting(load.pool)
            if admitted.queue.pool.name != load.pool:
                self._grant_waiting(admitted.queue.pool.name)

    def record_answer(
        self,
        grant: Grant,
        admitted: AdmittedRequest,
        seconds: float,
        failed: bool,
    ) -> None:
        """Record a complete answer; call it before the release.

        `seconds` is how long the attempt took. `failed` is set for an
        answer that counts as a failure of the target.
        """
        now = self._clock.read_monotonic()
        with self._changed:
            admitted.queue.record_completion(seconds, now)
            self._slot_backoff.record_completion(grant.load)
            if failed:
                self._ejector.record_failure(grant.load)
            else:
                self._ejector.record_success(
                    grant.load, seconds, admitted.queue.service_seconds
                )

    def record_refusal(self, grant: Grant, admitted: AdmittedRequest) -> None:
        """Record that the target was full; call it before the release."""
        with self._changed:
            REFUSALS.labels(grant.load.pool).inc()
            self._slot_backoff.record_refusal(grant.load)
            self._announce_pressure(admitted.queue, admitted.urgency)

    def record_failure(
        self, grant: Grant, admitted: AdmittedRequest, seconds: float
    ) -> None:
        """Record a target that could not be reached or lost the answer.

        An attempt cut short by the caller's deadline is no failure of the
        target if it took less than `slow_factor` times the average.
        """
        slow_factor = self._settings.ejection.slow_factor
        with self._changed:
            slow_seconds = slow_factor * admitted.queue.service_seconds
            deadline_passed = admitted.request.deadline.has_passed(self._clock)
            if deadline_passed and seconds < slow_seconds:
                return
            self._ejector.record_failure(grant.load)

    def record_leaving(self, grant: Grant) -> None:
        """Record that the target reported itself as leaving."""
        with self._changed:
            self._leaving.record_target_answer(
                grant.load.vm.name, grant.revision, self._log.view
            )

    def apply_vm_list(self, listed: Sequence[ListedVm]) -> None:
        """Update which targets are leaving from the platform's VM list."""
        with self._changed:
            self._leaving.apply_vm_list(listed, self._log.view)

    def measure_utilization(self) -> dict[str, float]:
        """Return the used share (0 to 1) of this daemon's slots by pool."""
        with self._changed:
            return {
                name: min(1.0, queue.count_running() / share)
                for name, queue in self._queues.items()
                if (share := self._compute_slot_share(queue))
            }

    def spend_retry(self, admitted: AdmittedRequest) -> bool:
        """Spend a retry of the pool's budget; return False if none is left."""
        with self._changed:
            return admitted.queue.budget.spend()

    def start(self) -> None:
        """Start the thread that ends backoffs and ejections of targets."""
        self._timers.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._timers.stop()

    def run_due(self) -> None:
        """End the backoffs and ejections that are due."""
        self._timers.run_due()

    def _grant_all_waiting(self) -> None:
        self._refresh_view()
        for name in list(self._queues):
            self._grant_waiting(name)

    def _refresh_view(self) -> None:
        view = self._log.view
        if self._daemons.refresh():
            self._router.invalidate_view()
        if not self._router.install_view(view):
            return
        self._leaving.apply_view(view)
        for name, queue in self._queues.items():
            queue.pool = view.pools.get(name, queue.pool)

    def _find_queue(self, pool: str) -> PoolQueue:
        queue = self._queues.get(pool)
        if queue is None:
            budget = RetryBudget(self._settings.retry)
            queue = PoolQueue(self._log.view.pools[pool], budget)
            self._queues[pool] = queue
        return queue

    def _conclude_wait(
        self, queue: PoolQueue, waiter: Waiter
    ) -> Result[Grant, Refusal]:
        if waiter.load is not None:
            return Ok(self._build_grant(queue, waiter.load))
        queue.remove(waiter)
        deadline_failure = DeadlineFailure(queue.pool.service)
        failure = waiter.failure or deadline_failure
        return Err(
            Refusal(
                failure,
                queue.estimate_retry_after(self._clock.read_monotonic()),
            )
        )

    def _build_grant(self, queue: PoolQueue, load: TargetLoad) -> Grant:
        return Grant(
            load,
            load.pool == queue.pool.name,
            self._log.view.revision,
        )

    def _try_start(
        self, queue: PoolQueue, urgency: UrgencyClass
    ) -> TargetLoad | None:
        load = None
        if self._may_start(queue, urgency):
            load = self._router.acquire(queue.pool.name)
            if load is not None:
                queue.running[urgency.name] += 1
            else:
                self._announce_pressure(queue, urgency)
        if load is None:
            load = self._try_spare_pool(queue)
        if load is not None:
            self._slot_backoff.record_send(load)
        return load

    def _may_start(self, queue: PoolQueue, urgency: UrgencyClass) -> bool:
        if queue.clamped_until.has_passed(self._clock):
            return True
        return queue.may_start(urgency, self._compute_slot_share(queue))

    def _compute_slot_share(self, queue: PoolQueue) -> float:
        targets = self._router.count_targets(queue.pool.name)
        slots = queue.pool.slots_per_vm * targets
        return max(1.0, slots / self._daemons.live_count)

    def _announce_pressure(
        self, queue: PoolQueue, urgency: UrgencyClass
    ) -> None:
        share = self._compute_slot_share(queue)
        if not queue.is_below_floor(urgency, share):
            return
        self._pressure.announce(queue)

    def _try_spare_pool(self, queue: PoolQueue) -> TargetLoad | None:
        spare = self._router.find_spare_pool()
        if spare is None or spare.name == queue.pool.name:
            return None
        owner = self._find_queue(spare.name)
        if not may_overflow(
            queue,
            owner,
            self._compute_slot_share(owner),
            self._clock.read_monotonic(),
            self._settings.overflow,
        ):
            return None
        load = self._router.acquire(spare.name)
        if load is not None:
            owner.overflow_running += 1
        return load

    def _grant_waiting(self, pool: str) -> None:
        queue = self._queues.get(pool)
        if queue is None:
            return
        while self._grant_next(queue):
            pass

    def _grant_next(self, queue: PoolQueue) -> bool:
        for urgency in queue.list_waiting_classes(
            self._compute_slot_share(queue)
        ):
            load = self._try_start(queue, urgency)
            if load is not None:
                waiter = queue.get_queue(urgency).popleft()
                waiter.load = load
                waiter.decided.set()
                return True
        return False

    def _mark_leaving(self, vm: str, leaving: bool) -> None:
        if leaving:
            self._router.close(vm, ClosedReason.LEAVING)
        else:
            self._router.reopen(vm, ClosedReason.LEAVING)

    def _handle_leaving_message(
        self, peer: str, message: LeavingMessage
    ) -> None:
        with self._changed:
            self._leaving.handle_message(message, self._log.view)

    def _handle_pressure_message(
        self, peer: str, message: PressureMessage
    ) -> None:
        with self._changed:
            if message.pool in self._queues:
                self._pressure.clamp(self._queues[message.pool])
