"""Base class, run-time context and registry of scenarios."""

from asyncio import sleep
from random import Random
from time import monotonic
from typing import Any, NamedTuple

from redwingpost.bench.fleet import Fleet
from redwingpost.bench.history import AttemptResult
from redwingpost.bench.layout import GroupMember
from redwingpost.bench.load import LoadGenerator
from redwingpost.bench.operators import Operator
from redwingpost.bench.oracle import Violation
from redwingpost.bench.schedule import Stream, site_streams
from redwingpost.bench.sites import Site
from redwingpost.core import Registry

#: Share of the granted rates that normal load uses.
NORMAL_LOAD_SHARE = 0.5


class Loss(NamedTuple):
    """The group that lost its primary, and when."""

    group: str
    at: float


class ScenarioContext:
    """Controls and results of a scenario while the load runs.

    Parameters
    ----------
    fleet : Fleet
        The running programs.
    load : LoadGenerator
        The running load.
    seed : int
        Seed of the scenario's random choices.
    """

    def __init__(self, fleet: Fleet, load: LoadGenerator, seed: int) -> None:
        self.fleet = fleet
        self.load = load
        self.random = Random(f"stage/{seed}")
        self.loss: Loss | None = None
        self.config_in_force_s: float | None = None
        self.withdrawn_at: dict[tuple[str, str], float] = {}
        self.unfinished_on_stop = 0
        self.violations: list[Violation] = []
        self._operators: list[Operator] = []
        self.notes: dict[str, Any] = {}

    @property
    def site(self) -> Site:
        """The site of the run."""
        return self.fleet.site

    async def wait_until(self, load_s: float) -> None:
        """Wait until ``load_s`` seconds after the load began."""
        left_s = self.load.started_at + load_s - monotonic()
        if left_s > 0.0:
            await sleep(left_s)

    def choose_group(self) -> str:
        """Return a random database group."""
        return self.random.choice(self.site.groups)

    async def find_primary(self, group: str) -> GroupMember:
        """Return the current primary; without one, the first term's."""
        primary = await self.fleet.current_primary(group)
        return primary or self.fleet.layout.primary(group)

    def record_primary_loss(self, group: str) -> None:
        """Record that a group's primary is lost from now on."""
        self.loss = Loss(group, monotonic())

    def operator(self, name: str) -> Operator:
        """Return a new operator of the run."""
        operator = Operator(name, self.fleet.layout.platform_url)
        self._operators.append(operator)
        return operator

    async def close(self) -> None:
        """Close the connections of all operators."""
        for operator in self._operators:
            await operator.close()

    async def stop_vm(self, vm: str) -> None:
        """Stop a VM as planned and add to ``unfinished_on_stop``.

        It counts requests whose connection was lost before an answer,
        and processes that did not exit with code 0.
        """
        stop_began_at = monotonic()
        running = self.fleet.children.names()
        for name in (f"proxy {vm}", f"agent {vm}"):
            if name in running:
                status = await self.fleet.children.end(name, planned=True)
                self.unfinished_on_stop += status.code != 0
        self.unfinished_on_stop += sum(
            attempt.proxy == vm
            and attempt.verdict is AttemptResult.LOST
            and attempt.received_at >= stop_began_at
            for attempt in self.load.attempts
        )


class Scenario:
    """The load of a run and the events during it.

    Subclasses override `streams` and `run_events`. ``load_s`` is the
    length of the load in seconds; with start and stop a run has to take
    less than 40 s.
    """

    summary = ""
    load_s = 15.0

    def streams(self, site: Site) -> tuple[Stream, ...]:
        """Return the load; by default the site's mix at normal load."""
        return site_streams(site, NORMAL_LOAD_SHARE, self.load_s)

    async def run_events(self, context: ScenarioContext) -> None:
        """Inject faults or make changes; by default nothing."""


SCENARIOS: Registry[type[Scenario]] = Registry("scenario")
