"""Row store on the platform's metadata store."""

import base64
import binascii
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    RefusedFailure,
    UnavailableFailure,
)
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
from chestnutstair.transport.json_calls import call_json
from chestnutstair.transport.platform_client import PlatformClient

__all__ = ["PlatformRowStore"]

PAGE_ROWS = 500  # maximum number of rows that the store returns per read


def _name_row(key: RowKey) -> dict[str, Any]:
    # On the wire a partition is called "part".
    return {"table": key.table, "part": key.partition, "key": key.key}


def _read_row(item: dict[str, Any]) -> Row:
    key = RowKey(item["table"], item.get("part", ""), item["key"])
    value = None
    if not item.get("deleted"):
        value = base64.b64decode(item.get("value", ""))
    return Row(key, value, item.get("ver", 0))


def _read_rows(body: dict[str, Any]) -> tuple[Row, ...]:
    return tuple(_read_row(item) for item in body.get("rows", []))


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
                return Ok(int(body.get("ver", 0)))
            case Ok((HTTPStatus.PRECONDITION_FAILED, body)):
                return Err(ConditionFailure(_read_rows(body)))
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
            page = _read_rows(body)
            rows += page
            if version is None:
                version = int(body.get("ver", 0))
            if not body.get("morePages") or not page:
                return Ok(Changes(tuple(rows), version))
            first = page[-1].key.key + "\0"

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
                except (KeyError, TypeError, binascii.Error):
                    return Err(UnavailableFailure("changes cannot be decoded"))
                return Ok(Changes(rows, int(body.get("ver", after))))
        raise AssertionError(answer)
