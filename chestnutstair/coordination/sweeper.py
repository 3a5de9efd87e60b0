"""Deletes expired claims, on the one daemon that has the duty."""

import logging
from dataclasses import dataclass

from result import Err, Ok

from chestnutstair.coordination.claims import ClaimStore
from chestnutstair.coordination.duty import DutyHolder
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["SWEEP_DUTY", "ClaimSweeper", "SweepSettings"]

logger = logging.getLogger(__name__)

SWEEP_DUTY = "claims"


@dataclass(frozen=True)
class SweepSettings:
    """How much one round of deletion does."""

    __pydantic_config__ = STRICT

    pages: int = 10
    page_rows: int = 200


class ClaimSweeper:
    """Goes through all claims, some pages a round, and starts again."""

    def __init__(
        self, claims: ClaimStore, duties: DutyHolder, settings: SweepSettings
    ) -> None:
        self._claims = claims
        self._duties = duties
        self._settings = settings
        self._next_key = ""

    def run_once(self, deadline: Deadline) -> None:
        """Sweep some pages if this daemon has the duty."""
        for _ in range(self._settings.pages):
            if self._duties.find_duty(SWEEP_DUTY) is None:
                return
            rows = self._settings.page_rows
            match self._claims.sweep(self._next_key, rows, deadline):
                case Err(failure):
                    logger.info("sweep: %s", describe_failure(failure))
                    return
                case Ok(next_key):
                    self._next_key = next_key
            if not self._next_key:
                return
