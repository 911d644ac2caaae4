"""Tests of member table, failure detection, relays and confirmation."""

from itertools import permutations
from unittest import TestCase

from redwingpost.membership.beats import Beat, BeatSource, Member
from redwingpost.membership.confirmation import ConfirmationClock
from redwingpost.membership.ranking import rank_vms
from redwingpost.membership.relays import RelayRole, relay_of
from redwingpost.membership.report import Sighting, latest_sightings, report_vm
from redwingpost.membership.suspicion import BeatSchedule, mark_silent_members
from redwingpost.membership.table import MemberTable
from redwingpost.ports import VmEntry


def beat(vm, sequence=1, incarnation=7, data_centre="lima-1", **fields):
    """Return a heartbeat."""
    return Beat(
        vm=vm,
        data_centre=data_centre,
        ip="127.1.1.1",
        agent_port=7002,
        proxy_port=7001,
        incarnation=incarnation,
        sequence=sequence,
        **fields,
    )


def entry(vm, state="live"):
    """Return a VM of the platform's list."""
    return VmEntry(vm, "lima-1", "127.1.1.1", 7002, 7001, state)


def member(vm, last_seen_at=0.0, **fields):
    """Return a member of lima-1."""
    return Member(beat(vm, **fields), last_seen_at, 1, True)


class MemberTableTest(TestCase):
    def test_the_order_of_arrival_does_not_matter(self):
        # Heartbeats are relayed and arrive late, twice and out of order.
        # If tables of two VMs differed for good, work would be sent to a
        # VM that was replaced.
        beats = [
            beat("b", sequence=9, incarnation=6),
            beat("b", sequence=1, incarnation=7),
            beat("b", sequence=2, incarnation=7, gone=True),
            beat("b", sequence=2, incarnation=7),
            beat("b", sequence=3, incarnation=7, draining=True),
        ]
        results = set()
        for order in permutations(beats):
            table = MemberTable("a")
            for item in order:
                table.merge(item, 1.0, BeatSource.RELAYED)
            results.add(table.by_vm["b"].beat)
        self.assertEqual(results, {beats[-1]})

    def test_a_vm_refutes_that_it_is_gone(self):
        table = MemberTable("a")
        table.merge(beat("b"), 1.0, BeatSource.DIRECT)
        gone = beat("b", gone=True)
        self.assertTrue(table.merge(gone, 9.0, BeatSource.RELAYED))
        self.assertEqual(table.by_vm["b"].last_seen_at, 1.0)
        table.merge(beat("b", sequence=2), 10.0, BeatSource.DIRECT)
        self.assertFalse(table.by_vm["b"].beat.gone)
        self.assertEqual(table.by_vm["b"].last_seen_at, 10.0)

    def test_only_propagated_fields_count_as_change(self):
        table = MemberTable("a")
        table.merge(beat("b"), 1.0, BeatSource.DIRECT)
        table_of_changes = [
            (beat("b", sequence=2), False),
            (beat("b", sequence=3, config_version=9), False),
            (beat("b", sequence=4, draining=True), True),
            (beat("b", sequence=5, relay=True), True),
            (beat("b", sequence=1, incarnation=8), True),
        ]
        for item, changed in table_of_changes:
            with self.subTest(item=item):
                result = table.merge(item, 2.0, BeatSource.DIRECT)
                self.assertEqual(result, changed)

    def test_outdated_vm_list(self):
        # The platform's list still holds a VM that left and lacks one
        # that has just started. Heartbeats take precedence: a listed VM
        # without any has only an address, and one that sends them is
        # kept although the list lacks it.
        table = MemberTable("a")
        table.merge(beat("new"), 0.0, BeatSource.DIRECT)
        table.apply_vm_list([entry("a"), entry("old")], now=1.0)
        self.assertEqual(table.by_vm["old"].beat.incarnation, 0)
        table.merge(beat("new", sequence=2), 70.0, BeatSource.DIRECT)
        table.apply_vm_list([entry("a"), entry("old")], now=71.0)
        self.assertIn("new", table.by_vm)
        table.apply_vm_list([entry("a")], now=72.0)
        self.assertFalse(table.by_vm["old"].beat.gone)
        table.apply_vm_list([entry("a")], now=140.0)
        self.assertTrue(table.by_vm["old"].beat.gone)
        self.assertTrue(table.by_vm["new"].beat.gone)
        table.drop_gone_members(now=191.0)
        self.assertNotIn("old", table.by_vm)
        self.assertNotIn("new", table.by_vm)

    def test_checksums_of_different_tables_differ(self):
        # An answer with a change of a VM is lost. If the checksums were
        # equal, the VMs would never exchange it.
        first, second = MemberTable("a"), MemberTable("b")
        for table in (first, second):
            table.merge(beat("c"), 1.0, BeatSource.DIRECT)
        self.assertEqual(first.mark, second.mark)
        first.merge(beat("d"), 1.0, BeatSource.DIRECT)
        self.assertNotEqual(first.mark, second.mark)
        first.merge(beat("d", gone=True), 2.0, BeatSource.RELAYED)
        self.assertEqual(first.mark, second.mark)

    def test_refreshing_leaves_out_gone_members(self):
        table = MemberTable("a")
        table.merge(beat("b"), 1.0, BeatSource.DIRECT)
        table.merge(beat("c"), 1.0, BeatSource.DIRECT)
        table.merge(beat("c", gone=True), 2.0, BeatSource.RELAYED)
        table.refresh_data_centre("lima-1", seen_at=5.0)
        self.assertEqual(table.by_vm["b"].last_seen_at, 5.0)
        self.assertEqual(table.by_vm["c"].last_seen_at, 1.0)

    def test_heartbeats_for_this_vm_from_others_are_ignored(self):
        table = MemberTable("a")
        table.set_own(beat("a"), 0.0)
        gone = beat("a", gone=True, sequence=9)
        self.assertFalse(table.merge(gone, 1.0, BeatSource.RELAYED))
        self.assertFalse(table.by_vm["a"].beat.gone)


class SilenceTest(TestCase):
    def test_which_members_are_marked_gone(self):
        schedule = BeatSchedule.for_size(3)
        table = [
            (member("a", last_seen_at=0.0), False),
            (member("b", last_seen_at=0.0), True),
            (member("c", last_seen_at=6.5), False),
            (member("d", last_seen_at=0.0, gone=True), False),
            (member("e", last_seen_at=0.0, incarnation=0), False),
        ]
        for item, silent in table:
            with self.subTest(vm=item.beat.vm):
                gone = mark_silent_members([item], "a", schedule, now=10.0)
                self.assertEqual(bool(gone), silent)


class RelayTest(TestCase):
    def test_which_vm_is_used_as_relay(self):
        first, second, third = rank_vms("lima-1", ["a", "b", "c"])
        plain = [member(vm) for vm in "abc"]
        table = [
            (plain, (), first),
            (plain, {first}, second),
            (plain, {first, second, third}, ""),
            ([member("a"), member("b", relay=True)], (), "b"),
            ([member("a"), member("b", relay=True)], {"b"}, "a"),
            ([member("a", draining=True), member("b")], (), "b"),
            ([member("a", draining=True)], (), "a"),
            (
                [
                    member("a", last_seen_at=2.0, relay=True),
                    member("b", last_seen_at=1.0, relay=True),
                ],
                (),
                "a",
            ),
        ]
        for members, avoid, expected in table:
            with self.subTest(members=members, avoid=avoid):
                relay = relay_of("lima-1", members, avoid)
                self.assertEqual(relay, expected)

    def test_which_vm_takes_over_the_relay_role(self):
        # The relay crashes or is paused. Only the next by rank claims the
        # lease in the store; if the store is unavailable too, it does the
        # relay's work without a lease. The others wait for it.
        relay = rank_vms("lima-1", ["a", "b", "c"])[0]
        rest = [vm for vm in "abc" if vm != relay]
        second, third = rank_vms("lima-1", rest)
        members = [member(vm, relay=vm == relay) for vm in "abc"]
        table = [
            (second, 0.0, False, False, False),
            (second, 2.0, False, True, False),
            (second, 2.0, True, True, True),
            (third, 2.0, False, False, False),
            (third, 2.0, True, False, False),
            (relay, 0.0, True, True, True),
        ]
        for vm, unreached_s, store_unavailable, wants, is_active in table:
            role = RelayRole(
                vm=vm,
                data_centre="lima-1",
                holds_lease=False,
                held_lease_before=False,
                store_unavailable=store_unavailable,
                draining=False,
                unreached_s=unreached_s,
            )
            with self.subTest(role=role):
                self.assertEqual(role.wants_lease(relay, members), wants)
                self.assertEqual(role.is_active(relay, members), is_active)

    def test_a_draining_relay_does_not_want_the_lease(self):
        role = RelayRole("a", "lima-1", True, True, False, True, 0.0)
        self.assertFalse(role.wants_lease("a", [member("a", relay=True)]))


class ConfirmationTest(TestCase):
    def test_a_majority_of_data_centres(self):
        # Two of four data centres are cut off together. They are no
        # majority: a withdrawal may have been accepted on the other side.
        all_four = {"1", "2", "3", "4"}
        table = [
            ((), float("-inf")),
            ((("2", 5.0),), float("-inf")),
            ((("2", 5.0), ("3", 4.0)), 4.0),
            ((("2", 5.0), ("3", 4.0), ("4", 9.0)), 5.0),
        ]
        for reached, expected in table:
            clock = ConfirmationClock("1")
            for data_centre, at in reached:
                clock.note_exchange(data_centre, at)
            with self.subTest(reached=reached):
                confirmed = clock.confirmed_at(all_four, now=10.0)
                self.assertEqual(confirmed, expected)

    def test_one_data_centre_alone_needs_the_store(self):
        clock = ConfirmationClock("1")
        self.assertEqual(clock.confirmed_at({"1"}, 9.0), float("-inf"))
        clock.note_store_read(3.0)
        clock.note_relayed(2.0)
        self.assertEqual(clock.confirmed_at({"1"}, 9.0), 3.0)


class ReportTest(TestCase):
    def test_why_a_version_is_not_in_force(self):
        current = {"config_version": 3, "proxy_attached": True}
        table = [
            (beat("a", proxy_version=3, **current), 0.1, ""),
            (beat("a", proxy_version=2, **current), 0.1, "proxy is at ver"),
            (beat("a", proxy_version=3, **current), 9.0, "no heartbeat for 9"),
            (beat("a", config_version=3), 0.1, "no proxy takes"),
            (beat("a", config_version=2), 0.1, "agent holds version 2"),
            (beat("a", gone=True, **current), 0.1, "gone"),
            (beat("a", incarnation=0), 0.1, "no heartbeat received yet"),
        ]
        for item, silent_s, expected in table:
            with self.subTest(expected=expected):
                reason = report_vm(Sighting(item, silent_s), 3).reason
                self.assertIn(expected, reason)
                self.assertEqual(bool(reason), bool(expected))

    def test_the_latest_sighting_counts(self):
        # Two agents report on a VM: one received its heartbeat a moment
        # ago, the other long before, relayed.
        old = Sighting(beat("a", sequence=4), 30.0)
        new = Sighting(beat("a", sequence=9), 0.2)
        for order in ([old, new], [new, old]):
            self.assertEqual(latest_sightings(order), {"a": new})
