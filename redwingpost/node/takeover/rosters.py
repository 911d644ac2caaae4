"""Updates of the groups' rosters in the fleet's store, and their decoding."""

from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any, NamedTuple

from mode import Service

from redwingpost.core.foreign import is_whole
from redwingpost.core.positions import Position
from redwingpost.groups.directory import Directory
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.steps import repeat
from redwingpost.node.takeover.duty import GROUP_TABLE, DutyKeeper
from redwingpost.observability.journal import log_event
from redwingpost.observability.unreadable import note_unreadable
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import FleetStore, era_of
from redwingpost.ports.platform import Condition, Row, Write
from redwingpost.takeover.roster import (
    Absence,
    Roster,
    is_gone,
    is_held_by_all,
)

ROSTER_PREFIX = "roster/"

#: Seconds between checks. A member that has just started is on the
#: registry's list, which every VM has; the row is for VMs that start after
#: the member has left the list.
_CHECK_INTERVAL_S = 1.0

#: Seconds between steps while a member is being removed: first the position
#: is read that the other members must hold, then whether they do.
_STEP_INTERVAL_S = 0.1

#: The same at a VM that doesn't write the rosters: it only has to notice
#: that it has become the one that does.
_IDLE_STEP_INTERVAL_S = 0.5

#: Seconds after a VM's start before it writes: by then heartbeats arrive,
#: and it can tell whether it is the VM that writes.
_START_DELAY_S = 1.0

#: VMs that add what a restored store has lost: the first ones in the order.
#: The first alone may have started after the restore, and remember nothing.
_WITNESSES = 5

#: Seconds for which a VM that no longer writes the rosters remembers them:
#: by then the next one has read them. Members that end later would come back.
_MEMORY_S = 10.0

#: Seconds after the beginning of an era in which a VM adds what it remembers.
_REMEMBERED_S = 30.0

#: Field of a row that holds the store's era in which it was written. The
#: other fields are members, whose values are lists.
_ERA_FIELD = "era"

#: One VM at a time writes the rosters: the first in the order of VMs for
#: this key.
_SUBJECT = "rosters"

#: Rosters written in one transaction. The store takes 100 entries, and a
#: roster needs a condition and a row.
_MAX_ROSTERS_PER_WRITE = 40


class StoredRoster(NamedTuple):
    """A roster and its row's version, 0 if there is no row.

    ``era`` is the store's era in which it was written, 0 if none is stated.
    A row of an earlier era may lack members: its copy may be older than
    their start.
    """

    roster: Roster
    version: int
    era: int = 0


def decode_rosters(rows: tuple[Row, ...]) -> dict[str, StoredRoster]:
    """Return the rosters by group."""
    return {
        row.key.removeprefix(ROSTER_PREFIX): _decode(row)
        for row in rows
        if row.key.startswith(ROSTER_PREFIX)
    }


def _decode(row: Row) -> StoredRoster:
    group = row.key.removeprefix(ROSTER_PREFIX)
    value = row.value if isinstance(row.value, dict) else {}
    roster = Roster.from_value(group, value)
    unreadable = value.keys() - roster.member_by_name.keys() - {_ERA_FIELD}
    if unreadable or row.value is not value:
        note_unreadable("roster-unreadable", row.key, sorted(unreadable))
    era = value.get(_ERA_FIELD)
    # A later era than the store's would count as confirmed in that one, too.
    is_possible = is_whole(era, era_of(row.version))
    return StoredRoster(roster, row.version, era if is_possible else 0)


def is_confirmed(stored: StoredRoster | None, era: int) -> bool:
    """Return whether a roster has been written in the store's present era.

    A store that doesn't number its eras loses nothing.

    Examples
    --------
    >>> is_confirmed(None, era=0)
    True
    >>> is_confirmed(StoredRoster(Roster({}), 7, era=1), era=2)
    False
    """
    return not era or (stored is not None and stored.era >= era)


def _encode(roster: Roster, era: int) -> dict[str, Any]:
    value = roster.to_value()
    return {**value, _ERA_FIELD: era} if era else value


def _split(
    roster_by_group: dict[str, Roster],
) -> Iterator[dict[str, Roster]]:
    """Yield the rosters in parts that fit into one transaction."""
    items = iter(roster_by_group.items())
    while part := dict(islice(items, _MAX_ROSTERS_PER_WRITE)):
        yield part


class _Pending(NamedTuple):
    """Members that are gone, and the position that the others must hold."""

    gone: frozenset[str]
    position: Position


class RosterKeeper(Service):
    """Writes the groups' rosters.

    Parameters
    ----------
    is_registry_lost : callable
        Returns whether the registry is currently unreachable.
    drain_s : float
        Seconds that a member goes on serving after it has announced its end.
    duty : DutyKeeper
        Reserves the duty when the table is first read in a new era.
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
        duty: DutyKeeper,
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
        self._duty = duty
        self._era = 0
        self._remembered_by_group: dict[str, Roster] = {}
        self._stored_by_group: dict[str, StoredRoster] | None = None
        self._check_at = float("-inf")
        self._writes = True
        self._wrote_at = self._remembered_at = float("-inf")
        self._missing_since: dict[str, float] = {}
        self._pending_by_group: dict[str, _Pending] = {}

    @Service.task
    async def _run_checks(self) -> None:
        await self.sleep(_START_DELAY_S)
        await repeat(
            self,
            self._check_if_due,
            lambda: (
                _STEP_INTERVAL_S if self._writes else _IDLE_STEP_INTERVAL_S
            ),
        )

    def check_now(self) -> None:
        """Make the next check due now, as a member was added or removed.

        Until a member that ended is off the roster, a lost primary can't be
        replaced, since two members would be silent.
        """
        self._check_at = float("-inf")

    def on_new_era(self) -> None:
        """Read the rosters again, and add what this VM remembers to them.

        A member that joined after the store's copy was taken isn't on the
        restored roster, and can be off the registry's list by now.
        """
        for name in self._directory.known_groups():
            before = self._remembered_by_group.get(name, Roster({}))
            remembered = self._remember(name).merged(before)
            self._remembered_by_group[name] = remembered
        self._remembered_at = self._clock.now()
        self._stored_by_group = None
        self.check_now()

    def _remember(self, group: str) -> Roster:
        """Return the members that this VM knows to belong on a roster."""
        now = self._clock.now()
        stored = Roster({})
        if self._stored_by_group is not None:
            stored = self._stored(group).roster
        removed = tuple(
            entry
            for entry in self._directory.recently_removed(group)
            if not self._is_gone(entry.member, now)
        )
        listed = self._directory.members_of(group)
        return stored.with_listed(removed).with_listed(listed)

    async def _check_if_due(self) -> None:
        now = self._clock.now()
        if now < self._check_at:
            return
        self._check_at = now + _CHECK_INTERVAL_S
        pending_before = len(self._pending_by_group)
        await self.check()
        if len(self._pending_by_group) > pending_before:
            self._check_at = float("-inf")

    async def check(self) -> None:
        """Update the rosters' rows to the members listed and gone."""
        now = self._clock.now()
        # A VM that receives heartbeats from few others would wrongly take
        # itself for the first in the order.
        if self._is_registry_lost() or not self._vms.hears_half(now):
            return
        if now - self._remembered_at > _REMEMBERED_S:
            self._remembered_by_group.clear()
        rank = self._vms.rank(_SUBJECT, now)
        self._writes = rank == 0
        is_witness = rank < _WITNESSES and bool(self._remembered_by_group)
        if self._writes:
            self._wrote_at = now
        elif now - self._wrote_at > _MEMORY_S and not is_witness:
            self._stored_by_group = None
        if not self._writes and not is_witness:
            return
        if self._stored_by_group is None:
            self._stored_by_group = await self._read()
        if self._stored_by_group is None:
            return
        required = {
            group.name: await self._required_roster(group)
            for group in tuple(self._group_by_name.values())
        }
        changed = {
            name: roster
            for name, roster in required.items()
            if self._must_write(name, roster)
        }
        for part in _split(changed):
            if not await self._write(part):
                return
        self._remembered_by_group.clear()

    def _must_write(self, group: str, roster: Roster) -> bool:
        stored = self._stored(group)
        if roster != stored.roster:
            return True
        return bool(roster.member_by_name) and stored.era < self._era

    async def _read(self) -> dict[str, StoredRoster] | None:
        got = await self._store.snapshot(GROUP_TABLE)
        if got.is_error():
            log_event("rosters-unknown", detail=got.error.detail)
            return None
        self._era = era_of(got.ok.version)
        await self._duty.reserve_if_needed(got.ok)
        return decode_rosters(got.ok.rows)

    def _stored(self, group: str) -> StoredRoster:
        return self._stored_by_group.get(group, StoredRoster(Roster({}), 0))

    async def _required_roster(self, group: GroupClient) -> Roster:
        remembered = self._remembered_by_group.get(group.name, Roster({}))
        roster = self._stored(group.name).roster.merged(remembered)
        listed = self._directory.members_of(group.name)
        if not self._writes:
            return roster.with_listed(listed)
        gone = frozenset(
            name
            for name in roster.member_by_name
            if self._is_gone(name, self._clock.now())
        )
        if not gone:
            self._pending_by_group.pop(group.name, None)
        elif not await self._do_remaining_hold_all(group, gone):
            gone = frozenset()
        return roster.without(gone).with_listed(listed)

    def _is_gone(self, member: str, now: float) -> bool:
        if self._directory.get(member) is not None:
            self._missing_since.pop(member, None)
            return False
        since = self._missing_since.setdefault(member, now)
        announced_s = self._directory.announced_s(member)
        return is_gone(Absence(now - since, announced_s), self._drain_s)

    async def _do_remaining_hold_all(
        self, group: GroupClient, gone: frozenset[str]
    ) -> bool:
        """Return whether the remaining members hold what gone ones had.

        The first check reads the primary's position, the following ones
        wait until all members have reported it: within one status round
        replicas are a few milliseconds behind the primary.
        """
        pending = self._pending_by_group.get(group.name)
        if pending is None or pending.gone != gone:
            position = await self._primary_position(group)
            if position is not None:
                pending = _Pending(gone, position)
                self._pending_by_group[group.name] = pending
            return False
        await group.fresh_round()
        observed = [
            group.evidence.last_report(name) for name in group.member_by_name
        ]
        reports = tuple(item.report if item else None for item in observed)
        if not is_held_by_all(pending.position, reports):
            return False
        del self._pending_by_group[group.name]
        return True

    async def _primary_position(self, group: GroupClient) -> Position | None:
        requested_at = self._clock.now()
        await group.fresh_round()
        observed = group.evidence.last_report(group.evidence.leader or "")
        if observed is None or observed.requested_at < requested_at:
            return None
        return observed.report.received

    async def _write(self, roster_by_group: dict[str, Roster]) -> bool:
        """Write rosters in one transaction; return whether it succeeded."""
        conditions = tuple(
            Condition(
                GROUP_TABLE, ROSTER_PREFIX + name, self._stored(name).version
            )
            for name in roster_by_group
        )
        writes = tuple(
            Write(
                GROUP_TABLE, ROSTER_PREFIX + name, _encode(roster, self._era)
            )
            for name, roster in roster_by_group.items()
        )
        done = await self._store.transact(conditions, writes)
        # The write may or may not have been applied. The next check reads
        # the rows again and writes what is still missing.
        if done.is_error() or not done.ok.committed:
            self._stored_by_group = None
            log_event("rosters-not-written", groups=sorted(roster_by_group))
            return False
        for name, roster in roster_by_group.items():
            stored = StoredRoster(roster, done.ok.versions[0], self._era)
            self._stored_by_group[name] = stored
            members = sorted(roster.member_by_name)
            log_event("roster-written", group=name, members=members)
        return True
