"""Keep this VM's base parts of all rates: claim, vouch, hand over.

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

#: Seconds between two looks: the proxy's last word is renewed eight
#: times within its validity.
TICK_S = 0.5

#: Seconds between reads of the row for each VM of the fleet, and the
#: shortest: twenty reads a second in all, whatever the fleet's size.
READ_S_PER_VM = 0.05
SHORTEST_READ_S = 1.0

#: Seconds between reads of the platform's list by a relay.
LIST_S = 2.0

#: Seconds without its proxy after which an agent gives its part away:
#: one more than an agent that is merely restarted needs to see it.
PROXY_GONE_S = 2.0

_TABLE, _KEY = "rosters", "shares"


@AGENT_PARTS.register("shares")
class SharesPart(Service):
    """Vouches to the VM's proxy for its base parts.

    Parameters
    ----------
    context : AgentContext
        What the agent's parts share.
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
        self._try_after = 0.0
        self._last_tick_at = now
        self._woke_at = now
        self._lowered_to: int | None = None
        self._lowered_at = 0.0
        self._listed_at = float("-inf")
        self._missing_since_by_vm: dict[str, float] = {}
        self._proxy_seen_at = now
        self._random = Random(f"{self._state.vm}/{self._state.incarnation}")

    @Service.task
    async def _watch_forever(self) -> None:
        while not self.should_stop:
            self.watch()
            await self.sleep(TICK_S)

    @Service.task
    async def _work_forever(self) -> None:
        while not self.should_stop:
            await self.work()
            await self.sleep(TICK_S)

    def watch(self) -> None:
        """Notice a pause of this VM, and vouch.

        This never waits for the store. In one loop with the store's
        calls, a call that timed out after two seconds looked like a
        pause: every VM of the fleet gave up its part in an outage, and
        two thirds of all requests were refused.
        """
        now = self._context.clock.now()
        if now - self._last_tick_at > MAX_TICK_GAP_S:
            # Another VM may hold this part since the pause began.
            self._read_at = float("-inf")
            self._woke_at = now
        self._last_tick_at = now
        self._vouch()

    async def work(self) -> None:
        """Do whatever is due at the store."""
        if self._read_is_due(self._context.clock.now()):
            await self._read()
        if self._is_known:
            await self._claim()
            await self._keep_equal()
            if self._state.is_relay:
                await self._remove_gone()

    @property
    def _is_known(self) -> bool:
        return self._read_at > float("-inf")

    def _read_is_due(self, now: float) -> bool:
        if now < self._try_after:
            return False
        vms = len(self._roster)
        every_s = max(SHORTEST_READ_S, READ_S_PER_VM * vms)
        return now - self._read_at >= every_s

    async def _read(self) -> None:
        asked_at = self._context.clock.now()
        answer = await self._context.tables.read(_TABLE, _KEY)
        if answer.is_error():
            pause_s = self._random.uniform(0.5, 1.5) * SHORTEST_READ_S
            self._try_after = asked_at + pause_s
            return
        row = answer.ok
        if asked_at < self._woke_at:
            # Asked before a pause, the answer may be older than it.
            return
        self._roster = parse(row.value if row else None)
        self._version = row.version if row else 0
        self._read_at = asked_at

    async def _claim(self) -> None:
        """Take over what the row holds for this VM, or join it."""
        vm, incarnation = self._state.vm, self._state.incarnation
        held = self._roster.get(vm)
        if held is not None and held.incarnation >= incarnation:
            return
        roster = self._roster or await self._found()
        await self._write(claim(roster, vm, incarnation))

    async def _found(self) -> Roster:
        listed = await self._context.vm_list.vms()
        vms = [] if listed.is_error() else listed.ok
        names = {entry.vm for entry in vms if entry.state == "live"}
        return initial_roster(sorted(names | {self._state.vm}))

    async def _keep_equal(self) -> None:
        """Hand over what is beyond the equal part, or all when leaving."""
        vm, now = self._state.vm, self._context.clock.now()
        held = self._roster.get(vm)
        if held is None or held.incarnation != self._state.incarnation:
            return
        more = (
            held.parts
            if self._is_leaving(now)
            else excess_parts(self._roster, vm)
        )
        if more == 0 or len(self._roster) == 1:
            self._lowered_to = None
            return
        target = held.parts - more
        if self._lowered_to != target:
            self._lowered_to, self._lowered_at = target, now
        elif now - self._lowered_at >= HAND_OVER_S:
            await self._write(hand_over(self._roster, vm, more))

    def _is_leaving(self, now: float) -> bool:
        if self._state.proxy_attached:
            self._proxy_seen_at = now
        state = self._state
        without_proxy = now - self._proxy_seen_at > PROXY_GONE_S
        return state.draining or state.stopping or without_proxy

    async def _remove_gone(self) -> None:
        """Grant anew the parts of VMs that the platform has dropped."""
        now = self._context.clock.now()
        if now - self._listed_at < LIST_S:
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
            logger.info("the platform dropped {}: its part moves on", vm)
            await self._write(remove(self._roster, vm))

    async def _write(self, roster: Roster) -> None:
        """Write the row if nobody else has; read it anew otherwise."""
        asked_at = self._context.clock.now()
        answer = await self._context.tables.transact(
            (Condition(_TABLE, _KEY, self._version),),
            (Write(_TABLE, _KEY, render(roster)),),
        )
        now = self._context.clock.now()
        is_current = asked_at >= self._woke_at
        if answer.is_ok() and answer.ok.committed and is_current:
            self._roster, self._version = roster, answer.ok.versions[0]
            self._read_at = asked_at
            return
        # A lost answer may have taken effect: only a read tells.
        self._read_at = float("-inf")
        self._try_after = now + self._random.uniform(0.0, 0.2)

    def _vouch(self) -> None:
        now = self._context.clock.now()
        parts = confirmed_parts(
            self._roster,
            self._state.vm,
            self._state.incarnation,
            self._read_at,
            self._last_tick_at,
            now,
        )
        if self._lowered_to is not None:
            parts = min(parts, self._lowered_to)
        share = BaseShare("", parts, self._version, now + BASE_VALID_S)
        self._state.set_shares((share,))
