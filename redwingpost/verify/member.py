"""A group's member as an immutable value that follows the target port.

The rules are those of ``docs/design/target-port.md``. Each flag of
``Rules`` disables one of them, so that the model checker can show that it
is needed.
"""

from typing import NamedTuple

from redwingpost.core import Position


class Rules(NamedTuple):
    """Rules in force; each one that is False makes a broken variant.

    Attributes
    ----------
    confirm : bool
        A write is acknowledged only once replicas have confirmed it.
    confirm_term : bool
        A replica's answer is compared by term and index, not by index alone.
    fence : bool
        A primary that has promised a later term takes no more writes.
    dedupe : bool
        A write whose key the primary has recorded doesn't run again.
    majority : bool
        An election needs a majority of all members, not of those reached.
    most_advanced : bool
        The member with the most advanced log is promoted.
    retry_table : bool
        ``redwingpost.retries.table`` decides whether a write is sent again.
    confirm_history : bool
        A later primary's history decides a write's outcome only once
        replicas have confirmed that term's first position.
    """

    confirm: bool = True
    confirm_term: bool = True
    fence: bool = True
    dedupe: bool = True
    majority: bool = True
    most_advanced: bool = True
    retry_table: bool = True
    confirm_history: bool = True


class Entry(NamedTuple):
    """A committed transaction; ``write`` is empty for a promotion."""

    term: int
    write: str


class Member(NamedTuple):
    """One member's durable state, which survives a crash."""

    name: str
    log: tuple[Entry, ...]
    promised_term: int
    claimant: str
    primary: bool
    follows: str

    @property
    def own_term(self) -> int:
        """Return the term of the last entry."""
        return self.log[-1].term

    @property
    def received(self) -> Position:
        """Return the position of the last entry."""
        return Position(self.own_term, len(self.log))

    def writes(self) -> tuple[str, ...]:
        """Return the writes that the log holds, in order."""
        return tuple(entry.write for entry in self.log if entry.write)


def claim(member: Member, term: int, claimant: str) -> Member:
    """Return the member after ``CLAIM``, unchanged if it refuses."""
    if term <= member.promised_term:
        return member
    return member._replace(promised_term=term, claimant=claimant)


def claim_accepted(member: Member, term: int, claimant: str) -> bool:
    """Return whether the member has accepted that claim."""
    return member.promised_term == term and member.claimant == claimant


def promote(member: Member, term: int, claimant: str) -> Member:
    """Return the member after ``PROMOTE``, unchanged if it refuses."""
    if not claim_accepted(member, term, claimant):
        return member
    if member.primary and member.own_term == term:
        return member
    log = (*member.log, Entry(term, ""))
    return member._replace(log=log, primary=True, follows="")


def follow(member: Member, term: int, primary: str) -> Member:
    """Return the member after ``FOLLOW``, unchanged if it refuses."""
    if term < member.promised_term or primary == member.name:
        return member
    claimant = member.claimant if term == member.promised_term else ""
    return member._replace(
        promised_term=term, claimant=claimant, primary=False, follows=primary
    )


def history_of(member: Member) -> tuple[Position, ...]:
    """Return the first position of each term in the member's log."""
    history = []
    for place, entry in enumerate(member.log, start=1):
        if not history or history[-1].term != entry.term:
            history.append(Position(entry.term, place))
    return tuple(history)


def takes_writes(member: Member, rules: Rules) -> bool:
    """Return whether the member commits a write now."""
    if not member.primary:
        return False
    return not rules.fence or member.promised_term == member.own_term


def commit(member: Member, write: str, keyed: bool, rules: Rules) -> Member:
    """Return the member after a write, unchanged if its key is recorded."""
    if keyed and rules.dedupe and write in member.writes():
        return member
    entry = Entry(_leading_term(member), write)
    return member._replace(log=(*member.log, entry))


def _leading_term(member: Member) -> int:
    return member.own_term


def pull(member: Member, primary: Member) -> Member:
    """Return the follower after one exchange with its primary.

    Entries that the primary doesn't hold are removed first; later exchanges
    copy one entry each.
    """
    if member.follows != primary.name or not primary.primary:
        return member
    if member.promised_term != primary.own_term:
        return member
    shared = _shared_length(member.log, primary.log)
    if shared < len(member.log):
        return member._replace(log=member.log[:shared])
    return member._replace(log=primary.log[: shared + 1])


def _shared_length(one: tuple[Entry, ...], other: tuple[Entry, ...]) -> int:
    length = 0
    for mine, theirs in zip(one, other):
        if mine != theirs:
            break
        length += 1
    return length
