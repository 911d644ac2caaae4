"""The promotion orders of one takeover, recorded before they are sent."""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.leases.duty import HeldDuty
from redwingpost.node.takeover.duty import (
    GROUP_TABLE,
    ClaimedDuty,
    DutyKeeper,
)
from redwingpost.observability.journal import log_event
from redwingpost.observability.unreadable import note_unreadable
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import OrderOutcome, PromotionOrders
from redwingpost.ports.platform import Condition, Row
from redwingpost.takeover.orders import (
    ACCEPTED_LIFETIME_S,
    ORDER_LIFETIME_S,
    OrderRecord,
)

ORDER_PREFIX = "order/"

#: Seconds for which a record counts for the next attempt to send the order,
#: where the one before was refused.
_PREPARED_S = 1.0


class OrderDependencies(NamedTuple):
    """What orders use besides the claimed duty; ``vm`` is this VM's name."""

    keeper: DutyKeeper
    sender: PromotionOrders
    clock: Clock
    vm: str


class TakeoverOrders:
    """Orders of one takeover, and one of an earlier takeover.

    Parameters
    ----------
    group : str
        Name of the group.
    claimed : ClaimedDuty
        This VM's right to order promotions, and the rows read with it.
    dependencies : OrderDependencies
        Where orders are recorded and sent.
    """

    def __init__(
        self, group: str, claimed: ClaimedDuty, dependencies: OrderDependencies
    ) -> None:
        self._group = group
        self._claimed = claimed
        self._keeper = dependencies.keeper
        self._sender = dependencies.sender
        self._clock = dependencies.clock
        self._vm = dependencies.vm
        self._under_way = find_order(claimed.rows, group, claimed.now_ms)
        self._row_version = _find_version(claimed.rows, group)
        # An earlier takeover may have had no answer to its order.
        self._is_unanswered = self._under_way is not None
        self._sends = self._under_way.sends if self._under_way else 0
        self._prepared_at = float("-inf")
        self._accepted_at = float("-inf")

    @property
    def duty(self) -> HeldDuty:
        """Return the right to order promotions."""
        return self._claimed.duty

    @property
    def member(self) -> str | None:
        """Return the member whose promotion may be under way, or None.

        No other member may be ordered or resumed.
        """
        return None if self._under_way is None else self._under_way.member

    def note_term(self, term: int) -> None:
        """Drop an order that the group's newest term shows to have ended."""
        order = self._under_way
        # The time of the claim: a later one would be an estimate.
        if order and not order.may_take_effect(term, self._claimed.now_ms):
            self._drop()

    def note_replaced(self, members: frozenset[str]) -> None:
        """Drop an order whose member has ended, as another has its address."""
        if self.member in members:
            self._drop()

    async def prepare(self, member: str, term: int) -> bool:
        """Record that an order is sent next; return whether it may be.

        Parameters
        ----------
        member : str
            The member to promote.
        term : int
            The newest term that is known.
        """
        if self.member not in (None, member):
            return False
        now = self._clock.now()
        if now - self._prepared_at < _PREPARED_S:
            return True
        until_ms = self._now_ms() + round(ORDER_LIFETIME_S * 1000)
        order = OrderRecord(member, term, until_ms, self._sends + 1)
        if not await self._record(order):
            return False
        self._under_way = order
        self._prepared_at = now
        return True

    async def send(self, member: str, may_send: Callable[[], bool]) -> bool:
        """Send the order that was prepared; return whether it was accepted.

        ``may_send`` is asked immediately before it is sent.
        """
        outcome = await self._sender.promote(
            self._group, member, self._vm, self.duty.fence, may_send
        )
        if outcome is OrderOutcome.REFUSED:
            return False
        self._sends += 1
        self._prepared_at = float("-inf")
        if outcome is OrderOutcome.UNANSWERED:
            self._is_unanswered = True
            return False
        self._accepted_at = self._clock.now()
        return True

    async def withdraw_ended(self) -> None:
        """Remove the record of an order that can no longer take effect.

        Each time it was sent it was refused, or accepted long ago.
        """
        if self._under_way is None or self._is_unanswered:
            return
        since_accepted_s = self._clock.now() - self._accepted_at
        if since_accepted_s >= ACCEPTED_LIFETIME_S and await self._record(
            None
        ):
            self._under_way = None

    def _drop(self) -> None:
        self._under_way = None
        self._is_unanswered = False
        self._sends = 0

    def _now_ms(self) -> int:
        """Return the table service's time, or somewhat more."""
        elapsed_s = self._clock.now() - self._claimed.read_at
        return self._claimed.now_ms + round(elapsed_s * 1000)

    async def _record(self, order: OrderRecord | None) -> bool:
        value = None if order is None else order.to_value()
        key = ORDER_PREFIX + self._group
        version = await self._keeper.write_as_holder(
            self.duty.fence,
            Condition(GROUP_TABLE, key, self._row_version),
            value,
        )
        if version is not None:
            self._row_version = version
        log_event(
            "promotion-recorded",
            group=self._group,
            member=order.member if order else "",
            term=order.term if order else 0,
            fence=self.duty.fence,
            written=version is not None,
        )
        return version is not None


def find_order(
    rows: tuple[Row, ...], group: str, now_ms: int
) -> OrderRecord | None:
    """Return the recorded order of a group; None if no VM can have sent it.

    Parameters
    ----------
    rows : tuple of Row
        The rows read with the claim of the duty.
    group : str
        Name of the group.
    now_ms : int
        The table service's time as of the reading.
    """
    for row in rows:
        if row.key == ORDER_PREFIX + group:
            order = OrderRecord.from_value(row.value)
            if order is not None and order.is_possible(now_ms):
                return order
            note_unreadable("order-unreadable", row.key, row.value)
    return None


def _find_version(rows: tuple[Row, ...], group: str) -> int:
    """Return the version of a group's row, 0 if there is none."""
    versions = (r.version for r in rows if r.key == ORDER_PREFIX + group)
    return next(versions, 0)
