"""Wake waiting requests when a group gets another primary."""

from asyncio import Event, TimeoutError, get_running_loop, wait_for
from collections.abc import Iterator
from contextlib import contextmanager

from redwingpost.core import GroupView
from redwingpost.ports import TargetConnection
from redwingpost.proxy.directory import Directory

#: Seconds that a replaced primary still has to answer. If it is reachable,
#: it answers error 1290: nothing ran, which is a better answer than
#: "unknown". If it is cut off, its callers would wait until their
#: deadlines.
LATE_ANSWER_S = 0.2


class ViewWatch:
    """Wakes requests at a promotion and aborts those at a lost primary.

    Parameters
    ----------
    directory : Directory
        Source of the views.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._changed_by_group: dict[str, Event] = {}
        self._terms_by_connection_by_group: dict[
            str, dict[TargetConnection, int]
        ] = {}
        directory.view_listeners.append(self._observe)

    def term(self, group: str) -> int:
        """Return the newest term with a known primary, or 0."""
        view = self._directory.view(group)
        return view.term if view is not None and view.primary else 0

    async def wait_for_later_term(
        self, group: str, term: int, timeout: float
    ) -> bool:
        """Wait for a primary of a later term; False after the timeout."""
        loop = get_running_loop()
        end = loop.time() + timeout
        while self.term(group) <= term:
            left = end - loop.time()
            if left <= 0:
                return False
            changed = self._changed_by_group.setdefault(group, Event())
            try:
                await wait_for(changed.wait(), left)
            except TimeoutError:
                return self.term(group) > term
        return True

    @contextmanager
    def guard(
        self, connection: TargetConnection, group: str, term: int
    ) -> Iterator[None]:
        """Abort the connection if a later term begins while it is used.

        A statement to a primary that was cut off would otherwise hang
        until its deadline, although its answer could not be used.
        """
        terms_by_connection = self._terms_by_connection_by_group.setdefault(
            group, {}
        )
        terms_by_connection[connection] = term
        if self.term(group) > term:
            self._schedule_abort(group, self.term(group))
        try:
            yield
        finally:
            terms_by_connection.pop(connection, None)

    def _observe(self, view: GroupView) -> None:
        changed = self._changed_by_group.pop(view.group, None)
        if changed is not None:
            changed.set()
        if view.primary:
            self._schedule_abort(view.group, view.term)

    def _schedule_abort(self, group: str, term: int) -> None:
        loop = get_running_loop()
        loop.call_later(LATE_ANSWER_S, self._abort_older, group, term)

    def _abort_older(self, group: str, term: int) -> None:
        terms_by_connection = self._terms_by_connection_by_group.get(group, {})
        for connection, used_term in tuple(terms_by_connection.items()):
            if used_term < term:
                connection.abort()
