"""Tests of duty leases with paused and partitioned holders."""

import contextlib
import random
import unittest
from collections.abc import Callable

from chestnutstair.coordination.duties import DutySettings
from chestnutstair.coordination.duty import DUTY_TABLE, Duty, rank_members
from chestnutstair.coordination.platform import ConflictFailure, Key
from chestnutstair.state.change import PauseChange
from chestnutstair.tests.cluster import Cluster, FakeDaemon


class DutiesTest(unittest.TestCase):
    """A duty has one holder; a former holder cannot write."""

    def find_holders(self, cluster: Cluster, name: str) -> list[FakeDaemon]:
        return [
            daemon
            for daemon in cluster.daemons.values()
            if daemon.duties.find_duty(name) is not None
        ]

    def find_holder(self, cluster: Cluster, name: str) -> FakeDaemon:
        holders = self.find_holders(cluster, name)
        self.assertEqual(len(holders), 1, name)
        return holders[0]

    def start(self, settings: DutySettings | None = None) -> Cluster:
        cluster = Cluster(7, duty_settings=settings)
        cluster.duty_names = [f"pool-{index}" for index in range(14)]
        cluster.run(12)
        return cluster

    def test_spreads_duties_over_daemons(self) -> None:
        cluster = self.start()
        holders = {
            self.find_holder(cluster, name).name for name in cluster.duty_names
        }
        self.assertGreater(len(holders), 3)

    def pause_holder(self, cluster: Cluster) -> tuple[FakeDaemon, Duty]:
        holder = self.find_holder(cluster, "pool-3")
        duty = holder.duties.find_duty("pool-3")
        assert duty is not None
        holder.paused = True
        cluster.run(20)
        self.assertIsNone(holder.duties.find_duty("pool-3"))
        return holder, duty

    def test_a_paused_holder_can_not_write(self) -> None:
        cluster = self.start()
        holder, duty = self.pause_holder(cluster)
        successor = self.find_holder(cluster, "pool-3")
        self.assertIsNot(successor, holder)
        successor_duty = successor.duties.find_duty("pool-3")
        assert successor_duty is not None
        self.assertGreater(successor_duty.token, duty.token)
        deadline = cluster.make_deadline()
        holder.log.refresh(deadline).unwrap()
        late_outcome = holder.log.append(
            PauseChange(True), deadline, conditions=[duty.build_condition()]
        )
        self.assertIsInstance(late_outcome.unwrap_err(), ConflictFailure)
        holder.paused = False
        cluster.run(4)
        self.assertIsNone(holder.duties.find_duty("pool-3"))

    def interrupt_takeovers(
        self, cluster: Cluster, action: Callable[[], None]
    ) -> list[FakeDaemon]:
        """Run the action before the commit of each takeover of the duty."""
        interrupted = []
        for daemon in cluster.daemons.values():

            def interrupt(daemon: FakeDaemon = daemon) -> None:
                interrupted.append(daemon)
                action()

            key = Key(DUTY_TABLE, "pool-3")
            daemon.table.before_write[key] = interrupt
        return interrupted

    def test_a_renewal_stops_a_takeover_in_flight(self) -> None:
        cluster = self.start()
        holder = self.find_holder(cluster, "pool-3")
        holder.paused = True
        successors = self.interrupt_takeovers(cluster, holder.duties.reconcile)
        for _ in range(30):
            cluster.run(1)
            self.assertLessEqual(len(self.find_holders(cluster, "pool-3")), 1)
        self.assertTrue(successors)
        holder.paused = False
        cluster.run(2)
        self.assertIs(self.find_holder(cluster, "pool-3"), holder)

    def test_two_takeovers_in_flight_leave_one_holder(self) -> None:
        cluster = self.start(DutySettings(rank_seconds=0.0))
        self.find_holder(cluster, "pool-3").paused = True
        members = cluster.daemons["entry-0"].members.list_live()
        last = rank_members("pool-3", members)[-1]
        rival = cluster.daemons[last]

        def take_first() -> None:
            rival.table.before_write.clear()
            rival.duties._checked_at.clear()
            rival.duties.reconcile()

        def give_up() -> None:
            raise InterruptedError

        successors = self.interrupt_takeovers(cluster, take_first)
        rival.paused = True
        for _ in range(20):
            rival.table.before_write[Key(DUTY_TABLE, "pool-3")] = give_up
            rival.duties._checked_at.clear()
            with contextlib.suppress(InterruptedError):
                rival.duties.reconcile()
            cluster.run(1)
            rival.members.send_heartbeats()
            self.assertLessEqual(len(self.find_holders(cluster, "pool-3")), 1)
        self.assertTrue(successors)
        self.assertIs(self.find_holder(cluster, "pool-3"), rival)

    def test_a_holder_cut_off_stops_before_another_starts(self) -> None:
        cluster = self.start()
        holder = self.find_holder(cluster, "pool-3")
        holder.table.cut = True
        for _ in range(20):
            cluster.run(1)
            self.assertLessEqual(len(self.find_holders(cluster, "pool-3")), 1)
        self.assertIsNot(self.find_holder(cluster, "pool-3"), holder)

    def test_lost_answers_leave_one_holder(self) -> None:
        cluster = self.start()
        holder = self.find_holder(cluster, "pool-3")
        cluster.replace(holder.name)
        for _ in range(12):
            cluster.table.lose_answers = 3
            cluster.run(1)
        cluster.table.lose_answers = 0
        cluster.run(12)
        for name in cluster.duty_names:
            self.find_holder(cluster, name)

    def test_a_stopped_daemon_releases_at_once(self) -> None:
        cluster = self.start()
        holder = self.find_holder(cluster, "pool-3")
        holder.duties.stop()
        holder.members.stop()
        holder.paused = True
        cluster.run(6)
        self.assertIsNot(self.find_holder(cluster, "pool-3"), holder)

    def test_no_two_holders_under_random_faults(self) -> None:
        for seed in range(6):
            cluster = self.start()
            self.run_faults(cluster, random.Random(seed))
            cluster.heal()
            for daemon in cluster.daemons.values():
                daemon.paused = False
            cluster.run(60)
            for name in cluster.duty_names:
                self.find_holder(cluster, name)

    def run_faults(self, cluster: Cluster, rng: random.Random) -> None:
        tokens: dict[str, int] = {}
        for _ in range(80):
            daemon = rng.choice(list(cluster.daemons.values()))
            match rng.randrange(8):
                case 0:
                    daemon.paused = not daemon.paused
                case 1:
                    daemon.table.cut = not daemon.table.cut
                case 2:
                    cluster.table.lose_answers = 2
                case 3:
                    cluster.replace(daemon.name)
            cluster.run(1)
            for name in cluster.duty_names:
                self.check_holders(cluster, name, tokens)

    def check_holders(
        self, cluster: Cluster, name: str, tokens: dict[str, int]
    ) -> None:
        holders = self.find_holders(cluster, name)
        self.assertLessEqual(len(holders), 1, name)
        for holder in holders:
            duty = holder.duties.find_duty(name)
            assert duty is not None
            self.assertGreaterEqual(duty.token, tokens.get(name, 0))
            tokens[name] = duty.token
