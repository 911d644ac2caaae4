"""Model of a reader with an outdated view, for the search of takeovers.

It reads from the member that it takes for the primary, and requests a proof
from one replica that no promotion was in effect when the read began. A
replica that the coordinator couldn't pause may not know of a promotion; the
old primary was stopped then, and no longer reports that it leads.
"""

from collections.abc import Iterator

from redwingpost.verify.takeover_state import (
    Member,
    Read,
    Step,
    TakeoverRules,
    TakeoverState,
)


class ReadSteps:
    """Generates the steps of the reader."""

    def __init__(self, rules: TakeoverRules) -> None:
        self._rules = rules

    def steps(self, state: TakeoverState) -> Iterator[Step]:
        """Yield the name and the resulting state of every possible step."""
        read = state.read
        if read is None:
            yield from self._start_steps(state)
            return
        if not read.has_run and not state.members[read.member].is_down:
            yield "the read runs", state._replace(read=_run(state, read))
        if not read.is_proven:
            yield from self._proof_steps(state, read)
        if not read.is_primary_confirmed and self._reports_as_primary(
            state, read
        ):
            yield (
                f"{read.member} reports that it leads",
                state._replace(read=read._replace(is_primary_confirmed=True)),
            )
        is_primary_confirmed = (
            read.is_primary_confirmed or not self._rules.asks_primary
        )
        if read.has_run and read.is_proven and is_primary_confirmed:
            violation = "a read lacks a commit" if read.missing else ""
            yield "the read is served", state._replace(violation=violation)

    def _start_steps(self, state: TakeoverState) -> Iterator[Step]:
        for number, member in enumerate(state.members):
            if member.is_primary and not member.is_down:
                yield from self._start_read(state, number, member.term)
        if not state.members[0].is_primary:
            # The reader doesn't know yet that member 0 was replaced.
            yield from self._start_read(state, 0, 1)

    def _start_read(
        self, state: TakeoverState, number: int, term: int
    ) -> Iterator[Step]:
        started = Read(number, term, state.acknowledged)
        if state.early_proof == (number, term):
            started = started._replace(is_proven=True)
        yield f"a read begins for {number}", state._replace(read=started)
        if self._rules.proves_after_start or state.early_proof is not None:
            return
        for other, replica in enumerate(state.members):
            if replica.is_absent:
                continue
            if other != number and self._confirms_primary(replica, started):
                yield (
                    f"{other} confirms {number} early",
                    state._replace(early_proof=(number, term)),
                )

    def _proof_steps(self, state: TakeoverState, read: Read) -> Iterator[Step]:
        for number, member in enumerate(state.members):
            if number == read.member or member.is_down or member.is_absent:
                continue
            if self._distrusts(member, state.members[read.member]):
                continue
            if self._confirms_primary(member, read):
                proven = read._replace(is_proven=True)
                yield (
                    f"{number} confirms {read.member}",
                    state._replace(read=proven),
                )

    def _distrusts(self, member: Member, primary: Member) -> bool:
        """Return whether a new member's report counts for nothing."""
        is_failing = self._rules.distrusts_joined and not primary.is_reachable
        return member.has_joined and is_failing

    def _reports_as_primary(self, state: TakeoverState, read: Read) -> bool:
        if not self._rules.asks_primary:
            return False
        member = state.members[read.member]
        return (
            member.is_primary
            and not member.is_down
            and member.term == read.term
        )

    def _confirms_primary(self, member: Member, read: Read) -> bool:
        if member.is_primary or member.term > read.term:
            return False
        if self._rules.respects_pause and member.paused_for > read.term:
            return False
        return not (
            self._rules.excludes_restarted and member.is_known_restarted
        )


def _run(state: TakeoverState, read: Read) -> Read:
    member = state.members[read.member]
    # A replica may not have applied its last received commits.
    visible = frozenset(member.log[: member.applied])
    return read._replace(has_run=True, missing=read.must_see - visible)
