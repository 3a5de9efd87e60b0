"""Names of the tables and partitions that hold the rows of a shard."""

from dataclasses import dataclass

from chestnutstair.scheduling.ports import RowKey

__all__ = ["FIRST_NAMES", "PROGRESS_TABLE", "ShardNames"]

INTAKE_TABLE = "intake"
PARTITION = "scheduler"
TERM_TABLE = "term"
TERM_ROW = "leader"
PROGRESS_TABLE = "progress"


@dataclass(frozen=True)
class ShardNames:
    """The tables and partitions of one shard.

    Shard 0 has the names of a deployment with one shard, so that such a
    deployment needs no migration. The other shards have intake tables of
    their own, because a change feed covers all partitions of its table.
    """

    shard: int = 0

    def _append_number(self, name: str) -> str:
        return f"{name}-{self.shard}" if self.shard else name

    @property
    def intake_table(self) -> str:
        """The table of the shard's submissions and cancellations."""
        return self._append_number(INTAKE_TABLE)

    @property
    def partition(self) -> str:
        """The partition of all rows that the shard's leader writes."""
        return self._append_number(PARTITION)

    @property
    def term_key(self) -> RowKey:
        """The key of the row of the leader's term."""
        return RowKey(TERM_TABLE, self.partition, TERM_ROW)

    def build_progress_key(self, job: str) -> RowKey:
        """Return the key of the row with a job's progress."""
        return RowKey(PROGRESS_TABLE, self.partition, job)


# The names of shard 0, which is the only one of most deployments.
FIRST_NAMES = ShardNames()
