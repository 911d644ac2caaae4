"""Tests of the operators' library."""

from json import loads
from unittest import TestCase

from redwingpost.configuration.keys import hash_key
from redwingpost.operator import Site, make_key


def small_site() -> Site:
    """Return a site with one group and one organisation."""
    site = Site("yuelan")
    group = site.group("schedule-1", connections=50)
    group.member("schedule-1-a", "north-1", "127.1.101.1", 3306)
    circle = site.organisation("circles-taipei", rate=10, burst=5)
    circle.may_reach(group)
    circle.key("first", "a" * 40)
    return site


class SiteTest(TestCase):
    def test_rendered_site_is_valid(self):
        site = small_site()
        site.kind("enrolment", weight=4.0, unconfirmed="accept")
        site.withdraw("circles-taipei", "b" * 40)
        site.drain("schedule-1-a")
        checked = site.check().ok
        self.assertEqual(checked.kind("enrolment").unconfirmed, "accept")
        self.assertEqual(checked.draining_members, {"schedule-1-a"})
        self.assertEqual(loads(str(site)), site.as_json())

    def test_mistakes(self):
        site = small_site()
        with self.assertRaises(ValueError):
            site.group("schedule-1", connections=1)
        site.drain("schedule-1-b")
        self.assertIn("did you mean", site.check().error.detail)


class MakeKeyTest(TestCase):
    def test_a_key_is_not_in_its_repr(self):
        # A record that is logged by accident must not reveal the key.
        new = make_key()
        self.assertEqual(new.key_hash, hash_key(new.key))
        self.assertNotIn(new.key, repr(new))
        self.assertNotEqual(new, make_key())
