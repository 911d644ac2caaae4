"""The parts of a statement's latency, for its log line.

A statement is late because it waited for a connection, ran long at its
member or was tried several times. The parts in the log line show which.
"""

from typing import NamedTuple


class RunParts(NamedTuple):
    """The trace of a statement that another VM ran for this one.

    ``waited_s`` is the time spent waiting for connections, ``ran_s`` the
    time at members (seconds).
    """

    member: str
    tries: int
    waited_s: float
    ran_s: float
    may_have_run: bool


class StatementTrace:
    """Accumulates the parts of one statement's latency (seconds).

    Examples
    --------
    >>> trace = StatementTrace()
    >>> trace.note_wait("m1", 0.2)
    >>> trace.note_run("m1", 0.05)
    >>> trace.describe()
    {'member': 'm1', 'tries': 1, 'waited_s': 0.2, 'ran_s': 0.05}
    """

    def __init__(self) -> None:
        self._member = ""
        self._tries = 0
        self._waited_s = 0.0
        self._ran_s = 0.0
        self._sent = 0
        self._home = ""

    @property
    def may_have_run(self) -> bool:
        """Whether a member may have run the statement.

        Examples
        --------
        >>> trace = StatementTrace()
        >>> trace.note_sent()
        >>> trace.may_have_run
        True
        >>> trace.note_not_run()
        >>> trace.may_have_run
        False
        """
        return self._sent > 0

    def note_sent(self) -> None:
        """Note that the statement is sent to a member."""
        self._sent += 1

    def note_not_run(self) -> None:
        """Note that a member answered that it didn't run the statement."""
        self._sent -= 1

    def note_wait(self, member: str, seconds: float) -> None:
        """Note a wait for a connection to a member."""
        self._member = member
        self._waited_s += seconds

    def note_run(self, member: str, seconds: float) -> None:
        """Note one try at a member and its duration."""
        self._member = member
        self._tries += 1
        self._ran_s += seconds

    def note_remote_run(self, vm: str, parts: RunParts) -> None:
        """Add the parts of a run that another VM did for this one."""
        self._home = vm or self._home
        self._member = parts.member
        self._tries += parts.tries
        self._waited_s += parts.waited_s
        self._ran_s += parts.ran_s
        self._sent += parts.may_have_run

    def parts(self) -> RunParts:
        """Return the parts, to send to the VM that forwarded it."""
        return RunParts(
            self._member,
            self._tries,
            self._waited_s,
            self._ran_s,
            self.may_have_run,
        )

    def describe(self) -> dict[str, str | int | float]:
        """Return the fields of a log line.

        ``member`` is the last of several members. Tries that ran at two
        members in parallel both count, so that the parts may add up to
        more than the total. ``home`` is the VM that ran the statement for
        this one, if any.
        """
        fields = {
            "member": self._member,
            "tries": self._tries,
            "waited_s": round(self._waited_s, 4),
            "ran_s": round(self._ran_s, 4),
        }
        return {**fields, "home": self._home} if self._home else fields
