"""Division of the cap of a maintenance wave among the shards."""

import json
from collections.abc import Collection
from dataclasses import dataclass

from chestnutstair.state.fields import (
    MalformedFieldError,
    is_whole,
    parse_object,
    read_list,
    read_whole,
)

__all__ = ["WaveParts", "divide_cap", "read_wave_parts"]


def divide_cap(cap: int, vms: Collection[int]) -> list[int]:
    """Divide a cap in proportion to the numbers of VMs; at least 1 each.

    Shards without VMs get 0. What remains after one for each shard is
    divided by largest remainder. The cap must not be below the number of
    shards with VMs.
    """
    counts = list(vms)
    parts = [min(1, count) for count in counts]
    remaining = cap - sum(parts)
    total = max(1, sum(counts))
    quotas = [remaining * count / total for count in counts]
    floors = [int(quota) for quota in quotas]
    parts = [part + floor for part, floor in zip(parts, floors, strict=True)]
    by_remainder = sorted(
        (shard for shard, count in enumerate(counts) if count),
        key=lambda shard: (floors[shard] - quotas[shard], shard),
    )
    for shard in by_remainder[: remaining - sum(floors)]:
        parts[shard] += 1
    return parts


@dataclass(frozen=True)
class WaveParts:
    """A wave's cap, and the number of its VMs in each shard.

    Stored once, because leaders that list the VMs at different times could
    otherwise divide the cap differently and exceed it together.
    """

    cap: int
    vms: tuple[int, ...]

    @property
    def shards(self) -> list[int]:
        """The shards that have VMs in the wave, in order."""
        return [shard for shard, count in enumerate(self.vms) if count]

    def is_completed(self, done: Collection[int]) -> bool:
        """Return whether every shard with VMs is done."""
        return all(shard in done for shard in self.shards)

    def compute_cap(self, shard: int, done: Collection[int]) -> int:
        """Return how many VMs of a shard may be down.

        `done` are the shards known to be done. A leader that does not know
        of all of them gets no more than one that does, so that the caps of
        all shards together stay within the wave's whatever each one knows.
        """
        shards = self.shards
        if shard not in shards or shard in done:
            return 0
        if self.cap < len(shards):
            return self._compute_turn(shard, done)
        # The part of a shard that is done goes to the next one that is not.
        parts = divide_cap(self.cap, self.vms)
        position = shards.index(shard)
        total = parts[shard]
        for offset in range(1, len(shards)):
            before = shards[position - offset]
            if before not in done:
                break
            total += parts[before]
        return total

    def _compute_turn(self, shard: int, done: Collection[int]) -> int:
        """Return 1 for the first shards that are not done, up to the cap."""
        before = self.shards[: self.shards.index(shard)]
        waiting = sum(other not in done for other in before)
        return int(waiting < self.cap)

    def encode(self) -> bytes:
        """Return the stored value, in JSON."""
        return json.dumps({"cap": self.cap, "vms": self.vms}).encode()


def read_wave_parts(value: bytes) -> WaveParts | None:
    """Decode stored parts; None if they are malformed."""
    try:
        fields = parse_object(value)
        vms = tuple(read_list(fields, "vms"))
        if not all(map(is_whole, vms)):
            return None
        return WaveParts(read_whole(fields, "cap"), vms)
    except MalformedFieldError:
        return None
