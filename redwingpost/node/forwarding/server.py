"""Server on a home for the statements of other VMs."""

from asyncio import (
    IncompleteReadError,
    Server,
    StreamReader,
    StreamWriter,
    gather,
    start_server,
)
from typing import Any

from mode import Service

from redwingpost.adapters.http_client import tune_socket
from redwingpost.node.forwarding.frames import (
    FrameError,
    read_frame,
    write_frame,
)
from redwingpost.node.forwarding.local_loads import LocalLoads
from redwingpost.node.forwarding.messages import (
    AskClock,
    Resume,
    Resumed,
    Work,
)
from redwingpost.node.forwarding.peer import HomeDependencies, Peer
from redwingpost.observability.journal import log_event
from redwingpost.wire.work import MessageError, pack_resumed, unpack


class HomeServer(Service):
    """Accepts connections from other VMs."""

    def __init__(
        self, ip: str, port: int, dependencies: HomeDependencies, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._ip = ip
        self._port = port
        self._dependencies = dependencies
        self._loads = LocalLoads(
            dependencies.group_by_name,
            dependencies.clock,
            dependencies.reports_load,
        )
        self._server: Server | None = None
        self._peers: set[Peer] = set()
        self._peer_by_channel: dict[int, Peer] = {}

    @property
    def port(self) -> int:
        """Return the port in use."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or is open here for other VMs."""
        return not any(peer.is_busy for peer in self._peers)

    async def on_start(self) -> None:
        """Listen."""
        self._server = await start_server(self._serve, self._ip, self._port)

    async def on_stop(self) -> None:
        """Stop listening; close all connections from other VMs."""
        if self._server is not None:
            self._server.close()
        await gather(*(peer.close() for peer in tuple(self._peers)))

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        tune_socket(writer)
        peer = Peer(writer, self._dependencies, self._loads)
        self._peers.add(peer)
        try:
            while True:
                message = unpack(await read_frame(reader))
                if not peer.uses(writer):
                    # Resumed elsewhere; what is still buffered here is sent
                    # again there.
                    break
                if isinstance(message, Resume):
                    peer = self._resume(peer, writer, message)
                elif isinstance(message, Work):
                    if message.channel:
                        self._peer_by_channel[message.channel] = peer
                        peer.channel = message.channel
                    peer.start(message)
                elif isinstance(message, AskClock):
                    peer.tell_clock()
                else:
                    raise MessageError("no statement")
        except (OSError, IncompleteReadError):
            # The VM is gone. Its transactions are rolled back below.
            pass
        except (FrameError, MessageError) as error:
            log_event("forwarded-unreadable", detail=str(error))
        finally:
            if peer.uses(writer):
                self._peers.discard(peer)
                self._peer_by_channel.pop(peer.channel, None)
                await peer.close()

    def _resume(
        self, peer: Peer, writer: StreamWriter, resume: Resume
    ) -> Peer:
        """Go on with a silent connection's work on this one.

        Returns the peer that this connection serves from now on.
        """
        silent = self._peer_by_channel.get(resume.channel)
        is_known = silent is not None and silent is not peer
        if not is_known or not resume.confirms:
            write_frame(writer, pack_resumed(Resumed(is_known)))
            return peer
        self._peers.discard(peer)
        silent.resume(writer, resume.numbers)
        log_event("peer-resumed", pending=len(resume.numbers))
        return silent
