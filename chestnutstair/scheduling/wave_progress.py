"""Progress of maintenance waves, kept in the store."""

import json
import logging
from collections.abc import Mapping

from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.ports import Row, RowKey, RowStore, RowWrite
from chestnutstair.scheduling.shards.shard import ONLY_SHARD, Shard
from chestnutstair.scheduling.shards.wave_shards import WaveShards
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fields import parse_object, read_number

__all__ = ["WaveProgress"]

logger = logging.getLogger(__name__)

MAINTENANCE_TABLE = "maintenance"
STATUS_TABLE = "status"
STATUS_PARTITION = ""
CALL_SECONDS = 1.0
RUNNING = "running"
COMPLETED = "completed"


class WaveProgress:
    """Records which VMs of each wave have begun maintenance.

    The records outlast a change of leader. With several shards, each records
    its own VMs, and shard 0 reports to the operator.
    """

    def __init__(
        self,
        leader: Leader,
        store: RowStore,
        clock: Clock,
        shard: Shard = ONLY_SHARD,
    ) -> None:
        self._partition = shard.names.partition
        self._reports = shard.number == 0
        # With several shards: how they share the waves.
        self._shards: WaveShards | None = None
        if not shard.is_only:
            self._shards = WaveShards(shard, store, clock)
        self._leader = leader
        self._store = store
        self._clock = clock
        self._begun: set[tuple[int, str]] = set()
        self._reported: dict[int, str] = {}
        self._waves: dict[int, MaintenanceWave] = {}
        self._first_seen_at: dict[int, float] = {}

    def load(self) -> bool:
        """Load earlier leaders' records; return whether the store answered."""
        deadline = Deadline.after(self._clock, CALL_SECONDS)
        answer = self._store.read(MAINTENANCE_TABLE, self._partition, deadline)
        if answer.is_err():
            return False
        now = self._clock.read_monotonic()
        for row in answer.unwrap().rows:
            try:
                self._apply(row, now)
            except ValueError as error:
                # The wave's time is counted from now, if it is such a row.
                logger.error(
                    "stored progress of a wave cannot be decoded",
                    extra={"key": row.key.key, "reason": str(error)},
                )
        return True

    def _apply(self, row: Row, now: float) -> None:
        text, _, vm = row.key.key.partition("/")
        number = int(text)
        if vm:
            self._begun.add((number, vm))
            return
        fields = parse_object(row.value or b"{}")
        known_at = read_number(fields, "known_at", 0.0)
        age = max(0.0, self._clock.read_wall() - known_at)
        self._first_seen_at[number] = now - age

    def add_wave(self, wave: MaintenanceWave, now: float) -> None:
        """Record a wave that the operator has requested.

        The first call for a wave also stores when it became known.
        """
        self._waves[wave.number] = wave
        if wave.number not in self._first_seen_at:
            self._first_seen_at[wave.number] = now
            value = json.dumps({"known_at": self._clock.read_wall()})
            key = RowKey(MAINTENANCE_TABLE, self._partition, f"{wave.number}/")
            self._leader.queue_write(RowWrite(key, value.encode()))

    def find_cap(
        self, wave: MaintenanceWave, vm_shards: Mapping[str, int], now: float
    ) -> int | None:
        """Return how many VMs of this shard may be down at a time.

        None while the cap has not been divided among the shards, whose VMs
        are `vm_shards`. `now` is a monotonic time.
        """
        if self._shards is None:
            return wave.cap
        self._shards.refresh(wave, vm_shards, now)
        if not self._shards.is_divided(wave):
            return None
        return self._shards.compute_cap(wave)

    def measure_age(self, wave: MaintenanceWave, now: float) -> float:
        """Return the seconds since the first leader learned of the wave."""
        return now - self._first_seen_at[wave.number]

    def is_completed(self, wave: MaintenanceWave) -> bool:
        """Return whether the wave has been reported as completed."""
        return self._reported.get(wave.number) == COMPLETED

    def is_due_in(self, wave: MaintenanceWave, vm: str) -> bool:
        """Return whether the VM's maintenance in this wave has not begun."""
        return (wave.number, vm) not in self._begun

    def is_begun(self, number: int, vm: str) -> bool:
        """Return whether the order of the VM's maintenance was answered."""
        return (number, vm) in self._begun

    def is_due(self, vm: str) -> bool:
        """Return whether the VM's maintenance in any wave has not begun."""
        return any(
            vm in wave.vms and self.is_due_in(wave, vm)
            for wave in self._waves.values()
        )

    def is_only_due_in(self, number: int, vm: str) -> bool:
        """Return whether the VM is due in this wave and in no other one.

        Where its maintenance has begun, late attempts change nothing.
        """
        due = {
            wave.number
            for wave in self._waves.values()
            if vm in wave.vms and self.is_due_in(wave, vm)
        }
        return due == {number}

    def is_due_after(self, vm: str, share: float, now: float) -> bool:
        """Return whether a VM is still due late in a wave.

        That is once `share` of the wave's time has passed at monotonic `now`.
        """
        return any(
            vm in wave.vms
            and self.is_due_in(wave, vm)
            and self.measure_age(wave, now) >= share * wave.seconds
            for wave in self._waves.values()
        )

    def mark_begun(self, number: int, vm: str) -> None:
        """Record that the VM's maintenance in a wave has begun."""
        self._begun.add((number, vm))
        key = RowKey(MAINTENANCE_TABLE, self._partition, f"{number}/{vm}")
        self._leader.queue_write(RowWrite(key, b"{}"))

    def report_running(self, wave: MaintenanceWave) -> None:
        """Report to the operator that the wave is running, once."""
        if self._reports and wave.number not in self._reported:
            self._report(wave, RUNNING)

    def report_completed(self, wave: MaintenanceWave) -> None:
        """Report to the operator that the wave is completed.

        The maintenance of every VM of the wave that still exists has begun.
        With several shards this holds for this one; the report is made when
        it holds for all.
        """
        if self._shards is None:
            self._report(wave, COMPLETED)
        elif self._shards.mark_done(wave):
            if not self._reports:
                self._reported[wave.number] = COMPLETED
            elif self._shards.is_completed(wave):
                self._report(wave, COMPLETED)

    def _report(self, wave: MaintenanceWave, state: str) -> None:
        value = json.dumps({"wave": wave.number, "state": state}).encode()
        key = RowKey(STATUS_TABLE, STATUS_PARTITION, f"wave/{wave.number}")
        deadline = Deadline.after(self._clock, CALL_SECONDS)
        answer = self._store.commit([], [RowWrite(key, value)], deadline)
        logger.info(
            "wave state reported",
            extra={
                "wave": wave.number,
                "state": state,
                "stored": answer.is_ok(),
            },
        )
        if answer.is_ok():
            self._reported[wave.number] = state
