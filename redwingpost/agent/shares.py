"""Maintain this VM's base share of all rates: claim, publish, hand over.

The decisions are in `redwingpost.rates.roster`.
"""

from random import Random
from typing import Any

from loguru import logger
from mode import Service

from redwingpost.agent.context import AGENT_PARTS, AgentContext
from redwingpost.agent.state import BaseShare
from redwingpost.ports import Condition, Write
from redwingpost.rates.roster import (
    BASE_VALID_S,
    HAND_OVER_S,
    MAX_TICK_GAP_S,
    Roster,
    claim,
    confirmed_parts,
    excess_parts,
    gone_vms,
    hand_over,
    initial_roster,
    parse,
    remove,
    render,
)

#: Seconds between two ticks: the proxy's share is renewed eight times
#: within its validity.
TICK_S = 0.5

#: Interval between reads of the row, per VM of the fleet, and its minimum
#: (seconds): twenty reads per second in total, whatever the fleet's size.
READ_INTERVAL_PER_VM_S = 0.05
MIN_READ_INTERVAL_S = 1.0

#: Seconds between reads of the platform's list by a relay.
LIST_INTERVAL_S = 2.0

#: Seconds without its proxy after which an agent hands its share over:
#: one more than a restarted agent needs until the proxy polls it again.
PROXY_GONE_S = 2.0

_TABLE, _KEY = "rosters", "shares"


@AGENT_PARTS.register("shares")
class SharesPart(Service):
    """Publishes the VM's base share to its proxy and maintains the roster.

    Parameters
    ----------
    context : AgentContext
        The agent's shared context.
    """

    def __init__(self, context: AgentContext, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._context = context
        self._state = context.state
        self._roster: Roster = {}
        self._version = 0
        now = context.clock.now()
        self._started_at = now
        self._read_at = float("-inf")
        self._retry_at = 0.0
        self._last_tick_at = now
        self._resumed_at = now
        self._reduced_to: int | None = None
        self._reduced_at = 0.0
        self._listed_at = float("-inf")
        self._missing_since_by_vm: dict[str, float] = {}
        self._proxy_seen_at = now
        self._random = Random(f"{self._state.vm}/{self._state.incarnation}")

    @Service.task
    async def _publish_forever(self) -> None:
        while not self.should_stop:
            self.tick()
            await self.sleep(TICK_S)

    @Service.task
    async def _update_forever(self) -> None:
        while not self.should_stop:
            await self.update_roster()
            await self.sleep(TICK_S)

    def tick(self) -> None:
        """Detect a pause of this VM and publish its share.

        This never waits for the store. In one loop with the store's
        calls, a call that times out after two seconds looks like a pause:
        in an outage every VM of the fleet would give up its share, and
        two thirds of all requests would be refused.
        """
        now = self._context.clock.now()
        if now - self._last_tick_at > MAX_TICK_GAP_S:
            # Another VM may have taken this share over during the pause.
            self._read_at = float("-inf")
            self._resumed_at = now
        self._last_tick_at = now
        self._publish_share()

    async def update_roster(self) -> None:
        """Read and write the roster at the store as far as it is due."""
        if self._read_is_due(self._context.clock.now()):
            await self._read()
        if self._has_read_roster:
            await self._claim()
            await self._hand_over_excess()
            if self._state.is_relay:
                await self._remove_gone()

    @property
    def _has_read_roster(self) -> bool:
        return self._read_at > float("-inf")

    def _read_is_due(self, now: float) -> bool:
        if now < self._retry_at:
            return False
        vms = len(self._roster)
        every_s = max(MIN_READ_INTERVAL_S, READ_INTERVAL_PER_VM_S * vms)
        return now - self._read_at >= every_s

    async def _read(self) -> None:
        requested_at = self._context.clock.now()
        answer = await self._context.tables.read(_TABLE, _KEY)
        if answer.is_error():
            pause_s = self._random.uniform(0.5, 1.5) * MIN_READ_INTERVAL_S
            self._retry_at = requested_at + pause_s
            return
        row = answer.ok
        if requested_at < self._resumed_at:
            # The request was sent before a pause: the answer may be older.
            return
        self._roster = parse(row.value if row else None)
        self._version = row.version if row else 0
        self._read_at = requested_at

    async def _claim(self) -> None:
        """Claim this VM's share in the roster, or add the VM to it."""
        vm, incarnation = self._state.vm, self._state.incarnation
        held = self._roster.get(vm)
        if held is not None and held.incarnation >= incarnation:
            return
        roster = self._roster or await self._make_initial_roster()
        await self._write(claim(roster, vm, incarnation))

    async def _make_initial_roster(self) -> Roster:
        listed = await self._context.vm_list.vms()
        vms = [] if listed.is_error() else listed.ok
        names = {entry.vm for entry in vms if entry.state == "live"}
        return initial_roster(sorted(names | {self._state.vm}))

    async def _hand_over_excess(self) -> None:
        """Hand over the excess above an equal share, or all when leaving."""
        vm, now = self._state.vm, self._context.clock.now()
        held = self._roster.get(vm)
        if held is None or held.incarnation != self._state.incarnation:
            return
        excess = (
            held.parts
            if self._is_leaving(now)
            else excess_parts(self._roster, vm)
        )
        if excess == 0 or len(self._roster) == 1:
            self._reduced_to = None
            return
        reduced = held.parts - excess
        if self._reduced_to != reduced:
            self._reduced_to, self._reduced_at = reduced, now
        elif now - self._reduced_at >= HAND_OVER_S:
            await self._write(hand_over(self._roster, vm, excess))

    def _is_leaving(self, now: float) -> bool:
        if self._state.proxy_attached:
            self._proxy_seen_at = now
        state = self._state
        without_proxy = now - self._proxy_seen_at > PROXY_GONE_S
        return state.draining or state.stopping or without_proxy

    async def _remove_gone(self) -> None:
        """Redistribute the shares of VMs that left the platform's list."""
        now = self._context.clock.now()
        if now - self._listed_at < LIST_INTERVAL_S:
            return
        listed = await self._context.vm_list.vms()
        if listed.is_error():
            return
        self._listed_at = now
        present = {entry.vm for entry in listed.ok}
        since = self._missing_since_by_vm
        self._missing_since_by_vm = {
            vm: since.get(vm, now) for vm in self._roster if vm not in present
        }
        for vm in gone_vms(self._roster, self._missing_since_by_vm, now):
            logger.info("{} left the list of VMs: its share is freed", vm)
            await self._write(remove(self._roster, vm))

    async def _write(self, roster: Roster) -> None:
        """Write the row if it is unchanged; otherwise read it again."""
        requested_at = self._context.clock.now()
        answer = await self._context.tables.transact(
            (Condition(_TABLE, _KEY, self._version),),
            (Write(_TABLE, _KEY, render(roster)),),
        )
        now = self._context.clock.now()
        is_current = requested_at >= self._resumed_at
        if answer.is_ok() and answer.ok.committed and is_current:
            self._roster, self._version = roster, answer.ok.versions[0]
            self._read_at = requested_at
            return
        # A write whose answer was lost may have taken effect, which only
        # a read shows.
        self._read_at = float("-inf")
        self._retry_at = now + self._random.uniform(0.0, 0.2)

    def _publish_share(self) -> None:
        now = self._context.clock.now()
        parts = confirmed_parts(
            self._roster,
            self._state.vm,
            self._state.incarnation,
            self._read_at,
            self._last_tick_at,
            now,
        )
        if self._reduced_to is not None:
            parts = min(parts, self._reduced_to)
        share = BaseShare("", parts, self._version, now + BASE_VALID_S)
        self._state.set_shares((share,))
