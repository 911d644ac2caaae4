"""Tests of the validation of a configuration's body."""

from copy import deepcopy
from json import dumps
from unittest import TestCase

from redwingpost.configuration.parse import parse_configuration
from redwingpost.core import Code

GOOD = {
    "site": "semilla-andina",
    "organisations": {
        "diocese-puno": {
            "keys": [{"name": "a", "hash": "a" * 40}],
            "rate": 120,
            "burst": 60.0,
            "groups": ["catalogue-1"],
        },
        "parish-cusco": {
            "keys": [{"name": "a", "hash": "b" * 40}],
            "rate": 12.5,
            "burst": 6.0,
            "groups": [],
        },
    },
    "groups": {
        "catalogue-1": {
            "connections": 32,
            "members": {
                "catalogue-1-a": {
                    "data_centre": "lima-1",
                    "ip": "127.1.101.1",
                    "port": 3306,
                }
            },
        }
    },
    "kinds": {"order": {"weight": 4.0, "unconfirmed": "accept"}},
    "withdrawn": [{"organisation": "diocese-puno", "hash": "c" * 40}],
    "draining_members": ["catalogue-1-a"],
}

PUNO = ("organisations", "diocese-puno")
MEMBER = ("groups", "catalogue-1", "members", "catalogue-1-a")


def with_change(path, value):
    """Return the good body's bytes with one value changed."""
    body = deepcopy(GOOD)
    table = body
    for key in path[:-1]:
        table = table[key]
    table[path[-1]] = value
    return dumps(body).encode()


class ParseConfigurationTest(TestCase):
    def test_good_body(self):
        configuration = parse_configuration(dumps(GOOD).encode()).ok
        puno = configuration.organisations_by_name["diocese-puno"]
        self.assertEqual(puno.rate, 120.0)
        self.assertEqual(puno.weight, 1.0)
        group = configuration.groups_by_name["catalogue-1"]
        member = group.members_by_name["catalogue-1-a"]
        self.assertEqual(member.group, "catalogue-1")
        self.assertEqual(configuration.kind("order").unconfirmed, "accept")
        self.assertEqual(configuration.kind("other").cost, 1.0)

    def test_errors_name_the_entry(self):
        twin = {"connections": 1, "members": GOOD["groups"]["catalogue-1"]}
        table = [
            (PUNO + ("groups",), ["catalog-1"], "mean 'catalogue-1'?"),
            (PUNO + ("rate",), 0, "rate: allowed: a number above 0"),
            (PUNO + ("rate",), float("inf"), "a number above 0"),
            (PUNO + ("rate",), True, "a number above 0; got True"),
            (PUNO + ("rates",), 1, "did you mean 'rate'?"),
            (PUNO + ("keys",), [{"name": "a", "hash": "A"}], "40 hex"),
            (PUNO + ("keys",), [{"hash": "a" * 40}], "keys[0].name: miss"),
            (PUNO + ("keys",), "x", "keys: allowed: a list"),
            (MEMBER + ("port",), 0, "port from 1"),
            (MEMBER + ("ip",), "db.example", "an IP address"),
            (("groups", "catalogue-1", "members"), {}, "one member or"),
            (("groups", "catalogue-1", "connections"), 1.5, "1 or more"),
            (("groups", "a b"), {}, "allowed: letters"),
            (("groups", "x"), twin, "members.connections: allowed"),
            (("kinds", "order", "unconfirmed"), "maybe", "refuse or acc"),
            (("kinds", "order", "long"), 1, "true or false"),
            (("draining_members",), ["catalogue-1-b"], "did you mean"),
            (("site",), "", "site: allowed: text"),
            (("organisations",), [], "an object keyed by name"),
        ]
        for path, value, expected in table:
            with self.subTest(path=path, value=value):
                body = with_change(path, value)
                refusal = parse_configuration(body).error
                self.assertEqual(refusal.code, Code.CONFIG_INVALID)
                self.assertIn(expected, refusal.detail)

    def test_overlaps(self):
        members = GOOD["groups"]["catalogue-1"]["members"]
        twin = {"connections": 1, "members": members}
        moved = {"other": dict(members["catalogue-1-a"])}
        neighbour = {"connections": 1, "members": moved}
        keys = [{"name": "z", "hash": "b" * 40}]
        table = [
            (("groups", "z"), twin, "is a member of 'catalogue-1' too"),
            (("groups", "z"), neighbour, "has the address of a member of"),
            (PUNO + ("keys",), keys, "is a key of 'diocese-puno' too"),
        ]
        for path, value, expected in table:
            with self.subTest(expected=expected):
                body = with_change(path, value)
                refusal = parse_configuration(body).error
                self.assertIn(expected, refusal.detail)

    def test_bodies_that_are_no_configuration(self):
        for body in (b"", b"[1", b"\xff\xfe", b"[]", b"null", b"[" * 99999):
            with self.subTest(body=body[:8]):
                self.assertTrue(parse_configuration(body).is_error())

    def test_errors_do_not_contain_a_plaintext_key(self):
        keys = [{"name": "a", "hash": "my-very-own-key"}]
        body = with_change(PUNO + ("keys",), keys)
        refusal = parse_configuration(body).error
        self.assertNotIn("my-very-own-key", refusal.detail)
