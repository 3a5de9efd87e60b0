"""A non-idempotent request that its caller sends through several daemons.

Each attempt claims the request's row on the condition that it is absent,
and sends the request once after that. A paused daemon's steps come late.
The removal of old claims is left out.
"""

from dataclasses import dataclass

import z3

from chestnutstair.specification.machine import (
    Machine,
    Step,
    add_up,
    implies_all,
)

__all__ = ["build_machine"]

NEW, CLAIMING, OWNING, SENT, ENDED = range(5)
NOTHING, IN_FLIGHT, DONE = range(3)
NOBODY = -1

OWNER = z3.Int("owner")  # the attempt that the row names
SAID_NOT_RUN = z3.Bool("said_not_run")


@dataclass(frozen=True)
class Attempt:
    """The variables of one attempt, at one daemon."""

    state: z3.ArithRef
    claim: z3.ArithRef
    request: z3.ArithRef  # at the target

    @property
    def variables(self) -> list[z3.ExprRef]:
        """All variables of the attempt."""
        return list(vars(self).values())


def _list_claim_steps(index: int, attempt: Attempt) -> list[Step]:
    return [
        Step(
            f"send claim {index}",
            {"new": attempt.state == NEW},
            [
                (attempt.state, z3.IntVal(CLAIMING)),
                (attempt.claim, z3.IntVal(IN_FLIGHT)),
            ],
        ),
        Step(
            f"commit claim {index}",
            {
                "claim in flight": attempt.claim == IN_FLIGHT,
                "claim on absent": OWNER == NOBODY,
            },
            [
                (attempt.claim, z3.IntVal(DONE)),
                (OWNER, z3.IntVal(index)),
            ],
        ),
        Step(
            f"own {index}",  # by the answer, or by the resolving read
            {
                "claiming": attempt.state == CLAIMING,
                "own claim": index == OWNER,
            },
            [(attempt.state, z3.IntVal(OWNING))],
        ),
        Step(
            f"end {index}",  # the daemon dies, or says that it is unknown
            {},
            [(attempt.state, z3.IntVal(ENDED))],
        ),
    ]


def _list_request_steps(index: int, attempt: Attempt) -> list[Step]:
    return [
        Step(
            f"send {index}",
            {"owns the claim": attempt.state == OWNING},
            [
                (attempt.state, z3.IntVal(SENT)),
                (attempt.request, z3.IntVal(IN_FLIGHT)),
            ],
        ),
        Step(
            f"run {index}",
            {"request in flight": attempt.request == IN_FLIGHT},
            [(attempt.request, z3.IntVal(DONE))],
        ),
        Step(
            f"say not run {index}",
            {
                "under way": z3.Or(
                    attempt.state == CLAIMING,
                    attempt.state == OWNING,
                    attempt.state == SENT,
                ),
                "owner sent nothing": attempt.state == OWNING,
            },
            [
                (attempt.state, z3.IntVal(ENDED)),
                (SAID_NOT_RUN, z3.BoolVal(True)),
            ],
        ),
    ]


def _describe_reachable(index: int, attempt: Attempt) -> z3.BoolRef:
    """Return the part of the inductive invariant about one attempt."""
    owns = index == OWNER
    unsent = z3.And(attempt.state == ENDED, attempt.request == NOTHING)
    return z3.And(
        attempt.state >= NEW,
        attempt.state <= ENDED,
        z3.Implies(attempt.state == OWNING, owns),
        z3.Implies(attempt.state <= OWNING, attempt.request == NOTHING),
        z3.Implies(attempt.request != NOTHING, owns),
        z3.Implies(attempt.claim == DONE, owns),
        implies_all(SAID_NOT_RUN, OWNER != NOBODY, z3.Implies(owns, unsent)),
    )


def build_machine(count: int) -> Machine:
    """Return the machine with that many attempts at one request."""
    attempts = [
        Attempt(
            z3.Int(f"state{index}"),
            z3.Int(f"claim{index}"),
            z3.Int(f"request{index}"),
        )
        for index in range(count)
    ]
    variables = [OWNER, SAID_NOT_RUN]
    initial = [OWNER == NOBODY, z3.Not(SAID_NOT_RUN)]
    steps = []
    for index, attempt in enumerate(attempts):
        variables += attempt.variables
        initial += [item == 0 for item in attempt.variables]
        steps += _list_claim_steps(index, attempt)
        steps += _list_request_steps(index, attempt)
    runs = add_up([item.request == DONE for item in attempts])
    return Machine(
        variables,
        initial,
        steps,
        {
            "runs at most once": runs <= 1,
            "said not run has not run": z3.Implies(SAID_NOT_RUN, runs == 0),
        },
        {
            f"attempt {index}": _describe_reachable(index, attempt)
            for index, attempt in enumerate(attempts)
        },
    )
