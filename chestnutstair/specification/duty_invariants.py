"""The inductive invariant of the model of leases on one duty.

NOW, VERSION and HOLDER are state variables that all daemons share.
"""

from collections.abc import Sequence

import z3

from chestnutstair.specification.duty_state import (
    COMMITTED,
    DRIFT,
    HOLDER,
    IDLE,
    LEASE,
    MARGIN,
    NOW,
    VERSION,
    Daemon,
    select_heartbeat_version,
)
from chestnutstair.specification.machine import implies_all

__all__ = ["build_invariant"]


def _build_drift_bound(
    daemon: Daemon, local: z3.ArithRef, real: z3.ArithRef
) -> z3.BoolRef:
    """Return the formula: the clock drift since a time is within bounds.

    `local` is that time on the daemon's clock, `real` the real time.
    """
    elapsed = daemon.clock - local
    return z3.And(
        real <= NOW,
        elapsed >= (1 - DRIFT) * (NOW - real),
        elapsed <= (1 + DRIFT) * (NOW - real),
    )


def build_invariant(
    index: int, daemon: Daemon, daemons: Sequence[Daemon]
) -> z3.BoolRef:
    """Return the inductive invariant of one daemon."""
    lease_start = daemon.deadline - (LEASE - MARGIN)
    deadline_passed = daemon.deadline <= daemon.clock
    lost = daemon.held_version != VERSION
    renewing = daemon.renewal != IDLE
    return z3.And(
        daemon.held_version <= VERSION,
        daemon.renewal_version <= VERSION,
        daemon.seen_version <= VERSION,
        daemon.seen_heartbeat_version
        <= select_heartbeat_version(daemons, daemon.seen_holder),
        _build_drift_bound(daemon, daemon.seen_at, daemon.seen_at_real),
        z3.Implies(
            renewing,
            _build_drift_bound(
                daemon, daemon.renewal_start, daemon.renewal_start_real
            ),
        ),
        z3.Implies(
            daemon.held,
            z3.Or(
                deadline_passed,
                _build_drift_bound(
                    daemon, lease_start, daemon.lease_start_real
                ),
            ),
        ),
        implies_all(daemon.held, z3.Or(lost, index == HOLDER)),
        implies_all(
            z3.And(renewing, daemon.renewal_version == VERSION),
            index == HOLDER,
        ),
        implies_all(z3.And(daemon.held, lost), deadline_passed),
        z3.Implies(
            z3.And(
                daemon.renewal == COMMITTED, daemon.renewal_version != VERSION
            ),
            daemon.renewal_start + LEASE - MARGIN <= daemon.clock,
        ),
        z3.Implies(
            daemon.seen_version == VERSION, daemon.seen_holder == HOLDER
        ),
        *(
            _build_observation_invariant(daemon, number, other)
            for number, other in enumerate(daemons)
        ),
    )


def _build_observation_invariant(
    observer: Daemon, number: int, other: Daemon
) -> z3.BoolRef:
    """Return the formula: a lease began no later than the observation.

    It covers the lease in use and the lease of a committed renewal, while
    the duty's row and the holder's heartbeat row still have the versions
    that the observer saw. `other` is the daemon with the index `number`.
    """
    current = z3.And(
        observer.seen_version == VERSION,
        observer.seen_holder == number,
        observer.seen_heartbeat_version == other.heartbeat_version,
        number == HOLDER,
    )
    usable = z3.And(other.held, other.held_version == VERSION, other.usable)
    committed = z3.And(
        other.renewal == COMMITTED, other.renewal_version == VERSION
    )
    return z3.And(
        z3.Implies(
            z3.And(current, usable),
            other.lease_start_real <= observer.seen_at_real,
        ),
        z3.Implies(
            z3.And(current, committed),
            other.renewal_start_real <= observer.seen_at_real,
        ),
    )
