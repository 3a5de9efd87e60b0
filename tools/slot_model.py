"""A deterministic model of daemons that share the slots of a pool."""

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
    "SlotScene",
]

SLOTS = 8
DELAY = 0.0005  # seconds one way, between daemons and to targets
WARM_UP = 2.0  # seconds left out of the figures


@dataclass(frozen=True)
class SlotScene:
    """Sizes, load and fault of one run; times in seconds.

    `load` is the offered work as a share of all slots. `skew` is the
    share of arrivals that reach the first daemon beyond its fair part.
    Zone 0 is cut off, or daemon 0 dies, at half time if so asked.
    """

    daemons: int
    targets: int
    zones: int
    load: float
    skew: float = 0.0
    service: float = 0.1
    seconds: float = 12.0
    death: bool = False
    cut: bool = False
    seed: int = 1


@dataclass
class SlotReport:
    """What a run showed; the queue time is in seconds."""

    used: float = 0.0
    queue_mean: float = 0.0
    queue_p99: float = 0.0
    refusals: float = 0.0  # of targets, for each request started
    peak_running: int = 0
    messages: float = 0.0  # between daemons, for each request started


@dataclass
class Target:
    """A runner as it truly is."""

    zone: int
    running: int = 0
    pending: int = 0


@dataclass
class Daemon:
    """A daemon with its queue of arrival times."""

    zone: int
    queue: deque[float] = field(default_factory=deque)
    in_flight: list[int] = field(default_factory=list)
    alive: bool = True


class SlotPolicy(Protocol):
    """Chooses where a daemon sends the head of its queue."""

    enforced: bool

    def attach(self, model: "SlotModel") -> None:
        """Set up the state of the policy for the model."""

    def choose(self, daemon: int) -> int | None:
        """Return the target to send to, or None to wait."""

    def note_refusal(self, daemon: int, target: int) -> None:
        """Learn that the target was full."""

    def note_end(self, daemon: int, target: int) -> None:
        """Learn that a request of the daemon ended on the target."""

    def note_death(self, daemon: int) -> None:
        """Learn that a daemon died."""


class SlotModel:
    """Runs one scene under one policy."""

    def __init__(self, scene: SlotScene, policy: SlotPolicy) -> None:
        self.scene = scene
        self.policy = policy
        self.random = random.Random(scene.seed)
        self.now = 0.0
        self.cut = False
        self.messages = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._waits: list[float] = []
        self._starts = 0
        self._refusals = 0
        self._busy = 0.0
        self._report = SlotReport()
        zones = scene.zones
        self.targets = [Target(i % zones) for i in range(scene.targets)]
        self.daemons = [
            Daemon(i % zones, in_flight=[0] * scene.targets)
            for i in range(scene.daemons)
        ]
        policy.attach(self)

    def add(self, at: float, action: Callable[[], None]) -> None:
        """Have the action happen at the time."""
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def reaches(self, one: int, other: int) -> bool:
        """Tell whether two zones can reach each other."""
        return not self.cut or (one == 0) == (other == 0)

    def run(self) -> SlotReport:
        """Run to the end and return the figures."""
        self.add(0.0, self._arrive)
        if self.scene.death or self.scene.cut:
            self.add(self._get_start(), self._break)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > self.scene.seconds:
                break
            self._advance(at)
            action()
        return self._build_report()

    def _get_start(self) -> float:
        faulty = self.scene.death or self.scene.cut
        return self.scene.seconds / 2 if faulty else WARM_UP

    def _advance(self, at: float) -> None:
        begin = max(self.now, self._get_start())
        if at > begin:
            running = sum(target.running for target in self.targets)
            self._busy += running * (at - begin)
        self.now = at

    def _build_report(self) -> SlotReport:
        span = self.scene.seconds - self._get_start()
        report = self._report
        report.used = self._busy / (span * SLOTS * self.scene.targets)
        waits = sorted(self._waits) or [0.0]
        report.queue_mean = sum(waits) / len(waits)
        report.queue_p99 = waits[int(len(waits) * 0.99)]
        report.refusals = self._refusals / max(1, self._starts)
        report.messages = self.messages / max(1, self._starts)
        return report

    def _break(self) -> None:
        if self.scene.cut:
            self.cut = True
        if self.scene.death:
            self.daemons[0].alive = False
            self.policy.note_death(0)

    def _arrive(self) -> None:
        scene = self.scene
        rate = scene.load * SLOTS * scene.targets / scene.service
        self.add(self.now + self.random.expovariate(rate), self._arrive)
        alive = [i for i, d in enumerate(self.daemons) if d.alive]
        skewed = self.random.random() < scene.skew
        daemon = alive[0] if skewed else self.random.choice(alive)
        self.daemons[daemon].queue.append(self.now)
        self.pump(daemon)

    def pump(self, daemon: int) -> None:
        """Send what the policy allows from the daemon's queue."""
        own = self.daemons[daemon]
        while own.alive and own.queue:
            target = self.policy.choose(daemon)
            if target is None:
                return
            arrived = own.queue.popleft()
            own.in_flight[target] += 1
            self._send(daemon, target, arrived)

    def _send(self, daemon: int, target: int, arrived: float) -> None:
        reach = self.now + DELAY
        self.add(reach, lambda: self._reach(daemon, target, arrived))

    def _reach(self, daemon: int, target: int, arrived: float) -> None:
        found = self.targets[target]
        if self.policy.enforced and found.running >= SLOTS:
            self._refusals += 1
            back = self.now + DELAY
            self.add(back, lambda: self._refuse(daemon, target, arrived))
            return
        found.running += 1
        peak = max(self._report.peak_running, found.running)
        self._report.peak_running = peak
        self._starts += 1
        if self.now > self._get_start():
            self._waits.append(self.now - arrived)
        service = self.random.expovariate(1 / self.scene.service)
        self.add(self.now + service, lambda: self._end(daemon, target))

    def _refuse(self, daemon: int, target: int, arrived: float) -> None:
        own = self.daemons[daemon]
        own.in_flight[target] -= 1
        own.queue.appendleft(arrived)
        self.policy.note_refusal(daemon, target)
        self.pump(daemon)

    def _end(self, daemon: int, target: int) -> None:
        self.targets[target].running -= 1
        self.add(self.now + DELAY, lambda: self._release(daemon, target))

    def _release(self, daemon: int, target: int) -> None:
        self.daemons[daemon].in_flight[target] -= 1
        self.policy.note_end(daemon, target)
        self.pump(daemon)
