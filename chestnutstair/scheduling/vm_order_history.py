"""Minimum time between the orders of two leaders for the same VM."""

import json
from dataclasses import dataclass

from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.ports import RowKey, RowStore, RowWrite
from chestnutstair.scheduling.term import PARTITION
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["VmOrder", "VmOrderHistory"]

ORDER_TABLE = "vm-orders"
CALL_SECONDS = 1.0
CLOCK_SLACK_SECONDS = 0.5  # wall clocks differ between nodes


@dataclass(frozen=True)
class VmOrder:
    """An order to move or maintain a VM.

    - `service`: pool to move to, or the VM's pool during maintenance.
    - `wave`: number of the maintenance wave; 0 for a move.
    - `back_at`: monotonic time until which the VM counts as unavailable, or
      at which an unanswered order is repeated.
    - `answered`: False while the outcome is unknown.
    """

    vm: str
    service: str
    wave: int = 0
    back_at: float = 0.0
    answered: bool = False


class VmOrderHistory:
    """Stores the time of each VM's last order, before the order is sent.

    A new leader reads these times, so that it orders no VM less than
    `turn_seconds` after an earlier leader did.
    """

    def __init__(
        self,
        leader: Leader,
        store: RowStore,
        clock: Clock,
        min_order_interval_seconds: float,
        maintenance_seconds: float,
    ) -> None:
        self._leader = leader
        self._store = store
        self._clock = clock
        self._min_order_interval_seconds = min_order_interval_seconds
        self._maintenance_seconds = maintenance_seconds
        self._orderable_at: dict[str, float] = {}
        # Maintenance that earlier leaders began and that may not be over.
        self.unfinished_maintenance: list[VmOrder] = []

    def load(self) -> bool:
        """Load earlier leaders' orders; return whether they were read."""
        deadline = Deadline.after(self._clock, CALL_SECONDS)
        answer = self._store.read(ORDER_TABLE, PARTITION, deadline)
        if answer.is_err():
            return False
        wall_time = self._clock.read_wall()
        now = self._clock.read_monotonic()
        for row in answer.unwrap().rows:
            fields = json.loads(row.value or b"{}")
            age = wall_time - fields.get("at", 0.0) - CLOCK_SLACK_SECONDS
            # A clock that is far off must not block a VM for long.
            age = max(age, -CLOCK_SLACK_SECONDS)
            self._orderable_at[row.key.key] = (
                now + self._min_order_interval_seconds - age
            )
            back_at = now + self._maintenance_seconds - age
            if fields.get("wave") and back_at > now:
                order = VmOrder(
                    row.key.key,
                    fields["service"],
                    fields["wave"],
                    back_at,
                    True,
                )
                self.unfinished_maintenance.append(order)
        return True

    def is_interval_over(self, vm: str, now: float) -> bool:
        """Return whether no earlier leader ordered the VM too recently.

        `now` is a monotonic time.
        """
        return now >= self._orderable_at.get(vm, 0.0)

    def store(self, orders: list[VmOrder]) -> bool:
        """Store the time of orders that are about to be sent.

        Returns whether they were stored in time.
        """
        at = self._clock.read_wall()
        writes = []
        for order in orders:
            fields = {"at": at, "service": order.service, "wave": order.wave}
            value = json.dumps(fields).encode()
            key = RowKey(ORDER_TABLE, PARTITION, order.vm)
            writes.append(RowWrite(key, value))
        return self._leader.store(writes, CALL_SECONDS)
