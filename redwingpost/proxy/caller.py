"""What a proxy keeps of one caller's connection."""

from typing import NamedTuple

from redwingpost.core import Position
from redwingpost.sessions import SessionPositions

#: Sessions one connection may carry side by side; a pooled application
#: connection rarely serves more in its life, and beyond this the oldest
#: is dropped, whose next read then asks the primary.
MAX_SESSIONS = 64


class SeenAt(NamedTuple):
    """Where and until when a session's last read ran.

    What it saw is covered by any status of the member that was asked for
    after ``until`` (seconds); before one has come, later reads of the
    session stay on the member, or they might see an older state.
    """

    member: str
    until: float


class CallerSessionState:
    """Positions of one session as this connection knows them."""

    def __init__(self) -> None:
        self.positions = SessionPositions()
        self.seen_by_group: dict[str, SeenAt] = {}

    def advance(self, group: str, position: Position) -> None:
        """Note a position that the session saw or wrote."""
        self.positions.advance(group, position)


class Caller:
    """One connection: who it is and what it has open.

    Parameters
    ----------
    organisation, key_hash : str
        As proven at the handshake.
    group : str
        The connection's database group.
    connection_id : int
        Number in logs and in ``SELECT CONNECTION_ID()``.
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
        """Return the state of a session, the oldest giving way."""
        state = self._states_by_session.get(session)
        if state is None:
            if len(self._states_by_session) >= MAX_SESSIONS:
                oldest = next(iter(self._states_by_session))
                del self._states_by_session[oldest]
            state = CallerSessionState()
            self._states_by_session[session] = state
        return state

    def forget(self) -> None:
        """Drop what COM_RESET_CONNECTION drops.

        Positions stay: the caller's own writes are still its own.
        """
        self.autocommit = True
        self.last_insert_id = 0
