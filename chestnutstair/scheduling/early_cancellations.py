"""Cancellations that a leader reads before the jobs that they cancel."""

import logging
from collections import OrderedDict

__all__ = ["EarlyCancellations"]

logger = logging.getLogger(__name__)

# Far more jobs than are cancelled while a leader does not hear from the store.
MAX_JOBS = 10_000


class EarlyCancellations:
    """Cancellations that wait for the submissions of their jobs.

    The messages of other nodes are not ordered, and a message may be lost. A
    cancellation may therefore arrive while its job is not known yet. Keeps
    the latest MAX_JOBS, as the job may have been removed for its age.
    """

    def __init__(self) -> None:
        self._jobs: OrderedDict[str, None] = OrderedDict()

    def add(self, job: str) -> None:
        """Keep the cancellation of a job that is not known yet."""
        if job not in self._jobs:
            logger.info("cancellation read before its job", extra={"job": job})
        self._jobs[job] = None
        self._jobs.move_to_end(job)
        if len(self._jobs) > MAX_JOBS:
            dropped, _ = self._jobs.popitem(last=False)
            logger.warning(
                "early cancellation dropped", extra={"job": dropped}
            )

    def take(self, job: str) -> bool:
        """Return whether a job has been cancelled; forget it."""
        if job not in self._jobs:
            return False
        del self._jobs[job]
        return True
