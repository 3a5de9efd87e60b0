"""An organisation as the operator has configured it."""

from dataclasses import dataclass, field

__all__ = ["Cap", "Organisation"]


@dataclass(frozen=True)
class Cap:
    """The most that an organisation may have running; 0 means no limit."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True)
class Organisation:
    """An owner of jobs.

    - `weight`: its share when room is short, relative to others; also the
      number of jobs a second up to which it is owed service.
    - `cap`: the most that it may have running over all pools.
    - `key_digests`: SHA-256 digests of the keys that act for it.
    """

    name: str
    weight: float = 1.0
    cap: Cap = field(default_factory=Cap)
    key_digests: frozenset[bytes] = frozenset()
