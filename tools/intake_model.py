"""Model of job intake on a store that is slow for some seconds.

Runs in model time, without network. The decisions are those of the program;
the store is a queue of transactions for each partition. Compares the intake
with what it was before (`OneWriteEach`) and with parts of it switched off:

    python -m tools.intake_model
"""

import heapq
import random
import sys
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from statistics import quantiles
from typing import Any, Protocol

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.intake import IntakeLayout
from chestnutstair.scheduling.intake.attempts import (
    AttemptPolicy,
    LookUpStep,
    StepAnswer,
)
from chestnutstair.scheduling.intake.write_planner import (
    WriteBatch,
    WritePlanner,
)
from chestnutstair.scheduling.intake.write_queue import WriteEntry
from chestnutstair.scheduling.ports import (
    ConditionFailure,
    Row,
    RowKey,
    StoreFailure,
)

__all__ = [
    "IntakeModel",
    "ModelSettings",
    "Report",
    "build_grouping_only",
    "build_new",
    "build_one_write_each",
    "build_partitions_only",
    "build_relaying",
    "main",
]

Process = Generator[Any, Any, Any]
WriteAnswer = Result[int, StoreFailure | ConditionFailure]


@dataclass(frozen=True)
class ModelSettings:
    """The load, the store and the slow period.

    - `waiting_limit`: transactions waiting in a partition beyond which the
      store refuses more.
    - `keeps_duration`: whether a transaction takes as long as the store
      needed when it arrived, also if the store is calm when it runs.
    """

    submissions_per_second: float = 60.0
    nodes: int = 8
    end: float = 16.0
    slow_from: float = 4.0
    slow_seconds: float = 3.5
    slow_factor: float = 42.0
    transaction_seconds: float = 0.005
    waiting_limit: float = float("inf")
    keeps_duration: bool = False
    network_seconds: float = 0.004
    caller_seconds: float = 3.0
    caller_retries: int = 4
    caller_pause_seconds: float = 0.1
    lost_answers: float = 0.0
    seed: int = 1

    @property
    def recovered_at(self) -> float:
        """Return when the slow period ends."""
        return self.slow_from + self.slow_seconds


class Future:
    """A value that a process can wait for."""

    def __init__(self) -> None:
        self.is_done = False
        self.value: Any = None
        self.callbacks: list[Callable[[Any], None]] = []

    def resolve(self, value: Any) -> None:
        """Set the value, unless it is set."""
        if self.is_done:
            return
        self.is_done = True
        self.value = value
        for callback in self.callbacks:
            callback(value)


class Timeline:
    """Runs processes in model time.

    A process yields seconds to sleep, or a future to wait for.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._count = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Call an action at a time, in the order of calls."""
        self._count += 1
        heapq.heappush(self._events, (max(at, self.now), self._count, action))

    def start(self, process: Process) -> Future:
        """Start a process; the future has its return value."""
        done = Future()
        self._step(process, None, done)
        return done

    def _step(self, process: Process, value: Any, done: Future) -> None:
        try:
            waited = process.send(value)
        except StopIteration as end:
            done.resolve(end.value)
            return
        if isinstance(waited, Future):
            if waited.is_done:
                self._step(process, waited.value, done)
            else:
                waited.callbacks.append(
                    lambda result: self._step(process, result, done)
                )
        else:
            self.call_at(
                self.now + waited, lambda: self._step(process, None, done)
            )

    def limit(self, future: Future, seconds: float, value: Any) -> Future:
        """Return a future that has `value` if the other takes too long."""
        limited = Future()
        if future.is_done:
            limited.resolve(future.value)
        else:
            future.callbacks.append(limited.resolve)
            self.call_at(self.now + seconds, lambda: limited.resolve(value))
        return limited

    def run(self, end: float) -> None:
        """Run what happens until a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()


# Its keys, its answer, and its duration when it arrived.
_Transaction = tuple[list[RowKey], Future, float]


class ModelStore:
    """Runs the transactions of each partition one after another."""

    def __init__(self, timeline: Timeline, settings: ModelSettings) -> None:
        self._timeline = timeline
        self._settings = settings
        self._random = random.Random(settings.seed + 1)
        self._waiting: dict[str, list[_Transaction]] = {}
        self._running: set[str] = set()
        self.rows: set[RowKey] = set()
        self.transactions = 0
        self.refused = 0

    def commit(self, keys: list[RowKey]) -> Future:
        """Write new rows; the future has the answer."""
        answer = Future()
        self._timeline.call_at(
            self._timeline.now + self._settings.network_seconds / 2,
            lambda: self._arrive(keys, answer),
        )
        return answer

    def read(self, key: RowKey) -> Future:
        """Return whether a row exists; reads don't wait for writes."""
        answer = Future()
        seconds = self._settings.network_seconds + self._get_duration()
        self._timeline.call_at(
            self._timeline.now + seconds,
            lambda: answer.resolve(Ok(key in self.rows)),
        )
        return answer

    def _get_duration(self) -> float:
        settings = self._settings
        now = self._timeline.now
        is_slow = settings.slow_from <= now < settings.recovered_at
        factor = settings.slow_factor if is_slow else 1.0
        return settings.transaction_seconds * factor

    def _arrive(self, keys: list[RowKey], answer: Future) -> None:
        partition = keys[0].partition
        waiting = self._waiting.setdefault(partition, [])
        if len(waiting) >= self._settings.waiting_limit:
            self.refused += 1
            self._answer(answer, Err(UnavailableFailure("status 429")))
            return
        waiting.append((keys, answer, self._get_duration()))
        if partition not in self._running:
            self._run_next(partition)

    def _run_next(self, partition: str) -> None:
        if not self._waiting[partition]:
            self._running.discard(partition)
            return
        self._running.add(partition)
        keys, answer, seconds = self._waiting[partition].pop(0)
        if not self._settings.keeps_duration:
            seconds = self._get_duration()
        self._timeline.call_at(
            self._timeline.now + seconds,
            lambda: self._complete(partition, keys, answer),
        )

    def _complete(
        self, partition: str, keys: list[RowKey], answer: Future
    ) -> None:
        self.transactions += 1
        existing = tuple(Row(key, b"", 1) for key in keys if key in self.rows)
        if existing:
            self._answer(answer, Err(ConditionFailure(existing)))
        else:
            self.rows.update(keys)
            if self._random.random() >= self._settings.lost_answers:
                self._answer(answer, Ok(1))
        self._run_next(partition)

    def _answer(self, answer: Future, value: WriteAnswer) -> None:
        self._timeline.call_at(
            self._timeline.now + self._settings.network_seconds / 2,
            lambda: answer.resolve(value),
        )


class ModelNode(Protocol):
    """A node that stores submissions."""

    def submit(self, job: str, deadline_at: float) -> Process:
        """Store a job for a caller; returns the outcome."""
        ...

    def store(self, job: str, deadline_at: float) -> Process:
        """Store a job in the store; returns the outcome."""
        ...


class OneWriteEach:
    """The intake before: each submission makes its own attempts."""

    ATTEMPT_SECONDS = 0.8
    LOCAL_SECONDS = 0.95
    PAUSE_SECONDS = 0.05
    RELAY_SECONDS = 0.4
    RELAYED_SECONDS = 0.8

    def __init__(
        self, model: "IntakeModel", layout: IntakeLayout, always_relay: bool
    ) -> None:
        self._model = model
        self._timeline = model.timeline
        self._layout = layout
        self._always_relay = always_relay

    def submit(self, job: str, deadline_at: float) -> Process:
        """Store a job for a caller; returns the outcome."""
        own_at = min(deadline_at, self._timeline.now + self.LOCAL_SECONDS)
        leader = self._model.nodes[0]
        if self._always_relay and leader is not self:
            return (yield from self._relay(leader, job, self.LOCAL_SECONDS))
        result = yield from self.store(job, own_at)
        if result.is_err() and leader is not self:
            relayed = yield from self._relay(leader, job, self.RELAY_SECONDS)
            result = _combine(result, relayed)
        return result

    def _relay(self, leader: ModelNode, job: str, seconds: float) -> Process:
        at = self._timeline.now + self.RELAYED_SECONDS
        stored = self._timeline.start(leader.store(job, at))
        silence = Err(UnknownOutcomeFailure("no response"))
        return (yield self._timeline.limit(stored, seconds, silence))

    def store(self, job: str, deadline_at: float) -> Process:
        """Write until the outcome is known or the deadline has passed."""
        in_doubt = False
        while self._timeline.now < deadline_at:
            seconds = min(
                self.ATTEMPT_SECONDS, deadline_at - self._timeline.now
            )
            answer = yield self._timeline.limit(
                self._model.store.commit([self._layout.build_job_key(job)]),
                seconds,
                Err(UnknownOutcomeFailure("no response")),
            )
            match answer:
                case Ok(_) | Err(ConditionFailure()):
                    return Ok(None)
                case Err(UnknownOutcomeFailure()):
                    in_doubt = True
                case Err(failure):
                    if not in_doubt:
                        return Err(failure)
            yield self.PAUSE_SECONDS
        return Err(UnknownOutcomeFailure("no response in time"))


class PlannedNode:
    """The intake as it is: the planner and the policy of attempts."""

    LOCAL_SECONDS = 0.95
    RELAY_SECONDS = 0.4
    RELAYED_SECONDS = 0.8

    def __init__(
        self, model: "IntakeModel", layout: IntakeLayout, seed: int
    ) -> None:
        self._model = model
        self._timeline = model.timeline
        self._layout = layout
        self._planner = WritePlanner(random.Random(seed).random)
        self._policy = AttemptPolicy()
        self._pending: dict[RowKey, tuple[WriteEntry, Future]] = {}
        self._sequence = 0

    def submit(self, job: str, deadline_at: float) -> Process:
        """Store a job for a caller; returns the outcome."""
        own_at = min(deadline_at, self._timeline.now + self.LOCAL_SECONDS)
        result = yield from self.store(job, own_at)
        leader = self._model.nodes[0]
        if result.is_ok() or leader is self:
            return result
        now = self._timeline.now
        if not self._policy.may_relay(result.unwrap_err(), now):
            return result
        at = now + self.RELAYED_SECONDS
        stored = self._timeline.start(leader.store(job, at))
        silence = Err(UnknownOutcomeFailure("no response"))
        relayed = yield self._timeline.limit(
            stored, self.RELAY_SECONDS, silence
        )
        key = self._layout.build_job_key(job)
        self._policy.record_relay(key, relayed, self._timeline.now)
        return _combine(result, relayed)

    def store(self, job: str, deadline_at: float) -> Process:
        """Store a job in the store; returns the outcome."""
        key = self._layout.build_job_key(job)
        steps = self._policy.store(key, deadline_at, self._timeline.now)
        step = next(steps)
        while True:
            if isinstance(step, LookUpStep):
                outcome = yield self._timeline.limit(
                    self._model.store.read(key),
                    deadline_at - self._timeline.now,
                    Err(UnavailableFailure("no response")),
                )
            else:
                outcome = yield from self._write(key, deadline_at)
            try:
                step = steps.send(StepAnswer(outcome, self._timeline.now))
            except StopIteration as end:
                return end.value

    def _write(self, key: RowKey, deadline_at: float) -> Process:
        pending = self._pending.get(key)
        if pending is None:
            self._sequence += 1
            entry = WriteEntry(deadline_at, self._sequence, key, b"", True)
            refusal = self._planner.admit(entry, self._timeline.now)
            if refusal is not None:
                return Err(refusal)
            pending = self._pending[key] = (entry, Future())
            self._send_next()
        entry, done = pending
        outcome = yield self._timeline.limit(
            done, deadline_at - self._timeline.now, None
        )
        if outcome is not None:
            return outcome
        if self._planner.withdraw(entry):
            self._pending.pop(key, None)
            return Err(UnavailableFailure("not sent"))
        return Err(UnknownOutcomeFailure("no response in time"))

    def _send_next(self) -> None:
        while True:
            batch, refused = self._planner.take(self._timeline.now)
            self._settle(refused)
            if batch is None:
                return
            self._timeline.start(self._run(batch))

    def _run(self, batch: WriteBatch) -> Process:
        answer = yield self._timeline.limit(
            self._model.store.commit([entry.key for entry in batch.entries]),
            batch.limit_seconds,
            Err(UnknownOutcomeFailure("no response")),
        )
        self._settle(self._planner.finish(batch, answer, self._timeline.now))
        self._send_next()

    def _settle(self, settled: list[Any]) -> None:
        for entry, outcome in settled:
            pending = self._pending.pop(entry.key, None)
            if pending is not None:
                pending[1].resolve(outcome.map(lambda _: True))


def _combine(own: Any, relayed: Any) -> Any:
    match own:
        case Err(UnknownOutcomeFailure()) if relayed.is_err():
            return own
    return relayed


@dataclass
class Report:
    """What callers saw; times are those of first submissions."""

    settings: ModelSettings
    accepted: dict[str, float] = field(default_factory=dict)
    submitted: dict[str, float] = field(default_factory=dict)
    refused: list[str] = field(default_factory=list)
    seconds: list[float] = field(default_factory=list)
    transactions: int = 0
    store_refusals: int = 0
    # Jobs whose last answer was a refusal, though their row was written.
    false_refusals: int = 0

    def compute_rate(self, begin: float, end: float) -> float:
        """Return the accepted jobs a second of a period."""
        count = sum(begin <= at < end for at in self.accepted.values())
        return count / (end - begin)

    def compute_share(self, begin: float, end: float) -> float:
        """Return the share of jobs of a period that were accepted."""
        jobs = [job for job, at in self.submitted.items() if begin <= at < end]
        return sum(job in self.accepted for job in jobs) / max(1, len(jobs))

    def find_recovery(self) -> float:
        """Return after what time the rate is 0.95 of that submitted.

        Counts from the recovery of the store, in seconds that begin every
        0.1 s; infinite if it does not happen.
        """
        settings = self.settings
        wanted = 0.95 * settings.submissions_per_second
        begin = settings.recovered_at
        step = 0
        while begin + step / 10 + 1 <= settings.end:
            at = begin + step / 10
            if self.compute_rate(at, at + 1.0) >= wanted:
                return step / 10
            step += 1
        return float("inf")


BuildNode = Callable[["IntakeModel", int], Any]


class IntakeModel:
    """Callers, nodes and the store in model time."""

    def __init__(self, build: BuildNode, settings: ModelSettings) -> None:
        self.settings = settings
        self.timeline = Timeline()
        self.store = ModelStore(self.timeline, settings)
        self._random = random.Random(settings.seed)
        # Node 0 is the leader's.
        self.nodes = [build(self, index) for index in range(settings.nodes)]
        self.report = Report(settings)

    def run(self) -> Report:
        """Run the load and return what callers saw."""
        settings = self.settings
        interval = 1.0 / settings.submissions_per_second
        for number in range(int(settings.end / interval)):
            job = f"{self._random.getrandbits(64):016x}"
            self._submit_at(number * interval, job)
        # Callers of the last seconds end, and so do their writes.
        self.timeline.run(settings.end + 10.0)
        self.report.transactions = self.store.transactions
        self.report.store_refusals = self.store.refused
        written = {key.key for key in self.store.rows}
        self.report.false_refusals = sum(
            f"job/{job}" in written for job in self.report.refused
        )
        return self.report

    def _submit_at(self, at: float, job: str) -> None:
        def start() -> None:
            self.timeline.start(self._call(job))

        self.timeline.call_at(at, start)

    def _call(self, job: str) -> Process:
        """Submit a job as a caller does, to any node."""
        settings = self.settings
        began = self.timeline.now
        self.report.submitted[job] = began
        deadline_at = began + settings.caller_seconds
        outcomes: list[Result[None, PlatformFailure]] = []
        for _ in range(1 + settings.caller_retries):
            node = self._random.choice(self.nodes)
            outcome = yield from node.submit(job, deadline_at - 0.15)
            outcomes.append(outcome)
            if outcome.is_ok():
                self.report.accepted[job] = self.timeline.now
                self.report.seconds.append(self.timeline.now - began)
                return
            yield settings.caller_pause_seconds * (0.5 + self._random.random())
            if self.timeline.now >= deadline_at - 0.15:
                break
        if all(
            not isinstance(outcome.unwrap_err(), UnknownOutcomeFailure)
            for outcome in outcomes
        ):
            self.report.refused.append(job)


def build_one_write_each(model: IntakeModel, index: int) -> Any:
    """Return a node as it was before."""
    return OneWriteEach(model, IntakeLayout(), False)


def build_partitions_only(model: IntakeModel, index: int) -> Any:
    """Return a node as it was before, with 6 partitions."""
    return OneWriteEach(model, IntakeLayout(partitions=6), False)


def build_relaying(model: IntakeModel, index: int) -> Any:
    """Return a node that relays everything; the leader's groups."""
    if index == 0:
        return PlannedNode(model, IntakeLayout(), index)
    return OneWriteEach(model, IntakeLayout(), True)


def build_grouping_only(model: IntakeModel, index: int) -> Any:
    """Return a node that groups, with one partition."""
    return PlannedNode(model, IntakeLayout(), index)


def build_new(model: IntakeModel, index: int) -> Any:
    """Return a node that groups, with 6 partitions."""
    return PlannedNode(model, IntakeLayout(partitions=6), index)


VARIANTS = {
    "one write each": build_one_write_each,
    "partitions only": build_partitions_only,
    "relay to the leader": build_relaying,
    "grouping only": build_grouping_only,
    "both": build_new,
}


# How a store may treat transactions that wait.
STORES: dict[str, dict[str, Any]] = {
    "refuses none": {},
    "refuses beyond 200": {"waiting_limit": 200},
    "refuses beyond 200, keeps durations": {
        "waiting_limit": 200,
        "keeps_duration": True,
    },
    "refuses beyond 5, keeps durations": {
        "waiting_limit": 5,
        "keeps_duration": True,
    },
}


def _describe(report: Report) -> str:
    settings = report.settings
    recovered = settings.recovered_at
    calm = quantiles(report.seconds, n=100) if report.seconds else [0.0] * 99
    return (
        f"{report.find_recovery():8.1f}"
        f"{report.compute_rate(settings.slow_from, recovered):10.1f}"
        f"{report.compute_rate(recovered + 1, recovered + 2):10.1f}"
        f"{report.compute_share(settings.slow_from, recovered):9.3f}"
        f"{report.compute_share(recovered, recovered + 1):9.3f}"
        f"{report.compute_share(recovered + 1, settings.end):9.3f}"
        f"{report.transactions:8d}{report.store_refusals:8d}"
        f"{report.false_refusals:6d}{calm[49]:8.4f}"
    )


def main() -> int:
    """Print a line for each variant."""
    print(
        "recovery: seconds after the store's until a second has 0.95 of the"
        " rate\nrates a second: while slow, in the 2nd second after;"
        " shares of jobs: submitted while\nslow, in the 1st second after,"
        " later; transactions; 429s; false refusals; median"
    )
    for title, fields in STORES.items():
        print(title)
        for nodes in (8, 30):
            for name, build in VARIANTS.items():
                settings = ModelSettings(nodes=nodes, **fields)
                report = IntakeModel(build, settings).run()
                print(f"{nodes:3d} nodes {name:20s}{_describe(report)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
