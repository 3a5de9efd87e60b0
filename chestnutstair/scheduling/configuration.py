"""The operator's configuration: queues, and the pools that serve them."""

from dataclasses import dataclass, field
from functools import cached_property

from chestnutstair.scheduling.organisations import Organisation
from chestnutstair.scheduling.organisations.keys import KeyIndex

__all__ = ["FleetConfiguration", "MaintenanceWave", "Queue", "Service"]


@dataclass(frozen=True)
class Queue:
    """A queue of jobs, selected by host and longest matching path prefix."""

    name: str
    host: str
    prefix: str
    # Name of the pool (`Service`) that runs the queue's jobs.
    service: str
    # 0 is the most urgent.
    priority: int = 0
    # A job fails when one of its tasks has failed this many times.
    max_attempts: int = 1
    # The latency objective of a job is `stretch` times its estimated critical
    # path plus `latency_objective_ms`.
    stretch: float = 1.0
    latency_objective_ms: int = 0
    # Workers may run a step of the queue only with a ticket from the policy
    # service, which is valid for this long; 0 if the queue needs no tickets.
    advice_seconds: float = 0.0
    # Callers need no key; the queue's jobs belong to no organisation.
    public: bool = False

    def compute_objective_ms(self, critical_path_ms: float) -> float:
        """Return the latency objective of a job with this critical path."""
        return self.stretch * critical_path_ms + self.latency_objective_ms


@dataclass(frozen=True)
class Service:
    """A pool of workers, which the platform calls a service."""

    name: str
    # Part of the configuration, but not used by the scheduler.
    enforces_capacity: bool = True
    # VMs of a spare pool are off until they are moved to another pool.
    spare: bool = False


@dataclass(frozen=True)
class FleetConfiguration:
    """One complete configuration; a higher version replaces a lower one."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    # Organisations by name; None if the deployment has none, so that callers
    # need no keys.
    organisations: dict[str, Organisation] | None = None

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest matching prefix, if any."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda q: len(q.prefix), default=None)

    def find_queue_by_name(self, name: str) -> Queue | None:
        """Return the queue with the given name, if any."""
        return self._queues_by_name.get(name)

    @cached_property
    def key_index(self) -> KeyIndex | None:
        """The index of all keys; None if callers need no keys."""
        if self.organisations is None:
            return None
        return KeyIndex(self.organisations.values())

    @cached_property
    def _queues_by_name(self) -> dict[str, Queue]:
        # Reversed, so that of several queues with one name the first is used.
        return {queue.name: queue for queue in reversed(self.queues)}


@dataclass(frozen=True)
class MaintenanceWave:
    """VMs that need maintenance, as requested by the operator."""

    number: int
    vms: tuple[str, ...]
    # Time limit of the wave, counted from when a leader first learned of it.
    seconds: float
    # Maximum number of the wave's VMs that may be unavailable at once.
    cap: int
