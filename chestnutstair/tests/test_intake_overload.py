"""Tests of job intake around a slow period of the store, in model time.

The load: 60 submissions a second by callers that retry 4 times within 3 s,
and a store with 200 writes a second for each partition that is 42 times
slower for 3.5 s.
"""

import unittest
from statistics import mean, quantiles

from tools.intake_model import (
    BuildNode,
    IntakeModel,
    ModelSettings,
    Report,
    build_grouping_only,
    build_new,
    build_one_write_each,
)

SEEDS = (1, 2, 3)
RECOVERY_SECONDS = 1.0
RECOVERY_SHARE = 0.95
LAYOUTS = {"1 partition": build_grouping_only, "6 partitions": build_new}


def run(build: BuildNode, **fields: float) -> Report:
    """Return what callers of the model saw."""
    return IntakeModel(build, ModelSettings(**fields)).run()  # type: ignore[arg-type]


class SlowStoreTest(unittest.TestCase):
    """Intake accepts again within 1 s of the recovery of the store."""

    def check_recovery(self, report: Report) -> None:
        settings = report.settings
        self.assertLessEqual(report.find_recovery(), RECOVERY_SECONDS)
        begin = settings.recovered_at + RECOVERY_SECONDS
        wanted = RECOVERY_SHARE * settings.submissions_per_second
        for second in range(int(settings.end - begin)):
            at = begin + second
            self.assertGreaterEqual(
                report.compute_rate(at, at + 1.0), wanted, second
            )
        share = report.compute_share(begin, settings.end)
        self.assertGreaterEqual(share, RECOVERY_SHARE)
        self.assertEqual(report.false_refusals, 0)

    def test_one_write_for_each_submission_does_not_recover(self) -> None:
        # The intake before: its attempts and relays, and those of its
        # callers, exceed what the store writes, long after the recovery.
        report = run(build_one_write_each)
        recovered = report.settings.recovered_at
        self.assertGreater(report.find_recovery(), RECOVERY_SECONDS)
        self.assertLess(report.compute_rate(recovered, recovered + 8), 1.0)

    def test_intake_recovers_with_the_store(self) -> None:
        for name, build in LAYOUTS.items():
            for nodes in (8, 30):
                for seed in SEEDS:
                    with self.subTest(name, nodes=nodes, seed=seed):
                        report = run(build, nodes=nodes, seed=seed)
                        self.check_recovery(report)

    def test_intake_of_many_nodes_recovers_with_the_store(self) -> None:
        # Each node has a write in flight, so the store's queue grows with
        # their number; partitions divide it.
        for build, nodes in ((build_grouping_only, 100), (build_new, 300)):
            with self.subTest(nodes=nodes):
                self.check_recovery(run(build, nodes=nodes))

    def test_intake_recovers_if_the_store_refuses_a_long_queue(self) -> None:
        for name, build in LAYOUTS.items():
            for nodes in (8, 30):
                for limit in (200, 5):
                    with self.subTest(name, nodes=nodes, limit=limit):
                        report = run(build, nodes=nodes, waiting_limit=limit)
                        self.check_recovery(report)

    def test_intake_recovers_if_slow_writes_stay_slow(self) -> None:
        # A store that runs what arrived while it was slow at that speed.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                report = run(build_new, keeps_duration=True, seed=seed)
                self.check_recovery(report)

    def test_more_is_accepted_while_the_store_is_slow(self) -> None:
        before = run(build_one_write_each)
        begin, end = before.settings.slow_from, before.settings.recovered_at
        for name, build in LAYOUTS.items():
            with self.subTest(name):
                after = run(build)
                self.assertGreater(
                    after.compute_share(begin, end),
                    before.compute_share(begin, end),
                )


class CalmStoreTest(unittest.TestCase):
    """The decisions cost nothing while nothing fails."""

    def test_a_submission_takes_no_longer_than_before(self) -> None:
        before = run(build_one_write_each, slow_factor=1.0)
        for name, build in LAYOUTS.items():
            with self.subTest(name):
                after = run(build, slow_factor=1.0)
                self.assertEqual(len(after.accepted), len(after.submitted))
                self.assertLessEqual(mean(after.seconds), mean(before.seconds))
                # The last of 100 parts: the slowest submissions.
                self.assertLessEqual(
                    quantiles(after.seconds, n=100)[-1],
                    quantiles(before.seconds, n=100)[-1],
                )

    def test_every_job_is_accepted_though_responses_are_lost(self) -> None:
        for name, build in LAYOUTS.items():
            for seed in SEEDS:
                with self.subTest(name, seed=seed):
                    report = run(
                        build, slow_factor=1.0, lost_answers=0.05, seed=seed
                    )
                    share = len(report.accepted) / len(report.submitted)
                    self.assertGreaterEqual(share, 0.999)
                    self.assertEqual(report.false_refusals, 0)
