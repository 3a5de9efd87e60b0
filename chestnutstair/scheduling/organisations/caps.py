"""Decides whether a task or gang may start below its organisation's cap."""

from collections.abc import Sequence
from math import ceil, inf

from chestnutstair.scheduling.configuration import FleetConfiguration
from chestnutstair.scheduling.organisations.organisation import Cap
from chestnutstair.scheduling.organisations.usage import (
    Amounts,
    OrganisationUsage,
)
from chestnutstair.scheduling.specification import (
    Step,
)

__all__ = ["NO_CAP", "Caps"]

NO_CAP = Cap()


def _list_limits(
    cap: Cap, share: float, usage: Amounts, need: Amounts
) -> list[tuple[float, int, int]]:
    """Return limit, usage and need in each capped dimension."""
    dimensions = (
        (cap.millicores, usage.millicores, need.millicores),
        (cap.memory_mb, usage.memory_mb, need.memory_mb),
        (cap.accelerators, usage.accelerators, need.accelerators),
    )
    return [
        (limit * share, used, needed)
        for limit, used, needed in dimensions
        if limit > 0
    ]


def _is_below(cap: Cap, share: float, usage: Amounts) -> bool:
    counts = (usage.millicores, usage.memory_mb, usage.accelerators)
    return _are_below(cap, share, counts)


def _are_below(cap: Cap, share: float, counts: Sequence[int]) -> bool:
    # Called for each task that starts, so without a loop.
    millicores, memory_mb, accelerators = counts
    return (
        (not cap.millicores or millicores < cap.millicores * share)
        and (not cap.memory_mb or memory_mb < cap.memory_mb * share)
        and (not cap.accelerators or accelerators < cap.accelerators * share)
    )


class Caps:
    """Compares the usage of organisations with their caps.

    A task may start only while the usage is below the cap in every capped
    dimension, so the last task may exceed the cap; the last task of a gang
    likewise. `share` is the part of each cap that this leader's shard may use.
    """

    def __init__(self, usage: OrganisationUsage, share: float = 1.0) -> None:
        self.usage = usage
        self.share = share
        # The last known caps: an organisation that leaves the configuration
        # with jobs running keeps its cap for the term.
        self._caps: dict[str, Cap] = {}
        self._configuration: FleetConfiguration | None = None

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 before any."""
        configuration = self._configuration
        return 0 if configuration is None else configuration.version

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Use the caps of a configuration from now on."""
        if configuration is self._configuration:
            return
        self._configuration = configuration
        for organisation in (configuration.organisations or {}).values():
            self._caps[organisation.name] = organisation.cap

    def get_cap(self, organisation: str) -> Cap:
        """Return the last known cap of an organisation."""
        return self._caps.get(organisation, NO_CAP)

    def list_organisations(self) -> list[str]:
        """Return the organisations that have been configured in this term."""
        return list(self._caps)

    def has_limit(self, organisation: str) -> bool:
        """Return whether starts of the organisation can be held back."""
        if not organisation:
            return False
        return not self.version or self.get_cap(organisation) != NO_CAP

    def may_start(self, organisation: str, step: Step) -> bool:
        """Return whether a task of the step, or all of a gang, may start."""
        if not organisation:
            return True
        if not self.version:
            return False  # the cap is not known yet
        cap = self.get_cap(organisation)
        if not step.gang:
            counts = self.usage.get_counts(organisation)
            return _are_below(cap, self.share, counts)
        usage = self.usage.get_total(organisation)
        usage = usage.add(Amounts.measure(step, step.count - 1))
        return _is_below(cap, self.share, usage)

    def may_restart(self, organisation: str, step: Step) -> bool:
        """Return whether a task that runs could start again after a stop."""
        usage = self.usage.get_total(organisation)
        usage = usage.add(Amounts.measure(step), -1)
        cap = self.get_cap(organisation)
        return not organisation or _is_below(cap, self.share, usage)

    def can_admit_gang(self, organisation: str, step: Step) -> bool:
        """Return whether a gang fits once the running batch work has ended.

        It never does if the cap was lowered below the gang, or if lasting
        tasks use the room.
        """
        usage = self.usage.get_lasting(organisation)
        usage = usage.add(Amounts.measure(step, step.count - 1))
        return _is_below(self.get_cap(organisation), self.share, usage)

    def measure_room(self, organisation: str, planned: Amounts) -> float:
        """Return the millicores below the cap, infinite without one.

        `planned` is what starts in addition to what runs.
        """
        usage = self.usage.get_total(organisation).add(planned)
        cap = self.get_cap(organisation)
        if not _is_below(cap, self.share, usage):
            return 0.0
        if not cap.millicores:
            return inf
        return cap.millicores * self.share - usage.millicores

    def count_admitted(
        self, organisation: str, step: Step, planned: Amounts
    ) -> int:
        """Return how many waiting tasks of a step may start.

        `planned` is what starts before them, in addition to what runs.
        """
        if not self.version:
            return 0
        usage = self.usage.get_total(organisation).add(planned)
        cap = self.get_cap(organisation)
        need = Amounts.measure(step)
        count = step.count
        for limit, used, needed in _list_limits(cap, self.share, usage, need):
            if used >= limit:
                return 0
            if needed:
                count = min(count, ceil((limit - used) / needed))
        if step.gang and count < step.count:
            return 0
        return count
