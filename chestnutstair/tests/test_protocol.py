"""Seeded tests of starts, ends and takeovers under random faults."""

import unittest

from chestnutstair.tests.protocol_simulation import Simulation

SEEDS = 150
EVENTS = 600
# 30 s without faults, far longer than leases and delays.
FAULT_FREE_ROUNDS = 150


class ProtocolTest(unittest.TestCase):
    """Lost, late and reordered orders, restarts and takeovers."""

    def test_no_task_runs_twice_early_or_too_often(self) -> None:
        for seed in range(SEEDS):
            simulation = Simulation(seed)
            self.addCleanup(simulation.orders.close)
            simulation.run(EVENTS)
            simulation.settle(FAULT_FREE_ROUNDS)
            self.assertEqual(simulation.violations, [], f"seed {seed}")

    # Guards against two runs of a task when a VM's next worker, under another
    # name, ends the one before.
    def test_no_task_runs_twice_if_workers_return_under_other_names(
        self,
    ) -> None:
        for seed in range(SEEDS):
            simulation = Simulation(seed, renames=True)
            self.addCleanup(simulation.orders.close)
            simulation.run(EVENTS)
            simulation.settle(FAULT_FREE_ROUNDS)
            self.assertEqual(simulation.violations, [], f"seed {seed}")
            active = [
                record.name for record in simulation.tracker.active.values()
            ]
            self.assertEqual(active, [], f"seed {seed}")

    # Guards against two runs of a task when the leader believes an entry that
    # another writer made, or the time of a clock that was set back.
    def test_no_task_runs_twice_with_wrong_entries(self) -> None:
        for seed in range(SEEDS):
            simulation = Simulation(
                seed, renames=seed % 2 == 1, wrong_entries=True
            )
            self.addCleanup(simulation.orders.close)
            simulation.run(EVENTS)
            simulation.settle(FAULT_FREE_ROUNDS)
            self.assertEqual(simulation.violations, [], f"seed {seed}")
            active = [
                record.name for record in simulation.tracker.active.values()
            ]
            self.assertEqual(active, [], f"seed {seed}")

    def test_every_job_ends_once_the_faults_are_over(self) -> None:
        for seed in range(SEEDS):
            simulation = Simulation(seed)
            self.addCleanup(simulation.orders.close)
            simulation.run(EVENTS)
            simulation.settle(FAULT_FREE_ROUNDS)
            active = [
                record.name for record in simulation.tracker.active.values()
            ]
            self.assertEqual(active, [], f"seed {seed}")
