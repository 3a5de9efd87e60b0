"""State shared by all components that run while this node leads."""

import logging
import threading

from chestnutstair.scheduling.term import Term

__all__ = ["Leadership"]

logger = logging.getLogger(__name__)


class Leadership:
    """The term, the signal that it has ended, and the planner's wakeup.

    The term may end at any time, on any thread.
    """

    def __init__(self, term: Term) -> None:
        self.term = term
        self.ended = threading.Event()
        self.planner_wakeup = threading.Event()

    @property
    def epoch(self) -> int:
        """The number of the term, which is also the fencing token."""
        return self.term.epoch

    @property
    def has_ended(self) -> bool:
        """Whether the term has ended."""
        return self.ended.is_set()

    def wake_planner(self) -> None:
        """Make the planner run as soon as it may."""
        if not self.planner_wakeup.is_set():
            self.planner_wakeup.set()

    def end(self) -> None:
        """Signal every component of this term to stop."""
        self.ended.set()
        self.planner_wakeup.set()

    def mark_fenced(self) -> None:
        """End the term because a worker has seen a newer fencing token."""
        self.mark_lost("a worker has seen a newer fencing token")

    def mark_lost(self, reason: str) -> None:
        """Log that the term was lost, for the given reason, and end it."""
        if not self.has_ended:
            logger.warning(
                "term lost", extra={"epoch": self.epoch, "reason": reason}
            )
        self.end()
