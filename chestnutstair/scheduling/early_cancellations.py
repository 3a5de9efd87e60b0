"""Cancellations that a leader reads before the jobs that they cancel."""

import logging
from collections import OrderedDict
from collections.abc import Set
from dataclasses import dataclass

from chestnutstair.scheduling.access import JobOwner
from chestnutstair.scheduling.cancellations import Cancellation
from chestnutstair.scheduling.ports import RowKey

__all__ = ["EarlyCancellations"]

logger = logging.getLogger(__name__)

# Far more than the nodes store within KEEP_SECONDS, see `CancellationLimit`.
MAX_CANCELLATIONS = 50_000
# A write of a submission without a response may be done 6 s later, and a node
# that was paused sends it when it goes on.
KEEP_SECONDS = 60.0


@dataclass(frozen=True)
class _Entry:
    cancellation: Cancellation
    expires_at: float


class EarlyCancellations:
    """Cancellations that wait for the submissions of their jobs.

    The messages of other nodes are not ordered, and a message may be lost. A
    submission may also be written after the cancellation of its job. Keeps
    the latest MAX_CANCELLATIONS until their rows are removed, which is due
    after KEEP_SECONDS. Times are monotonic seconds and passed in.
    """

    def __init__(self) -> None:
        # By row, the first to expire first.
        self._entries: OrderedDict[RowKey, _Entry] = OrderedDict()
        self._keys: dict[str, list[RowKey]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, cancellation: Cancellation, now: float) -> bool:
        """Keep a cancellation for KEEP_SECONDS from now.

        Return whether it was not kept before.
        """
        key = cancellation.key
        known = self._entries.get(key)
        if known is not None and not cancellation.version:
            cancellation = known.cancellation
        if known is None:
            self._keys.setdefault(cancellation.job, []).append(key)
        self._entries[key] = _Entry(cancellation, now + KEEP_SECONDS)
        self._entries.move_to_end(key)
        if len(self._entries) > MAX_CANCELLATIONS:
            oldest = next(iter(self._entries.values())).cancellation
            self.remove(oldest.key)
            logger.warning(
                "early cancellation dropped", extra={"job": oldest.job}
            )
        return known is None

    def take(self, job: str, owner: JobOwner) -> bool:
        """Return whether a job of the owner has been cancelled.

        Forgets a cancellation without a scope, whose row is removed with the
        job.
        """
        is_cancelled = False
        for key in list(self._keys.get(job, ())):
            cancellation = self._entries[key].cancellation
            if cancellation.scope is None:
                self.remove(key)
                is_cancelled = True
            elif cancellation.scope.covers(owner):
                is_cancelled = True
        return is_cancelled

    def list_expired(self, now: float, count: int) -> list[Cancellation]:
        """Return up to `count` cancellations that have expired."""
        expired: list[Cancellation] = []
        for entry in self._entries.values():
            if entry.expires_at > now or len(expired) >= count:
                break
            expired.append(entry.cancellation)
        return expired

    def retain(self, keys: Set[RowKey], version: int) -> None:
        """Forget cancellations whose rows a read of the table did not have.

        Rows that are newer than the version of the read are kept.
        """
        for key, entry in list(self._entries.items()):
            if 0 < entry.cancellation.version <= version and key not in keys:
                self.remove(key)

    def remove(self, key: RowKey) -> None:
        """Forget a cancellation whose row has been removed."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        job = entry.cancellation.job
        self._keys[job].remove(key)
        if not self._keys[job]:
            del self._keys[job]
