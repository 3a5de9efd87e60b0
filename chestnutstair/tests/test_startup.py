"""Tests of daemons that cannot start, and of the ports that tests use."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from chestnutstair.standins.ports import pick_port
from chestnutstair.standins.webserver import HOST, reserve_port
from chestnutstair.startup import EXIT_NOT_STARTED

END_SECONDS = 30.0  # a start takes about 1 s on an idle machine


class AddressInUseTest(unittest.TestCase):
    """A daemon exits with a distinct status if its address is in use."""

    def start_daemon(
        self, module: str, used_field: str, *free_fields: str
    ) -> int:
        socket = reserve_port()
        self.addCleanup(socket.close)
        socket.listen()
        settings = {"name": "entry-0", "zone": "zone-a"}
        for field in free_fields:
            settings[field] = f"{HOST}:{pick_port()}"
        settings[used_field] = f"{HOST}:{socket.getsockname()[1]}"
        settings["platform_url"] = f"http://{HOST}:{pick_port()}"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            path.write_text(json.dumps(settings))
            completed = subprocess.run(
                [sys.executable, "-m", module, "run", str(path)],
                check=False,
                capture_output=True,
                timeout=END_SECONDS,
            )
        self.assertIn(b"can not listen", completed.stderr)
        return completed.returncode

    def test_daemon_exits_if_its_peers_address_is_in_use(self) -> None:
        status = self.start_daemon(
            "chestnutstair.daemon",
            "peers_address",
            "callers_address",
            "admin_address",
        )
        self.assertEqual(status, EXIT_NOT_STARTED)

    def test_scheduler_exits_if_its_callers_address_is_in_use(self) -> None:
        status = self.start_daemon(
            "chestnutstair.fleetd",
            "callers_address",
            "ready_address",
            "nodes_address",
            "store_address",
            "vms_address",
        )
        self.assertEqual(status, EXIT_NOT_STARTED)


class PickPortTest(unittest.TestCase):
    """A test never gives the same port to two processes at a time."""

    def test_a_picked_port_is_not_picked_again(self) -> None:
        first = pick_port()
        ports = (first, first + 40)
        picked = {first, *(pick_port(ports) for _ in range(8))}
        self.assertEqual(len(picked), 9)
