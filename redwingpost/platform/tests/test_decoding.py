"""Tests of the decoders for the platform's settings, entries and rows."""

from json import dumps
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import AsyncMock, patch

from redwingpost.adapters.http_client import HttpAnswer, HttpClient
from redwingpost.configuration.routes import Consistency
from redwingpost.core.codes import Code
from redwingpost.node.tests.line_site import configuration
from redwingpost.platform.entries import (
    FORMAT,
    PLACES_FORMAT,
    decode_configuration,
    decode_member,
)
from redwingpost.platform.settings import load_node_settings
from redwingpost.platform.store import RowStore
from redwingpost.ports.clock import MonotonicClock
from redwingpost.ports.fleet_store import era_of, number_of
from redwingpost.ports.platform import Condition, Row, Write
from redwingpost.ports.registry import EntryError
from redwingpost.standin.lines.store import StandInStore

SETTINGS = {
    "node": "front-a-1",
    "zone": "a",
    "ip": "10.1.0.2",
    "listen": {"front": "10.1.0.2:84", "ready": "10.1.0.2:85"},
    "innerPorts": [7560, 7575],
    "seeds": ["10.1.0.2:86", "10.1.0.3:86"],
    "bounds": {"drainMs": 9000, "graceS": 8},
    "platform": {"address": "10.9.0.1:80"},
    "cloudApi": {"address": "10.9.0.2:80"},
    "somethingNew": {"ignored": True},
}

MEMBER = {
    "service": "g1",
    "address": "10.2.0.3:8080",
    "zone": "b",
    "state": "ready",
    "dbRole": "replica",
    "born": 17,
    "seq": 4,
}


class SettingsTest(TestCase):
    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "local.json"

    def _load(self, value):
        self.path.write_text(dumps(value))
        return load_node_settings(self.path)

    def test_a_good_file(self) -> None:
        read = self._load(SETTINGS).ok
        self.assertEqual(("front-a-1", "a"), (read.vm, read.data_centre))
        self.assertEqual(("10.1.0.2", "10.1.0.3"), read.peer_ips)
        self.assertEqual((9.0, 8.0), (read.drain_s, read.grace_s))

    def test_errors_name_the_field(self) -> None:
        cases = (
            ("node", 7, "node: 7"),
            ("listen", {}, "front: None"),
            ("listen", {"front": "nowhere", "ready": "a:1"}, "listen.front"),
            ("innerPorts", [5], "innerPorts"),
            ("platform", None, "platform: None"),
            ("platform", {"address": "0.0.0.0:80"}, "platform.address"),
            ("cloudApi", {"address": "224.0.0.1:80"}, "cloudApi.address"),
            ("bounds", {"drainMs": -1}, "drainMs: -1"),
            ("bounds", {"drainMs": 1e308}, "drainMs: 1e+308"),
            ("bounds", {"configApplyMs": True}, "configApplyMs: True"),
            ("bounds", {"graceS": "nan"}, "graceS: 'nan'"),
            ("bounds", {"evacuateMs": 10**30}, "evacuateMs: 1000"),
            ("limits", {"cpuShare": 1e308, "cores": 1e308}, "cpuShare: 1e+"),
            ("limits", {"linkMbps": [10]}, "linkMbps: [10]"),
        )
        for name, value, expected in cases:
            with self.subTest(name=name, value=value):
                loaded = self._load({**SETTINGS, name: value})
                self.assertEqual(
                    Code.SETTINGS_INVALID.name, loaded.error.code.name
                )
                self.assertIn(expected, loaded.error.detail)

    def test_a_node_may_listen_at_all_addresses(self) -> None:
        listen = {"front": "0.0.0.0:84", "ready": "0.0.0.0:85"}
        read = self._load({**SETTINGS, "listen": listen}).ok
        self.assertEqual(("0.0.0.0", 84), tuple(read.callers))

    def test_places(self) -> None:
        """A value of a wrong type is left out and named, the rest is kept."""
        good = {
            "contracts": ["evacuation", "places"],
            "zones": {"b": "south"},
            "region": "north",
        }
        both = {"a": "north", "b": "south"}
        south = {"b": "south"}
        cases = (
            ("all", {}, True, (2.0, 7.0), both, ()),
            ("not listed", {"contracts": ["x"]}, False, (1.5, 5.0), {}, ()),
            ("no contracts", {"contracts": None}, False, (1.5, 5.0), {}, ()),
            (
                "contracts",
                {"contracts": "places"},
                False,
                (1.5, 5.0),
                {},
                ("contracts: 'places'",),
            ),
            (
                "region",
                {"region": 7},
                True,
                (2.0, 7.0),
                south,
                ("region: 7",),
            ),
            (
                "one data centre",
                {"zones": {"b": "south", "c": 7}},
                True,
                (2.0, 7.0),
                both,
                ("c: 7",),
            ),
            (
                "zones",
                {"zones": ["b"]},
                True,
                (2.0, 7.0),
                {"a": "north"},
                ("zones: ['b']",),
            ),
            (
                "bounds",
                {"bounds": {"coldOverage": "much", "coldSlack": -1}},
                True,
                (1.5, 5.0),
                both,
                ("coldOverage: 'much'", "coldSlack: -1"),
            ),
        )
        bounds = {"coldOverage": 2, "coldSlack": 7}
        for name, changes, has_places, cold, regions, unreadable in cases:
            with self.subTest(name):
                value = {**SETTINGS, "bounds": bounds, **good, **changes}
                read = self._load(value).ok
                self.assertEqual(has_places, read.has_places)
                self.assertEqual(cold, tuple(read.cold_bounds))
                self.assertEqual(regions, read.regions.region_by_data_centre)
                self.assertEqual(unreadable, read.unreadable)

    def test_no_file(self) -> None:
        loaded = load_node_settings(self.path)
        self.assertIn("local.json", loaded.error.detail)


class EntryTest(TestCase):
    def test_a_member(self) -> None:
        entry = decode_member(Row("t", "m1", 1, MEMBER))
        self.assertEqual(("m1", "g1", "10.2.0.3", 8080), entry[:4])
        self.assertEqual((False, False, 17, 0, None), entry[5:])
        entry = decode_member(Row("t", "m1", 1, {**MEMBER, "slots": 6}))
        self.assertEqual((False, False, 17, 6, None), entry[5:])

    def test_entries_of_another_writer(self) -> None:
        """Another writer's row among the entries is taken for a member.

        Such a row must neither stop the process nor name a member to use.
        """
        cases = [(name, {**MEMBER, name: None}) for name in MEMBER]
        cases = [case for case in cases if case[0] not in ("seq",)]
        cases += [
            ("state", {**MEMBER, "state": "resting"}),
            ("address", {**MEMBER, "address": "nowhere"}),
            ("unspecified", {**MEMBER, "address": "0.0.0.0:1"}),
            ("this network", {**MEMBER, "address": "0.0.0.7:80"}),
            ("multicast", {**MEMBER, "address": "239.1.2.3:80"}),
            ("reserved", {**MEMBER, "address": "240.0.0.1:80"}),
            ("broadcast", {**MEMBER, "address": "255.255.255.255:80"}),
            ("dbRole", {**MEMBER, "dbRole": 3}),
            ("slots", {**MEMBER, "slots": "many"}),
            ("bytes", None),
            ("list", [1, 2]),
        ]
        for name, value in cases:
            with self.subTest(name), self.assertRaises(EntryError):
                decode_member(Row("t", "m1", 1, value))

    def test_members_whose_names_cannot_be_sent(self) -> None:
        """Guards against a line to a member that another writer wrote."""
        for name in ("two words", "m1\r\nQUERY - STATUS", "", "nul\0"):
            with self.subTest(name=name):
                with self.assertRaises(EntryError):
                    decode_member(Row("t", name, 1, MEMBER))
                with self.assertRaises(EntryError):
                    value = {**MEMBER, "service": name}
                    decode_member(Row("t", "m1", 1, value))

    def test_a_configuration(self) -> None:
        rules = decode_configuration(Row("op", "c", 1, configuration(7)))
        self.assertEqual(7, rules.version)
        route = rules.routes_by_database["own"]
        self.assertIs(Consistency.READ_YOUR_WRITES, route.consistency)
        self.assertEqual(2.5, route.max_staleness_s)
        self.assertEqual("parish", rules.organisation_of("key-2").name)
        self.assertIsNone(rules.organisation_of("stranger"))

    def test_names_that_cannot_be_sent(self) -> None:
        """Guards against a name that members would read as several fields.

        Its entry alone is left out, the configuration is in force.
        """
        for name in ("two words", "line\r\nSTARTUP x", "", "nul\0"):
            for section in ("tenants", "services"):
                with self.subTest(name=name, section=section):
                    value = _changed(section, name=name)
                    rules = decode_configuration(Row("op", "c", 1, value))
                    kept = {
                        "tenants": rules.organisations_by_name,
                        "services": rules.groups_by_name,
                    }
                    self.assertNotIn(name, kept[section])
                    others = len(configuration(7)[section]) - 1
                    self.assertEqual(others, len(kept[section]))

    def test_configurations_that_cant_be_read(self) -> None:
        good = configuration(7)
        cases = (
            None,
            {},
            {**good, "configVersion": "7"},
            {**good, "routes": [{**good["routes"][0], "routeType": "x"}]},
        )
        for value in cases:
            with self.subTest(value=value), self.assertRaises(EntryError):
                decode_configuration(Row("op", "c", 1, value))


def _changed(section: str, **fields: Any) -> dict[str, Any]:
    """Return a configuration with fields added to a section's first entry."""
    good = configuration(7)
    first, *others = good[section]
    return {**good, section: [{**first, **fields}, *others]}


class PlacesTest(TestCase):
    """The fields of the contract ``places``, with and without it."""

    def test_a_member_that_is_cold(self) -> None:
        cases = (
            ("not stated", {}, None),
            ("warm", {"coldLeftMs": 0}, 0.0),
            ("cold", {"coldLeftMs": 2500}, 2.5),
            ("a fraction", {"coldLeftMs": 0.5}, 0.0005),
        )
        for name, fields, expected in cases:
            with self.subTest(name):
                row = Row("t", "m1", 1, {**MEMBER, **fields})
                entry = PLACES_FORMAT.decode_member(row)
                self.assertEqual(expected, entry.cold_left_s)
                self.assertIsNone(FORMAT.decode_member(row).cold_left_s)

    def test_members_with_another_type(self) -> None:
        """Guards against a member that counts as warm by mistake."""
        for value in ("soon", True, -1, [3]):
            with self.subTest(value=value):
                row = Row("t", "m1", 1, {**MEMBER, "coldLeftMs": value})
                with self.assertRaises(EntryError):
                    PLACES_FORMAT.decode_member(row)
                # Without the contract, nothing depends on the field.
                self.assertIsNone(FORMAT.decode_member(row).cold_left_s)

    def test_a_configuration(self) -> None:
        route = _changed("routes", allowedRegions=["n", "s"])
        tenant = _changed("tenants", allowedRegions=["n"])
        service = _changed("services", coldPerS=12, coldS=30.5)
        cases = (
            ("a route", route, frozenset({"n", "s"}), None, None, 0.0),
            ("an organisation", tenant, None, frozenset({"n"}), None, 0.0),
            ("a group", service, None, None, 12.0, 30.5),
            (
                "an empty list",
                _changed("routes", allowedRegions=[]),
                None,
                None,
                None,
                0.0,
            ),
        )
        for name, value, of_route, of_organisation, rate, cold_s in cases:
            with self.subTest(name):
                row = Row("op", "c", 1, value)
                rules = PLACES_FORMAT.decode_configuration(row)
                group = rules.groups_by_name["g1"]
                organisation = rules.organisations_by_name["parish"]
                self.assertEqual(
                    of_route, rules.routes_by_database["strict"].regions
                )
                self.assertEqual(of_organisation, organisation.regions)
                self.assertEqual(
                    (rate, cold_s), (group.cold_rate, group.cold_s)
                )
                self.assertEqual(
                    FORMAT.decode_configuration(
                        Row("op", "c", 1, configuration(7))
                    ),
                    FORMAT.decode_configuration(row),
                )

    def test_an_entry_with_another_type_is_refused(self) -> None:
        """Guards against a restriction that is lost with its type.

        That entry alone is left out, and one line names it.
        """
        cases = (
            ("routes", "strict", {"allowedRegions": "north"}),
            ("routes", "strict", {"allowedRegions": [1]}),
            ("tenants", "parish", {"allowedRegions": {"north": 1}}),
        )
        for section, entry, fields in cases:
            with self.subTest(fields=fields):
                row = Row("op", "c", 1, _changed(section, **fields))
                with patch(
                    "redwingpost.platform.entries.log_event"
                ) as log_event:
                    rules = PLACES_FORMAT.decode_configuration(row)
                kept = {
                    "routes": rules.routes_by_database,
                    "tenants": rules.organisations_by_name,
                    "services": rules.groups_by_name,
                }
                self.assertNotIn(entry, kept[section])
                others = len(configuration(7)[section]) - 1
                self.assertEqual(others, len(kept[section]))
                log_event.assert_called_once()
                self.assertEqual(entry, log_event.call_args.kwargs["entry"])

    def test_a_limit_that_cannot_be_read(self) -> None:
        """Guards against a group without its limit and its replicas.

        Nothing is sent to its cold members, and one line names the group.
        """
        for fields in (
            {"coldPerS": "12"},
            {"coldS": True},
            {"coldPerS": -2},
            {"coldPerS": 1e308},
        ):
            with self.subTest(fields=fields):
                row = Row("op", "c", 1, _changed("services", **fields))
                with patch(
                    "redwingpost.platform.entries.log_event"
                ) as log_event:
                    rules = PLACES_FORMAT.decode_configuration(row)
                group = rules.groups_by_name["g1"]
                self.assertEqual(
                    (32, 1, 0.0, 0.0),
                    (
                        group.max_connections,
                        group.sync_replicas,
                        group.cold_rate,
                        group.cold_s,
                    ),
                )
                log_event.assert_called_once()
                self.assertEqual("g1", log_event.call_args.kwargs["entry"])

    def test_a_configuration_without_these_fields(self) -> None:
        """Guards against a change where nothing is configured."""
        row = Row("op", "c", 1, configuration(7))
        self.assertEqual(
            FORMAT.decode_configuration(row),
            PLACES_FORMAT.decode_configuration(row),
        )


def _ok(body: bytes) -> HttpAnswer:
    return HttpAnswer(200, body)


class StoreTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stand_in = StandInStore()
        port = await self.stand_in.start("127.0.0.1")
        self.addAsyncCleanup(self.stand_in.stop)
        self.store = RowStore("127.0.0.1", port, MonotonicClock())

    async def test_conditions(self) -> None:
        cases = (
            ("absent", 0, True),
            ("absent again", 0, False),
            ("its version", 1, True),
            ("an old version", 1, False),
        )
        for name, version, committed in cases:
            with self.subTest(name):
                done = await self.store.transact(
                    (Condition("t", "k", version),),
                    (Write("t", "k", {"name": name}),),
                )
                self.assertEqual(committed, done.ok.committed)

    async def test_changes_and_a_lost_history(self) -> None:
        self.stand_in.put("t", "a", 1)
        snapshot = (await self.store.snapshot("t")).ok
        self.stand_in.put("t", "b", 2)
        self.stand_in.remove("t", "a")
        changes = (
            await self.store.changes("t", snapshot.version, 5.0, 6.0)
        ).ok
        read = [(item.row.key, item.is_removed) for item in changes.changes]
        self.assertEqual([("b", False), ("a", True)], read)
        self.stand_in.rows.clear_history()
        lost = (await self.store.changes("t", snapshot.version, 5.0, 6.0)).ok
        self.assertTrue(lost.history_lost)

    async def test_a_version_of_an_earlier_era_is_never_used(self) -> None:
        """A restored store gives a number out again, for another row."""
        self.stand_in.put("t", "other", 0)
        copy = self.stand_in.rows.copy()
        self.stand_in.put("t", "k", "lost")
        before = (await self.store.snapshot("t")).ok
        self.stand_in.restore(copy)
        self.stand_in.put("t", "k", "another")
        changes = (await self.store.changes("t", before.version, 1.0, 2.0)).ok
        self.assertTrue(changes.history_lost)
        after = (await self.store.snapshot("t")).ok
        self.assertEqual(number_of(before.version), number_of(after.version))
        self.assertGreater(after.version, before.version)
        for version, committed in (
            (before.version, False),
            (after.version, True),
        ):
            with self.subTest(version):
                done = await self.store.transact(
                    (Condition("t", "k", version),), (Write("t", "k", 1),)
                )
                self.assertEqual(committed, done.ok.committed)

    async def test_a_write_beside_a_restore_is_read_back(self) -> None:
        """Nobody knows whether a restore kept a write of that moment."""
        await self.store.snapshot("t")
        self.stand_in.restore(self.stand_in.rows.copy())
        done = await self.store.transact((), (Write("t", "k", 1),))
        self.assertEqual(Code.STORE_OUTCOME_UNKNOWN.name, done.error.code.name)

    async def test_an_answer_with_an_impossible_era_is_refused(self) -> None:
        """An era that is no number, sinks or is missing keeps the old one."""
        self.stand_in.era = 4
        await self.store.snapshot("t")
        for era in ("", "x", "-5", "4.5", 3):
            with self.subTest(era=era):
                self.stand_in.era = era
                got = await self.store.snapshot("t")
                self.assertTrue(got.is_error())
        self.stand_in.era = 5
        version = (await self.store.snapshot("t")).ok.version
        self.assertEqual(5, era_of(version))

    async def test_a_lost_answer_is_no_refusal(self) -> None:
        """The store applies a write, and its answer is lost.

        If that counted as a refusal, a VM would act as if it didn't hold
        the duty that the store has granted it.
        """
        self.stand_in.faults.lose_answers = 1
        done = await self.store.transact((), (Write("t", "k", {}),))
        self.assertEqual(Code.STORE_OUTCOME_UNKNOWN.name, done.error.code.name)
        self.assertEqual(1, len((await self.store.snapshot("t")).ok.rows))

    async def test_answers_that_cannot_be_read(self) -> None:
        """Guards against an answer that ends the task which asked.

        A write that was answered with success may have been kept.
        """
        good = {"rows": [], "ver": 7, "nowMs": 5, "hasMore": False}
        row = {"table": "t", "part": "", "key": "k", "value": "e30=", "ver": 3}
        usable = (("nowMs", 2**48), ("nowMs", 0.5))
        cases = [
            (name, odd)
            for name in good
            for odd in (2**48, 10**30, -1, 0.5, True, "7", None, {"a": 1})
            if name != "hasMore" and (name, odd) not in usable
        ]
        cases += [
            ("rows", [{**row, name: odd}])
            for name in ("table", "key", "ver")
            for odd in (2**60, -1, 0.5, None, [])
        ]
        cases += [("rows", [7]), ("rows", 7)]
        unavailable = Code.STORE_UNAVAILABLE.name
        bodies = [dumps({**good, name: odd}).encode() for name, odd in cases]
        bodies += [b"", b"{", b"[]", b"7", b"null", b"[" * 9000]
        write = Write("t", "k", {})
        for body in bodies:
            with self.subTest(body=body[:80]):
                with patch.object(
                    HttpClient, "request", AsyncMock(return_value=_ok(body))
                ):
                    read = await self.store.snapshot("t")
                    self.assertEqual(unavailable, read.error.code.name)
                    changed = await self.store.changes("t", 1, 1.0, 2.0)
                    if b"nowMs" not in body or b'"nowMs": 5' in body:
                        self.assertEqual(unavailable, changed.error.code.name)
                    done = await self.store.transact((), (write,))
                    if done.is_error():
                        self.assertEqual(
                            Code.STORE_OUTCOME_UNKNOWN.name,
                            done.error.code.name,
                        )
                refused = HttpAnswer(412, body)
                with patch.object(
                    HttpClient, "request", AsyncMock(return_value=refused)
                ):
                    done = await self.store.transact((), (write,))
                    self.assertFalse(done.ok.committed)

    async def test_a_store_that_refuses(self) -> None:
        self.stand_in.faults.is_down = True
        for call in (
            self.store.snapshot("t"),
            self.store.changes("t", 0, 1.0, 2.0),
            self.store.transact((), (Write("t", "k", {}),)),
        ):
            with self.subTest(call.__name__):
                error = (await call).error
                self.assertEqual(Code.STORE_UNAVAILABLE.name, error.code.name)

    async def test_many_rows(self) -> None:
        for number in range(700):
            self.stand_in.put("t", f"{number:04}", number)
        snapshot = (await self.store.snapshot("t")).ok
        self.assertEqual(700, len(snapshot.rows))
