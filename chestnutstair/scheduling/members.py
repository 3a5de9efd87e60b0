"""Which other nodes exist, and what they know while the leader or store fails.

Nodes learn of each other through the leader, which hears from all of them. A
node whose own sources fail asks other nodes at random.
"""

import logging
import random
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.platform import PlatformFailure
from chestnutstair.scheduling.election import LeaderStatus
from chestnutstair.state.deadline import Clock

__all__ = ["MemberPoller", "Members"]

logger = logging.getLogger(__name__)

# A node that has not called for this long has probably been replaced.
HEARD_SECONDS = 10.0
# Most addresses in a status, about 400 bytes.
SAMPLE_SIZE = 16
# A node is named members this often. With each status, at 80 calls a second,
# they would take an eighth of a link of 2 Mbit/s.
SAMPLE_SECONDS = 2.0
# Most members that a node keeps: enough that some reach the store or the
# leader when a third of the nodes do not.
MAX_MEMBERS = 32
# Most nodes that a leader remembers to have heard from.
MAX_HEARD = 1024
# Most status calls a second that a node answers to other nodes as their
# member. It gets about eight when all nodes ask two random members every
# 0.25 s.
MAX_CALLS_PER_SECOND = 80

POLL_SECONDS = 0.25
# Interval of the check whether members are needed. Each wake-up of an idle
# node costs as much as a call, at hundreds of nodes.
CHECK_SECONDS = 0.6
# Calls of one round, each to another member.
CALLS_PER_ROUND = 2
# Timeout of a status call, as in an election.
CALL_SECONDS = 0.25


@dataclass(frozen=True)
class _Caller:
    """A node that has called, and when it was last named members."""

    address: str
    called_at: float
    sampled_at: float


class Members:
    """The addresses of other nodes, from their calls and from the leader."""

    def __init__(self, own_address: str, clock: Clock) -> None:
        self._own_address = own_address
        self._clock = clock
        self._lock = threading.Lock()
        # Nodes that have called, by name, the last at the end.
        self._heard: OrderedDict[str, _Caller] = OrderedDict()
        # Addresses that the leader named, the last named at the end.
        self._learned: OrderedDict[str, None] = OrderedDict()
        self._second_began = 0.0
        self._second_calls = 0

    def record_call(self, name: str, address: str) -> bool:
        """Remember the address of a node that has called.

        Returns whether to name members to it, every SAMPLE_SECONDS.
        """
        if not address or address == self._own_address:
            return False
        now = self._clock.read_monotonic()
        with self._lock:
            last = self._heard.get(name)
            is_due = (
                last is None
                or last.address != address
                or now - last.sampled_at >= SAMPLE_SECONDS
            )
            sampled_at = now if last is None or is_due else last.sampled_at
            self._heard[name] = _Caller(address, now, sampled_at)
            self._heard.move_to_end(name)
            if len(self._heard) > MAX_HEARD:
                self._heard.popitem(last=False)
        return is_due

    def admit_call(self) -> bool:
        """Return whether to answer another node's call to its member."""
        now = self._clock.read_monotonic()
        with self._lock:
            if now - self._second_began >= 1.0:
                self._second_began = now
                self._second_calls = 0
            self._second_calls += 1
            return self._second_calls <= MAX_CALLS_PER_SECOND

    def learn(self, addresses: Iterable[str]) -> None:
        """Keep members that the leader named, and the last MAX_MEMBERS."""
        with self._lock:
            for address in addresses:
                if address and address != self._own_address:
                    self._learned[address] = None
                    self._learned.move_to_end(address)
            while len(self._learned) > MAX_MEMBERS:
                self._learned.popitem(last=False)

    def sample_heard(self) -> tuple[str, ...]:
        """Return up to SAMPLE_SIZE random addresses heard from recently."""
        with self._lock:
            recent = self._list_recent()
        return tuple(random.sample(recent, min(SAMPLE_SIZE, len(recent))))

    def choose(self, count: int) -> list[str]:
        """Return up to `count` random members."""
        with self._lock:
            known = list(
                {**self._learned, **dict.fromkeys(self._list_recent())}
            )
        return random.sample(known, min(count, len(known)))

    def _list_recent(self) -> list[str]:
        oldest = self._clock.read_monotonic() - HEARD_SECONDS
        return [
            caller.address
            for caller in self._heard.values()
            if caller.called_at >= oldest
        ]


class MemberPoller:
    """Asks random members for their status while a node's sources fail.

    - `ask_status`: asks the node at an address, with a timeout in seconds.
    - `needs_members`: whether the node's feed of the store fails or the
      leader does not answer.
    - `on_status`: called with each status and the address it came from.
    """

    def __init__(
        self,
        members: Members,
        ask_status: Callable[
            [str, float], Result[LeaderStatus, PlatformFailure]
        ],
        needs_members: Callable[[], bool],
        on_status: Callable[[str, LeaderStatus], None],
    ) -> None:
        self._members = members
        self._ask_status = ask_status
        self._needs_members = needs_members
        self._on_status = on_status
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        # Addresses that are being asked, each by one thread at a time.
        self._asked: set[str] = set()
        self._asking = False

    def start(self) -> None:
        """Start a thread for each call of a round.

        A member that does not answer then delays no other call.
        """
        for number in range(CALLS_PER_ROUND):
            threading.Thread(
                target=self._run, name=f"members {number}", daemon=True
            ).start()

    def stop(self) -> None:
        """Stop, without waiting for calls in progress."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(self._choose_pause()):
            try:
                self.ask_one()
            except Exception:
                # If this loop ended, the node would ask no members any more.
                logger.exception("asking a member failed")

    def _choose_pause(self) -> float:
        seconds = POLL_SECONDS if self._asking else CHECK_SECONDS
        return seconds * random.uniform(0.8, 1.2)

    def ask_one(self) -> None:
        """Ask one random member, if the node's own sources fail."""
        needed = self._needs_members()
        self._record_need(needed)
        if not needed:
            return
        address = self._reserve()
        if not address:
            return
        try:
            match self._ask_status(address, CALL_SECONDS):
                case Ok(status):
                    self._on_status(address, status)
                case Err(failure):
                    logger.debug(
                        "member does not answer",
                        extra={"address": address, "reason": str(failure)},
                    )
        finally:
            with self._lock:
                self._asked.discard(address)

    def _reserve(self) -> str:
        with self._lock:
            for address in self._members.choose(CALLS_PER_ROUND):
                if address not in self._asked:
                    self._asked.add(address)
                    return address
        return ""

    def _record_need(self, needed: bool) -> None:
        with self._lock:
            if needed == self._asking:
                return
            self._asking = needed
        logger.info("asking members" if needed else "no longer asking members")
