"""Tests of the keys that callers' requests need, and of the jobs they show."""

import io
import json
import logging
import unittest
from dataclasses import replace
from typing import Any

from prometheus_client import REGISTRY
from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnavailableFailure,
)
from chestnutstair.platform import build_requester_application
from chestnutstair.scheduling.access import (
    Access,
    JobOwner,
    OwnerCache,
    read_owner,
)
from chestnutstair.scheduling.configuration import FleetConfiguration, Queue
from chestnutstair.scheduling.intake import (
    build_cancel_key,
    build_job_key,
    encode_submission,
)
from chestnutstair.scheduling.job_requests import (
    JobRequestHandler,
    JobRequestSettings,
)
from chestnutstair.scheduling.organisations import Cap, Organisation
from chestnutstair.scheduling.organisations.keys import compute_key_digest
from chestnutstair.scheduling.ports import RowKey
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import ManualClock
from chestnutstair.tests.test_job_requests import SilentLink

HOST = "jobs.example"
JOB = "0123456789abcdef"
ONE, TWO, SHARED = "k-of-one", "k-of-two", "k-of-both"


def build_organisation(
    name: str, *keys: str, millicores: int = 0
) -> Organisation:
    """Return an organisation with these keys and this cap."""
    digests = frozenset(compute_key_digest(key.encode()) for key in keys)
    return Organisation(name, 1.0, Cap(millicores), digests)


QUICK = Queue("r-quick", HOST, "/quick/", "boxes")
HEAVY = Queue("r-heavy", HOST, "/heavy/", "boxes")
OPEN = Queue("r-open", HOST, "/open/", "boxes", public=True)
WITHOUT_KEYS = FleetConfiguration(1, (QUICK, HEAVY, OPEN))
ORGANISATIONS = {
    "two": build_organisation("two", TWO, SHARED),
    "one": build_organisation("one", ONE, SHARED, millicores=4000),
}
CONFIGURATION = replace(WITHOUT_KEYS, version=2, organisations=ORGANISATIONS)


class LeaderWithOwners(SilentLink):
    """A leader that knows the owners that a test sets, if it answers."""

    def __init__(self) -> None:
        super().__init__()
        self.owners: dict[str, JobOwner] = {}
        self.answers = False
        self.owner_calls = 0

    def ask_job_owner(
        self, job: str, seconds: float
    ) -> Result[JobOwner | None, PlatformFailure]:
        """Return the owner that the test set."""
        self.owner_calls += 1
        if not self.answers:
            return Err(UnavailableFailure("x"))
        return Ok(self.owners.get(job))


class CallerHarness(unittest.TestCase):
    """Serves requests with a store in memory and a leader that is silent."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()
        self.link = LeaderWithOwners()
        self.configuration: FleetConfiguration | None = CONFIGURATION
        handler = JobRequestHandler(
            self.store,
            self.link,
            lambda shard: None,
            lambda: False,
            self.clock,
            JobRequestSettings(),
        )
        self.application = build_requester_application(
            handler, lambda: self.configuration, lambda: False, self.clock
        )
        self.headers: dict[str, str] = {}
        self.body = b""

    def call(
        self,
        method: str,
        path: str,
        key: str | None = None,
        steps: list[dict[str, Any]] | None = None,
        **environ: str,
    ) -> int:
        """Make a request; return its status."""
        job = {"spec": "x", "steps": steps or [{"count": 1}]}
        body = json.dumps(job).encode() if method == "POST" else b""
        if key is not None:
            environ["HTTP_AUTHORIZATION"] = f"Bearer {key}"
        statuses: list[str] = []

        def start(status: str, headers: list[tuple[str, str]]) -> None:
            statuses.append(status)
            self.headers = dict(headers)

        answer = self.application(
            {
                "REQUEST_METHOD": method,
                "HTTP_HOST": HOST,
                "PATH_INFO": path,
                "CONTENT_LENGTH": str(len(body)),
                "wsgi.input": io.BytesIO(body),
                **environ,
            },
            start,
        )
        self.body = b"".join(answer)
        return int(statuses[0].split()[0])

    def read(self, key: RowKey) -> bytes | None:
        """Return a row of the store."""
        answer = self.store.read(
            key.table,
            key.partition,
            Deadline.after(self.clock, 1.0),
            key.key,
            key.key + "\0",
        )
        rows = answer.unwrap().rows
        return rows[0].value if rows else None

    def is_cancelled(self) -> bool:
        """Return whether the job's cancellation is stored."""
        return self.read(build_cancel_key(JOB)) is not None


class KeyCheckTest(CallerHarness):
    """Requests are checked in the order: configuration, queue, key."""

    def test_no_configuration_comes_first(self) -> None:
        self.configuration = None
        self.assertEqual(self.call("GET", "/nothing/"), 503)
        self.assertEqual(self.call("GET", "/quick/"), 503)

    def test_an_unknown_queue_comes_before_the_key(self) -> None:
        for key in (None, ONE, "other"):
            self.assertEqual(self.call("GET", "/nothing/", key), 404)

    # Guards against telling callers without a key anything about a request.
    def test_the_key_comes_before_all_else(self) -> None:
        for method, path in (
            ("POST", f"/quick/{JOB}"),
            ("GET", f"/quick/{JOB}"),
            ("DELETE", f"/quick/{JOB}"),
            ("GET", "/quick/"),
            ("GET", "/quick/not-a-job"),
            ("PUT", f"/quick/{JOB}"),
        ):
            for key in (None, "", "other", ONE + "x"):
                with self.subTest(method=method, path=path, key=key):
                    self.assertEqual(self.call(method, path, key), 401)
                    challenge = self.headers["WWW-Authenticate"]
                    self.assertEqual(challenge, "Bearer")
                    self.assertNotIn("Connection", self.headers)
        self.assertEqual(self.store.commit_count, 0)

    def test_requests_with_a_key_are_served(self) -> None:
        self.assertEqual(self.call("POST", f"/quick/{JOB}", ONE), 200)
        self.assertEqual(self.call("POST", f"/quick/{JOB}", ONE), 200)
        self.assertEqual(self.call("GET", f"/quick/{JOB}", ONE), 200)
        self.assertEqual(json.loads(self.body), {"state": "queued"})
        self.assertEqual(self.call("DELETE", f"/quick/{JOB}", ONE), 200)
        self.assertTrue(self.is_cancelled())
        self.assertEqual(self.call("GET", "/quick/not-a-job", ONE), 404)
        self.assertEqual(self.call("PUT", f"/quick/{JOB}", ONE), 405)

    # Guards against the rest of a refused body being read as a request.
    def test_a_refused_body_in_chunks_closes_the_connection(self) -> None:
        path = f"/quick/{JOB}"
        status = self.call(
            "POST", path, "other", HTTP_TRANSFER_ENCODING="chunked"
        )
        self.assertEqual(status, 401)
        self.assertEqual(self.headers["Connection"], "close")

    # Connections stay open over a change of the configuration.
    def test_each_request_is_checked_by_the_configuration_in_force(
        self,
    ) -> None:
        self.assertEqual(self.call("GET", f"/quick/{JOB}", ONE), 410)
        withdrawn = {"one": build_organisation("one", "k-new")}
        self.configuration = replace(CONFIGURATION, organisations=withdrawn)
        self.assertEqual(self.call("GET", f"/quick/{JOB}", ONE), 401)
        self.assertEqual(self.call("GET", f"/quick/{JOB}", "k-new"), 410)
        self.configuration = replace(CONFIGURATION, organisations={})
        self.assertEqual(self.call("GET", f"/quick/{JOB}", "k-new"), 401)

    def test_a_public_queue_needs_no_key_and_its_jobs_have_no_owner(
        self,
    ) -> None:
        for key in (None, "other", ONE):
            self.assertEqual(self.call("POST", f"/open/{JOB}", key), 200)
            self.assertEqual(self.call("GET", f"/open/{JOB}", key), 200)
        value = self.read(build_job_key(JOB))
        assert value is not None
        self.assertEqual(read_owner(value), JobOwner("", "r-open", True))

    # Guards against a deployment without organisations being served another
    # way than before, and against a call to the leader or the store more.
    def test_without_organisations_no_key_is_needed(self) -> None:
        self.configuration = WITHOUT_KEYS
        self.assertEqual(self.call("POST", f"/quick/{JOB}"), 200)
        self.assertEqual(self.call("GET", f"/quick/{JOB}", "other"), 200)
        self.assertEqual(self.call("DELETE", f"/open/{JOB}"), 200)
        self.assertEqual(self.link.owner_calls, 0)
        value = self.read(build_job_key(JOB))
        assert value is not None
        self.assertNotIn("organisation", json.loads(value))

    def test_a_refusal_is_logged_and_counted_without_the_key(self) -> None:
        def count(reason: str) -> float:
            labels = {"reason": reason}
            name = "chestnutstair_key_refusals_total"
            return REGISTRY.get_sample_value(name, labels) or 0.0

        for key, reason in (
            (None, "missing"),
            ("", "malformed"),
            ("k-secret", "unknown"),
        ):
            before = count(reason)
            with self.assertLogs(level=logging.DEBUG) as logs:
                self.call("DELETE", f"/quick/{JOB}", key)
            (record,) = logs.records
            fields = vars(record)
            self.assertEqual(fields["message"], "key refused")
            self.assertEqual(fields["queue"], "r-quick")
            self.assertEqual(fields["method"], "DELETE")
            self.assertEqual(fields["reason"], reason)
            self.assertNotIn("k-secret", str(fields))
            self.assertNotIn(b"k-secret", self.body)
            self.assertEqual(count(reason), before + 1)

    def test_no_row_and_no_line_contains_a_key(self) -> None:
        with self.assertLogs(level=logging.DEBUG) as logs:
            self.call("POST", f"/quick/{JOB}", ONE)
            self.call("GET", f"/quick/{JOB}", TWO)
            self.call("DELETE", f"/quick/{JOB}", ONE)
        text = str([vars(record) for record in logs.records])
        value = self.read(build_job_key(JOB))
        assert value is not None
        for key in (ONE, TWO):
            self.assertNotIn(key, text)
            self.assertNotIn(key.encode(), value)


class VisibilityTest(CallerHarness):
    """Jobs of other organisations are answered like unknown ones."""

    def submit(self, key: str | None, path: str = "/quick/") -> None:
        self.assertEqual(self.call("POST", path + JOB, key), 200)

    def get(self, key: str | None, path: str = "/quick/") -> int:
        return self.call("GET", path + JOB, key)

    def test_a_job_of_another_organisation_is_hidden(self) -> None:
        self.submit(ONE)
        self.assertEqual(self.get(TWO), 410)
        self.assertEqual(self.call("DELETE", f"/quick/{JOB}", TWO), 410)
        self.assertEqual(self.body, b"")
        self.assertFalse(self.is_cancelled())
        self.assertEqual(self.get(ONE), 200)

    def test_a_shared_key_acts_for_both_organisations(self) -> None:
        self.submit(SHARED)
        value = self.read(build_job_key(JOB))
        assert value is not None
        owner = read_owner(value)
        assert owner is not None
        self.assertEqual(owner.organisation, "one", "the first by name")
        self.assertEqual(self.get(ONE), 200)
        self.assertEqual(self.get(TWO), 410)
        self.assertEqual(self.call("DELETE", f"/quick/{JOB}", SHARED), 200)

    def test_a_shared_key_shows_the_jobs_of_the_second(self) -> None:
        self.submit(TWO)
        self.assertEqual(self.get(SHARED), 200)

    # An accepted job must not appear lost to its owner.
    def test_a_job_without_an_organisation_stays_visible(self) -> None:
        self.configuration = WITHOUT_KEYS
        self.submit(None)
        self.configuration = CONFIGURATION
        for key in (ONE, TWO):
            self.assertEqual(self.get(key), 200)
            self.assertEqual(self.get(key, "/heavy/"), 200)
        self.assertEqual(self.call("DELETE", f"/quick/{JOB}", TWO), 200)

    def test_a_job_of_an_organisation_that_left_is_visible(self) -> None:
        self.submit(ONE)
        left = {"two": ORGANISATIONS["two"]}
        self.configuration = replace(CONFIGURATION, organisations=left)
        self.assertEqual(self.get(TWO), 200)
        self.configuration = WITHOUT_KEYS
        self.assertEqual(self.get(None), 200)

    # Guards against reading jobs of queues that need a key through one that
    # needs none.
    def test_a_public_queue_shows_no_jobs_of_other_queues(self) -> None:
        self.submit(ONE)
        self.assertEqual(self.get(None, "/open/"), 410)
        self.assertEqual(self.get(ONE, "/open/"), 410)
        self.assertEqual(self.call("DELETE", f"/open/{JOB}", ONE), 410)
        self.assertFalse(self.is_cancelled())
        left = {"two": ORGANISATIONS["two"]}
        self.configuration = replace(CONFIGURATION, organisations=left)
        self.assertEqual(self.get(None, "/open/"), 410)

    def test_a_key_shows_the_jobs_of_public_queues(self) -> None:
        self.submit(None, "/open/")
        self.assertEqual(self.get(ONE), 200)

    def test_a_queue_that_is_no_longer_public_or_has_gone(self) -> None:
        def may_see(owner: JobOwner, *queues: Queue) -> bool:
            configuration = replace(CONFIGURATION, queues=(OPEN, *queues))
            return Access(configuration, OPEN).may_see(owner)

        self.assertTrue(may_see(JobOwner("", "r-a", True)))
        self.assertFalse(may_see(JobOwner("", "r-a", False)))
        self.assertFalse(may_see(JobOwner("", "r-quick", True), QUICK))
        public = replace(QUICK, public=True)
        self.assertTrue(may_see(JobOwner("", "r-quick", False), public))
        self.assertTrue(may_see(JobOwner("", "r-open", False)))


class OwnerLookupTest(CallerHarness):
    """A job's owner is known while the leader or the store answers."""

    def setUp(self) -> None:
        super().setUp()
        self.link.owners[JOB] = JobOwner("one", "r-quick", False)
        self.link.answers = True
        self.link.state = Ok("running")

    def test_the_leader_is_enough_while_the_store_is_down(self) -> None:
        self.store.down = True
        for _ in range(3):
            self.assertEqual(self.call("GET", f"/quick/{JOB}", ONE), 200)
            self.assertEqual(self.call("GET", f"/quick/{JOB}", TWO), 410)
        self.assertEqual(self.link.owner_calls, 1, "the owner is kept")

    # Guards against a cancellation through the leader's node, which checks no
    # keys, of a job of another organisation.
    def test_no_cancellation_of_a_foreign_job_is_relayed(self) -> None:
        self.store.down = True
        relayed: list[str] = []

        def relay(job: str, seconds: float) -> Result[bool, PlatformFailure]:
            relayed.append(job)
            return Ok(True)

        self.link.relay_cancel = relay  # type: ignore[method-assign]
        self.assertEqual(self.call("DELETE", f"/quick/{JOB}", TWO), 410)
        self.assertEqual(relayed, [])
        self.assertEqual(self.call("DELETE", f"/quick/{JOB}", ONE), 200)
        self.assertEqual(relayed, [JOB])

    def test_the_store_is_read_for_a_job_that_the_leader_does_not_know(
        self,
    ) -> None:
        self.link.owners.clear()
        self.call("POST", f"/quick/{JOB}", ONE)
        self.assertEqual(self.call("GET", f"/quick/{JOB}", ONE), 200)
        self.assertEqual(self.call("GET", f"/quick/{JOB}", TWO), 410)

    # Guards against answering that an accepted job is unknown, and against
    # showing it, when nobody can say whose it is.
    def test_without_leader_and_store_the_request_is_refused(self) -> None:
        self.link.answers = False
        self.store.down = True
        for method in ("GET", "DELETE"):
            with self.assertLogs(level=logging.INFO) as logs:
                status = self.call(method, f"/quick/{JOB}", ONE)
            self.assertEqual(status, 503)
            message = logs.records[0].getMessage()
            self.assertIn("owner of the job not known", message)

    def test_the_cache_is_bounded(self) -> None:
        cache = OwnerCache(2)
        owner = JobOwner("one", "r-quick", False)
        cache.add("a", owner)
        cache.add("b", owner)
        cache.find("a")
        cache.add("c", owner)
        found = [job for job in "abc" if cache.find(job) is not None]
        self.assertEqual(found, ["a", "c"])

    def test_malformed_submissions_have_no_owner(self) -> None:
        for value in (b"x", b"[]", b"{}", b'{"queue": 1}', b'{"queue": {}}'):
            self.assertIsNone(read_owner(value))
        value = encode_submission(QUICK, 1, b"{}", "one")
        self.assertEqual(read_owner(value), JobOwner("one", "r-quick", False))


class GangRefusalTest(CallerHarness):
    """A job with a gang that its cap never admits is refused with a reason."""

    def submit(self, key: str) -> int:
        gang = [{"count": 3, "cpu": 2000, "gang": True}]
        return self.call("POST", f"/quick/{JOB}", key, gang)

    def test_a_gang_above_the_cap_is_refused(self) -> None:
        self.assertEqual(self.submit(ONE), 400)
        self.assertEqual(
            json.loads(self.body)["reason"],
            "the gang of step 0 exceeds the cap of its organisation: cpu",
        )
        self.assertEqual(self.store.commit_count, 0)
        # A job belongs to the first organisation of its key.
        self.assertEqual(self.submit(SHARED), 400)

    def test_a_gang_of_an_organisation_without_a_cap_is_accepted(self) -> None:
        self.assertEqual(self.submit(TWO), 200)

    # Guards against refusing a job that was accepted: its caller repeats the
    # submission if the answer was lost, and the cap may be lowered meanwhile.
    def test_a_repeated_submission_of_an_accepted_job_succeeds(self) -> None:
        organisations = {"one": build_organisation("one", ONE)}
        self.configuration = replace(
            CONFIGURATION, organisations=organisations
        )
        self.assertEqual(self.submit(ONE), 200)
        self.configuration = CONFIGURATION
        self.assertEqual(self.submit(ONE), 200)

    def test_nothing_is_said_while_it_is_unknown_if_it_was_accepted(
        self,
    ) -> None:
        self.store.down = True
        self.assertEqual(self.submit(ONE), 503)
