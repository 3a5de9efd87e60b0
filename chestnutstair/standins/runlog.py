"""The execution log of a target."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

__all__ = ["RunLog", "RunOutcome", "TargetLog", "TargetRun"]


class RunOutcome(StrEnum):
    """The state of one run of a request."""

    RUNNING = "running"
    DONE = "done"
    CUT = "cut"  # interrupted by a reboot or the stop of the target


@dataclass(frozen=True)
class TargetRun:
    """One run of a request; times are Unix timestamps in seconds."""

    request_id: str
    attempt: str
    started_at: float
    ended_at: float | None
    boot: int  # boot number of the target during the run
    leaving: bool  # whether the target was leaving when the run began
    outcome: RunOutcome


@dataclass(frozen=True)
class TargetLog:
    """All runs since the start, and counts of refusals and interruptions."""

    runs: tuple[TargetRun, ...]
    overshoots: int  # requests refused because no slot was free
    refused_leaving: int  # requests refused after the leaving grace period
    closed_connections: int  # beyond the connection limit
    cut: int  # interrupted runs


class RunLog:
    """Collects runs and counts; callers must hold a lock around each call."""

    def __init__(self) -> None:
        self._runs: list[TargetRun] = []
        self.overshoots = 0
        self.refused_leaving = 0

    def begin(
        self, headers: Mapping[str, str], boot: int, leaving: bool
    ) -> int:
        """Record the start of a run and return its index."""
        self._runs.append(
            TargetRun(
                headers.get("x-request-id", ""),
                headers.get("x-attempt", ""),
                time.time(),
                None,
                boot,
                leaving,
                RunOutcome.RUNNING,
            )
        )
        return len(self._runs) - 1

    def end(self, index: int, outcome: RunOutcome) -> None:
        """Record the end of a run."""
        run = self._runs[index]
        self._runs[index] = replace(run, ended_at=time.time(), outcome=outcome)

    def build(self, closed_connections: int) -> TargetLog:
        """Return a copy of the log so far."""
        return TargetLog(
            tuple(self._runs),
            self.overshoots,
            self.refused_leaving,
            closed_connections,
            sum(run.outcome is RunOutcome.CUT for run in self._runs),
        )
