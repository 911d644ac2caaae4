"""A reader with an old view, for the search of takeovers.

It reads at whoever it takes for the primary, and asks one replica for a
proof that no promotion was in effect when the read began. A replica that
nobody could pause may not know of one; the old primary was stopped then,
and doesn't say any more that it leads.
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
    """Steps of the reader."""

    def __init__(self, rules: TakeoverRules) -> None:
        self._rules = rules

    def steps(self, state: TakeoverState) -> Iterator[Step]:
        """Return the steps possible in a state."""
        read = state.read
        if read is None:
            yield from self._first_steps(state)
            return
        if not read.has_run and not state.members[read.member].is_dark:
            yield "the read runs", state._replace(read=_run(state, read))
        if not read.is_proven:
            yield from self._proof_steps(state, read)
        if not read.is_claimed and self._claims_to_lead(state, read):
            yield (
                f"{read.member} says that it leads",
                state._replace(read=read._replace(is_claimed=True)),
            )
        is_claimed = read.is_claimed or not self._rules.asks_leader
        if read.has_run and read.is_proven and is_claimed:
            wrong = "a read lacks a commit" if read.lacks else ""
            yield "the read is served", state._replace(wrong=wrong)

    def _first_steps(self, state: TakeoverState) -> Iterator[Step]:
        for number, member in enumerate(state.members):
            if member.is_primary and not member.is_dark:
                yield from self._begin(state, number, member.term)
        if not state.members[0].is_primary:
            # The reader hasn't heard that it was replaced.
            yield from self._begin(state, 0, 1)

    def _begin(
        self, state: TakeoverState, number: int, term: int
    ) -> Iterator[Step]:
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

    def _proof_steps(self, state: TakeoverState, read: Read) -> Iterator[Step]:
        for number, member in enumerate(state.members):
            if number == read.member or member.is_dark:
                continue
            if self._vouches(member, read):
                proven = read._replace(is_proven=True)
                yield (
                    f"{number} vouches for {read.member}",
                    state._replace(read=proven),
                )

    def _claims_to_lead(self, state: TakeoverState, read: Read) -> bool:
        if not self._rules.asks_leader:
            return False
        member = state.members[read.member]
        return (
            member.is_primary
            and not member.is_dark
            and member.term == read.term
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
