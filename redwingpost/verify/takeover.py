"""Takeovers and proven reads, searched with the members' real rules.

Three members: one leads, two follow. A primary takes commits, which are
acknowledged once one replica has received them. A conductor pauses,
stops, chooses and orders; it may die at any step, and another, which
remembers nothing of the group, may start. A reader with an old view asks
for proofs. The decisions are those of ``redwingpost.takeover.plan`` and
``redwingpost.groups.evidence``; each rule can be switched off, and each
switched off must be caught.

What must hold: a promoted log holds every acknowledged commit; nothing is
acknowledged at a primary that was replaced; no read that is served lacks
what was acknowledged before it.
"""

from collections.abc import Iterator

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.groups.confirmation import (
    FAILS_ELSEWHERE_S,
    SETTLED_S,
    CommitStatus,
    ReplicaAnswer,
    TakeoverSigns,
    check_commit,
    needs_confirmation,
)
from redwingpost.ports.database import MemberEntry, StatusReport
from redwingpost.takeover.plan import MemberStatus, Survey, may_promote
from redwingpost.verify.takeover_reads import ReadSteps
from redwingpost.verify.takeover_state import (
    Conductor,
    Member,
    Moves,
    Pending,
    Step,
    TakeoverRules,
    TakeoverState,
    first_state,
    what_is_wrong,
)

__all__ = (
    "TakeoverModel",
    "TakeoverRules",
    "first_state",
    "what_is_wrong",
)

#: Commits and takeovers that a search plays.
MAX_COMMITS = 2
MAX_TAKEOVERS = 2

#: Members that are cut off together: the first primary alone, or with one
#: of its replicas.
_CUTS = ((0,), (0, 1))

#: A replica that is cut off by itself.
_REPLICA_CUTS = ((1,),)

_ENTRIES = tuple(
    MemberEntry(str(number), "g", "ip", number, "dc", False, False)
    for number in range(3)
)


class TakeoverModel:
    """Steps possible in a state.

    Parameters
    ----------
    rules : TakeoverRules
        The guards in force.
    restarts, may : optional
        What may go wrong, by the names of
        ``redwingpost.verify.takeover_state.Moves``.

    Examples
    --------
    >>> from redwingpost.verify.search import search
    >>> rules = TakeoverRules(checks_complete=False, confirms_commits=False)
    >>> model = TakeoverModel(rules)
    >>> bool(search(first_state(), model.steps, what_is_wrong).violation)
    True
    """

    def __init__(
        self, rules: TakeoverRules, restarts: int = 0, **may: bool
    ) -> None:
        self._rules = rules
        self._moves = Moves(restarts, **may)
        self._reads = ReadSteps(rules)

    def steps(self, state: TakeoverState) -> Iterator[Step]:
        """Return the steps possible in a state."""
        for number, member in enumerate(state.members):
            yield from self._member_steps(state, number, member)
        yield from self._cut_steps(state)
        yield from self._conductor_steps(state)
        yield from self._writer_steps(state)
        yield from self._reads.steps(state)

    # Members -----------------------------------------------------------

    def _member_steps(
        self, state: TakeoverState, number: int, member: Member
    ) -> Iterator[Step]:
        if (member.is_dark or member.is_cut) and not member.is_dropped:
            if self._moves.may_go or self._moves.may_return or member.is_cut:
                dropped = member._replace(is_dropped=True)
                yield f"{number} is off the list", state.put(number, dropped)
        if member.is_dark:
            yield from self._dark_steps(state, number, member)
        elif member.is_primary:
            yield from self._primary_steps(state, number, member)
        else:
            yield from self._replica_steps(state, number, member)

    def _dark_steps(
        self, state: TakeoverState, number: int, member: Member
    ) -> Iterator[Step]:
        if not member.is_dropped:
            return
        if self._moves.may_return:
            newest = state.newest_primary()
            is_replaced = newest is not None and newest.term > member.term
            back = member._replace(
                is_dark=False,
                is_dropped=False,
                has_restarted=True,
                is_primary=member.is_primary and not is_replaced,
            )
            yield f"{number} is back", state.put(number, back)
        elif not member.is_forgotten and self._may_forget(state, member):
            forgotten = member._replace(is_forgotten=True)
            yield f"{number} is forgotten", state.put(number, forgotten)

    def _may_forget(self, state: TakeoverState, member: Member) -> bool:
        """Say whether those that stay hold what a gone member may have."""
        if not self._rules.checks_floor:
            return True
        primary = state.newest_primary()
        if primary is None or not primary.is_reachable:
            return False
        stay = [m for m in state.members if not m.is_dropped]
        return len(stay) > 1 and all(m.head >= primary.head for m in stay)

    def _replica_steps(
        self, state: TakeoverState, number: int, member: Member
    ) -> Iterator[Step]:
        if member.paused_for and self._may_restart(state):
            again = member._replace(paused_for=0, has_restarted=True)
            following = state.put(number, again)
            yield (
                f"{number} restarts",
                following._replace(restarts=state.restarts + 1),
            )
        newest = state.newest_primary()
        if newest is None or newest.is_dark or newest.is_cut != member.is_cut:
            return
        if member.paused_for <= newest.term and newest.term > member.term:
            # What it had beyond the new primary's log is rolled back.
            follower = member.take_log(newest)._replace(paused_for=0)
            yield f"{number} follows", state.put(number, follower)

    def _may_restart(self, state: TakeoverState) -> bool:
        if state.restarts >= self._moves.restarts:
            return False
        conductor = state.conductor
        is_ordered = conductor is not None and conductor.is_ordered
        return not (is_ordered and self._moves.spares_ordered)

    def _primary_steps(
        self, state: TakeoverState, number: int, member: Member
    ) -> Iterator[Step]:
        if state.commits < MAX_COMMITS:
            entry = (state.commits, member.term)
            log = (*member.log, entry)
            grown = member._replace(log=log, applied=len(log))
            following = state.put(number, grown)
            yield (
                f"{number} takes a commit",
                following._replace(commits=state.commits + 1),
            )
        if state.takeovers == 0 and number == 0:
            yield "0 goes dark", state.put(0, member._replace(is_dark=True))
            if self._moves.may_hide and not member.is_hidden:
                hidden = member._replace(is_hidden=True)
                yield "0 is out of the conductor's reach", state.put(0, hidden)
        if member.term < state.newest_primary().term:
            # Told by the conductor, or by the new primary itself.
            yield (
                f"{number} steps down",
                state.put(number, member._replace(is_primary=False)),
            )
        for other, replica in enumerate(state.members):
            if replica.receives_from(member) and replica.log != member.log:
                yield (
                    f"{other} receives from {number}",
                    self._receive(state, number, other),
                )

    def _cut_steps(self, state: TakeoverState) -> Iterator[Step]:
        if not state.has_cut:
            cuts = _CUTS if self._moves.may_cut else ()
            if self._moves.may_lose_replica:
                cuts = (*cuts, *_REPLICA_CUTS)
            for cut in cuts:
                names = " and ".join(map(str, cut))
                following = state._replace(has_cut=True)
                for number in cut:
                    member = state.members[number]._replace(is_cut=True)
                    following = following.put(number, member)
                yield f"{names} are cut off", following
        if any(member.is_cut for member in state.members):
            healed = tuple(
                member._replace(
                    is_cut=False,
                    is_dropped=member.is_dropped and member.is_dark,
                )
                for member in state.members
            )
            yield "the cut heals", state._replace(members=healed)

    # Writers -----------------------------------------------------------

    def _receive(
        self, state: TakeoverState, number: int, other: int
    ) -> TakeoverState:
        """Let a replica take a primary's log, which then acknowledges it."""
        primary = state.members[number]
        following = state.put(other, state.members[other].take_log(primary))
        known = {item.commit for item in state.pending} | state.acknowledged
        is_late = state.newest_primary().term > primary.term
        fresh = frozenset(
            Pending(commit, number, is_late)
            for commit in primary.log
            if commit not in known
        )
        if self._needs_confirmation(following, primary):
            return following._replace(pending=state.pending | fresh)
        for item in fresh:
            following = _acknowledge(following, item)
        return following

    def _needs_confirmation(
        self, state: TakeoverState, primary: Member
    ) -> bool:
        """Say whether a takeover may be under way, as a writer's VM sees it.

        VMs tell each other which primaries they don't reach.
        """
        if not self._rules.confirms_commits:
            return False
        signs = TakeoverSigns(
            any(member.has_restarted for member in state.members),
            0.0 if primary.is_reachable else FAILS_ELSEWHERE_S,
            is_suspect=False,
            heard_half_s=SETTLED_S,
        )
        return needs_confirmation(signs)

    def _writer_steps(self, state: TakeoverState) -> Iterator[Step]:
        for item in state.pending:
            answers = self._answers_for(state, item.primary)
            if check_commit(item.commit[1], answers) is CommitStatus.KEPT:
                following = state._replace(pending=state.pending - {item})
                yield (
                    f"commit {item.commit[0]} is confirmed",
                    _acknowledge(following, item),
                )

    def _answers_for(
        self, state: TakeoverState, primary: int
    ) -> list[ReplicaAnswer]:
        """Return what a VM beside a primary hears of the others."""
        is_cut = state.members[primary].is_cut
        return [
            ReplicaAnswer(_report(member), not member.has_restarted)
            for number, member in enumerate(state.members)
            if number != primary
            and not member.is_dark
            and member.is_cut == is_cut
        ]

    # Conductor ---------------------------------------------------------

    def _conductor_steps(self, state: TakeoverState) -> Iterator[Step]:
        conductor = state.conductor
        if conductor is None:
            if state.takeovers < MAX_TAKEOVERS:
                yield from self._begin(state)
            return
        yield "conductor dies", state._replace(conductor=None)
        if conductor.is_ordered:
            if not state.members[conductor.chosen].is_dark:
                yield "promotion takes effect", _promote(state)
            return
        waiting = self._to_pause(state, conductor) - conductor.paused
        yield from self._pause_steps(state, conductor, waiting)
        if waiting:
            return
        if self._is_to_stop(state, conductor):
            yield self._stop(state, conductor)
        elif self._may_order(state, conductor):
            ordered = conductor._replace(is_ordered=True)
            yield "conductor orders", state._replace(conductor=ordered)

    def _begin(self, state: TakeoverState) -> Iterator[Step]:
        newest = state.newest_primary()
        old = None if newest is None else state.members.index(newest)
        answers = newest is not None and newest.is_reachable
        term = 1 + max(
            max(member.term, member.paused_for) for member in state.members
        )
        for chosen, member in enumerate(state.members):
            if member.is_primary or not member.is_reachable:
                continue
            for planned in (True, False) if answers else (False,):
                conductor = Conductor(term, planned, old, chosen)
                way = "planned" if planned else "unplanned"
                yield (
                    f"{way} takeover by {chosen}",
                    state._replace(
                        conductor=conductor, takeovers=state.takeovers + 1
                    ),
                )

    def _to_pause(
        self, state: TakeoverState, conductor: Conductor
    ) -> frozenset[int]:
        wanted = {
            number
            for number, member in enumerate(state.members)
            if number != conductor.old
            and not member.is_primary
            and member.is_reachable
        }
        if conductor.planned:
            wanted.discard(conductor.chosen)
        if not self._rules.pauses_others:
            wanted &= {conductor.chosen}
        return frozenset(wanted)

    def _pause_steps(
        self,
        state: TakeoverState,
        conductor: Conductor,
        waiting: frozenset[int],
    ) -> Iterator[Step]:
        for number in waiting:
            member = state.members[number]
            paused = member._replace(paused_for=conductor.term)
            following = state.put(number, paused)
            done = conductor._replace(paused=conductor.paused | {number})
            yield (
                f"conductor pauses {number}",
                following._replace(conductor=done),
            )

    def _is_to_stop(self, state: TakeoverState, conductor: Conductor) -> bool:
        if conductor.old is None or not self._rules.stops_first:
            return False
        old = state.members[conductor.old]
        return old.is_primary and old.is_reachable

    def _stop(self, state: TakeoverState, conductor: Conductor) -> Step:
        old = state.members[conductor.old]._replace(is_primary=False)
        following = state.put(conductor.old, old)
        stopped = conductor._replace(is_stopped=True)
        return (
            f"conductor stops {conductor.old}",
            following._replace(conductor=stopped),
        )

    def _may_order(self, state: TakeoverState, conductor: Conductor) -> bool:
        if not self._rules.checks_complete:
            return True
        if not state.members[conductor.chosen].is_reachable:
            return False
        statuses = tuple(
            self._status(conductor, number, member)
            for number, member in enumerate(state.members)
            if self._counts(conductor, number, member)
        )
        stopped = str(conductor.old) if conductor.is_stopped else None
        survey = Survey(statuses, stopped, conductor.term, 1, ZERO_POSITION)
        for item in statuses:
            if item.entry.member == str(conductor.chosen):
                return may_promote(item, survey)
        return False

    def _counts(
        self, conductor: Conductor, number: int, member: Member
    ) -> bool:
        """Say whether a member's answer is needed, or its silence told."""
        if member.is_forgotten:
            return False
        if member.is_dropped and not self._rules.counts_dropped:
            return False
        # Without a stop the old primary is left to itself.
        is_left = number == conductor.old and member.is_primary
        return self._rules.stops_first or not is_left

    def _status(
        self, conductor: Conductor, number: int, member: Member
    ) -> MemberStatus:
        has_answered = conductor.is_stopped and number == conductor.old
        if not member.is_reachable and not has_answered:
            return MemberStatus(_ENTRIES[number], None)
        paused_for = member.paused_for
        if not self._rules.asks_again and number in conductor.paused:
            paused_for = conductor.term
        report = _report(member)._replace(paused_for=paused_for)
        return MemberStatus(_ENTRIES[number], report)


def _report(member: Member) -> StatusReport:
    head = Position(*member.head)
    return StatusReport(
        member.is_primary, member.term, head, member.paused_for, 0, 0, 0
    )


def _acknowledge(state: TakeoverState, item: Pending) -> TakeoverState:
    """Tell a writer that its commit is kept."""
    following = state._replace(acknowledged=state.acknowledged | {item.commit})
    if item.is_late:
        return following._replace(wrong="acknowledged when replaced")
    newest = state.newest_primary()
    if newest is None or newest.term <= item.commit[1]:
        return following
    if item.commit not in newest.log:
        return following._replace(wrong="an acknowledged commit is lost")
    return following


def _promote(state: TakeoverState) -> TakeoverState:
    """Let the ordered promotion take effect."""
    conductor = state.conductor
    term = 1 + max(member.term for member in state.members)
    chosen = state.members[conductor.chosen]
    leader = chosen._replace(
        is_primary=True,
        term=term,
        paused_for=0,
        applied=len(chosen.log),
    )
    following = state.put(conductor.chosen, leader)
    if state.acknowledged - frozenset(leader.log):
        return following._replace(wrong="an acknowledged commit is lost")
    return following._replace(conductor=None)
