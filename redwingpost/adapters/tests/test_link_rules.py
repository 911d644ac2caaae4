"""Rules of link faults: which connections they affect, and how."""

from unittest import TestCase

from redwingpost.adapters.link_rules import (
    Impairment,
    LinkEffect,
    effect,
    parse_rules,
    render_rule,
)

CUT = Impairment(is_cut=True)


def rule(**given):
    return {"from": "127.1.0.0/16", "to": "127.2.0.0/16", **given}


class EffectTest(TestCase):
    def test_table(self):
        cut = rule(kind="cut")
        slow = rule(kind="delay", ms=3)
        loss = rule(kind="loss", percent=5)
        table = [
            ("127.1.1.1", "127.2.1.1", [cut], LinkEffect(CUT, CUT)),
            ("127.2.1.1", "127.1.1.1", [cut], LinkEffect()),
            ("127.1.1.1", "127.3.1.1", [cut], LinkEffect()),
            (
                "127.1.1.1",
                "127.2.1.1",
                [rule(kind="cut", direction="out")],
                LinkEffect(CUT, Impairment()),
            ),
            (
                "127.1.1.1",
                "127.2.1.1",
                [rule(kind="cut", direction="in")],
                LinkEffect(Impairment(), CUT),
            ),
            (
                "127.1.1.1",
                "127.2.1.1",
                [slow, slow, loss],
                LinkEffect(
                    Impairment(False, 0.006, 0.05),
                    Impairment(False, 0.006, 0.05),
                ),
            ),
        ]
        for own, peer, rules, expected in table:
            with self.subTest(own=own, peer=peer, rules=rules):
                parsed = parse_rules({"rules": rules}).ok
                self.assertEqual(effect(parsed, own, peer), expected)

    def test_rendered_rules_parse_again(self):
        rules = [rule(kind="cut"), rule(kind="delay", ms=2.5)]
        parsed = parse_rules({"rules": rules}).ok
        shown = [render_rule(one) for one in parsed]
        self.assertEqual(parse_rules({"rules": shown}).ok, parsed)


class ParseTest(TestCase):
    def test_refused(self):
        table = [
            None,
            [],
            {"rules": None},
            {"rules": [None]},
            {"rules": [rule()]},
            {"rules": [rule(kind="delay")]},
            {"rules": [rule(kind="delay", ms=True)]},
            {"rules": [rule(kind="delay", ms=-1)]},
            {"rules": [rule(kind="loss", percent=101)]},
            {"rules": [rule(kind="cut", direction="up")]},
            {"rules": [rule(kind="cut", colour="red")]},
            {"rules": [{"from": "x", "to": "127.0.0.1", "kind": "cut"}]},
            {"rules": [{"from": 7, "to": "127.0.0.1", "kind": "cut"}]},
        ]
        for given in table:
            with self.subTest(given=given):
                self.assertTrue(parse_rules(given).is_error())
