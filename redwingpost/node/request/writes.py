"""Runs writes outside transactions, at most once, at the primary."""

from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient, is_proven_success
from redwingpost.node.request.attempt import (
    NoAnswer,
    NotSent,
    Outcome,
    run_standalone,
)
from redwingpost.node.request.commits import (
    AcknowledgedCommit,
    confirm_commit,
)
from redwingpost.node.request.reads import (
    MAX_TRIES,
    ReadRequest,
    Result,
    await_leader,
)
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import (
    DID_NOT_RUN,
    FailureKind,
    MemberFailure,
    Reply,
)


class WriteRunner:
    """Runs the writes of one VM.

    A write whose answer is lost is never sent again: it may have run.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    async def run(
        self, group: GroupClient, write: ReadRequest, sync_replicas: int
    ) -> Result:
        """Return the answer to a write, or the failure or refusal."""
        result: Result | None = None
        for _ in range(MAX_TRIES):
            leader = await await_leader(
                group,
                write.deadline,
                self._clock,
                write.caller.state.written_in(group.name).term,
            )
            refused = group.refuse_primary(write.route.regions)
            if refused is not None:
                return refused
            if leader is None:
                return result or group.refuse_without_primary()
            remaining_s = write.deadline - self._clock.now()
            refused = group.refuse_unconfirmable(remaining_s, sync_replicas)
            if refused is not None:
                return refused
            outcome = await self._attempt(group, leader, write)
            attempt_result = await self._to_result(
                group, leader, write, outcome, sync_replicas
            )
            if not isinstance(attempt_result, MemberFailure | Refusal):
                return attempt_result
            result = attempt_result
            if not self._may_try_again(attempt_result):
                return attempt_result
            if write.deadline - self._clock.now() <= 0.0:
                return attempt_result
            await group.fresh_round()
        return result

    async def _attempt(
        self, group: GroupClient, leader: MemberClient, write: ReadRequest
    ) -> Outcome | None:
        watch = group.writes
        write_number: int | None = None

        def note_sending() -> bool:
            # A write that waits for a connection shows nothing about the
            # primary. Counted as unanswered it would make a busy primary
            # suspect, and a takeover would begin.
            nonlocal write_number
            write_number = watch.start(self._clock.now())
            return True

        outcome: Outcome = NoAnswer("cancelled")
        try:
            outcome = await run_standalone(
                leader,
                write.caller,
                write.statement,
                None,
                write.deadline,
                self._clock,
                note_sending,
                group.is_leader,
            )
        finally:
            if write_number is not None:
                watch.end(write_number, not isinstance(outcome, NoAnswer))
        return outcome

    async def _to_result(
        self,
        group: GroupClient,
        leader: MemberClient,
        write: ReadRequest,
        outcome: Outcome,
        sync_replicas: int,
    ) -> Result:
        if isinstance(outcome, NotSent):
            return outcome.as_refusal()
        if isinstance(outcome, NoAnswer):
            return self._outcome_unknown(group, write, outcome.reason)
        if not is_proven_success(outcome):
            return self._to_failure_result(group, leader, outcome)
        commit = AcknowledgedCommit(
            write.statement.request,
            outcome.position,
            write.arrived_at,
            write.deadline,
        )
        is_kept = await confirm_commit(
            group, leader, commit, sync_replicas, self._clock
        )
        if not is_kept:
            return self._outcome_unknown(group, write, "lead not proven")
        write.caller.state.note_commit(group.name, outcome.position)
        return Answer(outcome.rows, outcome.proof)

    def _to_failure_result(
        self, group: GroupClient, leader: MemberClient, reply: Reply
    ) -> Result:
        if reply.failure is None:
            return Refusal(Code.OUTCOME_UNKNOWN, "the member gave no proof")
        if reply.failure.kind is FailureKind.NOT_PRIMARY:
            group.note_refused_as_replica(leader)
        return reply.failure

    def _outcome_unknown(
        self, group: GroupClient, write: ReadRequest, reason: str
    ) -> Refusal:
        log_event(
            "write-unknown",
            request=write.statement.request,
            group=group.name,
            term=group.evidence.term,
            **write.caller.state.trace.describe(),
            reason=reason,
        )
        return Refusal(Code.OUTCOME_UNKNOWN, reason)

    def _may_try_again(self, result: Result) -> bool:
        if isinstance(result, MemberFailure):
            return result.kind in DID_NOT_RUN
        return result.code.name == Code.TARGET_LOST.name
