"""Model of a listed member that never answered, for the search of takeovers.

Its entry may be another writer's, or a member may be cut off from all VMs and
still confirm the primary's commits.
"""

from collections.abc import Iterator

from redwingpost.verify.takeover_state import (
    Faults,
    Member,
    Step,
    TakeoverRules,
    TakeoverState,
)


class EntrySteps:
    """Generates the steps of a member that has never answered a VM."""

    def __init__(self, rules: TakeoverRules, faults: Faults) -> None:
        self._rules = rules
        self._faults = faults

    def steps(self, state: TakeoverState) -> Iterator[Step]:
        """Yield the name and the resulting state of every possible step."""
        for number, member in enumerate(state.members):
            if not member.is_unproven:
                continue
            if not state.is_entry_known:
                yield (
                    f"all VMs know of {number}",
                    state._replace(is_entry_known=True),
                )
            if not member.is_excused and self._may_excuse(state):
                excused = member._replace(is_excused=True)
                yield f"{number} is excused", state.with_member(
                    number, excused
                )
            if self._faults.may_take_place:
                yield f"{number} takes the place of 2", self._replace_entry(
                    state, number, member
                )
            if self._faults.may_answer_late and not member.is_down:
                proven = member._replace(
                    is_hidden=False,
                    is_unproven=False,
                    is_excused=False,
                    is_cut_off=False,
                    has_restarted=self._rules.doubts_newcomers,
                )
                yield f"{number} answers a VM", state.with_member(
                    number, proven
                )

    def _replace_entry(
        self, state: TakeoverState, number: int, member: Member
    ) -> TakeoverState:
        replaced = state.members[2]._replace(
            is_hidden=True, is_off_roster=True
        )
        if self._rules.inherits_proof:
            member = member._replace(is_unproven=False, is_excused=False)
        return state.with_member(2, replaced).with_member(number, member)

    def _may_excuse(self, state: TakeoverState) -> bool:
        """Return whether a takeover may do without the unproven member."""
        if not self._rules.skips_unproven:
            return False
        if not self._rules.waits_for_holders:
            return True
        primary = state.newest_primary()
        if not state.is_entry_known or primary is None:
            return False
        return all(
            _holds(member, primary)
            for member in state.rostered()
            if not member.is_unproven
        )


def _holds(member: Member, primary: Member) -> bool:
    return member.is_reachable and member.head >= primary.head
