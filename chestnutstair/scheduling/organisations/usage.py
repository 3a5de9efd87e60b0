"""Counts what each organisation has running.

Updated with each run, so that planning does not iterate over all runs.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from chestnutstair.scheduling.specification import Step

__all__ = ["NOTHING", "Amounts", "Incarnation", "OrganisationUsage"]

# Name of a worker and start of its process in ms.
Incarnation = tuple[str, int]


@dataclass(frozen=True)
class Amounts:
    """Amounts of the resources that caps limit."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def measure(cls, step: Step, tasks: int = 1) -> "Amounts":
        """Return what `tasks` tasks of a step use.

        The CPU of a filler does not count, as it uses what others leave.
        """
        return cls(
            0 if step.filler else tasks * step.millicores,
            tasks * step.memory_mb,
            tasks * step.accelerators,
        )

    def add(self, other: "Amounts", sign: int = 1) -> "Amounts":
        """Return the sum, or with `sign` -1 the difference."""
        return Amounts(
            self.millicores + sign * other.millicores,
            self.memory_mb + sign * other.memory_mb,
            self.accelerators + sign * other.accelerators,
        )


NOTHING = Amounts()
NO_COUNTS = (0, 0, 0)


def _build_amounts(counts: list[int] | None) -> Amounts:
    return Amounts(*counts) if counts else NOTHING


class OrganisationUsage:
    """Resources of all runs by organisation, in total and in each pool.

    The owner must lock access.
    """

    def __init__(self) -> None:
        # Lists of the amounts in the order of the fields of `Amounts`, which
        # are updated in place: a round changes them thousands of times.
        self._totals: dict[str, list[int]] = {}
        self._lasting: dict[str, list[int]] = {}
        self._pools: dict[tuple[str, str], list[int]] = {}
        # Runs that an earlier leader placed on workers that have not
        # registered, by worker.
        self._unregistered: dict[Incarnation, list[tuple[str, Step]]] = {}

    def add(self, organisation: str, service: str, step: Step) -> None:
        """Count a run in a pool; the pool is empty if it is not known."""
        self._adjust(organisation, service, step, 1)

    def remove(self, organisation: str, service: str, step: Step) -> None:
        """Stop counting a run."""
        self._adjust(organisation, service, step, -1)

    def _adjust(
        self, organisation: str, service: str, step: Step, sign: int
    ) -> None:
        millicores = 0 if step.filler else sign * step.millicores
        total = self._totals.get(organisation)
        if total is None:
            total = self._totals[organisation] = [0, 0, 0]
        pool = self._pools.get((organisation, service))
        if pool is None:
            pool = self._pools[organisation, service] = [0, 0, 0]
        counts = [total, pool]
        if step.lasting:
            counts.append(self._lasting.setdefault(organisation, [0, 0, 0]))
        for count in counts:
            count[0] += millicores
            count[1] += sign * step.memory_mb
            count[2] += sign * step.accelerators

    def add_unregistered(
        self, incarnation: Incarnation, organisation: str, step: Step
    ) -> None:
        """Count a run that may be present on an unregistered worker."""
        self.add(organisation, "", step)
        runs = self._unregistered.setdefault(incarnation, [])
        runs.append((organisation, step))

    def remove_unregistered(self, incarnation: Incarnation) -> None:
        """Stop counting the runs of an unregistered worker."""
        for organisation, step in self._unregistered.pop(incarnation, []):
            self.remove(organisation, "", step)

    def remove_all_unregistered(self) -> None:
        """Stop counting the runs of all unregistered workers."""
        for incarnation in list(self._unregistered):
            self.remove_unregistered(incarnation)

    def get_counts(self, organisation: str) -> Sequence[int]:
        """Return the total in the order of the fields of `Amounts`."""
        return self._totals.get(organisation, NO_COUNTS)

    def get_total(self, organisation: str) -> Amounts:
        """Return what an organisation has running over all pools."""
        return _build_amounts(self._totals.get(organisation))

    def get_lasting(self, organisation: str) -> Amounts:
        """Return the part of the total that lasting tasks use."""
        return _build_amounts(self._lasting.get(organisation))

    def get_in_pool(self, organisation: str, service: str) -> Amounts:
        """Return what an organisation has running in a pool."""
        return _build_amounts(self._pools.get((organisation, service)))
