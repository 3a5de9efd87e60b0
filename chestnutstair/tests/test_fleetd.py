"""Tests of the scheduler daemon's command line and its settings."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from chestnutstair.fleetd import app

SETTINGS = {
    "name": "node-1",
    "zone": "zone-a",
    "callers_address": "10.0.0.1:80",
    "ready_address": "10.0.0.1:81",
    "nodes_address": "10.0.0.1:82",
    "store_address": "10.0.0.2:80",
    "vms_address": "10.0.0.3:80",
}


class CheckTest(unittest.TestCase):
    """The `check` command lists mistakes and ignores unknown fields."""

    def check(self, **changes: object) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps({**SETTINGS, **changes}))
            result = CliRunner().invoke(app, ["check", str(path)])
        return result.exit_code, result.output

    def test_unknown_fields_are_ignored(self) -> None:
        self.assertEqual(self.check(added_later=1)[0], 0)

    def test_every_mistake_is_listed(self) -> None:
        code, output = self.check(zone=7, store_address="nowhere")
        self.assertEqual(code, 2)
        self.assertIn("zone", output)
        self.assertIn("store_address", output)
