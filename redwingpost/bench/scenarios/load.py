"""Scenarios in which only the load or a target's speed is unusual."""

from redwingpost.bench.history import Operation
from redwingpost.bench.scenario import CALM_SHARE, SCENARIOS, Scenario, Stage
from redwingpost.bench.schedule import Stream, site_streams
from redwingpost.bench.sites import MixEntry, Site
from redwingpost.bench.statements import JOB_S

#: Place of the organisation that sends too much or asks for long jobs:
#: neither the largest nor the smallest.
_TALKATIVE = 4

#: How many times its rate a hot organisation sends.
HOT_FACTOR = 10.0

#: Seconds in which an organisation sends a whole burst.
_BURST_LENGTH_S = 0.1

#: Part of a group's capacity that long jobs ask for.
_JOBS_SHARE = 0.25

#: Demand of the overload, as a multiple of one group's capacity.
OVERLOAD_FACTOR = 2.0


@SCENARIOS.register("steady")
class Steady(Scenario):
    """The site on an ordinary day."""

    summary = "the site's mix at half of the granted rates"


@SCENARIOS.register("burst")
class Burst(Scenario):
    """Every organisation sends its whole burst at the same moments."""

    summary = "all organisations send a whole burst at once, three times"
    _calm = 0.25
    _burst_at = (3.0, 7.0, 11.0)

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return a calm load with three bursts on top."""
        streams = list(site_streams(site, self._calm, self.load_s))
        for start_s in self._burst_at:
            for organisation in site.organisations:
                streams.append(
                    Stream(
                        organisation=organisation.name,
                        rate=organisation.burst / _BURST_LENGTH_S,
                        start_s=start_s,
                        end_s=start_s + _BURST_LENGTH_S,
                        mix=site.mix,
                        groups=site.groups,
                    )
                )
        return tuple(streams)


@SCENARIOS.register("hot-organisation")
class HotOrganisation(Scenario):
    """One organisation sends ten times its rate through one VM."""

    summary = "one organisation sends 10 times its rate, all to one VM"

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return the calm site with one organisation gone wild."""
        hot = site.organisations[_TALKATIVE]
        return tuple(
            (
                stream._replace(
                    rate=HOT_FACTOR * hot.rate, start_s=2.0, vms=("vm-1",)
                )
                if stream.organisation == hot.name
                else stream
            )
            for stream in site_streams(site, CALM_SHARE, self.load_s)
        )


@SCENARIOS.register("slow-target")
class SlowTarget(Scenario):
    """A replica of one group answers twenty times slower for a while."""

    summary = "one replica becomes 20 times slower for 5 s"

    async def disturb(self, stage: Stage) -> None:
        """Slow one replica down, then let it recover."""
        group = stage.choose_group()
        replica = stage.fleet.layout.members_by_group[group][1]
        await stage.until(5.0)
        await stage.fleet.member_fault(replica, "slow", factor=20.0)
        await stage.until(10.0)
        await stage.fleet.member_fault(replica, "slow", factor=1.0)


@SCENARIOS.register("long-jobs")
class LongJobs(Scenario):
    """Print runs that hold a slot for long, among short requests."""

    summary = f"jobs of {JOB_S} s ask for a quarter of the slots"

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return the calm site with a stream of long jobs."""
        jobs = MixEntry("print-run", Operation.JOB, 1.0)
        slots = _JOBS_SHARE * site.slots
        return (
            *site_streams(site, CALM_SHARE, self.load_s),
            Stream(
                organisation=site.organisations[_TALKATIVE].name,
                rate=slots / JOB_S,
                start_s=3.0,
                end_s=self.load_s - 2.0,
                mix=(jobs,),
                groups=site.groups,
            ),
        )


@SCENARIOS.register("overload")
class Overload(Scenario):
    """All organisations want one group, which serves half of it."""

    summary = "demand of twice one group's capacity, within the rates"

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return a load on the first group alone."""
        rates = sum(o.rate for o in site.organisations)
        share = OVERLOAD_FACTOR * site.group_capacity / rates
        groups = site.groups[:1]
        return tuple(
            stream._replace(groups=groups)
            for stream in site_streams(site, share, self.load_s)
        )


@SCENARIOS.register("replica-lag")
class ReplicaLag(Scenario):
    """Replicas lag 100 ms; later one of each group by a minute."""

    summary = "replicas lag 100 ms, then one per group falls far behind"
    _lag_ms = 100.0
    _far_behind_ms = 60_000.0

    async def disturb(self, stage: Stage) -> None:
        """Let all replicas lag, then one of each group hopelessly."""
        groups = stage.fleet.layout.members_by_group.values()
        for members in groups:
            for replica in members[1:]:
                await stage.fleet.member_fault(replica, "lag", ms=self._lag_ms)
        await stage.until(9.0)
        for members in groups:
            await stage.fleet.member_fault(
                members[2], "lag", ms=self._far_behind_ms
            )
