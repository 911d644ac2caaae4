"""Which members a route and an organisation allow together."""

from unittest import TestCase

from redwingpost.configuration.routes import (
    NO_RULES,
    Consistency,
    OrganisationRule,
    RouteRule,
)
from redwingpost.groups.regions import (
    NO_LOSSES,
    Losses,
    RegionMap,
    Regions,
    combine,
    restrictions_of,
)

_REGIONS = RegionMap({"dc-a": "north", "dc-b": "north", "dc-c": "south"})
_NORTH = frozenset({"north"})
_SOUTH = frozenset({"south"})
_NOWHERE: Regions = frozenset()


class AllowedTest(TestCase):
    def test_which_data_centres_are_allowed(self) -> None:
        """Guards against statements outside a caller's regions."""
        cases = (
            ("neither restricts", None, None, "abcx"),
            ("the route", _NORTH, None, "ab"),
            ("the organisation", None, _SOUTH, "c"),
            ("both, the same", _NORTH, _NORTH, "ab"),
            ("both, overlapping", _NORTH | _SOUTH, _SOUTH, "c"),
            ("both, nothing in common", _NORTH, _SOUTH, ""),
            ("an unknown region", frozenset({"west"}), None, ""),
        )
        for name, route, organisation, expected in cases:
            with self.subTest(name):
                regions = combine(route, organisation)
                allowed = "".join(
                    letter
                    for letter in "abcx"
                    if _REGIONS.allows(regions, f"dc-{letter}")
                )
                self.assertEqual(expected, allowed)


def _route(name: str, regions: Regions, group: str = "g") -> RouteRule:
    return RouteRule(
        name, group, Consistency.PRIMARY, 1.0, 0.4, 1, 0.0, False, regions
    )


class LossesTest(TestCase):
    def test_what_a_primary_could_not_serve(self) -> None:
        """Guards against a promotion that takes a route its primary."""
        cases = (
            ("unrestricted", [None, None], [None], NO_LOSSES, NO_LOSSES),
            ("no route", [], [_NORTH], NO_LOSSES, NO_LOSSES),
            (
                "one of two routes",
                [_NORTH, None],
                [None],
                NO_LOSSES,
                Losses(1, 0, False),
            ),
            (
                "all routes",
                [_NORTH, _NORTH],
                [None],
                NO_LOSSES,
                Losses(2, 0, True),
            ),
            (
                "an organisation",
                [None, None],
                [None, _SOUTH],
                Losses(0, 2, False),
                NO_LOSSES,
            ),
            (
                "an organisation that nothing can serve",
                [_NORTH, None],
                [_SOUTH],
                Losses(0, 1, False),
                Losses(1, 0, False),
            ),
        )
        for name, routes, organisations, north, south in cases:
            with self.subTest(name):
                rules = NO_RULES._replace(
                    routes_by_database={
                        f"d{n}": _route(f"d{n}", regions)
                        for n, regions in enumerate(routes)
                    }
                    | {"other": _route("other", _SOUTH, "other")},
                    organisations_by_name={
                        f"o{n}": OrganisationRule(
                            f"o{n}", frozenset(), 1.0, 1.0, 1, regions
                        )
                        for n, regions in enumerate(organisations)
                    },
                )
                found = restrictions_of(rules, "g")
                self.assertEqual(north, found.losses(_REGIONS, "dc-a"))
                self.assertEqual(south, found.losses(_REGIONS, "dc-c"))
