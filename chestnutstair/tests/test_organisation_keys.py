"""Tests of reading organisations, their keys, and the check of a key."""

import hashlib
import json
import logging
import unittest
from typing import Any

from result import Err, Ok

from chestnutstair.platform import PlatformDecoder
from chestnutstair.scheduling.configuration import FleetConfiguration
from chestnutstair.scheduling.operator_watch import OperatorWatch
from chestnutstair.scheduling.organisations import Cap, Organisation
from chestnutstair.scheduling.organisations.keys import (
    KeyFailure,
    KeyIndex,
    KeyProblem,
    compute_key_digest,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.tests.support import ManualClock

KEY = "k-secret-of-one"
ROUTE = {"name": "r-quick", "host": "jobs.example", "prefix": "/quick/"}
DECODING_LOGGER = "chestnutstair.platform.decoding"


def encode(tenants: Any, **fields: Any) -> bytes:
    """Return an encoded configuration with these organisations."""
    value = {"version": 3, "routes": [ROUTE], "tenants": tenants, **fields}
    return json.dumps(value).encode()


def read(value: bytes) -> FleetConfiguration:
    """Return the decoded configuration."""
    configuration = PlatformDecoder().read_configuration(value)
    assert configuration is not None
    return configuration


class OrganisationDecodingTest(unittest.TestCase):
    """Well-formed organisations are read; others are left out and logged."""

    def test_a_complete_organisation(self) -> None:
        cap = {"cpu": 64000, "memMb": 2048, "gpu": 2}
        item = {"name": "one", "apiKeys": [KEY], "weight": 2.5, "cap": cap}
        organisations = read(encode([item])).organisations
        digest = hashlib.sha256(KEY.encode()).digest()
        expected = Organisation(
            "one", 2.5, Cap(64000, 2048, 2), frozenset({digest})
        )
        self.assertEqual(organisations, {"one": expected})

    def test_absent_fields_have_their_defaults(self) -> None:
        organisations = read(encode([{"name": "one"}])).organisations
        self.assertEqual(organisations, {"one": Organisation("one")})

    # Guards against locking out the callers of deployments that have no
    # organisations.
    def test_a_configuration_without_organisations_requires_no_keys(
        self,
    ) -> None:
        absent: tuple[dict[str, Any], ...] = ({}, {"tenants": None})
        for fields in absent:
            value = {"version": 3, "routes": [ROUTE], **fields}
            configuration = read(json.dumps(value).encode())
            self.assertIsNone(configuration.organisations)
            self.assertIsNone(configuration.key_index)

    def test_an_empty_list_accepts_no_key(self) -> None:
        self.assertEqual(read(encode([])).organisations, {})

    # Guards against a malformed organisation that leaves the configuration,
    # or the other organisations, without effect.
    def test_malformed_organisations_are_left_out(self) -> None:
        for item in (
            None,
            "one",
            {},
            {"name": ""},
            {"name": 7},
            {"name": "one", "apiKeys": KEY},
            {"name": "one", "apiKeys": [KEY, 7]},
            {"name": "one", "apiKeys": {"a": KEY}},
            {"name": "one", "apiKeys": ["\ud800" + KEY]},
            {"name": "one", "apiKeyDigests": ["not Base64"]},
            {"name": "one", "cap": 7},
            {"name": "one", "cap": {"cpu": -1}},
            {"name": "one", "cap": {"cpu": "64"}},
            {"name": "one", "cap": {"gpu": True}},
            {"name": "one", "cap": {"memMb": float("inf")}},
            {"name": "one", "cap": {"memMb": 10**400}},
            {"name": "two", "apiKeys": [KEY]},
        ):
            with self.subTest(item=item):
                with self.assertLogs(DECODING_LOGGER, "ERROR") as logs:
                    configuration = read(encode([{"name": "two"}, item]))
                self.assertEqual(
                    configuration.organisations, {"two": Organisation("two")}
                )
                self.assertEqual(len(configuration.queues), 1)
                self.assertEqual(len(logs.records), 1)
                self.assertNotIn(KEY, str(vars(logs.records[0])))

    # Guards against requiring no keys because the list is malformed.
    def test_a_malformed_list_accepts_no_key(self) -> None:
        malformed: tuple[Any, ...] = ({}, "one", 7, False)
        for tenants in malformed:
            with self.assertLogs(DECODING_LOGGER, "ERROR"):
                configuration = read(encode(tenants))
            self.assertEqual(configuration.organisations, {})

    def test_a_malformed_weight_counts_as_one(self) -> None:
        for weight in (0, -1, "2", None, True, float("nan"), 10**400):
            with self.assertLogs(DECODING_LOGGER, "ERROR"):
                item = {"name": "one", "weight": weight}
                organisations = read(encode([item])).organisations
            self.assertEqual(organisations, {"one": Organisation("one")})

    # Guards against a limit below 1 that becomes 0, which is no limit.
    def test_a_fraction_of_a_cap_is_rounded_up(self) -> None:
        item = {"name": "one", "cap": {"cpu": 0.5}}
        organisations = read(encode([item])).organisations
        assert organisations is not None
        self.assertEqual(organisations["one"].cap, Cap(1))

    # Guards against opening a queue by a value that is no truth value.
    def test_only_true_makes_a_queue_public(self) -> None:
        for value, public in ((True, True), ("false", False), (1, False)):
            route = {**ROUTE, "public": value}
            configuration = read(encode([], routes=[route]))
            self.assertEqual(configuration.queues[0].public, public)


class KeyRemovalTest(unittest.TestCase):
    """What nodes keep and pass on has digests instead of keys."""

    def test_the_configuration_without_keys_is_read_alike(self) -> None:
        items = [
            {"name": "one", "apiKeys": [KEY, ""], "weight": 2, "later": 1},
            {"name": "two", "apiKeys": [KEY, "k-2"], "cap": {"cpu": 5}},
            {"name": "three"},
        ]
        value = encode(items)
        removed = PlatformDecoder().remove_keys(value)
        for key in (KEY, "k-2", "apiKeys"):
            self.assertNotIn(f'"{key}"'.encode(), removed)
        self.assertEqual(read(removed), read(value))
        self.assertEqual(json.loads(removed)["tenants"][0]["later"], 1)
        self.assertEqual(PlatformDecoder().remove_keys(removed), removed)

    def test_malformed_organisations_are_not_passed_on(self) -> None:
        items = [{"name": "one", "apiKeys": [KEY, 7]}, {"name": "two"}]
        removed = PlatformDecoder().remove_keys(encode(items))
        self.assertNotIn(KEY.encode(), removed)
        self.assertEqual(set(read(removed).organisations or ()), {"two"})

    def test_other_configurations_are_unchanged(self) -> None:
        for value in (b'{"version": 1, "routes": []}', b"x"):
            self.assertEqual(PlatformDecoder().remove_keys(value), value)

    def test_a_watch_keeps_no_keys(self) -> None:
        watch = OperatorWatch(
            MemoryRowStore(), PlatformDecoder(), ManualClock(), lambda: None
        )
        tenants = [{"name": "one", "apiKeys": [KEY]}]
        with self.assertLogs(level=logging.INFO) as logs:
            watch.apply_if_newer(encode(tenants), "store")
        self.assertNotIn(KEY, str([vars(item) for item in logs.records]))
        self.assertNotIn(KEY, str(vars(watch)))
        encoded = watch.encoded_configuration
        assert encoded is not None
        self.assertEqual(read(encoded), watch.configuration)


class KeyIndexTest(unittest.TestCase):
    """A key is found by its digest, for all organisations that share it."""

    def setUp(self) -> None:
        def build(name: str, *keys: str) -> Organisation:
            digests = frozenset(compute_key_digest(k.encode()) for k in keys)
            return Organisation(name, key_digests=digests)

        self.index = KeyIndex(
            [build("two", "shared", "clé"), build("one", "shared", KEY)]
        )

    def test_known_keys(self) -> None:
        for header, names in (
            (f"Bearer {KEY}", ("one",)),
            (f"bearer  {KEY} ", ("one",)),
            ("Bearer shared", ("one", "two")),
            # A WSGI server decodes the UTF-8 bytes of a header as Latin-1.
            ("Bearer " + "clé".encode().decode("latin-1"), ("two",)),
        ):
            self.assertEqual(self.index.check_header(header), Ok(names))

    def test_refused_keys(self) -> None:
        for header, problem in (
            ("", KeyProblem.MISSING),
            ("  ", KeyProblem.MISSING),
            ("Bearer", KeyProblem.MALFORMED),
            ("Bearer ", KeyProblem.MALFORMED),
            (KEY, KeyProblem.MALFORMED),
            (f"Basic {KEY}", KeyProblem.MALFORMED),
            (f"Bearer {KEY}x", KeyProblem.UNKNOWN),
            (f"Bearer {KEY} {KEY}", KeyProblem.UNKNOWN),
            (f"Bearer {KEY}, Bearer {KEY}", KeyProblem.UNKNOWN),
            ("Bearer \u20ac", KeyProblem.UNKNOWN),
        ):
            refused = self.index.check_header(header)
            self.assertEqual(refused, Err(KeyFailure(problem)), header)

    # Guards against accepting a digest that only starts like a known one.
    def test_the_whole_digest_is_compared(self) -> None:
        digest = compute_key_digest(KEY.encode())
        similar = digest[:-1] + bytes([digest[-1] ^ 1])
        names = {"similar": similar, "same": digest}
        for order in (list(names), list(reversed(names))):
            index = KeyIndex(
                Organisation(name, key_digests=frozenset({names[name]}))
                for name in order
            )
            found = index.find_organisations(KEY.encode())
            self.assertEqual(found, ("same",))
