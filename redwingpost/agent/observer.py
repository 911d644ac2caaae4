"""Probe the groups that this VM observes, and report to other observers."""

from typing import Any

from mode import Service
from prometheus_client import Gauge

from redwingpost.adapters.mysql_target import MySQLTargetDialler
from redwingpost.agent.context import AGENT_PARTS, AgentContext
from redwingpost.agent.probe import MemberProbe
from redwingpost.agent.promoter import Promoter
from redwingpost.configuration.model import Group
from redwingpost.core import MemberAddress, VmAddress
from redwingpost.ports import MemberStatus
from redwingpost.promotion import (
    PROBE_INTERVAL_S,
    Report,
    choose_observers,
)
from redwingpost.wire.schema import SCHEMA
from redwingpost.wire.codec import MAX_AGE_MS, decode_views, to_age_ms


class GroupWatch:
    """One observed group: its probes and its other observers."""

    def __init__(self, group: str) -> None:
        self.group = group
        self.observers: tuple[VmAddress, ...] = ()
        self.probes_by_member: dict[str, MemberProbe] = {}
        self.leaving: frozenset[str] = frozenset()

    @property
    def members(self) -> tuple[str, ...]:
        """Return the names of the group's members."""
        return tuple(self.probes_by_member)

    def address(self, member: str) -> MemberAddress:
        """Return a member's address."""
        return self.probes_by_member[member].address

    def statuses(self, within_s: float) -> tuple[MemberStatus, ...]:
        """Return statuses of members that answered within ``within_s``."""
        return tuple(
            probe.status
            for probe in self.probes_by_member.values()
            if probe.status is not None and probe.silent_s() < within_s
        )

    def report(self, vm: str, data_centre: str) -> Report:
        """Return this observer's own report."""
        observations = tuple(
            probe.observation() for probe in self.probes_by_member.values()
        )
        return Report(vm, data_centre, observations)


class WatchServer(SCHEMA.Watch.Server):
    """Serves other observers."""

    def __init__(self, observer: "ObserverPart") -> None:
        self._observer = observer

    async def observations(
        self, group: str, _context: Any, **kwargs: Any
    ) -> None:
        """Return this VM's observations of a group's members."""
        results = _context.results
        results.vm = self._observer.vm
        results.dataCentre = self._observer.data_centre
        watch = self._observer.watches_by_group.get(group)
        if watch is None:
            return
        report = watch.report(self._observer.vm, self._observer.data_centre)
        results.seen = [
            {
                "member": observation.member,
                "silentMs": to_age_ms(observation.silent_s),
                "term": observation.term,
                "role": "primary" if observation.leads else "replica",
                "ageMs": min(MAX_AGE_MS, to_age_ms(observation.age_s)),
            }
            for observation in report.observations
        ]

    async def announce(self, views: Any, _context: Any, **kwargs: Any) -> None:
        """Merge views of groups."""
        self._observer.context.state.observe_views(decode_views(views))


@AGENT_PARTS.register("observer")
class ObserverPart(Service):
    """Probes the members of the groups that this VM observes.

    Parameters
    ----------
    context : AgentContext
        The agent's shared context.
    """

    def __init__(self, context: AgentContext, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.context = context
        self.vm = context.settings.vm.name
        self.data_centre = context.settings.vm.data_centre
        self.watches_by_group: dict[str, GroupWatch] = {}
        targets = context.settings.targets
        self._dialler = MySQLTargetDialler(targets.user, targets.password)
        self._observers_chosen_for: tuple = ()
        self.promoter = Promoter(context, self.watches_by_group)
        context.interfaces.watch = WatchServer(self)
        gauge = Gauge(
            "redwing_observed_groups",
            "Groups whose members this agent probes.",
            registry=context.registry,
        )
        gauge.set_function(lambda: len(self.watches_by_group))

    async def on_stop(self) -> None:
        """Cancel the promotions and probes."""
        await self.promoter.close()
        for watch in self.watches_by_group.values():
            for probe in watch.probes_by_member.values():
                await probe.close()

    @Service.task
    async def _keep_probing(self) -> None:
        while not self.should_stop:
            await self._refresh()
            for watch in self.watches_by_group.values():
                for probe in watch.probes_by_member.values():
                    probe.tick()
                self.promoter.evaluate(watch)
            await self.sleep(PROBE_INTERVAL_S)

    def _vms(self) -> list[VmAddress]:
        return [
            VmAddress(
                beat.vm,
                beat.data_centre,
                beat.ip,
                beat.agent_port,
                beat.proxy_port,
                beat.incarnation,
            )
            for member in self.context.state.members.by_vm.values()
            for beat in (member.beat,)
            if not beat.gone
        ]

    async def _refresh(self) -> None:
        """Adjust the watches to the configuration and the list of VMs.

        Observers are chosen for every group, observed here or not, so it
        is done only when something has changed.
        """
        configuration = self.context.state.configuration.configuration
        if configuration is None:
            return
        vms = self._vms()
        version = self.context.state.configuration.version
        names = tuple((vm.vm, vm.ip, vm.agent_port) for vm in vms)
        if self._observers_chosen_for == (version, names):
            return
        self._observers_chosen_for = (version, names)
        for name, group in configuration.groups_by_name.items():
            observers = choose_observers(name, vms)
            if any(observer.vm == self.vm for observer in observers):
                watch = self.watches_by_group.setdefault(
                    name, GroupWatch(name)
                )
                watch.observers = observers
                watch.leaving = configuration.draining_members
                await self._update_probes(watch, group)
            else:
                await self._stop_watching(name)
        for name in set(self.watches_by_group) - set(
            configuration.groups_by_name
        ):
            await self._stop_watching(name)

    async def _update_probes(self, watch: GroupWatch, group: Group) -> None:
        probes = watch.probes_by_member
        for member, address in group.members_by_name.items():
            known = probes.get(member)
            if known is not None and known.address == address:
                continue
            if known is not None:
                await known.close()
            probes[member] = MemberProbe(
                address, self._dialler, self.context.clock
            )
        for member in set(probes) - set(group.members_by_name):
            await probes.pop(member).close()

    async def _stop_watching(self, group: str) -> None:
        watch = self.watches_by_group.pop(group, None)
        if watch is not None:
            for probe in watch.probes_by_member.values():
                await probe.close()
