"""Finds a least loaded target of a pool without scanning the pool."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from chestnutstair.state.fleet import Pool, PoolKind, Vm
from chestnutstair.state.view import FleetView, VmPhase, VmStatus

__all__ = ["ClosedReason", "Router", "TargetLoad"]


class ClosedReason(StrEnum):
    """Why a target gets no new requests."""

    PHASE = "phase"  # not serving according to the change log
    LEAVING = "leaving"  # about to shut down
    FULL = "full"  # refused a request because its slots were full
    EJECTED = "ejected"  # failing or slow


@dataclass
class TargetLoad:
    """A target and the requests this daemon has in flight on it."""

    vm: Vm
    pool: str
    slots: int  # most requests in flight, and connections, from here
    limit: int  # most requests in flight now, fewer after an ejection
    closed: set[ClosedReason]  # open for requests if empty
    in_flight: int = 0
    bucket_index: int = -1  # -1 if in no bucket


class _Buckets:
    """The open targets of one pool and zone, by requests in flight."""

    def __init__(self) -> None:
        self._buckets: list[list[TargetLoad]] = []

    def add(self, load: TargetLoad) -> None:
        if load.closed or load.in_flight >= load.limit:
            return
        while len(self._buckets) <= load.in_flight:
            self._buckets.append([])
        bucket = self._buckets[load.in_flight]
        load.bucket_index = len(bucket)
        bucket.append(load)

    def remove(self, load: TargetLoad) -> None:
        if load.bucket_index < 0:
            return
        bucket = self._buckets[load.in_flight]
        last = bucket.pop()
        if last is not load:
            bucket[load.bucket_index] = last
            last.bucket_index = load.bucket_index
        load.bucket_index = -1

    def pick(self, random_source: random.Random) -> TargetLoad | None:
        for bucket in self._buckets:
            if bucket:
                return bucket[int(random_source.random() * len(bucket))]
        return None


class Router:
    """The targets of every pool, indexed by pool, zone and load.

    Not thread-safe: the caller holds a lock.
    """

    def __init__(
        self,
        zone: str,
        compute_connection_share: Callable[[str, int], int],
        seed: int | None = None,
    ) -> None:
        self._zone = zone
        self._compute_connection_share = compute_connection_share
        self._random = random.Random(seed)
        self._view: FleetView | None = None
        self._loads: dict[str, TargetLoad] = {}
        self._closed: dict[str, set[ClosedReason]] = {}
        self._buckets: dict[tuple[str, str], _Buckets] = {}
        self._zones: dict[str, list[str]] = {}
        self._target_counts: Counter[str] = Counter()
        self._spare_pool: Pool | None = None
        self._services: dict[str, Pool] = {}

    def invalidate_view(self) -> None:
        """Make the next `install_view` update the index for the same view."""
        self._view = None

    def install_view(self, view: FleetView) -> bool:
        """Update the index to the view; return whether the view is new."""
        old = self._view
        if view is old:
            return False
        self._view = view
        self._services = {
            pool.service: pool
            for pool in view.pools.values()
            if pool.kind is PoolKind.RUNNERS
        }
        for name in [name for name in self._loads if name not in view.vms]:
            self._unlink(self._loads.pop(name))
        for name, vm in view.vms.items():
            status = view.statuses[name]
            pool = view.pools[status.pool]
            if (
                old is None
                or old.vms.get(name) is not vm
                or old.statuses.get(name) is not status
                or old.pools.get(status.pool) is not pool
            ):
                self._update(vm, status, pool)
        self._target_counts = Counter(
            load.pool for load in self._loads.values()
        )
        self._zones = {}
        for pool_name, zone in sorted(self._buckets):
            self._zones.setdefault(pool_name, []).append(zone)
        for zones in self._zones.values():
            zones.sort(key=lambda zone: zone != self._zone)
        spares = [pool for pool in self._services.values() if pool.spare]
        self._spare_pool = spares[0] if spares else None
        return True

    def _update(self, vm: Vm, status: VmStatus, pool: Pool) -> None:
        if pool.kind is not PoolKind.RUNNERS and vm.name not in self._loads:
            return
        connection_share = self._compute_connection_share(
            vm.name, pool.connections_per_vm
        )
        slots = min(pool.slots_per_vm, connection_share)
        load = self._loads.get(vm.name)
        if load is None:
            closed = self._closed.setdefault(vm.name, set())
            load = TargetLoad(vm, status.pool, slots, slots, closed)
            self._loads[vm.name] = load
        self._unlink(load)
        load.vm = vm
        load.pool = status.pool
        if load.slots != slots:
            load.slots = load.limit = slots
        serves = pool.kind is PoolKind.RUNNERS
        if serves and status.phase is VmPhase.SERVING:
            load.closed.discard(ClosedReason.PHASE)
        else:
            load.closed.add(ClosedReason.PHASE)
        self._link(load)

    def _link(self, load: TargetLoad) -> None:
        key = (load.pool, load.vm.zone)
        self._buckets.setdefault(key, _Buckets()).add(load)

    def _unlink(self, load: TargetLoad) -> None:
        buckets = self._buckets.get((load.pool, load.vm.zone))
        if buckets is not None:
            buckets.remove(load)

    def find_pool(self, service: str) -> Pool | None:
        """Return the pool of runners that serves the service."""
        return self._services.get(service)

    def find_spare_pool(self) -> Pool | None:
        """Return the pool that serves the overflow of other pools."""
        return self._spare_pool

    def count_targets(self, pool: str) -> int:
        """Return the number of targets of the pool, open or closed."""
        return self._target_counts[pool]

    def acquire(self, pool: str) -> TargetLoad | None:
        """Count a request on a least loaded open target and return it.

        Targets of this daemon's own zone come first. Return None if no
        target is open.
        """
        for zone in self._zones.get(pool, ()):
            buckets = self._buckets.get((pool, zone))
            load = buckets.pick(self._random) if buckets else None
            if load is not None:
                self._unlink(load)
                load.in_flight += 1
                self._link(load)
                return load
        return None

    def set_limit(self, load: TargetLoad, limit: int) -> None:
        """Set how many requests the target may have in flight."""
        self._unlink(load)
        load.limit = limit
        self._relink(load)

    def release(self, load: TargetLoad) -> None:
        """Stop counting a request on its target."""
        self._unlink(load)
        load.in_flight -= 1
        self._relink(load)

    def _relink(self, load: TargetLoad) -> None:
        if self._loads.get(load.vm.name) is load:
            self._link(load)

    def close(self, vm: str, reason: ClosedReason) -> None:
        """Send the VM no new requests, even if it becomes a target later."""
        load = self._loads.get(vm)
        if load is not None:
            self._unlink(load)
        self._closed.setdefault(vm, set()).add(reason)

    def reopen(self, vm: str, reason: ClosedReason) -> None:
        """Remove one of the reasons for which the target is closed."""
        load = self._loads.get(vm)
        if load is not None:
            self._unlink(load)
        self._closed.get(vm, set()).discard(reason)
        if load is not None:
            self._link(load)
