"""Number of shards, and the assignment of jobs and VMs to them."""

import json
import math
import zlib
from dataclasses import dataclass

from chestnutstair.state.fields import (
    MalformedFieldError,
    parse_object,
    read_whole,
)

__all__ = [
    "MAX_SHARDS",
    "ONE_SHARD",
    "ShardLayout",
    "compute_shard_count",
    "read_layout",
]

# The store has at most 100 tables, and each shard has one of its own.
MAX_SHARDS = 64
# Leading hexadecimal digits of a job's ID that select its shard. The last
# ones select the intake partition, so that the two are independent.
JOB_DIGITS = 8


@dataclass(frozen=True)
class ShardLayout:
    """The number of shards; it never changes within a deployment."""

    shards: int = 1

    def find_shard_of_job(self, job: str) -> int:
        """Return the shard of a job.

        A name that is no job ID belongs to shard 0.
        """
        if self.shards == 1:
            return 0
        try:
            return int(job[:JOB_DIGITS], 16) % self.shards
        except ValueError:
            return 0

    def find_shard_of_vm(self, rack: str, vm: str) -> int:
        """Return the shard of a VM; racks stay whole."""
        if self.shards == 1:
            return 0
        return zlib.crc32((rack or vm).encode()) % self.shards

    def encode(self) -> bytes:
        """Return the value of the layout's row, in JSON."""
        return json.dumps({"shards": self.shards}).encode()


ONE_SHARD = ShardLayout()


def compute_shard_count(vms: int, vms_per_shard: int) -> int:
    """Return the smallest sufficient power of two, at most MAX_SHARDS."""
    needed = max(1, math.ceil(vms / vms_per_shard))
    return min(MAX_SHARDS, 1 << (needed - 1).bit_length())


def read_layout(value: bytes) -> ShardLayout | None:
    """Decode the layout's row; None if it is malformed."""
    try:
        shards = read_whole(parse_object(value), "shards")
    except MalformedFieldError:
        return None
    if not 1 <= shards <= MAX_SHARDS:
        return None
    return ShardLayout(shards)
