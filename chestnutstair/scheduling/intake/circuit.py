"""The circuit breaker of a node's writes to the store."""

from dataclasses import dataclass

__all__ = ["Circuit", "CircuitSettings"]


@dataclass(frozen=True)
class CircuitSettings:
    """When the circuit opens and how often it probes."""

    # Consecutive writes without a response that open the circuit.
    silent_writes: int = 3
    # Pause before the first probe; it doubles with each failed probe. The
    # longest pause, a failed probe and the drain of the store's queue have
    # to fit in the 1 s in which intake must recover.
    first_pause_seconds: float = 0.1
    last_pause_seconds: float = 0.2
    # Share by which pauses vary, so that nodes don't probe together.
    pause_spread: float = 0.5


class Circuit:
    """Opens after writes without a response; closes by one probe at a time.

    `spread` values are random numbers between 0 and 1.
    """

    def __init__(self, settings: CircuitSettings = CircuitSettings()) -> None:
        self._settings = settings
        self._silent_count = 0
        self._is_open = False
        self._is_probing = False
        self._pause = settings.first_pause_seconds
        self._probe_at = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether only probes may be sent."""
        return self._is_open

    def may_send(self, now: float) -> bool:
        """Return whether a write may be sent, while open only a probe."""
        return not self._is_open or (
            not self._is_probing and now >= self._probe_at
        )

    def compute_wait(self, now: float) -> float:
        """Return the seconds until the next probe may be sent."""
        return max(0.0, self._probe_at - now) if self._is_open else 0.0

    def record_sent(self) -> bool:
        """Record that a write is sent; return whether it is a probe."""
        self._is_probing = self._is_open
        return self._is_open

    def record_answer(self, is_probe: bool) -> None:
        """Record that the store executed a write: closes the circuit."""
        self._silent_count = 0
        self._is_open = False
        self._pause = self._settings.first_pause_seconds
        self._end_probe(is_probe)

    def record_refusal(
        self, is_probe: bool, now: float, spread: float
    ) -> None:
        """Record that the store refused a write, which is a response."""
        self._silent_count = 0
        if is_probe and self._is_open:
            self._schedule_probe(now, spread)
        self._end_probe(is_probe)

    def record_silence(
        self, is_probe: bool, now: float, spread: float
    ) -> None:
        """Record a write without a response."""
        self._silent_count += 1
        if self._is_open:
            if is_probe:
                self._schedule_probe(now, spread)
        elif self._silent_count >= self._settings.silent_writes:
            self._is_open = True
            self._is_probing = False
            self._pause = self._settings.first_pause_seconds
            self._schedule_probe(now, spread)
        self._end_probe(is_probe)

    def _end_probe(self, is_probe: bool) -> None:
        if is_probe:
            self._is_probing = False

    def _schedule_probe(self, now: float, spread: float) -> None:
        factor = 1.0 + self._settings.pause_spread * (2.0 * spread - 1.0)
        self._probe_at = now + self._pause * factor
        self._pause = min(self._pause * 2, self._settings.last_pause_seconds)
