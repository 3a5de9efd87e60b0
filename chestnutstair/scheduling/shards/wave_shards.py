"""Progress of maintenance waves that span several shards, in the store."""

import logging
from collections import Counter
from collections.abc import Mapping

from result import Err, Ok

from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.ports import (
    ConditionFailure,
    Expectation,
    Row,
    RowKey,
    RowStore,
    RowWrite,
)
from chestnutstair.scheduling.shards.shard import Shard
from chestnutstair.scheduling.shards.wave_parts import (
    WaveParts,
    read_wave_parts,
)
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["WaveShards"]

logger = logging.getLogger(__name__)

TABLE = "wave-shards"
PARTITION = ""
PARTS = "parts"
CALL_SECONDS = 1.0
# Interval of reading which shards are done: short against the 2 s that a VM
# is down, as the next shard may wait for it.
READ_SECONDS = 0.5


class WaveShards:
    """The parts of waves, and which shards are done, for one shard's leader.

    The rows are `N/parts`, which the first leader writes that knows of the
    wave, and `N/k`, which the leader of shard k writes when all its VMs have
    begun and none is away.
    """

    def __init__(self, shard: Shard, store: RowStore, clock: Clock) -> None:
        self._shard = shard
        self._store = store
        self._clock = clock
        self._parts: dict[int, WaveParts] = {}
        self._done: dict[int, set[int]] = {}
        self._read_at: dict[int, float] = {}

    def refresh(
        self, wave: MaintenanceWave, vm_shards: Mapping[str, int], now: float
    ) -> None:
        """Read the wave's rows if due; divide its cap if nobody has.

        `vm_shards` are the shards of all listed VMs, `now` a monotonic time.
        """
        if now - self._read_at.get(wave.number, -READ_SECONDS) < READ_SECONDS:
            return
        self._read_at[wave.number] = now
        deadline = Deadline.after(self._clock, CALL_SECONDS)
        first, end = f"{wave.number}/", f"{wave.number}0"
        answer = self._store.read(TABLE, PARTITION, deadline, first, end)
        if answer.is_err():
            return
        rows = answer.unwrap().rows
        self._apply(wave.number, rows)
        if wave.number not in self._parts:
            self._divide(wave, vm_shards)

    def _apply(self, number: int, rows: tuple[Row, ...]) -> None:
        for row in rows:
            suffix = row.key.key.partition("/")[2]
            if suffix.isdecimal():
                self._done.setdefault(number, set()).add(int(suffix))
            elif suffix == PARTS and row.value is not None:
                parts = read_wave_parts(row.value)
                if parts is not None:
                    self._parts[number] = parts

    def _divide(
        self, wave: MaintenanceWave, vm_shards: Mapping[str, int]
    ) -> None:
        counts = Counter(
            vm_shards[vm] for vm in set(wave.vms) if vm in vm_shards
        )
        shards = self._shard.layout.shards
        parts = WaveParts(
            wave.cap, tuple(counts[shard] for shard in range(shards))
        )
        key = RowKey(TABLE, PARTITION, f"{wave.number}/{PARTS}")
        answer = self._store.commit(
            [Expectation(key, 0)],
            [RowWrite(key, parts.encode())],
            Deadline.after(self._clock, CALL_SECONDS),
        )
        match answer:
            case Ok(_):
                self._parts[wave.number] = parts
                logger.info(
                    "wave divided",
                    extra={
                        "wave": wave.number,
                        "cap": wave.cap,
                        "vms": parts.vms,
                    },
                )
            case Err(ConditionFailure(rows)):
                self._apply(wave.number, rows)
            case Err(_):
                pass  # the next round reads whether it was stored

    def is_divided(self, wave: MaintenanceWave) -> bool:
        """Return whether the parts are known."""
        return wave.number in self._parts

    def compute_cap(self, wave: MaintenanceWave) -> int:
        """Return how many VMs of this shard may be down; 0 if not known."""
        parts = self._parts.get(wave.number)
        if parts is None:
            return 0
        done = self._done.get(wave.number, set())
        return parts.compute_cap(self._shard.number, done)

    def mark_done(self, wave: MaintenanceWave) -> bool:
        """Store that this shard is done; return whether that is stored."""
        done = self._done.setdefault(wave.number, set())
        number = self._shard.number
        if number in done or number not in self._parts[wave.number].shards:
            return True
        key = RowKey(TABLE, PARTITION, f"{wave.number}/{number}")
        deadline = Deadline.after(self._clock, CALL_SECONDS)
        answer = self._store.commit([], [RowWrite(key, b"{}")], deadline)
        logger.info(
            "wave done in shard",
            extra={
                "wave": wave.number,
                "shard": number,
                "stored": answer.is_ok(),
            },
        )
        if answer.is_ok():
            done.add(number)
        return answer.is_ok()

    def is_completed(self, wave: MaintenanceWave) -> bool:
        """Return whether all shards are done."""
        done = self._done.get(wave.number, set())
        return self._parts[wave.number].is_completed(done)
