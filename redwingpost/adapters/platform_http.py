"""The platform over HTTP/JSON: table service, objects, list of VMs.

The result code of a failed call depends on what is known about its
effect. ``Code.STORE_UNAVAILABLE`` guarantees that nothing took effect, so
it is returned only if no byte of a change left this process or the
platform itself refused it (429, 503). After any other failure a change
may have taken effect: ``Code.STORE_OUTCOME_UNKNOWN``. A read has no
effect, so its failures are always ``Code.STORE_UNAVAILABLE``.
"""

from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    TCPConnector,
)
from expression import Error, Ok, Result
from mode import Service
from msgspec import MsgspecError
from msgspec.json import decode as decode_json
from msgspec.json import encode as encode_json

from redwingpost.core import Code, Refusal
from redwingpost.ports import (
    Condition,
    Row,
    TransactResult,
    VmEntry,
    Write,
)
from redwingpost.settings import PlatformSettings

#: Share of the whole timeout that connecting may take. It must expire
#: first; otherwise a timeout while connecting would count as sent.
CONNECT_TIMEOUT_SHARE = 0.5

#: Rows per page of a scan; only the last page has fewer.
PAGE_ROWS = 500

#: Statuses with which the platform states that nothing took effect.
REFUSED_STATUSES = frozenset({429, 503})


class _Answer(NamedTuple):
    status: int
    body: bytes


class HttpPlatform(Service):
    """The three platform ports over one HTTP session.

    Parameters
    ----------
    settings : PlatformSettings
        The platform's URL and the timeout of calls.
    local_ip : str
        Source address of connections; empty for any.
    """

    def __init__(
        self, settings: PlatformSettings, local_ip: str = "", **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._url = settings.url.rstrip("/")
        self._timeout = ClientTimeout(
            total=settings.timeout_s,
            connect=settings.timeout_s * CONNECT_TIMEOUT_SHARE,
        )
        self._local_address = (local_ip, 0) if local_ip else None
        self._session: ClientSession | None = None

    async def on_stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, table: str, key: str) -> Result[Row | None, Refusal]:
        """Return one row, or None."""
        path = f"/v1/tables/{table}/{quote(key, safe='')}"
        answer = await self._get_json(path, absent_status=404)
        if answer.is_error():
            return answer
        if answer.ok is None:
            return Ok(None)
        value = answer.ok
        return _parsed(
            lambda: Row(table, key, value["version"], value["value"])
        )

    async def scan(
        self, table: str, prefix: str = "", after: str = ""
    ) -> Result[tuple[Row, ...], Refusal]:
        """Return rows whose key starts with ``prefix``, after ``after``."""
        rows: list[Row] = []
        while True:
            page = await self._scan_page(table, prefix, after)
            if page.is_error():
                return page
            rows.extend(page.ok)
            if len(page.ok) < PAGE_ROWS:
                return Ok(tuple(rows))
            after = page.ok[-1].key

    async def _scan_page(
        self, table: str, prefix: str, after: str
    ) -> Result[tuple[Row, ...], Refusal]:
        query = urlencode(
            {"prefix": prefix, "after": after, "limit": PAGE_ROWS}
        )
        answer = await self._get_json(f"/v1/tables/{table}?{query}")
        if answer.is_error():
            return answer
        return _parsed(
            lambda: tuple(
                Row(table, row["key"], row["version"], row["value"])
                for row in answer.ok["rows"]
            )
        )

    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Result[TransactResult, Refusal]:
        """Apply all writes if all conditions hold, else none."""
        body = encode_json(
            {
                "conditions": [item._asdict() for item in conditions],
                "writes": [item._asdict() for item in writes],
            }
        )
        sent = await self._send_change("POST", "/v1/transact", body)
        if sent.is_error():
            return sent
        try:
            return Ok(_read_transact(sent.ok))
        except (MsgspecError, KeyError, TypeError) as error:
            return Error(_outcome_unknown(f"broken answer: {error!r}"))

    async def put(self, key: str, body: bytes) -> Result[None, Refusal]:
        """Store an object."""
        path = f"/v1/objects/{quote(key, safe='')}"
        sent = await self._send_change("PUT", path, body)
        return sent if sent.is_error() else Ok(None)

    async def get(self, key: str) -> Result[bytes | None, Refusal]:
        """Return an object's body, or None."""
        path = f"/v1/objects/{quote(key, safe='')}"
        answer = await self._fetch(path)
        if answer.is_error():
            return answer
        if answer.ok.status == 404:
            return Ok(None)
        if answer.ok.status != 200:
            return Error(_unavailable(f"status {answer.ok.status}"))
        return Ok(answer.ok.body)

    async def vms(self) -> Result[tuple[VmEntry, ...], Refusal]:
        """Return the VMs on the platform's list."""
        answer = await self._get_json("/v1/vms")
        if answer.is_error():
            return answer
        return _parsed(
            lambda: tuple(
                VmEntry(**{name: entry[name] for name in VmEntry._fields})
                for entry in answer.ok["vms"]
            )
        )

    async def _get_json(
        self, path: str, absent_status: int = 0
    ) -> Result[Any | None, Refusal]:
        """Return a JSON answer, or None for ``absent_status``."""
        answer = await self._fetch(path)
        if answer.is_error():
            return answer
        if answer.ok.status == absent_status:
            return Ok(None)
        if answer.ok.status != 200:
            return Error(_unavailable(f"status {answer.ok.status}"))
        return _parsed(lambda: decode_json(answer.ok.body))

    async def _fetch(self, path: str) -> Result[_Answer, Refusal]:
        try:
            return Ok(await self._request("GET", path))
        except (ClientError, TimeoutError, OSError) as error:
            return Error(_unavailable(repr(error)))

    async def _send_change(
        self, method: str, path: str, body: bytes
    ) -> Result[_Answer, Refusal]:
        """Send a change; a returned answer has the status 200 or 409."""
        try:
            answer = await self._request(method, path, body)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            return Error(_unavailable(repr(error)))
        except (ClientError, TimeoutError, OSError) as error:
            return Error(_outcome_unknown(repr(error)))
        if answer.status in REFUSED_STATUSES:
            return Error(_unavailable(f"status {answer.status}"))
        if answer.status not in (200, 409):
            return Error(_outcome_unknown(f"status {answer.status}"))
        return Ok(answer)

    async def _request(
        self, method: str, path: str, body: bytes | None = None
    ) -> _Answer:
        session = self._open_session()
        async with session.request(
            method, self._url + path, data=body
        ) as response:
            return _Answer(response.status, await response.read())

    def _open_session(self) -> ClientSession:
        if self._session is None:
            connector = TCPConnector(local_addr=self._local_address)
            self._session = ClientSession(
                connector=connector, timeout=self._timeout
            )
        return self._session


def _read_transact(answer: _Answer) -> TransactResult:
    value = decode_json(answer.body)
    if answer.status == 200:
        return TransactResult(True, tuple(value["versions"]), ())
    conflicts = tuple(
        Row(row["table"], row["key"], row["version"], row["value"])
        for row in value["conflicts"]
    )
    return TransactResult(False, (), conflicts)


def _parsed(read: Any) -> Result[Any, Refusal]:
    """Return the result of ``read``, or a refusal of a malformed answer."""
    try:
        return Ok(read())
    except (MsgspecError, KeyError, TypeError) as error:
        return Error(_unavailable(f"broken answer: {error!r}"))


def _unavailable(detail: str) -> Refusal:
    return Refusal(Code.STORE_UNAVAILABLE, detail, retry_after_ms=500)


def _outcome_unknown(detail: str) -> Refusal:
    return Refusal(Code.STORE_OUTCOME_UNKNOWN, detail)
