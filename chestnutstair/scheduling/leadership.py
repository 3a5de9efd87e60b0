"""The time during which a node leads, shared by all that works in it."""

import logging
import threading

from chestnutstair.scheduling.term import Term

__all__ = ["Leadership"]

logger = logging.getLogger(__name__)


class Leadership:
    """A term that may end at any moment, and the planner's alarm."""

    def __init__(self, term: Term) -> None:
        self.term = term
        self.ended = threading.Event()
        self.planner_wakeup = threading.Event()

    @property
    def epoch(self) -> int:
        """Return the number of the term, which is also the fence."""
        return self.term.epoch

    @property
    def has_ended(self) -> bool:
        """Tell whether the term is over."""
        return self.ended.is_set()

    def wake_planner(self) -> None:
        """Plan soon."""
        self.planner_wakeup.set()

    def end(self) -> None:
        """Let everything stop that works in this term."""
        self.ended.set()
        self.planner_wakeup.set()

    def mark_lost(self, reason: str) -> None:
        """End the term because another leader has taken over."""
        if not self.has_ended:
            logger.warning(
                "term lost", extra={"epoch": self.epoch, "reason": reason}
            )
        self.end()
