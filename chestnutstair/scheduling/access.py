"""Which jobs a caller may see and cancel."""

import json
import threading
from collections import OrderedDict
from dataclasses import dataclass

from chestnutstair.scheduling.configuration import FleetConfiguration, Queue
from chestnutstair.scheduling.progress import Submission

__all__ = ["Access", "JobOwner", "OwnerCache", "build_owner", "read_owner"]

# About 1 MB of owners.
CACHED_OWNERS = 4096


@dataclass(frozen=True)
class JobOwner:
    """What decides who may see a job, unchanged for the job's whole life.

    - `organisation`: empty if the job has none.
    - `queue`: name of the job's queue.
    - `public`: whether the queue was public when the job was accepted.
    """

    organisation: str
    queue: str
    public: bool


def build_owner(submission: Submission) -> JobOwner:
    """Return the owner of a job."""
    queue = submission.queue
    return JobOwner(submission.organisation, queue.name, queue.public)


def read_owner(value: bytes) -> JobOwner | None:
    """Return the owner in an encoded submission, None if it is malformed."""
    try:
        fields = json.loads(value)
        queue = fields["queue"]
        return JobOwner(
            str(fields.get("organisation", "")),
            str(queue["name"]),
            queue.get("public") is True,
        )
    except (
        AttributeError,
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return None


@dataclass(frozen=True)
class Access:
    """What a caller may see by the configuration that admitted its request.

    - `queue`: the queue that the caller uses.
    - `organisations`: those that the caller's key acts for; none if the queue
      is public or callers need no keys.
    """

    configuration: FleetConfiguration
    queue: Queue
    organisations: tuple[str, ...] = ()

    @property
    def is_restricted(self) -> bool:
        """Whether there may be jobs that the caller may not see."""
        return self.configuration.organisations is not None

    def may_see(self, owner: JobOwner) -> bool:
        """Return whether the caller may see and cancel a job.

        A job whose organisation has left the configuration, or that never had
        one, is visible to whoever may use the job's queue.
        """
        organisations = self.configuration.organisations
        if organisations is None:
            return True
        if owner.organisation in organisations:
            return owner.organisation in self.organisations
        if not self.queue.public:
            return True  # every key opens every queue
        if owner.queue == self.queue.name:
            return True
        queue = self.configuration.find_queue_by_name(owner.queue)
        return owner.public if queue is None else queue.public


class OwnerCache:
    """The owners of the jobs that were last asked about, which never change.

    It spares the leader a second call for each query about a job.
    """

    def __init__(self, size: int = CACHED_OWNERS) -> None:
        self._size = size
        self._lock = threading.Lock()
        self._owners: OrderedDict[str, JobOwner] = OrderedDict()

    def find(self, job: str) -> JobOwner | None:
        """Return the job's owner if it is known."""
        with self._lock:
            owner = self._owners.get(job)
            if owner is not None:
                self._owners.move_to_end(job)
            return owner

    def add(self, job: str, owner: JobOwner) -> None:
        """Keep a job's owner."""
        with self._lock:
            self._owners[job] = owner
            self._owners.move_to_end(job)
            if len(self._owners) > self._size:
                self._owners.popitem(last=False)
