"""Scenarios with unusual load, slow targets or lagging replicas."""

from redwingpost.bench.history import Operation
from redwingpost.bench.scenario import (
    NORMAL_LOAD_SHARE,
    SCENARIOS,
    Scenario,
    ScenarioContext,
)
from redwingpost.bench.schedule import Stream, site_streams
from redwingpost.bench.sites import MixEntry, Site
from redwingpost.bench.statements import JOB_S

#: Index of the organisation that exceeds its rate or sends long jobs; it
#: is neither the largest nor the smallest.
_BUSY_INDEX = 4

#: Load of the hot organisation, as a multiple of its rate.
HOT_FACTOR = 10.0

#: Seconds during which an organisation sends its whole burst.
_BURST_LENGTH_S = 0.1

#: Share of the slots that long jobs need.
_JOBS_SHARE = 0.25

#: Load on the overloaded group, as a multiple of its capacity.
OVERLOAD_FACTOR = 2.0


@SCENARIOS.register("steady")
class Steady(Scenario):
    """Normal load without faults."""

    summary = "the site's mix at half of the granted rates"


@SCENARIOS.register("burst")
class Burst(Scenario):
    """All organisations send their whole bursts at the same times."""

    summary = "all organisations send a whole burst at once, three times"
    _base_share = 0.25
    _burst_at = (3.0, 7.0, 11.0)

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return a low load plus three bursts."""
        streams = list(site_streams(site, self._base_share, self.load_s))
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
        """Return normal load with one organisation far above its rate."""
        hot = site.organisations[_BUSY_INDEX]
        return tuple(
            (
                stream._replace(
                    rate=HOT_FACTOR * hot.rate, start_s=2.0, vms=("vm-1",)
                )
                if stream.organisation == hot.name
                else stream
            )
            for stream in site_streams(site, NORMAL_LOAD_SHARE, self.load_s)
        )


@SCENARIOS.register("slow-target")
class SlowTarget(Scenario):
    """A replica of one group is 20 times slower for 5 s."""

    summary = "one replica becomes 20 times slower for 5 s"

    async def run_events(self, context: ScenarioContext) -> None:
        """Slow one replica down, then restore its speed."""
        group = context.choose_group()
        replica = context.fleet.layout.members_by_group[group][1]
        await context.wait_until(5.0)
        await context.fleet.member_fault(replica, "slow", factor=20.0)
        await context.wait_until(10.0)
        await context.fleet.member_fault(replica, "slow", factor=1.0)


@SCENARIOS.register("long-jobs")
class LongJobs(Scenario):
    """Long jobs occupy slots among short requests."""

    summary = f"jobs of {JOB_S} s need a quarter of the slots"

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return normal load plus a stream of long jobs."""
        jobs = MixEntry("print-run", Operation.JOB, 1.0)
        slots = _JOBS_SHARE * site.slots
        return (
            *site_streams(site, NORMAL_LOAD_SHARE, self.load_s),
            Stream(
                organisation=site.organisations[_BUSY_INDEX].name,
                rate=slots / JOB_S,
                start_s=3.0,
                end_s=self.load_s - 2.0,
                mix=(jobs,),
                groups=site.groups,
            ),
        )


@SCENARIOS.register("overload")
class Overload(Scenario):
    """All organisations use one group, at twice its capacity."""

    summary = "demand of twice one group's capacity, within the rates"

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return a load on the first group only."""
        rates = sum(o.rate for o in site.organisations)
        share = OVERLOAD_FACTOR * site.group_capacity / rates
        groups = site.groups[:1]
        return tuple(
            stream._replace(groups=groups)
            for stream in site_streams(site, share, self.load_s)
        )


@SCENARIOS.register("replica-lag")
class ReplicaLag(Scenario):
    """All replicas lag by 100 ms, then one of each group by a minute."""

    summary = "replicas lag 100 ms, then one per group falls far behind"
    _lag_ms = 100.0
    _far_behind_ms = 60_000.0

    async def run_events(self, context: ScenarioContext) -> None:
        """Delay all replicas, then one replica of each group by a minute."""
        groups = context.fleet.layout.members_by_group.values()
        for members in groups:
            for replica in members[1:]:
                await context.fleet.member_fault(
                    replica, "lag", ms=self._lag_ms
                )
        await context.wait_until(9.0)
        for members in groups:
            await context.fleet.member_fault(
                members[2], "lag", ms=self._far_behind_ms
            )
