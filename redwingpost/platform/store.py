"""Client for the platform's row store: the product's fleet store."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import Any
from urllib.parse import urlencode

from expression import Error, Ok, Result
from msgspec import DecodeError
from msgspec.json import decode, encode

from redwingpost.adapters.http_client import (
    HttpAnswer,
    HttpClient,
    HttpLost,
    HttpPool,
)
from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import Changes, RowChange, Snapshot
from redwingpost.ports.platform import (
    Condition,
    Row,
    TransactResult,
    Write,
)

#: Seconds for one call. A slow store answers within a few hundred
#: milliseconds; later the caller should rather try again or go on.
CALL_TIMEOUT_S = 1.5

#: Rows per page; the store returns no more in one answer.
_PAGE_ROWS = 500

_JSON = (("Content-Type", "application/json"),)


class RowStore:
    """Implements ``FleetStore``.

    Parameters
    ----------
    ip, port : str, int
        Address of the store.
    clock : Clock
        Clock for the age of pooled connections.
    """

    def __init__(self, ip: str, port: int, clock: Clock) -> None:
        self._ip = ip
        self._port = port
        self._calls = HttpPool(ip, port, clock)
        self._feed_by_table: dict[str, HttpClient] = {}

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return all rows of a table."""
        rows: list[Row] = []
        start = ""
        while True:
            fields = {"table": table, "part": "", "limit": str(_PAGE_ROWS)}
            if start:
                fields["from"] = start
            got = await self._get(f"/rows-get?{urlencode(fields)}")
            if got.is_error():
                return got
            page = got.ok
            rows.extend(_decode_row(item) for item in page["rows"])
            if not page.get("hasMore"):
                answer = Snapshot(tuple(rows), page["ver"], page["nowMs"])
                return Ok(answer)
            # A range includes its start, so start at the smallest key
            # after the last one read.
            start = rows[-1].key + "\0"

    async def changes(
        self, table: str, after: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, Refusal]:
        """Wait for changes after a version."""
        feed = self._feed_by_table.get(table)
        if feed is None:
            feed = HttpClient(self._ip, self._port)
            self._feed_by_table[table] = feed
        fields = {"table": table, "after": after, "waitMs": int(wait_s * 1e3)}
        target = f"/rows-feed?{urlencode(fields)}"
        try:
            answer = await feed.request("GET", target, timeout_s)
        except HttpLost as lost:
            return Error(Refusal(Code.STORE_UNAVAILABLE, str(lost)))
        if answer.status == 410:
            return Ok(Changes((), 0, history_lost=True))
        read = _decode_answer(answer)
        return read.map(_decode_changes)

    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Result[TransactResult, Refusal]:
        """Apply all writes if all conditions hold, else none."""
        body = encode(
            {
                "expectedRev": [
                    _encode_condition(item) for item in conditions
                ],
                "putRows": [
                    _encode_write(item)
                    for item in writes
                    if item.value is not None
                ],
                "deleteRows": [
                    {"table": item.table, "part": "", "key": item.key}
                    for item in writes
                    if item.value is None
                ],
            }
        )
        try:
            answer = await self._calls.request(
                "POST", "/rows-tx", CALL_TIMEOUT_S, body, _JSON
            )
        except HttpLost as lost:
            code = Code.STORE_OUTCOME_UNKNOWN if lost.sent else None
            return Error(Refusal(code or Code.STORE_UNAVAILABLE, str(lost)))
        if answer.status == 412:
            rows = decode(answer.body).get("rows", [])
            conflicts = tuple(_decode_row(item) for item in rows)
            return Ok(TransactResult(False, (), conflicts))
        read = _decode_answer(answer)
        return read.map(lambda got: TransactResult(True, (got["ver"],), ()))

    async def _get(self, target: str) -> Result[Any, Refusal]:
        try:
            answer = await self._calls.request("GET", target, CALL_TIMEOUT_S)
        except HttpLost as lost:
            return Error(Refusal(Code.STORE_UNAVAILABLE, str(lost)))
        return _decode_answer(answer)


def _decode_answer(answer: HttpAnswer) -> Result[Any, Refusal]:
    if answer.status != 200:
        detail = f"status {answer.status}"
        return Error(Refusal(Code.STORE_UNAVAILABLE, detail))
    try:
        return Ok(decode(answer.body))
    except DecodeError as error:
        return Error(Refusal(Code.STORE_UNAVAILABLE, str(error)))


def _decode_row(item: dict[str, Any]) -> Row:
    """Return a row; its value is None if it can't be decoded."""
    try:
        value = decode(b64decode(item.get("value", ""), validate=True))
    except (Base64Error, DecodeError, ValueError):
        value = None
    return Row(item["table"], item["key"], item.get("ver", 0), value)


def _decode_changes(got: dict[str, Any]) -> Changes:
    changes = (
        RowChange(_decode_row(item), bool(item.get("removed")))
        for item in got.get("rows", [])
    )
    return Changes(tuple(changes), got["ver"])


def _encode_condition(condition: Condition) -> dict[str, Any]:
    return {
        "table": condition.table,
        "part": "",
        "key": condition.key,
        "ver": condition.version,
    }


def _encode_write(write: Write) -> dict[str, Any]:
    return {
        "table": write.table,
        "part": "",
        "key": write.key,
        "value": b64encode(encode(write.value)).decode("ascii"),
    }
