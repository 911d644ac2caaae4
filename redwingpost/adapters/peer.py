"""RPC between the system's processes: pycapnp over TCP with mutual TLS.

A ``PeerServer`` serves this process's interfaces. ``PeerClients`` keeps
one connection to each peer it calls and reconnects with back-off. Both
must run inside ``capnp.kj_loop()``.
"""

from asyncio import Lock, wait_for
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, NamedTuple

from capnp import (
    AsyncIoStream,
    KjException,
    TwoPartyClient,
    TwoPartyServer,
)
from expression import Error, Ok, Result
from loguru import logger
from mode import Service

from redwingpost.adapters.tls import TlsContexts
from redwingpost.core import Code, Refusal
from redwingpost.ports import Clock, MonotonicClock
from redwingpost.wire.schema import SCHEMA

#: Initial and longest back-off before dialling an unreachable peer again
#: (seconds). A peer that restarts is back within a second; dialling a
#: dead one costs one SYN every two seconds.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0

#: Seconds between two checks of the certificate files; rotation takes
#: minutes.
TLS_RELOAD_S = 2.0


class PeerAddress(NamedTuple):
    """Address at which a process serves its peers."""

    ip: str
    port: int


class NodeInterfaces:
    """The RPC interfaces that this process serves, set by its services.

    Calls to an interface that is None fail.
    """

    def __init__(self) -> None:
        self.fleet: Any = None
        self.watch: Any = None
        self.local: Any = None
        self.lending: Any = None
        self.forward: Any = None


class _Node(SCHEMA.Node.Server):
    """The bootstrap interface, which returns the other interfaces."""

    def __init__(self, interfaces: NodeInterfaces) -> None:
        self._interfaces = interfaces

    async def fleet(self, _context: Any, **kwargs: Any) -> Any:
        return self._served("fleet")

    async def watch(self, _context: Any, **kwargs: Any) -> Any:
        return self._served("watch")

    async def local(self, _context: Any, **kwargs: Any) -> Any:
        return self._served("local")

    async def lending(self, _context: Any, **kwargs: Any) -> Any:
        return self._served("lending")

    async def forward(self, _context: Any, **kwargs: Any) -> Any:
        return self._served("forward")

    def _served(self, name: str) -> Any:
        interface = getattr(self._interfaces, name)
        if interface is None:
            raise NotImplementedError(f"{name} is not served here")
        return interface


class PeerServer(Service):
    """Accepts peers' connections.

    Parameters
    ----------
    address : PeerAddress
        Where to listen; port 0 selects a free one (see ``port``).
    interfaces : NodeInterfaces
        The interfaces to serve.
    tls : TlsContexts
        TLS contexts. If a certificate changes, the server opens a new
        listening socket; open connections stay.
    """

    def __init__(
        self,
        address: PeerAddress,
        interfaces: NodeInterfaces,
        tls: TlsContexts,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._address = address
        self._interfaces = interfaces
        self._tls = tls
        self._server: Any = None
        self._streams: set[Any] = set()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._address.port

    async def on_start(self) -> None:
        """Start to listen."""
        await self._listen()

    async def on_stop(self) -> None:
        """Stop listening and close the connections."""
        if self._server is not None:
            self._server.close()
        for stream in tuple(self._streams):
            stream.close()

    async def _listen(self) -> None:
        ip, port = self._address
        kwargs = {"ssl": self._tls.server} if self._tls.server else {}
        self._server = await AsyncIoStream.create_server(
            self._serve, ip, port, reuse_address=True, **kwargs
        )
        bound = self._server.sockets[0].getsockname()[1]
        self._address = PeerAddress(ip, bound)

    async def _serve(self, stream: Any) -> None:
        self._streams.add(stream)
        try:
            server = TwoPartyServer(stream, bootstrap=_Node(self._interfaces))
            await server.on_disconnect()
        except (KjException, OSError) as error:
            logger.debug("peer connection ended: {}", error)
        finally:
            self._streams.discard(stream)
            stream.close()

    async def reload_certificates(self) -> bool:
        """Open a new listening socket if the certificate files changed."""
        if not self._tls.reload():
            return False
        self._server.close()
        await self._listen()
        logger.info("certificates reloaded")
        return True

    @Service.task
    async def _watch_certificates(self) -> None:
        while not self.should_stop:
            await self.sleep(TLS_RELOAD_S)
            if not self.should_stop:
                await self.reload_certificates()


class _Interface:
    """A peer's interface, with the attribute of the answer it came in."""

    def __init__(self, name: str, capability: Any) -> None:
        setattr(self, name, capability)


class _CachedNode:
    """A peer's ``Node`` that caches the interfaces it returned.

    Requesting the interface for each call would double the messages.
    """

    def __init__(self, node: Any) -> None:
        self._node = node
        self._interfaces_by_name: dict[str, _Interface] = {}

    def forget(self) -> None:
        """Clear the cache: a missing interface may be served by now."""
        self._interfaces_by_name.clear()

    def __getattr__(self, name: str) -> Callable[[], _Interface]:
        return lambda: self._interface(name)

    def _interface(self, name: str) -> _Interface:
        cached = self._interfaces_by_name.get(name)
        if cached is None:
            capability = getattr(getattr(self._node, name)(), name)
            cached = _Interface(name, capability)
            self._interfaces_by_name[name] = cached
        return cached


class _Peer:
    """One peer: its connection, if any, and the state of its back-off."""

    def __init__(self) -> None:
        self.client: Any = None
        self.node: Any = None
        self.next_dial_at = 0.0
        self.backoff_s = INITIAL_BACKOFF_S
        self.dial_lock = Lock()


class PeerClients:
    """Connections to peers, one each, opened at the first call.

    Parameters
    ----------
    local_ip : str
        Address to dial from.
    tls : TlsContexts
        TLS contexts. The client context is read at each dial, so that
        reloaded certificates apply to the next connection.
    clock : Clock
        Source of time for the back-off.
    seed : int
        Seed of the jitter, which prevents the peers of a restarted VM
        from dialling it all at once.
    """

    def __init__(
        self,
        local_ip: str,
        tls: TlsContexts,
        clock: Clock | None = None,
        seed: int | None = None,
    ) -> None:
        self._local_ip = local_ip
        self._tls = tls
        self._clock = clock or MonotonicClock()
        self._random = Random(seed)
        self._peers_by_address: dict[PeerAddress, _Peer] = {}

    async def call(
        self,
        address: PeerAddress,
        method: Callable[[Any], Awaitable[Any]],
        timeout: float,
    ) -> Result[Any, Refusal]:
        """Call a peer.

        Parameters
        ----------
        address : PeerAddress
            The peer to call.
        method : callable
            Takes the peer's ``Node`` and returns the promise of a call:
            ``lambda node: node.fleet().fleet.beat(...)``.
        timeout : float
            Timeout of the call (seconds), including dialling.

        Returns
        -------
        Result
            The answer, or ``Code.PEER_REFUSED``. After a timeout the
            peer may or may not have run the call.
        """
        peer = self._peers_by_address.setdefault(address, _Peer())
        if peer.client is None and self._clock.now() < peer.next_dial_at:
            return Error(Refusal(Code.PEER_REFUSED, "backing off"))
        used_clients: list[Any] = []
        try:
            answer = await wait_for(
                self._call_once(peer, address, method, used_clients), timeout
            )
        except (KjException, OSError, TimeoutError) as error:
            if not _is_peer_error(error):
                self._drop(peer, used_clients)
            elif peer.node is not None:
                peer.node.forget()
            why = getattr(error, "description", "") or repr(error)
            detail = f"{address.ip}:{address.port}: {why}"
            return Error(Refusal(Code.PEER_REFUSED, detail))
        peer.backoff_s = INITIAL_BACKOFF_S
        return Ok(answer)

    def addresses(self) -> frozenset[PeerAddress]:
        """Return the addresses of the peers that were called."""
        return frozenset(self._peers_by_address)

    def forget(self, address: PeerAddress) -> None:
        """Close the connection to a peer that left."""
        peer = self._peers_by_address.pop(address, None)
        if peer is not None and peer.client is not None:
            peer.client.close()

    def close(self) -> None:
        """Close all connections."""
        for address in tuple(self._peers_by_address):
            self.forget(address)

    async def _call_once(
        self,
        peer: _Peer,
        address: PeerAddress,
        method: Callable[[Any], Awaitable[Any]],
        used_clients: list[Any],
    ) -> Any:
        async with peer.dial_lock:
            if peer.client is None:
                await self._dial(peer, address)
        used_clients.append(peer.client)
        return await method(peer.node)

    async def _dial(self, peer: _Peer, address: PeerAddress) -> None:
        kwargs: dict[str, Any] = {}
        if self._local_ip:
            kwargs["local_addr"] = (self._local_ip, 0)
        if self._tls.client is not None:
            kwargs["ssl"] = self._tls.client
            kwargs["server_hostname"] = ""
        stream = await AsyncIoStream.create_connection(
            host=address.ip, port=address.port, **kwargs
        )
        peer.client = TwoPartyClient(stream)
        node = peer.client.bootstrap().cast_as(SCHEMA.Node)
        peer.node = _CachedNode(node)

    def _drop(self, peer: _Peer, used_clients: list[Any]) -> None:
        """Close the connection after a failure and start the back-off.

        A connection whose peer stopped answering may wait for TCP's
        retransmission for minutes after the link is back, while a new
        connection works at once. A call that fails late must not close
        a newer connection than the one it used.
        """
        if peer.client is not None:
            if peer.client not in used_clients:
                return
            peer.client.close()
        peer.client = peer.node = None
        jitter = self._random.uniform(0.5, 1.0)
        peer.next_dial_at = self._clock.now() + peer.backoff_s * jitter
        peer.backoff_s = min(peer.backoff_s * 2, MAX_BACKOFF_S)


def _is_peer_error(error: Exception) -> bool:
    """Return whether an error came from the peer's code, not the link."""
    return isinstance(error, KjException) and error.type != "DISCONNECTED"
