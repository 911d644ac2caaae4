"""A platform whose members and promotion service fail in many ways."""

from asyncio import create_task, current_task, shield, sleep
from asyncio import StreamReader, StreamWriter, Task
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic, time
from typing import NamedTuple

from aiohttp.web import Request, Response

from redwingpost.standin.lines.group import LineMember
from redwingpost.standin.lines.member_server import (
    OWN_REQUEST,
    MemberConnection,
    MemberServer,
)
from redwingpost.standin.lines.replication import ReplicatedGroup
from redwingpost.standin.lines.site import LineSite, Order

#: Seconds after which a connection whose far end is dark is dropped.
DARK_TIMEOUT_S = 3.0

#: Seconds between checks whether a member is reached.
_POLL_S = 0.03

#: Shares of orders that take effect late, one of them for each site, and
#: seconds from an order's arrival until it is handled then.
_LATE_SHARES = (0.1, 0.3, 0.6)
_LATE_S = (1.0, 4.0)

#: Share of late orders that are answered at once, and not when handled.
ANSWERED_LATE_SHARE = 0.3

#: Seconds from the handling of an order to its effect.
_EFFECT_S = (0.2, 1.0)

#: Shares of orders that are refused, whose answer is lost, or late.
_REFUSED_SHARE = 0.1
_LOST_ANSWER_SHARE = 0.12
_LATE_ANSWER_SHARE = 0.15
_ANSWER_DELAY_S = (0.5, 3.0)

#: Returns the name of the VM whose connection has a port, or "".
FindVm = Callable[[int], Awaitable[str]]


class OrderFate(NamedTuple):
    """What becomes of an order.

    It is handled ``handled_s`` seconds after its arrival, has its effect
    ``effect_s`` seconds later, and is answered ``answer_s`` seconds after it
    was handled; one that is answered early, after its arrival.
    """

    refusal: int
    handled_s: float
    effect_s: float
    answer_s: float
    is_answered_early: bool
    is_answer_lost: bool


class TimedOrder(Order):
    """An order with the Unix times of its arrival and its effect.

    ``outcome`` tells what became of it.
    """

    def __init__(self, group: str, member: str, holder: str, fence: int):
        super().__init__(group, member, holder, fence)
        self.arrived_at = time()
        self.ended_at = 0.0
        self.outcome = "under way"
        self.answer = ""


class UnreliableServer(MemberServer):
    """A member's server that some VMs may not reach.

    ``hidden_from`` names those VMs. Before a control command is executed,
    and before its answer is sent, up to ``control_delay_s`` seconds pass.
    ``on_pause`` is called with the VM's name as a PAUSE arrives.
    """

    def __init__(
        self,
        group: ReplicatedGroup,
        member: LineMember,
        find_vm: FindVm,
        random: Random,
    ) -> None:
        super().__init__(group, member)
        self.hidden_from: set[str] = set()
        self.control_delay_s = 0.0
        self.on_pause: list[Callable[[str], None]] = []
        self._find_vm = find_vm
        self._random = random
        self._vm_by_port: dict[int, str] = {}
        self._tasks: set[Task] = set()

    async def before_statement(
        self, connection: MemberConnection, request: str, text: str
    ) -> None:
        """Wait until a statement has reached the member."""
        await self._await_reach(connection, is_startup=not request)
        if request != OWN_REQUEST:
            return
        if self.on_pause and text.startswith("PAUSE"):
            vm = await self._find_vm(connection.caller_port)
            for notify in tuple(self.on_pause):
                notify(vm)
        await self._delay_control()
        await self._await_reach(connection)

    async def before_answer(
        self, connection: MemberConnection, request: str
    ) -> None:
        """Wait until an answer reaches its caller."""
        if request == OWN_REQUEST:
            await self._delay_control()
        await self._await_reach(connection)

    def break_connections(self) -> None:
        """Abort all connections and what runs for them."""
        for writer in tuple(self._writers):
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        port = writer.get_extra_info("peername")[1]
        task = current_task()
        self._tasks.add(task)
        try:
            await super()._serve(reader, writer)
        finally:
            self._tasks.discard(task)
            self._vm_by_port.pop(port, None)

    async def _await_reach(
        self, connection: MemberConnection, is_startup: bool = False
    ) -> None:
        """Wait until a connection's caller and the member reach each other.

        Raises
        ------
        ConnectionResetError
            If the caller is dark for too long, has given its startup up, or
            has reset the connection: what it still held is not sent later.
        """
        dark_since = monotonic()
        while True:
            is_hidden = await self._is_hidden_from(connection)
            if not is_hidden:
                dark_since = monotonic()
                if not self.member.is_unresponsive:
                    return
            if monotonic() - dark_since > DARK_TIMEOUT_S:
                raise ConnectionResetError("the caller is dark")
            is_given_up = is_startup and connection.is_abandoned
            if is_given_up or connection.is_reset:
                raise ConnectionResetError("the caller has given up")
            await sleep(_POLL_S)

    async def _is_hidden_from(self, connection: MemberConnection) -> bool:
        if not self.hidden_from:
            return False
        port = connection.caller_port
        if port not in self._vm_by_port:
            self._vm_by_port[port] = await self._find_vm(port)
        # The VM of a connection that its caller has closed isn't known.
        return self._vm_by_port[port] in {*self.hidden_from, ""}

    async def _delay_control(self) -> None:
        if self.control_delay_s > 0.0:
            await sleep(self._random.uniform(0.0, self.control_delay_s))


class UnreliableSite(LineSite):
    """The platform; orders may be late, refused or unanswered.

    ``late_share`` is the share of orders that are handled seconds later;
    of these, ``answered_late_share`` are answered before.

    Parameters
    ----------
    random : Random
        Chooses the fates of orders.
    find_vm : callable
        Finds the VM of a connection by its port.
    """

    def __init__(self, random: Random, find_vm: FindVm) -> None:
        super().__init__()
        self.on_order: list[Callable[[TimedOrder], None]] = []
        self._random = random
        self.answered_late_share = ANSWERED_LATE_SHARE
        self.late_share = random.choice(_LATE_SHARES)
        self._find_vm = find_vm

    def make_group(
        self, name: str, members: tuple[str, ...]
    ) -> ReplicatedGroup:
        """Return a new group."""
        return ReplicatedGroup(name, members, self._random)

    def make_server(
        self, group: ReplicatedGroup, member: str
    ) -> UnreliableServer:
        """Return a member's server, not started yet."""
        return UnreliableServer(
            group, group.member_by_name[member], self._find_vm, self._random
        )

    @property
    def has_orders_under_way(self) -> bool:
        """Whether an order may still take effect."""
        return any(order.outcome == "under way" for order in self.orders)

    async def _promote(self, request: Request) -> Response:
        body = await request.json()
        fence = int(request.headers["X-Redwingpost-Fence-Token"])
        holder = request.headers["X-Redwingpost-Duty-Holder"]
        order = TimedOrder(body["service"], body["id"], holder, fence)
        self.orders.append(order)
        fate = self._draw_fate()
        for notify in tuple(self.on_order):
            notify(order)
        if fate.refusal:
            order.outcome = order.answer = f"refused {fate.refusal}"
            return Response(status=fate.refusal)
        if self.find(order.member).is_unresponsive:
            order.outcome = order.answer = "409, not running"
            return Response(status=409)
        handling = create_task(self._handle(order, fate))
        if not fate.is_answered_early and not await shield(handling):
            order.answer = "409"
            return Response(status=409)
        await shield(create_task(sleep(fate.answer_s)))
        order.answer = f"200 after {time() - order.arrived_at:.2f} s"
        if fate.is_answer_lost:
            order.answer = "lost"
            if request.transport is not None:
                request.transport.abort()
        return Response(status=200)

    async def _handle(self, order: TimedOrder, fate: OrderFate) -> bool:
        """Handle an order; return whether its member runs."""
        await sleep(fate.handled_s)
        if self.find(order.member).is_unresponsive:
            order.outcome = "not running"
            return False
        create_task(self._take_effect(order, fate.effect_s))
        return True

    async def _take_effect(self, order: TimedOrder, effect_s: float) -> None:
        await sleep(effect_s)
        group = self.group_by_name[order.group]
        order.ended_at = time()
        if self.find(order.member).is_unresponsive:
            order.outcome = "no effect, not running"
            return
        is_leading = group.last_primary.name == order.member
        is_leading = is_leading and group.last_primary.is_primary
        order.outcome = "leads already" if is_leading else "took effect"
        group.promote(order.member)

    def _draw_fate(self) -> OrderFate:
        random = self._random
        refusal = 0
        if random.random() < _REFUSED_SHARE:
            refusal = random.choice((409, 429, 503))
        is_late = random.random() < self.late_share
        is_answer_late = random.random() < _LATE_ANSWER_SHARE
        return OrderFate(
            refusal,
            random.uniform(*_LATE_S) if is_late else 0.0,
            random.uniform(*_EFFECT_S),
            random.uniform(*_ANSWER_DELAY_S) if is_answer_late else 0.0,
            is_late and random.random() < self.answered_late_share,
            random.random() < _LOST_ANSWER_SHARE,
        )
