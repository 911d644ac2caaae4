"""RPC between the system's processes: pycapnp over TCP, mutual TLS.

A ``PeerServer`` serves this process's interfaces; ``PeerClients`` holds
one connection to each peer it calls and dials again with back-off. Both
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

#: First and longest pause before dialling a silent peer again. A peer
#: that restarts is back within a second; dialling a dead one every two
#: seconds costs one SYN.
FIRST_BACK_OFF_S = 0.05
LONGEST_BACK_OFF_S = 2.0

#: Certificate files are looked at this often; rotation takes minutes.
TLS_RELOAD_S = 2.0


class PeerAddress(NamedTuple):
    """Where a process serves its peers."""

    ip: str
    port: int


class NodeInterfaces:
    """The interfaces that this process serves, filled by its services.

    An interface left None isn't served: calls to it fail.
    """

    def __init__(self) -> None:
        self.fleet: Any = None
        self.watch: Any = None
        self.local: Any = None
        self.lending: Any = None
        self.forward: Any = None


class _Node(SCHEMA.Node.Server):
    """The bootstrap interface: hands out the others."""

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
    """Listens for peers.

    Parameters
    ----------
    address : PeerAddress
        Where to listen; port 0 takes a free one (see ``port``).
    interfaces : NodeInterfaces
        What to serve.
    tls : TlsContexts
        Contexts; a changed certificate makes the server listen anew,
        while open connections stay.
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

    async def take_new_certificates(self) -> bool:
        """Listen anew if the certificate files have changed."""
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
                await self.take_new_certificates()


class _Interface:
    """An interface of a peer, shaped like the answer that brings it."""

    def __init__(self, name: str, capability: Any) -> None:
        setattr(self, name, capability)


class _KeptNode:
    """A peer's ``Node`` whose interfaces are asked for once.

    Asking again at each call would double its messages.
    """

    def __init__(self, node: Any) -> None:
        self._node = node
        self._interfaces_by_name: dict[str, _Interface] = {}

    def forget(self) -> None:
        """Ask anew: an interface that wasn't served may be by now."""
        self._interfaces_by_name.clear()

    def __getattr__(self, name: str) -> Callable[[], _Interface]:
        return lambda: self._interface(name)

    def _interface(self, name: str) -> _Interface:
        kept = self._interfaces_by_name.get(name)
        if kept is None:
            capability = getattr(getattr(self._node, name)(), name)
            kept = _Interface(name, capability)
            self._interfaces_by_name[name] = kept
        return kept


class _Peer:
    """One peer: its connection, if any, and when to dial again."""

    def __init__(self) -> None:
        self.client: Any = None
        self.node: Any = None
        self.dial_after = 0.0
        self.back_off_s = FIRST_BACK_OFF_S
        self.dialling = Lock()


class PeerClients:
    """Connections to peers, one each, made when first called.

    Parameters
    ----------
    local_ip : str
        Address to dial from.
    tls : TlsContexts
        The client context is asked for at each dial, so that reloaded
        certificates count from the next connection on.
    clock : Clock
        For the back-off.
    seed : int
        For the jitter, which keeps the peers of a VM that comes back
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
            Whom to call.
        method : callable
            Given the peer's ``Node``, returns the promise of a call:
            ``lambda node: node.fleet().fleet.beat(...)``.
        timeout : float
            Seconds until the call is given up, dialling included.

        Returns
        -------
        Result
            The answer, or ``Code.PEER_REFUSED``. After a time-out it is
            not known whether the peer ran the call.
        """
        peer = self._peers_by_address.setdefault(address, _Peer())
        if peer.client is None and self._clock.now() < peer.dial_after:
            return Error(Refusal(Code.PEER_REFUSED, "backing off"))
        used: list[Any] = []
        try:
            answer = await wait_for(
                self._call_once(peer, address, method, used), timeout
            )
        except (KjException, OSError, TimeoutError) as error:
            if not _is_answer(error):
                self._drop(peer, used)
            elif peer.node is not None:
                peer.node.forget()
            why = getattr(error, "description", "") or repr(error)
            detail = f"{address.ip}:{address.port}: {why}"
            return Error(Refusal(Code.PEER_REFUSED, detail))
        peer.back_off_s = FIRST_BACK_OFF_S
        return Ok(answer)

    def addresses(self) -> frozenset[PeerAddress]:
        """Return the peers that were called."""
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
        used: list[Any],
    ) -> Any:
        async with peer.dialling:
            if peer.client is None:
                await self._dial(peer, address)
        used.append(peer.client)
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
        peer.node = _KeptNode(node)

    def _drop(self, peer: _Peer, used: list[Any]) -> None:
        """Close after a failure and dial again a little later.

        A connection whose peer fell silent may hang in TCP's own
        retransmission for minutes after the link is back, while a new
        one is through at once. A call that fails late must not close
        the connection that was made in place of its own.
        """
        if peer.client is not None:
            if peer.client not in used:
                return
            peer.client.close()
        peer.client = peer.node = None
        jitter = self._random.uniform(0.5, 1.0)
        peer.dial_after = self._clock.now() + peer.back_off_s * jitter
        peer.back_off_s = min(peer.back_off_s * 2, LONGEST_BACK_OFF_S)


def _is_answer(error: Exception) -> bool:
    """Say whether an error came from the peer's code, not the link."""
    return isinstance(error, KjException) and error.type != "DISCONNECTED"
