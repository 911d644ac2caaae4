"""A complete platform in one process: store, groups and promotions."""

from asyncio import create_task, shield, sleep
from time import monotonic, time
from typing import Any

from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    TCPSite,
    post,
)

from redwingpost.standin.lines.group import LineGroup, LineMember
from redwingpost.standin.lines.member_server import MemberServer
from redwingpost.standin.lines.store import StandInStore

#: Seconds from a promotion order to the promotion.
PROMOTION_DELAY_S = 0.2


class Order:
    """A received promotion order."""

    def __init__(self, group: str, member: str, holder: str, fence: int):
        self.group = group
        self.member = member
        self.holder = holder
        self.fence = fence


class LineSite:
    """The store, groups of three members, and the promotion API.

    ``orders`` lists the received promotion orders. The promotion service
    handles an order, and answers it, after ``order_delay_s`` seconds.
    """

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self.ip = ip
        self.store = StandInStore()
        self.group_by_name: dict[str, LineGroup] = {}
        self.server_by_member: dict[str, MemberServer] = {}
        self.orders: list[Order] = []
        self.order_delay_s = 0.0
        self.store_port = 0
        self.orders_port = 0
        self._runner: AppRunner | None = None
        self._entry_by_member: dict[str, dict[str, Any]] = {}

    async def start(self, groups: tuple[str, ...]) -> None:
        """Start the servers and register the members in the store."""
        self.store_port = await self.store.start(self.ip)
        app = Application()
        app.add_routes([post("/promote", self._promote)])
        self._runner = AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await TCPSite(self._runner, self.ip, 0).start()
        self.orders_port = self._runner.addresses[0][1]
        for name in groups:
            await self._start_group(name)

    async def stop(self) -> None:
        """Stop all servers."""
        for server in self.server_by_member.values():
            await server.stop()
        await self._runner.cleanup()
        await self.store.stop()

    def configure(self, value: dict[str, Any]) -> None:
        """Write the configuration row, as the operator does."""
        self.store.put("op", "config", value)

    def register(self, member: str, **changes: Any) -> None:
        """Write a member's entry to the store, with changed fields."""
        entry = self._entry_by_member[member]
        entry.update(changes)
        entry["seq"] += 1
        self.store.put("servers", member, entry)

    def report(self, member: str, is_draining: bool = False) -> None:
        """Write a member's entry as it sees itself."""
        is_primary = self.find(member).is_primary
        self.register(
            member,
            dbRole="primary" if is_primary else "replica",
            state="draining" if is_draining else "ready",
        )

    async def end_process(self, member: str) -> None:
        """End a member's process; its entry stays as it is."""
        await self.server_by_member[member].stop()

    async def start_process(self, member: str) -> None:
        """Start a member's process at its address, without a new entry."""
        address = self._entry_by_member[member]["address"]
        port = int(address.rpartition(":")[2])
        await self.server_by_member[member].start(self.ip, port)

    def restart_cold(self, member: str, cold_s: float) -> None:
        """Write the entry of a member that has just started.

        It is cold for ``cold_s`` seconds. Its state and its address remain.
        """
        self.find(member).cold_until = monotonic() + cold_s
        self.register(
            member,
            coldLeftMs=int(cold_s * 1000),
            born=int(time() * 1000),
        )

    def remove_entry(self, member: str) -> None:
        """Remove a member's entry, as if its heartbeats had stopped."""
        self.store.remove("servers", member)

    def find(self, member: str) -> LineMember:
        """Return a member's state."""
        return self.server_by_member[member].member

    def primary_of(self, group: str) -> str:
        """Return the name of the member that was promoted last."""
        return self.group_by_name[group].last_primary.name

    def make_group(self, name: str, members: tuple[str, ...]) -> LineGroup:
        """Return a new group."""
        return LineGroup(name, members)

    def make_server(self, group: LineGroup, member: str) -> MemberServer:
        """Return a member's server, not started yet."""
        return MemberServer(group, group.member_by_name[member])

    async def start_member(self, group: LineGroup, member: str) -> None:
        """Start a member's server, without an entry in the store."""
        server = self.make_server(group, member)
        port = await server.start(self.ip)
        self.server_by_member[member] = server
        self._entry_by_member[member] = {
            "service": group.name,
            "address": f"{self.ip}:{port}",
            "zone": "dc-a",
            "configVersion": "v1",
            "slots": 5,
            "state": "ready",
            "coldLeftMs": 0,
            "dbRole": "primary" if server.member.is_primary else "replica",
            "seq": 0,
            "born": int(time() * 1000),
        }

    async def _start_group(self, name: str) -> None:
        members = tuple(f"{name}-m{number}" for number in (1, 2, 3))
        group = self.make_group(name, members)
        self.group_by_name[name] = group
        for member in members:
            await self.start_member(group, member)
            self.register(member)

    async def _promote(self, request: Request) -> Response:
        body = await request.json()
        fence = int(request.headers["X-Redwingpost-Fence-Token"])
        holder = request.headers["X-Redwingpost-Duty-Holder"]
        order = Order(body["service"], body["id"], holder, fence)
        self.orders.append(order)
        if not await self._is_handled(order):
            return Response(status=409)
        return Response(status=200)

    async def _is_handled(self, order: Order) -> bool:
        """Handle an order, also one whose sender has given it up."""
        return await shield(create_task(self._handle(order)))

    async def _handle(self, order: Order) -> bool:
        await sleep(self.order_delay_s)
        if self.find(order.member).is_unresponsive:
            return False
        create_task(self._promote_after_delay(order))
        return True

    async def _promote_after_delay(self, order: Order) -> None:
        await sleep(PROMOTION_DELAY_S)
        group = self.group_by_name[order.group]
        group.promote(order.member)
        for name, member in group.member_by_name.items():
            if not member.is_unresponsive:
                role = "primary" if member.is_primary else "replica"
                self.register(name, dbRole=role)
