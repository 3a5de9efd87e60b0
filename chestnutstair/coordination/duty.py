"""Exclusive duties, held by lease in the table with a fencing token."""

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from chestnutstair.coordination.messenger import Member
from chestnutstair.coordination.platform import Condition, Key
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Deadline

__all__ = [
    "BEAT_TABLE",
    "DUTY_TABLE",
    "Duty",
    "DutyHolder",
    "DutyRow",
    "rank_members",
]

DUTY_TABLE = "duty"
BEAT_TABLE = "duty-beat"


@dataclass(frozen=True)
class Duty:
    """A duty that this daemon holds until `deadline`.

    `token` rises with every takeover. `version` is the version of the
    duty's row, which no renewal changes but every takeover does, so a
    commit on the duty's condition fails once another daemon holds it.
    """

    name: str
    token: int
    version: int
    deadline: Deadline

    def build_condition(self) -> Condition:
        """Return the condition that fences commits under this duty."""
        return Condition(Key(DUTY_TABLE, self.name), self.version)


class DutyHolder(ABC):
    """Gives access to the duties that this daemon holds."""

    @abstractmethod
    def find_duty(self, name: str) -> Duty | None:
        """Return the duty if held and its deadline has not passed."""


@dataclass(frozen=True)
class DutyRow:
    """The row of a duty, written by takeovers and releases only."""

    __pydantic_config__ = STRICT

    token: int
    holder: str = ""  # a daemon's incarnation, empty when released


def rank_members(duty: str, members: Sequence[Member]) -> list[str]:
    """Return member names by rendezvous hash, preferred holder first."""

    def score(member: Member) -> str:
        return hashlib.sha256(f"{duty}/{member.name}".encode()).hexdigest()

    return [member.name for member in sorted(members, key=score)]
