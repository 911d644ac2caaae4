"""The platform: table service, objects and VM list over HTTP/JSON.

``docs/design/platform-port.md`` lists the routes. State is kept in
memory only: the system under test relies on the platform for durable
data, so tests never restart it.
"""

from asyncio import Event, get_running_loop, sleep
from typing import Any, NamedTuple

from aiohttp.web import (
    AppRunner,
    Application,
    Request,
    Response,
    StreamResponse,
    TCPSite,
    middleware,
)
from mode import Service
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder, Encoder

from redwingpost.standin.faults import FaultServer
from redwingpost.standin.platform_faults import PLATFORM_FAULTS
from redwingpost.standin.rate_limit import RateLimit
from redwingpost.standin.settings import PlatformSettings
from redwingpost.standin.tables import StoredRow, Tables
from redwingpost.standin.vm_list import LaggingVmList

#: Largest accepted request body, bytes. The configurations of the largest
#: planned fleet are well below it.
MAX_BODY_BYTES = 64 * 1024 * 1024

#: Rows that a scan returns if the request has no limit.
SCAN_LIMIT = 1000


class _Transaction(NamedTuple):
    """A checked transaction request."""

    conditions: list[tuple[str, str, int]]
    writes: list[tuple[str, str, dict[str, Any] | None]]


_REQUEST_DECODER = Decoder(dict[str, list[dict[str, Any]]])
_ENCODER = Encoder()


def _parse(body: bytes) -> _Transaction:
    """Return the transaction of a request body.

    Raises
    ------
    DecodeError, ValidationError, KeyError, TypeError, ValueError
        If the body is malformed.
    """
    request = _REQUEST_DECODER.decode(body)
    conditions = [
        (str(c["table"]), str(c["key"]), int(c["version"]))
        for c in request.get("conditions", [])
    ]
    writes = []
    for write in request.get("writes", []):
        value = write["value"]
        if value is not None and not isinstance(value, dict):
            raise ValueError("a row's value is an object or null")
        writes.append((str(write["table"]), str(write["key"]), value))
    return _Transaction(conditions, writes)


def _json(body: Any, status: int = 200) -> Response:
    return Response(
        body=_ENCODER.encode(body),
        status=status,
        content_type="application/json",
    )


def _row(row: StoredRow | None) -> dict[str, Any]:
    if row is None:
        return {"version": 0, "value": None}
    return {"version": row.version, "value": row.value}


class PlatformStandin(Service):
    """The platform in one process.

    ``lost_answers`` is the number of coming writes that are applied
    without an answer; only requests whose path or body contains
    ``lost_answers_match`` count.

    Parameters
    ----------
    settings : PlatformSettings
        Rate limits, lag of the VM list, and its first VMs.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__()
        self.settings = settings
        self.tables = Tables()
        self.objects_by_key: dict[str, bytes] = {}
        self.vms = LaggingVmList(settings.vms, settings.list_lag_s)
        self.write_limit = RateLimit(settings.writes_per_s)
        self.read_limit = RateLimit(settings.reads_per_s)
        self.outage = ""
        self.slow_s = 0.0
        self.lost_answers = 0
        self.lost_answers_match = ""
        self.requests_by_kind: dict[str, int] = {}
        self.address = (settings.listen.ip, settings.listen.port)
        self._outage_over = Event()
        self._runner: AppRunner | None = None
        self._faults = FaultServer(PLATFORM_FAULTS, self, settings.faults)

    @property
    def fault_address(self) -> tuple[str, int]:
        """Address of the fault port."""
        return self._faults.address

    @property
    def url(self) -> str:
        """URL of the platform, for the settings of a VM."""
        return f"http://{self.address[0]}:{self.address[1]}"

    def now(self) -> float:
        """Return the time of the event loop's clock, seconds."""
        return get_running_loop().time()

    def set_outage(self, kind: str) -> None:
        """Start (``refuse`` or ``hang``) or end (empty) an outage."""
        self.outage = kind
        if not kind:
            self._outage_over.set()
            self._outage_over = Event()

    async def on_start(self) -> None:
        """Open the HTTP port and the fault port."""
        application = Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        add = application.router.add_route
        add("GET", "/v1/tables/{table}/{key:.+}", self._read)
        add("GET", "/v1/tables/{table}", self._scan)
        add("POST", "/v1/transact", self._transact)
        add("PUT", "/v1/objects/{key:.+}", self._put_object)
        add("GET", "/v1/objects/{key:.+}", self._get_object)
        add("GET", "/v1/vms", self._list_vms)
        self._runner = AppRunner(application, access_log=None)
        await self._runner.setup()
        listen = self.settings.listen
        await TCPSite(self._runner, listen.ip, listen.port).start()
        self.address = self._runner.addresses[0][:2]
        await self._faults.start()

    async def on_stop(self) -> None:
        """Close the ports."""
        self.set_outage("")
        await self._faults.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    @middleware
    async def _apply_faults(self, request: Request, handler) -> Response:
        """Apply outage, delay, rate limits and answer loss to a route."""
        is_write = request.method != "GET"
        kind = "writes" if is_write else "reads"
        self.requests_by_kind[kind] = self.requests_by_kind.get(kind, 0) + 1
        if self.slow_s:
            await sleep(self.slow_s)
        if self.outage == "hang":
            await self._outage_over.wait()
            return Response(status=503)
        if self.outage:
            return Response(status=503)
        limit = self.write_limit if is_write else self.read_limit
        if not limit.take(self.now()):
            return Response(status=429)
        answer = await handler(request)
        if self._loses_answer(request, answer):
            # The write is applied and only its answer is lost, as when
            # the connection breaks before the answer arrives.
            request.transport.abort()
        return answer

    def _loses_answer(self, request: Request, answer: StreamResponse) -> bool:
        if self.lost_answers <= 0 or request.method == "GET":
            return False
        if answer.status != 200:
            return False
        body = getattr(request, "_read_bytes", None) or b""
        match = self.lost_answers_match
        if match not in request.path and match.encode() not in body:
            return False
        self.lost_answers -= 1
        return True

    async def _read(self, request: Request) -> Response:
        path = request.match_info
        row = self.tables.read(path["table"], path["key"])
        if row is None:
            return Response(status=404)
        return _json(_row(row))

    async def _scan(self, request: Request) -> Response:
        query = request.query
        try:
            limit = int(query.get("limit") or SCAN_LIMIT)
        except ValueError:
            return _json({"error": "limit must be a number"}, 400)
        rows = self.tables.scan(
            request.match_info["table"],
            query.get("prefix", ""),
            query.get("after", ""),
            limit,
        )
        return _json({"rows": [{"key": key, **_row(r)} for key, r in rows]})

    async def _transact(self, request: Request) -> Response:
        try:
            transaction = _parse(await request.read())
        except (
            DecodeError,
            ValidationError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            return _json({"error": f"malformed: {error}"}, 400)
        versions, conflicts = self.tables.transact(*transaction)
        if not conflicts:
            return _json({"versions": versions})
        rows = [
            {"table": c.table, "key": c.key, **_row(c.row)} for c in conflicts
        ]
        return _json({"conflicts": rows}, 409)

    async def _put_object(self, request: Request) -> Response:
        key = request.match_info["key"]
        self.objects_by_key[key] = await request.read()
        return Response()

    async def _get_object(self, request: Request) -> Response:
        body = self.objects_by_key.get(request.match_info["key"])
        if body is None:
            return Response(status=404)
        return Response(body=body)

    async def _list_vms(self, request: Request) -> Response:
        vms = self.vms.visible_at(self.now())
        return _json({"vms": [vm._asdict() for vm in vms]})
