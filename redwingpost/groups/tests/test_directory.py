"""The members of each group, as the registry's list changes."""

from unittest import TestCase

from redwingpost.groups.directory import Directory
from redwingpost.ports.database import MemberEntry


def _entry(member: str, group: str, is_draining: bool = False) -> MemberEntry:
    return MemberEntry(member, group, "ip", 1, "a", is_draining, False)


class MembersOfTest(TestCase):
    def setUp(self) -> None:
        self.directory = Directory()
        for member, group in (("a", "g"), ("b", "g"), ("c", "h")):
            self.directory.put(_entry(member, group), 1.0)

    def _names(self, group: str) -> list[str]:
        return [entry.member for entry in self.directory.members_of(group)]

    def test_an_update_keeps_the_order(self) -> None:
        self.directory.put(_entry("a", "g", is_draining=True), 2.0)
        self.assertEqual(["a", "b"], self._names("g"))
        self.assertTrue(self.directory.members_of("g")[0].is_draining)

    def test_a_member_moves_to_another_group(self) -> None:
        self.directory.put(_entry("c", "g"), 2.0)
        self.assertEqual(["a", "b", "c"], self._names("g"))
        self.assertEqual({"g"}, set(self.directory.groups()))

    def test_a_removed_member_returns(self) -> None:
        self.directory.remove("a", 20.0)
        self.assertEqual(["b"], self._names("g"))
        self.assertEqual(
            ["a"], [e.member for e in self.directory.recently_removed("g")]
        )
        self.directory.put(_entry("a", "g"), 21.0)
        self.assertEqual(["b", "a"], self._names("g"))

    def test_a_group_without_members_is_gone(self) -> None:
        self.directory.replace((_entry("a", "g"),), 20.0)
        self.assertEqual({"g"}, set(self.directory.groups()))
        self.assertEqual([], self._names("h"))


class DrainingSinceTest(TestCase):
    def test_a_drain_counts_from_the_last_list_without_it(self) -> None:
        """A member's announcement reaches this VM seconds late.

        The feed of the registry hung, or its history was lost meanwhile.
        If the drain time were counted from the arrival, the member would
        get statements beyond its end.
        """
        cases = (
            ("by the next change", 10.0, 10.2, False, 10.0),
            ("after a feed that hung", 10.0, 13.0, False, 10.0),
            ("in the list after a lost history", 10.0, 12.5, True, 10.0),
            ("a list of unknown age", None, 13.0, False, 13.0),
        )
        for name, current_at, seen_at, is_replaced, expected in cases:
            with self.subTest(name):
                directory = Directory()
                directory.put(_entry("a", "g"), 1.0)
                if current_at is not None:
                    directory.note_current(current_at)
                draining = _entry("a", "g", is_draining=True)
                if is_replaced:
                    directory.replace((draining,), seen_at)
                else:
                    directory.put(draining, seen_at)
                since = directory.get("a").draining_since
                self.assertEqual(expected, since)
