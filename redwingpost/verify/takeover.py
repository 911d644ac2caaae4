"""Takeovers and proven reads, searched with the members' real rules.

Three members: one leads, two follow. A primary takes commits, which are
acknowledged once one replica has received them. A conductor pauses,
chooses and orders; it may die at any step, and another may start. A
reader reads at whoever it takes for the primary and asks one replica for
a proof. Replicas may restart and forget their pause. The decisions are
those of ``redwingpost.takeover.plan`` and ``redwingpost.groups.evidence``;
each rule can be switched off, and each switched off must be caught.

What must hold: a promoted log holds every acknowledged commit; nothing is
acknowledged at a primary that was replaced; no read that is served lacks
what was acknowledged before it.
"""

from collections.abc import Iterator
from typing import NamedTuple

#: Commits and takeovers that a search plays.
MAX_COMMITS = 2
MAX_TAKEOVERS = 2


class TakeoverRules(NamedTuple):
    """Guards that may be switched off."""

    pauses_others: bool = True
    checks_complete: bool = True
    heeds_pause: bool = True
    asks_after_read: bool = True
    distrusts_restarted: bool = True
    checks_floor: bool = True


class Member(NamedTuple):
    """A member: ``log`` holds commits as (number, term).

    Reads see the first ``applied`` of them: a replica applies nothing
    here, which is the worst that it may do. ``is_gone``: dark, and no
    longer on the registry's list. ``began_with`` is the head of the log
    with which a primary began to lead.
    """

    is_primary: bool
    term: int
    log: tuple[tuple[int, int], ...] = ()
    paused_for: int = 0
    is_dark: bool = False
    has_restarted: bool = False
    applied: int = 0
    is_gone: bool = False
    began_with: tuple[int, int] = (0, 0)


class Conductor(NamedTuple):
    """A takeover under way; ``chosen`` and ``ordered`` are members."""

    term: int
    planned: bool
    old: int
    chosen: int
    paused: frozenset[int] = frozenset()
    ordered: bool = False


class Read(NamedTuple):
    """A read: where it ran, what it had to see, what it lacked."""

    member: int
    term: int
    must_see: frozenset
    has_run: bool = False
    lacks: frozenset = frozenset()
    is_proven: bool = False


class TakeoverState(NamedTuple):
    """Everything; ``wrong`` says what has gone wrong."""

    members: tuple[Member, ...]
    acknowledged: frozenset = frozenset()
    commits: int = 0
    takeovers: int = 0
    restarts: int = 0
    conductor: Conductor | None = None
    early_proof: tuple[int, int] | None = None
    read: Read | None = None
    wrong: str = ""


def first_state() -> TakeoverState:
    """Return a calm group of three."""
    members = (Member(True, 1), Member(False, 1), Member(False, 1))
    return TakeoverState(members)


def what_is_wrong(state: TakeoverState) -> str:
    """Return what has gone wrong, or an empty string."""
    return state.wrong


class TakeoverModel:
    """Steps possible in a state.

    Parameters
    ----------
    rules : TakeoverRules
        The guards in force.
    restarts : int, optional
        How often a replica may start again and forget its pause.
    may_go : bool, optional
        Whether a dark member may fall off the registry's list.
    may_return : bool, optional
        Whether it may come back after that, with its log.

    Examples
    --------
    >>> from redwingpost.verify.search import search
    >>> model = TakeoverModel(TakeoverRules(heeds_pause=False))
    >>> bool(search(first_state(), model.steps, what_is_wrong).violation)
    True
    """

    def __init__(
        self,
        rules: TakeoverRules,
        restarts: int = 0,
        may_go: bool = False,
        may_return: bool = False,
    ) -> None:
        self._may_return = may_return
        self._rules = rules
        self._restarts = restarts
        self._may_go = may_go

    def steps(
        self, state: TakeoverState
    ) -> Iterator[tuple[str, TakeoverState]]:
        """Return the steps possible in a state."""
        yield from self._member_steps(state)
        yield from self._conductor_steps(state)
        yield from self._read_steps(state)

    # Members -----------------------------------------------------------

    def _member_steps(self, state):
        for number, member in enumerate(state.members):
            if member.is_dark:
                if self._may_go and not member.is_gone:
                    gone = member._replace(is_gone=True)
                    yield f"{number} is off the list", _put(
                        state, number, gone
                    )
                is_replaced = any(
                    other.is_primary and other is not member
                    for other in state.members
                )
                if self._may_return and member.is_gone and is_replaced:
                    back = member._replace(
                        is_dark=False, is_gone=False, is_primary=False
                    )
                    yield f"{number} is back", _put(state, number, back)
                continue
            if member.is_primary:
                yield from self._primary_steps(state, number, member)
            else:
                yield from self._replica_steps(state, number, member)

    def _replica_steps(self, state, number, member):
        if member.paused_for and state.restarts < self._restarts:
            again = member._replace(paused_for=0, has_restarted=True)
            following = _put(state, number, again)
            yield (
                f"{number} restarts",
                following._replace(restarts=state.restarts + 1),
            )
        newest = max(
            (other for other in state.members if other.is_primary),
            key=lambda other: other.term,
        )
        if newest.is_dark or member.paused_for > newest.term:
            return
        if newest.term > member.term:
            # What it had beyond the new primary's log is rolled back.
            follower = _take_log(member, newest)._replace(paused_for=0)
            yield f"{number} follows", _put(state, number, follower)

    def _primary_steps(self, state, number, member):
        if state.commits < MAX_COMMITS:
            entry = (state.commits, member.term)
            log = (*member.log, entry)
            grown = member._replace(log=log, applied=len(log))
            following = _put(state, number, grown)
            yield (
                f"{number} takes a commit",
                following._replace(commits=state.commits + 1),
            )
        if state.takeovers == 0 and number == 0:
            yield "0 goes dark", _put(state, 0, member._replace(is_dark=True))
        newest = max(other.term for other in state.members if other.is_primary)
        if member.term < newest:
            # Told by the conductor, or by the new primary itself.
            yield (
                f"{number} steps down",
                _put(state, number, member._replace(is_primary=False)),
            )
        for other, replica in enumerate(state.members):
            if _receives(replica, member) and replica.log != member.log:
                yield (
                    f"{other} receives from {number}",
                    self._receive(state, number, other),
                )

    def _receive(self, state, number, other):
        primary = state.members[number]
        replica = state.members[other]
        updated = _take_log(replica, primary)
        following = _put(state, other, updated)
        fresh = frozenset(primary.log) - state.acknowledged
        newest = max(member.term for member in state.members)
        has_newer = any(
            member.is_primary and member.term > primary.term
            for member in state.members
        )
        if fresh and has_newer and newest > primary.term:
            return following._replace(wrong="acknowledged when replaced")
        return following._replace(acknowledged=state.acknowledged | fresh)

    # Conductor ---------------------------------------------------------

    def _conductor_steps(self, state):
        conductor = state.conductor
        if conductor is None:
            if state.takeovers < MAX_TAKEOVERS:
                yield from self._begin(state)
            return
        yield "conductor dies", state._replace(conductor=None)
        if conductor.ordered:
            yield "promotion takes effect", self._promote(state)
            return
        yield from self._pause_steps(state, conductor)
        if self._may_order(state, conductor):
            ordered = conductor._replace(ordered=True)
            yield "conductor orders", state._replace(conductor=ordered)

    def _begin(self, state):
        leading = [
            (member.term, number)
            for number, member in enumerate(state.members)
            if member.is_primary
        ]
        _, old = max(leading)
        term = 1 + max(
            max(member.term, member.paused_for) for member in state.members
        )
        is_dark = state.members[old].is_dark
        for chosen, member in enumerate(state.members):
            if chosen == old or member.is_primary or member.is_dark:
                continue
            for planned in (False,) if is_dark else (True, False):
                conductor = Conductor(term, planned, old, chosen)
                way = "planned" if planned else "unplanned"
                yield (
                    f"{way} takeover by {chosen}",
                    state._replace(
                        conductor=conductor, takeovers=state.takeovers + 1
                    ),
                )

    def _to_pause(self, state, conductor):
        wanted = {
            number
            for number, member in enumerate(state.members)
            if number != conductor.old and not member.is_primary
        }
        if conductor.planned:
            wanted.discard(conductor.chosen)
        if not self._rules.pauses_others:
            wanted &= {conductor.chosen}
        return wanted

    def _pause_steps(self, state, conductor):
        for number in self._to_pause(state, conductor) - conductor.paused:
            member = state.members[number]
            paused = member._replace(paused_for=conductor.term)
            following = _put(state, number, paused)
            done = conductor._replace(paused=conductor.paused | {number})
            yield (
                f"conductor pauses {number}",
                following._replace(conductor=done),
            )

    def _may_order(self, state, conductor) -> bool:
        if self._to_pause(state, conductor) - conductor.paused:
            return False
        if not self._rules.checks_complete:
            return True
        # One that was replaced and doesn't know can't be paused: it would
        # step down later and confirm commits.
        if any(
            member.is_primary and not member.is_dark
            for number, member in enumerate(state.members)
            if number != conductor.old
        ):
            return False
        chosen = state.members[conductor.chosen]
        floor = state.members[conductor.old].began_with
        if self._rules.checks_floor and _head(chosen) < floor:
            return False
        return all(
            _head(member) <= _head(chosen)
            for number, member in enumerate(state.members)
            if number not in (conductor.old, conductor.chosen)
            and not member.is_gone
        )

    def _promote(self, state):
        conductor = state.conductor
        term = 1 + max(member.term for member in state.members)
        chosen = state.members[conductor.chosen]
        leader = chosen._replace(
            is_primary=True,
            term=term,
            paused_for=0,
            applied=len(chosen.log),
            began_with=_head(chosen),
        )
        following = _put(state, conductor.chosen, leader)
        lost = state.acknowledged - frozenset(leader.log)
        if lost:
            return following._replace(wrong="an acknowledged commit is lost")
        return following._replace(conductor=None)

    # Reads -------------------------------------------------------------

    def _read_steps(self, state):
        read = state.read
        if read is None:
            for number, member in enumerate(state.members):
                if member.is_primary and not member.is_dark:
                    yield from self._begin_read(state, number, member.term)
            if not state.members[0].is_primary:
                # The reader hasn't heard that it was replaced.
                yield from self._begin_read(state, 0, 1)
            return
        if not read.has_run and not state.members[read.member].is_dark:
            yield "the read runs", state._replace(read=_run(state, read))
        if not read.is_proven:
            yield from self._proof_steps(state, read)
        if read.has_run and read.is_proven:
            wrong = "a read lacks a commit" if read.lacks else ""
            yield "the read is served", state._replace(wrong=wrong)

    def _begin_read(self, state, number, term):
        begun = Read(number, term, state.acknowledged)
        if state.early_proof == (number, term):
            begun = begun._replace(is_proven=True)
        yield f"a read begins for {number}", state._replace(read=begun)
        if self._rules.asks_after_read or state.early_proof is not None:
            return
        for other, replica in enumerate(state.members):
            if other != number and self._vouches(replica, begun):
                yield (
                    f"{other} vouches for {number} early",
                    state._replace(early_proof=(number, term)),
                )

    def _proof_steps(self, state, read):
        for number, member in enumerate(state.members):
            if number == read.member or member.is_dark:
                continue
            if self._vouches(member, read):
                proven = read._replace(is_proven=True)
                yield (
                    f"{number} vouches for {read.member}",
                    state._replace(read=proven),
                )

    def _vouches(self, member: Member, read: Read) -> bool:
        if member.is_primary or member.term > read.term:
            return False
        if self._rules.heeds_pause and member.paused_for > read.term:
            return False
        return not (self._rules.distrusts_restarted and member.has_restarted)


def _run(state: TakeoverState, read: Read) -> Read:
    member = state.members[read.member]
    # A replica may not have applied the last that it has received.
    seen = frozenset(member.log[: member.applied])
    return read._replace(has_run=True, lacks=read.must_see - seen)


def _take_log(replica: Member, primary: Member) -> Member:
    """Return a replica with a primary's log; what differs is dropped."""
    common = 0
    for mine, theirs in zip(replica.log, primary.log):
        if mine != theirs:
            break
        common += 1
    return replica._replace(
        log=primary.log,
        term=primary.term,
        applied=min(replica.applied, common),
    )


def _receives(replica: Member, primary: Member) -> bool:
    return (
        not replica.is_primary
        and not replica.is_dark
        and replica.paused_for <= primary.term
        and replica.term <= primary.term
    )


def _head(member: Member) -> tuple[int, int]:
    """Return a log's end; terms go before lengths."""
    if not member.log:
        return (0, 0)
    return (member.log[-1][1], len(member.log))


def _put(state: TakeoverState, number: int, member: Member) -> TakeoverState:
    members = list(state.members)
    members[number] = member
    return state._replace(members=tuple(members))
