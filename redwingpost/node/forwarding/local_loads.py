"""The loads that this VM reports to the VMs that forward to it."""

from collections.abc import Callable

from redwingpost.node.forwarding.messages import Load
from redwingpost.node.group import GroupClient
from redwingpost.ports.clock import Clock

#: Seconds for which the loads of all groups are kept: every connection from
#: another VM sends them about this often.
_CACHE_S = 0.1


class LocalLoads:
    """Measures this VM's groups, once for all connections.

    ``is_reported`` returns whether the load of a group is reported.
    """

    def __init__(
        self,
        group_by_name: dict[str, GroupClient],
        clock: Clock,
        is_reported: Callable[[str], bool],
    ) -> None:
        self._group_by_name = group_by_name
        self._clock = clock
        self._is_reported = is_reported
        self._loads: tuple[Load, ...] = ()
        self._until = float("-inf")

    def of_all_groups(self) -> tuple[Load, ...]:
        """Return the loads of the groups that this VM probes itself."""
        now = self._clock.now()
        if now >= self._until:
            self._loads = tuple(
                _load(group, now)
                for group in self._group_by_name.values()
                if self._is_reported(group.name) and group.is_active(now)
            )
            self._until = now + _CACHE_S
        return self._loads

    def of_group(self, name: str) -> Load | None:
        """Return the load of one group.

        None if no member is listed or the load isn't reported.
        """
        group = self._group_by_name.get(name)
        if group is None or not self._is_reported(name):
            return None
        return _load(group, self._clock.now())

    def is_evacuated(self, name: str) -> bool:
        """Return whether all members of a group are to be evacuated."""
        group = self._group_by_name.get(name)
        return group is not None and group.is_evacuated


def _load(group: GroupClient, now: float) -> Load:
    return Load(
        group.name,
        group.wait_s(False, now),
        group.wait_s(True, now),
    )
