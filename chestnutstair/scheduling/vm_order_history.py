"""Stores when each VM was last ordered, for use by the next leader."""

import json
import logging
from dataclasses import dataclass

from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.ports import RowKey, RowStore, RowWrite
from chestnutstair.scheduling.shards.names import FIRST_NAMES, ShardNames
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fields import (
    MalformedFieldError,
    parse_object,
    read_number,
    read_text,
    read_whole,
)

__all__ = ["VmOrder", "VmOrderHistory"]

logger = logging.getLogger(__name__)

ORDER_TABLE = "vm-orders"
CALL_SECONDS = 1.0  # timeout of a read or write of the store
CLOCK_SLACK_SECONDS = 0.5  # wall clocks differ between nodes


@dataclass(frozen=True)
class VmOrder:
    """An order to move or maintain a VM.

    - `service`: pool to move to, or the VM's pool during maintenance.
    - `wave`: number of the maintenance wave; 0 for a move.
    - `back_at`: monotonic time. When the VM counts as available again, or,
      for an unanswered order, when the order is repeated.
    - `answered`: False while the outcome of the order is unknown.
    - `worker`, `born_ms`: the incarnation that the VM had when the order was
      first sent, the only one that it can have ended; "" for none.
    - `sent_at`: monotonic time at which it was first sent.
    - `send_by`: time since boot until which it may be sent.
    - `in_doubt_until`: monotonic time until which an attempt without an
      answer may still be carried out, or the VM may be away because of it; 0
      if there was none.
    - `carried_out`: the list has shown that it was carried out, while its
      answer is still due.
    """

    vm: str
    service: str
    wave: int = 0
    back_at: float = 0.0
    answered: bool = False
    worker: str = ""
    born_ms: int = 0
    sent_at: float = 0.0
    send_by: float = 0.0
    in_doubt_until: float = 0.0
    carried_out: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """Worker name and born_ms that the VM had before the order."""
        return self.worker, self.born_ms


class VmOrderHistory:
    """Stores the time of each VM's last order, before the order is sent.

    A new leader reads these times and does not order a VM until
    `min_order_interval_seconds` after the last order of an earlier leader
    was stored. The interval includes the time until that order was sent.
    """

    def __init__(
        self,
        leader: Leader,
        store: RowStore,
        clock: Clock,
        min_order_interval_seconds: float,
        maintenance_seconds: float,
        names: ShardNames = FIRST_NAMES,
        late_order_seconds: float = 0.0,
    ) -> None:
        self._partition = names.partition
        self._leader = leader
        self._store = store
        self._clock = clock
        self._min_order_interval_seconds = min_order_interval_seconds
        self._maintenance_seconds = maintenance_seconds
        self._late_order_seconds = late_order_seconds
        # Monotonic time from which this leader may order a VM.
        self._orderable_at: dict[str, float] = {}
        # Maintenance ordered by earlier leaders that may be in progress: until
        # `back_at` if its order was answered, else until `in_doubt_until`.
        self.unfinished_maintenance: list[VmOrder] = []

    def load(self) -> bool:
        """Load earlier leaders' orders; return whether the store answered."""
        deadline = Deadline.after(self._clock, CALL_SECONDS)
        answer = self._store.read(ORDER_TABLE, self._partition, deadline)
        if answer.is_err():
            return False
        wall_time = self._clock.read_wall()
        now = self._clock.read_monotonic()
        for row in answer.unwrap().rows:
            try:
                fields = parse_object(row.value or b"{}")
                at = read_number(fields, "at", 0.0)
                wave = read_whole(fields, "wave", 0)
                service = read_text(fields, "service", "")
            except MalformedFieldError as error:
                # The time of the order is not known, so that it may have been
                # sent just now.
                logger.error(
                    "stored VM order cannot be decoded",
                    extra={"vm": row.key.key, "reason": str(error)},
                )
                at, wave, service = wall_time, 0, ""
            age = wall_time - at - CLOCK_SLACK_SECONDS
            # A time in the future, from a clock that is ahead, counts as now,
            # so that it blocks the VM no longer than a correct one.
            age = max(age, -CLOCK_SLACK_SECONDS)
            self._orderable_at[row.key.key] = (
                now + self._min_order_interval_seconds - age
            )
            back_at = now + self._maintenance_seconds - age
            in_doubt_until = back_at + self._late_order_seconds
            if wave and in_doubt_until > now:
                self.unfinished_maintenance.append(
                    VmOrder(
                        row.key.key,
                        service,
                        wave,
                        back_at,
                        answered=True,
                        in_doubt_until=in_doubt_until,
                    )
                )
        return True

    def is_interval_over(self, vm: str, now: float) -> bool:
        """Return whether earlier leaders' last order for a VM is old enough.

        `now` is a monotonic time.
        """
        return now >= self._orderable_at.get(vm, 0.0)

    def store(self, orders: list[VmOrder]) -> bool:
        """Store the time of orders that are about to be sent.

        Returns whether they were stored in time.
        """
        writes = [self._encode(order, order.wave) for order in orders]
        return self._leader.store(writes, CALL_SECONDS)

    def mark_refused(self, order: VmOrder) -> None:
        """Store that no attempt of a VM's last order is carried out.

        The next leader does not count it as maintenance.
        """
        self._leader.queue_write(self._encode(order, 0))

    def _encode(self, order: VmOrder, wave: int) -> RowWrite:
        fields = {
            "at": self._clock.read_wall(),
            "service": order.service,
            "wave": wave,
        }
        key = RowKey(ORDER_TABLE, self._partition, order.vm)
        return RowWrite(key, json.dumps(fields).encode())
