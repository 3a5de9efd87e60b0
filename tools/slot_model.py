"""Discrete-event simulation of daemons that share the slots of a pool."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

__all__ = [
    "SlotModel",
    "SlotReport",
    "SlotScenario",
]

SLOTS_PER_TARGET = 8
DELAY_SECONDS = 0.0005  # one way, between daemons and to targets
WARM_UP_SECONDS = 2.0  # excluded from utilisation and queue times


@dataclass(frozen=True)
class SlotScenario:
    """Sizes, load and faults of one run.

    With a fault, utilisation and queue times are those of the second half.
    """

    daemons: int
    targets: int
    zones: int
    load: float  # offered work as a share of all slots
    # Share of arrivals that always go to the first live daemon; the others
    # are spread evenly over all live daemons.
    skew: float = 0.0
    service: float = 0.1  # mean service time in seconds
    seconds: float = 12.0  # length of the run
    death: bool = False  # daemon 0 dies halfway through the run
    cut: bool = False  # zone 0 is cut off halfway through the run
    seed: int = 1


@dataclass
class SlotReport:
    """Results of one run."""

    utilisation: float = 0.0  # share of slot time in use
    mean_queue_seconds: float = 0.0
    p99_queue_seconds: float = 0.0
    refusals: float = 0.0  # by targets, per request started
    peak_running: int = 0  # most requests at once on one target
    messages: float = 0.0  # between daemons, per request started


@dataclass
class Target:
    """State of a target, which the daemons do not see."""

    zone: int
    running: int = 0
    pending: int = 0


@dataclass
class Daemon:
    """State of a daemon."""

    zone: int
    queue: deque[float] = field(default_factory=deque)  # arrival times
    in_flight: list[int] = field(default_factory=list)  # by target
    alive: bool = True


class SlotPolicy(Protocol):
    """Chooses the target for the request at the head of a queue."""

    limit_enforced: bool  # whether targets refuse requests beyond their slots

    def attach(self, model: "SlotModel") -> None:
        """Initialise the policy for the model."""

    def choose(self, daemon: int) -> int | None:
        """Return the target to send to, or None to wait."""

    def on_refusal(self, daemon: int, target: int) -> None:
        """Handle the refusal of a request of the daemon by a full target."""

    def on_completion(self, daemon: int, target: int) -> None:
        """Handle the completion of a request of the daemon on the target."""

    def on_daemon_death(self, daemon: int) -> None:
        """Handle the death of a daemon."""


class SlotModel:
    """Simulates one scenario under one policy."""

    def __init__(self, scenario: SlotScenario, policy: SlotPolicy) -> None:
        self.scenario = scenario
        self.policy = policy
        self.random = random.Random(scenario.seed)
        self.now = 0.0
        self.cut = False
        self.messages = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._queue_times: list[float] = []
        self._starts = 0
        self._refusals = 0
        self._busy_slot_seconds = 0.0
        self._report = SlotReport()
        zones = scenario.zones
        self.targets = [Target(i % zones) for i in range(scenario.targets)]
        self.daemons = [
            Daemon(i % zones, in_flight=[0] * scenario.targets)
            for i in range(scenario.daemons)
        ]
        policy.attach(self)

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Schedule the action for a simulated time."""
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def can_reach(self, zone: int, other_zone: int) -> bool:
        """Return whether two zones can reach each other."""
        return not self.cut or (zone == 0) == (other_zone == 0)

    def run(self) -> SlotReport:
        """Run the scenario to its end and return the report."""
        self.schedule(0.0, self._arrive)
        if self.scenario.death or self.scenario.cut:
            self.schedule(self._get_window_start(), self._inject_fault)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > self.scenario.seconds:
                break
            self._advance_clock(at)
            action()
        return self._build_report()

    def _get_window_start(self) -> float:
        faulty = self.scenario.death or self.scenario.cut
        return self.scenario.seconds / 2 if faulty else WARM_UP_SECONDS

    def _advance_clock(self, at: float) -> None:
        begin = max(self.now, self._get_window_start())
        if at > begin:
            running = sum(target.running for target in self.targets)
            self._busy_slot_seconds += running * (at - begin)
        self.now = at

    def _build_report(self) -> SlotReport:
        span = self.scenario.seconds - self._get_window_start()
        report = self._report
        report.utilisation = self._busy_slot_seconds / (
            span * SLOTS_PER_TARGET * self.scenario.targets
        )
        waits = sorted(self._queue_times) or [0.0]
        report.mean_queue_seconds = sum(waits) / len(waits)
        report.p99_queue_seconds = waits[int(len(waits) * 0.99)]
        report.refusals = self._refusals / max(1, self._starts)
        report.messages = self.messages / max(1, self._starts)
        return report

    def _inject_fault(self) -> None:
        if self.scenario.cut:
            self.cut = True
        if self.scenario.death:
            self.daemons[0].alive = False
            self.policy.on_daemon_death(0)

    def _arrive(self) -> None:
        scenario = self.scenario
        rate = (
            scenario.load
            * SLOTS_PER_TARGET
            * scenario.targets
            / scenario.service
        )
        self.schedule(self.now + self.random.expovariate(rate), self._arrive)
        alive = [i for i, d in enumerate(self.daemons) if d.alive]
        skewed = self.random.random() < scenario.skew
        daemon = alive[0] if skewed else self.random.choice(alive)
        self.daemons[daemon].queue.append(self.now)
        self.dispatch(daemon)

    def dispatch(self, daemon: int) -> None:
        """Send requests from the daemon's queue while the policy allows."""
        own = self.daemons[daemon]
        while own.alive and own.queue:
            target = self.policy.choose(daemon)
            if target is None:
                return
            arrived = own.queue.popleft()
            own.in_flight[target] += 1
            self._send(daemon, target, arrived)

    def _send(self, daemon: int, target: int, arrived: float) -> None:
        arrives_at = self.now + DELAY_SECONDS
        self.schedule(
            arrives_at, lambda: self._start_or_refuse(daemon, target, arrived)
        )

    def _start_or_refuse(
        self, daemon: int, target: int, arrived: float
    ) -> None:
        state = self.targets[target]
        if self.policy.limit_enforced and state.running >= SLOTS_PER_TARGET:
            self._refusals += 1
            returns_at = self.now + DELAY_SECONDS
            self.schedule(
                returns_at,
                lambda: self._handle_refusal(daemon, target, arrived),
            )
            return
        state.running += 1
        peak = max(self._report.peak_running, state.running)
        self._report.peak_running = peak
        self._starts += 1
        if self.now > self._get_window_start():
            self._queue_times.append(self.now - arrived)
        service = self.random.expovariate(1 / self.scenario.service)
        self.schedule(
            self.now + service, lambda: self._complete(daemon, target)
        )

    def _handle_refusal(
        self, daemon: int, target: int, arrived: float
    ) -> None:
        own = self.daemons[daemon]
        own.in_flight[target] -= 1
        own.queue.appendleft(arrived)
        self.policy.on_refusal(daemon, target)
        self.dispatch(daemon)

    def _complete(self, daemon: int, target: int) -> None:
        self.targets[target].running -= 1
        self.schedule(
            self.now + DELAY_SECONDS,
            lambda: self._handle_completion(daemon, target),
        )

    def _handle_completion(self, daemon: int, target: int) -> None:
        self.daemons[daemon].in_flight[target] -= 1
        self.policy.on_completion(daemon, target)
        self.dispatch(daemon)
