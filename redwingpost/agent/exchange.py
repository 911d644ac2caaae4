"""Anti-entropy exchanges between two agents, and dissemination of news.

One exchange synchronises both sides: heartbeats and digests travel both
ways, then the caller fetches what it lacks and pushes what the other
lacks. The caller makes all calls, so that an exchange also works where
only one side can dial the other. News is disseminated by an exchange
with each recipient; one that is already up to date costs a few hundred
bytes.
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
    ChangeOrigin,
    select_recipients,
)

#: Timeout of one call of an exchange (seconds). A cut link delays a
#: heartbeat by no more than this, and half a second is a hundred times
#: the round trip between two data centres of one region.
CALL_TIMEOUT_S = 0.5

#: Timeout of a call that carries a whole configuration (seconds), which
#: may take longer than a heartbeat.
BODY_CALL_TIMEOUT_S = 2.0

#: Delays before an exchange is retried with a VM that didn't answer
#: (seconds).
RETRY_DELAYS_S = (0.5, 1.0, 2.0, 4.0, 8.0)

#: Seconds for which a peer is avoided after a failed exchange.
AVOID_FAILED_PEER_S = 2.0

#: Relays of other data centres whose heartbeats a relay includes in one
#: answer to a neighbour: all of them at four data centres; at 14 it takes
#: five answers.
RELAYS_PER_ANSWER = 3

#: Incarnations are taken from the wall clock. If this VM receives an
#: entry of its own name with a higher incarnation, its clock was set back
#: if it started less than this long ago (seconds); later, another VM has
#: replaced it.
STARTUP_S = 5.0


class Exchanger:
    """Runs one agent's exchanges with other agents.

    Parameters
    ----------
    context : AgentContext
        The agent's shared context.
    """

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._state = context.state
        self._cursors = BeatCursors()
        self._failed_at_by_vm: dict[str, float] = {}
        self._differing_vms: set[str] = set()
        self._relay_turn = 0
        #: Time of the last exchange with each VM, whichever side called.
        self.exchanged_at_by_vm: dict[str, float] = {}
        self._started_at = context.clock.now()
        self.unreached_since_by_vm: dict[str, float] = {}
        self.replaced = False
        self._exchanges = Counter(
            "redwing_exchanges",
            "Exchanges with other agents.",
            ["outcome"],
            registry=context.registry,
        )

    def recently_failed(self) -> frozenset[str]:
        """Return the VMs whose last exchange failed a moment ago."""
        now = self._context.clock.now()
        return frozenset(
            vm
            for vm, at in self._failed_at_by_vm.items()
            if now - at < AVOID_FAILED_PEER_S
        )

    def unreached_s(self, vm: str) -> float:
        """Return how long a VM has not answered (seconds); 0 if it does."""
        since = self.unreached_since_by_vm.get(vm)
        return self._context.clock.now() - since if since else 0.0

    async def exchange(self, vm: str) -> bool:
        """Synchronise with another agent; return whether it answered."""
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
        is_synchronised = await self._synchronise(vm, address, digest)
        if is_synchronised:
            self._note_confirmation(member.beat, digest, began_at)
        return True

    async def _exchange_beats(
        self, vm: str, address: PeerAddress, began_at: float
    ) -> Digest | None:
        beats = self.beats_to_send(vm, vm in self._differing_vms)
        mine = encode_digest(self._state.digest())
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.beat(beats=beats, digest=mine),
            CALL_TIMEOUT_S,
        )
        if answer.is_error():
            return None
        self.merge_beats(answer.ok.beats, vm, began_at)
        return decode_digest(answer.ok.digest)

    def beats_to_send(self, peer: str, differs: bool) -> list[dict[str, Any]]:
        """Return the heartbeats of the next message to a peer."""
        now = self._context.clock.now()
        members = self._state.members
        own = [self._state.vm, *self._remote_relays_to_include(peer)]
        beats = self._cursors.next_beats(members, peer, own, differs)
        return [
            encode_beat(beat, members.by_vm[beat.vm].silent_s(now))
            for beat in beats
        ]

    def _remote_relays_to_include(self, peer: str) -> list[str]:
        """Return relays elsewhere whose heartbeats a neighbour needs.

        A relay's heartbeat shows that its data centre can be reached. A
        VM that isn't a relay receives such heartbeats only here.
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

    def merge_beats(self, beats: Any, sender: str, at: float) -> None:
        """Merge the heartbeats of a message whose call began at ``at``."""
        for reader in beats:
            beat, age_s = decode_beat(reader)
            if beat.vm == self._state.vm:
                self._handle_own_entry(beat)
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

    def _handle_own_entry(self, beat: Beat) -> None:
        """Handle an entry with this VM's own name.

        A higher incarnation belongs either to this VM's predecessor, if
        the clock was set back since, or to a VM that replaced this one
        while it was paused. Two VMs with one name would take over each
        other's shares in turn, so the older one drains.
        """
        state = self._state
        if beat.incarnation <= state.incarnation:
            return
        running_s = self._context.clock.now() - self._started_at
        if running_s < STARTUP_S:
            state.incarnation = beat.incarnation + 1
            state.renew_own_beat()
        elif not self.replaced:
            self.replaced = True
            logger.error("another VM runs under the name {}", state.vm)
            state.drain()

    def answer(self, beats: Any, theirs: Digest) -> list[dict[str, Any]]:
        """Merge a caller's heartbeats and return those of the answer."""
        now = self._context.clock.now()
        caller = beats[0].vm if len(beats) else ""
        self.merge_beats(beats, caller, now)
        self.exchanged_at_by_vm[caller] = now
        mine = self._state.digest()
        self._note_difference(caller, mine, theirs)
        known = self._state.members.by_vm.get(caller)
        if known and theirs.withdrawals_mark == mine.withdrawals_mark:
            # The caller had these withdrawals when it called, and its
            # call times out after CALL_TIMEOUT_S.
            self._note_confirmation(known.beat, theirs, now - CALL_TIMEOUT_S)
        return self.beats_to_send(caller, caller in self._differing_vms)

    def _note_difference(self, vm: str, mine: Digest, theirs: Digest) -> None:
        if mine.members_mark == theirs.members_mark:
            self._differing_vms.discard(vm)
        else:
            self._differing_vms.add(vm)

    async def _synchronise(
        self, vm: str, address: PeerAddress, theirs: Digest
    ) -> bool:
        """Fetch and push what differs; return whether all calls worked."""
        mine = self._state.digest()
        self._note_difference(vm, mine, theirs)
        steps = []
        if theirs.version > mine.version:
            steps.append(self._fetch_version(vm, address))
        if theirs.version < mine.version:
            steps.append(self._push_version(address))
        if theirs.withdrawals_mark != mine.withdrawals_mark:
            steps.append(self._exchange_withdrawals(vm, address))
        if theirs.views_mark != mine.views_mark:
            steps.append(self._exchange_views(vm, address))
        return all(await gather(*steps))

    async def _fetch_version(self, vm: str, address: PeerAddress) -> bool:
        above = self._state.configuration.version
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.configuration(above=above),
            BODY_CALL_TIMEOUT_S,
        )
        if answer.is_error():
            return False
        copy = decode_version(answer.ok.configuration)
        if self._state.offer(copy) is OfferResult.TAKEN:
            self.spread(self.origin_of(vm), vm)
        return True

    async def _push_version(self, address: PeerAddress) -> bool:
        copy = encode_version(self._state.configuration.current)
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.accepted(configuration=copy),
            BODY_CALL_TIMEOUT_S,
        )
        return answer.is_ok()

    async def _exchange_withdrawals(
        self, vm: str, address: PeerAddress
    ) -> bool:
        known = encode_withdrawals(self._state.configuration.withdrawn)
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.withdrawals(known=known),
            CALL_TIMEOUT_S,
        )
        if answer.is_error():
            return False
        if self._state.withdraw(decode_withdrawals(answer.ok.known)):
            self.spread(self.origin_of(vm), vm)
        return True

    async def _exchange_views(self, vm: str, address: PeerAddress) -> bool:
        known = encode_views(self._state.views.by_group.values())
        answer = await self._context.peers.call(
            address,
            lambda node: node.fleet().fleet.views(known=known),
            CALL_TIMEOUT_S,
        )
        if answer.is_error():
            return False
        if self._state.observe_views(decode_views(answer.ok.known)):
            self.spread(self.origin_of(vm), vm)
        return True

    def _note_confirmation(
        self, peer: Beat, digest: Digest, began_at: float
    ) -> None:
        """Note until when an exchange confirms the known withdrawals.

        The time counts from the start of the call: a key withdrawn while
        the call was running need not be in the answer.
        """
        clock = self._state.confirmation
        if peer.data_centre != self._state.data_centre:
            clock.note_exchange(peer.data_centre, began_at)
        if digest.confirmed_ms != MAX_AGE_MS:
            clock.note_relayed(began_at - from_age_ms(digest.confirmed_ms))

    def origin_of(self, vm: str) -> ChangeOrigin:
        """Return the origin of news that was received from a VM."""
        member = self._state.members.by_vm.get(vm)
        if member is None:
            return ChangeOrigin.LOCAL
        same = member.beat.data_centre == self._state.data_centre
        return (
            ChangeOrigin.OWN_DATA_CENTRE
            if same
            else ChangeOrigin.OTHER_DATA_CENTRE
        )

    def announce(self, views: Iterable[GroupView]) -> None:
        """Merge views of groups and disseminate those that are new."""
        if self._state.observe_views(views):
            self.spread(ChangeOrigin.LOCAL)

    def spread(self, origin: ChangeOrigin, source: str = "") -> None:
        """Start disseminating news to the recipients for its origin."""
        self._context.spawn(self._spread(origin, source))

    async def _spread(self, origin: ChangeOrigin, source: str) -> None:
        contacted: set[str] = set()
        while True:
            recipients = select_recipients(
                self._state.members,
                self._state.vm,
                self._state.is_relay,
                origin,
                source,
                self.recently_failed(),
            )
            fresh = [vm for vm in recipients if vm not in contacted]
            if not fresh:
                return
            contacted.update(fresh)
            outcomes = await gather(*(self.exchange(vm) for vm in fresh))
            for vm, answered in zip(fresh, outcomes):
                if not answered:
                    self._context.spawn(self._retry_exchange(vm))

    async def _retry_exchange(self, vm: str) -> None:
        """Retry the exchange with a VM that didn't answer.

        The VM may have been paused or restarting. Without a retry it
        would stay out of date until its next heartbeat.
        """
        for delay_s in RETRY_DELAYS_S:
            await sleep(delay_s)
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
        self.unreached_since_by_vm.setdefault(vm, now)

    def _note_success(self, vm: str) -> None:
        self._exchanges.labels("answered").inc()
        self._failed_at_by_vm.pop(vm, None)
        self.exchanged_at_by_vm[vm] = self._context.clock.now()
        self.unreached_since_by_vm.pop(vm, None)
