"""The variables of the model of leases on one duty."""

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
    "select_heartbeat_version",
]

LEASE = 6  # seconds that the rows must stay unchanged before a takeover
MARGIN = 1  # seconds before the lease ends at which its holder stops
DRIFT = z3.Q(1, 11)  # largest relative error of a clock's rate
NOBODY = -1
IDLE, IN_FLIGHT, COMMITTED = range(3)  # states of a renewal

# State variables that all daemons share, and the input PASSED.
NOW = z3.Real("now")  # real time in seconds, which no daemon can read
PASSED = z3.Real("passed")  # input: real seconds that pass in one step
VERSION = z3.Int("version")  # version of the duty's row
HOLDER = z3.Int("holder")  # index of the holder in the row, or NOBODY
# A write was committed under a version of the row that had been replaced.
STALE_WRITE = z3.Bool("stale_write")


@dataclass(frozen=True)
class Daemon:
    """The variables of one daemon.

    Times are in seconds on the daemon's own clock, except for those named
    `*_real`: they are real times, which the proof uses and no daemon can
    read.
    """

    clock: z3.ArithRef
    advance: z3.ArithRef  # input: progress of its clock in one step
    held: z3.BoolRef  # whether it believes that it holds the duty
    held_version: z3.ArithRef  # version of the duty's row that it holds
    deadline: z3.ArithRef  # it stops acting as the holder at this time
    lease_start_real: z3.ArithRef  # when the lease of `deadline` began
    heartbeat_version: z3.ArithRef  # version of its heartbeat row
    renewal: z3.ArithRef  # IDLE, IN_FLIGHT or COMMITTED
    renewal_version: z3.ArithRef  # version of the duty's row it requires
    renewal_start: z3.ArithRef  # when the renewal was sent
    renewal_start_real: z3.ArithRef
    seen_version: z3.ArithRef  # the duty's row at the last observation
    seen_holder: z3.ArithRef
    seen_heartbeat_version: z3.ArithRef  # of the holder seen
    seen_at: z3.ArithRef  # when the daemon made that observation
    seen_at_real: z3.ArithRef
    write_version: z3.ArithRef  # version that the write in flight requires
    writing: z3.BoolRef  # whether a write is in flight

    @property
    def variables(self) -> list[z3.ExprRef]:
        """All variables of the daemon except `advance`, which is an input."""
        return [item for name, item in vars(self).items() if name != "advance"]

    @property
    def usable(self) -> z3.BoolRef:
        """Whether the daemon may act as the holder."""
        return z3.And(self.held, self.clock < self.deadline)


def build_daemon(index: int) -> Daemon:
    """Return the variables of the daemon with the index."""

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


def select_heartbeat_version(
    daemons: Sequence[Daemon], index: z3.ArithRef
) -> z3.ArithRef:
    """Return a term: the heartbeat version of daemon `index`, or 0."""
    heartbeat_version = z3.IntVal(0)
    for number, daemon in enumerate(daemons):
        heartbeat_version = z3.If(
            index == number, daemon.heartbeat_version, heartbeat_version
        )
    return heartbeat_version
