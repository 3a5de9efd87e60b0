"""Tests that the page of proofs names tests that exist."""

import re
import unittest
from importlib import import_module
from pathlib import Path

PAGE = Path(__file__).resolve().parents[2] / "docs" / "PROOFS.md"
PROMISES = [f"P{number}" for number in range(1, 10)]
FAULTS = [f"F{number}" for number in range(1, 16)]


class ProofsTest(unittest.TestCase):
    """The page names existing tests and explains every promise and fault."""

    def test_every_test_named_exists(self) -> None:
        names = re.findall(r"`(test_\w+)\.(\w+)\.(\w+)`", PAGE.read_text())
        self.assertGreater(len(names), 50)
        for module, case, method in names:
            found = import_module(f"chestnutstair.tests.{module}")
            self.assertTrue(hasattr(getattr(found, case), method), method)

    def test_every_promise_and_fault_is_explained(self) -> None:
        head = PAGE.read_text().partition("| promise |")[0]
        for name in PROMISES + FAULTS:
            self.assertRegex(head, rf"\b{name}\s")
