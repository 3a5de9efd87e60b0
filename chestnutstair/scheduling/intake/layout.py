"""Where the rows that submit and cancel jobs are stored."""

from dataclasses import dataclass

from chestnutstair.scheduling.ports import RowKey

__all__ = [
    "DEFAULT_LAYOUT",
    "INTAKE_PARTITION",
    "INTAKE_TABLE",
    "IntakeLayout",
]

INTAKE_TABLE = "intake"
INTAKE_PARTITION = "intake"
JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
# Digits at the end of a job's ID that select its partition. The digits at
# its start select its shard, so that jobs of one shard use all partitions.
PARTITION_DIGITS = 8


@dataclass(frozen=True)
class IntakeLayout:
    """The table of the intake rows and the number of its partitions.

    The rows of a job share one partition. Partition 0 is the only one of a
    deployment without partitions, and may hold jobs from before an upgrade.
    """

    table: str = INTAKE_TABLE
    partitions: int = 1

    def list_partitions(self) -> tuple[str, ...]:
        """Return the names of all partitions; partition 0 is first."""
        return tuple(self._name(index) for index in range(self.partitions))

    @staticmethod
    def _name(index: int) -> str:
        return f"{INTAKE_PARTITION}-{index}" if index else INTAKE_PARTITION

    def find_partition(self, job: str) -> str:
        """Return the partition of a job; 0 if its ID is not hexadecimal."""
        try:
            number = int(job[-PARTITION_DIGITS:], 16)
        except ValueError:
            number = 0
        return self._name(number % self.partitions)

    def list_lookup_partitions(self, job: str) -> tuple[str, ...]:
        """Return the partitions that may hold a job, in order of reading."""
        own = self.find_partition(job)
        return (own,) if own == INTAKE_PARTITION else (own, INTAKE_PARTITION)

    def build_job_key(self, job: str, partition: str | None = None) -> RowKey:
        """Return the key of a job's submission row."""
        place = partition or self.find_partition(job)
        return RowKey(self.table, place, JOB_PREFIX + job)

    def build_cancel_key(
        self, job: str, partition: str | None = None, scope: str = ""
    ) -> RowKey:
        """Return the key of the row whose presence cancels a job.

        `scope` is the name of the cancellation's scope, if it has one. Each
        scope has a row, so that callers do not replace each other's.
        """
        place = partition or self.find_partition(job)
        key = CANCEL_PREFIX + job
        return RowKey(self.table, place, f"{key}/{scope}" if scope else key)


# The layout of a deployment without partitions.
DEFAULT_LAYOUT = IntakeLayout()
