"""The agent's RPC interfaces: Fleet for agents, Local for its own proxy."""

from typing import Any

from redwingpost.wire.codec import (
    decode_digest,
    decode_version,
    decode_views,
    decode_withdrawals,
    encode_beat,
    encode_digest,
    encode_version,
    encode_views,
    encode_withdrawals,
    to_age_ms,
)
from redwingpost.agent.context import AgentContext
from redwingpost.agent.exchange import Exchanger
from redwingpost.configuration.state import OfferResult
from redwingpost.membership.dissemination import ChangeOrigin
from redwingpost.wire.schema import SCHEMA

#: Longest wait of the feed (seconds), even if the proxy requests a longer
#: one: the proxy needs the age of the key confirmation regularly.
MAX_FEED_WAIT_S = 5.0


#: The proxy is sent the ages of the other VMs every two seconds. In a
#: large fleet the interval grows so that 50 VMs are sent per second, at a
#: tenth of a millisecond each.
MIN_PEERS_INTERVAL_S = 2.0
PEERS_PER_S = 50.0


class FleetServer(SCHEMA.Fleet.Server):
    """Serves other agents and ``redwingctl``."""

    def __init__(self, context: AgentContext, exchanger: Exchanger) -> None:
        self._context = context
        self._state = context.state
        self._exchanger = exchanger

    async def beat(
        self, beats: Any, digest: Any, _context: Any, **kwargs: Any
    ) -> None:
        """Exchange heartbeats; the caller's own is the first."""
        theirs = decode_digest(digest)
        results = _context.results
        results.beats = self._exchanger.answer(beats, theirs)
        results.digest = encode_digest(self._state.digest())

    async def configuration(
        self, above: int, _context: Any, **kwargs: Any
    ) -> None:
        """Return the current version if it is above the caller's."""
        current = self._state.configuration.current
        if current.version > above:
            _context.results.configuration = encode_version(current)

    async def withdrawals(
        self, known: Any, _context: Any, **kwargs: Any
    ) -> None:
        """Merge the caller's withdrawals and return all known ones."""
        if self._state.withdraw(decode_withdrawals(known)):
            self._spread(_context)
        _context.results.known = encode_withdrawals(
            self._state.configuration.withdrawn
        )

    async def accepted(
        self, configuration: Any, _context: Any, **kwargs: Any
    ) -> None:
        """Adopt an accepted configuration version."""
        offer = self._state.offer(decode_version(configuration))
        if offer is OfferResult.TAKEN:
            self._spread(_context)

    async def members(self, _context: Any, **kwargs: Any) -> None:
        """Return all members for operators, with a new own heartbeat."""
        self._state.renew_own_beat()
        now = self._context.clock.now()
        results = _context.results
        results.beats = [
            encode_beat(member.beat, member.silent_s(now))
            for _, member in sorted(self._state.members.by_vm.items())
        ]
        results.digest = encode_digest(self._state.digest())

    async def views(self, known: Any, _context: Any, **kwargs: Any) -> None:
        """Exchange views of groups."""
        if self._state.observe_views(decode_views(known)):
            self._spread(_context)
        _context.results.known = encode_views(
            self._state.views.by_group.values()
        )

    async def drain(self, vm: str, _context: Any, **kwargs: Any) -> None:
        """Drain this VM's proxy; ``vm`` protects from a wrong address."""
        if vm != self._state.vm:
            raise ValueError(f"this is {self._state.vm}, not {vm}")
        self._state.drain()
        self._exchanger.spread(ChangeOrigin.LOCAL)

    def _spread(self, _context: Any) -> None:
        # The caller isn't known at this level. News of local origin is
        # sent to everyone; VMs that already have it answer with equal
        # digests.
        self._exchanger.spread(ChangeOrigin.LOCAL)


class LocalServer(SCHEMA.Local.Server):
    """Serves the proxy of the same VM."""

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._state = context.state
        self._peers_sent_at = float("-inf")

    async def feed(
        self, revision: int, waitMs: int, _context: Any, **kwargs: Any
    ) -> None:
        """Return what changed after ``revision``, waiting for a change."""
        state = self._state
        state.record_proxy_poll(revision)
        timeout = min(waitMs / 1000.0, MAX_FEED_WAIT_S)
        await state.wait_for_change(revision, timeout)
        feed = _context.results.init("feed")
        self._fill(feed, revision)

    def _fill(self, feed: Any, revision: int) -> None:
        state = self._state
        if state.has_changed_since("configuration", revision):
            feed.configuration = encode_version(state.configuration.current)
        if state.has_changed_since("withdrawals", revision):
            feed.withdrawals = encode_withdrawals(
                state.configuration.withdrawn
            )
        if state.has_changed_since("views", revision):
            feed.views = encode_views(state.views.by_group.values())
        if state.has_changed_since("peers", revision) or self._peers_are_due():
            feed.peers = self._peers()
        if state.has_changed_since("shares", revision):
            feed.shares = self._shares()
        feed.draining = state.draining
        feed.confirmedMs = to_age_ms(state.confirmed_age_s())
        feed.revision = state.revision

    def _peers_are_due(self) -> bool:
        """Return whether to send the proxy the peers' ages again."""
        every_s = len(self._state.members.by_vm) / PEERS_PER_S
        age_s = self._context.clock.now() - self._peers_sent_at
        return age_s >= max(MIN_PEERS_INTERVAL_S, every_s)

    def _peers(self) -> list[dict[str, Any]]:
        """Return the other live VMs with the ages of their heartbeats."""
        now = self._context.clock.now()
        self._peers_sent_at = now
        return [
            encode_beat(member.beat, member.silent_s(now))
            for vm, member in sorted(self._state.members.by_vm.items())
            if vm != self._state.vm
            and not member.beat.gone
            and member.beat.incarnation > 0
        ]

    def _shares(self) -> list[dict[str, Any]]:
        now = self._context.clock.now()
        return [
            {
                "organisation": share.organisation,
                "partsPerMillion": share.parts_per_million,
                "epoch": share.epoch,
                "validMs": to_age_ms(share.valid_until - now),
            }
            for share in self._state.shares
        ]

    async def report(
        self,
        suspects: Any,
        ready: bool,
        connections: int,
        activeOrganisations: Any,
        _context: Any,
        **kwargs: Any,
    ) -> None:
        """Record the proxy's suspect members and active organisations."""
        if not ready and not connections:
            self._state.record_proxy_stop()
        self._state.suspects = frozenset(suspects)
        self._state.active_organisations = frozenset(activeOrganisations)
