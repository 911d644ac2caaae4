"""What a search of takeovers keeps of a group: members, steps under way."""

from typing import NamedTuple

#: A commit: its number and the term that it was taken in.
Commit = tuple[int, int]


class TakeoverRules(NamedTuple):
    """Guards that may be switched off.

    ``checks_floor``: a member that is gone is forgotten only once those
    that stay hold what the primary does. ``counts_dropped``: one that the
    registry no longer lists counts until then. ``stops_first``: an old
    primary that answers is stopped before the order. ``asks_again``: the
    pauses are confirmed right before the order. ``confirms_commits``: while
    a takeover may be under way, replicas are asked before a writer is told
    that its commit is kept. ``asks_leader``: whoever a read ran at must
    say itself that it leads, after the read began.
    """

    pauses_others: bool = True
    checks_complete: bool = True
    heeds_pause: bool = True
    asks_after_read: bool = True
    distrusts_restarted: bool = True
    checks_floor: bool = True
    counts_dropped: bool = True
    stops_first: bool = True
    asks_again: bool = True
    confirms_commits: bool = True
    asks_leader: bool = True


class Moves(NamedTuple):
    """What may go wrong in a search.

    ``restarts`` is how often a replica may start again and forget its
    pause. ``may_go``: a dark member may be gone for good. ``may_return``:
    it may fall off the registry's list and come back, with its log.
    ``may_cut``: members may be cut off together. ``may_hide``: the
    conductor may not reach a primary that its replicas reach.
    ``spares_ordered``: none starts again between an order and its effect.
    ``may_lose_replica``: a replica may be cut off by itself.
    """

    restarts: int = 0
    may_go: bool = False
    may_return: bool = False
    may_cut: bool = False
    may_hide: bool = False
    spares_ordered: bool = False
    may_lose_replica: bool = False


class Member(NamedTuple):
    """A member and its log.

    Reads see the first ``applied`` commits: a replica applies nothing
    here, which is the worst that it may do. ``is_dropped``: off the
    registry's list; ``is_forgotten``: known to be gone, so that nobody
    waits for its word.
    """

    is_primary: bool
    term: int
    log: tuple[Commit, ...] = ()
    paused_for: int = 0
    is_dark: bool = False
    is_cut: bool = False
    is_hidden: bool = False
    has_restarted: bool = False
    applied: int = 0
    is_dropped: bool = False
    is_forgotten: bool = False

    @property
    def head(self) -> tuple[int, int]:
        """Return the log's end; terms go before lengths."""
        if not self.log:
            return (0, 0)
        return (self.log[-1][1], len(self.log))

    @property
    def is_reachable(self) -> bool:
        """Return whether the conductor reaches the member."""
        return not (self.is_dark or self.is_cut or self.is_hidden)

    def take_log(self, primary: "Member") -> "Member":
        """Return the replica with a primary's log; the rest is dropped."""
        common = 0
        for mine, theirs in zip(self.log, primary.log):
            if mine != theirs:
                break
            common += 1
        return self._replace(
            log=primary.log,
            term=primary.term,
            applied=min(self.applied, common),
        )

    def receives_from(self, primary: "Member") -> bool:
        """Say whether the member takes commits from a primary."""
        return (
            not self.is_primary
            and not self.is_dark
            and self.is_cut == primary.is_cut
            and self.paused_for <= primary.term
            and self.term <= primary.term
        )


class Conductor(NamedTuple):
    """A takeover under way; ``old`` and ``chosen`` are members.

    ``old`` is None where nobody leads.
    """

    term: int
    planned: bool
    old: int | None
    chosen: int
    paused: frozenset[int] = frozenset()
    is_stopped: bool = False
    is_ordered: bool = False


class Pending(NamedTuple):
    """A commit that a primary has acknowledged and no writer knows of yet.

    ``is_late``: the primary had been replaced by then.
    """

    commit: Commit
    primary: int
    is_late: bool


class Read(NamedTuple):
    """A read: where it ran, what it had to see, what it lacked.

    ``is_proven``: a replica has vouched for the member; ``is_claimed``: the
    member has said that it leads.
    """

    member: int
    term: int
    must_see: frozenset[Commit]
    has_run: bool = False
    lacks: frozenset[Commit] = frozenset()
    is_proven: bool = False
    is_claimed: bool = False


class TakeoverState(NamedTuple):
    """Everything; ``wrong`` says what has gone wrong."""

    members: tuple[Member, ...]
    acknowledged: frozenset[Commit] = frozenset()
    pending: frozenset[Pending] = frozenset()
    commits: int = 0
    takeovers: int = 0
    restarts: int = 0
    has_cut: bool = False
    conductor: Conductor | None = None
    early_proof: tuple[int, int] | None = None
    read: Read | None = None
    wrong: str = ""

    def put(self, number: int, member: Member) -> "TakeoverState":
        """Return the state with one member changed."""
        members = list(self.members)
        members[number] = member
        return self._replace(members=tuple(members))

    def newest_primary(self) -> Member | None:
        """Return who leads in the highest term."""
        leading = (member for member in self.members if member.is_primary)
        return max(leading, key=lambda member: member.term, default=None)


#: A step's name and the state that it leads to.
Step = tuple[str, TakeoverState]


def first_state() -> TakeoverState:
    """Return a calm group of three."""
    members = (Member(True, 1), Member(False, 1), Member(False, 1))
    return TakeoverState(members)


def what_is_wrong(state: TakeoverState) -> str:
    """Return what has gone wrong, or an empty string."""
    return state.wrong
