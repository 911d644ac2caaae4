"""Client for the platform's row store: the product's fleet store."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import Any
from urllib.parse import urlencode

from expression import Error, Ok, Result
from msgspec.json import encode

from redwingpost.adapters.http_client import (
    HttpAnswer,
    HttpClient,
    HttpLost,
    HttpPool,
)
from redwingpost.core.codes import Code
from redwingpost.core.foreign import (
    MAX_WHOLE,
    UNREADABLE,
    ForeignError,
    decode_json,
    is_number,
    is_whole,
    parse_whole,
)
from redwingpost.core.requests import Refusal
from redwingpost.ports.clock import Clock
from redwingpost.observability.journal import log_event
from redwingpost.ports.fleet_store import (
    Changes,
    RowChange,
    Snapshot,
    era_of,
    make_version,
    number_of,
)
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

#: Largest number of the store that a version holds.
_MAX_NUMBER = number_of(-1)

#: Header with the number of the store's era, which each restore from an
#: older copy raises.
_ERA_HEADER = b"store-era"

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
        self._era = _Era()

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return all rows of a table."""
        rows: list[Row] = []
        start = ""
        era: int | None = None
        while True:
            fields = {"table": table, "part": "", "limit": str(_PAGE_ROWS)}
            if start:
                fields["from"] = start
            got = await self._get(f"/rows-get?{urlencode(fields)}")
            if got.is_error():
                return got
            page_era, page = got.ok
            if era is not None and page_era != era:
                detail = "restored between two pages"
                return Error(Refusal(Code.STORE_UNAVAILABLE, detail))
            era = page_era
            try:
                read = _decode_page(page, era)
            except UNREADABLE as error:
                return Error(_unreadable(error))
            rows.extend(read.rows)
            if not page.get("hasMore"):
                return Ok(read._replace(rows=tuple(rows)))
            # A range includes its start, so start at the smallest key
            # after the last one read.
            start = rows[-1].key + "\0"

    async def changes(
        self, table: str, after: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, Refusal]:
        """Wait for changes after a version."""
        if era_of(after) != self._era.number:
            return Ok(Changes((), 0, history_lost=True))
        feed = self._feed_by_table.get(table)
        if feed is None:
            feed = HttpClient(self._ip, self._port)
            self._feed_by_table[table] = feed
        fields = {
            "table": table,
            "after": number_of(after),
            "waitMs": int(wait_s * 1e3),
        }
        target = f"/rows-feed?{urlencode(fields)}"
        try:
            answer = await feed.request("GET", target, timeout_s)
        except HttpLost as lost:
            return Error(Refusal(Code.STORE_UNAVAILABLE, str(lost)))
        era = self._era.note(answer)
        if era.is_error():
            return era
        if answer.status == 410 or era.ok != era_of(after):
            return Ok(Changes((), 0, history_lost=True))
        read = _decode_answer(answer)
        if read.is_error():
            return read
        try:
            return Ok(_decode_changes(read.ok, era.ok))
        except UNREADABLE as error:
            return Error(_unreadable(error))

    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Result[TransactResult, Refusal]:
        """Apply all writes if all conditions hold, else none.

        A condition on a version of an earlier era holds on no row.
        """
        was_known, era = self._era.is_known, self._era.number
        if any(
            item.version and era_of(item.version) != era for item in conditions
        ):
            return Ok(TransactResult(False, (), ()))
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
        noted = self._era.note(answer)
        if noted.is_error() or (was_known and noted.ok != era):
            # Whether the conditions held on the rows that they were meant
            # for, and whether a write was kept, must be read back.
            detail = "the store's era is another than before the call"
            return Error(Refusal(Code.STORE_OUTCOME_UNKNOWN, detail))
        return _decode_transaction(answer, noted.ok)

    async def _get(self, target: str) -> Result[tuple[int, Any], Refusal]:
        """Return the era and the body of an answer."""
        try:
            answer = await self._calls.request("GET", target, CALL_TIMEOUT_S)
        except HttpLost as lost:
            return Error(Refusal(Code.STORE_UNAVAILABLE, str(lost)))
        era = self._era.note(answer)
        if era.is_error():
            return era
        return _decode_answer(answer).map(lambda body: (era.ok, body))


class _Era:
    """The era of the store, as its answers tell.

    A store that doesn't number its eras stays in era 0.
    """

    def __init__(self) -> None:
        self.number = 0
        self.is_known = False

    def note(self, answer: HttpAnswer) -> Result[int, Refusal]:
        """Return the era of an answer, or an error if it can't be right."""
        text = answer.header(_ERA_HEADER)
        if text is None and not self.number:
            self.is_known = True
            return Ok(0)
        shown = "" if text is None else text.decode("latin-1")
        number = parse_whole(shown)
        if number is None or number < self.number:
            log_event("store-era-refused", era=shown, before=self.number)
            detail = f"era {shown} after {self.number}"
            return Error(Refusal(Code.STORE_UNAVAILABLE, detail))
        before, self.number = self.number, number
        if self.is_known and self.number != before:
            log_event("store-restored", era=self.number, before=before)
        self.is_known = True
        return Ok(self.number)


def _decode_answer(answer: HttpAnswer) -> Result[Any, Refusal]:
    if answer.status != 200:
        detail = f"status {answer.status}"
        return Error(Refusal(Code.STORE_UNAVAILABLE, detail))
    try:
        return Ok(decode_json(answer.body))
    except ForeignError as error:
        return Error(Refusal(Code.STORE_UNAVAILABLE, str(error)))


def _unreadable(error: Exception) -> Refusal:
    detail = f"{type(error).__name__}: {error}"
    return Refusal(Code.STORE_UNAVAILABLE, f"unreadable answer: {detail}")


def _decode_transaction(
    answer: HttpAnswer, era: int
) -> Result[TransactResult, Refusal]:
    """Return the result of a transaction that the store has answered."""
    if answer.status == 412:
        try:
            got = decode_json(answer.body)
            rows = [_decode_row(item, era) for item in got.get("rows", [])]
        except UNREADABLE as error:
            log_event("store-answer-unreadable", detail=str(error))
            rows = []
        return Ok(TransactResult(False, (), tuple(rows)))
    if answer.status != 200:
        detail = f"status {answer.status}"
        return Error(Refusal(Code.STORE_UNAVAILABLE, detail))
    try:
        version = _make_version(era, decode_json(answer.body)["ver"])
    except UNREADABLE as error:
        # The writes are kept, under a version that must be read back.
        detail = _unreadable(error).detail
        return Error(Refusal(Code.STORE_OUTCOME_UNKNOWN, detail))
    return Ok(TransactResult(True, (version,), ()))


def _make_version(era: int, number: Any) -> int:
    if not is_whole(number, _MAX_NUMBER):
        raise ForeignError(f"ver: {number!r}; allowed: 0 to {_MAX_NUMBER}")
    return make_version(era, number)


def _decode_page(page: dict[str, Any], era: int) -> Snapshot:
    rows = tuple(_decode_row(item, era) for item in page["rows"])
    now_ms = page["nowMs"]
    if not is_number(now_ms):
        raise ForeignError(f"nowMs: {now_ms!r}; allowed: 0 to {MAX_WHOLE}")
    return Snapshot(rows, _make_version(era, page["ver"]), int(now_ms))


def _decode_row(item: dict[str, Any], era: int) -> Row:
    """Return a row; its value is None if it can't be decoded."""
    try:
        value = decode_json(b64decode(item.get("value", ""), validate=True))
    except (Base64Error, TypeError, ValueError):
        value = None
    table, key, number = item["table"], item["key"], item.get("ver", 0)
    if not (isinstance(table, str) and isinstance(key, str)):
        raise ForeignError(f"table {table!r}, key {key!r}; allowed: str")
    version = _make_version(era, number) if number != 0 else 0
    return Row(table, key, version, value)


def _decode_changes(got: dict[str, Any], era: int) -> Changes:
    changes = (
        RowChange(_decode_row(item, era), bool(item.get("removed")))
        for item in got.get("rows", [])
    )
    return Changes(tuple(changes), _make_version(era, got["ver"]))


def _encode_condition(condition: Condition) -> dict[str, Any]:
    return {
        "table": condition.table,
        "part": "",
        "key": condition.key,
        "ver": number_of(condition.version),
    }


def _encode_write(write: Write) -> dict[str, Any]:
    return {
        "table": write.table,
        "part": "",
        "key": write.key,
        "value": b64encode(encode(write.value)).decode("ascii"),
    }
