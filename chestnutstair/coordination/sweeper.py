"""Deletes expired claims; runs on the daemon with the sweep duty."""

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
    """How many rows of claims one round reads.

    - `pages`: the most pages of rows that one round reads.
    - `page_rows`: rows in a page.
    """

    __pydantic_config__ = STRICT

    pages: int = 10
    page_rows: int = 200


class ClaimSweeper:
    """Scans the table of claims and deletes expired ones.

    A round reads a few pages and continues where the last one ended,
    starting again at the end of the table.
    """

    def __init__(
        self, claims: ClaimStore, duties: DutyHolder, settings: SweepSettings
    ) -> None:
        self._claims = claims
        self._duties = duties
        self._settings = settings
        self._next_key = ""

    def run_once(self, deadline: Deadline) -> None:
        """Delete expired claims on up to `pages` pages, if the duty is held.

        The round ends early at the end of the table or on a failure.
        """
        for _ in range(self._settings.pages):
            if self._duties.find_duty(SWEEP_DUTY) is None:
                return
            rows = self._settings.page_rows
            match self._claims.sweep(self._next_key, rows, deadline):
                case Err(failure):
                    logger.info(
                        "sweep of expired claims failed: %s",
                        describe_failure(failure),
                    )
                    return
                case Ok(next_key):
                    self._next_key = next_key
            if not self._next_key:
                return
