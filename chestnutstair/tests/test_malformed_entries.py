"""Malformed entries among those of the workers do not harm the others.

An entry may come from another writer. Every node that reads the registry meets
the same one, so whatever ends one reader would end the next one, too.
"""

import json
from typing import Any

from chestnutstair.scheduling.metrics import MALFORMED_ENTRIES
from chestnutstair.tests.leader_support import LeaderRowsTest
from chestnutstair.tests.malformed_values import (
    MALFORMED_DOCUMENTS,
    MALFORMED_NUMBERS,
    MALFORMED_TEXTS,
    encode_raw,
)

ENTRY: dict[str, Any] = {
    "service": "boxes",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "state": "ready",
    "born": 17,
    "capacity": {"cpu": 64000, "memMb": 1000, "gpu": 0},
    "labels": ["a", "r1-2"],
    "machine": "m-1",
}
MALFORMED_ADDRESSES = (
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:70000",
    "10.0.0.1:-1",
    "10.0.0.1:\uff18\uff10",
    "10.0.0.1:" + "9" * 5000,
    ":80",
    "10.0.0.1 :80",
    " 10.0.0.1:80",
    "10.0.0.1:80\n",
    "10.0.0.1:80\r\nX-A: b",
    "10.0.0.1:80/path",
    "a@b:80",
    "a..b:80",
    "x" * 64 + ":80",
    "[::1:80",
    "[zz]:80",
    "\ud800:80",
    "é:80",
)
UNUSABLE_NAMES = (
    "",
    "i\n1",
    "i-1\r\nX-A: b",
    "i-é",
    "i-\u0141",
    "\ud800",
    "i-\x00",
    " i-1",
    "x" * 201,
)
MALFORMED_LABELS = ('"ab"', "7", "null", "{}", "[[1]]", "[7]", '["\\ud800"]')


def list_malformed_values() -> list[bytes]:
    """Return entries that name no worker."""
    capacity = ENTRY["capacity"]
    values = list(MALFORMED_DOCUMENTS)
    for name in ("cpu", "memMb", "gpu"):
        values += [
            encode_raw(
                ENTRY, capacity=encode_raw(capacity, **{name: text}).decode()
            )
            for text in MALFORMED_NUMBERS
        ]
    values += [
        encode_raw(ENTRY, born=text)
        for text in (*MALFORMED_NUMBERS, "1e15", "7.5")
    ]
    for name in ("service", "address", "zone", "state"):
        values += [
            encode_raw(ENTRY, **{name: text}) for text in MALFORMED_TEXTS
        ]
    values += [
        encode_raw(ENTRY, machine=text)
        for text in MALFORMED_TEXTS
        if text != "null"
    ]
    values += [
        encode_raw(ENTRY, address=json.dumps(text))
        for text in MALFORMED_ADDRESSES
    ]
    values += [encode_raw(ENTRY, labels=text) for text in MALFORMED_LABELS]
    values += [
        encode_raw(ENTRY, capacity=text)
        for text in ("[]", "[[1, 2]]", '"ab"', "7", "null")
    ]
    for name in ("service", "address", "zone", "state", "capacity", "labels"):
        without = {k: v for k, v in ENTRY.items() if k != name}
        values.append(encode_raw(without))
    return values


class RegistryTest(LeaderRowsTest):
    """A leader reads malformed entries beside good ones."""

    def write_malformed_rows(self) -> list[str]:
        values = list_malformed_values()
        names = [f"i-5-{number}" for number in range(len(values))]
        for name, value in zip(names, values, strict=True):
            self.write(name, value)
        for name in UNUSABLE_NAMES:
            self.write(name, encode_raw(ENTRY))
        return [*names, *UNUSABLE_NAMES]

    # Guards against a leader whose load ends with an exception, so that the
    # node and then its successors lose the term one after the other.
    def test_a_leader_loads_beside_malformed_entries(self) -> None:
        self.write("i-1", encode_raw(ENTRY))
        self.write_malformed_rows()
        self.write("i-9", encode_raw(ENTRY))
        self.assertTrue(self.leader.load())
        self.assertEqual(list(self.tracker.workers), ["i-1", "i-9"])
        self.assertEqual(self.sessions.started, ["i-1", "i-9"])
        self.assertFalse(self.leadership.has_ended)

    # Guards against rows behind a malformed one that are never applied.
    def test_rows_behind_a_malformed_entry_are_followed(self) -> None:
        self.write("i-1", encode_raw(ENTRY))
        self.assertTrue(self.leader.load())
        self.write_malformed_rows()
        self.write("i-9", encode_raw(ENTRY))
        self.write("i-1", encode_raw(ENTRY, state='"draining"'))
        self.follow()
        self.assertEqual(list(self.tracker.workers), ["i-1", "i-9"])
        self.assertTrue(self.tracker.workers["i-1"].entry.draining)
        self.write("i-1", None)
        self.follow()
        self.assertTrue(self.tracker.workers["i-1"].gone)

    # Guards against a whole list that is not applied, or applied in part.
    def test_a_list_with_malformed_entries_is_read_after_lost_history(
        self,
    ) -> None:
        self.write("i-1", encode_raw(ENTRY))
        self.write("i-2", encode_raw(ENTRY))
        self.assertTrue(self.leader.load())
        self.write_malformed_rows()
        self.write("i-2", None)
        self.write("i-9", encode_raw(ENTRY))
        self.store.forget_history()
        self.follow()
        self.follow()
        self.assertFalse(self.tracker.workers["i-1"].gone)
        self.assertTrue(self.tracker.workers["i-2"].gone)
        self.assertIn("i-9", self.tracker.workers)

    # Guards against runs that are given up, or a worker that gets no tasks,
    # because another writer overwrote its entry.
    def test_a_known_worker_keeps_its_last_good_entry(self) -> None:
        self.write("i-1", encode_raw(ENTRY))
        self.assertTrue(self.leader.load())
        before = self.tracker.workers["i-1"]
        entry = before.entry
        for value in list_malformed_values():
            self.write("i-1", value)
            self.follow()
        self.store.forget_history()
        self.follow()
        self.follow()
        self.assertIs(self.tracker.workers["i-1"], before)
        self.assertEqual((before.entry, before.gone), (entry, False))
        self.write("i-1", encode_raw(ENTRY, state='"draining"'))
        self.follow()
        self.assertTrue(before.entry.draining)
        self.write("i-1", b"{}")
        self.write("i-1", None)
        self.follow()
        self.assertTrue(before.gone)

    # Guards against an error for one entry, of whatever cause, that keeps the
    # leader from loading or from applying the others.
    def test_an_error_for_one_entry_does_not_reach_the_others(self) -> None:
        applied = self.tracker.apply_worker_entry

        def fail_once(entry: Any) -> Any:
            if entry.name == "i-5":
                raise RuntimeError("cannot be applied")
            return applied(entry)

        setattr(self.tracker, "apply_worker_entry", fail_once)  # noqa: B010
        self.write("i-1", encode_raw(ENTRY))
        self.write("i-5", encode_raw(ENTRY))
        self.write("i-9", encode_raw(ENTRY))
        with self.assertLogs("chestnutstair.scheduling.leader", "ERROR"):
            self.assertTrue(self.leader.load())
        self.assertEqual(list(self.tracker.workers), ["i-1", "i-9"])

    # Guards against a line in the log for each reading of the same entry.
    def test_a_malformed_entry_is_logged_once(self) -> None:
        module = "chestnutstair.scheduling.shards.registry"
        counted = MALFORMED_ENTRIES.labels("worker")._value
        before = counted.get()
        with self.assertLogs(module, "WARNING") as logs:
            self.write("i-5", encode_raw(ENTRY, born="1e400"))
            self.assertTrue(self.leader.load())
            for seq in range(3):
                self.write(
                    "i-5", encode_raw(ENTRY, born="1e400", seq=str(seq))
                )
                self.follow()
        self.assertEqual(len(logs.records), 1)
        record: Any = logs.records[0]
        self.assertEqual(record.worker, "i-5")
        self.assertIn("born", record.reason)
        self.assertEqual(counted.get() - before, 4)
        with self.assertLogs(module, "WARNING") as logs:
            self.write("i-5", b"")
            self.follow()
            self.write("i-5", None)
            self.write("i-5", b"")
            self.follow()
        self.assertEqual(len(logs.records), 2)
