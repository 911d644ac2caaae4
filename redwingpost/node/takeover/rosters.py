"""Keep the groups' rosters in the fleet's store, and read them."""

from collections.abc import Callable
from typing import Any, NamedTuple

from mode import Service

from redwingpost.core.positions import Position
from redwingpost.groups.directory import Directory
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.steps import repeat
from redwingpost.node.takeover.duty import GROUP_TABLE
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import FleetStore
from redwingpost.ports.platform import Condition, Row, Write
from redwingpost.takeover.roster import (
    Absence,
    Roster,
    is_gone,
    is_held_by_all,
)

ROSTER_PREFIX = "roster/"

#: Seconds between looks. A member that has just come is on every VM's list;
#: the row is for those that start after it has gone.
_LOOK_S = 1.0

#: Seconds between steps: as soon as a member ends it is asked what the
#: others must hold, and then whether they do.
_STEP_S = 0.1

#: Seconds after a VM's start before it writes: by then it hears the others
#: and knows whether it is the one to write.
_FIRST_LOOK_S = 1.0

#: One VM at a time writes the rosters; its place in the order of VMs is
#: looked up under this name.
_SUBJECT = "rosters"


class StoredRoster(NamedTuple):
    """A roster and its row's version; 0 where there is no row."""

    roster: Roster
    version: int


def decode_rosters(rows: tuple[Row, ...]) -> dict[str, StoredRoster]:
    """Return the rosters by group."""
    return {
        row.key.removeprefix(ROSTER_PREFIX): _decode(row)
        for row in rows
        if row.key.startswith(ROSTER_PREFIX)
    }


def _decode(row: Row) -> StoredRoster:
    group = row.key.removeprefix(ROSTER_PREFIX)
    return StoredRoster(Roster.from_value(group, row.value), row.version)


class _Pending(NamedTuple):
    """Members that are gone, and what the others must hold."""

    gone: frozenset[str]
    position: Position


class RosterKeeper(Service):
    """Writes which members the groups have had.

    Parameters
    ----------
    is_registry_lost : callable
        Says whether the registry doesn't answer just now.
    drain_s : float
        Seconds that a member serves on after it has announced its end.
    """

    def __init__(
        self,
        store: FleetStore,
        group_by_name: dict[str, GroupClient],
        directory: Directory,
        vms: VmTable,
        is_registry_lost: Callable[[], bool],
        drain_s: float,
        clock: Clock,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._store = store
        self._group_by_name = group_by_name
        self._directory = directory
        self._vms = vms
        self._is_registry_lost = is_registry_lost
        self._drain_s = drain_s
        self._clock = clock
        self._stored_by_group: dict[str, StoredRoster] | None = None
        self._look_at = float("-inf")
        self._missing_since: dict[str, float] = {}
        self._pending_by_group: dict[str, _Pending] = {}

    @Service.task
    async def _keep(self) -> None:
        await self.sleep(_FIRST_LOOK_S)
        await repeat(self, self._look_again, _STEP_S)

    def look_soon(self) -> None:
        """Look at once: a member has come or gone.

        Until one that ended is off the roster, a primary that is lost
        can't be replaced: both are silent then.
        """
        self._look_at = float("-inf")

    async def _look_again(self) -> None:
        now = self._clock.now()
        if now < self._look_at:
            return
        self._look_at = now + _LOOK_S
        before = len(self._pending_by_group)
        await self.look()
        if len(self._pending_by_group) > before:
            self._look_at = float("-inf")

    async def look(self) -> None:
        """Bring the rows in step with who is listed and who is gone."""
        now = self._clock.now()
        # Whoever hears few takes itself for the first that is there.
        if self._is_registry_lost() or not self._vms.hears_half(now):
            return
        if self._vms.place(_SUBJECT, now) != 0:
            return
        if self._stored_by_group is None:
            self._stored_by_group = await self._read()
        if self._stored_by_group is None:
            return
        wanted = {
            group.name: await self._wanted(group)
            for group in tuple(self._group_by_name.values())
        }
        changed = {
            name: roster
            for name, roster in wanted.items()
            if roster != self._stored(name).roster
        }
        if changed:
            await self._write(changed)

    async def _read(self) -> dict[str, StoredRoster] | None:
        got = await self._store.snapshot(GROUP_TABLE)
        if got.is_error():
            log_event("rosters-unknown", detail=got.error.detail)
            return None
        return decode_rosters(got.ok.rows)

    def _stored(self, group: str) -> StoredRoster:
        return self._stored_by_group.get(group, StoredRoster(Roster({}), 0))

    async def _wanted(self, group: GroupClient) -> Roster:
        roster = self._stored(group.name).roster
        listed = self._directory.members_of(group.name)
        gone = frozenset(
            name
            for name in roster.member_by_name
            if self._is_gone(name, self._clock.now())
        )
        if not gone:
            self._pending_by_group.pop(group.name, None)
        elif not await self._do_rest_hold_all(group, gone):
            gone = frozenset()
        return roster.without(gone).with_listed(listed)

    def _is_gone(self, member: str, now: float) -> bool:
        if self._directory.get(member) is not None:
            self._missing_since.pop(member, None)
            return False
        since = self._missing_since.setdefault(member, now)
        announced_s = self._directory.announced_s(member)
        return is_gone(Absence(now - since, announced_s), self._drain_s)

    async def _do_rest_hold_all(
        self, group: GroupClient, gone: frozenset[str]
    ) -> bool:
        """Say whether those that stay hold all that the gone ones had.

        The first look takes the primary's position, the next ones wait
        until all are seen to hold it: in one round of questions replicas
        are a few milliseconds behind.
        """
        pending = self._pending_by_group.get(group.name)
        if pending is None or pending.gone != gone:
            position = await self._position_of_primary(group)
            if position is not None:
                pending = _Pending(gone, position)
                self._pending_by_group[group.name] = pending
            return False
        await group.fresh_round()
        heard = [
            group.evidence.last_report(name) for name in group.member_by_name
        ]
        reports = tuple(item.report if item else None for item in heard)
        if not is_held_by_all(pending.position, reports):
            return False
        del self._pending_by_group[group.name]
        return True

    async def _position_of_primary(
        self, group: GroupClient
    ) -> Position | None:
        asked_at = self._clock.now()
        await group.fresh_round()
        heard = group.evidence.last_report(group.evidence.leader or "")
        if heard is None or heard.asked_at < asked_at:
            return None
        return heard.report.received

    async def _write(self, roster_by_group: dict[str, Roster]) -> None:
        conditions = tuple(
            Condition(
                GROUP_TABLE, ROSTER_PREFIX + name, self._stored(name).version
            )
            for name in roster_by_group
        )
        writes = tuple(
            Write(GROUP_TABLE, ROSTER_PREFIX + name, roster.to_value())
            for name, roster in roster_by_group.items()
        )
        done = await self._store.transact(conditions, writes)
        # Whether or not it took effect, and in which version: the next
        # look reads it back if something is still to write.
        if done.is_error() or not done.ok.committed:
            self._stored_by_group = None
            log_event("rosters-not-written", groups=sorted(roster_by_group))
            return
        for name, roster in roster_by_group.items():
            stored = StoredRoster(roster, done.ok.versions[0])
            self._stored_by_group[name] = stored
            members = sorted(roster.member_by_name)
            log_event("roster-written", group=name, members=members)
