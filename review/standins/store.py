"""The platform's store, in form of tables, and its promotion call."""

import asyncio
import base64
import json
import time
from collections import namedtuple

from standins.http import HttpServer

Row = namedtuple("Row", "table part key value ver")
Order = namedtuple("Order", "at_s service member holder fence status")


def encode(value):
    """Return a row's value as the store holds it."""
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return base64.b64encode(raw).decode()


class Store:
    """Rows with one version counter and a feed of their changes."""

    def __init__(self, delay_s=0.004):
        self.ver = 0
        self.era = 1
        self.rows = {}
        self.history = []
        self.is_away = False
        #: Ports by the nodes that reach the store on a path of their own;
        #: ``port_for(node, port)`` returns a member's port on that path, or
        #: its own port if ``node`` is None, given the port on any path.
        self.views = {}
        self.port_for = None
        self._delay_s = delay_s
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle, self._headers)
        self._view_servers = []

    async def start(self, ip):
        """Listen on a free port and return it."""
        return await self._server.start(ip)

    async def start_view(self, ip, node):
        """Listen on a port for one node."""
        server = HttpServer(
            lambda request: self._handle(request, node), self._headers
        )
        self.views[node] = await server.start(ip)
        self._view_servers.append(server)

    def close(self):
        """Stop listening."""
        for server in (self._server, *self._view_servers):
            server.close()

    def put(self, table, key, value):
        """Write a row, as the operator or a member does."""
        self._apply([(table, "", key, encode(value))], [])

    def remove(self, table, key):
        """Remove a row, as the store does with a lapsed entry."""
        self._apply([], [(table, "", key)])

    def copy(self):
        """Return a copy of the rows, to restore later."""
        return self.ver, dict(self.rows), list(self.history)

    async def restore(self, copy, away_s):
        """Be away for a moment, and come back from a copy of the rows."""
        self.is_away = True
        for server in (self._server, *self._view_servers):
            server.drop_connections()
        await asyncio.sleep(away_s)
        self.ver, self.rows, self.history = copy[0], dict(copy[1]), copy[2]
        self.era += 1
        self.is_away = False
        self._wake()

    def _headers(self):
        return {"Store-Era": str(self.era)}

    def _now(self):
        return {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply(self, puts, deletes):
        self.ver += 1
        for table, part, key, value in puts:
            row = Row(table, part, key, value, self.ver)
            self.rows[table, part, key] = row
            self.history.append((row, False))
        for row_id in deletes:
            if self.rows.pop(row_id, None) is not None:
                self.history.append((Row(*row_id, "", self.ver), True))
        self._wake()

    def _as_seen(self, row, node):
        """Return a row's fields, with the addresses of a node's paths."""
        fields = row._asdict()
        if self.port_for is not None and row.value:
            fields["value"] = self._on_path(row.value, node)
        return fields

    def _on_path(self, text, node):
        """Return a row's value with members' addresses on a node's paths.

        A member has one address in a real network. Here it has a port for
        each node, so that a single path can be cut.
        """
        try:
            value = json.loads(base64.b64decode(text))
        except ValueError:
            return text

        def convert(item):
            if isinstance(item, dict):
                return {name: convert(each) for name, each in item.items()}
            if isinstance(item, list):
                return [convert(each) for each in item]
            if isinstance(item, int) and not isinstance(item, bool):
                return self.port_for(node, item)
            if isinstance(item, str) and item.rpartition(":")[2].isdigit():
                ip, colon, port = item.rpartition(":")
                return f"{ip}{colon}{self.port_for(node, int(port))}"
            return item

        return encode(convert(value))

    async def _handle(self, request, node=None):
        if self.is_away:
            return 503, None
        await asyncio.sleep(self._delay_s)
        if request.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        if request.path == "/rows-get":
            return self._get(request.query, node)
        if request.path == "/rows-feed":
            return await self._feed(request.query, node)
        return 404, None

    def _transact(self, body):
        puts = body.get("putRows", [])
        deletes = body.get("deleteRows", [])
        if any(i["table"] in ("op", "servers") for i in (*puts, *deletes)):
            return 403, None
        expected = body.get("expectedRev", [])
        wrong = []
        for item in expected:
            row_id = item["table"], item.get("part", ""), item["key"]
            row = self.rows.get(row_id)
            if (row.ver if row else 0) != item["ver"]:
                wrong.append(row or Row(*row_id, "", 0))
        if wrong:
            found = [row._asdict() for row in wrong]
            return 412, {"rows": found, **self._now()}
        self._apply(
            [(i["table"], i.get("part", ""), i["key"],
              self._on_path(i["value"], None) if self.port_for else i["value"])
             for i in puts],
            [(i["table"], i.get("part", ""), i["key"]) for i in deletes],
        )
        return 200, self._now()

    def _get(self, query, node):
        start = query.get("from", "")
        limit = min(int(query.get("limit", "500")), 500)
        found = sorted(
            (row for row in self.rows.values()
             if row.table == query["table"] and row.key >= start
             and row.part == query.get("part", "")),
            key=lambda row: row.key.encode(),
        )
        rows = [self._as_seen(row, node) for row in found[:limit]]
        return 200, {
            "rows": rows, "hasMore": len(found) > limit, **self._now()
        }

    async def _feed(self, query, node):
        after, era = int(query["after"]), self.era
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.era != era:
                return None, None
            if after > self.ver:
                return 410, None
            rows = [
                {**self._as_seen(row, node),
                 **({"removed": True} if removed else {})}
                for row, removed in self.history
                if row.table == query["table"] and row.ver > after
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows, **self._now()}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class Promotions:
    """The platform's ``POST /promote``; ``orders`` lists the calls."""

    def __init__(self, group_by_name, record, delay_s=0.5):
        self.orders = []
        self._group_by_name = group_by_name
        self._record = record
        self._delay_s = delay_s
        self._server = HttpServer(self._handle)

    async def start(self, ip):
        """Listen on a free port and return it."""
        return await self._server.start(ip)

    def close(self):
        """Stop listening."""
        self._server.close()

    async def _handle(self, request):
        if request.path != "/promote":
            return 404, None
        body = json.loads(request.body)
        holder = request.headers["x-redwingpost-duty-holder"]
        fence = int(request.headers["x-redwingpost-fence-token"])
        group = self._group_by_name[body["service"]]
        member = group.member_by_id.get(body["id"])
        status = 200 if member is not None and member.is_running else 409
        order = Order(time.monotonic(), body["service"], body["id"], holder,
                      fence, status)
        self.orders.append(order)
        self._record(
            f"promote service={order.service} id={order.member} "
            f"holder={holder} fence={fence} answered={status}"
        )
        if status == 200 and not member.is_primary:
            asyncio.get_running_loop().call_later(
                self._delay_s, group.promote, body["id"]
            )
        return status, None
