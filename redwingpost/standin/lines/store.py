"""HTTP server of the platform's store, with faults."""

from asyncio import Event, sleep, wait_for
from base64 import b64encode
from time import monotonic
from typing import Any

from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    TCPSite,
    get,
    json_response,
    post,
    put,
)
from msgspec.json import encode

from redwingpost.standin.lines.rows import Rows, row_id_of


class StoreFaults:
    """The faults that are active.

    ``lose_answers`` is the number of coming transactions that are applied
    without an answer; requests from ``refused_ips`` are answered with 503.
    While the store is silent, it accepts requests and never answers them.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.is_silent = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.refused_ips: set[str] = set()


class StandInStore:
    """The store's rows, change feed and objects; tests set ``faults``."""

    def __init__(self) -> None:
        self.rows = Rows()
        self.faults = StoreFaults()
        self.era: int | str = 0
        self._objects: dict[str, bytes] = {}
        self._changed = Event()
        self._runner: AppRunner | None = None

    async def start(self, ip: str, port: int = 0) -> int:
        """Start to listen and return the port."""
        app = Application()
        app.add_routes(
            [
                post("/rows-tx", self._transact),
                get("/rows-get", self._read),
                get("/rows-feed", self._feed),
                put("/blob-put/{name}", self._put_object),
                get("/blob-get/{name}", self._get_object),
            ]
        )
        app.on_response_prepare.append(self._add_era)
        self._runner = AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = TCPSite(self._runner, ip, port)
        await site.start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row, as the operator or a member does."""
        self.put_text(table, key, b64encode(encode(value)).decode())

    def put_text(self, table: str, key: str, text: str) -> None:
        """Write a row whose value is given in base64."""
        self.rows.apply([], [(table, "", key, text)], [])
        self._wake()

    def restore(self, rows: Rows) -> None:
        """Go back to an older copy of the rows; all connections end."""
        self.rows = rows
        self.era += 1
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.rows.apply([], [], [(table, "", key)])
        self._wake()

    async def _refuse(self, request: Request) -> Response | None:
        if self.faults.is_silent:
            await Event().wait()
        await sleep(self.faults.delay_s)
        if self.faults.is_down or request.remote in self.faults.refused_ips:
            return Response(status=503)
        return None

    async def _transact(self, request: Request) -> Response:
        refused = await self._refuse(request)
        if refused is not None:
            return refused
        body = await request.json()
        if any(item["table"] in ("op", "servers") for item in body["putRows"]):
            return Response(status=403)
        expected = [
            (*row_id_of(item), item["ver"]) for item in body["expectedRev"]
        ]
        puts = [(*row_id_of(item), item["value"]) for item in body["putRows"]]
        deletes = [row_id_of(item) for item in body["deleteRows"]]
        ver = self.rows.apply(expected, puts, deletes)
        if ver is None:
            rows = [row._asdict() for row in self.rows.mismatches(expected)]
            return json_response({"rows": rows, **self._now()}, status=412)
        self._wake()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return json_response(self._now())

    async def _read(self, request: Request) -> Response:
        refused = await self._refuse(request)
        if refused is not None:
            return refused
        start = request.query.get("from", "")
        limit = int(request.query.get("limit", "500"))
        found = [
            row
            for row in self.rows.of_table(request.query["table"])
            if row.key >= start
        ]
        rows = [row._asdict() for row in found[:limit]]
        answer = {"rows": rows, "hasMore": len(found) > limit}
        return json_response({**answer, **self._now()})

    async def _feed(self, request: Request) -> Response:
        refused = await self._refuse(request)
        if refused is not None:
            return refused
        table = request.query["table"]
        after = int(request.query["after"])
        era = self.era
        deadline_at = monotonic() + int(request.query["waitMs"]) / 1000.0
        while True:
            if self.era != era and request.transport is not None:
                request.transport.abort()
            changes = self.rows.since(table, after)
            if changes is None:
                return Response(status=410)
            left_s = deadline_at - monotonic()
            if changes or left_s <= 0.0:
                rows = [
                    {**change.row._asdict(), "removed": change.removed}
                    for change in changes
                ]
                return json_response({"rows": rows, **self._now()})
            try:
                await wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    async def _put_object(self, request: Request) -> Response:
        name = request.match_info["name"]
        if name in self._objects and "If-None-Match" in request.headers:
            return Response(status=412)
        self._objects[name] = await request.read()
        return Response()

    async def _get_object(self, request: Request) -> Response:
        name = request.match_info["name"]
        if name not in self._objects:
            return Response(status=404)
        return Response(body=self._objects[name])

    async def _add_era(self, request: Request, response: Response) -> None:
        response.headers["Store-Era"] = str(self.era)

    def _now(self) -> dict[str, int]:
        return {"ver": self.rows.ver, "nowMs": int(monotonic() * 1000)}

    def _wake(self) -> None:
        self._changed.set()
        self._changed = Event()
