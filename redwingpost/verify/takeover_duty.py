"""Model of a coordinator whose duty has ended, for the search of takeovers.

Another coordinator may act already. Commands that the first one sent before
may reach the members late. ``RESUME`` names no term.
"""

from collections.abc import Iterator

from redwingpost.verify.takeover_state import (
    Command,
    Coordinator,
    Faults,
    Member,
    Step,
    TakeoverRules,
    TakeoverState,
)


class DutySteps:
    """Generates the steps by which a duty ends, and of late commands."""

    def __init__(self, rules: TakeoverRules, faults: Faults) -> None:
        self._rules = rules
        self._faults = faults

    def steps(self, state: TakeoverState) -> Iterator[Step]:
        """Yield the name and the resulting state of every possible step."""
        if state.coordinator is not None and not state.has_lost_duty:
            yield from self._lose_steps(state, state.coordinator)
        for command in state.late_commands:
            yield (
                f"late {command.word} reaches {command.member}",
                _apply(state, command),
            )

    def _lose_steps(
        self, state: TakeoverState, coordinator: Coordinator
    ) -> Iterator[Step]:
        following = state._replace(coordinator=None, has_lost_duty=True)
        if self._faults.may_lose_duty and not self._rules.checks_duty:
            yield "the duty ends", following._replace(frozen=coordinator)
        if self._faults.may_arrive_late:
            for word, commands in self._commands(state, coordinator):
                yield (
                    f"the duty ends, {word} under way",
                    following._replace(late_commands=commands),
                )

    def _commands(
        self, state: TakeoverState, coordinator: Coordinator
    ) -> Iterator[tuple[str, frozenset[Command]]]:
        """Yield the commands that a coordinator may have sent last."""
        ordered = coordinator.known_order
        replicas = [
            number
            for number, member in enumerate(state.members)
            if number in coordinator.known
            and member.is_reachable
            and not member.is_primary
        ]
        yield "RESUME", frozenset(
            Command("RESUME", number, 0)
            for number in replicas
            if ordered in (None, number)
        )
        yield "PAUSE", frozenset(
            Command("PAUSE", number, coordinator.term) for number in replicas
        )
        if coordinator.old is not None:
            command = Command("step_down", coordinator.old, coordinator.term)
            yield "step_down", frozenset({command})


def _apply(state: TakeoverState, command: Command) -> TakeoverState:
    following = state._replace(late_commands=state.late_commands - {command})
    member = state.members[command.member]
    if member.is_down or member.is_partitioned or member.is_absent:
        return following
    changed = _obey(member, command)
    return following.with_member(command.member, changed)


def _obey(member: Member, command: Command) -> Member:
    """Return the member after a command."""
    if command.word == "step_down":
        steps_down = member.is_primary and member.term < command.term
        return member._replace(is_primary=False) if steps_down else member
    if member.is_primary:
        return member
    if command.word == "RESUME":
        return member._replace(paused_for=0)
    if command.term <= member.term:
        return member
    return member._replace(paused_for=command.term)
