"""Tests of the settings file and its samples."""

import json
import tempfile
import unittest
from pathlib import Path

from chestnutstair.settings import DaemonSettings, read_settings
from chestnutstair.state.change import TicketChange
from chestnutstair.state.codec import decode_json
from chestnutstair.state.fold import apply_change
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView
from tools.settings_page import build_page

SAMPLES = Path(__file__).resolve().parents[2] / "samples"


class SettingsTest(unittest.TestCase):
    """Settings are validated completely before anything starts."""

    def test_samples_have_no_mistakes(self) -> None:
        paths = sorted(SAMPLES.glob("*/entry-*.json"))
        self.assertEqual(len(paths), 14)
        for path in paths:
            self.assertIsInstance(read_settings(path).unwrap(), DaemonSettings)

    def test_sample_tickets_are_accepted(self) -> None:
        for path in sorted(SAMPLES.glob("*/ticket-1.json")):
            ticket = decode_json(Ticket, path.read_bytes()).unwrap()
            change = TicketChange(ticket)
            self.assertTrue(apply_change(FleetView(), change).is_ok())

    def test_lists_all_mistakes_with_their_paths(self) -> None:
        path = SAMPLES / "papagalaki" / "entry-0.json"
        document = json.loads(path.read_text())
        document["zone"] = "No Zone"
        document["colour"] = "green"
        document["membership"]["lease_seconds"] = "soon"
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(document, file)
            file.flush()
            failure = read_settings(Path(file.name)).unwrap_err()
        paths = {mistake.path for mistake in failure.mistakes}
        expected = {"zone", "colour", "membership.lease_seconds"}
        self.assertEqual(paths, expected)

    def test_reports_an_unreadable_file(self) -> None:
        failure = read_settings(Path("no-such-file.json")).unwrap_err()
        self.assertEqual(failure.mistakes[0].path, "no-such-file.json")

    def test_the_settings_page_is_up_to_date(self) -> None:
        page = SAMPLES.parent / "docs" / "settings.md"
        self.assertEqual(page.read_text(), build_page())
