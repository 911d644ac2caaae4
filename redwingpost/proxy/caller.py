"""State that a proxy keeps for one caller's connection."""

from typing import NamedTuple

from redwingpost.core import Position
from redwingpost.sessions import SessionPositions

#: Sessions that one connection may use concurrently. A pooled application
#: connection rarely serves more in its lifetime. Beyond the limit the
#: oldest one is dropped, and its next read goes to the primary.
MAX_SESSIONS = 64


class LastRead(NamedTuple):
    """Member of a session's last read and the time it ended (seconds).

    A status of the member that was requested after ``until`` covers what
    the read returned. Until one arrives, later reads of the session stay
    on the member, because another replica might return an older state.
    """

    member: str
    until: float


class CallerSessionState:
    """Positions of one session, as far as this connection has them."""

    def __init__(self) -> None:
        self.positions = SessionPositions()
        self.last_read_by_group: dict[str, LastRead] = {}

    def advance(self, group: str, position: Position) -> None:
        """Record a position that the session read or wrote."""
        self.positions.advance(group, position)


class Caller:
    """Identity and state of one caller's connection.

    Parameters
    ----------
    organisation, key_hash : str
        As authenticated in the handshake.
    group : str
        The connection's database group.
    connection_id : int
        Number shown in logs and by ``SELECT CONNECTION_ID()``.
    """

    def __init__(
        self, organisation: str, key_hash: str, group: str, connection_id: int
    ) -> None:
        self.organisation = organisation
        self.key_hash = key_hash
        self.group = group
        self.connection_id = connection_id
        self.autocommit = True
        self.last_insert_id = 0
        self.current_session = ""
        self._states_by_session: dict[str, CallerSessionState] = {}

    def state(self, session: str) -> CallerSessionState:
        """Return a session's state; a new one may replace the oldest."""
        state = self._states_by_session.get(session)
        if state is None:
            if len(self._states_by_session) >= MAX_SESSIONS:
                oldest = next(iter(self._states_by_session))
                del self._states_by_session[oldest]
            state = CallerSessionState()
            self._states_by_session[session] = state
        return state

    def clear_state(self) -> None:
        """Clear the state that COM_RESET_CONNECTION clears.

        Positions are kept, so that the caller still reads its own writes.
        """
        self.autocommit = True
        self.last_insert_id = 0
