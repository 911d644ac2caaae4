"""The open-loop schedule: due times and kinds of all requests.

Callers don't wait for one another, so the load generator doesn't wait
for answers either: the times are drawn before the run from the seed. In
a closed loop a slow system would receive fewer requests, and its
measured latency would be too low.
"""

from random import Random
from typing import NamedTuple

from redwingpost.bench.sites import MixEntry, Site

#: Name of the key that an organisation's callers use.
CURRENT_KEY = "current"

#: Name of the key that a scenario withdraws.
FORMER_KEY = "former"


class Stream(NamedTuple):
    """Poisson arrivals of one organisation during an interval.

    ``rate`` is in requests per second; an empty ``vms`` means all VMs.
    ``credential`` names the key that the callers use.
    """

    organisation: str
    rate: float
    start_s: float
    end_s: float
    mix: tuple[MixEntry, ...]
    groups: tuple[str, ...]
    vms: tuple[str, ...] = ()
    credential: str = CURRENT_KEY


class Arrival(NamedTuple):
    """One request, due ``due_s`` seconds after the start of the load."""

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
        Rates of overlapping streams of one organisation add up.
    seed : int
        The same streams and seed give the same schedule.

    Returns
    -------
    list of Arrival
        In order of time, each with a unique request name.
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
    """Return one stream for each organisation at a share of its rate.

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
