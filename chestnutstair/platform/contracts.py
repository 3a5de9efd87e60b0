"""What the parts of the platform's rules that are in force call for."""

from collections.abc import Iterable

__all__ = ["calls_for_turns"]

# In force where callers compete for too little room at times.
SCARCITY_CONTRACT = "pressure"


def calls_for_turns(contracts: Iterable[str]) -> bool:
    """Return whether VMs should follow the turns of the queues.

    Where there is enough room, following them costs more in VMs and moves
    than it gains (docs/design/turns.md).
    """
    return SCARCITY_CONTRACT in contracts
