"""Proofs of the specification, and mutants that violate its properties."""

import unittest

import z3

from chestnutstair.specification import (
    claims,
    configuration,
    drains,
    duties,
)
from chestnutstair.specification.checker import (
    find_counterexample,
    find_induction_counterexamples,
    find_trace,
    find_trace_of_steps,
)
from chestnutstair.specification.machine import Machine

WITHIN_BUDGET = "planned stops keep the budget"
NO_REQUEST_CUT = "planned stops cut no request"
ANNOUNCED_IN_ORDER = "announced after all live daemons know"
SERVING_VM_ACCEPTS = "a serving VM accepts requests"

ANNOUNCE_STEPS = (
    "start drain 0 0",
    "report 0",
    "command draining 0 0",
    "deliver 0",
)
IDLE_STEPS = ("drop 0", "see idle 0")
REBOOT_STEPS = ("record reboot 0 0", "command rebooting 0 0")


class InductionTest(unittest.TestCase):
    """The properties hold after any number of steps."""

    def check(self, machine: Machine) -> None:
        self.assertEqual(find_induction_counterexamples(machine), [])

    def test_configuration(self) -> None:
        self.check(configuration.build_machine(7))

    def test_duties(self) -> None:
        self.check(duties.build_machine(7))

    def test_drains(self) -> None:
        self.check(drains.build_machine(3, 3))

    def test_claims(self) -> None:
        self.check(claims.build_machine(7))


class StepsTest(unittest.TestCase):
    """Each step is reachable, so that no proof holds vacuously."""

    def check(self, machine: Machine, bound: int) -> None:
        for step in machine.steps:
            if step.name.endswith(" 1"):
                continue  # the same step of another daemon or attempt
            goal = z3.And(*step.guards.values())
            self.assertIsNotNone(find_trace(machine, goal, bound), step.name)

    def test_configuration(self) -> None:
        self.check(configuration.build_machine(2), 5)

    def test_duties(self) -> None:
        self.check(duties.build_machine(2), 5)

    def test_claims(self) -> None:
        self.check(claims.build_machine(2), 5)

    def test_drains(self) -> None:
        machine = drains.build_machine(1, 1)
        rebooted = (*ANNOUNCE_STEPS, *IDLE_STEPS, *REBOOT_STEPS, "deliver 0")
        undone = (
            *ANNOUNCE_STEPS,
            "drop 0",
            "undo 0 0",
            "command returning 0 0",
        )
        for names in (
            (*rebooted, "record reboot's end 0 0", "start drain 0 0"),
            (*undone, "deliver 0", "record recovery 0 0", "request 0"),
            ("request 0", "finish 0", "record outage 0 0", "fail 0"),
        ):
            trace = find_trace_of_steps(machine, names, z3.BoolVal(True))
            self.assertIsNotNone(trace, names)


class MutantTest(unittest.TestCase):
    """Dropping any one of these guards violates a property."""

    def check(
        self, machine: Machine, guard: str, violated: str, bound: int
    ) -> None:
        self.assertIn(guard, machine.list_guards())
        mutant = machine.drop_guard(guard)
        self.assertIsNotNone(
            find_counterexample(mutant, violated, bound), guard
        )

    def test_configuration(self) -> None:
        machine = configuration.build_machine(2)
        rewritten = "a revision is written once"
        in_force = "a ticket in force is served everywhere"
        for guard, violated, bound in (
            ("revision is free", rewritten, 4),
            ("floor unmoved", rewritten, 4),
            ("floor within the view", rewritten, 5),
            ("newer", "views never regress", 1),
            ("own record", "an accepted record is in the log", 3),
            (
                "other daemon's record",
                "a refused append is never committed",
                3,
            ),
            ("registered first", in_force, 4),
            ("view has the revision", in_force, 2),
            ("serving daemons confirmed", in_force, 2),
            ("starting daemons confirmed", in_force, 5),
            ("gone", in_force, 2),
        ):
            self.check(machine, guard, violated, bound)

    def test_duties(self) -> None:
        machine = duties.build_machine(2)
        holders = "one holder at a time"
        for guard, violated, bound in (
            ("unchanged for the lease", holders, 2),
            ("takeover on the duty's row", holders, 2),
            ("takeover on the beat", holders, 6),
            ("renewal on the duty's row", holders, 6),
            ("release on the duty's row", holders, 6),
            ("answer", holders, 5),
            ("own row", holders, 4),
            ("bounded drift", holders, 3),
            ("write on the duty's row", "no stale write takes effect", 3),
        ):
            self.check(machine, guard, violated, bound)

    def test_two_holders_without_a_margin(self) -> None:
        machine = duties.build_machine(2, margin=0)
        violated = "one holder at a time"
        self.assertIsNotNone(find_counterexample(machine, violated, 3))

    def test_claims(self) -> None:
        machine = claims.build_machine(2)
        once = "runs at most once"
        for guard, violated, bound in (
            ("row is absent", once, 10),
            ("own claim", once, 10),
            ("owns the claim", once, 4),
            ("has sent nothing", once, 13),
            ("removal in flight", once, 11),
            ("owner has sent nothing", "reported not run has not run", 6),
        ):
            self.check(machine, guard, violated, bound)

    def test_drains(self) -> None:
        undone_late = (
            "undo 0 0",
            "command returning 0 0",
            "deliver 0",
            "drop 0",
        )
        drained = (*ANNOUNCE_STEPS, *IDLE_STEPS)
        rebooted = (*drained, *REBOOT_STEPS, "deliver 0")
        request_before_reboot = (
            REBOOT_STEPS[0],
            "request 0",
            REBOOT_STEPS[1],
            "deliver 0",
        )
        delivered_again = ("request 0", "deliver 0")
        first_drain = ("start drain 0 0", "report 0", "learn 1", "report 1")
        stale_command = (
            "command draining 1 0",
            "record recovery 0 0",
            "deliver 0",
        )
        busy = (
            "request 0",
            *ANNOUNCE_STEPS,
            *IDLE_STEPS,
            *REBOOT_STEPS,
            "deliver 0",
        )
        lowered = ("ticket", "learn 0", "ticket", "start drain 0 0")
        shrunk = (*drained, "ticket", "learn 0", "record reboot 0 0")
        for guard, violated, daemons, names in (
            ("within the budget", WITHIN_BUDGET, 1, ("start drain 0 0",)),
            ("next revision", WITHIN_BUDGET, 1, lowered),
            ("still within the budget", WITHIN_BUDGET, 1, shrunk),
            (
                "confirmed by all live",
                ANNOUNCED_IN_ORDER,
                2,
                ("start drain 0 0", "command draining 0 0"),
            ),
            (
                "seen idle",
                NO_REQUEST_CUT,
                1,
                ("request 0", first_drain[0], *REBOOT_STEPS, "deliver 0"),
            ),
            ("nothing runs", NO_REQUEST_CUT, 1, busy),
            (
                "announced",
                NO_REQUEST_CUT,
                2,
                (first_drain[0], "see idle 0", *request_before_reboot),
            ),
            (
                "VM accepts requests",
                NO_REQUEST_CUT,
                2,
                (
                    *ANNOUNCE_STEPS[:2],
                    "cut off 1",
                    *ANNOUNCE_STEPS[2:],
                    *IDLE_STEPS,
                    *request_before_reboot,
                ),
            ),
            (
                "once per operation",
                NO_REQUEST_CUT,
                1,
                (*rebooted, "record reboot's end 0 0", *delivered_again),
            ),
            (
                "cancel delivered",
                SERVING_VM_ACCEPTS,
                1,
                (*ANNOUNCE_STEPS, undone_late[0], "record recovery 0 0"),
            ),
            (
                "rebooted",
                SERVING_VM_ACCEPTS,
                1,
                (*rebooted[:-1], "record reboot's end 0 0"),
            ),
            (
                "token not lower",
                SERVING_VM_ACCEPTS,
                2,
                (*first_drain, *undone_late, *stale_command),
            ),
        ):
            with self.subTest(guard):
                machine = drains.build_machine(1, daemons)
                goal = z3.Not(machine.properties[violated])
                mutant = machine.drop_guard(guard)
                self.assertIn(guard, machine.list_guards())
                self.assertIsNotNone(find_trace_of_steps(mutant, names, goal))
                self.assertIsNone(find_trace_of_steps(machine, names, goal))

    def test_a_vm_that_forgets_its_drain_loses_requests(self) -> None:
        machine = drains.build_machine(1, 2, keeps_leaving=False)
        goal = z3.Not(machine.properties[NO_REQUEST_CUT])
        names = (
            *ANNOUNCE_STEPS[:2],
            "cut off 1",
            *ANNOUNCE_STEPS[2:],
            *IDLE_STEPS,
            "fail 0",
            REBOOT_STEPS[0],
            "request 0",
            REBOOT_STEPS[1],
            "deliver 0",
        )
        self.assertIsNotNone(find_trace_of_steps(machine, names, goal))

    def test_a_peer_start_may_miss_a_ticket_in_force(self) -> None:
        machine = configuration.build_machine(3, peer_start=True)
        violated = "a ticket in force is served everywhere"
        self.assertIsNotNone(find_counterexample(machine, violated, 4))


if __name__ == "__main__":
    unittest.main()
