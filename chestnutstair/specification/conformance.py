"""Replays traces of the real code on the specification."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import z3
from result import Err, Ok, Result

from chestnutstair.specification.machine import Machine, Step
from chestnutstair.state.failure import Failure

__all__ = ["Event", "RefusedEventFailure", "State", "TraceRunner", "replay"]

Value = int | float | bool
State = Mapping[str, Value]


@dataclass(frozen=True)
class Event:
    """A step that the real code took.

    `inputs` are the values of the machine's inputs in this step,
    `observed` the expected values of some variables after it. Both map
    names of z3 constants to values.
    """

    step: str
    inputs: State = field(default_factory=dict)
    observed: State = field(default_factory=dict)


@dataclass(frozen=True)
class RefusedEventFailure(Failure):
    """The specification does not allow the event in the current state.

    `position` counts the events applied so far. `reason` names the guard
    that does not hold, the variable that was observed with another value,
    or the property that is violated.
    """

    position: int
    event: Event
    reason: str


class TraceRunner:
    """Applies the events of a trace one by one to concrete values.

    Variables that `start` omits are 0 or false. Raises AssertionError if
    `start` is not an initial state of the machine.
    """

    def __init__(self, machine: Machine, start: State | None = None) -> None:
        self._machine = machine
        self._steps = {step.name: step for step in machine.steps}
        self._constants = {
            item.decl().name(): item
            for item in (*machine.variables, *machine.inputs)
        }
        self._values = {
            name: _encode_value(0, item.sort())
            for name, item in self._constants.items()
        }
        # Names of the constants that a term uses, by the term's id.
        self._constants_by_term: dict[int, tuple[str, ...]] = {}
        self._assign(start or {})
        self.events: list[Event] = []
        assert all(self._holds(item) for item in machine.initial)

    def read(self, name: str) -> Value:
        """Return the current value of a variable or input."""
        return _decode_value(self._values[name])

    def apply(self, event: Event) -> Result[None, RefusedEventFailure]:
        """Apply the event's step and check the result.

        A step whose guard fails leaves the variables unchanged; one with
        unexpected values or a violated property has already been applied.
        """
        self._assign(event.inputs)
        step = self._steps[event.step]
        for guard, condition in step.guards.items():
            if not self._holds(condition):
                return self._reject(event, guard)
        self._apply_updates(step)
        self.events.append(event)
        for name, value in event.observed.items():
            if self.read(name) != value:
                return self._reject(event, name)
        for name, formula in self._machine.properties.items():
            if not self._holds(formula):
                return self._reject(event, name)
        return Ok(None)

    def _reject(self, event: Event, reason: str) -> Err[RefusedEventFailure]:
        return Err(RefusedEventFailure(len(self.events), event, reason))

    def _apply_updates(self, step: Step) -> None:
        next_values = {
            variable.decl().name(): self._evaluate(term)
            for variable, term in step.updates
        }
        self._values.update(next_values)

    def _assign(self, values: State) -> None:
        for name, value in values.items():
            sort = self._constants[name].sort()
            self._values[name] = _encode_value(value, sort)

    def _holds(self, condition: z3.BoolRef) -> bool:
        return z3.is_true(self._evaluate(condition))

    def _evaluate(self, term: z3.ExprRef) -> z3.ExprRef:
        names = self._constants_by_term.get(term.get_id())
        if names is None:
            names = tuple(sorted(_list_constants(term)))
            self._constants_by_term[term.get_id()] = names
        substitutions = [
            (self._constants[name], self._values[name]) for name in names
        ]
        return z3.simplify(z3.substitute(term, *substitutions))


def _list_constants(term: z3.ExprRef) -> set[str]:
    """Return the names of the free constants in the term."""
    names: set[str] = set()
    seen: set[int] = set()
    pending = [term]
    while pending:
        part = pending.pop()
        if part.get_id() in seen:
            continue
        seen.add(part.get_id())
        pending += part.children()
        if z3.is_const(part) and part.decl().kind() == z3.Z3_OP_UNINTERPRETED:
            names.add(part.decl().name())
    return names


def _encode_value(value: Value, sort: z3.SortRef) -> z3.ExprRef:
    if sort == z3.BoolSort():
        return z3.BoolVal(bool(value))
    return z3.IntVal(value) if sort == z3.IntSort() else z3.RealVal(value)


def _decode_value(value: z3.ExprRef) -> Value:
    if z3.is_bool(value):
        return z3.is_true(value)
    if z3.is_int_value(value):
        return value.as_long()
    return float(value.as_fraction())


def replay(
    machine: Machine, events: Iterable[Event], start: State | None = None
) -> Result[None, RefusedEventFailure]:
    """Apply the events until one is refused; return that refusal or Ok."""
    runner = TraceRunner(machine, start)
    for event in events:
        outcome = runner.apply(event)
        if outcome.is_err():
            return outcome
    return Ok(None)
