"""MySQL connections of a member: adaptations of the library's classes.

The library answers a write without its affected rows, accepts only its
own error numbers, decodes statements strictly (a blob inside a literal
isn't UTF-8) and treats COM_RESET_CONNECTION as a no-op.
"""

from asyncio import CancelledError, IncompleteReadError
from collections.abc import Callable
from typing import Any

from mysql_mimic.auth import (
    IdentityProvider,
    NativePasswordAuthPlugin,
    User,
)
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl, TooManyConnections
from mysql_mimic.errors import MysqlError, get_sqlstate
from mysql_mimic.server import MysqlServer
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import Capabilities

from redwingpost.standin.mysql_errors import TOO_MANY_CONNECTIONS

_DISCONNECT_ERRORS = (
    ConnectionError,
    IncompleteReadError,
    CancelledError,
    TimeoutError,
)


def decode_statement(sql: str) -> str:
    """Return the text of a statement that was read as latin-1.

    Bytes that aren't UTF-8 (inside a blob's literal) become surrogates.
    """
    return sql.encode("latin-1").decode(errors="surrogateescape")


class MemberConnection(Connection):
    """One driver's connection to a member."""

    @property
    def client_charset(self) -> CharacterSet:
        """Latin-1, which keeps every byte; the session decodes statements."""
        return CharacterSet.latin1

    def ok(self, **fields: Any) -> bytes:
        """Return an OK packet with the last write's affected rows and id."""
        if not fields:
            affected, inserted = self.session.take_result()
            fields = {"affected_rows": affected, "last_insert_id": inserted}
        return super().ok(**fields)

    def error(self, msg: Any = "", code: int = 1105) -> bytes:
        """Return an error packet; accepts any MySQL error number."""
        head = b"\xff" + int(code).to_bytes(2, "little")
        if Capabilities.CLIENT_PROTOCOL_41 in self.capabilities:
            head += b"#" + _sqlstate(int(code))
        return head + str(msg).encode(errors="replace")

    async def handle_reset_connection(self, data: bytes) -> None:
        """Clear the session's state, on COM_RESET_CONNECTION."""
        self.session.clear()
        await self.stream.write(self.ok())

    def drop(self) -> None:
        """Abort the connection without sending a packet."""
        self.stream.writer.transport.abort()

    def end(self) -> None:
        """Abort the connection and cancel its task."""
        self.drop()
        if self._task is not None:
            self._task.cancel()


def _sqlstate(code: int) -> bytes:
    if code == 1062:
        return b"23000"
    if code in (1205, 1213):
        return b"40001" if code == 1213 else b"HY000"
    if code == 1146:
        return b"42S02"
    return get_sqlstate(code)


class MemberIdentity(IdentityProvider):
    """Accepts any user and password, after the connection delay."""

    def __init__(self, delay_handshake: Callable) -> None:
        self._delay_handshake = delay_handshake
        self._plugin = _AnyPassword()

    def get_plugins(self):
        """Return the one plugin that accepts everyone."""
        return [self._plugin]

    async def get_user(self, username: str) -> User:
        """Return the user, after the connection delay."""
        await self._delay_handshake()
        return User(name=username, auth_plugin=self._plugin.name)


class _AnyPassword(NativePasswordAuthPlugin):
    """Requests a password as usual and accepts any answer."""

    def password_matches(self, user, scramble, nonce) -> bool:
        return True


class ConnectionRegistry(LocalControl):
    """Counts a member's connections against its limit."""

    def __init__(self, limit: int) -> None:
        super().__init__(server_id=1)
        self.limit = limit

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def add(self, connection: Connection) -> int:
        """Register a connection.

        Raises
        ------
        TooManyConnections
            If the limit is reached.
        """
        if self.count >= self.limit:
            raise TooManyConnections()
        return await super().add(connection)

    def end_all(self) -> None:
        """Abort all connections."""
        for connection in list(self._connections.values()):
            connection.end()


class MemberServer(MysqlServer):
    """The library's server, with connections of `MemberConnection`."""

    async def _client_connected_cb(self, reader, writer) -> None:
        try:
            await self._serve(MysqlStream(reader, writer))
        except _DISCONNECT_ERRORS:
            # A client may disconnect at any time, and at a stop the
            # library would log a traceback for each connection.
            pass
        finally:
            writer.close()

    async def _serve(self, stream: MysqlStream) -> None:
        session: BaseSession = self.session_factory()
        connection = MemberConnection(
            stream=stream,
            session=session,
            control=self.control,
            server_capabilities=self.capabilities,
            identity_provider=self.identity_provider,
        )
        try:
            number = await self.control.add(connection)
        except TooManyConnections:
            packet = connection.error(
                msg="Too many connections", code=TOO_MANY_CONNECTIONS
            )
            await stream.write(packet)
            return
        connection.connection_id = number
        try:
            await connection.start()
        except (MysqlError, EOFError):
            return
        finally:
            await self.control.remove(number)
