"""State machine of the write and promotion protocol, for the search.

Proposers run ``redwingpost.promotion.step``, writers decide about replicas
with ``Acknowledgements`` and about failures with ``next_step``: the modules
that run in production, not copies. Only their environment is modelled.

The network may do anything: a request may arrive at any time after it was
sent, or never, also after its sender timed out, crashed or was replaced.
Claims, promotions and orders to follow may arrive twice. A caller's
statement can't, as it is sent on one TCP connection. Any process may stop
for any time, so that pauses, crashes with a restart, partitions and delays
are all interleavings of the same steps. A proposer that crashes loses its
election and starts again with another claimant name. The table service
takes no part, so that its outage changes nothing.

Two reductions keep the search small. Writes are sent only to members that
consider themselves primary, since others answer 1290 and run nothing. An
answer to a claim for which no proposer waits is dropped.
"""

from collections.abc import Iterator

from redwingpost.core import Code, Position
from redwingpost.promotion.acknowledgement import (
    Acknowledgements,
    Decision,
    WaitAnswer,
    proves,
    replicas_needed,
)
from redwingpost.promotion.election import (
    Candidate,
    ClaimAnswer,
    Election,
    Phase,
    PromoteAnswer,
    SendPromote,
    Timer,
    TimerFired,
    next_term,
    start,
    step,
)
from redwingpost.promotion.resolution import WriteOutcome, resolve_write
from redwingpost.retries.table import (
    Action,
    Failure,
    RequestClass,
    may_have_run,
    next_step,
)
from redwingpost.verify.member import (
    Member,
    Rules,
    claim,
    claim_accepted,
    commit,
    follow,
    history_of,
    promote,
    pull,
    takes_writes,
)
from redwingpost.verify.state import (
    ACKNOWLEDGED,
    Bounds,
    ClaimSent,
    PromoteSent,
    Proposer,
    State,
    Writer,
)

Steps = Iterator[tuple[str, State]]


def _with_member(state: State, index: int, member: Member) -> State:
    members = list(state.members)
    members[index] = member
    leaders = state.leaders
    if member.primary:
        leaders = leaders | {(member.own_term, member.name)}
    return state._replace(members=tuple(members), leaders=leaders)


def _with_proposer(state: State, index: int, proposer: Proposer) -> State:
    proposers = list(state.proposers)
    proposers[index] = proposer
    return state._replace(proposers=tuple(proposers))


def _with_writer(state: State, index: int, writer: Writer) -> State:
    writers = list(state.writers)
    writers[index] = writer
    return state._replace(writers=tuple(writers))


def _finished(writer: Writer, outcome: str) -> Writer:
    """Return the writer with an outcome, without the last attempt's state."""
    return writer._replace(
        outcome=outcome,
        is_waiting=False,
        primary="",
        position=None,
        replies=frozenset(),
        answers=frozenset(),
        may_have_run=False,
    )


class Model:
    """Generates the steps that are possible in a state.

    Parameters
    ----------
    rules : Rules
        Rules in force.
    bounds : Bounds
        Size of the model.

    Examples
    --------
    >>> from redwingpost.verify.state import initial_state
    >>> model = Model(Rules(), Bounds())
    >>> names = [name for name, _ in model.steps(initial_state(Bounds()))]
    >>> names
    ['p0 starts', 'p1 starts', 'w0 sends to a']
    """

    def __init__(self, rules: Rules, bounds: Bounds) -> None:
        self.rules = rules
        self.bounds = bounds

    def steps(self, state: State) -> Steps:
        """Yield the name and the resulting state of every possible step."""
        yield from self._proposer_steps(state)
        yield from self._claim_steps(state)
        yield from self._promotion_steps(state)
        yield from self._member_steps(state)
        yield from self._writer_steps(state)

    # Proposers.

    def _proposer_steps(self, state: State) -> Steps:
        for index, proposer in enumerate(state.proposers):
            if proposer.starts_left:
                yield self._start(state, index, proposer)
            if proposer.election is None:
                continue
            if proposer.election.phase is Phase.GRACE:
                event = TimerFired(Timer.GRACE)
                following = self._feed(state, index, event)
                yield f"{proposer.name} grace over", following

    def _start(self, state, index, proposer) -> tuple[str, State]:
        """Start an election, also after a crash or a failed one."""
        names = [member.name for member in state.members]
        if not self.rules.majority:
            # The variant takes a majority of the members that it reaches,
            # here one.
            names = names[index + 1 : index + 2]
        candidates = tuple(Candidate(name) for name in names)
        term = next_term((proposer.known_term,))
        election, _ = start(candidates, term)
        proposer = proposer._replace(
            starts_left=proposer.starts_left - 1,
            known_term=term,
            election=election,
        )
        sent = ClaimSent(index, proposer.claimant, term)
        state = _with_proposer(state, index, proposer)
        state = state._replace(claims=state.claims | {sent})
        return f"{proposer.name} starts", self._forget_answers(state, index)

    def _forget_answers(self, state: State, index: int) -> State:
        claimant = state.proposers[index].claimant
        claim_answers = frozenset(
            entry
            for entry in state.claim_answers
            if entry[0] != index or entry[1] == claimant
        )
        promote_answers = frozenset(
            entry
            for entry in state.promote_answers
            if entry[0] != index or entry[1] == claimant
        )
        return state._replace(
            claim_answers=claim_answers, promote_answers=promote_answers
        )

    def _feed(self, state: State, index: int, event) -> State:
        """Apply an event to a proposer's election; send its commands."""
        proposer = state.proposers[index]
        election, commands = step(proposer.election, event)
        known = max(proposer.known_term, election.highest_term)
        over = election.phase in (Phase.DONE, Phase.ABORTED)
        # A term that no later start uses is cleared, so that equal states
        # merge.
        known = known if proposer.starts_left else 0
        proposer = proposer._replace(
            known_term=known, election=None if over else election
        )
        state = _with_proposer(state, index, proposer)
        for command in commands:
            if isinstance(command, SendPromote):
                sent = PromoteSent(
                    index, proposer.claimant, command.term, command.member
                )
                state = state._replace(promotes=state.promotes | {sent})
        return state

    # Claims and promotions in the network.

    def _claim_steps(self, state: State) -> Steps:
        for sent in state.claims:
            for index, member in enumerate(state.members):
                yield from self._deliver_claim(state, sent, index, member)
        for index, claimant, answer in state.claim_answers:
            name = f"p{index} receives {answer.member}'s claim answer"
            remaining = state.claim_answers - {(index, claimant, answer)}
            following = state._replace(claim_answers=remaining)
            if state.proposers[index].election is not None:
                yield name, self._feed(following, index, answer)

    def _deliver_claim(self, state, sent, index, member) -> Steps:
        claimed = claim(member, sent.term, sent.claimant)
        following = _with_member(state, index, claimed)
        proposer = state.proposers[sent.proposer]
        awaited = (
            proposer.election is not None
            and proposer.claimant == sent.claimant
            and proposer.election.phase in (Phase.CLAIMING, Phase.GRACE)
            and member.name in self._unanswered(proposer.election)
        )
        if awaited:
            answer = self._claim_answer(claimed, sent)
            entry = (sent.proposer, sent.claimant, answer)
            answers = state.claim_answers | {entry}
            following = following._replace(claim_answers=answers)
        if following != state:
            yield f"{sent.claimant} claims {member.name}", following

    def _unanswered(self, election: Election) -> set[str]:
        answered = {claimed.member for claimed in election.claims}
        return {c.member for c in election.candidates} - answered

    def _claim_answer(self, member: Member, sent: ClaimSent) -> ClaimAnswer:
        accepted = claim_accepted(member, sent.term, sent.claimant)
        received = member.received
        if not self.rules.most_advanced:
            received = Position(0, 0)
        return ClaimAnswer(
            member.name, accepted, member.promised_term, received, received
        )

    def _promotion_steps(self, state: State) -> Steps:
        for sent in state.promotes:
            yield from self._deliver_promote(state, sent)
        for index, claimant, answer in state.promote_answers:
            remaining = state.promote_answers - {(index, claimant, answer)}
            following = state._replace(promote_answers=remaining)
            if state.proposers[index].election is not None:
                name = f"p{index} sees that {answer.member} leads"
                yield name, self._feed(following, index, answer)

    def _deliver_promote(self, state: State, sent: PromoteSent) -> Steps:
        for index, member in enumerate(state.members):
            if member.name != sent.member:
                continue
            promoted = promote(member, sent.term, sent.claimant)
            following = _with_member(state, index, promoted)
            proposer = state.proposers[sent.proposer]
            if (
                proposer.election is not None
                and proposer.claimant == sent.claimant
            ):
                ok = promoted.primary and promoted.own_term == sent.term
                answer = PromoteAnswer(member.name, ok, promoted.received)
                entry = (sent.proposer, sent.claimant, answer)
                promote_answers = state.promote_answers | {entry}
                following = following._replace(promote_answers=promote_answers)
            if following != state:
                yield f"{member.name} promoted by {sent.claimant}", following

    # Members among themselves. Any VM that sees a leader may order others
    # to follow it, so that this order is always in the network.

    def _member_steps(self, state: State) -> Steps:
        for index, member in enumerate(state.members):
            for term, leader in state.leaders:
                follower = follow(member, term, leader)
                if follower != member:
                    name = f"{member.name} starts to follow {leader}"
                    yield name, _with_member(state, index, follower)
            # Without writes logs differ only by promotions, and copying
            # these can't violate an invariant.
            sources = state.members if self.bounds.keyed else ()
            for primary in sources:
                pulled = pull(member, primary)
                if pulled != member:
                    name = f"{member.name} pulls from {primary.name}"
                    yield name, _with_member(state, index, pulled)

    # Writers.

    def _writer_steps(self, state: State) -> Steps:
        for index, writer in enumerate(state.writers):
            yield from self._arrival_steps(state, index, writer)
            if writer.outcome:
                continue
            if not writer.is_waiting:
                yield from self._send_steps(state, index, writer)
                continue
            yield from self._reply_steps(state, index, writer)
            yield from self._confirm_steps(state, index, writer)
            yield from self._outcome_steps(state, index, writer)
            failure = Failure.NO_ANSWER
            if writer.position is not None:
                failure = Failure.NOT_CONFIRMED
            failed = self._fail(state, index, writer, failure)
            yield f"{writer.name} fails: {failure.name}", failed

    def _send_steps(self, state, index, writer) -> Steps:
        attempt = writer.attempt + 1
        for member in state.members:
            if not member.primary or member.own_term < writer.known_term:
                continue
            sent_to = writer.sent_to | {(attempt, member.name)}
            sending = writer._replace(
                attempt=attempt,
                sent_to=sent_to,
                is_waiting=True,
                primary=member.name,
                position=None,
                answers=frozenset(),
                replies=frozenset(),
            )
            name = f"{writer.name} sends to {member.name}"
            yield name, _with_writer(state, index, sending)

    def _arrival_steps(self, state, index, writer) -> Steps:
        """Deliver a statement, perhaps long after its sender timed out."""
        for attempt, name in writer.sent_to:
            for number, member in enumerate(state.members):
                if member.name != name:
                    continue
                remaining = writer.sent_to - {(attempt, name)}
                arrived = writer._replace(sent_to=remaining)
                reply = (attempt, "refused", Position(0, 0))
                following = state
                if takes_writes(member, self.rules):
                    done = commit(
                        member, writer.name, writer.keyed, self.rules
                    )
                    following = _with_member(state, number, done)
                    reply = (attempt, "committed", done.received)
                awaited = writer.is_waiting and attempt == writer.attempt
                if awaited and not writer.outcome:
                    replies = writer.replies | {reply}
                    arrived = arrived._replace(replies=replies)
                label = f"{name} gets {writer.name}'s attempt {attempt}"
                yield label, _with_writer(following, index, arrived)

    def _reply_steps(self, state, index, writer) -> Steps:
        for _, result, position in writer.replies:
            updated = writer._replace(replies=frozenset())
            if result == "refused":
                failure = Failure.READ_ONLY
                yield (
                    f"{writer.name} gets error 1290",
                    self._fail(state, index, updated, failure),
                )
                continue
            updated = updated._replace(position=position)
            following = _with_writer(state, index, updated)
            if not self.rules.confirm:
                following = self._acknowledge(state, index, updated)
            yield f"{writer.name} gets position {position}", following

    def _confirm_steps(self, state, index, writer) -> Steps:
        if writer.position is None:
            return
        for member in state.members:
            answer = WaitAnswer(
                member.name, member.promised_term, member.received
            )
            if member.name == writer.primary or answer in writer.answers:
                continue
            # The wait ends when the replica holds the position. An earlier
            # answer is negative and decides nothing.
            if answer.received.index < writer.position.index:
                continue
            if not self.rules.confirm_term:
                # The variant compares the index alone.
                index_only = writer.position._replace(
                    index=answer.received.index
                )
                answer = WaitAnswer(
                    member.name, writer.position.term, index_only
                )
            answers = writer.answers | {answer}
            if len(answers) > 1 + replicas_needed(len(state.members)):
                continue
            updated = writer._replace(answers=answers)
            name = f"{member.name} answers {writer.name}'s wait"
            yield name, _with_writer(state, index, updated)
        if self._has_enough_answers(state, writer):
            yield (
                f"{writer.name} acknowledges",
                self._acknowledge(state, index, writer),
            )

    def _outcome_steps(self, state, index, writer) -> Steps:
        """Resolve a write's outcome by a later primary's history."""
        if writer.position is None:
            return
        for member in state.members:
            later = member.primary and member.own_term > writer.position.term
            if not later:
                continue
            history = history_of(member)
            confirmed = self._confirmed_start(state, member, history[-1])
            outcome = resolve_write(writer.position, history, confirmed)
            name = f"{writer.name} learns from {member.name}: {outcome.name}"
            if outcome is WriteOutcome.SURVIVED:
                term = member.own_term
                yield name, self._acknowledge(state, index, writer, term)
            if outcome is WriteOutcome.DROPPED:
                # The proxy now knows this term, so that an older primary,
                # which still holds the dropped write, gets no retry.
                informed = writer._replace(known_term=member.own_term)
                failed = self._fail(state, index, informed, Failure.DROPPED)
                yield name, failed

    def _confirmed_start(
        self, state: State, primary: Member, first: Position
    ) -> Position:
        """Return the term's first position if enough replicas hold it."""
        holders = [
            member
            for member in state.members
            if member.name != primary.name
            and proves(
                WaitAnswer(member.name, member.promised_term, member.received),
                first,
            )
        ]
        needed = replicas_needed(len(state.members))
        if len(holders) >= needed or not self.rules.confirm_history:
            return first
        return Position(0, 0)

    def _has_enough_answers(self, state: State, writer: Writer) -> bool:
        """Return whether the answers so far acknowledge the write."""
        names = [member.name for member in state.members]
        replicas = [name for name in names if name != writer.primary]
        needed = replicas_needed(len(names))
        acks = Acknowledgements(writer.position.term, replicas, needed)
        decided = list(acks.add(1, writer.position, expires_at=1.0))
        for answer in sorted(writer.answers):
            decided.extend(acks.answered(0, answer))
        return any(d.decision is Decision.ACKNOWLEDGED for d in decided)

    def _acknowledge(self, state, index, writer, term=0) -> State:
        """Acknowledge a write; ``term`` is the one that proved it."""
        done = _finished(writer, ACKNOWLEDGED)
        entry = (writer.name, term or writer.position.term)
        state = state._replace(acknowledged=state.acknowledged | {entry})
        return _with_writer(state, index, done)

    def _fail(self, state, index, writer, failure) -> State:
        keyed = RequestClass.KEYED_WRITE
        unkeyed = RequestClass.UNKEYED_WRITE
        can_retry = writer.attempt < self.bounds.attempts
        following = next_step(
            keyed if writer.keyed else unkeyed,
            failure,
            can_retry,
            writer.may_have_run,
        )
        again = following.action in (Action.RETRY, Action.RETRY_WITH_KEY)
        if not self.rules.retry_table and can_retry:
            again = True
        if again:
            unknown = writer.may_have_run or may_have_run(failure)
            waiting = _finished(writer, "")._replace(may_have_run=unknown)
            return _with_writer(state, index, waiting)
        code = following.code or Code.OUTCOME_UNKNOWN
        done = _finished(writer, code.outcome.value)
        return _with_writer(state, index, done)
