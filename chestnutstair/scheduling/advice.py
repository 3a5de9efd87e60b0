"""Cache of the policy service's answers: which workers may run a step."""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Ok

from chestnutstair.scheduling.ports import PolicyService
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["AdviceCache", "Ticket"]

logger = logging.getLogger(__name__)

# A call may name 100 workers, but takes longer for each.
MAX_CALL_WORKERS = 30
RETRY_SECONDS = 0.1
# A ticket must still be valid when the start arrives at the worker.
VALIDITY_MARGIN_SECONDS = 0.3


@dataclass(frozen=True)
class Ticket:
    """The answer for one worker; `text` is "" if it may not run the step."""

    text: str
    until: Deadline


class AdviceCache:
    """Caches tickets and requests missing ones, one call at a time."""

    def __init__(self, policy: PolicyService, clock: Clock) -> None:
        self._policy = policy
        self._clock = clock
        self._lock = threading.Lock()
        # Tickets by step, worker name and `born_ms`.
        self._tickets: dict[tuple[str, str, int], Ticket] = {}
        # Tickets to request, by step: the workers with their `born_ms`, and
        # how many seconds the tickets are valid.
        self._requested: dict[str, tuple[dict[str, int], float]] = {}
        self._request_added = threading.Event()
        self._closed = threading.Event()

    def run(self, on_answer: Callable[[], None]) -> None:
        """Make calls until closed; call `on_answer` after each."""
        while not self._closed.is_set():
            self._request_added.wait(1.0)
            self._request_added.clear()
            while self._requested and not self._closed.is_set():
                try:
                    self._ask_next()
                except Exception:
                    # If the thread ended, no task of a queue with advice
                    # would start any more in this term.
                    logger.exception("advice call raised an error")
                    self._closed.wait(RETRY_SECONDS)
                on_answer()

    def close(self) -> None:
        """Stop making calls."""
        self._closed.set()
        self._request_added.set()

    def find_tickets(
        self,
        step: str,
        workers: Iterable[tuple[str, int]],
        valid_seconds: float,
    ) -> dict[str, str]:
        """Return the workers that may run the step, with their tickets.

        `workers` are pairs of a name and the incarnation's `born_ms`. Tickets
        that are missing or expired are requested in the background.
        """
        found = {}
        missing = {}
        with self._lock:
            for name, born_ms in workers:
                ticket = self._tickets.get((step, name, born_ms))
                if ticket is None or ticket.until.has_passed(self._clock):
                    missing[name] = born_ms
                elif ticket.text:
                    found[name] = ticket.text
            if missing:
                self._requested[step] = (missing, valid_seconds)
        if missing:
            self._request_added.set()
        return found

    def drop(self, step: str, worker: str, born_ms: int) -> None:
        """Remove a ticket that a worker has refused."""
        with self._lock:
            self._tickets.pop((step, worker, born_ms), None)

    def _ask_next(self) -> None:
        with self._lock:
            step, (missing, valid_seconds) = self._requested.popitem()
        names = list(missing)[:MAX_CALL_WORKERS]
        sent = self._clock.read_monotonic()
        match self._policy.advise(step, names):
            case Ok(good):
                # Counted from before the call, so that a cached ticket is
                # dropped before it expires.
                until = Deadline(
                    sent + valid_seconds - VALIDITY_MARGIN_SECONDS
                )
                with self._lock:
                    for name in names:
                        key = (step, name, missing[name])
                        self._tickets[key] = Ticket(good.get(name, ""), until)
                logger.info(
                    "advice received",
                    extra={
                        "step": step,
                        "asked": len(names),
                        "good": len(good),
                    },
                )
            case Err(failure):
                logger.info(
                    "advice call failed",
                    extra={"step": step, "reason": describe_failure(failure)},
                )
                self._closed.wait(RETRY_SECONDS)
