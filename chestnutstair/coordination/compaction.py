"""Compacts the log: snapshots and archived segments replace old rows."""

import logging
from dataclasses import dataclass

from prometheus_client import Counter
from result import Err, Ok, Result

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.duty import Duty, DutyHolder
from chestnutstair.coordination.loop import Loop
from chestnutstair.coordination.membership import MemberList
from chestnutstair.coordination.platform import (
    ConflictFailure,
    PlatformFailure,
    VmDirectory,
)
from chestnutstair.coordination.records import SEGMENT_SIZE, Floor
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import Failure, describe_failure
from chestnutstair.state.fold import apply_record
from chestnutstair.state.view import FleetView

__all__ = ["COMPACTION_DUTY", "Compactor", "SnapshotSettings"]

logger = logging.getLogger(__name__)

COMPACTION_DUTY = "compaction"
SNAPSHOTS = Counter(
    "chestnutstair_snapshots_total", "Snapshots that this daemon wrote."
)


@dataclass(frozen=True)
class SnapshotSettings:
    """When the change log is compacted and how much stays in the table.

    - `check_seconds`: time between two compactions.
    - `tail_records`: newest records that always stay in the table, at
      least 1.
    - `remove_limit`: rows deleted by one commit.
    - `table_seconds`: deadline of one compaction.
    """

    __pydantic_config__ = STRICT

    check_seconds: float = 30.0
    tail_records: int = 200
    remove_limit: int = 100
    table_seconds: float = 20.0


@dataclass(frozen=True)
class MissingRecordFailure(Failure):
    """The segment to archive is incomplete; `revision` is its last record."""

    revision: int


CompactionFailure = ConflictFailure | PlatformFailure | MissingRecordFailure


class Compactor:
    """Archives old records while this daemon holds the compaction duty.

    A compaction first stores segments and a snapshot, then raises the
    floor, then deletes the rows up to the floor, so that every record can
    be read at any time. It also deletes the rows of daemons that are gone.
    """

    def __init__(
        self,
        log: ChangeLog,
        duties: DutyHolder,
        members: MemberList,
        directory: VmDirectory,
        clock: Clock,
        settings: SnapshotSettings | None = None,
    ) -> None:
        self._log = log
        self._store = log.store
        self._duties = duties
        self._members = members
        self._directory = directory
        self._clock = clock
        self._settings = settings or SnapshotSettings()
        self._loop = Loop("compaction", self._run)

    def start(self) -> None:
        """Start the loop, which compacts while this daemon has the duty."""
        self._loop.start()

    def stop(self) -> None:
        """Stop compacting."""
        self._loop.stop()

    def _run(self) -> float:
        duty = self._duties.find_duty(COMPACTION_DUTY)
        if duty is not None:
            match self.compact(duty):
                case Err(failure):
                    logger.info(
                        "compaction failed: %s", describe_failure(failure)
                    )
        return self._settings.check_seconds

    def compact(self, duty: Duty) -> Result[int, CompactionFailure]:
        """Archive complete segments before the tail.

        Return the revision of the floor.
        """
        seconds = self._settings.table_seconds
        deadline = Deadline.after(self._clock, seconds)
        self._prune_members(duty, deadline)
        match self._store.read_floor(deadline):
            case Err(failure):
                return Err(failure)
            case Ok(floor):
                pass
        new_floor = self._choose_floor()
        if new_floor > floor.revision:
            raise_outcome = self._raise_floor(floor, new_floor, duty, deadline)
            if isinstance(raise_outcome, Err):
                return raise_outcome
            floor = raise_outcome.ok_value
        return self._remove_rows(floor, deadline)

    def _prune_members(self, duty: Duty, deadline: Deadline) -> None:
        listed = self._directory.list_vms(deadline).unwrap_or(())
        self._members.prune(listed, duty.build_condition(), deadline)

    def _choose_floor(self) -> int:
        tail = max(1, self._settings.tail_records)
        newest_archivable = self._log.view.revision - tail
        return max(0, newest_archivable // SEGMENT_SIZE * SEGMENT_SIZE)

    def _raise_floor(
        self, floor: Floor, new_floor: int, duty: Duty, deadline: Deadline
    ) -> Result[Floor, CompactionFailure]:
        match self._store.read_snapshot(floor, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(view):
                pass
        while view.revision < new_floor:
            archive_outcome = self._archive_segment(view, deadline)
            if isinstance(archive_outcome, Err):
                return archive_outcome
            view = archive_outcome.ok_value
        write_outcome = self._store.write_snapshot(view, deadline)
        if isinstance(write_outcome, Err):
            return write_outcome
        fence = duty.build_condition()
        move_outcome = self._store.move_floor(
            floor, new_floor, fence, deadline
        )
        if isinstance(move_outcome, Err):
            return move_outcome
        SNAPSHOTS.inc()
        logger.info("archived the log up to revision %d", new_floor)
        return self._store.read_floor(deadline)

    def _archive_segment(
        self, view: FleetView, deadline: Deadline
    ) -> Result[FleetView, CompactionFailure]:
        """Archive the segment after the view; return the view at its end."""
        read_outcome = self._store.read_after(
            view.revision, SEGMENT_SIZE, deadline
        )
        match read_outcome:
            case Err(failure):
                return Err(failure)
            case Ok(segment) if len(segment) < SEGMENT_SIZE:
                return Err(MissingRecordFailure(view.revision + len(segment)))
            case Ok(segment):
                write_outcome = self._store.write_segment(segment, deadline)
        for record in segment:
            view = apply_record(view, record).unwrap()
        return write_outcome.map(lambda _: view)

    def _remove_rows(
        self, floor: Floor, deadline: Deadline
    ) -> Result[int, CompactionFailure]:
        limit = self._settings.remove_limit
        while not deadline.has_passed(self._clock):
            match self._store.delete_archived(floor, limit, deadline):
                case Err(failure):
                    return Err(failure)
                case Ok(count):
                    if count < limit:
                        break
        return Ok(floor.revision)
