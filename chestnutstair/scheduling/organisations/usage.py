"""Counts what each organisation has running.

Updated with each run, so that planning does not iterate over all runs.
"""

from collections.abc import Iterable
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


class OrganisationUsage:
    """Resources of all runs by organisation, in total and in each pool.

    The owner must lock access.
    """

    def __init__(self) -> None:
        self._totals: dict[str, Amounts] = {}
        self._lasting: dict[str, Amounts] = {}
        self._pools: dict[tuple[str, str], Amounts] = {}
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
        change = Amounts.measure(step)
        total = self.get_total(organisation)
        self._totals[organisation] = total.add(change, sign)
        in_pool = self.get_in_pool(organisation, service)
        self._pools[organisation, service] = in_pool.add(change, sign)
        if step.lasting:
            lasting = self.get_lasting(organisation)
            self._lasting[organisation] = lasting.add(change, sign)

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

    def get_total(self, organisation: str) -> Amounts:
        """Return what an organisation has running over all pools."""
        return self._totals.get(organisation, NOTHING)

    def get_lasting(self, organisation: str) -> Amounts:
        """Return the part of the total that lasting tasks use."""
        return self._lasting.get(organisation, NOTHING)

    def get_in_pool(self, organisation: str, service: str) -> Amounts:
        """Return what an organisation has running in a pool."""
        return self._pools.get((organisation, service), NOTHING)

    def list_organisations(self) -> Iterable[str]:
        """Return the organisations that have had runs in this term."""
        return self._totals.keys()
