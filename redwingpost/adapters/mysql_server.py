"""Listen for callers and serve their connections."""

from asyncio import (
    AbstractServer,
    CancelledError,
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    gather,
    start_server,
)
from collections.abc import Callable
from ssl import SSLContext, SSLError
from typing import Any

from loguru import logger
from mode import Service
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import MysqlError
from mysql_mimic.stream import ConnectionClosed

from redwingpost.adapters.mysql_auth import (
    Authenticator,
    KeyIdentityProvider,
)
from redwingpost.adapters.mysql_connection import (
    Answer,
    CallerConnection,
    CallerSession,
    HandlerFactory,
    StatementHandler,
)
from redwingpost.adapters.mysql_stream import BoundedStream

__all__ = ["Answer", "CallerServer", "StatementHandler"]


def _no_tls() -> None:
    return None


class CallerServer(Service):
    """Accepts callers' connections.

    Parameters
    ----------
    ip, port : str, int
        Where to listen; port 0 selects a free one.
    authenticator : Authenticator
        Source of the valid keys.
    make_handler : callable
        Makes the handler of a connection.
    tls : callable, optional
        Returns the context to offer TLS with, or None. It is called for
        each connection, so that a renewed certificate needs no restart.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        authenticator: Authenticator,
        make_handler: HandlerFactory,
        tls: Callable[[], SSLContext | None] = _no_tls,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._ip = ip
        self._port = port
        self._make_handler = make_handler
        self._identities = KeyIdentityProvider(authenticator)
        self._control = LocalControl(server_id=1)
        self._tls = tls
        self._server: AbstractServer | None = None
        self._tasks: set[Task] = set()

    @property
    def port(self) -> int:
        """Return the port in use."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks)

    async def on_start(self) -> None:
        """Open the listening socket."""
        self._server = await start_server(
            self._accept, self._ip, self._port, backlog=4096
        )

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections continue."""
        if self._server is not None:
            self._server.close()

    async def on_stop(self) -> None:
        """Close the socket and every connection."""
        self.stop_accepting()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        # Not a coroutine: asyncio's streams log a traceback for each
        # cancelled connection coroutine, and a planned stop cancels all.
        task = create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        connection = CallerConnection(
            stream=BoundedStream(reader, writer),
            session=CallerSession(self._make_handler),
            control=self._control,
            identity_provider=self._identities,
            ssl=self._tls(),
        )
        number = await self._control.add(connection)
        connection.connection_id = number
        try:
            await connection.start()
        except (TimeoutError, SSLError, MysqlError):
            logger.info("connection {}: handshake failed", number)
        except (ConnectionClosed, OSError, EOFError, IncompleteReadError):
            logger.debug("connection {} ended", number)
        except CancelledError:
            logger.debug("connection {} cancelled", number)
        except Exception:
            logger.exception("connection {} failed", number)
        finally:
            writer.close()
            await self._control.remove(number)
