"""What the proxy takes from its VM's agent, by long poll.

The proxy goes on with what it has while its agent is away, for as long
as keys may go unconfirmed; nothing it took is ever taken back by an
agent that knows less.
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

#: Longest wait of one poll (seconds): the age of the key confirmation
#: is renewed that often, at a cost of one small message on one VM.
POLL_S = 1.0

#: Seconds beyond the poll's wait until the agent counts as away.
POLL_MARGIN_S = 2.0

#: Seconds that the last word to the agent may take.
GOODBYE_S = 0.5

#: Seconds between two attempts while the agent is away.
RETRY_S = 0.2


class FedShare(NamedTuple):
    """A part of an organisation's rate, granted until ``valid_until``.

    ``epoch`` names the grant; the time is seconds on the proxy's clock,
    counted from before the poll that brought it.
    """

    organisation: str
    parts_per_million: int
    epoch: int
    valid_until: float


class FedPeer(NamedTuple):
    """Another VM and when it was last known alive (own clock)."""

    address: VmAddress
    draining: bool
    heard_at: float


class AgentFeed(Service):
    """Polls the agent and hands on what is new.

    Parameters
    ----------
    agent : PeerAddress
        The agent of this VM.
    clients : PeerClients
        For the call.
    directory : Directory
        Takes configurations and views.
    keys : KeyRing
        Takes grants, withdrawals and confirmations.
    clock : Clock
        Source of time.

    Attributes
    ----------
    on_withdrawn : callable
        Told of new withdrawals, to cut what is open.
    on_configured : callable
        Told that another configuration is in force.
    on_peers, on_shares : callable
        Told of the other VMs and of this VM's shares.
    on_drain : callable
        Told once that the VM has to drain.
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
        self._held = ConfigurationState()
        self._revision = 0
        self._drained = False
        self.on_withdrawn: Callable[[Iterable[Withdrawal]], None] = _ignore
        self.on_configured: Callable[[], None] = _ignore
        self.on_peers: Callable[[tuple[FedPeer, ...]], None] = _ignore
        self.on_shares: Callable[[tuple[FedShare, ...]], None] = _ignore
        self.on_drain: Callable[[], None] = _ignore

    @property
    def version(self) -> int:
        """The configuration version in force."""
        return self._held.version

    async def on_stop(self) -> None:
        """Tell the agent that nothing is polling any more."""
        await self._clients.call(
            self._agent,
            lambda node: node.local().local.report(
                suspects=[],
                ready=False,
                connections=0,
                activeOrganisations=[],
            ),
            GOODBYE_S,
        )

    @Service.task
    async def _poll_forever(self) -> None:
        while not self.should_stop:
            if not await self.poll():
                await self.sleep(RETRY_S)

    async def poll(self, wait_s: float = POLL_S) -> bool:
        """Poll once; say whether the agent answered."""
        began_at = self._clock.now()
        revision, wait_ms = self._revision, int(wait_s * 1000)
        answer = await self._clients.call(
            self._agent,
            lambda node: node.local().local.feed(
                revision=revision, waitMs=wait_ms
            ),
            wait_s + POLL_MARGIN_S,
        )
        if answer.is_error():
            return False
        self._take(answer.ok.feed, began_at)
        return True

    def _take(self, feed: Any, began_at: float) -> None:
        """Take in an answer; its ages count from before the poll."""
        if feed._has("withdrawals"):
            self._withdraw(decode_withdrawals(feed.withdrawals))
        if feed._has("configuration"):
            self._take_configuration(feed.configuration)
        if feed._has("views"):
            for view in decode_views(feed.views):
                self._directory.observe(view)
        if feed._has("peers"):
            self.on_peers(_decode_peers(feed.peers, began_at))
        if feed._has("shares"):
            self.on_shares(_decode_shares(feed.shares, began_at))
        if feed.confirmedMs != MAX_AGE_MS:
            self._keys.confirm(began_at - from_age_ms(feed.confirmedMs))
        if feed.draining and not self._drained:
            self._drained = True
            self.on_drain()
        self._revision = feed.revision

    def _take_configuration(self, reader: Any) -> None:
        copy = decode_version(reader)
        if copy.version == 0:
            return
        offer = self._held.offer(copy)
        if offer is OfferResult.BROKEN:
            logger.error("version {} can't be read", copy.version)
        if offer is not OfferResult.TAKEN:
            return
        configuration = self._held.configuration
        self._withdraw(configuration.withdrawn)
        self._keys.grant(configuration)
        self._directory.configure(configuration, copy.version)
        self.on_configured()
        logger.info("configuration version {} is in force", copy.version)

    def _withdraw(self, withdrawals: frozenset[Withdrawal]) -> None:
        new = self._keys.withdraw(withdrawals)
        if new:
            self.on_withdrawn(new)


def _decode_peers(readers: Any, began_at: float) -> tuple[FedPeer, ...]:
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
        peers.append(FedPeer(address, beat.draining, began_at - age_s))
    return tuple(peers)


def _decode_shares(readers: Any, began_at: float) -> tuple[FedShare, ...]:
    return tuple(
        FedShare(
            organisation=reader.organisation,
            parts_per_million=reader.partsPerMillion,
            epoch=reader.epoch,
            valid_until=began_at + reader.validMs / 1000.0,
        )
        for reader in readers
    )


def _ignore(*_news: Any) -> None:
    """Take no notice: the default of the feed's callbacks."""
