"""The home VM's side of forwarding: run other VMs' statements.

The home checks key, group and marks anew: it holds the same
configuration, and a forwarding VM that missed a withdrawal must not get
a statement through.
"""

from collections.abc import Callable
from typing import Any
from weakref import finalize

from loguru import logger

from redwingpost.proxy.session import StatementSession
from redwingpost.wire.schema import SCHEMA
from redwingpost.wire.forwarding import (
    decode_marks,
    decode_positions,
    encode_answer,
    encode_positions,
)

#: Makes a session: organisation, key hash, group, connection number.
MakeSession = Callable[[str, str, str, int], StatementSession]

#: Schedules a coroutine on the proxy's loop.
Spawn = Callable[[Any], Any]


class ForwardedSessionServer(SCHEMA.ForwardedSession.Server):
    """One forwarded connection.

    Parameters
    ----------
    session : StatementSession
        What runs the statements.
    """

    def __init__(self, session: StatementSession) -> None:
        self._session = session

    async def run(self, statement: Any, _context: Any, **kwargs: Any) -> None:
        """Run one statement."""
        session = self._session
        session.caller.autocommit = statement.autocommit
        marks = decode_marks(statement.marks)
        state = session.caller.state(marks.get("session", ""))
        state.positions.merge(
            decode_positions(statement.positions), statement.whole
        )
        sql = statement.sql.decode(errors="surrogateescape")
        answer = await session.handle(sql, marks, statement.sentMs / 1000)
        current = session.caller.state(session.caller.current_session)
        struct = encode_answer(answer)
        struct["inTransaction"] = session.in_transaction
        struct["positions"] = encode_positions(current.positions.by_group)
        struct["whole"] = current.positions.whole
        _context.results.answer = struct

    async def end(self, _context: Any, **kwargs: Any) -> None:
        """Roll back what is open: the caller has gone."""
        await self._session.close()


class ForwardServer(SCHEMA.Forward.Server):
    """Opens forwarded connections.

    Parameters
    ----------
    make_session : callable
        Makes a statement session of this proxy.
    spawn : callable
        Schedules a coroutine.
    """

    def __init__(self, make_session: MakeSession, spawn: Spawn) -> None:
        self._make_session = make_session
        self._spawn = spawn

    async def open(
        self,
        organisation: str,
        keyHash: str,
        group: str,
        connection: int,
        _context: Any,
        **kwargs: Any,
    ) -> ForwardedSessionServer:
        """Open a connection for a caller of another VM."""
        session = self._make_session(organisation, keyHash, group, connection)
        session.is_forwarded = True
        server = ForwardedSessionServer(session)
        # A forwarding VM that dies can't end its sessions. Its RPC
        # connection breaks, the library lets go of the capability, and
        # without this its open transactions would hold their locks
        # until the member's own time-out.
        finalize(server, self._abandon, session)
        return server

    def _abandon(self, session: StatementSession) -> None:
        logger.debug("forwarded connection {} ended", session.connection_id)
        self._spawn(session.close())
