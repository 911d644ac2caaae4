"""Receive configuration, views and rate shares from the VM's agent.

The proxy polls the agent and each poll waits for news. While the agent is
unreachable, the proxy continues with its last data for as long as keys may
stay unconfirmed. An agent with older or no data never replaces it.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from loguru import logger
from mode import Service

from redwingpost.adapters.peer import PeerAddress, PeerClients
from redwingpost.configuration.keys import KeyRing
from redwingpost.configuration.model import Withdrawal
from redwingpost.configuration.state import ConfigurationState, OfferResult
from redwingpost.core import VmAddress
from redwingpost.ports import Clock
from redwingpost.proxy.directory import Directory
from redwingpost.wire.codec import (
    MAX_AGE_MS,
    decode_beat,
    decode_version,
    decode_views,
    decode_withdrawals,
    from_age_ms,
)

#: Longest wait of one poll (seconds). The age of the key confirmation is
#: renewed this often, at the cost of one small message within the VM.
POLL_WAIT_S = 1.0

#: Seconds beyond the poll's wait until the agent counts as unreachable.
ANSWER_MARGIN_S = 2.0

#: Timeout of the last report to the agent (seconds).
FINAL_REPORT_TIMEOUT_S = 0.5

#: Pause between two polls while the agent is unreachable (seconds).
RETRY_PAUSE_S = 0.2


class FeedShare(NamedTuple):
    """A part of an organisation's rate, granted until ``valid_until``.

    ``epoch`` identifies the grant. ``valid_until`` is in seconds on the
    proxy's clock and is computed from the start of the poll that returned
    the share.
    """

    organisation: str
    parts_per_million: int
    epoch: int
    valid_until: float


class FeedPeer(NamedTuple):
    """Another VM and when it was last known to be alive (own clock)."""

    address: VmAddress
    draining: bool
    last_alive_at: float


class AgentFeed(Service):
    """Polls the agent and passes on what has changed.

    Parameters
    ----------
    agent : PeerAddress
        The agent of this VM.
    clients : PeerClients
        Connections to the agent.
    directory : Directory
        Updated with configurations and views.
    keys : KeyRing
        Updated with grants, withdrawals and confirmations.
    clock : Clock
        Source of time.

    Attributes
    ----------
    on_withdrawn : callable
        Called with new withdrawals, to end the sessions of their keys.
    on_configured : callable
        Called when another configuration has come into force.
    on_peers, on_shares : callable
        Called with the other VMs and with this VM's shares.
    on_drain : callable
        Called once when the VM has to drain.
    """

    def __init__(
        self,
        agent: PeerAddress,
        clients: PeerClients,
        directory: Directory,
        keys: KeyRing,
        clock: Clock,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._agent = agent
        self._clients = clients
        self._directory = directory
        self._keys = keys
        self._clock = clock
        self._configuration_state = ConfigurationState()
        self._revision = 0
        self._drain_reported = False
        self.on_withdrawn: Callable[[Iterable[Withdrawal]], None] = _ignore
        self.on_configured: Callable[[], None] = _ignore
        self.on_peers: Callable[[tuple[FeedPeer, ...]], None] = _ignore
        self.on_shares: Callable[[tuple[FeedShare, ...]], None] = _ignore
        self.on_drain: Callable[[], None] = _ignore

    @property
    def version(self) -> int:
        """The configuration version in force."""
        return self._configuration_state.version

    async def on_stop(self) -> None:
        """Report to the agent that this proxy no longer serves."""
        await self._clients.call(
            self._agent,
            lambda node: node.local().local.report(
                suspects=[],
                ready=False,
                connections=0,
                activeOrganisations=[],
            ),
            FINAL_REPORT_TIMEOUT_S,
        )

    @Service.task
    async def _poll_forever(self) -> None:
        while not self.should_stop:
            if not await self.poll():
                await self.sleep(RETRY_PAUSE_S)

    async def poll(self, wait_s: float = POLL_WAIT_S) -> bool:
        """Poll once; return whether the agent answered."""
        began_at = self._clock.now()
        revision, wait_ms = self._revision, int(wait_s * 1000)
        answer = await self._clients.call(
            self._agent,
            lambda node: node.local().local.feed(
                revision=revision, waitMs=wait_ms
            ),
            wait_s + ANSWER_MARGIN_S,
        )
        if answer.is_error():
            return False
        self._apply(answer.ok.feed, began_at)
        return True

    def _apply(self, feed: Any, began_at: float) -> None:
        """Apply an answer; its times count from the start of the poll."""
        if feed._has("withdrawals"):
            self._withdraw(decode_withdrawals(feed.withdrawals))
        if feed._has("configuration"):
            self._apply_configuration(feed.configuration)
        if feed._has("views"):
            for view in decode_views(feed.views):
                self._directory.observe(view)
        if feed._has("peers"):
            self.on_peers(_decode_peers(feed.peers, began_at))
        if feed._has("shares"):
            self.on_shares(_decode_shares(feed.shares, began_at))
        if feed.confirmedMs != MAX_AGE_MS:
            self._keys.confirm(began_at - from_age_ms(feed.confirmedMs))
        if feed.draining and not self._drain_reported:
            self._drain_reported = True
            self.on_drain()
        self._revision = feed.revision

    def _apply_configuration(self, reader: Any) -> None:
        copy = decode_version(reader)
        if copy.version == 0:
            return
        offer = self._configuration_state.offer(copy)
        if offer is OfferResult.BROKEN:
            logger.error(
                "configuration version {} can't be read", copy.version
            )
        if offer is not OfferResult.TAKEN:
            return
        configuration = self._configuration_state.configuration
        self._withdraw(configuration.withdrawn)
        self._keys.grant(configuration)
        self._directory.configure(configuration, copy.version)
        self.on_configured()
        logger.info("configuration version {} is in force", copy.version)

    def _withdraw(self, withdrawals: frozenset[Withdrawal]) -> None:
        new = self._keys.withdraw(withdrawals)
        if new:
            self.on_withdrawn(new)


def _decode_peers(readers: Any, began_at: float) -> tuple[FeedPeer, ...]:
    peers = []
    for reader in readers:
        beat, age_s = decode_beat(reader)
        address = VmAddress(
            vm=beat.vm,
            data_centre=beat.data_centre,
            ip=beat.ip,
            agent_port=beat.agent_port,
            proxy_port=beat.proxy_port,
            incarnation=beat.incarnation,
        )
        peers.append(FeedPeer(address, beat.draining, began_at - age_s))
    return tuple(peers)


def _decode_shares(readers: Any, began_at: float) -> tuple[FeedShare, ...]:
    return tuple(
        FeedShare(
            organisation=reader.organisation,
            parts_per_million=reader.partsPerMillion,
            epoch=reader.epoch,
            valid_until=began_at + reader.validMs / 1000.0,
        )
        for reader in readers
    )


def _ignore(*_news: Any) -> None:
    """Do nothing; the default of the feed's callbacks."""
