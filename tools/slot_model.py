"""A deterministic model of daemons that share the slots of a pool."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = [
    "BackoffSlotPolicy",
    "HybridSlotPolicy",
    "LeastLoadedSlotPolicy",
    "RandomPairSlotPolicy",
    "ShareSlotPolicy",
    "SlotModel",
    "SlotPolicy",
    "SlotReport",
    "SlotScene",
]

SLOTS = 8
DELAY = 0.0005  # seconds one way, between daemons and to targets
FIRST_BACKOFF = 0.01  # seconds
LAST_BACKOFF = 0.08  # seconds
LONG_BACKOFF = 0.32  # seconds
LOAN_RETRY = 0.01  # seconds
LEASE = 3.0  # seconds after which a dead holder's shares return
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


class SlotPolicy:
    """Chooses where a daemon sends the head of its queue."""

    enforced = True  # the target refuses what exceeds its slots

    def attach(self, model: "SlotModel") -> None:
        """Set up the state of the policy for the model."""
        self.model = model
        scene = model.scene
        shape = range(scene.daemons)
        self.closed_until = [[0.0] * scene.targets for _ in shape]
        self.backoff = [[FIRST_BACKOFF] * scene.targets for _ in shape]

    def choose(self, daemon: int) -> int | None:
        """Return the target to send to, or None to wait."""
        raise NotImplementedError

    def note_refusal(self, daemon: int, target: int) -> None:
        """Close the target to the daemon for a while that doubles."""
        wait = self.backoff[daemon][target]
        self.backoff[daemon][target] = min(2 * wait, LAST_BACKOFF)
        until = self.model.now + wait * self.model.random.uniform(0.5, 1.0)
        self.closed_until[daemon][target] = until
        self.model.add(until, lambda: self.model.pump(daemon))

    def note_end(self, daemon: int, target: int) -> None:
        """Reopen a target on which a slot has just become free."""
        self.closed_until[daemon][target] = 0.0
        self.backoff[daemon][target] = FIRST_BACKOFF

    def note_death(self, daemon: int) -> None:
        """Learn that a daemon died."""

    def list_open(self, daemon: int) -> list[int]:
        """Return the reachable targets not closed to the daemon."""
        own = self.model.daemons[daemon]
        return [
            index
            for index, until in enumerate(self.closed_until[daemon])
            if until <= self.model.now
            and own.in_flight[index] < SLOTS
            and self.model.reaches(own.zone, self.model.targets[index].zone)
        ]


class RandomPairSlotPolicy(SlotPolicy):
    """Sends on the less loaded of two random targets."""

    def choose(self, daemon: int) -> int | None:
        """Compare two random targets by own requests in flight."""
        options = self.list_open(daemon)
        if not options:
            return None
        load = self.model.daemons[daemon].in_flight
        pair = [self.model.random.choice(options) for _ in range(2)]
        return min(pair, key=lambda index: load[index])


class LeastLoadedSlotPolicy(SlotPolicy):
    """Sends to a random one of the targets with the least in flight."""

    def choose(self, daemon: int) -> int | None:
        """Compare all targets by own requests in flight."""
        return self.pick(daemon, self.list_open(daemon))

    def pick(self, daemon: int, options: list[int]) -> int | None:
        """Return the least loaded of the options, at random among ties."""
        if not options:
            return None
        load = self.model.daemons[daemon].in_flight
        least = min(load[index] for index in options)
        ties = [index for index in options if load[index] == least]
        return self.model.random.choice(ties)


class HybridSlotPolicy(LeastLoadedSlotPolicy):
    """As above, but own zone first and others only when it is full."""

    def choose(self, daemon: int) -> int | None:
        """Prefer the targets of the daemon's zone."""
        return self.pick_near(daemon, self.list_open(daemon))

    def pick_near(self, daemon: int, options: list[int]) -> int | None:
        """Pick among the options of the own zone, or else among all."""
        zone = self.model.daemons[daemon].zone
        near = [i for i in options if self.model.targets[i].zone == zone]
        return self.pick(daemon, near or options)


class BackoffSlotPolicy(HybridSlotPolicy):
    """As above, but one request at a time to a target that refused.

    Each refusal doubles the pause, up to `LONG_BACKOFF`, and each end of
    a request of the daemon on the target halves it and ends the pause.
    """

    def choose(self, daemon: int) -> int | None:
        """Close a target with a pause again for whatever it is sent."""
        target = super().choose(daemon)
        if target is not None:
            wait = self.backoff[daemon][target]
            if wait > FIRST_BACKOFF:
                self.close(daemon, target, wait)
        return target

    def close(self, daemon: int, target: int, wait: float) -> None:
        """Close the target to the daemon for up to the wait."""
        until = self.model.now + wait * self.model.random.uniform(0.5, 1.0)
        self.closed_until[daemon][target] = until
        self.model.add(until, lambda: self.model.pump(daemon))

    def note_refusal(self, daemon: int, target: int) -> None:
        """Double the pause and start it."""
        wait = self.backoff[daemon][target]
        self.backoff[daemon][target] = min(2 * wait, LONG_BACKOFF)
        self.close(daemon, target, wait)

    def note_end(self, daemon: int, target: int) -> None:
        """End the pause and halve the next one."""
        self.closed_until[daemon][target] = 0.0
        shorter = self.backoff[daemon][target] / 2
        self.backoff[daemon][target] = max(FIRST_BACKOFF, shorter)


class ShareSlotPolicy(LeastLoadedSlotPolicy):
    """Sends only within its shares; idle shares are lent on request.

    The giver debits first. A dead daemon's shares return to the others
    when its lease has run out; a loan ends with the slot's next idle use.
    """

    enforced = False

    def attach(self, model: "SlotModel") -> None:
        """Deal the slots of every target out to the daemons in turn."""
        super().attach(model)
        scene = model.scene
        self.shares = [[0] * scene.targets for _ in range(scene.daemons)]
        for index in range(scene.targets * SLOTS):
            self.shares[index % scene.daemons][index // SLOTS] += 1
        self.asking = [False] * scene.daemons

    def choose(self, daemon: int) -> int | None:
        """Use an idle share, or ask a random peer for some."""
        own = self.model.daemons[daemon]
        options = [
            index
            for index in range(len(self.model.targets))
            if own.in_flight[index] < self.shares[daemon][index]
            and self.model.reaches(own.zone, self.model.targets[index].zone)
        ]
        if not options and not self.asking[daemon]:
            self.ask(daemon)
        return self.pick(daemon, options)

    def ask(self, daemon: int) -> None:
        """Ask one reachable live peer for idle shares."""
        model = self.model
        zone = model.daemons[daemon].zone
        peers = [
            index
            for index, peer in enumerate(model.daemons)
            if index != daemon
            and peer.alive
            and model.reaches(zone, peer.zone)
        ]
        if not peers:
            return
        self.asking[daemon] = True
        peer = model.random.choice(peers)
        model.messages += 1
        model.add(model.now + DELAY, lambda: self.give(peer, daemon))

    def give(self, giver: int, taker: int) -> None:
        """Debit half of the idle shares and send them."""
        model = self.model
        own = model.daemons[giver]
        zone = model.daemons[taker].zone
        idle = [
            index
            for index, share in enumerate(self.shares[giver])
            for _ in range(share - own.in_flight[index])
            if model.reaches(zone, model.targets[index].zone)
        ]
        busy = bool(own.queue) or not own.alive
        given = [] if busy else idle[: (len(idle) + 1) // 2]
        for index in given:
            self.shares[giver][index] -= 1
        model.messages += 1
        model.add(model.now + DELAY, lambda: self.take(taker, given))

    def take(self, daemon: int, given: list[int]) -> None:
        """Credit what a peer gave, or ask again a little later."""
        for index in given:
            self.shares[daemon][index] += 1
        model = self.model
        wait = 0.0 if given else LOAN_RETRY

        def go_on() -> None:
            self.asking[daemon] = False
            model.pump(daemon)

        model.add(model.now + wait, go_on)

    def note_death(self, daemon: int) -> None:
        """Deal the dead daemon's shares out once its lease has passed."""
        model = self.model

        def deal() -> None:
            alive = [i for i, d in enumerate(model.daemons) if d.alive]
            turn = itertools.cycle(alive)
            for index, share in enumerate(self.shares[daemon]):
                for _ in range(share):
                    self.shares[next(turn)][index] += 1
            self.shares[daemon] = [0] * len(model.targets)
            for index in alive:
                model.pump(index)

        model.add(model.now + LEASE, deal)


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
