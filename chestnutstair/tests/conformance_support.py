"""Recorders that map actions of real daemons to steps of the models."""

from collections.abc import Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from chestnutstair.coordination.changelog import RaceFailure
from chestnutstair.coordination.duties import BEAT_TABLE
from chestnutstair.coordination.duty import DUTY_TABLE, Duty
from chestnutstair.coordination.gossip import FactsMessage, HeartbeatMessage
from chestnutstair.coordination.platform import (
    Condition,
    Key,
    UnknownOutcomeFailure,
    Write,
)
from chestnutstair.coordination.records import FLOOR_KEY, LOG_TABLE
from chestnutstair.coordination.registry import MEMBER_TABLE
from chestnutstair.specification import configuration, duties
from chestnutstair.specification.conformance import Event, TraceRunner
from chestnutstair.tests.cluster import Cluster, FakeDaemon

__all__ = ["DutyRecorder", "LogRecorder", "call_after"]

OFF, REGISTERED, SERVING = range(3)


def call_after(owner: Any, name: str, callback: Callable) -> None:
    """Replace a method so that `callback` runs after each call.

    `callback` gets the outcome and the positional arguments.
    """
    original = getattr(owner, name)

    def call(*args: Any, **options: Any) -> Any:
        outcome = original(*args, **options)
        callback(outcome, *args)
        return outcome

    setattr(owner, name, call)


def took_effect(outcome: Result) -> bool:
    """Return whether a write took effect, even if its answer was lost.

    An unknown outcome counts, as the test doubles lose only answers.
    """
    match outcome:
        case Ok() | Err(UnknownOutcomeFailure()):
            return True
    return False


class Recorder:
    """Applies each step as it is recorded; a refused step fails the test."""

    def __init__(self, runner: TraceRunner) -> None:
        self.runner = runner

    def emit(self, step: str, chosen: int | None = None, **seen: Any) -> None:
        """Record a step with the values observed after it.

        `chosen` is the value of the input of that name, if the step has it.
        """
        inputs = {} if chosen is None else {"chosen": chosen}
        self.runner.apply(Event(step, inputs, seen)).unwrap()


class LogRecorder(Recorder):
    """Records the filing, spread and compaction of tickets in a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._names = list(cluster.daemons)
        machine = configuration.build_machine(len(self._names))
        super().__init__(TraceRunner(machine))
        self._floors = {0: 0}
        call_after(cluster.hub, "post", self._record_post)
        for daemon in cluster.daemons.values():
            self._attach(daemon)

    def replace(self, name: str) -> None:
        """Crash a daemon and start a new one in its place."""
        self.emit(f"crash {self._names.index(name)}")
        self._attach(self._cluster.replace(name))

    def _attach(self, daemon: FakeDaemon) -> None:
        index = self._names.index(daemon.name)
        call_after(
            daemon.table,
            "commit",
            lambda *args: self._record_commit(daemon, index, *args),
        )
        call_after(
            daemon.log,
            "append",
            lambda outcome, *args: self._record_append_result(
                daemon, index, outcome
            ),
        )
        call_after(
            daemon.ticket_service,
            "report",
            lambda outcome, *args: self._record_report(daemon, index, outcome),
        )
        daemon.log.add_listener(
            lambda record, view: self._record_learning(index, view.revision)
        )
        daemon.log.add_install_listener(
            lambda view: self._record_learning(index, view.revision)
        )

    def _get(self, name: str, index: int) -> Any:
        return self.runner.read(f"{name}{index}")

    def _record_learning(self, index: int, revision: int) -> None:
        if self._get("phase", index) == SERVING:
            seen = {f"view{index}": revision}
            self.emit(f"learn {index}", revision, **seen)

    def _record_load(self, daemon: FakeDaemon, index: int) -> None:
        """Record that a starting daemon has loaded the log, if it has."""
        starting = self._get("phase", index) == REGISTERED
        if starting and daemon.replicator.is_ready():
            seen = {f"view{index}": daemon.log.view.revision}
            self.emit(f"load {index}", **seen)

    def _record_confirmation(
        self, daemon: FakeDaemon, index: int, revision: int
    ) -> None:
        self._record_load(daemon, index)
        newer = revision > self._get("row_revision", index)
        if self._get("phase", index) == SERVING and (
            newer or not self._get("row_ready", index)
        ):
            self.emit(f"confirm {index}", revision)

    def _record_post(
        self, outcome: None, sender: str, receiver: str, message: Any
    ) -> None:
        index = self._names.index(sender)
        daemon = self._cluster.daemons[sender]
        match message:
            case HeartbeatMessage(revision=revision):
                self._record_confirmation(daemon, index, revision)
            case FactsMessage(facts):
                for fact in facts:
                    if fact.name == sender:
                        self._record_confirmation(daemon, index, fact.revision)

    def _record_commit(
        self,
        daemon: FakeDaemon,
        index: int,
        outcome: Result,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Any,
    ) -> None:
        committed = took_effect(outcome)
        self._record_load(daemon, index)
        removed = 0
        for write in writes:
            match write:
                case Write(Key(table, key), None) if table == LOG_TABLE:
                    removed = max(removed, int(key))
                case Write(Key(table, key)) if table == LOG_TABLE:
                    self._record_append(index, int(key), conditions, committed)
                case Write(key, value) if key == FLOOR_KEY and committed:
                    self.emit(f"raise floor {index}", value["revision"])
                    self._store_floor_version()
                case Write(Key(table), value) if committed and (
                    table == MEMBER_TABLE
                ):
                    self._record_member_write(daemon, index, value["revision"])
        if committed and removed > self.runner.read("removed"):
            self.emit("remove rows", removed)

    def _store_floor_version(self) -> None:
        deadline = self._cluster.make_deadline()
        row = self._cluster.table.read([FLOOR_KEY], deadline).unwrap()[0]
        assert row is not None
        self._floors[row.version] = row.value["revision"]

    def _record_member_write(
        self, daemon: FakeDaemon, index: int, revision: int
    ) -> None:
        if self._get("phase", index) == OFF:
            self.emit(f"register {index}")
        else:
            self._record_confirmation(daemon, index, revision)

    def _record_append(
        self,
        index: int,
        revision: int,
        conditions: Sequence[Condition],
        committed: bool,
    ) -> None:
        version = next(
            item.version for item in conditions if item.key == FLOOR_KEY
        )
        floor = self._floors[version]
        if self._get("append", index):
            self.emit(f"give up {index}")
        if self._get("known_floor", index) != floor:
            self.emit(f"read floor {index}")
        seen = {f"sent{index}": revision, f"sent_floor{index}": floor}
        self.emit(f"send {index}", **seen)
        self.emit(f"commit {index}" if committed else f"refuse {index}")

    def _record_append_result(
        self, daemon: FakeDaemon, index: int, outcome: Result
    ) -> None:
        if not self._get("append", index):
            return  # The view rejected the change before any write.
        match outcome:
            case Ok():
                seen = {f"view{index}": daemon.log.view.revision}
                self.emit(f"accepted {index}", **seen)
                return
            case Err(RaceFailure()):
                if self._get("sent", index) <= self.runner.read("head"):
                    self.emit(f"lost race {index}")
        self.emit(f"give up {index}")

    def _record_report(
        self, daemon: FakeDaemon, index: int, outcome: Result
    ) -> None:
        match outcome:
            case Ok(status) if status.in_force:
                # A daemon knows its own revision without a message.
                self._record_confirmation(
                    daemon, index, daemon.log.view.revision
                )
                self.emit("report in force", status.entry.revision)


class DutyRecorder(Recorder):
    """Records the steps of all daemons concerning one duty.

    Each incarnation of a daemon is a separate daemon of the model, which
    has room for `limit` incarnations.
    """

    def __init__(self, cluster: Cluster, name: str, limit: int) -> None:
        self._cluster = cluster
        self._name = name
        self._key = Key(DUTY_TABLE, name)
        self._limit = limit
        self._incarnations: list[str] = []  # by index in the model
        self._versions = {0: 1}  # real version of the row -> the model's
        self._now = cluster.clock.now
        machine = duties.build_machine(limit)
        self.start = {"version": 1, "holder": -1, "held_version0": 1}
        self.start |= {f"seen_holder{index}": -1 for index in range(limit)}
        self.start |= {f"deadline{index}": 5 for index in range(limit)}
        super().__init__(TraceRunner(machine, self.start))
        for daemon in cluster.daemons.values():
            self._attach(daemon)

    def emit(self, step: str, chosen: int | None = None, **seen: Any) -> None:
        """Record the elapsed time, then the step."""
        self.record_elapsed_time()
        super().emit(step, chosen, **seen)

    def record_elapsed_time(self) -> None:
        """Record the time elapsed since the last call, if any."""
        passed = self._cluster.clock.now - self._now
        self._now = self._cluster.clock.now
        if passed:
            inputs = {
                f"advance{index}": passed for index in range(self._limit)
            }
            event = Event("time passes", {"passed": passed, **inputs})
            self.runner.apply(event).unwrap()

    def replace(self, name: str) -> None:
        """Crash a daemon and start a new one in its place."""
        self.record_loss(self.find_index(self._cluster.daemons[name]))
        self._attach(self._cluster.replace(name))

    def record_loss(self, index: int) -> None:
        """Record the loss of the duty, if the daemon has it in the model."""
        if self.runner.read(f"held{index}"):
            self.emit(f"forget {index}")

    def find_index(self, daemon: FakeDaemon) -> int:
        """Return the model's index of the daemon's current incarnation."""
        return self._incarnations.index(daemon.members.get_self().incarnation)

    def check_holder(self, daemon: FakeDaemon) -> bool:
        """Return whether model and daemon agree on the duty being held."""
        index = self.find_index(daemon)
        clock = self.runner.read(f"clock{index}")
        held = self.runner.read(f"held{index}") and (
            clock < self.runner.read(f"deadline{index}")
        )
        return held == (daemon.duties.find_duty(self._name) is not None)

    def _attach(self, daemon: FakeDaemon) -> None:
        self._incarnations.append(daemon.members.get_self().incarnation)
        index = len(self._incarnations) - 1
        daemon_duties = daemon.duties

        def on_observation(
            unchanged_seconds: float, name: str, *args: Any
        ) -> None:
            if name == self._name and not unchanged_seconds:
                self._record_observation(index)

        def on_takeover(outcome: None, name: str, *args: Any) -> None:
            if name == self._name and name not in daemon_duties._held:
                self.record_loss(index)  # The row could not be read back.

        def on_loss(outcome: None, names: set[str]) -> None:
            if self._name in names:
                self.record_loss(index)

        def on_adoption(outcome: None, name: str, *args: Any) -> None:
            if name == self._name:
                self.emit(f"adopt {index}")

        call_after(daemon_duties._tracker, "measure_unchanged", on_observation)
        call_after(daemon_duties, "_take_over", on_takeover)
        call_after(daemon_duties, "_drop", on_loss)
        call_after(daemon_duties, "_adopt", on_adoption)
        call_after(
            daemon.table,
            "commit",
            lambda *args: self._record_commit(index, *args),
        )

    def _record_observation(self, index: int) -> None:
        row = self._read_row()
        holder = row.value["holder"] if row else ""
        number = self._incarnations.index(holder) if holder else -1
        seen = {f"seen_holder{index}": number}
        self.emit(f"observe {index}", **seen)

    def _read_row(self) -> Any:
        deadline = self._cluster.make_deadline()
        return self._cluster.table.read([self._key], deadline).unwrap()[0]

    def _record_commit(
        self,
        index: int,
        outcome: Result,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Any,
    ) -> None:
        committed = took_effect(outcome)
        fence = next(
            (item for item in conditions if item.key == self._key), None
        )
        rows = {write.key: write.value for write in writes}
        value = rows.get(self._key)
        if value is not None and committed:
            step = "take over" if value["holder"] else "release"
            self.emit(f"{step} {index}")
            version = int(self.runner.read("version"))
            self._versions[self._read_row().version] = version
        elif value is not None:
            if not value["holder"]:
                self.record_loss(index)
        elif any(key.table == BEAT_TABLE for key in rows):
            self._record_renewal(index, outcome, fence, committed)
        elif committed and fence is not None:
            self.emit(f"commit write {index}")

    def _record_renewal(
        self,
        index: int,
        outcome: Result,
        fence: Condition | None,
        committed: bool,
    ) -> None:
        if fence is None:
            if committed:
                self.emit(f"beat {index}")
            return
        seen = {f"renewal_version{index}": self._versions[fence.version]}
        self.emit(f"send renewal {index}", **seen)
        if committed:
            self.emit(f"commit renewal {index}")
        ended = "renewed" if outcome.is_ok() else "renewal ends"
        self.emit(f"{ended} {index}")

    def begin_write(self, daemon: FakeDaemon) -> Duty:
        """Record that the holder sends a fenced commit; return the duty."""
        duty = daemon.duties.find_duty(self._name)
        assert duty is not None
        index = self.find_index(daemon)
        seen = {f"write_version{index}": self._versions[duty.version]}
        self.emit(f"send write {index}", **seen)
        return duty
