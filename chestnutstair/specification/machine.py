"""Transition systems: variables, guarded steps and properties."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

import z3

__all__ = ["Machine", "Step", "Update", "count_true", "implies_all"]

Update = tuple[z3.ExprRef, z3.ExprRef]


@dataclass(frozen=True)
class Step:
    """One atomic step, enabled whenever all its guards hold.

    Guards have names so that a mutant can drop one. Updates pair a
    variable with its next value; all other variables keep theirs.
    """

    name: str
    guards: Mapping[str, z3.BoolRef]
    updates: Sequence[Update]


@dataclass(frozen=True)
class Machine:
    """A transition system over z3 constants.

    `inputs` are constants that take any value in each step. `properties`
    must hold in every reachable state. `invariants` strengthen them so
    that both together are inductive.
    """

    variables: Sequence[z3.ExprRef]
    initial: Sequence[z3.BoolRef]
    steps: Sequence[Step]
    properties: Mapping[str, z3.BoolRef]
    invariants: Mapping[str, z3.BoolRef] = field(default_factory=dict)
    inputs: Sequence[z3.ExprRef] = ()

    def drop_guard(self, guard: str) -> "Machine":
        """Return a mutant: the machine without any guard of that name."""
        steps = [
            replace(
                step,
                guards={
                    name: condition
                    for name, condition in step.guards.items()
                    if name != guard
                },
            )
            for step in self.steps
        ]
        return replace(self, steps=steps)

    def list_guards(self) -> set[str]:
        """Return the names of all guards."""
        return {name for step in self.steps for name in step.guards}


def count_true(conditions: Sequence[z3.BoolRef]) -> z3.ArithRef:
    """Return the number of conditions that hold."""
    return z3.Sum([z3.If(item, 1, 0) for item in conditions])


def implies_all(condition: z3.BoolRef, *conclusions: z3.BoolRef) -> z3.BoolRef:
    """Return the formula: the condition implies every conclusion."""
    return z3.Implies(condition, z3.And(*conclusions))
