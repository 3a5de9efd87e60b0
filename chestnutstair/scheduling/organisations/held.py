"""Keeps track of the work that caps hold back, from round to round."""

import logging
from collections import Counter
from dataclasses import asdict

from chestnutstair.scheduling.metrics import (
    STARTS_HELD_BACK,
    label_organisation,
)
from chestnutstair.scheduling.organisations.caps import Caps
from chestnutstair.scheduling.organisations.usage import NOTHING
from chestnutstair.scheduling.progress import Lateness
from chestnutstair.scheduling.specification import Step

__all__ = ["CapHolds", "JobRank"]

logger = logging.getLogger(__name__)

# Sort key of a job in the order of its organisation, smallest first.
JobRank = tuple[int, int, int, float, str]

# Shortest time between log lines on what an organisation's cap holds back.
LOG_INTERVAL_SECONDS = 1.0


class CapHolds:
    """What caps hold back in one planning round, and gangs that wait for room.

    While a gang waits for room below its organisation's cap, later work of
    that organisation does not start. Pools are planned one after the other, so
    a gang also holds back later work of the next round, in the pools that are
    planned before its own.
    """

    def __init__(self, caps: Caps) -> None:
        self._caps = caps
        # The first gang that waits for room, by organisation: in the last
        # round, and in this one. The rank is that of when it began to wait:
        # otherwise a gang that becomes late would wait for all work in time.
        self._earlier_gangs: dict[str, JobRank] = {}
        self._gangs: dict[str, JobRank] = {}
        self._rank: JobRank = (0, 0, 0, 0.0, "")
        # Checks that failed in this round, by organisation.
        self._held: Counter[str] = Counter()
        self._logged_at: dict[str, float] = {}
        self._now = 0.0

    def begin_round(self, now: float) -> None:
        """Begin a planning round, in monotonic time."""
        self._now = now
        self._earlier_gangs, self._gangs = self._gangs, {}
        self._held.clear()

    def begin_job(self, organisation: str, rank: JobRank) -> bool:
        """Begin a job; return whether a gang before it holds it back."""
        self._rank = rank
        for gang in (
            self._gangs.get(organisation),
            self._earlier_gangs.get(organisation),
        ):
            if gang is not None and gang[-1] != rank[-1] and gang < rank:
                self._held[organisation] += 1
                return True
        return False

    def is_closed(self, organisation: str, steps: tuple[Step, ...]) -> bool:
        """Return whether nothing of a job may start; count it as held.

        Jobs with gangs are planned nevertheless, as these hold back others.
        """
        if any(step.gang for step in steps):
            return False
        # The step does not matter: only the usage has to be below the cap.
        if self._caps.may_start(organisation, steps[0]):
            return False
        self._held[organisation] += 1
        return True

    def admits(self, organisation: str, step: Step) -> bool:
        """Return whether a task of the current job, or its gang, may start."""
        gang = self._gangs.get(organisation)
        if gang is not None and gang[-1] == self._rank[-1]:
            admitted = False  # another step of the job with the gang
        else:
            admitted = self._caps.may_start(organisation, step)
        if not admitted:
            self._held[organisation] += 1
            if step.gang:
                self._hold_for_gang(organisation, step)
        return admitted

    def count_admitted(self, organisation: str, step: Step, tasks: int) -> int:
        """Return how many of the current job's tasks may start."""
        if not self.admits(organisation, step):
            return 0
        admitted = self._caps.count_admitted(organisation, step, NOTHING)
        if admitted < tasks:
            self._held[organisation] += 1
        return min(admitted, tasks)

    def _hold_for_gang(self, organisation: str, step: Step) -> None:
        """Hold back later work, unless it makes no room or is worth more."""
        is_useless = self._rank[0] >= Lateness.USELESS
        if is_useless or not self._caps.can_admit_gang(organisation, step):
            return
        rank = self._rank
        earlier = self._earlier_gangs.get(organisation)
        if earlier is not None and earlier[-1] == rank[-1]:
            rank = min(rank, earlier)
        self._gangs[organisation] = min(
            rank, self._gangs.get(organisation, rank)
        )

    def end_round(self) -> None:
        """End a planning round: count and log what was held back."""
        for organisation, count in self._held.items():
            STARTS_HELD_BACK.labels(label_organisation(organisation)).inc(
                count
            )
            logged_at = self._logged_at.get(organisation, float("-inf"))
            if self._now - logged_at >= LOG_INTERVAL_SECONDS:
                self._logged_at[organisation] = self._now
                self._log(organisation, count)

    def _log(self, organisation: str, count: int) -> None:
        caps = self._caps
        gang = self._gangs.get(organisation)
        logger.info(
            "starts held back by the cap",
            extra={
                "organisation": organisation,
                "held": count,
                "usage": asdict(caps.usage.get_total(organisation)),
                "cap": asdict(caps.get_cap(organisation)),
                "cap_share": caps.share,
                "version": caps.version,
                "waiting_gang": gang[-1] if gang else "",
            },
        )
