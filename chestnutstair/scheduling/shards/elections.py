"""Runs the elections of all shards on one thread."""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from chestnutstair.scheduling.election import (
    Election,
    LeaderStatus,
    NodeContact,
)
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.shards.layout import ShardLayout
from chestnutstair.scheduling.shards.layout_source import LayoutSource
from chestnutstair.scheduling.shards.read_budget import (
    READS_PER_SECOND,
    ReadBudget,
)
from chestnutstair.scheduling.shards.shard import Shard
from chestnutstair.scheduling.shards.status_pacing import PollPacer
from chestnutstair.state.deadline import Clock

__all__ = ["ElectionBuilder", "ShardElections"]

logger = logging.getLogger(__name__)

# Longest time without a check of any shard, whatever a leader asks for.
MAX_PAUSE_SECONDS = 60.0
RETRY_SECONDS = 0.25
# With several shards a node begins its elections spread over this time, so
# that it learns most leaders from the first one that answers.
START_SPREAD_SECONDS = 1.0
# Interval of a node's status calls, over all shards, while its own feed of
# the store fails.
FEED_FAILING_SECONDS = 0.25
# A node that leads more shards than it has power for hands one over if this
# many nodes for each shard poll it: some of them have the power and lead none.
# Otherwise the first nodes to start after a power loss would lead all shards
# for good.
NODES_PER_SHARD = 4
# Time for the new leader of one shard to load before the next is handed over.
HAND_OVER_SECONDS = 8.0


class ElectionBuilder(Protocol):
    """Builds the election of a shard."""

    def __call__(
        self,
        shard: Shard,
        contact: NodeContact,
        count_led: Callable[[], int],
        may_check: Callable[[], bool],
        run_load: Callable[[Callable[[], None]], None],
    ) -> Election:
        """Return the election; the arguments are those of Election."""
        ...


class ShardElections:
    """The elections of a node, from when the layout is known.

    - `is_feed_failing`: returns whether this node cannot follow the store.
    - `most_led`: number of shards that this node has the power to lead.
    """

    def __init__(
        self,
        source: LayoutSource,
        build_election: ElectionBuilder,
        is_feed_failing: Callable[[], bool],
        clock: Clock,
        cut_off_seconds: float,
        most_led: int = 1,
    ) -> None:
        self._most_led = most_led
        self._hand_over_at = 0.0
        self._source = source
        self._build_election = build_election
        self._is_feed_failing = is_feed_failing
        self._clock = clock
        self._cut_off_seconds = cut_off_seconds
        self._contact = NodeContact(clock)
        self._pacer = PollPacer(clock)
        self._stopped = False
        self._wakeup = threading.Event()
        self._next_at: list[float] = []
        self._run_at: list[float] = []
        self._elections: tuple[Election, ...] = ()
        self._layout: ShardLayout | None = None
        self._thread = threading.Thread(
            target=self._run, name="election", daemon=True
        )

    def start(self) -> None:
        """Find the layout and run elections on a thread of its own."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; release the terms that this node holds."""
        self._stopped = True
        self._wakeup.set()
        self._thread.join()
        stops = [
            threading.Thread(target=election.stop)
            for election in self._elections
        ]
        # In parallel, as a term whose store does not answer takes a second.
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join()

    @property
    def layout(self) -> ShardLayout | None:
        """The layout, None while it is not known."""
        return self._layout

    @property
    def is_leading(self) -> bool:
        """Whether this node leads a shard, as far as it knows."""
        return any(election.is_leading for election in self._elections)

    def list_leaders(self) -> list[Leader]:
        """Return the leaders of the shards that this node leads."""
        leaders = [election.leader for election in self._elections]
        return [
            leader
            for leader in leaders
            if leader is not None and not leader.has_ended
        ]

    def get_leader(self, shard: int) -> Leader | None:
        """Return the shard's leader if this node leads it."""
        if not 0 <= shard < len(self._elections):
            return None
        leader = self._elections[shard].leader
        if leader is None or leader.has_ended:
            return None
        return leader

    def get_leader_address(self, shard: int) -> str:
        """Return the address of the shard's leader, empty if not known."""
        if not 0 <= shard < len(self._elections):
            return ""
        return self._elections[shard].leader_address

    def is_cut_off(self) -> bool:
        """Return whether this node cannot serve callers.

        It does not know the layout, or reaches neither a leader nor the
        store. The only shard's leader that cannot write is replaced and so
        counts as cut off too.
        """
        if not self._elections:
            return True
        if len(self._elections) == 1:
            return self._elections[0].is_cut_off()
        return self._contact.is_isolated(self._cut_off_seconds)

    def describe(
        self, shard: int, poller: str, configuration_version: int
    ) -> LeaderStatus:
        """Return this node's status in a shard, for another node.

        `poller` is the name of that node, empty for one of an earlier
        version of this program.
        """
        if not 0 <= shard < len(self._elections):
            return LeaderStatus(False, 0, 0.0, configuration_version)
        status = self._elections[shard].describe(configuration_version)
        leaders: tuple[str, ...] = ()
        if len(self._elections) > 1:
            leaders = tuple(
                election.leader_address for election in self._elections
            )
        return replace(
            status,
            leader_address=self._elections[shard].leader_address,
            poll_seconds=self._pacer.record(poller, shard),
            leaders=leaders,
        )

    @property
    def hears_leader(self) -> bool:
        """Whether the leaders of all shards have answered this node."""
        return bool(self._elections) and all(
            election.hears_leader for election in self._elections
        )

    def suggest_leader(self, address: str) -> None:
        """Apply the address of the only shard's leader that a node knows."""
        if len(self._elections) == 1:
            self.apply_leaders((address,))

    def apply_leaders(self, leaders: tuple[str, ...]) -> None:
        """Apply the addresses of leaders that another node knows."""
        if len(leaders) != len(self._elections):
            return
        for shard, address in enumerate(leaders):
            if self._elections[shard].suggest_leader(address):
                self._next_at[shard] = 0.0

    def report_failure(self, shard: int) -> None:
        """Check a shard's leader soon, as it did not answer a call."""
        now = self._clock.read_monotonic()
        if (
            0 <= shard < len(self._elections)
            and now - self._run_at[shard]
            >= self._elections[shard].shortest_interval
        ):
            self._next_at[shard] = 0.0
            self._wakeup.set()

    def _run(self) -> None:
        while not self._elections:
            if self._stopped:
                return
            try:
                layout = self._source.find()
                if layout is not None:
                    self._begin(layout)
                    break
            except Exception:
                logger.exception("finding the layout failed")
            self._clock.sleep(RETRY_SECONDS)
        while not self._stopped:
            try:
                pause = self._run_due()
            except Exception:
                # If the thread ended, this node would watch no leader.
                logger.exception("election rounds failed")
                pause = RETRY_SECONDS
            self._wakeup.wait(min(pause, MAX_PAUSE_SECONDS))
            self._wakeup.clear()

    def _begin(self, layout: ShardLayout) -> None:
        several = layout.shards > 1
        budget = ReadBudget(self._clock, READS_PER_SECOND)
        now = self._clock.read_monotonic()
        spread = START_SPREAD_SECONDS if several else 0.0
        self._next_at = [
            now + random.uniform(0, spread) for _ in range(layout.shards)
        ]
        self._run_at = [0.0] * layout.shards
        # Known before the elections, as from then on the node serves callers.
        self._layout = layout
        self._elections = tuple(
            self._build_election(
                Shard(number, layout),
                self._contact,
                self._count_led,
                budget.consume if several else lambda: True,
                self._run_load if several else lambda task: task(),
            )
            for number in range(layout.shards)
        )
        logger.info("layout known", extra={"shards": layout.shards})

    def _count_led(self) -> int:
        return sum(
            election.is_leading or election.is_loading
            for election in self._elections
        )

    def _hand_over_if_too_many(self) -> None:
        now = self._clock.read_monotonic()
        if self._count_led() <= self._most_led:
            self._hand_over_at = now + HAND_OVER_SECONDS
        elif now >= self._hand_over_at:
            self._hand_over_at = now + HAND_OVER_SECONDS
            led = [n for n, e in enumerate(self._elections) if e.is_leading]
            needed = NODES_PER_SHARD * len(self._elections)
            if led and self._pacer.count_nodes(led[-1]) >= needed:
                self._elections[led[-1]].hand_over()

    def _run_load(self, task: Callable[[], None]) -> None:
        threading.Thread(target=task, name="load", daemon=True).start()

    def _run_due(self) -> float:
        """Run the rounds that are due; return the seconds until the next."""
        now = self._clock.read_monotonic()
        due = [n for n, at in enumerate(self._next_at) if at <= now]
        for number in sorted(due, key=self._next_at.__getitem__):
            if self._stopped:
                return 0.0
            # A suggestion made during the round must not be overwritten.
            self._next_at[number] = float("inf")
            pause = self._elections[number].run_round()
            if self._is_feed_failing():
                longest = FEED_FAILING_SECONDS * len(self._elections)
                pause = min(pause, longest)
            now = self._run_at[number] = self._clock.read_monotonic()
            self._next_at[number] = min(self._next_at[number], now + pause)
        self._hand_over_if_too_many()
        now = self._clock.read_monotonic()
        return max(0.0, min(self._next_at) - now)
