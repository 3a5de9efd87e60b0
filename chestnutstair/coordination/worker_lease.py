"""Until when a worker may still run tasks that it can not report."""

from dataclasses import dataclass

from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["LeaseSettings", "WorkerLeases"]


@dataclass(frozen=True)
class LeaseSettings:
    """How long the leases of tasks live.

    `rate_skew` is the largest relative error of a worker's clock rate
    against ours. `delivery_seconds` is how long after its end a call may
    still reach the worker. A daemon goes on renewing leases, and nothing
    else, for `grace_seconds` after its duty has lapsed, so that tasks
    outlive an outage of the table. `start_hold_seconds` is how long a
    start by a former holder of the duty may stay undelivered.
    """

    __pydantic_config__ = STRICT

    lease_seconds: float = 15.0
    rate_skew: float = 0.01
    delivery_seconds: float = 2.0
    grace_seconds: float = 300.0
    start_hold_seconds: float = 600.0


class WorkerLeases:
    """The latest moment at which each worker's leases have run out.

    Durations are told to workers, which count them from the arrival of a
    call; so each call that extends leases moves the worker's deadline to
    its own end plus delivery time, lease and clock skew. A new holder of
    the duty does not know the calls of the former one: it allows for
    renewals within the grace time and for one call sent after a pause.
    """

    def __init__(self, clock: Clock, settings: LeaseSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._deadlines: dict[str, Deadline] = {}
        self._term_started_at = clock.read_monotonic()

    @property
    def lease_seconds(self) -> float:
        """The lease that workers are told."""
        return self._settings.lease_seconds

    def _measure_lease(self) -> float:
        lease = self._settings.lease_seconds
        return lease * (1 + self._settings.rate_skew)

    def record_extension(self, worker: str) -> None:
        """Note the end of a call that may have extended leases."""
        seconds = self._settings.delivery_seconds + self._measure_lease()
        self._deadlines[worker] = Deadline.after(self._clock, seconds)

    def find_own_expiry(self, worker: str) -> Deadline:
        """Return when tasks that this daemon started have ended."""
        return self._deadlines.get(worker, Deadline(self._term_started_at))

    def find_inherited_expiry(self, worker: str) -> Deadline:
        """Return when tasks that a former holder started have ended."""
        margin = self._settings.delivery_seconds + 2 * self._measure_lease()
        seconds = self._settings.grace_seconds + margin
        return max(
            self.find_own_expiry(worker), Deadline(self._term_started_at + seconds)
        )

    def find_undelivered_expiry(self, worker: str) -> Deadline:
        """Return when a former holder's start can not arrive any more."""
        inherited = self.find_inherited_expiry(worker)
        return Deadline(inherited.at + self._settings.start_hold_seconds)
