"""What a target ran, refused and cut."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

__all__ = ["RunLog", "RunOutcome", "TargetLog", "TargetRun"]


class RunOutcome(StrEnum):
    """How the run of a request ended."""

    RUNNING = "running"
    DONE = "done"
    CUT = "cut"  # by a reboot


@dataclass(frozen=True)
class TargetRun:
    """One run of a request; times are wall-clock epoch seconds."""

    request_id: str
    attempt: str
    started_at: float
    ended_at: float | None
    boot: int
    leaving: bool
    outcome: RunOutcome


@dataclass(frozen=True)
class TargetLog:
    """Every run, and counts of what was refused or cut."""

    runs: tuple[TargetRun, ...]
    overshoots: int
    refused_leaving: int
    closed_connections: int
    cut: int


class RunLog:
    """Collects runs and counts; its user holds a lock around each call."""

    def __init__(self) -> None:
        self._runs: list[TargetRun] = []
        self.overshoots = 0
        self.refused_leaving = 0

    def begin(
        self, headers: Mapping[str, str], boot: int, leaving: bool
    ) -> int:
        """Note the start of a run and return its index."""
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
        """Note the end of a run."""
        run = self._runs[index]
        self._runs[index] = replace(run, ended_at=time.time(), outcome=outcome)

    def build(self, closed_connections: int) -> TargetLog:
        """Return everything noted so far."""
        return TargetLog(
            tuple(self._runs),
            self.overshoots,
            self.refused_leaving,
            closed_connections,
            sum(run.outcome is RunOutcome.CUT for run in self._runs),
        )
