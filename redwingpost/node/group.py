"""One group of members: its status rounds, proofs, and samples."""

from asyncio import (
    Event,
    Task,
    create_task,
    gather,
    shield,
    wait_for,
)

from redwingpost.core.codes import Code
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.groups.confirmation import needs_confirmation
from redwingpost.groups.directory import Directory
from redwingpost.groups.evidence import GroupEvidence
from redwingpost.groups.questions import (
    ALERT_INTERVAL_S,
    MemberSilence,
    alert_interval_s,
    is_overdue,
    is_primary_probe_due,
    may_probe,
)
from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.forwarding.homes import HomeView
from redwingpost.node.lead_proofs import LeadProofs
from redwingpost.node.member import MemberClient
from redwingpost.node.request.read_ranking import ReadContext, rank_for_read
from redwingpost.observability.journal import log_event
from redwingpost.pools.pool import IDLE_S
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import LinkFactory, MemberEntry
from redwingpost.takeover.stall import StallDetector
from redwingpost.takeover.write_watch import WriteWatch

#: Seconds between rounds of status questions to all members. Statements
#: show that a member lives, and heartbeats bring samples, so that a round
#: only finds what neither shows. More often, members would answer more
#: questions than statements.
ROUND_S = 30.0

#: Seconds between rounds until a first primary is known: members of a
#: system that starts come one by one.
FIRST_ROUND_S = 0.4

#: Seconds of failures only after which a primary counts as out of reach:
#: one question and its time limit.
OUT_OF_REACH_S = 0.5

#: Seconds of failures only after which a member is of no use: two
#: questions and their time limits.
USELESS_AFTER_S = 0.8

#: Seconds that a write may wait for its answer before the primary is
#: looked at: a commit that reaches no replica hangs.
SLOW_WRITE_S = 0.4

#: Seconds after a statement for which a VM that is no home of a group goes
#: on dealing with its members.
ACTIVE_S = 5.0

#: Part of the time in which a leaving member may get new work that is
#: used: other VMs and the caller's way to here take their part.
DRAIN_PART = 0.6


class GroupClient:
    """Members of one group, and what is proven of them."""

    def __init__(
        self,
        name: str,
        directory: Directory,
        links: LinkFactory,
        clock: Clock,
        data_centre: str,
        drain_s: float,
        vms: VmTable,
        centres: CentreWatch,
        homes: HomeView | None = None,
    ) -> None:
        self.name = name
        self.evidence = GroupEvidence()
        self.writes = WriteWatch()
        self.member_by_name: dict[str, MemberClient] = {}
        self._writes_term = 0
        self.stalled_s = 0.0
        self.leaderless_since: float | None = clock.now()
        self.paused_since: float | None = None
        self.round_at = float("-inf")
        self._directory = directory
        self._links = links
        self._clock = clock
        self._data_centre = data_centre
        self._drain_s = drain_s
        self._vms = vms
        self._centres = centres
        self._homes = homes
        self._used_at = float("-inf")
        self._stall = StallDetector()
        self._round: Task | None = None
        self.proofs = LeadProofs(
            self.member_by_name,
            self.evidence,
            directory,
            vms,
            data_centre,
            clock,
            self.is_alert,
            self._settle,
        )
        self._changed = Event()

    # Members -----------------------------------------------------------

    def follow_directory(
        self, max_connections: int, vms: int, idle_s: float = IDLE_S
    ) -> None:
        """Take over who is listed, and how many connections each takes."""
        entries = self._directory.members_of(self.name)
        listed = {entry.member: entry for entry in entries}
        for member in tuple(self.member_by_name):
            if member not in listed:
                self._remove(member)
        for member, entry in listed.items():
            self._update(member, entry)
            budget = self.member_by_name[member].budget
            budget.set_limits(max_connections, vms, idle_s)
        for client in self.member_by_name.values():
            client.close_idle(not self.takes_work(client))

    def takes_work(self, client: MemberClient) -> bool:
        """Say whether a member may get new work."""
        listed = self._directory.get(client.entry.member)
        if listed is None:
            return False
        if listed.draining_since is None:
            return True
        leaving_s = self._clock.now() - listed.draining_since
        return leaving_s < self._drain_s * DRAIN_PART

    def leader(self) -> MemberClient | None:
        """Return the primary if it may get new work."""
        client = self.member_by_name.get(self.evidence.leader or "")
        if client is None or not self.takes_work(client):
            return None
        return client

    def is_useful(self) -> bool:
        """Say whether this VM can serve from the group's primary.

        Without a replica nothing proves its lead, and it can acknowledge
        nothing: to reach it alone, behind a cut, is of no use.
        """
        leader = self.leader()
        if leader is None or leader.failing_s > USELESS_AFTER_S:
            return False
        replicas = [
            client
            for name, client in self.member_by_name.items()
            if name != leader.entry.member
        ]
        return not replicas or any(
            client.failing_s <= USELESS_AFTER_S for client in replicas
        )

    def is_primary_unreachable(self) -> bool:
        """Say whether the known primary doesn't answer this VM.

        What is sent to it would hang until its time is over; the caller
        may find another VM that reaches it.
        """
        client = self.member_by_name.get(self.evidence.leader or "")
        if client is None:
            return False
        lost_s = self._centres.lost_s(client.entry.data_centre)
        return max(client.failing_s, lost_s) > OUT_OF_REACH_S

    def ranked(self, organisation: str) -> list[MemberClient]:
        """Return members for a read, the best first."""
        now = self._clock.now()
        clients = [
            client
            for client in self.member_by_name.values()
            if self.takes_work(client) and client.may_read(now)
        ]
        place = ReadContext(organisation, self._data_centre, now)
        return rank_for_read(clients, self.evidence, place)

    # Homes -------------------------------------------------------------

    def note_use(self) -> None:
        """Note that a statement runs here, whoever is the group's home."""
        self._used_at = self._clock.now()

    def is_home(self, now: float) -> bool:
        """Say whether this VM is a home of the group."""
        return self._homes is None or self._homes.is_home(self.name, now)

    def is_active(self, now: float) -> bool:
        """Say whether this VM deals with the group's members itself."""
        return now - self._used_at < ACTIVE_S or self.is_home(now)

    def place(self, now: float) -> int:
        """Return this VM's place among those that deal with the group."""
        if self._homes is None:
            return self._vms.place(self.name, now)
        return self._homes.place(self.name, now)

    # Rounds ------------------------------------------------------------

    def is_alert(self) -> bool:
        """Say whether something looks wrong with the primary."""
        leader = self.member_by_name.get(self.evidence.leader or "")
        return (
            leader is None
            or leader.is_failing
            or leader.entry.is_draining
            or not leader.entry.claims_primary
            or self.stalled_s > 0.0
            or self.paused_since is not None
            or self.writes.stuck_s(self._clock.now()) > SLOW_WRITE_S
        )

    def ask_if_due(self) -> None:
        """Ask whichever members must be asked now; don't wait."""
        now = self._clock.now()
        if not self.is_active(now):
            if self.leaderless_since is not None:
                # Nobody here has looked for a primary until now.
                self.leaderless_since = now
            return
        if now - self.round_at >= self._round_pause_s(now):
            create_task(self.run_round())
            return
        for name, client in tuple(self.member_by_name.items()):
            if self._is_question_due(name, client, now):
                create_task(self._ask_one(client, now))

    def _round_pause_s(self, now: float) -> float:
        if self.evidence.term and not self.is_alert():
            return ROUND_S
        pause_s = alert_interval_s(self.place(now))
        return pause_s if self.evidence.term else max(pause_s, FIRST_ROUND_S)

    def _is_question_due(
        self, member: str, client: MemberClient, now: float
    ) -> bool:
        quiet = MemberSilence(
            now - client.answered_at,
            now - client.asked_at,
            self._vms.reached_elsewhere_s(member, now),
            client.waiting_s,
        )
        if is_overdue(quiet):
            return True
        if self._centres.is_suspect(client.entry.data_centre):
            return may_probe(quiet)
        if member != self.evidence.leader:
            return False
        return is_primary_probe_due(quiet, self.place(now))

    def note_shared(
        self, member: str, position: Position, taken_at: float
    ) -> None:
        """Take in a sample that another VM took."""
        if position.term > self.evidence.term:
            # Another VM knows of a newer primary: ask now.
            self.round_at = min(
                self.round_at, self._clock.now() - ROUND_S + ALERT_INTERVAL_S
            )
            return
        self.evidence.note_shared(member, position, taken_at)

    async def run_round(self) -> None:
        """Ask all members for a report; join a round under way."""
        if self._round is None or self._round.done():
            self._round = create_task(self._ask_all())
        await shield(self._round)

    async def fresh_round(self) -> None:
        """Run a round that begins after this call."""
        if self._round is not None and not self._round.done():
            await shield(self._round)
        await self.run_round()

    async def wait_for_change(self, patience: float) -> None:
        """Wait until the primary or the proofs change."""
        event = self._changed
        try:
            await wait_for(event.wait(), max(patience, 0.001))
        except TimeoutError:
            # Whoever waits looks at the state again in either case.
            return

    def note_refused_as_replica(self, client: MemberClient) -> None:
        """Note that a member refused a write as no primary."""
        self.evidence.note_not_primary(client.entry.member)
        self.writes.clear_stuck()
        self._settle()

    def note_commit(
        self, client: MemberClient, position: Position, sent_at: float
    ) -> None:
        """Note an acknowledged commit."""
        self.writes.note_acknowledged(self._clock.now())
        member = client.entry.member
        self.evidence.note_commit(member, position, sent_at)

    def refuse_unprovable(self, left_s: float) -> Refusal | None:
        """Refuse a read at the primary that can't be proven in time.

        Parameters
        ----------
        left_s : float
            Seconds that the caller still waits.
        """
        wait_s = self.proofs.unprovable_s()
        if wait_s <= 0.0 or wait_s < left_s:
            return None
        return Refusal(
            Code.NO_PRIMARY,
            "no replica may vouch for the primary",
            round(wait_s * 1000),
        )

    def refuse_unconfirmable(
        self, left_s: float, sync_replicas: int
    ) -> Refusal | None:
        """Refuse a write whose commit can't be confirmed in time.

        Parameters
        ----------
        left_s : float
            Seconds that the caller still waits.
        sync_replicas : int
            Replicas that receive a commit before it is acknowledged. Where
            there are any, a commit needs no other word in calm times.
        """
        if sync_replicas and not needs_confirmation(self.proofs.signs()):
            return None
        return self.refuse_unprovable(left_s)

    async def prove(self) -> bool:
        """Say whether the primary led at some moment after this call."""
        return await self.proofs.prove()

    async def _ask_all(self) -> None:
        asked_at = self.round_at = self._clock.now()
        clients = tuple(self.member_by_name.values())
        await gather(*(self._ask_one(item, asked_at) for item in clients))
        self._note_stall()
        self._note_pauses()
        self._settle()

    async def _ask_one(self, client: MemberClient, asked_at: float) -> None:
        report = await client.ask("status")
        member = client.entry.member
        if report is None or member not in self.member_by_name:
            return
        self.evidence.note_report(member, report, asked_at)
        now = self._clock.now()
        provers = frozenset(
            name
            for name in self.member_by_name
            if self.proofs.is_trusted(name, now)
        )
        self.evidence.derive_proof(asked_at, provers)
        self._settle()

    def _note_stall(self) -> None:
        leader = self.evidence.leader
        heard = self.evidence.last_report(leader) if leader else None
        if heard is None:
            return
        replicas = [
            other.report.received
            for name in self.member_by_name
            if name != leader
            and (other := self.evidence.last_report(name)) is not None
            and other.asked_at >= self.round_at
        ]
        head = heard.report.received
        now = self._clock.now()
        self.stalled_s = self._stall.observe(head, replicas, now)

    def _note_pauses(self) -> None:
        is_paused = any(
            (heard := self.evidence.last_report(name)) is not None
            and heard.report.paused_for > self.evidence.term
            for name in self.member_by_name
        )
        if not is_paused:
            self.paused_since = None
        elif self.paused_since is None:
            self.paused_since = self._clock.now()

    def _settle(self) -> None:
        """Wake who waits for a primary; note since when there is none."""
        self._watch_new_primary()
        if self.evidence.leader is not None:
            if self.leaderless_since is not None:
                log_event(
                    "primary-known",
                    group=self.name,
                    member=self.evidence.leader,
                    term=self.evidence.term,
                )
            self.leaderless_since = None
        elif self.leaderless_since is None:
            self.leaderless_since = self._clock.now()
            log_event("primary-unknown", group=self.name)
        self._changed.set()
        self._changed = Event()

    def _watch_new_primary(self) -> None:
        """Let writes that hang at a replaced primary count no longer.

        They may hang for as long as their time limit. Held against the
        new primary, they would look as if it acknowledged nothing, and it
        would be replaced in its turn: all replicas paused once more, and
        no write acknowledged meanwhile.
        """
        if self.evidence.leader is None:
            return
        if self.evidence.term != self._writes_term:
            self._writes_term = self.evidence.term
            self.writes = WriteWatch()

    # Members, in detail ------------------------------------------------

    def _update(self, member: str, entry: MemberEntry) -> None:
        client = self.member_by_name.get(member)
        if client is not None and _is_same_life(client.entry, entry):
            if client.entry.claims_primary != entry.claims_primary:
                self.round_at = float("-inf")
            client.entry = entry
            return
        if client is not None:
            self._remove(member)
        self.member_by_name[member] = MemberClient(
            entry, self._links, self._clock
        )

    def _remove(self, member: str) -> None:
        self.member_by_name.pop(member).close()
        self.evidence.forget(member)
        self._settle()


def _is_same_life(known: MemberEntry, entry: MemberEntry) -> bool:
    return (known.ip, known.port, known.started_ms) == (
        entry.ip,
        entry.port,
        entry.started_ms,
    )
