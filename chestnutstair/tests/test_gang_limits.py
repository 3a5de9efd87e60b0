"""Tests of refusing gangs that the cap of an organisation never admits."""

import unittest

from chestnutstair.scheduling.organisations import Cap
from chestnutstair.scheduling.organisations.gang_limits import check_gangs
from chestnutstair.scheduling.specification import JobSpecification, Step


def is_admitted(step: Step, cap: Cap, share: float = 1.0) -> bool:
    """Return whether a job with this step is accepted."""
    return check_gangs(JobSpecification("", (step,)), cap, share).is_ok()


class GangLimitTest(unittest.TestCase):
    """All tasks of a gang but one must fit below each capped dimension."""

    def test_the_last_task_may_exceed_the_cap(self) -> None:
        cap = Cap(millicores=8000)
        for millicores, admitted in (
            (2666, True),
            (2667, True),
            (4000, False),
        ):
            step = Step(3, millicores, gang=True)
            self.assertEqual(is_admitted(step, cap), admitted, millicores)

    # A task starts only below the cap: at the cap, the last one waits forever.
    def test_the_last_task_does_not_start_at_the_cap(self) -> None:
        step = Step(3, 4000, gang=True)
        self.assertTrue(is_admitted(step, Cap(8001)))
        self.assertFalse(is_admitted(step, Cap(8000)))

    def test_each_dimension_is_checked(self) -> None:
        step = Step(3, 10, 20, 1, gang=True)
        self.assertTrue(is_admitted(step, Cap(21, 41, 3)))
        for cap in (Cap(20, 41, 3), Cap(21, 40, 3), Cap(21, 41, 2)):
            self.assertFalse(is_admitted(step, cap))

    def test_no_limit_and_no_need_admit(self) -> None:
        self.assertTrue(is_admitted(Step(400, 64000, gang=True), Cap()))
        step = Step(400, 64000, gang=True)
        self.assertTrue(is_admitted(step, Cap(accelerators=1)))

    # A single task, and each task of a step that is no gang, fits sooner or
    # later.
    def test_other_steps_are_admitted(self) -> None:
        self.assertTrue(is_admitted(Step(1, 64000, gang=True), Cap(1)))
        self.assertTrue(is_admitted(Step(400, 64000), Cap(1)))

    def test_the_processor_time_of_a_filler_does_not_count(self) -> None:
        step = Step(3, 4000, 100, gang=True, filler=True)
        self.assertTrue(is_admitted(step, Cap(1)))
        self.assertFalse(is_admitted(step, Cap(1, 100)))

    def test_a_shard_has_its_part_of_the_cap(self) -> None:
        step = Step(3, 1000, gang=True)
        self.assertTrue(is_admitted(step, Cap(8000), 1 / 2))
        self.assertFalse(is_admitted(step, Cap(8000), 1 / 4))

    def test_the_reason_names_the_step_and_the_dimensions(self) -> None:
        steps = (Step(1), Step(3, 10, 10, 1, gang=True))
        answer = check_gangs(JobSpecification("", steps), Cap(20, 0, 2))
        failure = answer.err()
        assert failure is not None
        self.assertEqual(
            failure.problem,
            "the gang of step 1 exceeds the cap of its organisation: cpu, gpu",
        )
