"""What a gatherer has heard of usage and has yet to pass on.

Counters only grow and name the VM that counts, so they may be passed on
any number of times, over any way and in any order: the reader takes the
largest. Only what has changed since the last time is passed on, and in
turn a few of the others, which repairs what a lost datagram left behind.
"""

from collections.abc import Iterable
from itertools import islice

from redwingpost.rates.counters import Usage, VmUsage

#: Counters that are passed on again with each heartbeat, in turn.
IN_TURN = 16


class UsageRelay:
    """Counters by VM and organisation, and which of them are news.

    Examples
    --------
    >>> relay = UsageRelay()
    >>> relay.note("vm-1", 7, (Usage("a", 3),), is_own=True)
    >>> [item.usage.admitted for item in relay.take_news()]
    [3]
    >>> list(relay.take_news())
    []
    """

    def __init__(self) -> None:
        self._item_by_key: dict[tuple[str, str], VmUsage] = {}
        self._own_keys: dict[tuple[str, str], None] = {}
        self._news: dict[tuple[str, str], None] = {}
        self._turn = 0

    def note(
        self, vm: str, boot: int, usages: Iterable[Usage], is_own: bool
    ) -> None:
        """Take in counters that were news.

        Parameters
        ----------
        is_own : bool
            Whether the VM is one of this gatherer's own cell. Others are
            told of by their own gatherers.
        """
        for usage in usages:
            key = (vm, usage.organisation)
            if key in self._news:
                usage = _together(self._item_by_key[key].usage, usage)
            self._item_by_key[key] = VmUsage(vm, boot, usage)
            self._news[key] = None
            if is_own:
                self._own_keys[key] = None

    def take_news(self) -> tuple[VmUsage, ...]:
        """Return what has changed since the last time."""
        items = tuple(self._item_by_key[key] for key in self._news)
        self._news.clear()
        return items

    def of_cell(self, items: Iterable[VmUsage]) -> tuple[VmUsage, ...]:
        """Return those of some counters that are of the own cell."""
        return tuple(
            item
            for item in items
            if (item.vm, item.usage.organisation) in self._own_keys
        )

    def in_turn(self) -> tuple[VmUsage, ...]:
        """Return some of the own cell's counters, others each time.

        They are no news to whoever had them all.
        """
        if not self._own_keys:
            return ()
        start = self._turn % len(self._own_keys)
        self._turn = start + IN_TURN
        keys = islice(self._own_keys, start, start + IN_TURN)
        return tuple(_repeated(self._item_by_key[key]) for key in keys)

    def forget(self, vm: str) -> None:
        """Drop the counters of a VM that is gone."""
        for key in [key for key in self._item_by_key if key[0] == vm]:
            del self._item_by_key[key]
            self._own_keys.pop(key, None)
            self._news.pop(key, None)


def _together(before: Usage, usage: Usage) -> Usage:
    """Return counters with what is new of two reports in a row."""
    return usage._replace(
        newly_used=before.newly_used + usage.newly_used,
        newly_offered=before.newly_offered + usage.newly_offered,
    )


def _repeated(item: VmUsage) -> VmUsage:
    usage = item.usage._replace(newly_used=0, newly_offered=0)
    return item._replace(usage=usage)
