"""Tell waiting requests that a group has another primary."""

from asyncio import Event, TimeoutError, get_running_loop, wait_for
from collections.abc import Iterator
from contextlib import contextmanager

from redwingpost.core import GroupView
from redwingpost.ports import TargetConnection
from redwingpost.proxy.directory import Directory

#: Seconds that a replaced primary still has for its answers. One that
#: can be reached says by error 1290 that nothing ran, which is worth
#: more than "unknown"; one that is cut off would keep its callers
#: waiting until their deadlines.
LATE_ANSWER_S = 0.2


class ViewWatch:
    """Wakes requests at a promotion and ends waits for a lost primary.

    Parameters
    ----------
    directory : Directory
        Where views arrive.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._changed_by_group: dict[str, Event] = {}
        self._users_by_group: dict[str, dict[TargetConnection, int]] = {}
        directory.on_view.append(self._observe)

    def term(self, group: str) -> int:
        """Return the newest term that a primary is known of, or 0."""
        view = self._directory.view(group)
        return view.term if view is not None and view.primary else 0

    async def wait_beyond(self, group: str, term: int, timeout: float) -> bool:
        """Wait for a primary of a later term; False if none came."""
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
        """Close the connection if a later term comes while it is used.

        A statement to a primary that was cut off would otherwise hang
        until its deadline, though its answer is worth nothing any more.
        """
        users = self._users_by_group.setdefault(group, {})
        users[connection] = term
        if self.term(group) > term:
            self._close_later(group, self.term(group))
        try:
            yield
        finally:
            users.pop(connection, None)

    def _observe(self, view: GroupView) -> None:
        changed = self._changed_by_group.pop(view.group, None)
        if changed is not None:
            changed.set()
        if view.primary:
            self._close_later(view.group, view.term)

    def _close_later(self, group: str, term: int) -> None:
        loop = get_running_loop()
        loop.call_later(LATE_ANSWER_S, self._close_older, group, term)

    def _close_older(self, group: str, term: int) -> None:
        users = self._users_by_group.get(group, {})
        for connection, used_in in tuple(users.items()):
            if used_in < term:
                connection.abort()
