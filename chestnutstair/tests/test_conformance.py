"""Checks traces of the real code against the specification."""

import random
import unittest
from unittest.mock import patch

from result import Err

from chestnutstair.coordination import compaction, records
from chestnutstair.coordination.compaction import (
    COMPACTION_DUTY,
    Compactor,
    SnapshotSettings,
)
from chestnutstair.coordination.duties import DutySettings
from chestnutstair.coordination.platform import (
    ConflictFailure,
    UnavailableFailure,
)
from chestnutstair.specification import configuration, duties
from chestnutstair.specification.conformance import Event, TraceRunner, replay
from chestnutstair.specification.drain_state import DOWN, DRAINING, SERVING
from chestnutstair.specification.duty_state import LEASE, MARGIN
from chestnutstair.state.change import PauseChange
from chestnutstair.tests.cluster import Cluster, FakeDaemon
from chestnutstair.tests.conformance_support import (
    DutyRecorder,
    LogRecorder,
)
from chestnutstair.tests.drain_recorder import DrainRecorder
from chestnutstair.tests.support import build_ticket
from chestnutstair.tests.test_configuration import build_next
from tools.maintained_fleet import Fleet

SEGMENT = 5  # records
DAY_SECONDS = 86_400.0


class LogTest(unittest.TestCase):
    """Tickets, their spread and compaction follow the specification."""

    def setUp(self) -> None:
        for module in (records, compaction):
            patcher = patch.object(module, "SEGMENT_SIZE", SEGMENT)
            patcher.start()
            self.addCleanup(patcher.stop)

    def record(self, seed: int, rounds: int) -> LogRecorder:
        """Run daemons under random faults; the recorder checks each step."""
        cluster = Cluster(4, loss=0.1, seed=seed)
        recorder = LogRecorder(cluster)
        cluster.run(8)
        rng = random.Random(seed)
        number = 1
        for _ in range(rounds):
            daemon = rng.choice(list(cluster.daemons.values()))
            number += self.act(rng, cluster, recorder, daemon, number)
            cluster.run(1)
            cluster.table.lose_answers = 0
        cluster.heal()
        for daemon in cluster.daemons.values():
            daemon.paused = False
        cluster.run(12)
        daemon = cluster.daemons["entry-0"]
        deadline = cluster.make_deadline()
        status = daemon.ticket_service.report(number - 1, deadline).unwrap()
        self.assertTrue(status.in_force)
        return recorder

    def act(
        self,
        rng: random.Random,
        cluster: Cluster,
        recorder: LogRecorder,
        daemon: FakeDaemon,
        number: int,
    ) -> bool:
        """Do one random action; return whether a ticket was accepted."""
        deadline = cluster.make_deadline()
        match rng.randrange(9):
            case 0:
                daemon.paused = not daemon.paused
            case 1:
                daemon.table.cut = not daemon.table.cut
            case 2:
                other = rng.choice(list(cluster.daemons))
                cluster.hub.cuts ^= {(daemon.name, other)}
            case 3 if not daemon.table.cut:
                recorder.replace(daemon.name)
            case 4:
                self.compact(cluster)
            case 5 if number > 1:
                daemon.ticket_service.report(number - 1, deadline)
            case 6:
                cluster.table.lose_answers = rng.randrange(3)
                for racing in (daemon, cluster.daemons["entry-0"]):
                    racing.log.append(PauseChange(True), deadline)
            case _:
                cluster.table.lose_answers = rng.randrange(2)
                return daemon.ticket_service.file(
                    build_next(number), deadline
                ).is_ok()
        return False

    def compact(self, cluster: Cluster) -> None:
        settings = SnapshotSettings(tail_records=2)
        for daemon in cluster.daemons.values():
            duty = daemon.duties.find_duty(COMPACTION_DUTY)
            if duty is not None:
                Compactor(
                    daemon.log,
                    daemon.duties,
                    daemon.members,
                    cluster.directory,
                    cluster.clock,
                    settings,
                ).compact(duty)

    def test_accepts_recorded_traces(self) -> None:
        steps: set[str] = set()
        for seed in range(3):
            recorder = self.record(seed, 60)
            steps |= {item.step[:-2] for item in recorder.runner.events}
        missing = {
            "lost race",
            "raise floor",
            "read floor",
            "report in for",
            "crash",
        } - steps
        self.assertEqual(missing, set())

    def test_refuses_tampered_traces(self) -> None:
        events = self.record(1, 30).runner.events
        machine = configuration.build_machine(4)
        replay(machine, events).unwrap()
        commits = [
            at
            for at, event in enumerate(events)
            if event.step.startswith("commit")
        ]
        for at in commits[:6]:
            skipped = [*events[:at], *events[at + 1 :]]
            self.assertTrue(replay(machine, skipped).is_err())
            again = [*events[: at + 1], *events[at:]]
            self.assertTrue(replay(machine, again).is_err())


class DutyTest(unittest.TestCase):
    """Leases and fenced commits follow the specification."""

    def test_lease_and_margin_match_the_settings(self) -> None:
        settings = DutySettings()
        self.assertEqual(settings.lease_seconds, LEASE)
        self.assertEqual(settings.margin_seconds, MARGIN)

    def check(self, cluster: Cluster, recorder: DutyRecorder) -> None:
        recorder.record_elapsed_time()
        for daemon in cluster.daemons.values():
            self.assertTrue(recorder.check_holder(daemon), daemon.name)

    def test_accepts_recorded_traces(self) -> None:
        for seed in range(3):
            cluster = Cluster(3)
            recorder = DutyRecorder(cluster, "pool-a", 8)
            rng = random.Random(seed)
            for _ in range(80):
                cluster.run(1)
                self.check(cluster, recorder)
                cluster.table.lose_answers = 0
                daemon = rng.choice(list(cluster.daemons.values()))
                match rng.randrange(8):
                    case 0:
                        daemon.paused = not daemon.paused
                    case 1:
                        daemon.table.cut = not daemon.table.cut
                    case 2:
                        cluster.table.lose_answers = 2
                    case 3 if len(recorder._incarnations) < 8:
                        recorder.replace(daemon.name)
            steps = {item.step[:-2] for item in recorder.runner.events}
            self.assertLessEqual({"take over", "renewed", "forget"}, steps)

    def test_refuses_a_stale_write(self) -> None:
        cluster = Cluster(3)
        recorder = DutyRecorder(cluster, "pool-a", 3)
        cluster.run(12)
        holder = next(
            daemon
            for daemon in cluster.daemons.values()
            if daemon.duties.find_duty("pool-a")
        )
        duty = recorder.begin_write(holder)
        holder.paused = True
        cluster.run(20)
        self.check(cluster, recorder)
        deadline = cluster.make_deadline()
        holder.log.refresh(deadline).unwrap()
        fence = [duty.build_condition()]
        late = holder.log.append(PauseChange(True), deadline, conditions=fence)
        self.assertIsInstance(late.unwrap_err(), ConflictFailure)
        stale = Event(f"commit write {recorder.find_index(holder)}")
        failure = recorder.runner.apply(stale).unwrap_err()
        self.assertEqual(failure.reason, "write on the duty's row")

    def test_refuses_a_write_without_the_duty(self) -> None:
        cluster = Cluster(3)
        recorder = DutyRecorder(cluster, "pool-a", 3)
        cluster.run(12)
        for daemon in cluster.daemons.values():
            if daemon.duties.find_duty("pool-a") is None:
                write = Event(f"send write {recorder.find_index(daemon)}")
                failure = recorder.runner.apply(write).unwrap_err()
                self.assertEqual(failure.reason, "usable")

    def test_refuses_an_early_takeover(self) -> None:
        cluster = Cluster(3)
        recorder = DutyRecorder(cluster, "pool-a", 3)
        cluster.run(12)
        events = recorder.runner.events
        takeover_at = next(
            at for at, item in enumerate(events) if "take over" in item.step
        )
        other = (int(events[takeover_at].step[-1]) + 1) % 3
        early = [Event(f"observe {other}"), Event(f"take over {other}")]
        machine = duties.build_machine(3)
        extended = [*events[: takeover_at + 1], *early]
        refused = replay(machine, extended, recorder.start).unwrap_err()
        self.assertEqual(refused.reason, "unchanged for the lease")


class DrainTest(unittest.TestCase):
    """Waves of drains with failing VMs follow the specification."""

    def record(self, seed: int, ticks: int) -> DrainRecorder:
        """Run two daemons alternately under random faults."""
        ticket = build_ticket(runners=4, workers=0, zones=2)
        fleet = Fleet(ticket)
        fleet.expected_load = 0.0
        fleet.clock.sleep(20 * DAY_SECONDS)
        recorder = DrainRecorder(fleet, "quotes")
        rng = random.Random(seed)
        unavailable = Err(UnavailableFailure("slow"))
        for at in range(ticks):
            self.act(rng, fleet, recorder)
            if at // 4 % 2:
                recorder.sender = rng.randrange(2)
                fleet.tick(recorder.sender)
            else:  # The second daemon can't refresh its view.
                recorder.sender = 0
                with patch.object(
                    fleet.logs[1], "refresh", return_value=unavailable
                ):
                    fleet.tick()
            fleet.vms.lose_answers = 0
        self.assertEqual(fleet.vms.unsafe_reboots, [])
        return recorder

    def act(
        self, rng: random.Random, fleet: Fleet, recorder: DrainRecorder
    ) -> None:
        vm = rng.choice(recorder.vms)
        serving = vm in recorder.list_serving()
        match rng.randrange(12):
            case 0 | 1 | 2 if serving and fleet.vms.start_request(vm):
                recorder.record_vm_step("request", vm)
            case 3 | 4 | 5 | 6 | 7 if recorder.get("running", vm):
                fleet.vms.end_requests(vm, 1)
                recorder.record_vm_step("finish", vm)
            case 8:
                fleet.vms.lose_answers = 2
            case 9:
                fleet.take_over("quotes")
            case 10 if rng.random() < 0.3:
                paused = not fleet.log.view.paused
                fleet.append(PauseChange(paused))
            case 11 if recorder.get("phase", vm) in (SERVING, DRAINING, DOWN):
                fails = recorder.get("phase", vm) != DOWN
                fleet.vms.set_live([vm], not fails)
                if fails:
                    recorder.record_vm_step("fail", vm)

    def test_accepts_recorded_traces(self) -> None:
        steps: set[str] = set()
        for seed in range(3):
            events = self.record(seed, 150).runner.events
            steps |= {item.step.rstrip(" 0123") for item in events}
        wanted = {"record reboot's end", "undo", "record outage", "see idle"}
        self.assertLessEqual(wanted, steps)

    def test_refuses_a_drain_beyond_the_budget(self) -> None:
        recorder = self.record(0, 100)
        events = recorder.runner.events
        at, first = next(
            (at, event)
            for at, event in enumerate(events)
            if event.step.startswith("start drain")
        )
        runner = TraceRunner(recorder.machine, recorder.start)
        for event in events[: at + 1]:
            runner.apply(event).unwrap()
        author = first.step.split()[2]
        outcomes = [
            runner.apply(Event(f"start drain {author} {vm}"))
            for vm in range(len(recorder.vms))
            if runner.read(f"phase{vm}") == SERVING
        ]
        refused = [item.unwrap_err() for item in outcomes if item.is_err()]
        self.assertTrue(refused)
        reasons = {item.reason for item in refused}
        self.assertEqual(reasons, {"within the budget"})
        skipped = [*events[:at], *events[at + 1 :]]
        outcome = replay(recorder.machine, skipped, recorder.start)
        self.assertTrue(outcome.is_err())


class InForceTest(unittest.TestCase):
    """Every ready daemon serves a ticket that is reported in force."""

    def setUp(self) -> None:
        self.cluster = Cluster(4)
        self.cluster.run(6)
        self.file(1)
        self.cluster.run(4)

    def file(self, number: int) -> int:
        ticket_service = self.cluster.daemons["entry-0"].ticket_service
        deadline = self.cluster.make_deadline()
        return (
            ticket_service.file(build_next(number), deadline).unwrap().revision
        )

    def cut_links(self, name: str) -> None:
        for other in self.cluster.daemons:
            self.cluster.hub.cuts |= {(name, other), (other, name)}

    def compact(self) -> None:
        for daemon in self.cluster.daemons.values():
            duty = daemon.duties.find_duty(COMPACTION_DUTY)
            if duty is not None:
                daemon.compactor.compact(duty).unwrap()

    def start_alone(self) -> FakeDaemon:
        """Return a new daemon that reaches the table but no peer."""
        daemon = FakeDaemon(self.cluster, "entry-9", "zone-0")
        self.cut_links(daemon.name)
        return daemon

    def check(self, daemon: FakeDaemon, revision: int) -> None:
        self.assertLess(daemon.log.view.revision, revision)
        ticket_service = self.cluster.daemons["entry-0"].ticket_service
        status = ticket_service.report(2, self.cluster.make_deadline())
        in_force = status.is_ok() and status.unwrap().in_force
        self.assertFalse(daemon.replicator.is_ready() and in_force)

    def test_counts_a_daemon_whose_registration_failed(self) -> None:
        new = self.start_alone()
        unavailable = Err(UnavailableFailure("slow"))
        with patch.object(new.table, "commit", return_value=unavailable):
            new.tick()
        new.table.cut = True
        revision = self.file(2)
        self.cluster.run(3)
        self.check(new, revision)
        self.assertFalse(new.replicator.is_ready())

    def test_counts_unread_rows_while_the_table_is_down(self) -> None:
        new = self.start_alone()
        new.tick()
        new.table.cut = True
        revision = self.file(2)
        self.cluster.hub.deliver()
        self.cluster.table.down = True
        self.cluster.run(1)
        self.assertTrue(new.replicator.is_ready())
        self.check(new, revision)

    def test_counts_a_daemon_that_is_cut_off_for_long(self) -> None:
        cut = self.cluster.daemons["entry-3"]
        cut.table.cut = True
        self.cut_links(cut.name)
        revision = self.file(2)
        self.cluster.run(640)
        self.compact()
        self.cluster.run(5)
        self.assertTrue(cut.replicator.is_ready())
        self.check(cut, revision)

    def test_does_not_wait_for_a_vm_that_is_gone(self) -> None:
        self.cluster.kill("entry-3")
        self.file(2)
        self.cluster.run(640)
        self.compact()
        self.cluster.run(5)
        ticket_service = self.cluster.daemons["entry-0"].ticket_service
        status = ticket_service.report(
            2, self.cluster.make_deadline()
        ).unwrap()
        self.assertTrue(status.in_force)


if __name__ == "__main__":
    unittest.main()
