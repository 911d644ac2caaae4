"""Model of promotion orders, for the search of takeovers.

An order that was sent takes effect at any later time, or never, whatever
becomes of the coordinator that sent it. Its record
(``redwingpost.takeover.orders``) is kept in the fleet's store.
"""

from collections.abc import Iterator

from redwingpost.takeover.orders import OrderRecord
from redwingpost.verify.takeover_state import (
    Coordinator,
    Faults,
    Order,
    Step,
    TakeoverRules,
    TakeoverState,
)

#: Times before and after which a recorded order may take effect.
_BEFORE_MS, _UNTIL_MS = 0, 1


class OrderSteps:
    """Generates the steps of orders that were sent."""

    def __init__(self, rules: TakeoverRules, faults: Faults) -> None:
        self._rules = rules
        self._faults = faults

    def steps(self, state: TakeoverState) -> Iterator[Step]:
        """Yield the name and the resulting state of every possible step."""
        for order in set(state.orders):
            if not state.members[order.member].is_down:
                yield (
                    f"promotion of {order.member} takes effect",
                    self._take_effect(state, order),
                )
            if self._faults.may_order_late:
                yield (
                    f"promotion of {order.member} never takes effect",
                    _without_order(state, order),
                )
        if state.record is not None and not any(
            order.is_covered for order in state.orders
        ):
            yield "the record lapses", state._replace(record=None)

    def ordered_member(self, state: TakeoverState) -> int | None:
        """Return the member whose order may be under way, for a coordinator.

        It knows the record, and the terms that members report to it.
        """
        record = state.record
        if not self._rules.one_order or record is None:
            return None
        if not record.may_take_effect(state.reported_term(), _BEFORE_MS):
            return None
        return int(record.member)

    def send(
        self, state: TakeoverState, coordinator: Coordinator
    ) -> TakeoverState:
        """Record and send a coordinator's order."""
        chosen = coordinator.chosen
        is_repeated = coordinator.known_order == chosen
        is_first = not is_repeated or coordinator.is_ordered
        is_covered = is_first or self._rules.renews_record
        orders = (*state.orders, Order(chosen, is_covered))
        following = state._replace(orders=tuple(sorted(orders)))
        known_order = chosen if self._rules.one_order else None
        ordered = coordinator._replace(
            is_ordered=True, known_order=known_order
        )
        following = following._replace(coordinator=ordered)
        if self._faults.arrives_before_order:
            following = following._replace(late_commands=frozenset())
        is_recorded = self._faults.may_order_late or self._faults.views
        if not (self._rules.one_order and is_recorded):
            return following
        sends = 2 if is_repeated and self._rules.counts_copies else 1
        record = OrderRecord(
            str(chosen), coordinator.known_term, _UNTIL_MS, sends
        )
        if is_repeated and not self._rules.renews_record:
            record = state.record and state.record._replace(sends=sends)
        last = record if self._faults.views else None
        return following._replace(record=record, last_record=last)

    def end_takeover(self, state: TakeoverState) -> TakeoverState:
        """Return the state after the coordinator has crashed."""
        following = state._replace(coordinator=None)
        if self._faults.may_order_late:
            return following
        return following._replace(orders=())

    def give_up(self, state: TakeoverState) -> TakeoverState:
        """Return the state after the coordinator has resumed the members."""
        following = state._replace(coordinator=None)
        ordered = state.coordinator.known_order
        for number, member in enumerate(state.members):
            if (
                member.is_reachable
                and not member.is_primary
                and ordered in (None, number)
            ):
                resumed = member._replace(paused_for=0)
                following = following.with_member(number, resumed)
        return following

    def finish(self, state: TakeoverState) -> TakeoverState:
        """Return the state after the coordinator has seen its order's effect.

        Members that are paused for a term beyond the new one are resumed.
        """
        following = state._replace(coordinator=None)
        term = state.members[state.coordinator.chosen].term
        for number, member in enumerate(state.members):
            if member.is_reachable and member.paused_for > term:
                resumed = member._replace(paused_for=0)
                following = following.with_member(number, resumed)
        return following

    def _take_effect(
        self, state: TakeoverState, order: Order
    ) -> TakeoverState:
        following = _promote(state, order)
        if self._faults.may_order_late or following.violation:
            return following
        return following._replace(coordinator=None)


def _without_order(state: TakeoverState, order: Order) -> TakeoverState:
    orders = list(state.orders)
    orders.remove(order)
    return state._replace(orders=tuple(orders))


def _promote(state: TakeoverState, order: Order) -> TakeoverState:
    """Apply a promotion; check that no commit is lost."""
    following = _without_order(state, order)
    chosen = state.members[order.member]
    if chosen.is_primary and chosen == state.newest_primary():
        return following
    leader = chosen._replace(
        is_primary=True,
        term=1 + max(member.term for member in state.members),
        paused_for=0,
        applied=len(chosen.log),
    )
    following = following.with_member(order.member, leader)
    if state.acknowledged - frozenset(leader.log):
        return following._replace(violation="an acknowledged commit is lost")
    return following
