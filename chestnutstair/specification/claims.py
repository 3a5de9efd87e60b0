"""Model of a non-idempotent request sent through several daemons.

Each attempt claims the request by writing its row on the condition that
the row is absent, and then sends the request once. An attempt that sent
nothing removes its row. Steps may be delayed without limit, as at a paused
daemon. The sweep of expired claims isn't modelled.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import z3

from chestnutstair.specification.machine import (
    Machine,
    Step,
    count_true,
)

__all__ = ["build_machine"]

NEW, CLAIMING, OWNING, SENT, ENDED = range(5)
NOTHING, IN_FLIGHT, DONE = range(3)
NOBODY = -1

OWNER = z3.Int("owner")  # attempt that the row names, or NOBODY
# A caller was told "not run" although a request had been sent.
FALSE_NOT_RUN = z3.Bool("said_wrongly")


@dataclass(frozen=True)
class Attempt:
    """The variables of one attempt at one daemon."""

    state: z3.ArithRef  # NEW to ENDED
    claim: z3.ArithRef  # write of the row: NOTHING, IN_FLIGHT or DONE
    request: z3.ArithRef  # to the target: NOTHING, IN_FLIGHT or DONE
    removal: z3.ArithRef  # unconditional delete of the row: same values

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
                "row is absent": OWNER == NOBODY,
            },
            [
                (attempt.claim, z3.IntVal(DONE)),
                (OWNER, z3.IntVal(index)),
            ],
        ),
        Step(
            # Learned from the answer, or from a read after an unknown outcome.
            f"become owner {index}",
            {
                "claiming": attempt.state == CLAIMING,
                "own claim": index == OWNER,
            },
            [(attempt.state, z3.IntVal(OWNING))],
        ),
        Step(
            f"end {index}",  # daemon crashes, or reports an unknown outcome
            {},
            [(attempt.state, z3.IntVal(ENDED))],
        ),
    ]


def _list_request_steps(
    index: int, attempt: Attempt, attempts: Sequence[Attempt]
) -> list[Step]:
    any_sent = z3.Or([item.request != NOTHING for item in attempts])
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
            f"report not run {index}",
            {
                "under way": z3.Or(
                    attempt.state == CLAIMING,
                    attempt.state == OWNING,
                    attempt.state == SENT,
                ),
                "owner has sent nothing": attempt.state == OWNING,
            },
            [
                (attempt.state, z3.IntVal(ENDED)),
                (attempt.removal, z3.IntVal(IN_FLIGHT)),
                (FALSE_NOT_RUN, z3.Or(FALSE_NOT_RUN, any_sent)),
            ],
        ),
        Step(
            # The claim was committed after the caller had been answered.
            f"release row {index}",
            {
                "ended": attempt.state == ENDED,
                "own row": index == OWNER,
                "has sent nothing": attempt.request == NOTHING,
                "one removal": attempt.removal == NOTHING,
            },
            [(attempt.removal, z3.IntVal(IN_FLIGHT))],
        ),
        Step(
            f"remove row {index}",
            {"removal in flight": attempt.removal == IN_FLIGHT},
            [
                (attempt.removal, z3.IntVal(DONE)),
                (OWNER, z3.IntVal(NOBODY)),
            ],
        ),
    ]


def _build_invariant(index: int, attempt: Attempt) -> z3.BoolRef:
    """Return the inductive invariant of one attempt."""
    owns = index == OWNER
    return z3.And(
        attempt.state >= NEW,
        attempt.state <= ENDED,
        z3.Implies(attempt.state == OWNING, owns),
        z3.Implies(attempt.state <= OWNING, attempt.request == NOTHING),
        z3.Implies(attempt.state < ENDED, attempt.removal == NOTHING),
        z3.Implies(attempt.state == NEW, attempt.claim == NOTHING),
        z3.Implies(attempt.request != NOTHING, owns),
        z3.Implies(
            attempt.removal == IN_FLIGHT,
            z3.And(owns, attempt.request == NOTHING),
        ),
        z3.Implies(owns, attempt.claim == DONE),
    )


def build_machine(count: int) -> Machine:
    """Return the machine with `count` attempts at one request."""
    attempts = [
        Attempt(
            z3.Int(f"state{index}"),
            z3.Int(f"claim{index}"),
            z3.Int(f"request{index}"),
            z3.Int(f"removal{index}"),
        )
        for index in range(count)
    ]
    variables = [OWNER, FALSE_NOT_RUN]
    initial = [OWNER == NOBODY, z3.Not(FALSE_NOT_RUN)]
    steps = []
    for index, attempt in enumerate(attempts):
        variables += attempt.variables
        initial += [item == 0 for item in attempt.variables]
        steps += _list_claim_steps(index, attempt)
        steps += _list_request_steps(index, attempt, attempts)
    runs = count_true([item.request == DONE for item in attempts])
    return Machine(
        variables,
        initial,
        steps,
        {
            "runs at most once": runs <= 1,
            "reported not run has not run": z3.Not(FALSE_NOT_RUN),
        },
        {
            f"attempt {index}": _build_invariant(index, attempt)
            for index, attempt in enumerate(attempts)
        },
    )
