"""Filter of registry rows for one shard."""

import logging

from chestnutstair.scheduling.metrics import MALFORMED_ENTRIES
from chestnutstair.scheduling.ports import WireDecoder, WorkerEntry
from chestnutstair.scheduling.shards.shard import Shard

__all__ = ["RegistryFilter"]

logger = logging.getLogger(__name__)


class RegistryFilter:
    """Decodes the registry entries of one shard's workers.

    Remembers the workers of other shards, so that their later rows are not
    decoded: with 16 shards these are fifteen of sixteen rows. A worker is
    one lifetime of a VM and so never changes its shard: an entry that says
    so is wrong. The owner must lock access.
    """

    def __init__(self, shard: Shard, decoder: WireDecoder) -> None:
        self._shard = shard
        self._decoder = decoder
        self._foreign: set[str] = set()
        # Why the last entry of a worker was not usable, by name.
        self._problems: dict[str, str] = {}
        self._own: set[str] = set()

    def is_foreign(self, name: str) -> bool:
        """Return whether a worker is known to belong to another shard."""
        return name in self._foreign

    def forget(self, name: str) -> None:
        """Forget a worker whose entry was removed."""
        self._foreign.discard(name)
        self._problems.pop(name, None)
        self._own.discard(name)

    def retain(self, names: set[str]) -> None:
        """Forget the workers that are not named."""
        self._foreign &= names
        for name in self._problems.keys() - names:
            del self._problems[name]
        self._own &= names

    def read_worker(self, name: str, value: bytes) -> WorkerEntry | None:
        """Return a worker of this shard.

        None for an entry that is not usable and for other shards' workers.
        """
        if name in self._foreign:
            return None
        entry = self._decoder.read_worker(name, value)
        if entry is None:
            self._record_problem(name, value)
            return None
        if self._problems:
            self._problems.pop(name, None)
        if self._shard.is_only:
            return entry
        if self._shard.owns_worker(entry):
            self._own.add(name)
            return entry
        if name not in self._own:
            self._foreign.add(name)
        return None

    def _record_problem(self, name: str, value: bytes) -> None:
        """Count an entry that is not usable; log it unless it was before."""
        MALFORMED_ENTRIES.labels("worker").inc()
        problem = self._decoder.explain_worker(name, value)
        if self._problems.get(name) != problem:
            self._problems[name] = problem
            logger.warning(
                "registry entry is not usable",
                extra={"worker": name, "reason": problem},
            )
