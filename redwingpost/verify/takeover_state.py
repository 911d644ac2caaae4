"""State of a group in the search of takeovers, and its options."""

from typing import NamedTuple

from redwingpost.takeover.orders import OrderRecord

#: A commit: its number and the term of the primary that took it.
Commit = tuple[int, int]


class TakeoverRules(NamedTuple):
    """Rules that can be disabled one at a time.

    Attributes
    ----------
    pauses_others : bool
        All reachable replicas are paused, not only the chosen one.
    checks_complete : bool
        The order requires ``redwingpost.takeover.plan.may_promote``.
    respects_pause : bool
        A replica that is paused for a newer term confirms no primary.
    proves_after_start : bool
        A read's proof must be given after the read began.
    excludes_restarted : bool
        A replica that has restarted confirms no primary.
    checks_floor : bool
        A gone member leaves the roster only once the remaining members hold
        the primary's log.
    counts_unlisted : bool
        A member that the registry no longer lists counts as long as it is
        on the roster.
    stops_first : bool
        An old primary that answers is stopped before the order.
    repeats_pause : bool
        The pauses are confirmed immediately before the order.
    confirms_commits : bool
        While a takeover may be in progress, replicas must confirm a commit
        before it is acknowledged to its writer.
    asks_primary : bool
        The member that served a read must report, after the read began,
        that it leads.
    reads_members : bool
        The registry is read after the stop or the pauses.
    distrusts_joined : bool
        A new member confirms nothing while the coordinator may be unable to
        reach the primary.
    one_order : bool
        While a recorded order may take effect, only its member is ordered
        or resumed.
    counts_copies : bool
        The record tells how often its order was sent: one that was sent
        again may take effect whatever term members report.
    renews_record : bool
        An order is recorded again before a later takeover sends it again.
    checks_duty : bool
        A coordinator sends nothing once its duty has ended.
    held_by_voucher : bool
        A replica confirms only commits that it has received.
    heeds_pauses : bool
        No commit is confirmed while a replica that answers is paused for a
        newer term, or in one, also if it was not held up.
    doubts_restarts : bool
        While the coordinator can't reach the primary, a replica alone
        confirms a commit only if it is known to have run on.
    checks_terms : bool
        A member is taken for the primary only if no member that answers
        reports a newer term.
    checks_record : bool
        The same for the last recorded order: it may have shown the newer
        term, unless its member answers.
    skips_unproven : bool
        A takeover does without a member that no VM has had an answer from.
    waits_for_holders : bool
        Only once the proven members were seen to hold the primary's log
        while all VMs knew of the entry.
    vouches_proven : bool
        While there is such a member, a commit is confirmed only by a proven
        one that holds it.
    doubts_newcomers : bool
        A member that answers for the first time confirms nothing for as long
        as one that has restarted.
    inherits_proof : bool
        An entry at the address of a proven member counts as proven.
    counts_joined : bool
        A member that joined lately is a sign of a takeover, and confirms
        nothing, like one that has restarted.
    always_held : bool
        A replica that confirms a commit must hold it, whatever the signs.
    pauses_next : bool
        Members are paused for the term after the newest reported one, also
        if they are paused for a later one.
    asks_all : bool
        No replica alone confirms a commit then.
    """

    pauses_others: bool = True
    checks_complete: bool = True
    respects_pause: bool = True
    proves_after_start: bool = True
    excludes_restarted: bool = True
    checks_floor: bool = True
    counts_unlisted: bool = True
    stops_first: bool = True
    repeats_pause: bool = True
    confirms_commits: bool = True
    asks_primary: bool = True
    reads_members: bool = True
    distrusts_joined: bool = True
    one_order: bool = True
    counts_copies: bool = True
    renews_record: bool = True
    checks_duty: bool = True
    held_by_voucher: bool = True
    heeds_pauses: bool = True
    doubts_restarts: bool = True
    checks_terms: bool = True
    checks_record: bool = True
    skips_unproven: bool = False
    waits_for_holders: bool = True
    vouches_proven: bool = True
    doubts_newcomers: bool = True
    inherits_proof: bool = True
    counts_joined: bool = False
    always_held: bool = False
    pauses_next: bool = False
    asks_all: bool = False


class Faults(NamedTuple):
    """Faults that may occur in a search.

    Attributes
    ----------
    restarts : int
        How often a replica may restart and lose its pause.
    may_vanish : bool
        A crashed member may be unlisted and never return.
    may_return : bool
        A crashed member may be unlisted and return with its log.
    may_partition : bool
        The first primary may be partitioned from the others, alone or with
        one replica.
    may_be_hidden : bool
        The coordinator may be unable to reach a primary that its replicas
        reach.
    no_restart_after_order : bool
        No replica restarts between an order and its effect.
    may_partition_replica : bool
        A replica may be partitioned alone.
    may_join : bool
        A fourth member, without a log, may join at any step.
    may_restart_unseen : bool
        VMs learn of a restart in a later step.
    may_miss_answers : bool
        A VM that confirms a commit may get the answer of one replica only.
    may_be_unheard : bool
        VMs don't learn that the coordinator can't reach the primary.
    may_order_late : bool
        An order may take effect after its coordinator has crashed or given
        up, or never.
    may_repeat_orders : bool
        A coordinator may send its order twice.
    may_lose_duty : bool
        A coordinator's duty may end before its takeover does.
    may_arrive_late : bool
        Commands that it sent before may arrive later.
    arrives_before_order : bool
        They arrive before the next coordinator's order, or never.
    may_come_back : bool
        The coordinator may reach the hidden primary again.
    may_answer_late : bool
        A member that reaches no VM may answer one at any step.
    may_take_place : bool
        The entry may replace that of a member which the coordinator doesn't
        reach, as it has the same address.
    views : tuple of tuple of int
        Sets of members that the VM of a later takeover may be unable to
        reach. It doesn't know who leads.
    no_old_acks : bool
        A primary acknowledges no commit that it took in an earlier term.
    no_reads : bool
        There is no reader.
    """

    restarts: int = 0
    may_vanish: bool = False
    may_return: bool = False
    may_partition: bool = False
    may_be_hidden: bool = False
    no_restart_after_order: bool = False
    may_partition_replica: bool = False
    may_join: bool = False
    may_restart_unseen: bool = False
    may_miss_answers: bool = False
    may_be_unheard: bool = False
    may_order_late: bool = False
    may_repeat_orders: bool = False
    may_lose_duty: bool = False
    may_arrive_late: bool = False
    arrives_before_order: bool = False
    may_come_back: bool = False
    may_answer_late: bool = False
    may_take_place: bool = False
    views: tuple[tuple[int, ...], ...] = ()
    no_old_acks: bool = False
    no_reads: bool = False


class Limits(NamedTuple):
    """Largest numbers of commits and takeovers in a search."""

    commits: int = 2
    takeovers: int = 2


class Member(NamedTuple):
    """A member and its log.

    Reads see the first ``applied`` commits. Replicas apply nothing in this
    model, which is the worst case. ``is_hidden``: the coordinator can't
    reach the member, but its replicas can. ``is_unlisted``: it is off the
    registry's list. ``is_off_roster``: it is known to be gone, so that its
    answer is not needed. ``is_absent``: it hasn't started yet;
    ``has_joined``: it started after the others. ``is_restart_unseen``: VMs
    don't know yet that it has restarted. ``is_unproven``: it has never
    answered a VM; ``is_excused``: a takeover may do without it;
    ``is_cut_off``: no VM reaches it.
    """

    is_primary: bool
    term: int
    log: tuple[Commit, ...] = ()
    paused_for: int = 0
    is_down: bool = False
    is_partitioned: bool = False
    is_hidden: bool = False
    has_restarted: bool = False
    applied: int = 0
    is_unlisted: bool = False
    is_off_roster: bool = False
    is_absent: bool = False
    has_joined: bool = False
    is_restart_unseen: bool = False
    is_unproven: bool = False
    is_excused: bool = False
    is_cut_off: bool = False

    @property
    def head(self) -> tuple[int, int]:
        """Return the log's last position: its term, then its length."""
        if not self.log:
            return (0, 0)
        return (self.log[-1][1], len(self.log))

    @property
    def is_known_restarted(self) -> bool:
        """Return whether VMs know that the member has restarted."""
        return self.has_restarted and not self.is_restart_unseen

    @property
    def is_reachable(self) -> bool:
        """Return whether the coordinator reaches the member."""
        return not (
            self.is_down
            or self.is_partitioned
            or self.is_hidden
            or self.is_absent
        )

    def take_log(self, primary: "Member") -> "Member":
        """Return the replica with a primary's log in place of its own."""
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
        """Return whether the member receives commits from a primary."""
        return (
            not self.is_primary
            and not self.is_down
            and not self.is_absent
            and self.is_partitioned == primary.is_partitioned
            and self.paused_for <= primary.term
            and self.term <= primary.term
        )


class Coordinator(NamedTuple):
    """A takeover in progress; ``old`` and ``chosen`` are members' numbers.

    ``old`` is the primary to replace, None if there is none. ``known`` are
    the members that it compares; ``has_all_members`` whether it has read the
    registry's list after the stop or the pauses. ``known_term`` is the newest
    term that members had reported when the takeover began; ``known_order`` is
    the member whose order is under way as far as it knows.
    """

    term: int
    planned: bool
    old: int | None
    chosen: int
    known: frozenset[int]
    paused: frozenset[int] = frozenset()
    has_all_members: bool = False
    is_stopped: bool = False
    is_ordered: bool = False
    known_term: int = 0
    known_order: int | None = None


class Command(NamedTuple):
    """A command to a member that has not arrived yet."""

    word: str
    member: int
    term: int


class Order(NamedTuple):
    """An order that may still take effect.

    ``is_covered``: its record doesn't lapse before that.
    """

    member: int
    is_covered: bool = True


class Pending(NamedTuple):
    """A commit that a primary has acknowledged, but its writer's VM hasn't.

    ``is_stale``: the primary had been replaced by then. ``position`` is that
    in the primary's log. ``needs_holder``: a member that has answered a VM
    must hold the commit.
    """

    commit: Commit
    primary: int
    is_stale: bool
    position: int
    needs_holder: bool


class Read(NamedTuple):
    """A read: where it runs, the commits it must see and those it missed.

    ``is_proven``: a replica has confirmed the member as primary.
    ``is_primary_confirmed``: the member has reported that it leads.
    """

    member: int
    term: int
    must_see: frozenset[Commit]
    has_run: bool = False
    missing: frozenset[Commit] = frozenset()
    is_proven: bool = False
    is_primary_confirmed: bool = False


class TakeoverState(NamedTuple):
    """State of the whole model.

    ``violation`` is the violated invariant, or empty. ``early_proof`` is the
    member and term that a replica confirmed before the read began. ``record``
    is the order in the fleet's store, ``last_record`` also if it has lapsed.
    ``views`` counts changes of the VM.
    ``is_entry_known``: all VMs have the entry of the unproven member.
    ``frozen`` is a coordinator whose duty has ended and that goes on.
    """

    members: tuple[Member, ...]
    acknowledged: frozenset[Commit] = frozenset()
    pending: frozenset[Pending] = frozenset()
    commits: int = 0
    takeovers: int = 0
    restarts: int = 0
    has_partitioned: bool = False
    coordinator: Coordinator | None = None
    early_proof: tuple[int, int] | None = None
    read: Read | None = None
    orders: tuple[Order, ...] = ()
    record: OrderRecord | None = None
    last_record: OrderRecord | None = None
    views: int = 0
    is_entry_known: bool = True
    has_lost_duty: bool = False
    frozen: Coordinator | None = None
    late_commands: frozenset[Command] = frozenset()
    violation: str = ""

    def with_member(self, number: int, member: Member) -> "TakeoverState":
        """Return the state with one member changed."""
        members = list(self.members)
        members[number] = member
        return self._replace(members=tuple(members))

    def rostered(self) -> tuple[Member, ...]:
        """Return the members whose logs may hold acknowledged commits."""
        return tuple(
            member
            for member in self.members
            if not (member.is_absent or member.is_off_roster)
        )

    def reported_term(self) -> int:
        """Return the newest term that a coordinator learns from members."""
        return max((m.term for m in self.members if m.is_reachable), default=0)

    def newest_primary(self) -> Member | None:
        """Return the primary of the highest term, or None."""
        leading = (member for member in self.members if member.is_primary)
        return max(leading, key=lambda member: member.term, default=None)


#: A step's name and the state that it leads to.
Step = tuple[str, TakeoverState]


def first_state(may_join: bool = False, replicas: int = 2) -> TakeoverState:
    """Return a healthy group, and a member that may join."""
    members = (Member(True, 1), *[Member(False, 1)] * replicas)
    if may_join:
        members = (*members, Member(False, 1, is_absent=True))
    return TakeoverState(members)


def hidden_state() -> TakeoverState:
    """Return a group whose primary the coordinator can't reach.

    The primary has taken a commit that no replica has received.
    """
    primary = Member(True, 1, log=((0, 1),), is_hidden=True, applied=1)
    members = (primary, Member(False, 1), Member(False, 1))
    return TakeoverState(members, commits=1)


def unproven_state(is_running: bool, is_known: bool) -> TakeoverState:
    """Return three members and an entry that has never answered a VM.

    If it is running, it receives the primary's commits.
    """
    entry = Member(
        False,
        1,
        is_down=not is_running,
        is_hidden=True,
        is_unproven=True,
        is_cut_off=True,
    )
    members = (*first_state().members, entry)
    return TakeoverState(members, is_entry_known=is_known)


def replaced_state() -> TakeoverState:
    """Return four members after a takeover that the old primary missed."""
    members = (
        Member(True, 1),
        Member(True, 2),
        *[Member(False, 1, paused_for=2)] * 2,
    )
    record = OrderRecord("1", 1, until_ms=1)
    return TakeoverState(members, record=record, last_record=record)


def find_violation(state: TakeoverState) -> str:
    """Return the invariant that a state violates, or an empty string."""
    return state.violation
