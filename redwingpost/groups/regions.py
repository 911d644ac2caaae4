"""Which members and VMs a route and an organisation allow together.

Load pattern: a group's members stand in several regions, and a route or an
organisation may be served in some of them only. Without this rule a read
goes to the member with the least expected time, a forwarded statement to
the home that the organisation's name selects, and a takeover to the replica
that is furthest ahead, wherever each of them is.

A data centre without a known region is in none that a restriction names:
nothing shows that statements may go there.
"""

from collections.abc import Iterable
from typing import NamedTuple

from redwingpost.configuration.routes import ServiceRules

#: A restriction to regions; None allows all of them.
Regions = frozenset[str] | None


class RegionMap(NamedTuple):
    """The region of each data centre, as far as known."""

    region_by_data_centre: dict[str, str]

    def allows(self, regions: Regions, data_centre: str) -> bool:
        """Return whether a restriction allows a data centre.

        Examples
        --------
        >>> regions = RegionMap({"dc-a": "north"})
        >>> regions.allows(None, "dc-b")
        True
        >>> regions.allows(frozenset({"north"}), "dc-a")
        True
        >>> regions.allows(frozenset({"north"}), "dc-b")
        False
        """
        if regions is None:
            return True
        return self.region_by_data_centre.get(data_centre) in regions


ALL_REGIONS = RegionMap({})


class Losses(NamedTuple):
    """What would be without a primary in its regions.

    ``routes`` is a number of routes, ``organisations`` one of pairs of a
    route and an organisation. ``is_all`` tells whether no route of the group
    could use the primary.
    """

    routes: int = 0
    organisations: int = 0
    is_all: bool = False


NO_LOSSES = Losses()


def combine(first: Regions, second: Regions) -> Regions:
    """Return the restriction that holds if both do.

    Examples
    --------
    >>> combine(None, None) is None
    True
    >>> sorted(combine(frozenset({"a", "b"}), frozenset({"b", "c"})))
    ['b']
    """
    if first is None or second is None:
        return second if first is None else first
    return first & second


class GroupRestrictions(NamedTuple):
    """The restrictions of the statements of one group.

    ``of_routes`` has one for each route, ``of_organisations`` one for each
    pair of a route and a restricted organisation.
    """

    of_routes: tuple[Regions, ...]
    of_organisations: tuple[Regions, ...]

    @property
    def is_any(self) -> bool:
        """Whether anything is restricted."""
        return bool(self.of_organisations) or any(
            regions is not None for regions in self.of_routes
        )

    def losses(self, regions: RegionMap, data_centre: str) -> Losses:
        """Return what a primary in a data centre could not serve.

        What is allowed nowhere doesn't count, as no primary can serve it.
        """
        if not self.is_any:
            return NO_LOSSES
        lost = _count_lost(self.of_routes, regions, data_centre)
        return Losses(
            lost,
            _count_lost(self.of_organisations, regions, data_centre),
            lost == len(self.of_routes),
        )


def restrictions_of(rules: ServiceRules, group: str) -> GroupRestrictions:
    """Return the restrictions that a configuration puts on a group."""
    of_routes = tuple(
        route.regions
        for route in rules.routes_by_database.values()
        if route.group == group
    )
    of_organisations = tuple(
        combine(regions, organisation.regions)
        for organisation in rules.organisations_by_name.values()
        if organisation.regions is not None
        for regions in of_routes
    )
    return GroupRestrictions(of_routes, of_organisations)


def _count_lost(
    restrictions: Iterable[Regions], regions: RegionMap, data_centre: str
) -> int:
    return sum(
        not regions.allows(allowed, data_centre)
        for allowed in restrictions
        if allowed != frozenset()
    )
