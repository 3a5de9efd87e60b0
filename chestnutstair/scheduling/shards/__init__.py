"""Shards: parts of the fleet, each a scheduler with a leader of its own."""

from chestnutstair.scheduling.shards.layout import (
    MAX_SHARDS,
    ONE_SHARD,
    ShardLayout,
    compute_shard_count,
)
from chestnutstair.scheduling.shards.names import ShardNames
from chestnutstair.scheduling.shards.shard import Shard

__all__ = [
    "MAX_SHARDS",
    "ONE_SHARD",
    "Shard",
    "ShardLayout",
    "ShardNames",
    "compute_shard_count",
]
