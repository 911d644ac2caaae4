"""The two users' sites: sizes, organisations and mixes of requests.

Network delays, connections, slots and connect times are the users' own
figures. Service times and rates are such that on one computer the
stand-ins' slots are the bottleneck, not the processor. With five slots
and 40 ms per read, a member serves 125 reads per second and a group of
three members about 350 statements of the mix. At 20 ms, normal load is
950 statements/s, which takes six of twelve cores, so that statements
wait for the processor.
"""

from typing import NamedTuple

from redwingpost.bench.history import Operation
from redwingpost.core import Registry

#: Seconds one read holds a slot of a member.
READ_SERVICE_S = 0.040

#: Seconds one write holds a slot; a commit takes longer than a read.
WRITE_SERVICE_S = 0.048

#: Statements that a member runs at a time.
SLOTS = 5

#: Seconds that opening a connection to a member takes.
CONNECT_S = 0.012

#: Number of members of a group, each in another data centre.
MEMBERS = 3

#: Number of entry VMs in each data centre: six in all, as at both users.
VMS_PER_DATA_CENTRE = (2, 2, 1, 1)

#: Share of the capacity that the rates of all organisations add up to.
#: The users require that no request is wrongfully refused up to it.
GRANTED_SHARE = 0.9


class MixEntry(NamedTuple):
    """A kind of request and its share; a mix's shares add up to one."""

    kind: str
    operation: Operation
    share: float
    max_staleness_ms: int = 0


class Organisation(NamedTuple):
    """An organisation's fleet-wide rate (statements/s) and burst."""

    name: str
    rate: float
    burst: float
    weight: float = 1.0


class Site(NamedTuple):
    """The topology, organisations and request mix of one user."""

    name: str
    data_centres: tuple[str, ...]
    data_centre_delay_ms: float
    client_delay_ms: float
    groups: tuple[str, ...]
    connections: int
    organisations: tuple[Organisation, ...]
    mix: tuple[MixEntry, ...]
    weights_by_kind: dict[str, float]

    @property
    def group_capacity(self) -> float:
        """Statements of the mix per second that one group can serve."""
        writes = sum(
            entry.share for entry in self.mix if entry.operation.writes
        )
        mean_s = writes * WRITE_SERVICE_S + (1.0 - writes) * READ_SERVICE_S
        return MEMBERS * SLOTS / mean_s

    @property
    def slots(self) -> int:
        """Statements that all members together serve at a time."""
        return len(self.groups) * MEMBERS * SLOTS

    @property
    def capacity(self) -> float:
        """Statements of the mix per second that all groups can serve."""
        return len(self.groups) * self.group_capacity


SITES: Registry[Site] = Registry("site")

#: Relative rates of the eight organisations: a few are large, and the
#: smallest gets fewer than two statements per second on each VM.
_RELATIVE_RATES = (30.0, 23.0, 18.0, 10.0, 8.0, 6.0, 4.3, 0.7)

#: Burst as seconds of the rate; a page that prints a plan sends some
#: tens of statements at once.
_BURST_S = 0.5

#: Smallest burst: enough for one page of a small organisation.
_MIN_BURST = 20.0


def _organisations(
    names: tuple[str, ...], capacity: float
) -> tuple[Organisation, ...]:
    """Return organisations whose rates add up to the granted share."""
    unit = GRANTED_SHARE * capacity / sum(_RELATIVE_RATES)
    rates = [round(unit * relative, 1) for relative in _RELATIVE_RATES]
    return tuple(
        Organisation(name, rate, max(_MIN_BURST, round(rate * _BURST_S)))
        for name, rate in zip(names, rates)
    )


def _with_organisations(site: Site, names: tuple[str, ...]) -> Site:
    return site._replace(organisations=_organisations(names, site.capacity))


SITES.register("semilla-andina")(
    _with_organisations(
        Site(
            name="semilla-andina",
            data_centres=("lima-1", "lima-2", "lima-3", "lima-4"),
            data_centre_delay_ms=0.5,
            client_delay_ms=3.0,
            groups=("catalogue-1", "catalogue-2", "catalogue-3"),
            connections=32,
            organisations=(),
            mix=(
                MixEntry("catalogue", Operation.READ_TOLERANT, 0.43, 5000),
                MixEntry("lesson", Operation.READ_OWN, 0.20),
                MixEntry("schedule", Operation.READ_SHARED, 0.09),
                MixEntry("edit", Operation.EDIT, 0.12),
                MixEntry("notice", Operation.EDIT_SHARED, 0.01),
                MixEntry("order", Operation.ORDER, 0.06),
                MixEntry("order", Operation.KEYED_ORDER, 0.08),
                MixEntry("kit", Operation.PAIR, 0.01),
            ),
            weights_by_kind={
                "order": 4.0,
                "kit": 4.0,
                "edit": 3.0,
                "notice": 3.0,
                "lesson": 2.0,
                "schedule": 2.0,
                "catalogue": 1.0,
                "print-run": 1.0,
            },
        ),
        (
            "archdiocese-lima",
            "diocese-cusco",
            "diocese-puno",
            "diocese-cajamarca",
            "vicariate-iquitos",
            "diocese-tacna",
            "prelature-yauyos",
            "chapel-ollantaytambo",
        ),
    )
)

SITES.register("yuelan")(
    _with_organisations(
        Site(
            name="yuelan",
            data_centres=("north-1", "north-2", "north-3", "north-4"),
            data_centre_delay_ms=1.5,
            client_delay_ms=1.0,
            groups=("schedule-1", "schedule-2", "schedule-3"),
            connections=50,
            organisations=(),
            mix=(
                MixEntry("schedule", Operation.READ_TOLERANT, 0.40, 2000),
                MixEntry("stock", Operation.READ_TOLERANT, 0.14, 1000),
                MixEntry("member", Operation.READ_OWN, 0.14),
                MixEntry("circle", Operation.READ_SHARED, 0.04),
                MixEntry("chapter", Operation.EDIT, 0.11),
                MixEntry("confirmation", Operation.EDIT_SHARED, 0.02),
                MixEntry("enrolment", Operation.ORDER, 0.06),
                MixEntry("reservation", Operation.KEYED_ORDER, 0.08),
                MixEntry("seat", Operation.PAIR, 0.01),
            ),
            weights_by_kind={},
        ),
        (
            "circles-taipei",
            "circles-taoyuan",
            "bookshops-north",
            "circles-hsinchu",
            "member-app",
            "circles-keelung",
            "bookshop-daan",
            "circle-yilan",
        ),
    )
)
