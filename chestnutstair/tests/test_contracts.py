"""Tests of what the contracts of a deployment call for."""

import unittest

from chestnutstair.platform.contracts import calls_for_turns


class ContractsTest(unittest.TestCase):
    """Guards against new behaviour on deployments that do not ask for it."""

    def test_turns_are_followed_only_where_room_is_scarce(self) -> None:
        self.assertTrue(calls_for_turns(("base", "pressure")))
        self.assertFalse(calls_for_turns(("base", "tenants", "quota")))
        self.assertFalse(calls_for_turns(()))


if __name__ == "__main__":
    unittest.main()
