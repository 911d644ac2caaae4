"""The agent's fleet part: heartbeats, dissemination and the relay role."""

from asyncio import gather
from typing import Any

from loguru import logger
from mode import Service
from prometheus_client import Gauge

from redwingpost.agent.context import AGENT_PARTS, AgentContext
from redwingpost.agent.exchange import Exchanger
from redwingpost.agent.interfaces import FleetServer, LocalServer
from redwingpost.agent.store_watch import StoreWatch
from redwingpost.membership.dissemination import ChangeOrigin
from redwingpost.membership.relays import relay_of
from redwingpost.membership.suspicion import BeatSchedule, mark_silent_members

#: Seconds between two checks of what is due at the store.
STORE_STEP_S = 0.5

#: Heartbeat intervals after which a relay calls another one again. One
#: exchange per interval synchronises both relays of a pair, so only one
#: of them needs to call. The second in order of name calls only if the
#: first has missed an interval; with equal limits both would call at the
#: same moments for as long as their timers run in step.
FIRST_RECENT_BEATS = 0.75
SECOND_RECENT_BEATS = 1.75

#: Relays of other data centres that a relay exchanges with per heartbeat
#: interval. At four data centres that is all of them; at 14 each has its
#: turn within five intervals.
RELAYS_PER_BEAT = 3

#: A gap between two own heartbeats of more than this many intervals means
#: that this process was paused.
PAUSED_BEATS = 2.0


@AGENT_PARTS.register("fleet")
class FleetPart(Service):
    """Sends heartbeats, disseminates news and performs the relay role.

    Parameters
    ----------
    context : AgentContext
        The agent's shared context.
    """

    def __init__(self, context: AgentContext, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._context = context
        self._state = context.state
        self.exchanger = Exchanger(context)
        self.store = StoreWatch(context, self.exchanger)
        self._relay_turn = 0
        #: False lets a test end the agent as a crash would.
        self.announce_leaving = True
        self._last_beat_at = context.clock.now()
        self._detecting_since = context.clock.now()
        context.interfaces.fleet = FleetServer(context, self.exchanger)
        context.interfaces.local = LocalServer(context)
        context.announce = self.exchanger.announce
        self._add_gauges(context)

    def _add_gauges(self, context: AgentContext) -> None:
        gauges = {
            "redwing_config_version": (
                "Configuration version held.",
                lambda: self._state.configuration.version,
            ),
            "redwing_withdrawals": (
                "Withdrawn keys known.",
                lambda: len(self._state.configuration.withdrawn),
            ),
            "redwing_members": (
                "VMs known and not gone.",
                lambda: sum(
                    not member.beat.gone
                    for member in self._state.members.by_vm.values()
                ),
            ),
            "redwing_is_relay": (
                "1 if this agent relays for its data centre.",
                lambda: int(self._state.is_relay),
            ),
        }
        for name, (text, read) in gauges.items():
            gauge = Gauge(name, text, registry=context.registry)
            gauge.set_function(read)

    async def on_start(self) -> None:
        """Read the list of VMs and the configuration before serving."""
        await self.store.start()

    async def on_stop(self) -> None:
        """Announce that this VM stops, so that others needn't detect it."""
        if not self.announce_leaving:
            return
        self._state.stopping = True
        self._state.renew_own_beat()
        await self.store.release_lease()
        await self._beat()

    @Service.task
    async def _beat_forever(self) -> None:
        while not self.should_stop:
            await self._beat()
            await self.sleep(self._schedule().beat_s)

    @Service.task
    async def _watch_store(self) -> None:
        while not self.should_stop:
            await self.store.step()
            await self.sleep(STORE_STEP_S)

    def _schedule(self) -> BeatSchedule:
        return BeatSchedule.for_size(len(self._neighbours()))

    def _neighbours(self) -> tuple:
        return self._state.members.of_data_centre(self._state.data_centre)

    async def _beat(self) -> None:
        self._detect_own_pause()
        self._state.renew_own_beat()
        partners = self._exchange_partners()
        await gather(*(self.exchanger.exchange(vm) for vm in partners))
        self._state.members.drop_gone_members(self._context.clock.now())
        if self._state.is_relay:
            self._mark_silent_vms()
        else:
            self._detecting_since = self._context.clock.now()

    def _detect_own_pause(self) -> None:
        """Restart failure detection if this process was paused.

        After a pause every other VM seems to have been silent.
        """
        now = self._context.clock.now()
        gap_s = now - self._last_beat_at
        self._last_beat_at = now
        if gap_s > PAUSED_BEATS * self._schedule().beat_s:
            self._detecting_since = now

    def _exchange_partners(self) -> list[str]:
        """Return the VMs to exchange with in this interval."""
        elsewhere = self._relays_elsewhere()
        if self._state.is_relay:
            return self._next_relays(self._without_recent_exchange(elsewhere))
        avoid = self.exchanger.recently_failed() | {self._state.vm}
        relay = relay_of(self._state.data_centre, self._neighbours(), avoid)
        if relay:
            return [relay]
        return self._next_relays(elsewhere)

    def _relays_elsewhere(self) -> list[str]:
        members, avoid = self._state.members, self.exchanger.recently_failed()
        others = sorted(members.data_centres() - {self._state.data_centre})
        relays = (
            relay_of(other, members.of_data_centre(other), avoid)
            or relay_of(other, members.of_data_centre(other))
            for other in others
        )
        return [relay for relay in relays if relay]

    def _without_recent_exchange(self, vms: list[str]) -> list[str]:
        return [vm for vm in vms if self._lacks_recent_exchange(vm)]

    def _lacks_recent_exchange(self, vm: str) -> bool:
        at = self.exchanger.exchanged_at_by_vm.get(vm, float("-inf"))
        is_first = self._state.vm < vm
        limit_beats = FIRST_RECENT_BEATS if is_first else SECOND_RECENT_BEATS
        age_s = self._context.clock.now() - at
        return age_s > limit_beats * self._schedule().beat_s

    def _next_relays(self, relays: list[str]) -> list[str]:
        if not relays:
            return []
        start = self._relay_turn % len(relays)
        self._relay_turn += RELAYS_PER_BEAT
        count = min(RELAYS_PER_BEAT, len(relays))
        return (relays + relays)[start : start + count]

    def _mark_silent_vms(self) -> None:
        """Mark silent VMs of this data centre as gone."""
        now, schedule = self._context.clock.now(), self._schedule()
        if now - self._detecting_since < schedule.gone_after_s:
            return
        gone = mark_silent_members(
            self._neighbours(), self._state.vm, schedule, now
        )
        for beat in gone:
            logger.warning("{} sent no heartbeat and is marked gone", beat.vm)
            self._state.mark_gone(beat)
        if gone:
            self.exchanger.spread(ChangeOrigin.LOCAL)
