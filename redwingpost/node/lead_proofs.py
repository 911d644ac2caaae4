"""Queries a group's members for proof that its primary still leads."""

from asyncio import gather
from collections.abc import Callable
from functools import partial

from redwingpost.groups.confirmation import (
    FAILS_ELSEWHERE_S,
    ReplicaAnswer,
    TakeoverSigns,
    needs_claim,
)
from redwingpost.groups.directory import Directory
from redwingpost.groups.evidence import RECENT_RESTART_S, GroupEvidence
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.member import MemberClient
from redwingpost.node.prover import SharedQuery
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import StatusReport

#: Seconds of silence after which a replica is queried for a proof last: if
#: it doesn't answer, all that wait for the proof are delayed.
SILENT_AFTER_S = 1.0

#: Seconds after which callers of a group without replicas may retry.
NO_REPLICA_RETRY_S = 0.5


class LeadProofs:
    """Proofs that a primary leads, shared by all that wait for one.

    Parameters
    ----------
    member_by_name : dict of str to MemberClient
        The group's members; the group keeps it up to date.
    evidence : GroupEvidence
        Collects the members' reports.
    directory, vms : Directory, VmTable
        Give the members' restarts and the primary's health as other VMs
        report it.
    data_centre : str
        This VM's data centre: its replicas are queried first.
    clock : Clock
        Gives the times of queries.
    is_primary_suspect : callable
        Returns whether the primary may have failed or may be replaced.
    on_answers : callable
        Called when reports have come in.
    """

    def __init__(
        self,
        member_by_name: dict[str, MemberClient],
        evidence: GroupEvidence,
        directory: Directory,
        vms: VmTable,
        data_centre: str,
        clock: Clock,
        is_primary_suspect: Callable[[], bool],
        on_answers: Callable[[], None],
    ) -> None:
        self._member_by_name = member_by_name
        self._evidence = evidence
        self._directory = directory
        self._vms = vms
        self._data_centre = data_centre
        self._clock = clock
        self._is_primary_suspect = is_primary_suspect
        self._on_answers = on_answers
        self._proof = SharedQuery(self._query, failed=False)
        self._answers_by_leader: dict[
            str, SharedQuery[tuple[ReplicaAnswer, ...]]
        ] = {}

    async def prove(self) -> bool:
        """Return whether the primary led at some moment after this call."""
        return await self._proof.get()

    def signs(self) -> TakeoverSigns:
        """Return the signs that a takeover may be in progress."""
        now = self._clock.now()
        return TakeoverSigns(
            any(
                self._restarted_recently(name, now)
                for name in self._replicas()
            ),
            self._fails_elsewhere_s(now),
            self._is_primary_suspect() or self._vms.is_any_write_stuck(now),
            self._vms.heard_half_s(now),
            self._has_paused_member(),
        )

    def is_trusted(self, member: str, now: float) -> bool:
        """Return whether a replica's report counts as proof.

        While a VM doesn't reach the primary, it may be conducting a takeover
        that began before a new member joined, and hasn't paused that one.
        """
        listed = self._directory.get(member)
        if listed is None or self._restarted_recently(member, now):
            return False
        has_joined = now - listed.joined_at <= RECENT_RESTART_S
        return not (
            has_joined and self._fails_elsewhere_s(now) >= FAILS_ELSEWHERE_S
        )

    def unprovable_s(self) -> float:
        """Return how long no replica's report will count (seconds).

        0 if one counts now. Until then no read at the primary can be proven
        and no commit confirmed by any replica.
        """
        now = self._clock.now()
        return min(
            (self._trusted_in_s(name, now) for name in self._replicas()),
            default=NO_REPLICA_RETRY_S,
        )

    async def query_replicas(self, leader: str) -> tuple[ReplicaAnswer, ...]:
        """Return a report of each member but the primary.

        All that wait share one request: each on its own would wait for the
        members' control connections beyond the time of a command.
        """
        shared = self._answers_by_leader.get(leader)
        if shared is None:
            shared = SharedQuery(partial(self._ask_replicas, leader), ())
            self._answers_by_leader = {leader: shared}
        return await shared.get()

    async def _ask_replicas(self, leader: str) -> tuple[ReplicaAnswer, ...]:
        requested_at = self._clock.now()
        clients = [
            client
            for name, client in self._member_by_name.items()
            if name != leader
        ]
        reports = await gather(
            *(self._request_report(client, requested_at) for client in clients)
        )
        now = self._clock.now()
        self._on_answers()
        return tuple(
            ReplicaAnswer(
                report,
                self.is_trusted(client.entry.member, now),
                client.control_open_s >= RECENT_RESTART_S,
            )
            for client, report in zip(clients, reports, strict=True)
        )

    async def _query(self) -> bool:
        """Query a replica and, if needed, the primary itself."""
        leader = self._member_by_name.get(self._evidence.leader or "")
        if leader is None or not needs_claim(self.signs()):
            return await self._query_replica()
        is_proven, is_claimed = await gather(
            self._query_replica(), self._query_leader(leader)
        )
        return is_proven and is_claimed

    async def _query_replica(self) -> bool:
        requested_at = self._clock.now()
        for client in self._provers():
            report = await self._request_report(client, requested_at)
            if report is not None and self._evidence.is_proof(report):
                self._evidence.note_proof(requested_at)
                return True
        self._on_answers()
        return False

    async def _query_leader(self, leader: MemberClient) -> bool:
        """Return whether the primary itself still reports that it leads."""
        term = self._evidence.term
        report = await self._request_report(leader, self._clock.now())
        self._on_answers()
        if report is None:
            return False
        return report.is_primary and report.term == term

    async def _request_report(
        self, client: MemberClient, requested_at: float
    ) -> StatusReport | None:
        report = await client.send_command("status")
        member = client.entry.member
        if report is not None and member in self._member_by_name:
            self._evidence.note_report(member, report, requested_at)
        return report

    def _replicas(self) -> list[str]:
        leader = self._evidence.leader
        return [name for name in self._member_by_name if name != leader]

    def _provers(self) -> list[MemberClient]:
        """Return the trusted replicas in the order to query them."""
        now = self._clock.now()
        trusted = [
            self._member_by_name[name]
            for name in self._replicas()
            if self.is_trusted(name, now)
        ]
        return sorted(trusted, key=self._query_order)

    def _query_order(self, client: MemberClient) -> tuple[bool, bool]:
        """Return a sort key: silent members last, then distant ones."""
        is_far = client.entry.data_centre != self._data_centre
        return client.silent_s > SILENT_AFTER_S, is_far

    def _fails_elsewhere_s(self, now: float) -> float:
        """Return for how long the primary has not answered some VM (s)."""
        leader = self._evidence.leader or ""
        failing_ms = (
            ms
            for health in self._vms.health_of(leader, now)
            for ms in health.failing_ms
        )
        return max(failing_ms, default=0) / 1000.0

    def _has_paused_member(self) -> bool:
        """Return whether a member has last reported a pause for a new term."""
        term = self._evidence.term
        return any(
            (last := self._evidence.last_report(name)) is not None
            and last.report.paused_for > term
            for name in self._member_by_name
        )

    def _restarted_recently(self, member: str, now: float) -> bool:
        """Return whether a member has restarted recently."""
        listed = self._directory.get(member)
        if listed is None:
            return False
        return now - listed.restarted_at <= RECENT_RESTART_S

    def _trusted_in_s(self, member: str, now: float) -> float:
        """Return the time until a replica's report counts (seconds)."""
        if self.is_trusted(member, now):
            return 0.0
        listed = self._directory.get(member)
        if listed is None:
            return NO_REPLICA_RETRY_S
        since = max(listed.restarted_at, listed.joined_at)
        return since + RECENT_RESTART_S - now
