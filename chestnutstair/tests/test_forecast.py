"""Tests of the load forecast."""

import unittest

from chestnutstair.coordination.forecast import LoadForecaster
from chestnutstair.tests.support import ManualClock


class ForecastTest(unittest.TestCase):
    """A peak is predicted at the hour of the day at which it occurred."""

    def test_expects_the_peak_of_earlier_days(self) -> None:
        clock = ManualClock(0.0)
        forecaster = LoadForecaster(clock)
        self.assertEqual(forecaster.predict("quotes"), 0.0)
        for minute in range(2 * 24 * 60):
            clock.now = minute * 60.0
            busy = minute // 60 % 24 == 9
            forecaster.observe("quotes", 0.9 if busy else 0.1)
        clock.now = (2 * 24 + 9) * 3600.0
        self.assertAlmostEqual(forecaster.predict("quotes"), 0.9)
        clock.now += 3600.0
        self.assertLess(forecaster.predict("quotes"), 0.2)
