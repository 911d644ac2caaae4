"""Ask a group's members whether its primary still leads."""

from asyncio import gather
from collections.abc import Callable

from redwingpost.groups.confirmation import (
    ReplicaAnswer,
    TakeoverSigns,
    needs_claim,
)
from redwingpost.groups.directory import Directory
from redwingpost.groups.evidence import RECENT_RESTART_S, GroupEvidence
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.member import MemberClient
from redwingpost.node.prover import SharedProof
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import StatusReport

#: Seconds of silence after which a replica is asked for a proof last: one
#: that doesn't answer holds up whoever waits for it.
DOUBTFUL_S = 1.0

#: Seconds after which callers of a group without any replica may try again.
NO_REPLICA_S = 0.5


class LeadProofs:
    """Proofs that a primary leads, shared by those who wait for one.

    Parameters
    ----------
    member_by_name : dict of str to MemberClient
        The group's members; the group keeps it up to date.
    evidence : GroupEvidence
        Takes in what members report.
    directory, vms : Directory, VmTable
        Which members started again, and what other VMs say of the primary.
    data_centre : str
        Where this VM stands: near replicas are asked first.
    clock : Clock
        For the time of questions.
    is_alert : callable
        Says whether something looks wrong with the primary.
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
        is_alert: Callable[[], bool],
        on_answers: Callable[[], None],
    ) -> None:
        self._member_by_name = member_by_name
        self._evidence = evidence
        self._directory = directory
        self._vms = vms
        self._data_centre = data_centre
        self._clock = clock
        self._is_alert = is_alert
        self._on_answers = on_answers
        self._proof = SharedProof(self._ask)

    async def prove(self) -> bool:
        """Say whether the primary led at some moment after this call."""
        return await self._proof.get()

    def signs(self) -> TakeoverSigns:
        """Return the signs that a takeover may be under way."""
        now = self._clock.now()
        leader = self._evidence.leader or ""
        failing_ms = (
            ms
            for health in self._vms.health_of(leader, now)
            for ms in health.failing_ms
        )
        return TakeoverSigns(
            any(self._is_fresh(name, now) for name in self._replicas()),
            max(failing_ms, default=0) / 1000.0,
            self._is_alert() or self._vms.is_any_write_stuck(now),
            self._vms.heard_half_s(now),
        )

    def is_trusted(self, member: str, now: float) -> bool:
        """Say whether a replica's word counts as proof."""
        is_listed = self._directory.get(member) is not None
        return is_listed and not self._is_fresh(member, now)

    def unprovable_s(self) -> float:
        """Return for how long no replica's word will count (seconds).

        0 where one's counts now. Until then no read at the primary can be
        proven and no commit confirmed, whoever is asked.
        """
        now = self._clock.now()
        return min(
            (self._trusted_in_s(name, now) for name in self._replicas()),
            default=NO_REPLICA_S,
        )

    async def query_replicas(self, leader: str) -> tuple[ReplicaAnswer, ...]:
        """Ask all members but one for a report."""
        asked_at = self._clock.now()
        clients = [
            client
            for name, client in self._member_by_name.items()
            if name != leader
        ]
        reports = await gather(
            *(self._report(client, asked_at) for client in clients)
        )
        now = self._clock.now()
        self._on_answers()
        return tuple(
            ReplicaAnswer(report, self.is_trusted(client.entry.member, now))
            for client, report in zip(clients, reports, strict=True)
        )

    async def _ask(self) -> bool:
        """Ask a replica and, in doubt, the primary itself."""
        leader = self._member_by_name.get(self._evidence.leader or "")
        if leader is None or not needs_claim(self.signs()):
            return await self._ask_a_replica()
        is_proven, is_claimed = await gather(
            self._ask_a_replica(), self._ask_leader(leader)
        )
        return is_proven and is_claimed

    async def _ask_a_replica(self) -> bool:
        asked_at = self._clock.now()
        for client in self._provers():
            report = await self._report(client, asked_at)
            if report is not None and self._evidence.is_proof(report):
                self._evidence.note_proof(asked_at)
                return True
        self._on_answers()
        return False

    async def _ask_leader(self, leader: MemberClient) -> bool:
        """Say whether the primary itself still says that it leads."""
        term = self._evidence.term
        report = await self._report(leader, self._clock.now())
        self._on_answers()
        if report is None:
            return False
        return report.is_primary and report.term == term

    async def _report(
        self, client: MemberClient, asked_at: float
    ) -> StatusReport | None:
        report = await client.ask("status")
        member = client.entry.member
        if report is not None and member in self._member_by_name:
            self._evidence.note_report(member, report, asked_at)
        return report

    def _replicas(self) -> list[str]:
        leader = self._evidence.leader
        return [name for name in self._member_by_name if name != leader]

    def _provers(self) -> list[MemberClient]:
        """Return replicas whose word counts, the nearest first."""
        now = self._clock.now()
        able = [
            self._member_by_name[name]
            for name in self._replicas()
            if self.is_trusted(name, now)
        ]
        return sorted(able, key=self._cost_to_ask)

    def _cost_to_ask(self, client: MemberClient) -> tuple[bool, bool]:
        """Return what speaks against asking a member, the worst first."""
        is_far = client.entry.data_centre != self._data_centre
        return client.silent_s > DOUBTFUL_S, is_far

    def _is_fresh(self, member: str, now: float) -> bool:
        """Say whether a member has started again a short while ago."""
        listed = self._directory.get(member)
        if listed is None:
            return False
        return now - listed.restarted_at <= RECENT_RESTART_S

    def _trusted_in_s(self, member: str, now: float) -> float:
        """Return after how long a replica's word counts (seconds)."""
        if self.is_trusted(member, now):
            return 0.0
        listed = self._directory.get(member)
        if listed is None:
            return NO_REPLICA_S
        return listed.restarted_at + RECENT_RESTART_S - now
