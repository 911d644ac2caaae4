"""Confirms that a commit is kept before it is reported to the caller."""

from asyncio import sleep
from typing import NamedTuple

from redwingpost.core.positions import Position
from redwingpost.groups.confirmation import (
    HELD_UP_S,
    Commit,
    CommitStatus,
    check_commit,
    needs_confirmation,
)
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock

#: Seconds between queries while the replicas' reports don't decide whether
#: a commit is kept.
POLL_INTERVAL_S = 0.05


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
    """Return whether a commit is kept; False if that can't be determined.

    A replica confirmed it to the primary, which is enough unless a takeover
    may be in progress (``redwingpost.groups.confirmation``) or is complete.
    If no replica had to (``sync_replicas`` 0), a primary that was replaced
    would also have acknowledged it, so its lead must be proven.
    """
    if sync_replicas == 0:
        return await group.prove()
    signs = group.proofs.signs()
    if needs_confirmation(signs) or not _still_leads(group, leader, commit):
        status = await _poll_replicas(group, leader, commit, clock)
        if status is not CommitStatus.KEPT:
            log_event(
                "commit-unconfirmed",
                request=commit.request,
                group=group.name,
                member=leader.entry.member,
                position=str(commit.position),
                verdict=status.value,
                **signs._asdict(),
            )
            return False
    group.note_commit(leader, commit.position, commit.sent_at)
    return True


async def _poll_replicas(
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
        may_be_replaced = group.proofs.signs().may_be_replaced
        checked = Commit(term, commit.position, held_up_s, may_be_replaced)
        if not may_be_replaced and held_up_s < HELD_UP_S:
            # The proof holds for the primary known now, which may be new.
            if await group.prove() and _still_leads(group, leader, commit):
                return CommitStatus.KEPT
        answers = await group.proofs.query_replicas(leader.entry.member)
        status = check_commit(checked, answers)
        if status is CommitStatus.REPLACED and _is_in_new_log(group, commit):
            return CommitStatus.KEPT
        if status is not CommitStatus.OPEN or clock.now() >= commit.deadline:
            return status
        await sleep(POLL_INTERVAL_S)


def _still_leads(
    group: GroupClient, leader: MemberClient, commit: AcknowledgedCommit
) -> bool:
    """Return whether the commit's primary isn't known to be replaced."""
    evidence = group.evidence
    if evidence.leader != leader.entry.member:
        return False
    return commit.position is None or commit.position.term == evidence.term


def _is_in_new_log(group: GroupClient, commit: AcknowledgedCommit) -> bool:
    return commit.position is not None and group.evidence.holds(
        commit.position
    )
