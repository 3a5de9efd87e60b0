"""HTTP clients for the platform's table and object store."""

from collections.abc import Sequence
from http import HTTPStatus
from urllib.parse import quote

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    Condition,
    ConflictFailure,
    Key,
    ObjectStore,
    PlatformFailure,
    Row,
    Table,
    UnavailableFailure,
    UnknownOutcomeFailure,
    Write,
)
from chestnutstair.protocol.platform import (
    CommitCall,
    ReadCall,
    ScanCall,
)
from chestnutstair.state.deadline import Deadline
from chestnutstair.transport.platform_client import (
    PlatformClient,
    check_status,
    map_conflict_to_refusal,
)

__all__ = ["HttpObjectStore", "HttpTable"]


class HttpTable(PlatformClient, Table):
    """HTTP client of the table service."""

    def read(
        self, keys: Sequence[Key], deadline: Deadline
    ) -> Result[tuple[Row | None, ...], PlatformFailure]:
        """Return the rows as of one moment, None for each absent one."""
        call = ReadCall(tuple(keys))
        answer_type = tuple[Row | None, ...]
        return self.query(answer_type, "POST", "/table/read", deadline, call)

    def scan(
        self, table: str, start: str, end: str, limit: int, deadline: Deadline
    ) -> Result[tuple[Row, ...], PlatformFailure]:
        """Return the first `limit` rows with start <= key < end, by key."""
        call = ScanCall(table, start, end, limit)
        answer_type = tuple[Row, ...]
        return self.query(answer_type, "POST", "/table/scan", deadline, call)

    def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Result[None, ConflictFailure | PlatformFailure]:
        """Apply all writes atomically if all conditions hold, else none."""
        call = CommitCall(tuple(conditions), tuple(writes))
        return self.command("/table/commit", call, deadline)


class HttpObjectStore(PlatformClient, ObjectStore):
    """HTTP client of the object store."""

    def put(
        self, name: str, body: bytes, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Store the object, replacing any object of that name."""
        path = f"/objects/{quote(name, safe='')}"
        answer = self.send("PUT", path, body, deadline)
        outcome = answer.and_then(check_status).map(lambda _: None)
        return map_conflict_to_refusal(outcome)

    def get(
        self, name: str, deadline: Deadline
    ) -> Result[bytes | None, PlatformFailure]:
        """Return the object, or None if no object has that name."""
        path = f"/objects/{quote(name, safe='')}"
        match self.send("GET", path, None, deadline):
            case Ok(answer) if answer.status == HTTPStatus.NOT_FOUND:
                return Ok(None)
            case Ok(answer) if answer.status == HTTPStatus.OK:
                return Ok(answer.data)
            case Ok(answer):
                reason = f"status {answer.status}"
                return Err(UnavailableFailure(reason))
            case Err(UnknownOutcomeFailure(reason)):
                return Err(UnavailableFailure(reason))
            case Err(failure):
                return Err(failure)
        raise AssertionError(name)
