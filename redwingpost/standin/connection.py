"""MySQL connections of a member: the library's, made to fit.

The library answers a write without its affected rows, knows only its own
error numbers, decodes a statement strictly (a blob inside a literal isn't
UTF-8) and treats COM_RESET_CONNECTION as a no-op.
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

_LOST = (ConnectionError, IncompleteReadError, CancelledError, TimeoutError)


def decode_statement(sql: str) -> str:
    """Return the text of a statement that was read as latin-1.

    Bytes that aren't UTF-8 (inside a blob's literal) become surrogates.
    """
    return sql.encode("latin-1").decode(errors="surrogateescape")


class MemberConnection(Connection):
    """One driver's connection to a member."""

    @property
    def client_charset(self) -> CharacterSet:
        """Latin-1, which keeps every byte; the session decodes it."""
        return CharacterSet.latin1

    def ok(self, **fields: Any) -> bytes:
        """Return an OK packet with what the last write changed."""
        if not fields:
            affected, inserted = self.session.take_result()
            fields = {"affected_rows": affected, "last_insert_id": inserted}
        return super().ok(**fields)

    def error(self, msg: Any = "", code: int = 1105) -> bytes:
        """Return an error packet; any MySQL number will do."""
        head = b"\xff" + int(code).to_bytes(2, "little")
        if Capabilities.CLIENT_PROTOCOL_41 in self.capabilities:
            head += b"#" + _sqlstate(int(code))
        return head + str(msg).encode(errors="replace")

    async def handle_reset_connection(self, data: bytes) -> None:
        """Clear the session's state, as COM_RESET_CONNECTION asks."""
        self.session.clear()
        await self.stream.write(self.ok())

    def drop(self) -> None:
        """Break the connection without a word."""
        self.stream.writer.transport.abort()

    def end(self) -> None:
        """Break the connection and whatever it is waiting for."""
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
    """Takes any user and password, after the time a connection costs."""

    def __init__(self, connect: Callable) -> None:
        self._connect = connect
        self._plugin = _AnyPassword()

    def get_plugins(self):
        """Return the one plugin that accepts everyone."""
        return [self._plugin]

    async def get_user(self, username: str) -> User:
        """Return the user, after the time a connection costs."""
        await self._connect()
        return User(name=username, auth_plugin=self._plugin.name)


class _AnyPassword(NativePasswordAuthPlugin):
    """Asks for a password as usual and takes every answer."""

    def password_matches(self, user, scramble, nonce) -> bool:
        return True


class ConnectionRegistry(LocalControl):
    """Counts a member's connections against its limit."""

    def __init__(self, limit: int) -> None:
        super().__init__(server_id=1)
        self.limit = limit

    @property
    def count(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    async def add(self, connection: Connection) -> int:
        """Take a connection in, unless the member is full."""
        if self.count >= self.limit:
            raise TooManyConnections()
        return await super().add(connection)

    def end_all(self) -> None:
        """Break every connection."""
        for connection in list(self._connections.values()):
            connection.end()


class MemberServer(MysqlServer):
    """The library's server with the member's connections."""

    async def _client_connected_cb(self, reader, writer) -> None:
        try:
            await self._serve(MysqlStream(reader, writer))
        except _LOST:
            # A client that leaves in the middle is an ordinary event;
            # the library would log a traceback for each on a stop.
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
