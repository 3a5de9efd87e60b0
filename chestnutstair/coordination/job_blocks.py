"""Stores why jobs are blocked, so that every daemon can report it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from result import Ok, Result

from chestnutstair.coordination.duty import Duty
from chestnutstair.coordination.placement import JobBlock
from chestnutstair.coordination.platform import (
    Key,
    PlatformFailure,
    Table,
    Write,
)
from chestnutstair.coordination.task_store import CommitFailure
from chestnutstair.state.codec import STRICT, decode_value, encode_value
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["BLOCK_TABLE", "BlockPublisher", "PoolBlocks", "read_blocks"]

BLOCK_TABLE = "blocks"
MAX_REPORTED_JOBS = 500  # per pool, as all are in one row
MIN_WRITE_INTERVAL_SECONDS = 5.0  # for each pool


@dataclass(frozen=True)
class PoolBlocks:
    """The stored row of one pool: the reason for each blocked job."""

    __pydantic_config__ = STRICT

    jobs: Mapping[str, str] = field(default_factory=dict)


def read_blocks(
    table: Table, pools: list[str], deadline: Deadline
) -> Result[dict[str, str], PlatformFailure]:
    """Return why jobs of the pools are blocked, by job."""
    keys = [Key(BLOCK_TABLE, pool) for pool in pools]
    return table.read(keys, deadline).map(
        lambda rows: {
            job: reason
            for row in rows
            if row is not None
            for job, reason in decode_value(PoolBlocks, row.value)
            .unwrap()
            .jobs.items()
        }
    )


class BlockPublisher:
    """Writes a pool's row when the reasons have changed."""

    def __init__(self, table: Table, pool: str, clock: Clock) -> None:
        self._table = table
        self._key = Key(BLOCK_TABLE, pool)
        self._clock = clock
        self._written: PoolBlocks | None = None
        self._next_write = Deadline(0.0)

    def publish(
        self, duty: Duty, blocks: Mapping[str, JobBlock], deadline: Deadline
    ) -> Result[None, CommitFailure]:
        """Write the reasons unless they are unchanged.

        Nothing is written within the minimum interval after an attempt.
        """
        if not self._next_write.has_passed(self._clock):
            return Ok(None)
        chosen = sorted(blocks.items())[:MAX_REPORTED_JOBS]
        row = PoolBlocks(
            {job: describe_failure(block) for job, block in chosen}
        )
        if row == self._written:
            return Ok(None)
        self._next_write = Deadline.after(
            self._clock, MIN_WRITE_INTERVAL_SECONDS
        )
        committed = self._table.commit(
            [duty.build_condition()],
            [Write(self._key, encode_value(row))],
            deadline,
        )
        self._written = row if committed.is_ok() else None
        return committed
