"""Malformed configurations, waves and listed VMs do not harm the others."""

import json
import unittest
from typing import Any
from unittest import mock

from result import Ok

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.platform import PlatformDecoder, PlatformVmControl
from chestnutstair.scheduling.operator_watch import (
    OPERATOR_PARTITION,
    OPERATOR_TABLE,
    OperatorWatch,
)
from chestnutstair.scheduling.ports import RowKey, RowWrite, Vm
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.malformed_values import (
    MALFORMED_DOCUMENTS,
    MALFORMED_NUMBERS,
    MALFORMED_TEXTS,
    encode_raw,
)
from chestnutstair.tests.test_malformed_answers import AnswerStub
from chestnutstair.transport.platform_client import PlatformClient

CLOCK = SystemClock()
ROUTE: dict[str, Any] = {
    "name": "quick",
    "host": "example",
    "prefix": "/quick/",
    "service": "boxes",
    "priority": 1,
    "maxAttempts": 2,
    "stretch": 1.6,
    "targetLatencyMs": 600,
    "advice": {"validMs": 3000},
}
CONFIGURATION: dict[str, Any] = {
    "version": 5,
    "routes": [ROUTE],
    "services": [{"name": "boxes"}],
}
WAVE = {"wave": 3, "machines": ["m-1"], "durationS": 20, "cap": 1}
VM: dict[str, Any] = {
    "machine": "m-1",
    "pool": "boxes",
    "state": "up",
    "zone": "zone-a",
    "labels": ["a", "r1-2"],
    "capacity": {"cpu": 64000},
    "id": "i-1",
}
# About the nesting up to which values can be decoded.
NEARLY_TOO_DEEP = 900
# Null and 0 stand for the default in some fields.
NUMBERS = [text for text in MALFORMED_NUMBERS if text != "null"]


def list_malformed_configurations() -> list[bytes]:
    """Return configurations of a higher version that cannot be used."""
    newer = {**CONFIGURATION, "version": 9}
    values = list(MALFORMED_DOCUMENTS)
    values += [
        encode_raw(newer, version=text) for text in (*MALFORMED_NUMBERS, "9.5")
    ]
    values += [
        encode_raw(newer, **{name: text})
        for name in ("routes", "services")
        for text in ("7", "true", '"ab"', "{}", "[7]", "[null]", "[[]]")
    ]
    routes = [
        encode_raw(ROUTE, **{name: text})
        for name in ("priority", "maxAttempts", "stretch", "targetLatencyMs")
        for text in NUMBERS
        if text != "false"
    ]
    routes += [
        encode_raw(ROUTE, **{name: text})
        for name in ("name", "host", "prefix", "service")
        for text in MALFORMED_TEXTS
    ]
    routes += [
        encode_raw(ROUTE, advice=text)
        for text in ("7", "[1]", '"a"', '{"validMs": 1e400}')
    ]
    values += [
        encode_raw(newer, routes=f"[{route.decode()}]") for route in routes
    ]
    return values


def list_malformed_waves() -> list[bytes]:
    """Return waves that cannot be used."""
    values = list(MALFORMED_DOCUMENTS)
    values += [
        encode_raw(WAVE, **{name: text})
        for name in ("wave", "durationS", "cap")
        for text in MALFORMED_NUMBERS
    ]
    values += [
        encode_raw(WAVE, machines=text)
        for text in ("7", "null", '"m-1"', "{}", "true")
    ]
    return values


class OperatorRowsTest(unittest.TestCase):
    """A node follows the operator's table beside malformed rows."""

    def setUp(self) -> None:
        self.store = MemoryRowStore()
        self.watch = OperatorWatch(
            self.store, PlatformDecoder(), CLOCK, lambda: None
        )
        self.feed = self.watch._feed

    def write(self, name: str, value: bytes) -> None:
        key = RowKey(OPERATOR_TABLE, OPERATOR_PARTITION, name)
        deadline = Deadline.after(CLOCK, 1.0)
        self.store.commit([], [RowWrite(key, value)], deadline).unwrap()

    # Guards against a configuration that stops a node from following the
    # next ones, or its waves.
    def test_the_last_good_configuration_holds(self) -> None:
        self.write("config", encode_raw(CONFIGURATION))
        self.feed._step()
        for number, value in enumerate(list_malformed_configurations()):
            with self.subTest(value=value[:300]):
                self.write("config", value)
                wave = {**WAVE, "wave": number}
                self.write(f"wave/{number}", encode_raw(wave))
                self.feed._step()
                self.assertEqual(self.watch.configuration_version, 5)
                self.assertEqual(self.watch.waves[-1].number, number)
        self.write("config", encode_raw({**CONFIGURATION, "version": 10}))
        self.feed._step()
        self.assertEqual(self.watch.configuration_version, 10)

    # Guards against a wave whose arithmetic fails in each round of the fleet
    # controller, and against one wave that hides the others.
    def test_malformed_waves_do_not_hide_others(self) -> None:
        values = list_malformed_waves()
        for number, value in enumerate(values):
            self.write(f"wave/{100 + number}", value)
        self.write("wave/3", encode_raw(WAVE))
        self.feed._step()
        self.assertEqual([wave.number for wave in self.watch.waves], [3])
        for value in values:
            self.write("wave/3", value)
        self.feed._step()
        (wave,) = self.watch.waves
        self.assertEqual((wave.vms, wave.cap), (("m-1",), 1))

    def test_names_that_are_no_text_name_no_vm(self) -> None:
        value = encode_raw(WAVE, machines='[7, "m-1", null, ["m"], "\\ud800"]')
        wave = PlatformDecoder().read_wave(value)
        assert wave is not None
        self.assertEqual(wave.vms, ("m-1",))

    # Guards against a configuration that is in force although it cannot be
    # encoded for other nodes. Not seen: decoding needs more of the stack.
    def test_a_configuration_that_cannot_be_passed_on_is_rejected(
        self,
    ) -> None:
        nested = "[" * NEARLY_TOO_DEEP + "]" * NEARLY_TOO_DEEP
        self.write("config", encode_raw(CONFIGURATION))
        self.feed._step()
        for depth in range(0, 100, 5):
            inner = nested[depth : len(nested) - depth]
            value = encode_raw(
                {**CONFIGURATION, "version": 9}, tenants="[]", later=inner
            )
            self.watch.apply_if_newer(value, "a test")
            encoded = self.watch.encoded_configuration or b""
            version = json.loads(encoded)["version"]
            self.assertEqual(version, self.watch.configuration_version)

    # Guards against a line in the log for each node that offers the same one.
    def test_a_rejected_configuration_is_logged_once(self) -> None:
        module = "chestnutstair.scheduling.operator_watch"
        with self.assertLogs(module, "ERROR") as logs:
            for _ in range(5):
                self.watch.apply_if_newer(b"{}", "a node")
        self.assertEqual(len(logs.records), 1)


class VmListTest(unittest.TestCase):
    """The list of VMs is read beside malformed entries."""

    def setUp(self) -> None:
        self.pages: list[bytes] = []
        self.control = PlatformVmControl(
            PlatformClient("http://vms:80", "", "", CLOCK), CLOCK
        )
        patched = mock.patch.object(PlatformClient, "send", self.answer)
        patched.start()
        self.addCleanup(patched.stop)

    def answer(self, *_: Any) -> Any:
        return Ok(AnswerStub(self.pages.pop(0), 200))

    def list_vms(self, *items: str, token: str = '""') -> Any:
        page = f'{{"machines": [{", ".join(items)}], "nextToken": {token}}}'
        self.pages = [page.encode()]
        return self.control.list_vms()

    # Guards against one VM that hides all others, so that pools keep their
    # sizes and waves do not begin.
    def test_malformed_vms_do_not_hide_others(self) -> None:
        good = encode_raw(VM).decode()
        for item in ("7", "null", "[]", '"m"', "{}", '{"machine": 7}'):
            vms = self.list_vms(good, item, good).unwrap()
            self.assertEqual([vm.name for vm in vms], ["m-1", "m-1"], item)
        for name in ("pool", "state", "zone", "labels", "capacity"):
            for text in ("7", "true", "[7]", '{"cpu": 1e400}', '"\\ud800"'):
                odd = encode_raw({**VM, "machine": "m-2"}, **{name: text})
                vms = self.list_vms(good, odd.decode()).unwrap()
                self.assertEqual(vms[0].labels, ("a", "r1-2"))
                # It must not be ordered, but a wave has to wait for it.
                labels = () if name == "labels" else ("a", "r1-2")
                expected = Vm("m-2", "", "", "", "", labels)
                self.assertEqual(vms[1], expected, (name, text))

    def test_malformed_lists_are_failures(self) -> None:
        for page in (
            b"{}",
            b'{"machines": 7}',
            b'{"machines": null}',
            b'{"machines": [], "nextToken": [1]}',
            b'{"machines": [], "nextToken": 1e400}',
        ):
            self.pages = [page]
            failure = self.control.list_vms().unwrap_err()
            self.assertIsInstance(failure, UnavailableFailure, page)

    # Guards against a list without an end, which kept the fleet controller
    # from everything else.
    def test_a_token_that_repeats_ends_the_list(self) -> None:
        self.pages = [b'{"machines": [], "nextToken": "a"}'] * 10_000
        self.assertTrue(self.control.list_vms().is_err())

    def test_a_malformed_vm_is_logged_once(self) -> None:
        odd = encode_raw(VM, capacity="7").decode()
        with self.assertLogs("chestnutstair.platform.machines") as logs:
            for _ in range(3):
                self.list_vms(odd)
        self.assertEqual(len(logs.records), 1)
