"""A thread that repeats an action until it is stopped."""

import logging
import random
import threading
from collections.abc import Callable

__all__ = ["Loop"]

logger = logging.getLogger(__name__)

JITTER_SHARE = 0.2  # of the interval, either way


class Loop:
    """Calls the action at intervals with jitter, and on every wake-up.

    The action returns the seconds until its next call.
    """

    def __init__(self, name: str, action: Callable[[], float]) -> None:
        self._name = name
        self._action = action
        self._woken = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Start calling the action."""
        self._thread.start()

    def wake(self) -> None:
        """Call the action without waiting for the interval to pass."""
        self._woken.set()

    def stop(self) -> None:
        """Stop calling the action; wait for a call in progress."""
        self._stopped.set()
        self._woken.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        seconds = 0.0
        while not self._stopped.is_set():
            jitter = random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
            self._woken.wait(seconds * jitter)
            self._woken.clear()
            if not self._stopped.is_set():
                seconds = self._call()

    def _call(self) -> float:
        try:
            return self._action()
        except Exception:
            # Keep looping, or the work would be left undone after an error.
            logger.exception("loop %s failed", self._name)
            return 1.0
