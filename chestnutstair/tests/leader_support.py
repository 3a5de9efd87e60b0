"""A leader without planner on a store in memory, for tests of its rows."""

import unittest
from typing import Any

from chestnutstair.platform import PlatformDecoder, PlatformSubmissions
from chestnutstair.scheduling.job_tracker import JobTracker, JobTrackerSettings
from chestnutstair.scheduling.leader import (
    REGISTRY_PARTITION,
    REGISTRY_TABLE,
    Leader,
    LeaderSettings,
)
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.ports import RowKey, RowWrite
from chestnutstair.scheduling.term import (
    TERM_KEY,
    Term,
    TermRow,
    TermSettings,
)
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.scheduling_support import CONFIGURATION

__all__ = ["LeaderRowsTest", "RecordingSessions"]


class RecordingSessions:
    """Records the workers whose sessions were started."""

    def __init__(self) -> None:
        self.started: list[str] = []

    def start_session(self, worker: WorkerState) -> None:
        """Record the worker."""
        self.started.append(worker.name)


class LeaderRowsTest(unittest.TestCase):
    """Base of tests in which a leader reads rows that they write."""

    def setUp(self) -> None:
        self.clock = SystemClock()
        self.store = MemoryRowStore()
        self.build_leader()

    def build_leader(self) -> None:
        """Build the leader of a term on the rows that are stored."""
        row = TermRow("node", "node:1", 1, 0)
        version = self.write_row(TERM_KEY, row.encode())
        term = Term(self.store, self.clock, row, version, TermSettings())
        self.leadership = Leadership(term)
        self.tracker = JobTracker(self.clock, JobTrackerSettings())
        self.sessions = RecordingSessions()
        unused: Any = None
        sessions: Any = self.sessions
        self.leader = Leader(
            self.leadership,
            self.tracker,
            unused,
            unused,
            self.store,
            sessions,
            unused,
            PlatformDecoder(),
            PlatformSubmissions(),
            lambda: CONFIGURATION,
            self.clock,
            LeaderSettings(),
        )

    def write_row(self, key: RowKey, value: bytes | None) -> int:
        deadline = Deadline.after(self.clock, 1.0)
        writes = [RowWrite(key, value)]
        return self.store.commit([], writes, deadline).unwrap()

    def write(self, name: str, value: bytes | None) -> None:
        self.write_row(RowKey(REGISTRY_TABLE, REGISTRY_PARTITION, name), value)

    def follow(self) -> None:
        self.leader._feeds[1]._step()

    def follow_intake(self) -> None:
        self.leader._feeds[0]._step()
