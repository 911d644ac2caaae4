"""The rosters in the fleet's store while members are added and removed."""

from unittest import IsolatedAsyncioTestCase

from expression import Ok, Result

from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.groups.directory import Directory
from redwingpost.groups.evidence import GroupEvidence
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.takeover.duty import DutyKeeper
from redwingpost.node.takeover.rosters import (
    ROSTER_PREFIX,
    RosterKeeper,
    decode_rosters,
    is_confirmed,
)
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import MemberEntry, StatusReport
from redwingpost.ports.fleet_store import Snapshot, make_version, number_of
from redwingpost.ports.platform import Row, TransactResult

_DRAIN_S = 7.0

#: Entries of a transaction that the store takes.
MAX_ENTRIES = 100


def _table() -> VmTable:
    """Return the table of the only VM of a fleet."""
    table = VmTable("vm-1", 0.0)
    table.set_listed((VmAddress("vm-1", "ip", 1),))
    return table


class SecondVm:
    """The table of a VM that isn't the first in the order."""

    def rank(self, subject: str, now: float) -> int:
        """Return the second place."""
        return 1

    def hears_half(self, now: float) -> bool:
        """Return that heartbeats arrive."""
        return True


class FakeStore:
    """Keeps rows and applies conditional writes to them."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.era = 0
        self.calls = 0
        self.most_entries = 0

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return all rows."""
        self.calls += 1
        version = make_version(self.era, self.version)
        return Ok(
            Snapshot(tuple(map(self._seen, self.rows.values())), version, 0)
        )

    async def transact(
        self, conditions, writes
    ) -> Result[TransactResult, Refusal]:
        """Apply the writes if all conditions hold."""
        self.calls += 1
        entries = len(conditions) + len(writes)
        self.most_entries = max(self.most_entries, entries)
        for item in conditions:
            row = self.rows.get(item.key)
            if item.version != (self._seen(row).version if row else 0):
                return Ok(TransactResult(False, (), ()))
        self.version += 1
        for item in writes:
            version = make_version(self.era, self.version)
            row = Row(item.table, item.key, version, item.value)
            self.rows[item.key] = row
        return Ok(TransactResult(True, (version,), ()))

    def _seen(self, row: Row) -> Row:
        """Return a row with its version in the present era."""
        number = number_of(row.version)
        return row._replace(version=make_version(self.era, number))

    def members(self) -> list[str]:
        """Return the members on the only group's roster."""
        stored = decode_rosters(tuple(self.rows.values()))
        return sorted(stored["g"].roster.member_by_name)


class FakeGroup:
    """A group whose members report the positions in ``index_by_member``."""

    name = "g"

    def __init__(self, clock: VirtualClock) -> None:
        self.evidence = GroupEvidence()
        self.member_by_name: dict[str, None] = {}
        self.index_by_member: dict[str, int] = {}
        self._clock = clock

    async def fresh_round(self) -> None:
        """Note each member's report; the first member leads."""
        leader = min(self.member_by_name)
        for member in self.member_by_name:
            head = Position(1, self.index_by_member[member])
            report = StatusReport(member == leader, 1, head, 0, 0, 0, 0)
            self.evidence.note_report(member, report, self._clock.now())


class RosterKeeperTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.directory = Directory()
        self.store = FakeStore()
        self.group = FakeGroup(self.clock)
        self.keeper = self._keeper()

    def _keeper(
        self,
        groups: dict | None = None,
        vms: VmTable | SecondVm | None = None,
    ) -> RosterKeeper:
        return RosterKeeper(
            self.store,
            groups or {"g": self.group},
            self.directory,
            vms or _table(),
            lambda: False,
            _DRAIN_S,
            self.clock,
            DutyKeeper(self.store, "vm-1", self.clock),
        )

    def _list(self, *members: str, draining: str = "") -> None:
        now = self.clock.now()
        entries = tuple(
            MemberEntry(
                m, "g", "10.0.0.1", ord(m), "a", m == draining, m == "a"
            )
            for m in members
        )
        self.directory.replace(entries, now)
        self.group.member_by_name = dict.fromkeys(members)
        for member in members:
            self.group.index_by_member.setdefault(member, 7)

    async def _check(self, times: int = 1) -> None:
        for _ in range(times):
            self.clock.advance(1.0)
            await self.keeper.check()

    async def test_an_unchanged_group_costs_two_calls(self) -> None:
        self._list("a", "b", "c")
        await self._check(times=20)
        self.assertEqual(["a", "b", "c"], self.store.members())
        self.assertEqual(2, self.store.calls)

    async def test_the_rosters_of_many_groups(self) -> None:
        """Guards against a transaction that is too large for the store."""
        names = [f"g{number}" for number in range(130)]
        groups = {name: FakeGroup(self.clock) for name in names}
        for name, group in groups.items():
            group.name = name
        entries = tuple(
            MemberEntry(f"{name}-a", name, "10.0.0.1", 1, "a", False, True)
            for name in names
        )
        self.directory.replace(entries, self.clock.now())
        self.keeper = self._keeper(groups)
        await self._check(times=2)
        stored = decode_rosters(tuple(self.store.rows.values()))
        self.assertEqual(set(names), set(stored))
        self.assertLessEqual(self.store.most_entries, MAX_ENTRIES)

    async def test_a_dropped_member_stays(self) -> None:
        """The registry drops a member that crashed or is partitioned.

        It may hold the only other copy of a commit, so that a VM that
        starts now must find it on the roster.
        """
        self._list("a", "b", "c")
        await self._check()
        self._list("a", "b")
        await self._check(times=10)
        self.keeper = self._keeper()
        await self._check(times=10)
        self.assertEqual(["a", "b", "c"], self.store.members())

    async def test_a_member_that_ended_is_removed(self) -> None:
        """A member ends as announced while another receives no commits.

        Until that other one has caught up, the ended member may hold the
        only other copy of a commit and must stay on the roster.
        """
        self._list("a", "b", "c")
        await self._check()
        self._list("a", "b", "c", draining="c")
        self.clock.advance(_DRAIN_S + 1.0)
        self._list("a", "b")
        self.group.index_by_member["a"] = 9
        await self._check(times=5)
        self.assertEqual(["a", "b", "c"], self.store.members())
        self.group.index_by_member["b"] = 9
        await self._check(times=2)
        self.assertEqual(["a", "b"], self.store.members())

    async def test_a_restored_store_gets_back_what_it_lost(self) -> None:
        """Guards against a promotion without a member that joined lately.

        The store's copy is older than the member's start, and the registry
        has dropped the member by the time of the restore. The VM that wrote
        the roster, or another one, remembers it; the first in the order of
        VMs may have started after the restore.
        """
        cases = (
            ("the writer is there", None),
            ("the writer is gone", _table()),
            ("the first VM has just started", SecondVm()),
        )
        for name, next_vms in cases:
            with self.subTest(name):
                self.setUp()
                self._list("a", "b")
                await self._check()
                copy = dict(self.store.rows)
                self._list("a", "b", "d")
                await self._check()
                self._list("a", "b")
                if next_vms is not None:
                    self.keeper = self._keeper(vms=next_vms)
                self.store.rows = copy
                self.store.era += 1
                self.keeper.on_new_era()
                await self._check(times=2)
                self.assertEqual(["a", "b", "d"], self.store.members())
                stored = decode_rosters(tuple(self.store.rows.values()))
                self.assertTrue(is_confirmed(stored["g"], self.store.era))

    async def test_two_restores_in_series(self) -> None:
        """Guards against a memory that the second restore takes away."""
        self._list("a", "b")
        await self._check()
        copy = dict(self.store.rows)
        self._list("a", "b", "d")
        await self._check()
        self._list("a", "b")
        self.clock.advance(40.0)
        self.directory.expire(self.clock.now())
        for _ in range(2):
            self.store.rows = dict(copy)
            self.store.era += 1
            self.keeper.on_new_era()
        await self._check(times=2)
        self.assertEqual(["a", "b", "d"], self.store.members())

    async def test_old_memories_are_not_added(self) -> None:
        """Guards against a dead member that keeps a takeover waiting.

        The VM wasn't among the first in the order when the store was
        restored, and becomes the first long after that.
        """
        self._list("a", "b", "d")
        keeper = self._keeper(vms=SecondVm())
        keeper.on_new_era()
        self._list("a", "b")
        self.clock.advance(60.0)
        self.directory.expire(self.clock.now())
        self.store.era += 1
        await self._check()
        await keeper.check()
        self.assertEqual(["a", "b"], self.store.members())

    async def test_a_roster_is_confirmed_in_a_new_era(self) -> None:
        """Guards against takeovers that wait for ever after a restore."""
        self._list("a", "b")
        await self._check()
        self.store.era += 1
        self.keeper.on_new_era()
        await self._check()
        stored = decode_rosters(tuple(self.store.rows.values()))
        self.assertTrue(is_confirmed(stored["g"], self.store.era))

    def test_rows_of_another_writer(self) -> None:
        """Guards against a roster that counts as confirmed by mistake.

        One that isn't confirmed is written again in the present era.
        """
        good = {"a": ["10.0.0.1", 80, "dc"]}
        eras = (3, 2**53, 10**30, -1, 2.0, 1e308, True, "2", None, [2], {})
        for era in eras:
            with self.subTest(era=era):
                version = make_version(2, 7)
                row = Row(
                    "t", ROSTER_PREFIX + "g", version, {**good, "era": era}
                )
                stored = decode_rosters((row,))["g"]
                self.assertEqual(["a"], list(stored.roster.member_by_name))
                self.assertFalse(is_confirmed(stored, 2))

    async def test_two_vms_write_at_once(self) -> None:
        """Another VM has written meanwhile; its change must be kept."""
        self._list("a", "b", "c")
        await self._check()
        first = self.keeper
        self.keeper = self._keeper()
        self._list("a", "b", "d")
        await self._check()
        self.keeper = first
        self._list("a", "b", "e")
        await self._check(times=2)
        expected = ["a", "b", "c", "d", "e"]
        self.assertEqual(expected, self.store.members())
