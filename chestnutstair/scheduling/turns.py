"""Learns from arrivals in which order demand goes round the queues.

On some deployments one queue at a time asks for a multiple of its mean, and
the others for nearly nothing; each queue has one turn before the first has its
next. This module finds the turns in the arrivals of jobs, and predicts which
pool comes next, when, and what it will ask for. It makes no prediction where
the arrivals show no such turns.
"""

import math
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from statistics import median
from types import MappingProxyType

from chestnutstair.scheduling.job_tracker import Arrival

__all__ = ["NO_TURNS", "Turn", "TurnOutlook", "TurnTracker"]

# A turn begins when this share of the last jobs, from among this many and at
# most this old, is of one pool. In a turn, 0.97 of all jobs are of its queue.
START_SHARE = 0.75
START_MIN_JOBS = 4
START_MAX_JOBS = 8
START_SECONDS = 1.5
# Without this share of its pool in the jobs of a turn, arrivals show no turns.
MIN_SHARE = 0.75
# Shorter turns are not turns: no VM could arrive before they are over.
MIN_TURN_SECONDS = 1.5
# Without arrivals for this long, the order begins anew: the day is over.
PAUSE_SECONDS = 10.0
# Lengths of turns may differ by this share of their median.
MAX_LENGTH_DEVIATION = 0.4
# A rate is measured over no less than this, as the first jobs of a turn may
# arrive together.
MIN_RATE_SECONDS = 0.3
# How many standard errors are left out of the rate of a turn that has just
# begun. In a trial on the model, 9 of 54 turns had less than nine tenths of
# their VMs in time with 1, and 4 with 0.4.
STANDARD_ERRORS = 0.4
# After this part of a turn its own rate is better known than the pool's rate
# in its turn before.
PRIOR_SECONDS = 1.5
# The last turns that must be those of the cycle before. One alone agrees by
# chance once in as many cases as there are pools.
MATCHING_TURNS = 2
# Turns kept; several cycles of any number of pools that share a fleet.
MAX_TURNS = 64


@dataclass(frozen=True)
class Turn:
    """Consecutive jobs that are nearly all of one pool.

    - `began_at`, `ended_at`: monotonic times; a turn ends as the next begins.
    - `work`: of the pool's jobs, in millicore-seconds.
    - `strays`: jobs of other pools.
    - `whole`: its start was observed.
    """

    pool: str
    began_at: float
    ended_at: float = 0.0
    work: float = 0.0
    jobs: int = 0
    strays: int = 0
    whole: bool = True

    @property
    def seconds(self) -> float:
        """Return the length of a turn that has ended."""
        return self.ended_at - self.began_at

    @property
    def is_clear(self) -> bool:
        """Return whether it was a turn, and not a short run of jobs."""
        total = self.jobs + self.strays
        is_long_enough = not self.whole or self.seconds >= MIN_TURN_SECONDS
        return is_long_enough and self.jobs >= MIN_SHARE * total


@dataclass(frozen=True)
class TurnOutlook:
    """The present turn and the predicted one; amounts are in millicores.

    - `pool`: pool whose turn it is; empty if there is none.
    - `rate`: its expected demand for the rest of the turn.
    - `fallen_pool`: pool whose turn was before; empty if unknown.
    - `rises_at`: predicted monotonic time of the next turn, which ends the
      present one; infinite if unknown.
    - `next_pool`: pool predicted to rise then; empty if unknown.
    - `next_rate`: its expected demand.
    - `largest_jobs`: demand of the largest recent job of each pool.
    - `method`: `order` if the pool's earlier turn is known, `elimination` if
      all other pools have had their turn, otherwise empty.
    """

    pool: str = ""
    rate: int = 0
    fallen_pool: str = ""
    rises_at: float = math.inf
    next_pool: str = ""
    next_rate: int = 0
    method: str = ""
    largest_jobs: Mapping[str, int] = field(default_factory=dict)

    def is_ending(self, pool: str, now: float, lead: float) -> bool:
        """Return whether a pool's turn is over `lead` seconds from now."""
        return pool == self.fallen_pool or (
            pool == self.pool and now + lead >= self.rises_at
        )

    def predict_demand(self, pool: str, now: float, lead: float) -> int:
        """Return what a pool will ask for `lead` seconds from now.

        0 if nothing is predicted for it.
        """
        has_risen = now + lead >= self.rises_at
        if pool == self.pool and not has_risen:
            return self.rate
        return self.next_rate if pool == self.next_pool and has_risen else 0


NO_TURNS = TurnOutlook()


class TurnTracker:
    """Finds the turns in the arrivals of one leader's tracker.

    The arrivals of restored jobs carry their accepted times, so a new leader
    finds the same turns as far back as its arrivals reach.
    """

    def __init__(self) -> None:
        self._turns: list[Turn] = []  # the last one is in progress
        self._recent: deque[Arrival] = deque(maxlen=START_MAX_JOBS)
        self._last: Arrival | None = None
        self._largest_jobs: dict[str, int] = {}

    @property
    def turns(self) -> Sequence[Turn]:
        """Return the turns found so far; the last one is in progress."""
        return self._turns

    def observe(self, arrivals: Sequence[Arrival]) -> None:
        """Read the arrivals that are newer than those read before."""
        fresh: list[Arrival] = []
        for arrival in reversed(arrivals):
            if self._last is not None and (
                arrival is self._last or arrival.at < self._last.at
            ):
                break
            fresh.append(arrival)
        for arrival in reversed(fresh):
            self._last = arrival
            # Lasting jobs and those with set times count as no work.
            if arrival.work > 0:
                self._add(arrival)
                self._record_size(arrival)

    def _record_size(self, arrival: Arrival) -> None:
        seconds = max(arrival.path_seconds, MIN_RATE_SECONDS)
        millicores = round(arrival.work / seconds)
        largest = self._largest_jobs.get(arrival.service, 0)
        self._largest_jobs[arrival.service] = max(largest, millicores)

    def _add(self, arrival: Arrival) -> None:
        recent = self._recent
        if recent and arrival.at - recent[-1].at > PAUSE_SECONDS:
            self._turns.clear()
            recent.clear()
        recent.append(arrival)
        while arrival.at - recent[0].at > START_SECONDS:
            recent.popleft()
        turns = self._turns
        if turns and turns[-1].pool == arrival.service:
            turns[-1] = _add_job(turns[-1], arrival)
            return
        own = [item for item in recent if item.service == arrival.service]
        if len(own) >= START_MIN_JOBS and len(own) >= START_SHARE * len(
            recent
        ):
            self._begin_turn(own)
        elif turns:
            turns[-1] = replace(turns[-1], strays=turns[-1].strays + 1)

    def _begin_turn(self, jobs: list[Arrival]) -> None:
        turns = self._turns
        began_at = jobs[0].at
        if turns:
            # The first jobs were counted as strays, except the latest one.
            strays = max(0, turns[-1].strays - (len(jobs) - 1))
            ended = replace(turns[-1], strays=strays, ended_at=began_at)
            turns[-1] = ended
            if not ended.is_clear:
                # What comes before and after is no sequence of turns.
                turns.clear()
        turn = Turn(jobs[0].service, began_at, whole=bool(turns))
        for job in jobs:
            turn = _add_job(turn, job)
        turns.append(turn)
        del turns[:-MAX_TURNS]

    def predict(
        self, pools: frozenset[str], now: float, grace_seconds: float
    ) -> TurnOutlook:
        """Return the present turn and the predicted next one.

        `pools` are those that have queues. A prediction that is overdue by
        `grace_seconds` is withdrawn.
        """
        if not self._turns:
            return NO_TURNS
        present = self._turns[-1]
        total = present.jobs + present.strays
        last_at = self._last.at if self._last is not None else now
        if (
            present.jobs < MIN_SHARE * total
            or now - last_at > PAUSE_SECONDS
            or present.pool not in pools
        ):
            return NO_TURNS
        fallen = self._turns[-2].pool if len(self._turns) > 1 else ""
        outlook = TurnOutlook(
            present.pool,
            self._estimate_rate(now),
            fallen,
            largest_jobs=MappingProxyType(dict(self._largest_jobs)),
        )
        seconds = self._predict_length()
        rises_at = present.began_at + seconds
        if now > rises_at + grace_seconds or math.isinf(seconds):
            return outlook
        outlook = replace(outlook, rises_at=rises_at)
        next_pool = self._predict_pool(pools)
        if not next_pool:
            return outlook
        earlier = self._find_last_turn(next_pool)
        if earlier is not None:
            return replace(
                outlook,
                next_pool=next_pool,
                next_rate=round(_measure_rate(earlier)),
                method="order",
            )
        # The pool has had no turn yet; those of the others tell its size.
        rates = [_measure_rate(turn) for turn in self._turns[:-1]]
        return replace(
            outlook,
            next_pool=next_pool,
            next_rate=round(sum(rates) / len(rates)),
            method="elimination",
        )

    def _predict_length(self) -> float:
        """Return the expected length of the present turn, in seconds."""
        ended = self._turns[:-1]
        lengths = [turn.seconds for turn in ended if turn.whole]
        if not lengths and ended and ended[0].seconds >= MIN_TURN_SECONDS:
            # Its start was not observed, so it may have been longer.
            return ended[0].seconds
        if not lengths:
            return math.inf
        expected = median(lengths)
        deviation = max(abs(length - expected) for length in lengths[-4:])
        if deviation > MAX_LENGTH_DEVIATION * expected:
            return math.inf
        return expected

    def _predict_pool(self, pools: frozenset[str]) -> str:
        """Return the pool that comes next; empty if that is unknown.

        A cycle has a turn of each pool. All pools but one have had theirs
        when the last one is due, and from then on the order repeats. The
        last turns must agree with that where an earlier cycle is known.
        """
        cycle = len(pools)
        sequence = [turn.pool for turn in self._turns]
        last = sequence[-(cycle - 1) :] if cycle > 1 else []
        if len(last) < cycle - 1 or len(set(last)) < len(last):
            return ""
        first = max(cycle, len(sequence) - MATCHING_TURNS)
        for index in range(first, len(sequence)):
            if sequence[index] != sequence[index - cycle]:
                return ""
        if len(set(sequence[-cycle:])) < min(cycle, len(sequence)):
            return ""
        left = pools.difference(last)
        return next(iter(left)) if len(left) == 1 else ""

    def _find_last_turn(self, pool: str) -> Turn | None:
        ended = reversed(self._turns[:-1])
        return next((turn for turn in ended if turn.pool == pool), None)

    def _estimate_rate(self, now: float) -> int:
        """Return the demand of the present turn.

        Few jobs tell little, as their sizes differ: of what the first ones
        show, a part of the standard error is left out.
        """
        present = self._turns[-1]
        elapsed = max(now - present.began_at, MIN_RATE_SECONDS)
        error = STANDARD_ERRORS / math.sqrt(present.jobs)
        rate = present.work / elapsed
        if elapsed >= PRIOR_SECONDS:
            return round(rate)
        earlier = self._find_last_turn(present.pool)
        known = 0.0 if earlier is None else _measure_rate(earlier)
        return round(max(rate * (1 - error), known))


def _add_job(turn: Turn, arrival: Arrival) -> Turn:
    return replace(turn, jobs=turn.jobs + 1, work=turn.work + arrival.work)


def _measure_rate(turn: Turn) -> float:
    """Return the mean demand of a turn that has ended, in millicores."""
    return turn.work / max(turn.seconds, MIN_TURN_SECONDS)
