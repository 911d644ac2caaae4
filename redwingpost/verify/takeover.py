"""Model of takeovers and proven reads, for the search.

There are three members: a primary and two replicas; a fourth may join at any
step. A primary takes commits, which are acknowledged once one replica has
received them (``takeover_writers``). A coordinator pauses replicas, stops the
primary, chooses a replica and orders its promotion (``takeover_orders``). It
may crash at any step, and another one, without any state of the group, may
start. A reader with an outdated view requests proofs. The decisions are those
of ``redwingpost.takeover.plan``, ``redwingpost.takeover.orders`` and
``redwingpost.groups.confirmation``, the modules that run in production; the
proofs follow ``redwingpost.groups.evidence``. Each rule can be disabled;
the search must then find a violation.

The invariants: a promoted log holds every acknowledged commit; nothing is
acknowledged at a primary that was replaced; no read that is served lacks a
commit that was acknowledged before it.
"""

from collections.abc import Iterator

from redwingpost.core.positions import ZERO_POSITION
from redwingpost.ports.database import MemberEntry
from redwingpost.takeover.plan import MemberStatus, Survey, may_promote
from redwingpost.verify.takeover_duty import DutySteps
from redwingpost.verify.takeover_entries import EntrySteps
from redwingpost.verify.takeover_orders import OrderSteps
from redwingpost.verify.takeover_reads import ReadSteps
from redwingpost.verify.takeover_state import (
    Coordinator,
    Faults,
    Limits,
    Member,
    Step,
    TakeoverRules,
    TakeoverState,
    find_violation,
    first_state,
    hidden_state,
    replaced_state,
    unproven_state,
)
from redwingpost.verify.takeover_writers import WriterSteps, report

__all__ = (
    "Limits",
    "TakeoverModel",
    "TakeoverRules",
    "first_state",
    "find_violation",
    "hidden_state",
    "replaced_state",
    "unproven_state",
)

#: Members that are partitioned from the others together: the first primary
#: alone, or with one of its replicas.
_PARTITIONS = ((0,), (0, 1))

#: Largest number of changes of the coordinator's VM in a search.
MAX_VIEWS = 2

#: A replica that is partitioned alone.
_REPLICA_PARTITIONS = ((1,),)

_ENTRIES = tuple(
    MemberEntry(str(number), "g", "ip", number, "dc", False, False)
    for number in range(4)
)


class TakeoverModel:
    """Generates the steps that are possible in a state.

    Parameters
    ----------
    rules : TakeoverRules
        Rules in force.
    limits : Limits, optional
        Largest numbers of commits and takeovers.
    restarts, may : optional
        Faults that may occur: the fields of
        ``redwingpost.verify.takeover_state.Faults``.

    Examples
    --------
    >>> from redwingpost.verify.search import search
    >>> rules = TakeoverRules(checks_complete=False, confirms_commits=False)
    >>> model = TakeoverModel(rules)
    >>> bool(search(first_state(), model.steps, find_violation).violation)
    True
    """

    def __init__(
        self,
        rules: TakeoverRules,
        restarts: int = 0,
        limits: Limits = Limits(),
        **may: bool,
    ) -> None:
        self._rules = rules
        self._limits = limits
        self._faults = Faults(restarts, **may)
        self._reads = ReadSteps(rules)
        self._writers = WriterSteps(rules, self._faults)
        self._orders = OrderSteps(rules, self._faults)
        self._entries = EntrySteps(rules, self._faults)
        self._duty = DutySteps(rules, self._faults)

    def steps(self, state: TakeoverState) -> Iterator[Step]:
        """Yield the name and the resulting state of every possible step."""
        for number, member in enumerate(state.members):
            yield from self._member_steps(state, number, member)
        yield from self._partition_steps(state)
        yield from self._coordinator_steps(state)
        yield from self._view_steps(state)
        yield from self._entries.steps(state)
        if state.frozen is not None:
            yield from self._frozen_steps(state)
        yield from self._duty.steps(state)
        yield from self._orders.steps(state)
        yield from self._writers.steps(state)
        if not self._faults.no_reads:
            yield from self._reads.steps(state)

    # Members -----------------------------------------------------------

    def _member_steps(
        self, state: TakeoverState, number: int, member: Member
    ) -> Iterator[Step]:
        if member.is_absent:
            if self._faults.may_join:
                joined = member._replace(is_absent=False, has_joined=True)
                yield f"{number} joins", state.with_member(number, joined)
            return
        if (
            member.is_down or member.is_partitioned
        ) and not member.is_unlisted:
            if (
                self._faults.may_vanish
                or self._faults.may_return
                or member.is_partitioned
            ):
                unlisted = member._replace(is_unlisted=True)
                yield f"{number} is unlisted", state.with_member(
                    number, unlisted
                )
        if member.is_down:
            yield from self._down_steps(state, number, member)
        elif member.is_primary:
            yield from self._primary_steps(state, number, member)
        else:
            yield from self._replica_steps(state, number, member)

    def _down_steps(
        self, state: TakeoverState, number: int, member: Member
    ) -> Iterator[Step]:
        if not member.is_unlisted:
            return
        if self._faults.may_return:
            newest = state.newest_primary()
            is_replaced = newest is not None and newest.term > member.term
            returned = member._replace(
                is_down=False,
                is_unlisted=False,
                has_restarted=True,
                is_primary=member.is_primary and not is_replaced,
            )
            yield f"{number} returns", state.with_member(number, returned)
        elif not member.is_off_roster and self._may_leave_roster(
            state, member
        ):
            removed = member._replace(is_off_roster=True)
            yield f"{number} is off the roster", state.with_member(
                number, removed
            )

    def _may_leave_roster(self, state: TakeoverState, member: Member) -> bool:
        """Return whether the remaining members hold the primary's log."""
        if not self._rules.checks_floor:
            return True
        primary = state.newest_primary()
        if primary is None or not primary.is_reachable:
            return False
        remaining = [
            member
            for member in state.members
            if not (member.is_unlisted or member.is_absent)
        ]
        return len(remaining) > 1 and all(
            m.head >= primary.head for m in remaining
        )

    def _replica_steps(
        self, state: TakeoverState, number: int, member: Member
    ) -> Iterator[Step]:
        if member.paused_for and self._may_restart(state):
            restarted = member._replace(
                paused_for=0,
                has_restarted=True,
                is_restart_unseen=self._faults.may_restart_unseen,
            )
            following = state.with_member(number, restarted)
            yield (
                f"{number} restarts",
                following._replace(restarts=state.restarts + 1),
            )
        if member.is_restart_unseen:
            yield (
                f"VMs learn that {number} has restarted",
                state.with_member(
                    number, member._replace(is_restart_unseen=False)
                ),
            )
        newest = state.newest_primary()
        if (
            newest is None
            or newest.is_down
            or newest.is_partitioned != member.is_partitioned
        ):
            return
        if member.paused_for <= newest.term and newest.term > member.term:
            # Commits that the new primary's log lacks are rolled back.
            follower = member.take_log(newest)._replace(paused_for=0)
            yield f"{number} follows", state.with_member(number, follower)

    def _may_restart(self, state: TakeoverState) -> bool:
        if state.restarts >= self._faults.restarts:
            return False
        coordinator = state.coordinator
        is_ordered = coordinator is not None and coordinator.is_ordered
        return not (is_ordered and self._faults.no_restart_after_order)

    def _primary_steps(
        self, state: TakeoverState, number: int, member: Member
    ) -> Iterator[Step]:
        if state.commits < self._limits.commits:
            entry = (state.commits, member.term)
            log = (*member.log, entry)
            extended = member._replace(log=log, applied=len(log))
            following = state.with_member(number, extended)
            yield (
                f"{number} takes a commit",
                following._replace(commits=state.commits + 1),
            )
        if state.takeovers == 0 and number == 0:
            yield "0 crashes", state.with_member(
                0, member._replace(is_down=True)
            )
            if self._faults.may_be_hidden and not member.is_hidden:
                hidden = member._replace(is_hidden=True)
                yield "0 is hidden from the coordinator", state.with_member(
                    0, hidden
                )
        if member.is_hidden and self._faults.may_come_back:
            found = member._replace(is_hidden=False)
            yield f"{number} is reached again", state.with_member(
                number, found
            )
        if member.term < state.newest_primary().term:
            # Ordered by the coordinator, or by the new primary.
            yield (
                f"{number} steps down",
                state.with_member(number, member._replace(is_primary=False)),
            )
        for other, replica in enumerate(state.members):
            if replica.receives_from(member) and replica.log != member.log:
                yield (
                    f"{other} receives from {number}",
                    self._writers.receive(state, number, other),
                )

    def _partition_steps(self, state: TakeoverState) -> Iterator[Step]:
        if not state.has_partitioned:
            partitions = _PARTITIONS if self._faults.may_partition else ()
            if self._faults.may_partition_replica:
                partitions = (*partitions, *_REPLICA_PARTITIONS)
            for partition in partitions:
                names = " and ".join(map(str, partition))
                following = state._replace(has_partitioned=True)
                for number in partition:
                    member = state.members[number]._replace(
                        is_partitioned=True
                    )
                    following = following.with_member(number, member)
                yield f"{names} partitioned", following
        if any(member.is_partitioned for member in state.members):
            healed = tuple(
                member._replace(
                    is_partitioned=False,
                    is_unlisted=member.is_unlisted and member.is_down,
                )
                for member in state.members
            )
            yield "the partition heals", state._replace(members=healed)

    # Coordinator -------------------------------------------------------

    def _coordinator_steps(self, state: TakeoverState) -> Iterator[Step]:
        coordinator = state.coordinator
        if coordinator is None:
            if state.takeovers < self._limits.takeovers:
                yield from self._start_takeover(state)
            return
        yield "coordinator crashes", self._orders.end_takeover(state)
        if coordinator.is_ordered:
            if state.members[coordinator.chosen].is_primary:
                yield "coordinator finishes", self._orders.finish(state)
                return
            if self._faults.may_order_late:
                yield "coordinator gives up", self._orders.give_up(state)
            if self._faults.may_repeat_orders and len(state.orders) == 1:
                yield (
                    "promotion ordered again",
                    self._orders.send(state, coordinator),
                )
            return
        waiting = (
            self._members_to_pause(state, coordinator) - coordinator.paused
        )
        yield from self._pause_steps(state, coordinator, waiting)
        if waiting:
            return
        if self._must_stop(state, coordinator):
            yield self._stop(state, coordinator)
            return
        if self._rules.reads_members and not coordinator.has_all_members:
            complete = coordinator._replace(
                known=_present(state), has_all_members=True
            )
            yield (
                "coordinator reads the registry",
                state._replace(coordinator=complete),
            )
        if self._faults.may_order_late:
            yield "coordinator gives up", self._orders.give_up(state)
        if self._may_order(state, coordinator):
            yield "promotion ordered", self._orders.send(state, coordinator)

    def _frozen_steps(self, state: TakeoverState) -> Iterator[Step]:
        """Yield the steps of a coordinator whose duty has ended."""
        own = state._replace(coordinator=state.frozen)
        for name, following in self._coordinator_steps(own):
            if following.orders == state.orders:
                yield f"former {name}", following._replace(
                    frozen=following.coordinator, coordinator=state.coordinator
                )

    def _view_steps(self, state: TakeoverState) -> Iterator[Step]:
        """Yield the steps to a VM that reaches other members."""
        if state.coordinator is not None or state.views >= MAX_VIEWS:
            return
        for hidden in self._faults.views:
            members = tuple(
                member._replace(is_hidden=number in hidden)
                for number, member in enumerate(state.members)
            )
            names = " and ".join(map(str, hidden))
            yield (
                f"the coordinator's VM doesn't reach {names}",
                state._replace(members=members, views=state.views + 1),
            )

    def _start_takeover(self, state: TakeoverState) -> Iterator[Step]:
        old = self._find_primary(state)
        answers = old is not None and state.members[old].is_reachable
        term = self._pause_term(state)
        ordered = self._orders.ordered_member(state)
        for chosen, member in enumerate(state.members):
            if member.is_primary or not member.is_reachable:
                continue
            if ordered not in (None, chosen):
                continue
            for planned in (True, False) if answers else (False,):
                coordinator = Coordinator(
                    term,
                    planned,
                    old,
                    chosen,
                    _present(state),
                    known_term=state.reported_term(),
                    known_order=ordered,
                )
                kind = "planned" if planned else "unplanned"
                yield (
                    f"{kind} takeover by {chosen}",
                    state._replace(
                        coordinator=coordinator, takeovers=state.takeovers + 1
                    ),
                )

    def _pause_term(self, state: TakeoverState) -> int:
        if self._rules.pauses_next:
            return 1 + state.reported_term()
        return 1 + max(
            max(member.term, member.paused_for) for member in state.members
        )

    def _find_primary(self, state: TakeoverState) -> int | None:
        """Return the member that a coordinator takes for the primary."""
        if not self._faults.views:
            newest = state.newest_primary()
            return None if newest is None else state.members.index(newest)
        claims = [
            (member.term, number)
            for number, member in enumerate(state.members)
            if member.is_primary and member.is_reachable
        ]
        if not claims:
            return None
        term, number = max(claims)
        if self._rules.checks_terms and state.reported_term() > term:
            return None
        if self._rules.checks_record and self._is_doubted(state, number, term):
            return None
        return number

    def _is_doubted(
        self, state: TakeoverState, number: int, term: int
    ) -> bool:
        """Return whether the last order may have had effect unnoticed."""
        record = state.last_record
        if record is None or record.term < term:
            return False
        ordered = int(record.member)
        return number != ordered and not state.members[ordered].is_reachable

    def _members_to_pause(
        self, state: TakeoverState, coordinator: Coordinator
    ) -> frozenset[int]:
        to_pause = {
            number
            for number, member in enumerate(state.members)
            if number in coordinator.known
            and number != coordinator.old
            and not member.is_primary
            and member.is_reachable
        }
        if coordinator.planned:
            to_pause.discard(coordinator.chosen)
        if not self._rules.pauses_others:
            to_pause &= {coordinator.chosen}
        return frozenset(to_pause)

    def _pause_steps(
        self,
        state: TakeoverState,
        coordinator: Coordinator,
        waiting: frozenset[int],
    ) -> Iterator[Step]:
        for number in waiting:
            member = state.members[number]
            paused = member._replace(paused_for=coordinator.term)
            following = state.with_member(number, paused)
            done = coordinator._replace(paused=coordinator.paused | {number})
            yield (
                f"coordinator pauses {number}",
                following._replace(coordinator=done),
            )

    def _must_stop(
        self, state: TakeoverState, coordinator: Coordinator
    ) -> bool:
        if coordinator.old is None or not self._rules.stops_first:
            return False
        old = state.members[coordinator.old]
        return old.is_primary and old.is_reachable

    def _stop(self, state: TakeoverState, coordinator: Coordinator) -> Step:
        old = state.members[coordinator.old]._replace(is_primary=False)
        following = state.with_member(coordinator.old, old)
        stopped = coordinator._replace(is_stopped=True)
        return (
            f"coordinator stops {coordinator.old}",
            following._replace(coordinator=stopped),
        )

    def _may_order(
        self, state: TakeoverState, coordinator: Coordinator
    ) -> bool:
        if not self._rules.checks_complete:
            return True
        if not state.members[coordinator.chosen].is_reachable:
            return False
        statuses = tuple(
            self._status(coordinator, number, member)
            for number, member in enumerate(state.members)
            if self._counts(coordinator, number, member)
        )
        stopped = str(coordinator.old) if coordinator.is_stopped else None
        survey = Survey(
            statuses,
            stopped,
            coordinator.term,
            1,
            ZERO_POSITION,
            coordinator.has_all_members or not self._rules.reads_members,
        )
        for item in statuses:
            if item.entry.member == str(coordinator.chosen):
                return may_promote(item, survey)
        return False

    def _counts(
        self, coordinator: Coordinator, number: int, member: Member
    ) -> bool:
        """Return whether a member is part of the survey."""
        if member.is_excused:
            return False
        if member.is_off_roster or number not in coordinator.known:
            return False
        if member.is_unlisted and not self._rules.counts_unlisted:
            return False
        # In the variant that doesn't stop it, the old primary is ignored.
        is_ignored = number == coordinator.old and member.is_primary
        return self._rules.stops_first or not is_ignored

    def _status(
        self, coordinator: Coordinator, number: int, member: Member
    ) -> MemberStatus:
        has_answered = coordinator.is_stopped and number == coordinator.old
        if not member.is_reachable and not has_answered:
            return MemberStatus(_ENTRIES[number], None)
        paused_for = member.paused_for
        if not self._rules.repeats_pause and number in coordinator.paused:
            paused_for = coordinator.term
        answer = report(member)._replace(paused_for=paused_for)
        return MemberStatus(_ENTRIES[number], answer)


def _present(state: TakeoverState) -> frozenset[int]:
    """Return the numbers of the members that have started."""
    return frozenset(
        number
        for number, member in enumerate(state.members)
        if not member.is_absent
    )
