"""When which organisation wants to send what: the open-loop schedule.

Callers don't wait for one another, so neither does the load generator:
the times are drawn ahead of the run, from the seed alone. Without that
a slow system would be asked less, and look better than it is.
"""

from random import Random
from typing import NamedTuple

from redwingpost.bench.sites import MixEntry, Site

#: Name of the key that an organisation's callers present.
CURRENT = "current"

#: Name of the key that a scenario withdraws.
FORMER = "former"


class Stream(NamedTuple):
    """Poisson arrivals of one organisation over a stretch of the run.

    ``rate`` is requests per second; an empty ``vms`` stands for all.
    ``credential`` names which of its keys the organisation presents.
    """

    organisation: str
    rate: float
    start_s: float
    end_s: float
    mix: tuple[MixEntry, ...]
    groups: tuple[str, ...]
    vms: tuple[str, ...] = ()
    credential: str = CURRENT


class Arrival(NamedTuple):
    """One request to send, ``due_s`` after the start of the load."""

    due_s: float
    request: str
    organisation: str
    entry: MixEntry
    group: str
    vms: tuple[str, ...]
    credential: str


def draw_arrivals(streams: tuple[Stream, ...], seed: int) -> list[Arrival]:
    """Draw the whole schedule of a run.

    Parameters
    ----------
    streams : tuple of Stream
        Streams of one organisation may overlap; they add up.
    seed : int
        The same streams and seed give the same schedule.

    Returns
    -------
    list of Arrival
        In order of time, each with a name of its own.
    """
    arrivals = []
    for number, stream in enumerate(streams):
        random = Random(f"{seed}/{number}/{stream.organisation}")
        arrivals.extend(_draw_stream(stream, random, f"{seed}-{number}"))
    return sorted(arrivals)


def _draw_stream(stream: Stream, random: Random, prefix: str) -> list[Arrival]:
    arrivals = []
    weights = [entry.share for entry in stream.mix]
    due_s = stream.start_s
    while stream.rate > 0.0:
        due_s += random.expovariate(stream.rate)
        if due_s >= stream.end_s:
            break
        (entry,) = random.choices(stream.mix, weights)
        arrivals.append(
            Arrival(
                due_s=due_s,
                request=f"r{prefix}-{len(arrivals)}",
                organisation=stream.organisation,
                entry=entry,
                group=random.choice(stream.groups),
                vms=stream.vms,
                credential=stream.credential,
            )
        )
    return arrivals


def site_streams(
    site: Site,
    share: float,
    end_s: float,
    start_s: float = 0.0,
) -> tuple[Stream, ...]:
    """Return one stream per organisation at a share of its rate.

    Examples
    --------
    >>> from redwingpost.bench.sites import SITES
    >>> streams = site_streams(SITES.get("yuelan"), 0.5, 10.0)
    >>> len(streams), streams[0].vms
    (8, ())
    """
    return tuple(
        Stream(
            organisation=organisation.name,
            rate=share * organisation.rate,
            start_s=start_s,
            end_s=end_s,
            mix=site.mix,
            groups=site.groups,
        )
        for organisation in site.organisations
    )
