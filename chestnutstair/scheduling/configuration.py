"""The operator's configuration: which queues there are and who serves."""

from dataclasses import dataclass, field
from functools import cached_property

__all__ = ["FleetConfiguration", "MaintenanceWave", "Queue", "Service"]


@dataclass(frozen=True)
class Queue:
    """A queue of jobs, chosen by host and the longest path prefix.

    `priority` 0 is the most urgent. A job may take `stretch` times its
    longest chain of work, and `latency_objective_ms` more. Where
    `advice_seconds` is not 0, the policy service tells which workers may
    run a step, with tickets that are valid for that long.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_objective_ms: int = 0
    advice_seconds: float = 0.0


@dataclass(frozen=True)
class Service:
    """A pool of workers; `spare` VMs are off until they move elsewhere."""

    name: str
    guards_capacity: bool = True
    spare: bool = False


@dataclass(frozen=True)
class FleetConfiguration:
    """One whole version; a higher version replaces a lower one."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path, if any."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda q: len(q.prefix), default=None)

    def find_queue_by_name(self, name: str) -> Queue | None:
        """Return the queue of that name, if any."""
        return self._queues_by_name.get(name)

    @cached_property
    def _queues_by_name(self) -> dict[str, Queue]:
        return {queue.name: queue for queue in reversed(self.queues)}


@dataclass(frozen=True)
class MaintenanceWave:
    """VMs that need maintenance within `seconds`, `cap` at once at most."""

    number: int
    vms: tuple[str, ...]
    seconds: float
    cap: int
