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
from redwingpost.node.forwarding.frames import FrameError, read_frame
from redwingpost.node.forwarding.local_loads import LocalLoads
from redwingpost.node.forwarding.messages import Work
from redwingpost.node.forwarding.peer import HomeDependencies, Peer
from redwingpost.observability.journal import log_event
from redwingpost.wire.work import MessageError, unpack


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
                work = unpack(await read_frame(reader))
                if not isinstance(work, Work):
                    raise MessageError("no statement")
                peer.start(work)
        except (OSError, IncompleteReadError):
            # The VM is gone. Its transactions are rolled back below.
            pass
        except (FrameError, MessageError) as error:
            log_event("forwarded-unreadable", detail=str(error))
        finally:
            self._peers.discard(peer)
            await peer.close()
