"""Row store on the platform's metadata store."""

import base64
import logging
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.metrics import MALFORMED_ENTRIES
from chestnutstair.scheduling.ports import (
    Changes,
    ConditionFailure,
    Expectation,
    HistoryLostFailure,
    Row,
    RowKey,
    RowStore,
    RowWrite,
    StoreFailure,
)
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.fields import (
    MalformedFieldError,
    is_whole,
    read_list,
    read_whole,
)
from chestnutstair.transport.json_calls import call_json
from chestnutstair.transport.platform_client import PlatformClient

__all__ = ["PlatformRowStore"]

logger = logging.getLogger(__name__)

PAGE_ROWS = 500  # maximum number of rows that the store returns per read


def _name_row(key: RowKey) -> dict[str, Any]:
    # On the wire a partition is called "part".
    return {"table": key.table, "part": key.partition, "key": key.key}


def _read_row(item: Any) -> Row | None:
    """Return the row, or None if its key cannot be read.

    A value that is not in base64 becomes an empty one, which no reader takes
    for a value, and not that of a removed row.
    """
    try:
        table, partition, key = (
            item["table"],
            item.get("part", ""),
            item["key"],
        )
        version = item.get("ver", 0)
    except (AttributeError, KeyError, TypeError):
        return None
    if not (
        type(table) is str
        and type(partition) is str
        and type(key) is str
        and is_whole(version)
    ):
        return None
    value = None
    if not item.get("deleted"):
        try:
            value = base64.b64decode(item.get("value", ""))
        except (TypeError, ValueError):
            value = b""
    return Row(RowKey(table, partition, key), value, version)


def _read_rows(body: dict[str, Any]) -> tuple[Row, ...]:
    """Return the readable rows, or raise MalformedFieldError."""
    items = read_list(body, "rows")
    rows = tuple(
        [row for item in items if (row := _read_row(item)) is not None]
    )
    if len(rows) < len(items):
        count = len(items) - len(rows)
        MALFORMED_ENTRIES.labels("row").inc(count)
        logger.warning("rows of the store left out", extra={"count": count})
    return rows


def _read_version(body: dict[str, Any]) -> Result[int, StoreFailure]:
    """Return the version of a write, which may be done without one."""
    try:
        return Ok(read_whole(body, "ver", 0))
    except MalformedFieldError as error:
        return Err(UnknownOutcomeFailure(str(error)))


class PlatformRowStore(RowStore):
    """Client of the platform's metadata store over HTTP."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def commit(
        self,
        expectations: list[Expectation],
        writes: list[RowWrite],
        deadline: Deadline,
    ) -> Result[int, StoreFailure | ConditionFailure]:
        """Apply all writes or none; return the new version.

        Applies none unless every expectation holds.
        """
        call = {
            "expectedRev": [
                {**_name_row(item.key), "ver": item.version}
                for item in expectations
            ],
            "puts": [
                {
                    **_name_row(write.key),
                    "value": base64.b64encode(write.value).decode(),
                }
                for write in writes
                if write.value is not None
            ],
            "remove": [
                _name_row(write.key) for write in writes if write.value is None
            ],
        }
        answer = call_json(
            self._client, "POST", "/api/rows-tx", call, deadline
        )
        match answer:
            case Err(failure):
                return Err(failure)
            case Ok((HTTPStatus.OK, body)):
                return _read_version(body)
            case Ok((HTTPStatus.PRECONDITION_FAILED, body)):
                try:
                    return Err(ConditionFailure(_read_rows(body)))
                except MalformedFieldError as error:
                    return Err(UnknownOutcomeFailure(str(error)))
            case Ok((status, _)):
                return Err(RefusedFailure(f"status {status}"))
        raise AssertionError(answer)

    def read(
        self,
        table: str,
        partition: str,
        deadline: Deadline,
        first: str = "",
        end: str = "",
    ) -> Result[Changes, StoreFailure]:
        """Return the rows with first <= key < end, read page by page.

        The version is that of the first page, so that a reader who follows
        the table from it also sees changes made while later pages were read.
        """
        rows: list[Row] = []
        version = None
        while True:
            answer = self._read_page(table, partition, first, end, deadline)
            if answer.is_err():
                return Err(answer.unwrap_err())
            body = answer.unwrap()
            try:
                page = _read_rows(body)
                page_version = read_whole(body, "ver", 0)
            except MalformedFieldError as error:
                return Err(UnavailableFailure(f"unreadable rows: {error}"))
            rows += page
            if version is None:
                version = page_version
            if not body.get("morePages"):
                return Ok(Changes(tuple(rows), version))
            next_first = page[-1].key.key + "\0" if page else ""
            if next_first <= first:
                # What is left of the table cannot be read.
                return Err(UnavailableFailure("a page without a next key"))
            first = next_first

    def _read_page(
        self,
        table: str,
        partition: str,
        first: str,
        end: str,
        deadline: Deadline,
    ) -> Result[dict[str, Any], StoreFailure]:
        query = {"table": table, "part": partition, "limit": str(PAGE_ROWS)}
        if first:
            query["from"] = first
        if end:
            query["to"] = end
        return self._get(f"/api/rows-get?{urlencode(query)}", deadline)

    def _get(
        self, path: str, deadline: Deadline
    ) -> Result[dict[str, Any], StoreFailure]:
        answer = call_json(self._client, "GET", path, None, deadline)
        match answer:
            case Ok((HTTPStatus.OK, body)):
                return Ok(body)
            case Ok((status, _)):
                return Err(RefusedFailure(f"status {status}"))
            case Err(failure):
                return Err(UnavailableFailure(str(failure)))
        raise AssertionError(answer)

    def follow(
        self, table: str, after: int, seconds: float, deadline: Deadline
    ) -> Result[Changes, StoreFailure | HistoryLostFailure]:
        """Return the changes of a table after a version.

        Without changes the store answers after `seconds`.
        """
        query = urlencode(
            {
                "table": table,
                "after": str(after),
                "waitMs": str(int(seconds * 1000)),
            }
        )
        answer = self._get(f"/api/rows-feed?{query}", deadline)
        match answer:
            case Err(RefusedFailure(reason)) if (
                str(HTTPStatus.GONE.value) in reason
            ):
                return Err(HistoryLostFailure())
            case Err(failure):
                return Err(failure)
            case Ok(body):
                try:
                    rows = _read_rows(body)
                    version = read_whole(body, "ver", after)
                except MalformedFieldError as error:
                    reason = f"unreadable changes: {error}"
                    return Err(UnavailableFailure(reason))
                return Ok(Changes(rows, version))
        raise AssertionError(answer)
