"""Keeps two leaders from ordering one VM shortly after each other."""

import json

from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.ports import RowKey, RowStore, RowWrite
from chestnutstair.scheduling.term import PARTITION
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["OrderGuards"]

ORDER_TABLE = "vm-orders"
CALL_SECONDS = 1.0
CLOCK_SLACK_SECONDS = 0.5  # times of day differ between nodes


class OrderGuards:
    """Stores when each VM was last ordered, before it is ordered."""

    def __init__(
        self,
        leader: Leader,
        store: RowStore,
        clock: Clock,
        turn_seconds: float,
    ) -> None:
        self._leader = leader
        self._store = store
        self._clock = clock
        self._turn_seconds = turn_seconds
        self._free_at: dict[str, float] = {}

    def load(self) -> bool:
        """Read the orders of leaders before; tell whether they were read."""
        deadline = Deadline.after(self._clock, CALL_SECONDS)
        answer = self._store.read(ORDER_TABLE, PARTITION, deadline)
        if answer.is_err():
            return False
        wall = self._clock.read_wall()
        now = self._clock.read_monotonic()
        for row in answer.unwrap().rows:
            at = json.loads(row.value or b"{}").get("at", 0.0)
            left = at + self._turn_seconds + CLOCK_SLACK_SECONDS - wall
            # A clock that is far off must not keep a VM for long.
            left = min(left, self._turn_seconds + CLOCK_SLACK_SECONDS)
            self._free_at[row.key.key] = now + left
        return True

    def may_order(self, vm: str, now: float) -> bool:
        """Tell whether no leader before has ordered the VM just now."""
        return now >= self._free_at.get(vm, 0.0)

    def store(self, vms: list[str]) -> bool:
        """Store that the VMs are about to be ordered."""
        value = json.dumps({"at": self._clock.read_wall()}).encode()
        writes = [
            RowWrite(RowKey(ORDER_TABLE, PARTITION, vm), value) for vm in vms
        ]
        return self._leader.store(writes, CALL_SECONDS)
