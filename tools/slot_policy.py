"""Policies for the slot model: how daemons share the slots of a pool."""

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

MIN_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.08
MAX_PROBE_BACKOFF_SECONDS = 0.32  # for BackoffSlotPolicy
LOAN_RETRY_SECONDS = 0.01
SHARE_LEASE_SECONDS = 3.0  # until a dead daemon's shares are redistributed


class BaseSlotPolicy:
    """Base of the policies; a refusal closes the target for a backoff time."""

    limit_enforced = True  # targets refuse requests beyond their slots

    def attach(self, model: SlotModel) -> None:
        """Initialise the policy for the model."""
        self.model = model
        scenario = model.scenario
        indices = range(scenario.daemons)
        self.closed_until = [[0.0] * scenario.targets for _ in indices]
        self.backoff = [
            [MIN_BACKOFF_SECONDS] * scenario.targets for _ in indices
        ]

    def choose(self, daemon: int) -> int | None:
        """Return the target to send to, or None to wait."""
        raise NotImplementedError

    def on_refusal(self, daemon: int, target: int) -> None:
        """Close the target to the daemon, with exponential backoff."""
        wait = self.backoff[daemon][target]
        self.backoff[daemon][target] = min(2 * wait, MAX_BACKOFF_SECONDS)
        until = self.model.now + wait * self.model.random.uniform(0.5, 1.0)
        self.closed_until[daemon][target] = until
        self.model.schedule(until, lambda: self.model.dispatch(daemon))

    def on_completion(self, daemon: int, target: int) -> None:
        """Reopen the target, which has a free slot, and reset its backoff."""
        self.closed_until[daemon][target] = 0.0
        self.backoff[daemon][target] = MIN_BACKOFF_SECONDS

    def on_daemon_death(self, daemon: int) -> None:
        """Do nothing; the other daemons are not affected."""

    def list_available(self, daemon: int) -> list[int]:
        """Return the reachable targets that the daemon may send to.

        They are not closed to it, and it has fewer requests in flight there
        than the target has slots.
        """
        own = self.model.daemons[daemon]
        return [
            index
            for index, until in enumerate(self.closed_until[daemon])
            if until <= self.model.now
            and own.in_flight[index] < SLOTS_PER_TARGET
            and self.model.can_reach(own.zone, self.model.targets[index].zone)
        ]


class TwoChoicesSlotPolicy(BaseSlotPolicy):
    """Sends to the less loaded of two random targets."""

    def choose(self, daemon: int) -> int | None:
        """Compare two random targets by the daemon's requests in flight."""
        options = self.list_available(daemon)
        if not options:
            return None
        load = self.model.daemons[daemon].in_flight
        pair = [self.model.random.choice(options) for _ in range(2)]
        return min(pair, key=lambda index: load[index])


class LeastLoadedSlotPolicy(BaseSlotPolicy):
    """Sends to the target with the fewest own requests in flight."""

    def choose(self, daemon: int) -> int | None:
        """Compare all available targets; break ties at random."""
        return self.pick(daemon, self.list_available(daemon))

    def pick(self, daemon: int, options: list[int]) -> int | None:
        """Return the least loaded of the options; break ties at random."""
        if not options:
            return None
        load = self.model.daemons[daemon].in_flight
        least = min(load[index] for index in options)
        ties = [index for index in options if load[index] == least]
        return self.model.random.choice(ties)


class ZoneFirstSlotPolicy(LeastLoadedSlotPolicy):
    """Prefers the daemon's zone; uses others only when that is full.

    Among targets it chooses as LeastLoadedSlotPolicy does.
    """

    def choose(self, daemon: int) -> int | None:
        """Choose among all available targets, the daemon's zone first."""
        return self.pick_in_zone(daemon, self.list_available(daemon))

    def pick_in_zone(self, daemon: int, options: list[int]) -> int | None:
        """Return the least loaded option in the daemon's zone, or of all."""
        zone = self.model.daemons[daemon].zone
        same_zone = [i for i in options if self.model.targets[i].zone == zone]
        return self.pick(daemon, same_zone or options)


class BackoffSlotPolicy(ZoneFirstSlotPolicy):
    """Probes a target that refused with one request per backoff time.

    Otherwise it chooses as ZoneFirstSlotPolicy does. Each refusal doubles
    the backoff time, up to MAX_PROBE_BACKOFF_SECONDS. Each completion of a
    request of the daemon on the target halves it and reopens the target.
    """

    def choose(self, daemon: int) -> int | None:
        """Choose a target; close it again if its backoff time is raised."""
        target = super().choose(daemon)
        if target is not None:
            wait = self.backoff[daemon][target]
            if wait > MIN_BACKOFF_SECONDS:
                self.close(daemon, target, wait)
        return target

    def close(self, daemon: int, target: int, wait: float) -> None:
        """Close the target to the daemon for half to all of `wait` seconds."""
        until = self.model.now + wait * self.model.random.uniform(0.5, 1.0)
        self.closed_until[daemon][target] = until
        self.model.schedule(until, lambda: self.model.dispatch(daemon))

    def on_refusal(self, daemon: int, target: int) -> None:
        """Close the target for the backoff time and double the next one."""
        wait = self.backoff[daemon][target]
        self.backoff[daemon][target] = min(2 * wait, MAX_PROBE_BACKOFF_SECONDS)
        self.close(daemon, target, wait)

    def on_completion(self, daemon: int, target: int) -> None:
        """Reopen the target and halve the next backoff time."""
        self.closed_until[daemon][target] = 0.0
        shorter = self.backoff[daemon][target] / 2
        self.backoff[daemon][target] = max(MIN_BACKOFF_SECONDS, shorter)


class ShareSlotPolicy(LeastLoadedSlotPolicy):
    """Gives each daemon a share of every target's slots.

    A daemon sends only within its shares and borrows idle shares from its
    peers. The lender debits its shares before the borrower credits them, so
    that no slot is used twice. A dead daemon's shares go to the others when
    its lease has expired. A borrowed share is not returned: it stays with the
    borrower until a peer borrows it in turn while it is idle.
    """

    limit_enforced = False

    def attach(self, model: SlotModel) -> None:
        """Distribute the slots of every target round-robin to the daemons."""
        super().attach(model)
        scenario = model.scenario
        self.shares = [[0] * scenario.targets for _ in range(scenario.daemons)]
        for index in range(scenario.targets * SLOTS_PER_TARGET):
            self.shares[index % scenario.daemons][
                index // SLOTS_PER_TARGET
            ] += 1
        self.loan_pending = [False] * scenario.daemons

    def choose(self, daemon: int) -> int | None:
        """Use an idle share, or request a loan if there is none."""
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
        """Ask a random live and reachable peer for idle shares."""
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
        """Debit half of the idle shares and send them to the borrower.

        A lender that is dead or has queued requests lends nothing.
        """
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
        """Credit the lent shares, or retry after a pause if there are none."""
        for index in lent:
            self.shares[daemon][index] += 1
        model = self.model
        wait = 0.0 if lent else LOAN_RETRY_SECONDS

        def resume() -> None:
            self.loan_pending[daemon] = False
            model.dispatch(daemon)

        model.schedule(model.now + wait, resume)

    def on_daemon_death(self, daemon: int) -> None:
        """Redistribute the dead daemon's shares when its lease has expired."""
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
