"""Tests of which jobs are in time where demand exceeds a pool's room."""

import unittest

from chestnutstair.tests.overload_model import OverloadModel

SECONDS = 6.0
# Part of the room that must serve work that ends in time.
MIN_SHARE = 0.9


class OverloadTest(unittest.TestCase):
    """One pool of 20 workers under a burst of small parallel jobs."""

    def check_work_in_time(self, factor: float, seed: int) -> None:
        model = OverloadModel(seed)
        result = model.play(factor, SECONDS)
        allowed = min(result.work, model.room * SECONDS)
        self.assertGreaterEqual(result.work_in_time, MIN_SHARE * allowed)

    def test_room_serves_jobs_in_time_at_three_times_the_demand(self) -> None:
        # Guards against SHORT: each job started at the last moment, ended
        # late, and a fifth of the room served nobody in time.
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.check_work_in_time(3.0, seed)

    def test_room_serves_jobs_in_time_at_many_times_the_demand(self) -> None:
        # Guards against the same where a quarter of the room was lost.
        self.check_work_in_time(7.5, 1)

    def test_all_jobs_are_in_time_below_the_room(self) -> None:
        # Guards against an order that costs where there is room for all.
        result = OverloadModel(1).play(0.8, SECONDS)
        self.assertEqual(result.in_time, result.jobs)


if __name__ == "__main__":
    unittest.main()
