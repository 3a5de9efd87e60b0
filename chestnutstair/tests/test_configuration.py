"""Tests of the replication of tickets during failures."""

import unittest
from dataclasses import replace

from chestnutstair.coordination.platform import (
    Key,
    UnavailableFailure,
    UnknownOutcomeFailure,
    Write,
)
from chestnutstair.coordination.refusals import list_refusals
from chestnutstair.coordination.registry import MEMBER_TABLE
from chestnutstair.coordination.tickets import (
    LagReason,
    TicketContentFailure,
    TicketOutcome,
)
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.validation import TicketNumberFailure
from chestnutstair.tests.cluster import Cluster, FakeDaemon
from chestnutstair.tests.support import build_ticket


def build_next(number: int, reason: str = "", author: str = "ana") -> Ticket:
    """Return a ticket that changes one budget."""
    first = build_ticket()
    if number == 1:
        return first
    pools = (replace(first.pools[0], availability_budget=1 + number % 3),)
    return Ticket(number, author, reason, pools=pools)


class ConfigurationTest(unittest.TestCase):
    """Every daemon applies accepted tickets and never reverts them."""

    def start(self, size: int = 7, **options: float) -> Cluster:
        cluster = Cluster(size, **options)  # type: ignore[arg-type]
        cluster.run(4)
        self.file(cluster, "entry-0", 1)
        cluster.run(2)
        return cluster

    def file(self, cluster: Cluster, name: str, number: int) -> TicketOutcome:
        ticket_service = cluster.daemons[name].ticket_service
        ticket = build_next(number)
        return ticket_service.file(ticket, cluster.make_deadline()).unwrap()

    def check_monotonic(self, cluster: Cluster) -> None:
        for daemon in cluster.daemons.values():
            self.assertEqual(daemon.revisions, sorted(daemon.revisions))

    def find_lags(self, daemon: FakeDaemon, number: int) -> dict[str, str]:
        deadline = daemon.duties._make_deadline()
        status = daemon.ticket_service.report(number, deadline).unwrap()
        return {item.name: item.reason for item in status.lagging}

    def test_confirms_by_push_alone(self) -> None:
        cluster = self.start(28)
        outcome = self.file(cluster, "entry-5", 2)
        cluster.hub.deliver()  # no clock tick, so no poll and no heartbeat
        self.assertEqual(cluster.list_revisions(), {outcome.revision})
        cluster.run(8)
        for daemon in cluster.daemons.values():
            self.assertEqual(self.find_lags(daemon, 2), {})
        self.check_monotonic(cluster)

    def test_lost_messages_are_repaired(self) -> None:
        for size, seed in ((7, 3), (28, 4)):
            cluster = self.start(size, loss=0.2, seed=seed)
            for number in range(2, 12, 2):
                self.file(cluster, f"entry-{number % size}", number)
                outcome = self.file(cluster, "entry-1", number + 1)
                cluster.run(2)
                self.assertEqual(cluster.list_revisions(), {outcome.revision})
            cluster.run(20)
            statuses = cluster.daemons["entry-1"].members.list_statuses()
            self.assertEqual(len(statuses), size)
            self.assertTrue(all(item.live for item in statuses))

    def test_lost_messages_are_repaired_while_the_table_is_down(self) -> None:
        cluster = self.start(28, loss=0.2, seed=5)
        outcome = self.file(cluster, "entry-3", 2)
        cluster.table.down = True
        cluster.run(10)
        self.assertEqual(cluster.list_revisions(), {outcome.revision})
        cluster.run(30)
        new = cluster.replace("entry-20").members.get_self()
        cluster.hub.loss = 0.8
        cluster.run(10)
        cluster.hub.loss = 0.2
        cluster.run(20)
        for daemon in cluster.daemons.values():
            live = daemon.members.list_live()
            self.assertEqual(len(live), 28)
            self.assertIn(new.incarnation, {item.incarnation for item in live})

    def test_reports_a_zone_that_is_cut_off(self) -> None:
        cluster = self.start()
        cluster.cut_zone("zone-2")
        outcome = self.file(cluster, "entry-0", 2)
        cluster.run(15)
        lags = self.find_lags(cluster.daemons["entry-0"], 2)
        cut = dict.fromkeys(("entry-2", "entry-5"), LagReason.CUT_OFF)
        self.assertEqual(lags, cut)
        inside = cluster.daemons["entry-2"]
        self.assertEqual(inside.log.view.revision, outcome.revision - 1)
        refused = inside.ticket_service.file(
            build_next(3), cluster.make_deadline()
        )
        self.assertIsInstance(refused.unwrap_err(), UnavailableFailure)
        cluster.heal()
        cluster.run(3)
        self.assertEqual(cluster.list_revisions(), {outcome.revision})
        cluster.run(10)
        self.assertEqual(self.find_lags(inside, 2), {})
        self.check_monotonic(cluster)

    def test_a_removed_daemon_does_not_come_back(self) -> None:
        cluster = self.start()
        gone = cluster.remove("entry-6")
        cluster.run(15)
        # One daemon keeps the fact: it cannot see that the row is deleted.
        cluster.daemons["entry-3"].table.cut = True
        key = Key(MEMBER_TABLE, gone.name)
        cluster.table.commit([], [Write(key, None)], cluster.make_deadline())
        cluster.run(8)
        for _ in range(20):
            cluster.run(1)
            for name in set(cluster.daemons) - {"entry-3"}:
                statuses = cluster.daemons[name].members.list_statuses()
                names = {item.fact.name for item in statuses}
                self.assertNotIn("entry-6", names)

    def test_records_arrive_despite_a_one_way_cut(self) -> None:
        cluster = self.start()
        cluster.daemons["entry-6"].table.cut = True
        for index in range(5):
            cluster.hub.cuts.add((f"entry-{index}", "entry-6"))
        outcome = self.file(cluster, "entry-0", 2)
        cluster.run(2)
        self.assertEqual(cluster.list_revisions(), {outcome.revision})

    def test_a_ticket_with_a_lost_answer_is_accepted_once(self) -> None:
        cluster = self.start()
        cluster.table.lose_answers = 1
        self.file(cluster, "entry-1", 2)
        repeated_outcome = self.file(cluster, "entry-2", 2)
        self.assertTrue(repeated_outcome.repeated)
        self.assertEqual(cluster.daemons["entry-1"].log.view.ticket, 2)

    def test_a_ticket_with_an_unknown_outcome_can_be_filed_again(self) -> None:
        cluster = self.start()
        first = cluster.daemons["entry-1"]
        commit = first.table.commit

        def lose(*args: object) -> object:
            cluster.table.lose_answers = 1
            outcome = commit(*args)  # type: ignore[arg-type]
            cluster.table.down = True
            return outcome

        first.table.commit = lose  # type: ignore[method-assign, assignment]
        deadline = cluster.make_deadline()
        first_outcome = first.ticket_service.file(build_next(2), deadline)
        self.assertIsInstance(
            first_outcome.unwrap_err(), UnknownOutcomeFailure
        )
        self.assertEqual(first.log.view.ticket, 1)
        cluster.table.down = False
        repeated_outcome = self.file(cluster, "entry-2", 2)
        self.assertTrue(repeated_outcome.repeated)

    def test_the_second_of_two_racing_tickets_is_refused(self) -> None:
        cluster = self.start()
        one, two = (
            cluster.daemons[f"entry-{i}"].ticket_service for i in (1, 2)
        )
        deadline = cluster.make_deadline()
        one.file(build_next(2, author="ana"), deadline).unwrap()
        second_outcome = two.file(build_next(2, author="bea"), deadline)
        content_failure = TicketContentFailure(2, "ana", 3)
        self.assertEqual(second_outcome.unwrap_err(), content_failure)
        gap_outcome = two.file(build_next(5, author="bea"), deadline)
        self.assertEqual(gap_outcome.unwrap_err(), TicketNumberFailure(5, 3))
        found = list_refusals(cluster.table, deadline).unwrap()
        self.assertEqual(
            [(item.ticket, item.author, item.failure) for item in found],
            [
                (2, "bea", "TicketContentFailure"),
                (5, "bea", "TicketNumberFailure"),
            ],
        )

    def test_starts_from_peers_when_the_table_is_down(self) -> None:
        cluster = self.start()
        outcome = self.file(cluster, "entry-0", 2)
        cluster.hub.deliver()
        cluster.table.down = True
        daemon = cluster.replace("entry-6")
        cluster.run(1)
        self.assertFalse(daemon.replicator.is_ready())
        cluster.run(6)
        self.assertTrue(daemon.replicator.is_ready())
        self.assertEqual(daemon.revisions[0], outcome.revision)
        alone = cluster.replace("entry-6")
        for name in cluster.daemons:
            cluster.hub.cuts.add((name, "entry-6"))
        cluster.run(10)
        self.assertFalse(alone.replicator.is_ready())

    def test_a_daemon_started_from_a_peer_is_in_the_report(self) -> None:
        cluster = self.start()
        new = FakeDaemon(cluster, "new", "zone-0")
        new.table.cut = True
        for name in cluster.daemons:
            for other in {"entry-1", "new"} - {name}:
                cluster.hub.cuts |= {(name, other), (other, name)}
        cluster.hub.cuts -= {("entry-1", "new"), ("new", "entry-1")}
        cluster.daemons["new"] = new
        peer = cluster.daemons["entry-1"]
        while not new.replicator.is_ready():
            cluster.clock.now += 1.0
            new.tick()
            peer.members.send_heartbeats()
            cluster.hub.deliver()
        cluster.hub.cuts = {(name, "new") for name in cluster.daemons}
        cluster.hub.cuts |= {("new", name) for name in cluster.daemons}
        peer.table.cut = True
        self.file(cluster, "entry-0", 2)
        cluster.run(6)
        self.assertEqual(peer.log.view.ticket, 2)
        self.assertEqual(new.log.view.ticket, 1)
        reporter = cluster.daemons["entry-0"]
        self.assertIn("entry-1", self.find_lags(reporter, 2))
        peer.table.cut = False
        cluster.run(12)
        self.assertEqual(set(self.find_lags(reporter, 2)), {"new"})

    def test_all_daemons_are_replaced(self) -> None:
        cluster = self.start()
        newest = self.file(cluster, "entry-0", 2).revision
        cluster.hub.deliver()
        for name in list(cluster.daemons):
            daemon = cluster.replace(name)
            cluster.run(2)
            self.assertEqual(set(daemon.revisions), {newest})
        for name in list(cluster.daemons):
            cluster.replace(name)
        cluster.run(5)
        self.assertEqual(cluster.list_revisions(), {newest})
        self.file(cluster, "entry-3", 3)
        cluster.run(8)
        self.assertEqual(self.find_lags(cluster.daemons["entry-4"], 3), {})
