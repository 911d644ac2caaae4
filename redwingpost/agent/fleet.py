"""The agent's part in the fleet: heartbeats, news, the relay's role."""

from asyncio import gather
from typing import Any

from loguru import logger
from mode import Service
from prometheus_client import Gauge

from redwingpost.agent.context import AGENT_PARTS, AgentContext
from redwingpost.agent.exchange import Exchanger
from redwingpost.agent.interfaces import FleetServer, LocalServer
from redwingpost.agent.store_watch import StoreWatch
from redwingpost.membership.dissemination import NewsOrigin
from redwingpost.membership.relays import relay_of
from redwingpost.membership.suspicion import BeatSchedule, mark_silent_members

#: Seconds between two looks at what is due at the store.
STORE_STEP_S = 0.5

#: A relay that was in touch within this part of an interval needn't be
#: called: of two relays one call a beat brings both level. The second in
#: order of name calls only where the first has missed a beat, or both
#: would call at the same moments for as long as they keep time.
FIRST_RECENT_SHARE = 0.75
SECOND_RECENT_SHARE = 1.75

#: Relays of other data centres that a relay exchanges with each beat. At
#: four data centres that is all of them, at 14 each in five beats.
RELAYS_PER_BEAT = 3

#: A gap between two of its own beats beyond this many intervals means
#: that this process itself was paused.
PAUSED_BEATS = 2.0


@AGENT_PARTS.register("fleet")
class FleetPart(Service):
    """Beats, spreads news, relays when it holds the role.

    Parameters
    ----------
    context : AgentContext
        What the agent's parts share.
    """

    def __init__(self, context: AgentContext, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._context = context
        self._state = context.state
        self.exchanger = Exchanger(context)
        self.store = StoreWatch(context, self.exchanger)
        self._turn = 0
        #: False lets a test end the agent as a crash would.
        self.say_goodbye = True
        self._beat_at = context.clock.now()
        self._judging_since = context.clock.now()
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
        """Learn of the fleet before serving anyone."""
        await self.store.start()

    async def on_stop(self) -> None:
        """Say goodbye, so that nobody waits for this VM."""
        if not self.say_goodbye:
            return
        self._state.stopping = True
        self._state.beat_again()
        await self.store.give_up()
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
        self._notice_own_pause()
        self._state.beat_again()
        partners = self._partners()
        await gather(*(self.exchanger.exchange(vm) for vm in partners))
        self._state.members.drop_gone_members(self._context.clock.now())
        if self._state.is_relay:
            self._judge()
        else:
            self._judging_since = self._context.clock.now()

    def _notice_own_pause(self) -> None:
        """After a pause every other VM looks silent; start over."""
        now = self._context.clock.now()
        gap_s = now - self._beat_at
        self._beat_at = now
        if gap_s > PAUSED_BEATS * self._schedule().beat_s:
            self._judging_since = now

    def _partners(self) -> list[str]:
        """Return whom to exchange with now."""
        elsewhere = self._relays_elsewhere()
        if self._state.is_relay:
            return self._some(self._out_of_touch(elsewhere))
        avoid = self.exchanger.avoided() | {self._state.vm}
        relay = relay_of(self._state.data_centre, self._neighbours(), avoid)
        if relay:
            return [relay]
        return self._some(elsewhere)

    def _relays_elsewhere(self) -> list[str]:
        members, avoid = self._state.members, self.exchanger.avoided()
        others = sorted(members.data_centres() - {self._state.data_centre})
        relays = (
            relay_of(other, members.of_data_centre(other), avoid)
            or relay_of(other, members.of_data_centre(other))
            for other in others
        )
        return [relay for relay in relays if relay]

    def _out_of_touch(self, vms: list[str]) -> list[str]:
        return [vm for vm in vms if self._is_out_of_touch(vm)]

    def _is_out_of_touch(self, vm: str) -> bool:
        at = self.exchanger.exchanged_at_by_vm.get(vm, float("-inf"))
        first = self._state.vm < vm
        share = FIRST_RECENT_SHARE if first else SECOND_RECENT_SHARE
        age_s = self._context.clock.now() - at
        return age_s > share * self._schedule().beat_s

    def _some(self, relays: list[str]) -> list[str]:
        if not relays:
            return []
        start = self._turn % len(relays)
        self._turn += RELAYS_PER_BEAT
        count = min(RELAYS_PER_BEAT, len(relays))
        return (relays + relays)[start : start + count]

    def _judge(self) -> None:
        """Mark VMs of this data centre gone that nobody hears."""
        now, schedule = self._context.clock.now(), self._schedule()
        if now - self._judging_since < schedule.gone_after_s:
            return
        gone = mark_silent_members(
            self._neighbours(), self._state.vm, schedule, now
        )
        for beat in gone:
            logger.warning("{} is silent and counts as gone", beat.vm)
            self._state.mark_gone(beat)
        if gone:
            self.exchanger.spread(NewsOrigin.LOCAL)
