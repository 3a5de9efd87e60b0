"""Seeded tests of the caps of organisations under random faults."""

import unittest

from chestnutstair.scheduling.organisations.usage import NOTHING
from chestnutstair.tests.organisation_simulation import (
    ORGANISATIONS,
    OrganisationSimulation,
)

SEEDS = 150
EVENTS = 800
# 30 s without faults, far longer than leases and delays.
FAULT_FREE_ROUNDS = 150


class CapProtocolTest(unittest.TestCase):
    """Random submissions, cap changes, lost and late orders, takeovers."""

    def check_seed(self, seed: int, renames: bool) -> None:
        simulation = OrganisationSimulation(seed, renames)
        self.addCleanup(simulation.orders.close)
        simulation.run(EVENTS)
        simulation.settle(FAULT_FREE_ROUNDS)
        self.assertEqual(simulation.violations, [], f"seed {seed}")
        active = list(simulation.tracker.active)
        self.assertEqual(active, [], f"seed {seed}")
        for organisation in ORGANISATIONS:
            usage = simulation.tracker.usage.get_total(organisation)
            self.assertEqual(usage, NOTHING, f"seed {seed}")

    # Guards against a run that is not counted: lost, late, given up, restored
    # or of a gang that has ended; and against one that is counted for ever.
    def test_the_cap_holds_and_all_runs_are_counted(self) -> None:
        for seed in range(SEEDS):
            self.check_seed(seed, renames=False)

    # Guards against the same when restarted workers have new names.
    def test_the_cap_holds_if_workers_return_under_other_names(self) -> None:
        for seed in range(SEEDS):
            self.check_seed(seed, renames=True)
