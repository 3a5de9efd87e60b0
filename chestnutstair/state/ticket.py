"""Numbered change tickets, filed by operators."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from chestnutstair.state.codec import STRICT
from chestnutstair.state.fleet import Job, Name, Pool, Team, Vm, Zone

__all__ = ["Removal", "Ticket"]


@dataclass(frozen=True)
class Removal:
    """The names of the objects that a ticket removes."""

    __pydantic_config__ = STRICT

    zones: tuple[Name, ...] = ()
    teams: tuple[Name, ...] = ()
    pools: tuple[Name, ...] = ()
    vms: tuple[Name, ...] = ()
    jobs: tuple[Name, ...] = ()


@dataclass(frozen=True)
class Ticket:
    """The complete new state of each object that one ticket changes."""

    __pydantic_config__ = STRICT

    number: Annotated[int, Field(ge=1)]
    author: Annotated[str, Field(min_length=1, max_length=200)]
    reason: Annotated[str, Field(max_length=2000)] = ""
    zones: tuple[Zone, ...] = ()
    teams: tuple[Team, ...] = ()
    pools: tuple[Pool, ...] = ()
    vms: tuple[Vm, ...] = ()
    jobs: tuple[Job, ...] = ()
    remove: Removal = Removal()
