"""One shard of a layout: what belongs to it, and its part of the limits."""

from dataclasses import dataclass

from chestnutstair.scheduling.ports import Vm, WorkerEntry
from chestnutstair.scheduling.shards.layout import ONE_SHARD, ShardLayout
from chestnutstair.scheduling.shards.names import ShardNames

__all__ = ["ONLY_SHARD", "Shard", "find_rack"]


def find_rack(labels: tuple[str, ...]) -> str:
    """Return the rack of a VM, empty if it has none."""
    # The first label is the kind, the second the rack.
    return labels[1] if len(labels) > 1 else ""


@dataclass(frozen=True)
class Shard:
    """A shard by its number; by default the only one."""

    number: int = 0
    layout: ShardLayout = ONE_SHARD

    @property
    def names(self) -> ShardNames:
        """The tables and partitions of the shard."""
        return ShardNames(self.number)

    @property
    def is_only(self) -> bool:
        """Whether the deployment has no other shard."""
        return self.layout.shards == 1

    @property
    def share(self) -> float:
        """The shard's part of a limit that holds for all shards together."""
        return 1.0 / self.layout.shards

    def find_shard_of_vm(self, vm: Vm) -> int:
        """Return the number of the shard that a listed VM belongs to."""
        return self.layout.find_shard_of_vm(find_rack(vm.labels), vm.name)

    def owns_worker(self, entry: WorkerEntry) -> bool:
        """Return whether the worker's VM belongs to this shard."""
        vm = entry.vm or entry.name
        return self.layout.find_shard_of_vm(entry.rack, vm) == self.number


ONLY_SHARD = Shard()
