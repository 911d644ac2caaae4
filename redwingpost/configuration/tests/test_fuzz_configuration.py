"""Fuzz tests: any submitted body is parsed or refused, never a crash."""

from copy import deepcopy
from json import dumps
from unittest import TestCase

from hypothesis import given
from hypothesis.strategies import integers, sampled_from

from redwingpost.configuration.parse import parse_configuration
from redwingpost.core import Code
from redwingpost.core.tests.fuzzing import BYTES, JSON_VALUES, fuzz

GOOD = {
    "site": "semilla-andina",
    "organisations": {
        "diocese-puno": {
            "keys": [{"name": "2026-a", "hash": "a" * 40}],
            "rate": 120.0,
            "burst": 60.0,
            "weight": 1.0,
            "groups": ["catalogue-1"],
        }
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
    "kinds": {
        "order": {
            "weight": 4.0,
            "cost": 1.0,
            "long": False,
            "unconfirmed": "refuse",
        }
    },
    "withdrawn": [{"organisation": "diocese-puno", "hash": "b" * 40}],
    "draining_members": [],
}
ACTIONS = sampled_from(("replace", "remove", "rename"))


def json_paths(value, path=()):
    """Return the paths of all entries of a JSON value."""
    found = [path] if path else []
    if isinstance(value, dict):
        for key, inner in value.items():
            found.extend(json_paths(inner, (*path, key)))
    elif isinstance(value, list):
        for number, inner in enumerate(value):
            found.extend(json_paths(inner, (*path, number)))
    return found


JSON_PATHS = json_paths(GOOD)


class FuzzConfigurationTest(TestCase):
    def check(self, body):
        read = parse_configuration(body)
        if read.is_error():
            self.assertEqual(read.error.code, Code.CONFIG_INVALID)
        return read

    def test_valid_body_is_accepted(self):
        self.assertTrue(self.check(dumps(GOOD).encode()).is_ok())

    @fuzz(750)
    @given(BYTES)
    def test_any_bytes(self, body):
        self.check(body)

    @fuzz(500)
    @given(JSON_VALUES)
    def test_any_json(self, value):
        self.check(dumps(value).encode())

    @fuzz(1000)
    @given(integers(0, len(JSON_PATHS) - 1), ACTIONS, JSON_VALUES)
    def test_one_invalid_entry(self, number, action, value):
        """One entry of a good body is replaced, removed or renamed."""
        changed = deepcopy(GOOD)
        *path, last = JSON_PATHS[number]
        inner = changed
        for step in path:
            inner = inner[step]
        if action == "replace":
            inner[last] = value
        elif isinstance(inner, dict):
            taken = inner.pop(last)
            if action == "rename":
                inner[str(value)] = taken
        self.check(dumps(changed).encode())

    def test_deep_bodies_are_refused(self):
        """A body nested 100,000 levels deep exhausts the stack."""
        for opening in (b"[", b'{"a":'):
            with self.subTest(opening=opening):
                self.assertTrue(self.check(opening * 100_000).is_error())
