"""Home VM's side of forwarding: run the statements of other VMs.

The home checks key, group and marks again. It has the same configuration,
and it must refuse a withdrawn key even if the forwarding VM has missed the
withdrawal.
"""

from collections.abc import Callable
from typing import Any
from weakref import finalize

from loguru import logger

from redwingpost.ports import Clock
from redwingpost.proxy.session import StatementSession
from redwingpost.wire.schema import SCHEMA
from redwingpost.wire.forwarding import (
    decode_marks,
    decode_positions,
    encode_answer,
    encode_positions,
)

#: Creates a session for an organisation, key hash, group and connection
#: number.
SessionFactory = Callable[[str, str, str, int], StatementSession]

#: Schedules a coroutine on the proxy's event loop.
Spawn = Callable[[Any], Any]


class ForwardedSessionServer(SCHEMA.ForwardedSession.Server):
    """One forwarded connection.

    Parameters
    ----------
    session : StatementSession
        Runs the statements.
    clock : Clock
        This VM's clock, by which forwarding VMs limit statements.
    """

    def __init__(self, session: StatementSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

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
        answer = await session.handle(
            sql,
            marks,
            statement.sentMs / 1000,
            statement.expiresAt or float("inf"),
        )
        current = session.caller.state(session.caller.current_session)
        struct = encode_answer(answer)
        struct["inTransaction"] = session.in_transaction
        struct["positions"] = encode_positions(current.positions.by_group)
        struct["whole"] = current.positions.whole
        struct["clockS"] = self._clock.now()
        _context.results.answer = struct

    async def readClock(self, _context: Any, **kwargs: Any) -> float:
        """Return a reading of this VM's clock (seconds)."""
        return self._clock.now()

    async def end(self, _context: Any, **kwargs: Any) -> None:
        """Roll back an open transaction: the caller has disconnected."""
        await self._session.close()


class ForwardServer(SCHEMA.Forward.Server):
    """Opens forwarded connections.

    Parameters
    ----------
    make_session : callable
        Creates a statement session of this proxy.
    spawn : callable
        Schedules a coroutine.
    clock : Clock
        This VM's clock.
    """

    def __init__(
        self, make_session: SessionFactory, spawn: Spawn, clock: Clock
    ) -> None:
        self._make_session = make_session
        self._spawn = spawn
        self._clock = clock

    async def open(
        self,
        organisation: str,
        keyHash: str,
        group: str,
        connection: int,
        _context: Any,
        **kwargs: Any,
    ) -> tuple[ForwardedSessionServer, float]:
        """Open a connection for a caller of another VM."""
        session = self._make_session(organisation, keyHash, group, connection)
        session.is_forwarded = True
        server = ForwardedSessionServer(session, self._clock)
        # A forwarding VM that crashes can't end its sessions. Its RPC
        # connection breaks and the library releases the server object.
        # Without the finalizer, open transactions would then hold their
        # locks until the member's own timeout.
        finalize(server, self._on_released, session)
        return server, self._clock.now()

    def _on_released(self, session: StatementSession) -> None:
        logger.debug("forwarded connection {} ended", session.connection_id)
        self._spawn(session.close())
