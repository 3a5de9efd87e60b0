"""Tests of decoding the platform's documents, valid and invalid."""

import json
import unittest
from typing import Any

from chestnutstair.platform import PlatformDecoder, PlatformSubmissions
from chestnutstair.scheduling.specification import SubmissionFailure

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


def encode(value: Any) -> bytes:
    """Return a document as stored."""
    return json.dumps(value).encode()


class WorkerEntryTest(unittest.TestCase):
    """Entries that are invalid or of other writers name no worker."""

    def test_a_valid_entry(self) -> None:
        worker = PlatformDecoder().read_worker("i-1", encode(ENTRY))
        assert worker is not None
        self.assertEqual((worker.rack, worker.vm), ("r1-2", "m-1"))
        self.assertEqual((worker.born_ms, worker.draining), (17, False))

    # Guards against using the capacity from before, as zeros may be left out.
    def test_a_capacity_that_has_shrunk_to_nothing_is_read(self) -> None:
        value = encode({**ENTRY, "capacity": {}})
        worker = PlatformDecoder().read_worker("i-1", value)
        assert worker is not None
        self.assertEqual((worker.millicores, worker.memory_mb), (0, 0))

    def test_foreign_entries_are_left_out(self) -> None:
        without = {k: v for k, v in ENTRY.items() if k != "address"}
        for value in (
            b"\xff\x00",
            b"[]",
            encode({**ENTRY, "state": "sleeping"}),
            encode({**ENTRY, "capacity": "much"}),
            encode({**ENTRY, "born": "yesterday"}),
            encode({**ENTRY, "born": "17"}),
            encode({**ENTRY, "born": 1e300}),
            encode({**ENTRY, "born": float("inf")}),
            encode({**ENTRY, "born": True}),
            encode({**ENTRY, "capacity": {"cpu": float("inf")}}),
            encode({**ENTRY, "machine": {"name": "m-1"}}),
            encode({**ENTRY, "service": ["boxes"]}),
            encode(without),
        ):
            read = PlatformDecoder().read_worker("i-1", value)
            self.assertIsNone(read, value)


class SubmissionTest(unittest.TestCase):
    """Invalid jobs are refused with the reason."""

    def read(self, **fields: Any) -> Any:
        return PlatformSubmissions().read_job(encode(fields))

    def test_absent_fields_have_their_defaults(self) -> None:
        job = self.read(spec="x", steps=[{"count": 2, "cpu": 500}]).unwrap()
        step = job.steps[0]
        self.assertEqual((step.count, step.millicores), (2, 500))
        self.assertEqual((step.after, step.spread_limit), ((), 0))
        self.assertEqual(job.occurrences, 0)

    def test_invalid_jobs(self) -> None:
        step = {"count": 1}
        for steps in (
            [],
            [{"count": 0}],
            [{"count": 1, "after": [1]}],
            [{"count": 1, "after": [0]}],
            [{"count": 1, "after": [1]}, {"count": 1, "after": [0]}],
            ["step"],
            [{"count": "many"}],
            None,
        ):
            failure = self.read(spec="x", steps=steps).err()
            self.assertIsInstance(failure, SubmissionFailure, steps)
        self.assertTrue(self.read(spec="x", steps=[step]).is_ok())

    def test_a_body_that_is_no_object(self) -> None:
        for body in (b"", b"{", b"[1]", b"\xff"):
            read = PlatformSubmissions().read_job(body)
            self.assertTrue(read.is_err(), body)


class WaveTest(unittest.TestCase):
    """Waves that lack a field are not decoded."""

    def test_waves(self) -> None:
        wave = {"wave": 3, "machines": ["m"], "durationS": 20, "cap": 1}
        read = PlatformDecoder().read_wave(encode(wave))
        assert read is not None
        self.assertEqual((read.number, read.vms), (3, ("m",)))
        del wave["cap"]
        self.assertIsNone(PlatformDecoder().read_wave(encode(wave)))
