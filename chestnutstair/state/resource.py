"""Resource vectors of VMs, tasks and quotas."""

from dataclasses import dataclass

__all__ = ["NO_RESOURCES", "Resources", "max_resources", "min_resources"]


@dataclass(frozen=True)
class Resources:
    """An amount of processor cores, memory and accelerators."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0  # whole devices

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits_into(self, available: "Resources") -> bool:
        """Return whether each component is at most the available one."""
        return (
            self.cores <= available.cores
            and self.memory_gb <= available.memory_gb
            and self.accelerators <= available.accelerators
        )


NO_RESOURCES = Resources()


def max_resources(left: Resources, right: Resources) -> Resources:
    """Return the maximum of each component."""
    return Resources(
        max(left.cores, right.cores),
        max(left.memory_gb, right.memory_gb),
        max(left.accelerators, right.accelerators),
    )


def min_resources(left: Resources, right: Resources) -> Resources:
    """Return the minimum of each component."""
    return Resources(
        min(left.cores, right.cores),
        min(left.memory_gb, right.memory_gb),
        min(left.accelerators, right.accelerators),
    )
