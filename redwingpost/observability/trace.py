"""Where a statement's time goes: the inputs of its log line.

A late statement waited for a connection, or ran long at its member, or
was tried several times. Without the parts a log line can only say that
it was late.
"""

from typing import NamedTuple


class RunParts(NamedTuple):
    """What another VM tells of a statement that it ran for this one.

    ``waited_s`` for connections and ``ran_s`` at members are seconds.
    """

    member: str
    tries: int
    waited_s: float
    ran_s: float
    may_have_run: bool


class StatementTrace:
    """Parts of the time of one statement (seconds).

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
        """Note that a member gets the statement."""
        self._sent += 1

    def note_not_run(self) -> None:
        """Note that a member says that it hasn't run the statement."""
        self._sent -= 1

    def note_wait(self, member: str, seconds: float) -> None:
        """Note a wait for a connection to a member."""
        self._member = member
        self._waited_s += seconds

    def note_run(self, member: str, seconds: float) -> None:
        """Note that a member was asked, and for how long."""
        self._member = member
        self._tries += 1
        self._ran_s += seconds

    def note_elsewhere(self, vm: str, parts: RunParts) -> None:
        """Note what another VM did with the statement."""
        self._home = vm or self._home
        self._member = parts.member
        self._tries += parts.tries
        self._waited_s += parts.waited_s
        self._ran_s += parts.ran_s
        self._sent += parts.may_have_run

    def parts(self) -> RunParts:
        """Return what to tell the VM for which the statement ran."""
        return RunParts(
            self._member,
            self._tries,
            self._waited_s,
            self._ran_s,
            self.may_have_run,
        )

    def describe(self) -> dict[str, str | int | float]:
        """Return the fields of a log line; of several members the last.

        Two members that were asked side by side both count: the parts
        may add up to more than the whole.

        ``home`` is the VM that ran the statement for this one, if any did.
        """
        fields = {
            "member": self._member,
            "tries": self._tries,
            "waited_s": round(self._waited_s, 4),
            "ran_s": round(self._ran_s, 4),
        }
        return {**fields, "home": self._home} if self._home else fields
