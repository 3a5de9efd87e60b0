"""The variables of the specification of leases on a duty."""

from collections.abc import Sequence
from dataclasses import dataclass

import z3

__all__ = [
    "COMMITTED",
    "DRIFT",
    "HOLDER",
    "IDLE",
    "IN_FLIGHT",
    "LEASE",
    "MARGIN",
    "NOBODY",
    "NOW",
    "PASSED",
    "STALE_WRITE",
    "VERSION",
    "Daemon",
    "build_daemon",
    "get_beat",
]

LEASE = 6  # seconds that the rows must stand still
MARGIN = 1  # seconds by which the holder stops earlier
DRIFT = z3.Q(1, 11)  # share by which a clock may run fast or slow
NOBODY = -1
IDLE, IN_FLIGHT, COMMITTED = range(3)  # what became of a renewal

NOW = z3.Real("now")
PASSED = z3.Real("passed")  # time that passes in one step
VERSION = z3.Int("version")  # of the duty's row
HOLDER = z3.Int("holder")
STALE_WRITE = z3.Bool("stale_write")


@dataclass(frozen=True)
class Daemon:
    """The variables of one daemon; `*_real` are known to nobody."""

    clock: z3.ArithRef
    advance: z3.ArithRef  # of its clock in one step
    held: z3.BoolRef
    held_version: z3.ArithRef
    deadline: z3.ArithRef
    lease_start_real: z3.ArithRef  # when the lease of the deadline began
    beat: z3.ArithRef  # the version of its row of beats
    renewal: z3.ArithRef
    renewal_version: z3.ArithRef
    renewal_start: z3.ArithRef
    renewal_start_real: z3.ArithRef
    seen_version: z3.ArithRef
    seen_holder: z3.ArithRef
    seen_beat: z3.ArithRef
    seen_at: z3.ArithRef
    seen_at_real: z3.ArithRef
    write_version: z3.ArithRef  # the condition of a commit in flight
    writing: z3.BoolRef

    @property
    def variables(self) -> list[z3.ExprRef]:
        """All variables of the daemon but its input."""
        return [item for name, item in vars(self).items() if name != "advance"]

    @property
    def usable(self) -> z3.BoolRef:
        """Whether the daemon may act as the holder."""
        return z3.And(self.held, self.clock < self.deadline)


def build_daemon(index: int) -> Daemon:
    """Return the variables of the daemon with that number."""

    def name(variable: str) -> str:
        return f"{variable}{index}"

    return Daemon(
        z3.Real(name("clock")),
        z3.Real(name("advance")),
        z3.Bool(name("held")),
        z3.Int(name("held_version")),
        z3.Real(name("deadline")),
        z3.Real(name("lease_start_real")),
        z3.Int(name("beat")),
        z3.Int(name("renewal")),
        z3.Int(name("renewal_version")),
        z3.Real(name("renewal_start")),
        z3.Real(name("renewal_start_real")),
        z3.Int(name("seen_version")),
        z3.Int(name("seen_holder")),
        z3.Int(name("seen_beat")),
        z3.Real(name("seen_at")),
        z3.Real(name("seen_at_real")),
        z3.Int(name("write_version")),
        z3.Bool(name("writing")),
    )


def get_beat(daemons: Sequence[Daemon], index: z3.ArithRef) -> z3.ArithRef:
    """Return the beat of the daemon with that number."""
    beat = z3.IntVal(0)
    for number, daemon in enumerate(daemons):
        beat = z3.If(index == number, daemon.beat, beat)
    return beat
