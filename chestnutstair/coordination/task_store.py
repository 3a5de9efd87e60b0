"""Stores the rows of a pool's tasks, cached by the placing daemon."""

import collections
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from itertools import chain, islice

from prometheus_client import Counter
from result import Err, Ok, Result

from chestnutstair.coordination.duty import Duty
from chestnutstair.coordination.platform import (
    ABSENT,
    Condition,
    ConflictFailure,
    Key,
    PlatformFailure,
    Row,
    Table,
    Write,
)
from chestnutstair.state.codec import decode_value, encode_value
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.fleet import Job
from chestnutstair.state.task import (
    PENDING_TASK,
    TaskName,
    TaskRecord,
    TaskStage,
)

__all__ = [
    "TASK_TABLE",
    "CommitFailure",
    "TaskStore",
    "build_task_key",
    "decode_task",
    "scan_tasks",
]

TASK_TABLE = "tasks"
SCAN_LIMIT = 500  # rows
COMMIT_LIMIT = 100  # rows
TASK_WRITES = Counter(
    "chestnutstair_task_writes_total", "Rows of tasks written.", ["pool"]
)

CommitFailure = ConflictFailure | PlatformFailure


def build_task_key(pool: str, task: TaskName) -> Key:
    """Return the key of the task's row."""
    return Key(TASK_TABLE, f"{pool}/{task}")


def _parse_key(key: Key) -> TaskName:
    _, _, task = key.key.partition("/")
    return TaskName.parse(task)


def _get_sort_key(task: TaskName) -> tuple[str, int]:
    return task.job, task.index


def decode_task(row: Row) -> TaskRecord:
    """Return the record that is stored in a task's row."""
    return decode_value(TaskRecord, row.value).unwrap()


def scan_tasks(
    table: Table, pool: str, deadline: Deadline
) -> Result[dict[TaskName, Row], PlatformFailure]:
    """Return the rows of all tasks of the pool, read in pages."""
    rows: dict[TaskName, Row] = {}
    start, end = f"{pool}/", f"{pool}0"  # "0" is the character after "/"
    while True:
        match table.scan(TASK_TABLE, start, end, SCAN_LIMIT, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(found):
                rows.update((_parse_key(row.key), row) for row in found)
                if len(found) < SCAN_LIMIT:
                    return Ok(rows)
                start = found[-1].key.key + "\0"


class TaskStore:
    """The tasks of one pool during one term of its placement duty.

    Each commit depends on the duty's row and on the versions of the rows
    that it changes. After any failure the cache is invalidated and read
    again, because the commit may have taken effect.
    """

    def __init__(self, table: Table, pool: str) -> None:
        self._table = table
        self._pool = pool
        self._versions: dict[TaskName, int] = {}
        self._loaded = False
        self._records: dict[TaskName, TaskRecord] = {}
        self._row_counts: collections.Counter[str] = collections.Counter()
        self._next_index: collections.Counter[str] = collections.Counter()
        self._pending: dict[str, set[int]] = defaultdict(set)
        self._live: dict[str, set[TaskName]] = defaultdict(set)

    @property
    def records(self) -> Mapping[TaskName, TaskRecord]:
        """The records of all tasks that have a row."""
        return self._records

    def get(self, task: TaskName) -> TaskRecord:
        """Return the task's record; a task without a row is pending."""
        return self._records.get(task, PENDING_TASK)

    def list_live(self, worker: str) -> list[TaskName]:
        """Return the tasks that the worker may be running."""
        return sorted(self._live.get(worker, ()), key=_get_sort_key)

    def list_busy_workers(self) -> list[str]:
        """Return the workers that may be running a task."""
        return sorted(name for name, tasks in self._live.items() if tasks)

    def list_jobs(self) -> list[str]:
        """Return the jobs with at least one task row."""
        return [job for job, count in self._row_counts.items() if count]

    def find_pending(self, job: Job, count: int) -> list[TaskName]:
        """Return up to `count` tasks of the job that wait for a worker.

        Rows are created in the order of the tasks' indexes. Gaps appear
        only if a job is removed and submitted again: the rows of the old
        job are deleted except for tasks that are still running.
        """
        known = sorted(self._pending.get(job.name, ()))
        first = self._next_index[job.name]
        gaps: Iterable[int] = ()
        if self._row_counts[job.name] < first:
            gaps = self._find_gaps(job.name, first)
        new = range(first, first + count)
        waiting = (i for i in chain(known, gaps, new) if i < job.task_count)
        return [TaskName(job.name, i) for i in islice(waiting, count)]

    def _find_gaps(self, job: str, end: int) -> list[int]:
        return [i for i in range(end) if TaskName(job, i) not in self._records]

    def load(self, deadline: Deadline) -> Result[None, PlatformFailure]:
        """Read all rows unless the cache is valid."""
        if self._loaded:
            return Ok(None)
        match scan_tasks(self._table, self._pool, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(rows):
                for task in list(self._records):
                    self._remove(task)
                for task, row in rows.items():
                    self._cache_row(task, row)
                self._loaded = True
                return Ok(None)

    def invalidate(self) -> None:
        """Make the next `load` read all rows again."""
        self._loaded = False

    def _remove(self, task: TaskName) -> None:
        record = self._records.pop(task, None)
        if record is None:
            return
        self._versions.pop(task)
        self._row_counts[task.job] -= 1
        if not self._row_counts[task.job]:
            self._next_index[task.job] = 0
        self._pending[task.job].discard(task.index)
        self._live[record.worker].discard(task)

    def _cache_row(self, task: TaskName, row: Row | None) -> None:
        self._remove(task)
        if row is None:
            return
        record = decode_task(row)
        self._versions[task] = row.version
        self._records[task] = record
        self._row_counts[task.job] += 1
        self._next_index[task.job] = max(
            self._next_index[task.job], task.index + 1
        )
        if record.stage is TaskStage.PENDING:
            self._pending[task.job].add(task.index)
        if record.is_live():
            self._live[record.worker].add(task)

    def commit(
        self,
        duty: Duty,
        changes: Mapping[TaskName, TaskRecord | None],
        deadline: Deadline,
    ) -> Result[None, CommitFailure]:
        """Write the records in batches; None deletes a task's row.

        Batches before a failed one stay committed.
        """
        items = list(changes.items())
        for start in range(0, len(items), COMMIT_LIMIT):
            batch = items[start : start + COMMIT_LIMIT]
            committed = self._commit_batch(duty, batch, deadline)
            if committed.is_err():
                self._loaded = False
                return committed
        return Ok(None)

    def _commit_batch(
        self,
        duty: Duty,
        batch: Sequence[tuple[TaskName, TaskRecord | None]],
        deadline: Deadline,
    ) -> Result[None, CommitFailure]:
        conditions = [duty.build_condition()]
        writes = []
        for task, record in batch:
            key = build_task_key(self._pool, task)
            version = self._versions.get(task, ABSENT)
            conditions.append(Condition(key, version))
            value = None if record is None else encode_value(record)
            writes.append(Write(key, value))
        committed = self._table.commit(conditions, writes, deadline)
        if committed.is_err():
            return committed
        TASK_WRITES.labels(self._pool).inc(len(batch))
        return self._refresh([task for task, _ in batch], deadline)

    def _refresh(
        self, tasks: Sequence[TaskName], deadline: Deadline
    ) -> Result[None, CommitFailure]:
        """Cache the rows with the versions that they have after a commit."""
        keys = [build_task_key(self._pool, task) for task in tasks]
        match self._table.read(keys, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(rows):
                for task, row in zip(tasks, rows, strict=True):
                    self._cache_row(task, row)
                return Ok(None)
