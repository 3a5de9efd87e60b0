"""Decides which request starts when, and on which target."""

import logging
import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

from prometheus_client import Counter, Gauge
from result import Err, Ok, Result

from chestnutstair.coordination.census import Census, CensusSettings
from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.ejection import EjectionSettings, Ejector
from chestnutstair.coordination.grant import (
    Entry,
    Grant,
    Refusal,
    judge_wait,
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
    Pressure,
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
from chestnutstair.coordination.slots import SlotBackoff, SlotSettings
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
    """The callers' threads, and the settings of the parts.

    One pool may hold `pool_share` of the `threads` that serve callers,
    and as much more as the floors of its classes.
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
    census: CensusSettings = field(default_factory=CensusSettings)


class Admission:
    """Queues requests by pool and class and grants them slots.

    One lock guards the queues and the router; nothing blocks under it.
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
        self._census = Census(clock, membership, settings.census)
        self._router = Router(
            membership.get_self().zone, self._census.divide_connections
        )
        self._queues: dict[str, PoolQueue] = {}
        self._timers = Timers(clock, self._changed, self._pump_all)
        self._pressure = Pressure(
            clock,
            membership,
            messenger,
            self._timers.schedule,
            settings.pressure,
        )
        self._slots = SlotBackoff(
            self._router, settings.slots, self._timers.schedule
        )
        self._ejector = Ejector(
            self._router, settings.ejection, self._timers.schedule
        )
        self._leaving = LeavingTracker(
            clock, messenger, membership, self._mark_leaving, settings.leaving
        )
        messenger.add_handler(LeavingMessage, self._take_leaving)
        messenger.add_handler(PressureMessage, self._take_pressure)

    def enter(self, request: Request) -> Result[Entry, Refusal]:
        """Let a request in, within the threads that its pool may hold."""
        with self._changed:
            self._install_view()
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
                wait = queue.suggest_retry(self._clock.read_monotonic())
                return Err(Refusal(full, wait))
            queue.held[urgency.name] += 1
            queue.budget.earn()
            HELD.labels(pool.name).set(queue.held.total())
            return Ok(Entry(request, urgency, queue))

    def leave(self, entry: Entry) -> None:
        """Count a request out of its pool."""
        with self._changed:
            entry.queue.held[entry.urgency.name] -= 1

    def acquire(
        self, entry: Entry, again: bool = False
    ) -> Result[Grant, Refusal]:
        """Wait for a slot; `again` goes to the head of the queue."""
        queue = entry.queue
        with self._changed:
            self._install_view()
            ahead = queue.count_ahead(entry.urgency)
            if again or ahead == 0:
                load = self._start(queue, entry.urgency)
                if load is not None:
                    return Ok(self._build_grant(queue, load))
            if not again:
                refusal = judge_wait(
                    entry, ahead + 1, self._clock.read_monotonic()
                )
                if refusal is not None:
                    return Err(refusal)
            waiter = Waiter(entry.request, entry.urgency)
            queue.push(waiter, again)
        waiter.decided.wait(entry.request.deadline.measure_left(self._clock))
        with self._changed:
            return self._conclude(queue, waiter)

    def release(self, grant: Grant, entry: Entry) -> None:
        """Give the slot back, and to the next one that waits."""
        with self._changed:
            load = grant.load
            self._router.release(load)
            if grant.home:
                entry.queue.running[entry.urgency.name] -= 1
            else:
                self._find_queue(load.pool).foreign -= 1
            self._install_view()
            self._pump(load.pool)
            if entry.queue.pool.name != load.pool:
                self._pump(entry.queue.pool.name)

    def note_answer(
        self, grant: Grant, entry: Entry, seconds: float, failed: bool
    ) -> None:
        """Note a whole answer after the seconds, before the release."""
        now = self._clock.read_monotonic()
        with self._changed:
            entry.queue.note_end(seconds, now)
            self._slots.note_end(grant.load)
            if failed:
                self._ejector.note_failure(grant.load)
            else:
                self._ejector.note_success(
                    grant.load, seconds, entry.queue.service_seconds
                )

    def note_refusal(self, grant: Grant, entry: Entry) -> None:
        """Note that the target was full, before the release."""
        with self._changed:
            REFUSALS.labels(grant.load.pool).inc()
            self._slots.note_refusal(grant.load)
            self._note_pressure(entry.queue, entry.urgency)

    def note_failure(self, grant: Grant, entry: Entry, seconds: float) -> None:
        """Note a target that could not be reached or lost the answer.

        That a caller would wait for less than the usual is no failure.
        """
        patient = self._settings.ejection.slow_factor
        with self._changed:
            usual = patient * entry.queue.service_seconds
            passed = entry.request.deadline.has_passed(self._clock)
            if passed and seconds < usual:
                return
            self._ejector.note_failure(grant.load)

    def note_leaving(self, grant: Grant) -> None:
        """Note that the target says it is leaving."""
        with self._changed:
            self._leaving.note_target(
                grant.load.vm.name, grant.revision, self._log.view
            )

    def note_directory(self, listed: Sequence[ListedVm]) -> None:
        """Take the platform's list of VMs into account."""
        with self._changed:
            self._leaving.note_directory(listed, self._log.view)

    def measure_loads(self) -> dict[str, float]:
        """Return how much of this daemon's part of each pool is in use."""
        with self._changed:
            return {
                name: min(1.0, queue.count_running() / part)
                for name, queue in self._queues.items()
                if (part := self._measure_share(queue))
            }

    def spend_retry(self, entry: Entry) -> bool:
        """Take one retry from the pool's budget."""
        with self._changed:
            return entry.queue.budget.spend()

    def start(self) -> None:
        """Start the thread that ends pauses and ejections."""
        self._timers.start()

    def stop(self) -> None:
        """End the thread."""
        self._timers.stop()

    def run_due(self) -> None:
        """End the pauses and ejections that are due."""
        self._timers.run_due()

    def _pump_all(self) -> None:
        self._install_view()
        for name in list(self._queues):
            self._pump(name)

    def _install_view(self) -> None:
        view = self._log.view
        if self._census.refresh():
            self._router.forget_view()
        if not self._router.install_view(view):
            return
        self._leaving.note_view(view)
        for name, queue in self._queues.items():
            queue.pool = view.pools.get(name, queue.pool)

    def _find_queue(self, pool: str) -> PoolQueue:
        queue = self._queues.get(pool)
        if queue is None:
            budget = RetryBudget(self._settings.retry)
            queue = PoolQueue(self._log.view.pools[pool], budget)
            self._queues[pool] = queue
        return queue

    def _conclude(
        self, queue: PoolQueue, waiter: Waiter
    ) -> Result[Grant, Refusal]:
        if waiter.load is not None:
            return Ok(self._build_grant(queue, waiter.load))
        queue.remove(waiter)
        late = DeadlineFailure(queue.pool.service)
        failure = waiter.failure or late
        return Err(
            Refusal(failure, queue.suggest_retry(self._clock.read_monotonic()))
        )

    def _build_grant(self, queue: PoolQueue, load: TargetLoad) -> Grant:
        return Grant(
            load,
            load.pool == queue.pool.name,
            self._log.view.revision,
        )

    def _start(
        self, queue: PoolQueue, urgency: UrgencyClass
    ) -> TargetLoad | None:
        load = None
        if self._may_start(queue, urgency):
            load = self._router.take(queue.pool.name)
            if load is not None:
                queue.running[urgency.name] += 1
            else:
                self._note_pressure(queue, urgency)
        if load is None:
            load = self._take_spare(queue)
        if load is not None:
            self._slots.note_send(load)
        return load

    def _may_start(self, queue: PoolQueue, urgency: UrgencyClass) -> bool:
        if queue.clamped_until.has_passed(self._clock):
            return True
        return queue.allows(urgency, self._measure_share(queue))

    def _measure_share(self, queue: PoolQueue) -> float:
        targets = self._router.count_targets(queue.pool.name)
        slots = queue.pool.slots_per_vm * targets
        return max(1.0, slots / self._census.live)

    def _note_pressure(self, queue: PoolQueue, urgency: UrgencyClass) -> None:
        share = self._measure_share(queue)
        if not queue.is_below_floor(urgency, share):
            return
        self._pressure.announce(queue)

    def _take_spare(self, queue: PoolQueue) -> TargetLoad | None:
        spare = self._router.find_spare()
        if spare is None or spare.name == queue.pool.name:
            return None
        owner = self._find_queue(spare.name)
        if not may_overflow(
            queue,
            owner,
            self._measure_share(owner),
            self._clock.read_monotonic(),
            self._settings.overflow,
        ):
            return None
        load = self._router.take(spare.name)
        if load is not None:
            owner.foreign += 1
        return load

    def _pump(self, pool: str) -> None:
        queue = self._queues.get(pool)
        if queue is None:
            return
        while self._grant_one(queue):
            pass

    def _grant_one(self, queue: PoolQueue) -> bool:
        for urgency in queue.list_waiting(self._measure_share(queue)):
            load = self._start(queue, urgency)
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

    def _take_leaving(self, peer: str, message: LeavingMessage) -> None:
        with self._changed:
            self._leaving.note_message(message, self._log.view)

    def _take_pressure(self, peer: str, message: PressureMessage) -> None:
        with self._changed:
            if message.pool in self._queues:
                self._pressure.clamp(self._queues[message.pool])
