"""Tell a writer that its commit is kept only where that is certain."""

from asyncio import sleep
from typing import NamedTuple

from redwingpost.core.positions import Position
from redwingpost.groups.confirmation import (
    HELD_UP_S,
    CommitStatus,
    check_commit,
    needs_confirmation,
)
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock

#: Seconds between questions while the replicas leave a commit open.
ASK_AGAIN_S = 0.05


class AcknowledgedCommit(NamedTuple):
    """A commit that a primary has acknowledged; times are seconds."""

    request: str
    position: Position | None
    sent_at: float
    deadline: float


async def confirm_commit(
    group: GroupClient,
    leader: MemberClient,
    commit: AcknowledgedCommit,
    sync_replicas: int,
    clock: Clock,
) -> bool:
    """Say whether a commit is kept; False where that can't be known.

    A replica confirmed it to the primary, which is enough unless a takeover
    may be under way (``redwingpost.groups.confirmation``) or is over. Where
    none had to (``sync_replicas`` 0), a primary that was replaced would have
    taken it all the same.
    """
    if sync_replicas == 0:
        return await group.prove()
    signs = group.proofs.signs()
    if needs_confirmation(signs) or not _leads(group, leader, commit):
        verdict = await _ask_until_clear(group, leader, commit, clock)
        if verdict is not CommitStatus.KEPT:
            log_event(
                "commit-unconfirmed",
                request=commit.request,
                group=group.name,
                member=leader.entry.member,
                position=str(commit.position),
                verdict=verdict.value,
                **signs._asdict(),
            )
            return False
    group.note_commit(leader, commit.position, commit.sent_at)
    return True


async def _ask_until_clear(
    group: GroupClient,
    leader: MemberClient,
    commit: AcknowledgedCommit,
    clock: Clock,
) -> CommitStatus:
    held_up_s = clock.now() - commit.sent_at
    term = group.evidence.term
    if commit.position is not None:
        term = commit.position.term
    while True:
        if held_up_s < HELD_UP_S and await group.prove():
            # The proof is of whoever is known to lead by now.
            if _leads(group, leader, commit):
                return CommitStatus.KEPT
        answers = await group.proofs.ask_replicas(leader.entry.member)
        verdict = check_commit(term, answers, held_up_s)
        if verdict is CommitStatus.REPLACED and _is_in_new_log(group, commit):
            return CommitStatus.KEPT
        if verdict is not CommitStatus.OPEN or clock.now() >= commit.deadline:
            return verdict
        await sleep(ASK_AGAIN_S)


def _leads(
    group: GroupClient, leader: MemberClient, commit: AcknowledgedCommit
) -> bool:
    """Say whether nobody is known to have replaced a commit's primary."""
    evidence = group.evidence
    if evidence.leader != leader.entry.member:
        return False
    return commit.position is None or commit.position.term == evidence.term


def _is_in_new_log(group: GroupClient, commit: AcknowledgedCommit) -> bool:
    return commit.position is not None and group.evidence.holds(
        commit.position
    )
