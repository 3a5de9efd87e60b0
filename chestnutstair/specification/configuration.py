"""Model of tickets: appended to the log, spread, confirmed, in force.

A paused or disconnected daemon takes no step, and a lost message is one
whose step never happens. Peers hold only records that are in the log, so
learning from a peer and from the table are the same step.
"""

from dataclasses import dataclass

import z3

from chestnutstair.specification.machine import (
    Machine,
    Step,
    implies_all,
)

__all__ = ["build_machine"]

OFF, REGISTERED, SERVING = range(3)
IDLE, IN_FLIGHT, COMMITTED, REFUSED = range(4)  # states of an append

HEAD = z3.Int("head")  # newest revision in the log
FLOOR = z3.Int("floor")  # rows up to this revision may be removed
REMOVED = z3.Int("removed")  # rows up to this revision were removed
REPORTED = z3.Int("reported")  # newest revision reported in force
VIEW_REGRESSED = z3.Bool("fell")  # a view went to an older revision
RECOMMITTED = z3.Bool("recommitted")  # a revision was written twice
# An append was committed although its operator was told that it was not.
DENIED_COMMITTED = z3.Bool("denied_taken")
# An append was reported as accepted although it was not committed.
WRONGLY_ACCEPTED = z3.Bool("wrongly_accepted")
FLAGS = (VIEW_REGRESSED, RECOMMITTED, DENIED_COMMITTED, WRONGLY_ACCEPTED)
CHOSEN = z3.Int("chosen")  # input: any revision


@dataclass(frozen=True)
class Daemon:
    """The variables of one daemon, its row in the table and its append."""

    phase: z3.ArithRef  # OFF, REGISTERED or SERVING
    view: z3.ArithRef  # revision of its view
    known_floor: z3.ArithRef  # floor that it last read
    row: z3.BoolRef  # whether it is listed in the table
    row_ready: z3.BoolRef  # whether its row marks it as ready
    row_revision: z3.ArithRef  # revision that its row confirms
    append: z3.ArithRef  # IDLE to REFUSED
    sent: z3.ArithRef  # revision that the append writes
    sent_floor: z3.ArithRef  # floor that the append requires
    denied: z3.BoolRef  # whether the operator was told "not accepted"

    @property
    def variables(self) -> list[z3.ExprRef]:
        """All variables of the daemon."""
        return list(vars(self).values())


def _build_daemon(index: int) -> Daemon:
    return Daemon(
        z3.Int(f"phase{index}"),
        z3.Int(f"view{index}"),
        z3.Int(f"known_floor{index}"),
        z3.Bool(f"row{index}"),
        z3.Bool(f"row_ready{index}"),
        z3.Int(f"row_revision{index}"),
        z3.Int(f"append{index}"),
        z3.Int(f"sent{index}"),
        z3.Int(f"sent_floor{index}"),
        z3.Bool(f"denied{index}"),
    )


def _list_append_steps(name: str, daemon: Daemon) -> list[Step]:
    serving = {"serving": daemon.phase == SERVING}
    free = z3.Or(daemon.sent <= REMOVED, daemon.sent > HEAD)
    return [
        Step(
            f"send {name}",
            {**serving, "one append": daemon.append == IDLE},
            [
                (daemon.append, z3.IntVal(IN_FLIGHT)),
                (daemon.sent, daemon.view + 1),
                (daemon.sent_floor, daemon.known_floor),
                (daemon.denied, z3.BoolVal(False)),
            ],
        ),
        Step(
            f"commit {name}",
            {
                "in flight": daemon.append == IN_FLIGHT,
                "revision is free": free,
                "floor unmoved": daemon.sent_floor == FLOOR,
            },
            [
                (daemon.append, z3.IntVal(COMMITTED)),
                (HEAD, z3.If(daemon.sent > HEAD, daemon.sent, HEAD)),
                (RECOMMITTED, z3.Or(RECOMMITTED, daemon.sent <= HEAD)),
                (DENIED_COMMITTED, z3.Or(DENIED_COMMITTED, daemon.denied)),
            ],
        ),
        Step(
            f"refuse {name}",
            {"in flight": daemon.append == IN_FLIGHT},
            [(daemon.append, z3.IntVal(REFUSED))],
        ),
        Step(
            f"read floor {name}",
            {**serving, "floor within the view": daemon.view >= FLOOR},
            [(daemon.known_floor, FLOOR)],
        ),
    ]


def _list_answer_steps(name: str, daemon: Daemon) -> list[Step]:
    serving = {"serving": daemon.phase == SERVING}
    sent = daemon.append != IDLE
    next_view = z3.If(daemon.view == daemon.sent - 1, daemon.sent, daemon.view)
    return [
        Step(
            # Learned from the answer, or from a read after an unknown outcome.
            f"accepted {name}",
            {
                **serving,
                "sent": sent,
                "found": daemon.sent <= HEAD,
                "own record": daemon.append == COMMITTED,
            },
            [
                (daemon.append, z3.IntVal(IDLE)),
                (daemon.view, next_view),
                (
                    WRONGLY_ACCEPTED,
                    z3.Or(WRONGLY_ACCEPTED, daemon.append != COMMITTED),
                ),
            ],
        ),
        Step(
            # The append may still be in flight, or its answer may be lost.
            f"lost race {name}",
            {
                **serving,
                "sent": sent,
                "other daemon's record": z3.And(
                    daemon.sent <= HEAD, daemon.append != COMMITTED
                ),
            },
            [
                (daemon.denied, z3.BoolVal(True)),
                (
                    DENIED_COMMITTED,
                    z3.Or(DENIED_COMMITTED, daemon.append == COMMITTED),
                ),
            ],
        ),
        Step(
            f"give up {name}",  # reports an unknown outcome
            {"sent": sent},
            [(daemon.append, z3.IntVal(IDLE))],
        ),
    ]


def _list_lifecycle_steps(name: str, daemon: Daemon) -> list[Step]:
    serving = {"serving": daemon.phase == SERVING}
    newer = {"newer": daemon.view < CHOSEN, "in the log": CHOSEN <= HEAD}
    return [
        Step(
            f"register {name}",
            {"off": daemon.phase == OFF},
            [
                (daemon.phase, z3.IntVal(REGISTERED)),
                (daemon.row, z3.BoolVal(True)),
                (daemon.row_ready, z3.BoolVal(False)),
                (daemon.row_revision, z3.IntVal(0)),
            ],
        ),
        Step(
            f"load {name}",
            {
                "not serving": daemon.phase != SERVING,
                "registered first": daemon.phase == REGISTERED,
            },
            [
                (daemon.phase, z3.IntVal(SERVING)),
                (daemon.view, HEAD),
                (daemon.known_floor, FLOOR),
            ],
        ),
        Step(
            f"learn {name}",
            {**serving, **newer},
            [
                (daemon.view, CHOSEN),
                (VIEW_REGRESSED, z3.Or(VIEW_REGRESSED, daemon.view > CHOSEN)),
            ],
        ),
        Step(
            f"confirm {name}",
            {**serving, "view has the revision": daemon.view >= CHOSEN},
            [
                (daemon.row_revision, CHOSEN),
                (daemon.row_ready, z3.BoolVal(True)),
            ],
        ),
        Step(
            f"crash {name}",
            {},
            [(daemon.phase, z3.IntVal(OFF)), (daemon.view, z3.IntVal(0))],
        ),
        Step(
            f"prune {name}",
            {"gone": daemon.phase == OFF},
            [(daemon.row, z3.BoolVal(False))],
        ),
    ]


def _list_compaction_steps(name: str, daemon: Daemon) -> list[Step]:
    return [
        Step(
            f"raise floor {name}",
            {
                "serving": daemon.phase == SERVING,
                "higher": FLOOR < CHOSEN,
                "newest record stays": daemon.view > CHOSEN,
            },
            [(FLOOR, CHOSEN)],
        )
    ]


def _list_shared_steps(daemons: list[Daemon]) -> list[Step]:
    ready = [
        z3.Implies(
            z3.And(item.row, item.row_ready), item.row_revision >= CHOSEN
        )
        for item in daemons
    ]
    starting = [
        z3.Implies(
            z3.And(item.row, z3.Not(item.row_ready)),
            item.row_revision >= CHOSEN,
        )
        for item in daemons
    ]
    return [
        Step(
            "remove rows",
            {"higher": REMOVED < CHOSEN, "archived": CHOSEN <= FLOOR},
            [(REMOVED, CHOSEN)],
        ),
        Step(
            "report in force",
            {
                "accepted": CHOSEN <= HEAD,
                "serving daemons confirmed": z3.And(ready),
                "starting daemons confirmed": z3.And(starting),
            },
            [(REPORTED, z3.If(CHOSEN > REPORTED, CHOSEN, REPORTED))],
        ),
    ]


def _build_peer_start(name: str, daemon: Daemon, peer: Daemon) -> Step:
    """Return the step that starts from a peer, without a row in the table.

    This happens while the table is unavailable.
    """
    return Step(
        f"load from peer {name}",
        {"off": daemon.phase == OFF, "peer serves": peer.phase == SERVING},
        [(daemon.phase, z3.IntVal(SERVING)), (daemon.view, peer.view)],
    )


def _build_invariant(daemon: Daemon) -> z3.BoolRef:
    """Return the inductive invariant of one daemon."""
    in_flight = daemon.append == IN_FLIGHT
    return z3.And(
        daemon.view >= 0,
        daemon.view <= HEAD,
        implies_all(
            daemon.phase == SERVING,
            daemon.row,
            daemon.row_revision <= daemon.view,
            daemon.known_floor <= daemon.view,
            daemon.known_floor <= FLOOR,
        ),
        implies_all(
            daemon.phase == REGISTERED,
            daemon.row,
            daemon.row_revision == 0,
        ),
        implies_all(
            in_flight,
            daemon.sent <= HEAD + 1,
            daemon.sent_floor < daemon.sent,
        ),
        z3.Implies(daemon.append == COMMITTED, daemon.sent <= HEAD),
        z3.Implies(z3.And(in_flight, daemon.denied), daemon.sent <= HEAD),
    )


def build_machine(count: int, peer_start: bool = False) -> Machine:
    """Return the machine with `count` daemons.

    With `peer_start`, a daemon may load its view from a peer and serve
    without a row in the table.
    """
    daemons = [_build_daemon(index) for index in range(count)]
    steps = _list_shared_steps(daemons)
    for index, daemon in enumerate(daemons):
        steps += _list_append_steps(str(index), daemon)
        steps += _list_answer_steps(str(index), daemon)
        steps += _list_lifecycle_steps(str(index), daemon)
        steps += _list_compaction_steps(str(index), daemon)
        if peer_start:
            peer = daemons[index - 1]
            steps.append(_build_peer_start(str(index), daemon, peer))
    variables = [HEAD, FLOOR, REMOVED, REPORTED, *FLAGS]
    initial = [HEAD >= 0, FLOOR == 0, REMOVED == 0, REPORTED == 0]
    initial += [z3.Not(flag) for flag in FLAGS]
    for daemon in daemons:
        variables += daemon.variables
        initial += _build_initial(daemon)
    return Machine(
        variables,
        initial,
        steps,
        _list_properties(daemons),
        {
            "bounds": z3.And(
                REMOVED >= 0, REMOVED <= FLOOR, FLOOR <= HEAD, REPORTED <= HEAD
            ),
            "daemons": z3.And([_build_invariant(item) for item in daemons]),
        },
        [CHOSEN],
    )


def _build_initial(daemon: Daemon) -> list[z3.BoolRef]:
    """Return the initial state: off, or serving any prefix of the log."""
    return [
        z3.Or(daemon.phase == OFF, daemon.phase == SERVING),
        daemon.row == (daemon.phase == SERVING),
        daemon.row_ready == daemon.row,
        daemon.append == IDLE,
        z3.Not(daemon.denied),
        daemon.view >= 0,
        daemon.view <= HEAD,
        daemon.known_floor == 0,
        daemon.row_revision == 0,
        daemon.sent == 0,
        daemon.sent_floor == 0,
    ]


def _list_properties(daemons: list[Daemon]) -> dict[str, z3.BoolRef]:
    return {
        "views never regress": z3.Not(VIEW_REGRESSED),
        "a revision is written once": z3.Not(RECOMMITTED),
        "a refused append is never committed": z3.Not(DENIED_COMMITTED),
        "an accepted record is in the log": z3.Not(WRONGLY_ACCEPTED),
        "a ticket in force is served everywhere": z3.And(
            [
                z3.Implies(item.phase == SERVING, item.view >= REPORTED)
                for item in daemons
            ]
        ),
    }
