"""Exclusive duties, held by lease in the table with a fencing token."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from chestnutstair.coordination.platform import Condition, Key
from chestnutstair.state.deadline import Deadline

__all__ = ["DUTY_TABLE", "Duty", "DutyHolder"]

DUTY_TABLE = "duty"


@dataclass(frozen=True)
class Duty:
    """A duty that this daemon holds until `deadline`.

    `token` rises with every takeover. `version` is that of the duty's
    row, which changes only on a takeover, so a commit on the duty's
    condition fails once another daemon holds it.
    """

    name: str
    token: int
    version: int
    deadline: Deadline

    def build_condition(self) -> Condition:
        """Return the condition that fences a commit with this duty."""
        return Condition(Key(DUTY_TABLE, self.name), self.version)


class DutyHolder(ABC):
    """Tells which duties this daemon holds."""

    @abstractmethod
    def find_duty(self, name: str) -> Duty | None:
        """Return the duty if held and its deadline has not passed."""
