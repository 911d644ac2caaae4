"""Exchanges between two agents, and how news is spread by them.

One exchange brings both sides level: heartbeats and digests go both
ways, then the caller fetches what it lacks and hands over what the other
lacks. All calls go one way, so that it also works where only one side
can dial the other. Spreading news is an exchange with each agent that is
to be told; one that already knows costs a few hundred bytes.
"""

from asyncio import gather, sleep
from collections.abc import Iterable
from typing import Any

from loguru import logger
from prometheus_client import Counter

from redwingpost.adapters.peer import PeerAddress
from redwingpost.wire.codec import (
    MAX_AGE_MS,
    Digest,
    decode_beat,
    decode_digest,
    decode_version,
    decode_views,
    decode_withdrawals,
    encode_beat,
    encode_digest,
    encode_version,
    encode_views,
    encode_withdrawals,
    from_age_ms,
)
from redwingpost.agent.context import AgentContext
from redwingpost.configuration.state import OfferResult
from redwingpost.core import GroupView
from redwingpost.membership.beats import Beat, BeatSource
from redwingpost.membership.dissemination import (
    BeatCursors,
    NewsOrigin,
    select_recipients,
)

#: Seconds one call of an exchange may take. A cut link costs a beat no
#: more than this, and half a second is a hundred times the distance
#: between two data centres of one region.
CALL_S = 0.5

#: A whole configuration may take longer than a heartbeat (seconds).
BODY_CALL_S = 2.0

#: Pauses before news is repeated to a VM that didn't answer (seconds).
TELL_AGAIN_S = (0.5, 1.0, 2.0, 4.0, 8.0)

#: Seconds for which a peer that failed is avoided.
AVOID_S = 2.0

#: Relays of other data centres that a relay's answer to a neighbour
#: tells of: all of them at four data centres, in five answers at 14.
RELAYS_PER_ANSWER = 3

#: After so long a clock-given incarnation that is lower than one heard
#: of this VM's name means that the VM was replaced; before it, that its
#: clock was set back (seconds).
STARTING_S = 5.0


class Exchanger:
    """Exchanges of one agent.

    Parameters
    ----------
    context : AgentContext
        What the agent shares.
    """

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._state = context.state
        self._cursors = BeatCursors()
        self._failed_at_by_vm: dict[str, float] = {}
        self._differing: set[str] = set()
        self._relay_turn = 0
        #: When each VM last exchanged with this one, whoever called.
        self.exchanged_at_by_vm: dict[str, float] = {}
        self._started_at = context.clock.now()
        self.unreached_since: dict[str, float] = {}
        self.replaced = False
        self._exchanges = Counter(
            "redwing_exchanges",
            "Exchanges with other agents.",
            ["outcome"],
            registry=context.registry,
        )

    def avoided(self) -> frozenset[str]:
        """Return the VMs that could not be reached a moment ago."""
        now = self._context.clock.now()
        return frozenset(
            vm
            for vm, at in self._failed_at_by_vm.items()
            if now - at < AVOID_S
        )

    def unreached_s(self, vm: str) -> float:
        """Return for how long a VM has not answered; 0 if it does."""
        since = self.unreached_since.get(vm)
        return self._context.clock.now() - since if since else 0.0

    async def exchange(self, vm: str) -> bool:
        """Bring this agent and another level; say whether it answered."""
        member = self._state.members.by_vm.get(vm)
        if member is None or not member.beat.agent_port:
            return False
        address = PeerAddress(member.beat.ip, member.beat.agent_port)
        began_at = self._context.clock.now()
        digest = await self._exchange_beats(vm, address, began_at)
        if digest is None:
            self._note_failure(vm)
            return False
        self._note_success(vm)
        level = await self._level(vm, address, digest)
        if level:
            self._confirm(member.beat, digest, began_at)
        return True

    async def _exchange_beats(
        self, vm: str, address: PeerAddress, began_at: float
    ) -> Digest | None:
        beats = self.outgoing(vm, vm in self._differing)
        mine = encode_digest(self._state.digest())
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.beat(beats=beats, digest=mine),
            CALL_S,
        )
        if answer.is_error():
            return None
        self.incoming(answer.ok.beats, vm, began_at)
        return decode_digest(answer.ok.digest)

    def outgoing(self, peer: str, differs: bool) -> list[dict[str, Any]]:
        """Return the heartbeats of the next message to a peer."""
        now = self._context.clock.now()
        members = self._state.members
        own = [self._state.vm, *self._relays_to_vouch(peer)]
        beats = self._cursors.next_beats(members, peer, own, differs)
        return [
            encode_beat(beat, members.by_vm[beat.vm].silent_s(now))
            for beat in beats
        ]

    def _relays_to_vouch(self, peer: str) -> list[str]:
        """Return relays elsewhere whose heartbeats a neighbour needs.

        They vouch for their data centres; a VM that doesn't relay hears
        of them only here.
        """
        state = self._state
        known = state.members.by_vm.get(peer)
        if not state.is_relay or known is None:
            return []
        if known.beat.data_centre != state.data_centre:
            return []
        relays = [
            vm
            for vm, member in sorted(state.members.by_vm.items())
            if member.beat.relay
            and member.beat.data_centre != state.data_centre
        ]
        if not relays:
            return []
        start = self._relay_turn % len(relays)
        self._relay_turn += RELAYS_PER_ANSWER
        return (relays + relays)[start : start + RELAYS_PER_ANSWER]

    def incoming(self, beats: Any, sender: str, at: float) -> None:
        """Take in the heartbeats of a message that began at ``at``."""
        for reader in beats:
            beat, age_s = decode_beat(reader)
            if beat.vm == self._state.vm:
                self._hear_of_self(beat)
                continue
            direct = beat.vm == sender
            known = self._state.members.by_vm.get(beat.vm)
            if known and known.beat.incarnation < beat.incarnation:
                self._cursors.rewind(beat.vm)
            self._state.merge(
                beat,
                at - age_s,
                BeatSource.DIRECT if direct else BeatSource.RELAYED,
            )

    def _hear_of_self(self, beat: Beat) -> None:
        """Meet an entry of this VM's own name.

        A higher incarnation is either this VM's predecessor, and the
        clock was set back since, or a VM that has taken its place while
        this one was paused. Two VMs under one name would take each
        other's shares in turns, so the older one stops.
        """
        state = self._state
        if beat.incarnation <= state.incarnation:
            return
        running_s = self._context.clock.now() - self._started_at
        if running_s < STARTING_S:
            state.incarnation = beat.incarnation + 1
            state.beat_again()
        elif not self.replaced:
            self.replaced = True
            logger.error("another VM has taken the name {}", state.vm)
            state.drain()

    def answer(self, beats: Any, theirs: Digest) -> list[dict[str, Any]]:
        """Take in a caller's heartbeats and return the answer's."""
        now = self._context.clock.now()
        caller = beats[0].vm if len(beats) else ""
        self.incoming(beats, caller, now)
        self.exchanged_at_by_vm[caller] = now
        mine = self._state.digest()
        self._note_difference(caller, mine, theirs)
        known = self._state.members.by_vm.get(caller)
        if known and theirs.withdrawals_mark == mine.withdrawals_mark:
            # The caller knew that much when it called, and gives a call
            # up after CALL_S.
            self._confirm(known.beat, theirs, now - CALL_S)
        return self.outgoing(caller, caller in self._differing)

    def _note_difference(self, vm: str, mine: Digest, theirs: Digest) -> None:
        if mine.members_mark == theirs.members_mark:
            self._differing.discard(vm)
        else:
            self._differing.add(vm)

    async def _level(
        self, vm: str, address: PeerAddress, theirs: Digest
    ) -> bool:
        """Fetch and hand over what differs; say whether it worked."""
        mine = self._state.digest()
        self._note_difference(vm, mine, theirs)
        steps = []
        if theirs.version > mine.version:
            steps.append(self._fetch_version(vm, address))
        if theirs.version < mine.version:
            steps.append(self._hand_over_version(address))
        if theirs.withdrawals_mark != mine.withdrawals_mark:
            steps.append(self._level_withdrawals(vm, address))
        if theirs.views_mark != mine.views_mark:
            steps.append(self._level_views(vm, address))
        return all(await gather(*steps))

    async def _fetch_version(self, vm: str, address: PeerAddress) -> bool:
        above = self._state.configuration.version
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.configuration(above=above),
            BODY_CALL_S,
        )
        if answer.is_error():
            return False
        copy = decode_version(answer.ok.configuration)
        if self._state.offer(copy) is OfferResult.TAKEN:
            self.spread(self.came_from(vm), vm)
        return True

    async def _hand_over_version(self, address: PeerAddress) -> bool:
        copy = encode_version(self._state.configuration.current)
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.accepted(configuration=copy),
            BODY_CALL_S,
        )
        return answer.is_ok()

    async def _level_withdrawals(self, vm: str, address: PeerAddress) -> bool:
        known = encode_withdrawals(self._state.configuration.withdrawn)
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.withdrawals(known=known),
            CALL_S,
        )
        if answer.is_error():
            return False
        if self._state.withdraw(decode_withdrawals(answer.ok.known)):
            self.spread(self.came_from(vm), vm)
        return True

    async def _level_views(self, vm: str, address: PeerAddress) -> bool:
        known = encode_views(self._state.views.by_group.values())
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.views(known=known),
            CALL_S,
        )
        if answer.is_error():
            return False
        if self._state.observe_views(decode_views(answer.ok.known)):
            self.spread(self.came_from(vm), vm)
        return True

    def _confirm(self, peer: Beat, digest: Digest, began_at: float) -> None:
        """Take over what an exchange says about withdrawals.

        Counted from before the call: what was withdrawn while it was
        under way need not be in the answer.
        """
        clock = self._state.confirmation
        if peer.data_centre != self._state.data_centre:
            clock.note_exchange(peer.data_centre, began_at)
        if digest.confirmed_ms != MAX_AGE_MS:
            clock.note_relayed(began_at - from_age_ms(digest.confirmed_ms))

    def came_from(self, vm: str) -> NewsOrigin:
        """Say where news from a VM came from."""
        member = self._state.members.by_vm.get(vm)
        if member is None:
            return NewsOrigin.LOCAL
        same = member.beat.data_centre == self._state.data_centre
        return (
            NewsOrigin.OWN_DATA_CENTRE
            if same
            else NewsOrigin.OTHER_DATA_CENTRE
        )

    def announce(self, views: Iterable[GroupView]) -> None:
        """Take in views of groups and tell everyone of new ones."""
        if self._state.observe_views(views):
            self.spread(NewsOrigin.LOCAL)

    def spread(self, came: NewsOrigin, source: str = "") -> None:
        """Tell whoever is to be told that there is news."""
        self._context.spawn(self._spread(came, source))

    async def _spread(self, came: NewsOrigin, source: str) -> None:
        asked: set[str] = set()
        while True:
            told = select_recipients(
                self._state.members,
                self._state.vm,
                self._state.is_relay,
                came,
                source,
                self.avoided(),
            )
            fresh = [vm for vm in told if vm not in asked]
            if not fresh:
                return
            asked.update(fresh)
            answered = await gather(*(self.exchange(vm) for vm in fresh))
            for vm, heard in zip(fresh, answered):
                if not heard:
                    self._context.spawn(self._tell_again(vm))

    async def _tell_again(self, vm: str) -> None:
        """Repeat news to a VM that didn't answer.

        It may have been paused or restarting; left to its next
        heartbeat, it would stay behind for as long as that takes.
        """
        for pause_s in TELL_AGAIN_S:
            await sleep(pause_s)
            member = self._state.members.by_vm.get(vm)
            if member is None or member.beat.gone:
                return
            if await self.exchange(vm):
                return

    def _note_failure(self, vm: str) -> None:
        now = self._context.clock.now()
        self._exchanges.labels("failed").inc()
        self._cursors.rewind(vm)
        self._failed_at_by_vm[vm] = now
        self.unreached_since.setdefault(vm, now)

    def _note_success(self, vm: str) -> None:
        self._exchanges.labels("answered").inc()
        self._failed_at_by_vm.pop(vm, None)
        self.exchanged_at_by_vm[vm] = self._context.clock.now()
        self.unreached_since.pop(vm, None)
