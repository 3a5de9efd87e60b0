"""Tests of reading stored submissions, including damaged ones."""

import json
import unittest

from chestnutstair.platform.decoding import PlatformSubmissions
from chestnutstair.scheduling.configuration import Queue
from chestnutstair.scheduling.intake import (
    MalformedRowFailure,
    decode_submission,
    encode_submission,
)

QUEUE = Queue("quick", "example", "/quick/", "boxes", 0, 2, 1.6, 600)
BODY = b'{"spec":"s","steps":[{"count":2,"cpu":500,"estimateMs":900}]}'


class DecodeSubmissionTest(unittest.TestCase):
    """A row that cannot be read fails alone, not the rows after it."""

    def setUp(self) -> None:
        self.value = encode_submission(QUEUE, 1_000_000, BODY)

    def test_a_stored_submission_is_read_back(self) -> None:
        submission = decode_submission(
            "j", self.value, PlatformSubmissions()
        ).unwrap()
        self.assertEqual(submission.queue, QUEUE)
        self.assertEqual(submission.specification.steps[0].count, 2)

    def test_malformed_rows_are_failures(self) -> None:
        fields = json.loads(self.value)
        damaged = [
            b"",
            b"\xff",
            b"[]",
            b"null",
            json.dumps(fields | {"queue": {"later_field": 1}}).encode(),
            json.dumps(fields | {"body": 7}).encode(),
            json.dumps(fields | {"accepted_ms": "soon"}).encode(),
        ]
        for value in damaged:
            with self.subTest(value=value):
                answer = decode_submission("j", value, PlatformSubmissions())
                self.assertIsInstance(answer.err(), MalformedRowFailure)
