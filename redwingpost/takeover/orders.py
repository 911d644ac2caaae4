"""Promotion orders that may still take effect.

An order takes effect some time after it was sent, also if its answer was lost
or the VM that sent it has ended. If another member is promoted meanwhile, it
acknowledges commits that the ordered member may lack. When the earlier order
takes effect, that member leads the next term without them.

So an order is recorded in the fleet's store before it is sent. While it may
take effect, only its member may be ordered again, and only that member may be
resumed: whatever it receives until then is in the log with which it leads.

An order that was sent more than once may take effect more than once: after
the first time its member may have been replaced. So a newer term ends only an
order that was sent once; others end by time.
"""

from typing import Any, NamedTuple

from redwingpost.core.foreign import MAX_COUNTED, is_whole

#: Seconds after its record within which an order takes effect, if ever. It is
#: recorded each time before it is sent, and may be under way for seconds.
ORDER_LIFETIME_S = 10.0

#: The same after the platform has accepted it: several times what a promotion
#: takes. If the member ends before that, another one may be promoted.
ACCEPTED_LIFETIME_S = 3.0

#: Milliseconds after any later reading within which an order's time ends. The
#: time of its record is estimated, by less than the duty lasts.
_MAX_LEFT_MS = 2 * ORDER_LIFETIME_S * 1000


#: Largest number of sends that is recorded.
_MAX_SENDS = 1000


class OrderRecord(NamedTuple):
    """An order as recorded in the fleet's store.

    ``term`` is the newest term that was known when ``member`` was ordered to
    lead the next one. The order takes effect before ``until_ms`` on the table
    service's clock, or never. ``sends`` is how often it may have been sent.
    """

    member: str
    term: int
    until_ms: int
    sends: int = 1

    def to_value(self) -> dict[str, Any]:
        """Return the value to store in the order's row.

        From a few sends on their number makes no difference.
        """
        return self._replace(sends=min(self.sends, _MAX_SENDS))._asdict()

    @classmethod
    def from_value(cls, value: Any) -> "OrderRecord | None":
        """Parse a row's value; None if it can't be parsed.

        Examples
        --------
        >>> OrderRecord.from_value({"member": "a", "term": 2, "until_ms": 9})
        OrderRecord(member='a', term=2, until_ms=9, sends=1)
        >>> OrderRecord.from_value({}) is None
        True
        """
        if not isinstance(value, dict):
            return None
        member, term, until_ms, sends = (
            value.get("member"),
            value.get("term"),
            value.get("until_ms"),
            value.get("sends", 1),
        )
        is_readable = (
            isinstance(member, str)
            and is_whole(term, MAX_COUNTED)
            and is_whole(until_ms)
            and is_whole(sends, _MAX_SENDS)
        )
        return cls(member, term, until_ms, sends) if is_readable else None

    def is_possible(self, now_ms: int) -> bool:
        """Return whether a VM can have recorded the order.

        Another writer's row would otherwise keep its group without a primary
        until the time that it states.

        Examples
        --------
        >>> OrderRecord("a", term=2, until_ms=10_900).is_possible(1000)
        True
        >>> OrderRecord("a", term=2, until_ms=2**53).is_possible(1000)
        False
        """
        return self.until_ms <= now_ms + _MAX_LEFT_MS

    def may_take_effect(self, term: int, now_ms: int) -> bool:
        """Return whether the order may take effect from now on.

        Parameters
        ----------
        term : int
            The newest term that is known. A newer one than the record's
            shows that an order that was sent once has taken effect.
        now_ms : int
            The present time on the table service's clock.

        Examples
        --------
        >>> order = OrderRecord("a", term=2, until_ms=900)
        >>> order.may_take_effect(2, 800), order.may_take_effect(3, 800)
        (True, False)
        >>> order.may_take_effect(2, 900)
        False
        >>> order._replace(sends=2).may_take_effect(3, 800)
        True
        """
        if now_ms >= self.until_ms:
            return False
        return term <= self.term or self.sends > 1
