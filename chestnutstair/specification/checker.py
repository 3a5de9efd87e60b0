"""Checks transition systems with z3: induction and bounded model checking."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import z3

from chestnutstair.specification.machine import Machine, Step, Update

__all__ = [
    "InductionCounterexample",
    "Trace",
    "TraceStep",
    "Unrolling",
    "find_counterexample",
    "find_induction_counterexamples",
    "find_trace",
    "find_trace_of_steps",
]


@dataclass(frozen=True)
class InductionCounterexample:
    """A state and a step after which an invariant or property fails.

    Before the step, the state satisfies all of them, but it need not be
    reachable. `violated` names the one that fails. `state` maps the names
    of variables and inputs to their values before the step.
    """

    step_name: str  # name of the step, or "initial" for an initial state
    violated: str
    state: Mapping[str, str]


@dataclass(frozen=True)
class TraceStep:
    """A step of a trace and the values of all variables after it."""

    step_name: str
    state: Mapping[str, str]


Trace = tuple[TraceStep, ...]


class Unrolling:
    """A machine's runs of `length` steps, as one formula in a solver.

    Each variable gets one z3 constant per point in time, `name@time`,
    where time counts the steps taken.
    """

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.length = 0
        self.solver = z3.Solver()
        self._constants = [*machine.variables, *machine.inputs]
        self._constant_names = [item.decl().name() for item in self._constants]
        self._substitutions: dict[int, list[Update]] = {}
        for condition in machine.initial:
            self.solver.add(self.instantiate(condition, 0))

    def instantiate(self, term: z3.ExprRef, time: int) -> z3.ExprRef:
        """Return the term over the constants that stand for `time`.

        `time` is the number of steps taken before.
        """
        if time not in self._substitutions:
            self._substitutions[time] = [
                (item, z3.Const(f"{name}@{time}", item.sort()))
                for item, name in zip(
                    self._constants, self._constant_names, strict=True
                )
            ]
        return z3.substitute(term, *self._substitutions[time])

    def extend(self, steps: Sequence[int] | None = None) -> None:
        """Add one step: any, or one of those with the given indices."""
        time = self.length
        choice = self.get_choice(time)
        machine = self.machine
        allowed = range(len(machine.steps)) if steps is None else steps
        self.solver.add(z3.Or([choice == index for index in allowed]))
        for index in allowed:
            step = machine.steps[index]
            guard = z3.And(*step.guards.values())
            self.solver.add(
                z3.Implies(choice == index, self.instantiate(guard, time))
            )
        for variable in machine.variables:
            self.solver.add(self._build_transition(variable, time, allowed))
        self.length += 1

    def get_choice(self, time: int) -> z3.ArithRef:
        """Return the constant for the index of the step taken at `time`."""
        return z3.Int(f"step@{time}")

    def _build_transition(
        self, variable: z3.ExprRef, time: int, allowed: Sequence[int]
    ) -> z3.BoolRef:
        value = variable
        for index in allowed:
            for updated, next_value in self.machine.steps[index].updates:
                if updated.eq(variable):
                    is_chosen = self.get_choice(time) == index
                    value = z3.If(is_chosen, next_value, value)
        return self.instantiate(variable, time + 1) == self.instantiate(
            value, time
        )

    def read_trace(self) -> Trace:
        """Return the trace in the model that the solver has found.

        The solver's last check must have returned sat.
        """
        model = self.solver.model()
        trace_steps = []
        for time in range(self.length):
            index = model.eval(self.get_choice(time), True).as_long()
            state = {
                str(item): str(
                    model.eval(self.instantiate(item, time + 1), True)
                )
                for item in self.machine.variables
            }
            trace_steps.append(
                TraceStep(self.machine.steps[index].name, state)
            )
        return tuple(trace_steps)


def find_trace(machine: Machine, goal: z3.BoolRef, bound: int) -> Trace | None:
    """Return a shortest trace to a state where the goal holds.

    None means that no such state is reachable within `bound` steps.
    Raises ArithmeticError if z3 can't decide.
    """
    unrolling = Unrolling(machine)
    while True:
        unrolling.solver.push()
        unrolling.solver.add(unrolling.instantiate(goal, unrolling.length))
        verdict = unrolling.solver.check()
        if verdict == z3.sat:
            return unrolling.read_trace()
        if verdict != z3.unsat:
            raise ArithmeticError(unrolling.solver.reason_unknown())
        unrolling.solver.pop()
        if unrolling.length == bound:
            return None
        unrolling.extend()


def find_trace_of_steps(
    machine: Machine, names: Sequence[str], goal: z3.BoolRef
) -> Trace | None:
    """Return a trace of exactly the named steps that ends in the goal.

    None means that there is none, or that z3 can't decide.
    """
    indices = {step.name: index for index, step in enumerate(machine.steps)}
    unrolling = Unrolling(machine)
    for name in names:
        unrolling.extend([indices[name]])
    unrolling.solver.add(unrolling.instantiate(goal, unrolling.length))
    return (
        unrolling.read_trace() if unrolling.solver.check() == z3.sat else None
    )


def find_counterexample(
    machine: Machine, property_name: str, bound: int
) -> Trace | None:
    """Return a shortest trace that violates the property.

    None means that there is none within `bound` steps.
    """
    return find_trace(
        machine, z3.Not(machine.properties[property_name]), bound
    )


def find_induction_counterexamples(
    machine: Machine,
) -> list[InductionCounterexample]:
    """Return the counterexamples to an induction over the steps.

    The induction shows that the invariants and properties hold in every
    initial state and that each step preserves them.

    An empty list proves that the properties hold in every reachable
    state, after any number of steps. Raises ArithmeticError if z3 can't
    decide.
    """
    formulas = {**machine.invariants, **machine.properties}
    counterexamples = _find_violations(
        machine, "initial", list(machine.initial), formulas
    )
    for step in machine.steps:
        assumed = [*formulas.values(), *step.guards.values()]
        preconditions = _build_preconditions(step, formulas)
        counterexamples += _find_violations(
            machine, step.name, assumed, preconditions
        )
    return counterexamples


def _build_preconditions(
    step: Step, formulas: Mapping[str, z3.BoolRef]
) -> dict[str, z3.BoolRef]:
    """Return the weakest precondition of each formula for the step.

    Empty for a step without updates, which can't violate a formula.
    """
    if not step.updates:
        return {}
    return {
        name: z3.substitute(formula, *step.updates)
        for name, formula in formulas.items()
    }


def _find_violations(
    machine: Machine,
    step_name: str,
    assumed: Sequence[z3.BoolRef],
    formulas: Mapping[str, z3.BoolRef],
) -> list[InductionCounterexample]:
    solver = z3.Solver()
    solver.add(*assumed)
    counterexamples = []
    for name, formula in formulas.items():
        solver.push()
        solver.add(z3.Not(formula))
        verdict = solver.check()
        if verdict == z3.sat:
            model = solver.model()
            state = {
                str(item): str(model.eval(item, True))
                for item in (*machine.variables, *machine.inputs)
            }
            counterexamples.append(
                InductionCounterexample(step_name, name, state)
            )
        elif verdict != z3.unsat:
            raise ArithmeticError(solver.reason_unknown())
        solver.pop()
    return counterexamples
