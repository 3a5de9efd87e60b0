"""Model of leases on one duty: heartbeats, takeovers and fenced commits.

Each daemon has its own clock, whose rate may be off by `DRIFT`. The time
that a daemon records for an observation is never earlier than the read
itself, and a lease starts before the commit that renews it.
"""

from collections.abc import Sequence

import z3

from chestnutstair.specification.duty_invariants import build_invariant
from chestnutstair.specification.duty_state import (
    COMMITTED,
    DRIFT,
    HOLDER,
    IDLE,
    IN_FLIGHT,
    LEASE,
    MARGIN,
    NOBODY,
    NOW,
    PASSED,
    STALE_WRITE,
    VERSION,
    Daemon,
    build_daemon,
    select_heartbeat_version,
)
from chestnutstair.specification.machine import Machine, Step

__all__ = ["build_machine"]


def _build_clock_step(daemons: Sequence[Daemon]) -> Step:
    slow, fast = 1 - DRIFT, 1 + DRIFT
    within = [
        z3.And(item.advance >= slow * PASSED, item.advance <= fast * PASSED)
        for item in daemons
    ]
    return Step(
        "time passes",
        {"forward": PASSED >= 0, "bounded drift": z3.And(within)},
        [
            (NOW, NOW + PASSED),
            *((item.clock, item.clock + item.advance) for item in daemons),
        ],
    )


def _list_renewal_steps(
    name: str, daemon: Daemon, held_seconds: int
) -> list[Step]:
    """Return the steps of renewing, losing and adopting the duty.

    A daemon may act as the holder for `held_seconds` from the start of its
    lease, on its own clock.
    """
    lease_end = daemon.renewal_start + held_seconds
    return [
        Step(
            f"send renewal {name}",
            {"held": daemon.held, "one renewal": daemon.renewal == IDLE},
            [
                (daemon.renewal, z3.IntVal(IN_FLIGHT)),
                (daemon.renewal_version, daemon.held_version),
                (daemon.renewal_start, daemon.clock),
                (daemon.renewal_start_real, NOW),
            ],
        ),
        Step(
            f"commit renewal {name}",
            {
                "renewal in flight": daemon.renewal == IN_FLIGHT,
                "renewal on the duty's row": daemon.renewal_version == VERSION,
            },
            [
                (daemon.renewal, z3.IntVal(COMMITTED)),
                (daemon.heartbeat_version, daemon.heartbeat_version + 1),
            ],
        ),
        Step(
            f"renewed {name}",
            {
                "answer": daemon.renewal == COMMITTED,
                "held": daemon.held,
                "same lease": daemon.renewal_version == daemon.held_version,
            },
            [
                (daemon.renewal, z3.IntVal(IDLE)),
                (daemon.deadline, lease_end),
                (daemon.lease_start_real, daemon.renewal_start_real),
            ],
        ),
        Step(
            # The commit was refused or lost, or its answer was lost.
            f"renewal ends {name}",
            {},
            [(daemon.renewal, z3.IntVal(IDLE))],
        ),
        Step(
            f"beat {name}",  # heartbeat for another duty that it holds
            {},
            [(daemon.heartbeat_version, daemon.heartbeat_version + 1)],
        ),
        Step(
            # The daemon lost the duty, or crashed and restarted.
            f"forget {name}",
            {},
            [(daemon.held, z3.BoolVal(False))],
        ),
        Step(
            f"adopt {name}",
            {
                "own row": int(name) == HOLDER,
                "not held": z3.Not(daemon.held),
            },
            [
                (daemon.held, z3.BoolVal(True)),
                (daemon.held_version, VERSION),
                (daemon.deadline, daemon.clock),
                (daemon.lease_start_real, NOW),
            ],
        ),
    ]


def _list_takeover_steps(
    index: int,
    daemon: Daemon,
    daemons: Sequence[Daemon],
    held_seconds: int,
) -> list[Step]:
    heartbeat_version = select_heartbeat_version(daemons, daemon.seen_holder)
    unchanged_seconds = daemon.clock - daemon.seen_at
    return [
        Step(
            f"observe {index}",
            {},
            [
                (daemon.seen_version, VERSION),
                (daemon.seen_holder, HOLDER),
                (
                    daemon.seen_heartbeat_version,
                    select_heartbeat_version(daemons, HOLDER),
                ),
                (daemon.seen_at, daemon.clock),
                (daemon.seen_at_real, NOW),
            ],
        ),
        Step(
            f"take over {index}",
            {
                "not held": z3.Not(daemon.held),
                "another's": daemon.seen_holder != index,
                "unchanged for the lease": z3.Or(
                    daemon.seen_holder == NOBODY, unchanged_seconds >= LEASE
                ),
                "takeover on the duty's row": daemon.seen_version == VERSION,
                "takeover on the beat": daemon.seen_heartbeat_version
                == heartbeat_version,
            },
            [
                (VERSION, VERSION + 1),
                (HOLDER, z3.IntVal(index)),
                (daemon.heartbeat_version, daemon.heartbeat_version + 1),
                (daemon.held, z3.BoolVal(True)),
                (daemon.held_version, VERSION + 1),
                (daemon.deadline, daemon.clock + held_seconds),
                (daemon.lease_start_real, NOW),
            ],
        ),
        Step(
            f"release {index}",
            {
                "held": daemon.held,
                "release on the duty's row": daemon.held_version == VERSION,
                "no renewal": daemon.renewal == IDLE,
            },
            [
                (daemon.held, z3.BoolVal(False)),
                (VERSION, VERSION + 1),
                (HOLDER, z3.IntVal(NOBODY)),
            ],
        ),
    ]


def _list_write_steps(name: str, daemon: Daemon) -> list[Step]:
    stale = daemon.write_version != VERSION
    return [
        Step(
            f"send write {name}",
            {"usable": daemon.usable},
            [
                (daemon.writing, z3.BoolVal(True)),
                (daemon.write_version, daemon.held_version),
            ],
        ),
        Step(
            f"commit write {name}",
            {
                "write in flight": daemon.writing,
                "write on the duty's row": daemon.write_version == VERSION,
            },
            [
                (daemon.writing, z3.BoolVal(False)),
                (STALE_WRITE, z3.Or(STALE_WRITE, stale)),
            ],
        ),
    ]


def build_machine(count: int, margin: int = MARGIN) -> Machine:
    """Return the machine with `count` daemons and one duty.

    A holder stops `margin` seconds before its lease ends.
    """
    daemons = [build_daemon(index) for index in range(count)]
    steps = [_build_clock_step(daemons)]
    for index, daemon in enumerate(daemons):
        held_seconds = LEASE - margin
        steps += _list_renewal_steps(str(index), daemon, held_seconds)
        steps += _list_takeover_steps(index, daemon, daemons, held_seconds)
        steps += _list_write_steps(str(index), daemon)
    variables = [NOW, VERSION, HOLDER, STALE_WRITE]
    initial = [VERSION == 1, z3.Not(STALE_WRITE), NOW == 0]
    initial.append(z3.If(daemons[0].held, 0, NOBODY) == HOLDER)
    for index, daemon in enumerate(daemons):
        variables += daemon.variables
        initial += _build_initial(daemon, index == 0, LEASE - margin)
    pairs = [
        z3.Not(z3.And(one.usable, other.usable))
        for number, one in enumerate(daemons)
        for other in daemons[:number]
    ]
    return Machine(
        variables,
        initial,
        steps,
        {
            "one holder at a time": z3.And(pairs),
            "no stale write takes effect": z3.Not(STALE_WRITE),
        },
        {
            "holder": z3.And(HOLDER >= NOBODY, count > HOLDER),
            **{
                f"daemon {index}": build_invariant(index, daemon, daemons)
                for index, daemon in enumerate(daemons)
            },
        },
        [PASSED, *(daemon.advance for daemon in daemons)],
    )


def _build_initial(
    daemon: Daemon, holds: bool, held_seconds: int
) -> list[z3.BoolRef]:
    """Return the initial state of one daemon.

    Either nobody holds the duty, or the daemon for which `holds` is true
    has just taken it over.
    """
    return [
        z3.Implies(daemon.held, holds),
        daemon.deadline == daemon.clock + held_seconds,
        daemon.lease_start_real == 0,
        z3.Not(daemon.writing),
        daemon.renewal == IDLE,
        daemon.held_version == int(holds),
        daemon.renewal_version == 0,
        daemon.write_version == 0,
        daemon.heartbeat_version == 0,
        daemon.seen_version == 0,
        daemon.seen_holder == NOBODY,
        daemon.seen_heartbeat_version == 0,
        daemon.seen_at == daemon.clock,
        daemon.seen_at_real == 0,
    ]
