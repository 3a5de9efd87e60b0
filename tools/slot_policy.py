"""Ways for daemons to share the slots of a pool, for the model."""

import itertools

from tools.slot_model import DELAY_SECONDS, SLOTS_PER_TARGET, SlotModel

__all__ = [
    "BackoffSlotPolicy",
    "BaseSlotPolicy",
    "LeastLoadedSlotPolicy",
    "ShareSlotPolicy",
    "TwoChoicesSlotPolicy",
    "ZoneFirstSlotPolicy",
]

MIN_BACKOFF_SECONDS = 0.01  # seconds
MAX_BACKOFF_SECONDS = 0.08  # seconds
MAX_PROBE_BACKOFF_SECONDS = 0.32  # seconds
LOAN_RETRY_SECONDS = 0.01  # seconds
SHARE_LEASE_SECONDS = 3.0  # seconds after which a dead holder's shares return


class BaseSlotPolicy:
    """Chooses where a daemon sends the head of its queue."""

    limit_enforced = True  # the target refuses what exceeds its slots

    def attach(self, model: SlotModel) -> None:
        """Set up the state of the policy for the model."""
        self.model = model
        scenario = model.scenario
        shape = range(scenario.daemons)
        self.closed_until = [[0.0] * scenario.targets for _ in shape]
        self.backoff = [
            [MIN_BACKOFF_SECONDS] * scenario.targets for _ in shape
        ]

    def choose(self, daemon: int) -> int | None:
        """Return the target to send to, or None to wait."""
        raise NotImplementedError

    def on_refusal(self, daemon: int, target: int) -> None:
        """Close the target to the daemon for a while that doubles."""
        wait = self.backoff[daemon][target]
        self.backoff[daemon][target] = min(2 * wait, MAX_BACKOFF_SECONDS)
        until = self.model.now + wait * self.model.random.uniform(0.5, 1.0)
        self.closed_until[daemon][target] = until
        self.model.schedule(until, lambda: self.model.dispatch(daemon))

    def on_completion(self, daemon: int, target: int) -> None:
        """Reopen a target on which a slot has just become free."""
        self.closed_until[daemon][target] = 0.0
        self.backoff[daemon][target] = MIN_BACKOFF_SECONDS

    def on_daemon_death(self, daemon: int) -> None:
        """Learn that a daemon died."""

    def list_available(self, daemon: int) -> list[int]:
        """Return the reachable targets not closed to the daemon."""
        own = self.model.daemons[daemon]
        return [
            index
            for index, until in enumerate(self.closed_until[daemon])
            if until <= self.model.now
            and own.in_flight[index] < SLOTS_PER_TARGET
            and self.model.can_reach(own.zone, self.model.targets[index].zone)
        ]


class TwoChoicesSlotPolicy(BaseSlotPolicy):
    """Sends on the less loaded of two random targets."""

    def choose(self, daemon: int) -> int | None:
        """Compare two random targets by own requests in flight."""
        options = self.list_available(daemon)
        if not options:
            return None
        load = self.model.daemons[daemon].in_flight
        pair = [self.model.random.choice(options) for _ in range(2)]
        return min(pair, key=lambda index: load[index])


class LeastLoadedSlotPolicy(BaseSlotPolicy):
    """Sends to a random one of the targets with the least in flight."""

    def choose(self, daemon: int) -> int | None:
        """Compare all targets by own requests in flight."""
        return self.pick(daemon, self.list_available(daemon))

    def pick(self, daemon: int, options: list[int]) -> int | None:
        """Return the least loaded of the options, at random among ties."""
        if not options:
            return None
        load = self.model.daemons[daemon].in_flight
        least = min(load[index] for index in options)
        ties = [index for index in options if load[index] == least]
        return self.model.random.choice(ties)


class ZoneFirstSlotPolicy(LeastLoadedSlotPolicy):
    """As above, but own zone first and others only when it is full."""

    def choose(self, daemon: int) -> int | None:
        """Prefer the targets of the daemon's zone."""
        return self.pick_in_zone(daemon, self.list_available(daemon))

    def pick_in_zone(self, daemon: int, options: list[int]) -> int | None:
        """Pick among the options of the own zone, or else among all."""
        zone = self.model.daemons[daemon].zone
        same_zone = [i for i in options if self.model.targets[i].zone == zone]
        return self.pick(daemon, same_zone or options)


class BackoffSlotPolicy(ZoneFirstSlotPolicy):
    """As above, but one request at a time to a target that refused.

    Each refusal doubles the pause, up to `LONG_BACKOFF`, and each end of
    a request of the daemon on the target halves it and ends the pause.
    """

    def choose(self, daemon: int) -> int | None:
        """Close a target with a pause again for whatever it is sent."""
        target = super().choose(daemon)
        if target is not None:
            wait = self.backoff[daemon][target]
            if wait > MIN_BACKOFF_SECONDS:
                self.close(daemon, target, wait)
        return target

    def close(self, daemon: int, target: int, wait: float) -> None:
        """Close the target to the daemon for up to the wait."""
        until = self.model.now + wait * self.model.random.uniform(0.5, 1.0)
        self.closed_until[daemon][target] = until
        self.model.schedule(until, lambda: self.model.dispatch(daemon))

    def on_refusal(self, daemon: int, target: int) -> None:
        """Double the pause and start it."""
        wait = self.backoff[daemon][target]
        self.backoff[daemon][target] = min(2 * wait, MAX_PROBE_BACKOFF_SECONDS)
        self.close(daemon, target, wait)

    def on_completion(self, daemon: int, target: int) -> None:
        """End the pause and halve the next one."""
        self.closed_until[daemon][target] = 0.0
        shorter = self.backoff[daemon][target] / 2
        self.backoff[daemon][target] = max(MIN_BACKOFF_SECONDS, shorter)


class ShareSlotPolicy(LeastLoadedSlotPolicy):
    """Sends only within its shares; idle shares are lent on request.

    The giver debits first. A dead daemon's shares return to the others
    when its lease has run out; a loan ends with the slot's next idle use.
    """

    limit_enforced = False

    def attach(self, model: SlotModel) -> None:
        """Deal the slots of every target out to the daemons in turn."""
        super().attach(model)
        scenario = model.scenario
        self.shares = [[0] * scenario.targets for _ in range(scenario.daemons)]
        for index in range(scenario.targets * SLOTS_PER_TARGET):
            self.shares[index % scenario.daemons][
                index // SLOTS_PER_TARGET
            ] += 1
        self.loan_pending = [False] * scenario.daemons

    def choose(self, daemon: int) -> int | None:
        """Use an idle share, or ask a random peer for some."""
        own = self.model.daemons[daemon]
        options = [
            index
            for index in range(len(self.model.targets))
            if own.in_flight[index] < self.shares[daemon][index]
            and self.model.can_reach(own.zone, self.model.targets[index].zone)
        ]
        if not options and not self.loan_pending[daemon]:
            self.request_loan(daemon)
        return self.pick(daemon, options)

    def request_loan(self, daemon: int) -> None:
        """Ask one reachable live peer for idle shares."""
        model = self.model
        zone = model.daemons[daemon].zone
        peers = [
            index
            for index, peer in enumerate(model.daemons)
            if index != daemon
            and peer.alive
            and model.can_reach(zone, peer.zone)
        ]
        if not peers:
            return
        self.loan_pending[daemon] = True
        peer = model.random.choice(peers)
        model.messages += 1
        model.schedule(
            model.now + DELAY_SECONDS, lambda: self.lend(peer, daemon)
        )

    def lend(self, lender: int, borrower: int) -> None:
        """Debit half of the idle shares and send them."""
        model = self.model
        own = model.daemons[lender]
        zone = model.daemons[borrower].zone
        idle = [
            index
            for index, share in enumerate(self.shares[lender])
            for _ in range(share - own.in_flight[index])
            if model.can_reach(zone, model.targets[index].zone)
        ]
        busy = bool(own.queue) or not own.alive
        lent = [] if busy else idle[: (len(idle) + 1) // 2]
        for index in lent:
            self.shares[lender][index] -= 1
        model.messages += 1
        model.schedule(
            model.now + DELAY_SECONDS,
            lambda: self.receive_loan(borrower, lent),
        )

    def receive_loan(self, daemon: int, lent: list[int]) -> None:
        """Credit what a peer gave, or ask again a little later."""
        for index in lent:
            self.shares[daemon][index] += 1
        model = self.model
        wait = 0.0 if lent else LOAN_RETRY_SECONDS

        def resume() -> None:
            self.loan_pending[daemon] = False
            model.dispatch(daemon)

        model.schedule(model.now + wait, resume)

    def on_daemon_death(self, daemon: int) -> None:
        """Deal the dead daemon's shares out once its lease has passed."""
        model = self.model

        def redistribute() -> None:
            alive = [i for i, d in enumerate(model.daemons) if d.alive]
            recipients = itertools.cycle(alive)
            for index, share in enumerate(self.shares[daemon]):
                for _ in range(share):
                    self.shares[next(recipients)][index] += 1
            self.shares[daemon] = [0] * len(model.targets)
            for index in alive:
                model.dispatch(index)

        model.schedule(model.now + SHARE_LEASE_SECONDS, redistribute)
