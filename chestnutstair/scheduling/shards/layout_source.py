"""Reads the stored layout, or decides it at the first start."""

import logging
from dataclasses import dataclass

from result import Err, Ok

from chestnutstair.scheduling.ports import (
    ConditionFailure,
    Expectation,
    Row,
    RowKey,
    RowStore,
    RowWrite,
    VmControl,
)
from chestnutstair.scheduling.shards.layout import (
    ONE_SHARD,
    ShardLayout,
    compute_shard_count,
    read_layout,
)
from chestnutstair.scheduling.shards.names import FIRST_NAMES
from chestnutstair.scheduling.shards.spread import compute_fraction
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["LAYOUT_KEY", "LayoutSettings", "LayoutSource"]

logger = logging.getLogger(__name__)

LAYOUT_KEY = RowKey("layout", "", "shards")
CLAIM_KEY = RowKey("layout", "", "claim")


@dataclass(frozen=True)
class LayoutSettings:
    """Timing of reading and deciding the layout."""

    # Timeout of one call to the store.
    call_seconds: float = 1.2
    # Pause between two attempts.
    retry_seconds: float = 0.25
    # Nodes that find no layout claim its decision within this time, spread
    # by a hash of their name, so that of 300 nodes only a few write.
    spread_seconds: float = 0.3
    # A claim after which no layout was stored for this long is replaced:
    # longer than it takes to list 3,000 VMs over a slow link.
    claim_seconds: float = 4.0


class LayoutSource:
    """Finds the layout by repeated attempts.

    Only the node that holds the claim lists the VMs: with 300 nodes that
    start at once, as many lists of 15 pages would exceed the platform's rate
    limit. The claim only saves calls. That all nodes agree follows from the
    condition of the write, that no layout exists.
    """

    def __init__(
        self,
        name: str,
        store: RowStore,
        vms: VmControl,
        vms_per_shard: int,
        clock: Clock,
        settings: LayoutSettings,
    ) -> None:
        self._name = name
        self._store = store
        self._vms = vms
        self._vms_per_shard = vms_per_shard
        self._clock = clock
        self._settings = settings
        # Version of the claim of another node, and when it was first seen.
        self._claim_version = -1
        self._claim_seen_at = 0.0
        self._problem = ""

    def find(self) -> ShardLayout | None:
        """Make one attempt; return the layout once it is stored."""
        rows = self._read(LAYOUT_KEY.table, LAYOUT_KEY.partition)
        if rows is None:
            return None
        layout = self._find_stored(rows)
        if layout is not None or LAYOUT_KEY.key in rows:
            return layout
        term_key = FIRST_NAMES.term_key
        terms = self._read(term_key.table, term_key.partition)
        if terms is None or not self._claim(rows.get(CLAIM_KEY.key)):
            return None
        if term_key.key in terms:
            # A deployment from before there were shards. Its layout row is
            # missing unless a node stored it since the first read, in which
            # case the condition of the write fails.
            return self._store_layout(ONE_SHARD, 0)
        return self._decide()

    def _read(self, table: str, partition: str) -> dict[str, Row] | None:
        deadline = Deadline.after(self._clock, self._settings.call_seconds)
        answer = self._store.read(table, partition, deadline)
        if answer.is_err():
            return None
        return {row.key.key: row for row in answer.unwrap().rows}

    def _find_stored(self, rows: dict[str, Row]) -> ShardLayout | None:
        row = rows.get(LAYOUT_KEY.key)
        if row is None or row.value is None:
            return None
        layout = read_layout(row.value)
        if layout is None:
            self._log_problem("the stored layout cannot be decoded")
        return layout

    def _claim(self, claim: Row | None) -> bool:
        """Return whether this node decides the layout now."""
        now = self._clock.read_monotonic()
        version = claim.version if claim is not None else 0
        value = claim.value if claim is not None else None
        # A holder whose name cannot be decoded is another node.
        holder = (value or b"").decode(errors="replace")
        if holder == self._name:
            return True
        if version != self._claim_version:
            self._claim_version = version
            self._claim_seen_at = now
        wait = self._settings.spread_seconds * compute_fraction(self._name)
        if claim is not None:
            wait += self._settings.claim_seconds
        remaining = self._claim_seen_at + wait - now
        if remaining > self._settings.retry_seconds:
            return False
        if remaining > 0:
            self._clock.sleep(remaining)
            rows = self._read(LAYOUT_KEY.table, LAYOUT_KEY.partition)
            if rows is None or LAYOUT_KEY.key in rows:
                return False
        deadline = Deadline.after(self._clock, self._settings.call_seconds)
        answer = self._store.commit(
            [Expectation(CLAIM_KEY, version)],
            [RowWrite(CLAIM_KEY, self._name.encode())],
            deadline,
        )
        return answer.is_ok()

    def _decide(self) -> ShardLayout | None:
        match self._vms.list_vms():
            case Ok(vms) if vms:
                count = compute_shard_count(len(vms), self._vms_per_shard)
                return self._store_layout(ShardLayout(count), len(vms))
            case Ok(_):
                self._log_problem("the VM list is empty")
            case Err(failure):
                self._log_problem(describe_failure(failure))
        return None

    def _log_problem(self, problem: str) -> None:
        """Log why no layout can be decided, once for the same reason."""
        if problem != self._problem:
            self._problem = problem
            logger.warning("no layout", extra={"reason": problem})

    def _store_layout(
        self, layout: ShardLayout, vms: int
    ) -> ShardLayout | None:
        deadline = Deadline.after(self._clock, self._settings.call_seconds)
        answer = self._store.commit(
            [Expectation(LAYOUT_KEY, 0)],
            [RowWrite(LAYOUT_KEY, layout.encode())],
            deadline,
        )
        match answer:
            case Ok(_):
                logger.info(
                    "layout decided",
                    extra={
                        "shards": layout.shards,
                        "vms": vms,
                        "vms_per_shard": self._vms_per_shard,
                    },
                )
                return layout
            case Err(ConditionFailure(rows)):
                # Another node was first, or the answer to an earlier attempt
                # of this one was lost.
                return self._find_stored({row.key.key: row for row in rows})
            case Err(failure):
                logger.warning(
                    "layout not stored",
                    extra={"reason": describe_failure(failure)},
                )
        return None
