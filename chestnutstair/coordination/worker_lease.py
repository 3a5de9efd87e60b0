"""Tracks how long an unreachable worker may still be running tasks."""

from dataclasses import dataclass

from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["LeaseSettings", "WorkerLeases"]


@dataclass(frozen=True)
class LeaseSettings:
    """The leases under which workers run tasks.

    - `lease_seconds`: the length of a lease; a worker stops a task whose
      lease is not renewed in time.
    - `rate_skew`: the largest relative error of a worker's clock rate
      compared to the daemon's.
    - `delivery_seconds`: how long after a call has ended its request may
      still reach the worker.
    - `grace_seconds`: how long a daemon keeps renewing leases after its
      duty has expired, doing nothing else, so that tasks survive an
      outage of the table.
    - `start_hold_seconds`: how long a start that was sent by a former
      holder of the duty may stay undelivered.
    """

    __pydantic_config__ = STRICT

    lease_seconds: float = 15.0
    rate_skew: float = 0.01
    delivery_seconds: float = 2.0
    grace_seconds: float = 300.0
    start_hold_seconds: float = 600.0


class WorkerLeases:
    """Tracks when each worker's leases have expired at the latest.

    A lease is sent as a duration, which the worker counts from the arrival
    of the call. So each call that extends leases sets the worker's deadline
    to the end of the call plus delivery time, lease and clock skew. A new
    holder of the duty does not know the former holder's calls. It allows
    for renewals during the grace period and for one call that was sent
    after the former holder was paused.
    """

    def __init__(self, clock: Clock, settings: LeaseSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._deadlines: dict[str, Deadline] = {}
        self._term_started_at = clock.read_monotonic()

    @property
    def lease_seconds(self) -> float:
        """The length of the leases that are sent to workers."""
        return self._settings.lease_seconds

    def _measure_lease(self) -> float:
        lease = self._settings.lease_seconds
        return lease * (1 + self._settings.rate_skew)

    def record_extension(self, worker: str) -> None:
        """Record that a call that may have extended leases has ended."""
        seconds = self._settings.delivery_seconds + self._measure_lease()
        self._deadlines[worker] = Deadline.after(self._clock, seconds)

    def find_own_expiry(self, worker: str) -> Deadline:
        """Return when leases of tasks started in this term have expired."""
        return self._deadlines.get(worker, Deadline(self._term_started_at))

    def find_inherited_expiry(self, worker: str) -> Deadline:
        """Return when leases of tasks of former holders have expired."""
        margin = self._settings.delivery_seconds + 2 * self._measure_lease()
        seconds = self._settings.grace_seconds + margin
        return max(
            self.find_own_expiry(worker),
            Deadline(self._term_started_at + seconds),
        )

    def find_undelivered_expiry(self, worker: str) -> Deadline:
        """Return when a start by a former holder can no longer arrive."""
        inherited = self.find_inherited_expiry(worker)
        return Deadline(inherited.at + self._settings.start_hold_seconds)
