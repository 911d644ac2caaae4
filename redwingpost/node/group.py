"""One VM's client of a database group: probes, proofs and samples."""

from asyncio import (
    Event,
    Task,
    create_task,
    gather,
    shield,
    wait_for,
)
from collections import Counter
from collections.abc import Callable
from operator import itemgetter

from redwingpost.core.codes import Code
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.groups.confirmation import needs_confirmation
from redwingpost.groups.directory import Directory, ListedMember
from redwingpost.groups.evidence import GroupEvidence
from redwingpost.groups.probing import (
    ALERT_INTERVAL_S,
    MemberSilence,
    alert_interval_s,
    is_overdue,
    is_primary_probe_due,
    may_probe,
)
from redwingpost.groups.regions import ALL_REGIONS, Regions
from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.forwarding.homes import HomeView
from redwingpost.node.lead_proofs import LeadProofs
from redwingpost.node.member import MemberClient
from redwingpost.node.member_admission import MemberRules, RefusalKey
from redwingpost.node.places import Places
from redwingpost.node.request.read_ranking import ReadContext, rank_for_read
from redwingpost.observability.journal import log_event
from redwingpost.pools.pool import IDLE_S
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import LinkFactory, MemberEntry
from redwingpost.takeover.stall import StallDetector
from redwingpost.takeover.write_tracker import WriteTracker

#: Seconds between rounds of probes to all members. Statements show that a
#: member is alive, and heartbeats carry samples, so that a round only finds
#: what neither shows. With shorter intervals members would answer more
#: probes than statements.
ROUND_INTERVAL_S = 30.0

#: Seconds between rounds until a first primary is known: when a system
#: starts, its members register one by one.
FIRST_ROUND_INTERVAL_S = 0.4

#: Seconds of nothing but failures after which a primary counts as
#: unreachable: one probe and its timeout.
UNREACHABLE_AFTER_S = 0.5

#: Seconds of nothing but failures after which a member counts as unusable:
#: two probes and their timeouts.
UNUSABLE_AFTER_S = 0.8

#: Seconds without an answer to a write after which the primary is suspect:
#: a commit that reaches no replica is never answered.
SLOW_WRITE_S = 0.4

#: Seconds after a statement during which a VM that isn't a home of the
#: group still probes its members.
ACTIVE_AFTER_USE_S = 5.0

#: Fraction of a draining member's drain time in which this VM sends it new
#: work: the rest is left for the delays of other VMs and of callers.
DRAIN_WORK_FRACTION = 0.6


#: Seconds after which no statement waits any more for a newer primary that
#: this VM doesn't find: it is probably cut off from it.
NEW_TERM_TIMEOUT_S = 2.0

#: Milliseconds after which a caller may come back that was refused because
#: of an evacuation: operators withdraw one after minutes, but a member
#: elsewhere may become able to lead.
EVACUATED_RETRY_MS = 1000

#: Refusal of what no member in its regions can run. The caller may come back
#: after about the time of a takeover.
_NOT_IN_REGION = Refusal(Code.NO_MEMBER_IN_REGION, "", 1000)


class GroupClient:
    """The members of one group, and what is proven about them."""

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
        on_contact: Callable[["GroupClient"], None] = lambda group: None,
        places: Places | None = None,
    ) -> None:
        self.name = name
        self._on_contact = on_contact
        self.evidence = GroupEvidence()
        self.writes = WriteTracker()
        self.member_by_name: dict[str, MemberClient] = {}
        self.refusals: Counter[RefusalKey] = Counter()
        self._writes_term = 0
        self._named_term = 0
        self._named_at = float("-inf")
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
        self._places = places
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
            self.is_primary_suspect,
            self._update_leader_state,
        )
        self._changed = Event()

    # Members -----------------------------------------------------------

    def follow_directory(
        self,
        max_connections: int,
        vms: int,
        idle_s: float = IDLE_S,
        is_cut: bool = False,
        rules: MemberRules | None = None,
    ) -> None:
        """Update the members, their connection limits and admission.

        ``is_cut`` tells that VMs share them that this one doesn't hear.
        ``rules`` are those of admission; None if statements only wait for
        connections.
        """
        entries = self._directory.members_of(self.name)
        listed = {entry.member: entry for entry in entries}
        for member in tuple(self.member_by_name):
            if member not in listed:
                self._remove(member)
        for member, entry in listed.items():
            self._update(member, entry)
            client = self.member_by_name[member]
            client.budget.set_limits(max_connections, vms, idle_s)
            client.budget.is_cut = is_cut
            client.follow_admission(rules)
            client.work_ends_at = self._directory.evacuations.work_ends_at(
                entry.data_centre
            )
            client.new_work_ends_at = self._new_work_ends_at(
                self._directory.get(member)
            )
            if self._places is not None:
                client.cold_guard = self._places.guard_for(
                    self.name, self._directory.get(member)
                )
        for client in self.member_by_name.values():
            client.close_idle(not self.accepts_work(client))

    def accepts_work(self, client: MemberClient) -> bool:
        """Return whether a member may get new work."""
        listed = self._directory.get(client.entry.member)
        if listed is None or not client.may_be_sent_work:
            return False
        return self._clock.now() < self._new_work_ends_at(listed)

    def _new_work_ends_at(self, listed: ListedMember) -> float:
        """Return when a member may get no new work any more (seconds)."""
        if listed.draining_since is None:
            return float("inf")
        return listed.draining_since + self._drain_s * DRAIN_WORK_FRACTION

    def leader(self) -> MemberClient | None:
        """Return the primary if it may get new work."""
        client = self.member_by_name.get(self.evidence.leader or "")
        if client is None or not self.accepts_work(client):
            return None
        return client

    def is_leader(self, client: MemberClient) -> bool:
        """Return whether a client is that of the present primary."""
        is_named = client.entry.member == self.evidence.leader
        return is_named and not self.is_term_replaced

    def can_use_primary(self) -> bool:
        """Return whether this VM can serve callers from the primary.

        During a partition, reaching the primary alone isn't enough: without
        a replica nothing proves its lead, and it can't acknowledge commits.
        """
        leader = self.leader()
        if leader is None or leader.failing_s > UNUSABLE_AFTER_S:
            return False
        replicas = [
            client
            for name, client in self.member_by_name.items()
            if name != leader.entry.member
        ]
        return not replicas or any(
            client.failing_s <= UNUSABLE_AFTER_S for client in replicas
        )

    def is_primary_unreachable(self) -> bool:
        """Return whether the known primary doesn't answer this VM.

        A statement sent to it would wait for its timeout; the caller may
        find another VM that reaches the primary.
        """
        client = self.member_by_name.get(self.evidence.leader or "")
        if client is None:
            return False
        lost_s = self._centres.lost_s(client.entry.data_centre)
        return max(client.failing_s, lost_s) > UNREACHABLE_AFTER_S

    def ranked(
        self,
        organisation: str,
        regions: Regions = None,
        statements: int = 1,
    ) -> list[MemberClient]:
        """Return the members that accept reads, the best first.

        Parameters
        ----------
        organisation : str
            The organisation of the read.
        regions : frozenset of str, optional
            Regions to which the read is restricted.
        statements : int, optional
            How many statements a cold member must be able to get now.
        """
        now = self._clock.now()
        context = ReadContext(organisation, self._data_centre, now)
        clients = self._readable(now, regions, statements)
        return rank_for_read(clients, self.evidence, context)

    def _readable(
        self, now: float, regions: Regions = None, statements: int = 1
    ) -> list[MemberClient]:
        return [
            client
            for client in self._usable_in(regions)
            if client.accepts_reads(now)
            and client.cold_wait_s(statements) <= 0.0
        ]

    def wait_s(self, needs_primary: bool, now: float) -> float:
        """Return how long a new statement would wait for a member.

        Parameters
        ----------
        needs_primary : bool
            Whether only the primary can run it.
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds; infinite if no member can run it.
        """
        if not needs_primary:
            clients = self._readable(now)
        elif (
            self.is_term_replaced
            or self.is_primary_unreachable()
            or not self.can_use_primary()
        ):
            clients = []
        else:
            clients = [self.leader()]
        waits_s = (client.wait_s(now) for client in clients)
        return min(waits_s, default=float("inf"))

    # Places ------------------------------------------------------------

    def refuse_reads(
        self, regions: Regions, statements: int = 1
    ) -> Refusal | None:
        """Refuse a read for which no member was found, if that can't change.

        That is, where no member in its regions may get statements, or all
        that may are cold. None if one of them only failed to answer.
        """
        usable = self._usable_in(regions)
        if not usable:
            return None if regions is None else _NOT_IN_REGION
        waits = [
            (client.cold_wait_s(statements), client)
            for client in usable
            if client.accepts_reads(self._clock.now())
        ]
        if not waits or min(wait_s for wait_s, _ in waits) <= 0.0:
            return None
        return min(waits, key=itemgetter(0))[1].refuse_cold(statements)

    def refuse_primary(
        self, regions: Regions, statements: int = 1
    ) -> Refusal | None:
        """Refuse what only the primary can run and may not be sent there.

        Because it is in another region, or cold. Also if the primary isn't
        known and no member is in the regions.
        """
        client = self.member_by_name.get(self.evidence.leader or "")
        if client is None:
            if regions is None or self._members_in(regions):
                return None
            return _NOT_IN_REGION
        if not self._allows(regions, client):
            return _NOT_IN_REGION
        return client.refuse_cold(statements)

    def _usable_in(self, regions: Regions) -> list[MemberClient]:
        """Return the members in regions that may get reads."""
        return [
            client
            for client in self._members_in(regions)
            if self.accepts_work(client) and not self._is_evacuated(client)
        ]

    def _members_in(self, regions: Regions) -> list[MemberClient]:
        return [
            client
            for client in self.member_by_name.values()
            if self._allows(regions, client)
        ]

    def _allows(self, regions: Regions, client: MemberClient) -> bool:
        if regions is None:
            return True
        known = ALL_REGIONS if self._places is None else self._places.regions
        return known.allows(regions, client.entry.data_centre)

    # Evacuation --------------------------------------------------------

    @property
    def is_primary_evacuated(self) -> bool:
        """Whether the primary's data centre is ordered to be evacuated."""
        client = self.member_by_name.get(self.evidence.leader or "")
        return client is not None and self._is_evacuated(client)

    @property
    def is_evacuated(self) -> bool:
        """Whether all members are in data centres to be evacuated."""
        clients = self.member_by_name.values()
        return bool(clients) and all(map(self._is_evacuated, clients))

    def count_replicas_elsewhere(self) -> int:
        """Return how many answering replicas may lead after evacuation."""
        return sum(
            name != self.evidence.leader
            and not client.is_failing
            and not self._is_evacuated(client)
            for name, client in self.member_by_name.items()
        )

    def refuse_without_primary(self) -> Refusal:
        """Return the refusal of a statement that only a primary can run."""
        if self.leader() is None and self.is_primary_evacuated:
            return Refusal(Code.EVACUATED, "", EVACUATED_RETRY_MS)
        return Refusal(Code.NO_PRIMARY, "", 500)

    def is_primary_expected(self) -> bool:
        """Return whether a primary that accepts work may be known soon.

        Not if the present one is evacuated and no other member can lead.
        """
        return (
            not self.is_primary_evacuated
            or self.count_replicas_elsewhere() > 0
        )

    def _is_evacuated(self, client: MemberClient) -> bool:
        return self._directory.evacuations.is_ordered(client.entry.data_centre)

    # Homes -------------------------------------------------------------

    def note_use(self) -> None:
        """Record that this VM runs a statement of the group."""
        now = self._clock.now()
        if not self.is_active(now):
            self.note_activated(now)
        self._used_at = now
        self._on_contact(self)

    def note_activated(self, now: float) -> None:
        """Record that this VM begins to probe the group's members itself.

        While it didn't, it has not looked for a primary.
        """
        if self.leaderless_since is not None:
            self.leaderless_since = now

    @property
    def has_connections(self) -> bool:
        """Whether a connection to a member is open."""
        return any(
            client.has_connections for client in self.member_by_name.values()
        )

    def is_home(self, now: float) -> bool:
        """Return whether this VM is a home of the group."""
        return self._homes is None or self._homes.is_home(self.name, now)

    def is_active(self, now: float) -> bool:
        """Return whether this VM probes the group's members itself."""
        return now - self._used_at < ACTIVE_AFTER_USE_S or self.is_home(now)

    def rank(self, now: float) -> int:
        """Return this VM's rank in the order of VMs that probe the group."""
        if self._homes is None:
            return self._vms.rank(self.name, now)
        return self._homes.rank(self.name, now)

    # Rounds ------------------------------------------------------------

    def is_primary_suspect(self) -> bool:
        """Return whether no healthy, lasting primary is known.

        It may be unknown, failing, draining or unable to commit.
        """
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

    def probe_if_due(self) -> None:
        """Start the probes that are due, without waiting for them."""
        now = self._clock.now()
        if not self.is_active(now):
            self.note_activated(now)
            return
        if now - self.round_at >= self._round_interval_s(now):
            create_task(self.run_round())
            return
        for name, client in tuple(self.member_by_name.items()):
            if self._is_probe_due(name, client, now):
                create_task(self._probe_member(client, now))

    def _round_interval_s(self, now: float) -> float:
        if self.evidence.term and not self.is_primary_suspect():
            return ROUND_INTERVAL_S
        interval_s = alert_interval_s(self.rank(now))
        return (
            interval_s
            if self.evidence.term
            else max(interval_s, FIRST_ROUND_INTERVAL_S)
        )

    def _is_probe_due(
        self, member: str, client: MemberClient, now: float
    ) -> bool:
        silence = MemberSilence(
            now - client.answered_at,
            now - client.command_sent_at,
            float("inf"),
            client.waiting_s,
        )
        if is_overdue(silence):
            return True
        if self._centres.is_suspect(client.entry.data_centre):
            return may_probe(silence)
        if member != self.evidence.leader:
            return False
        # What the other VMs report only matters after a silence here.
        if not is_primary_probe_due(silence, 0):
            return False
        silence = silence._replace(
            elsewhere_s=self._vms.reached_elsewhere_s(member, now)
        )
        return is_primary_probe_due(silence, self.rank(now))

    def note_shared(
        self, member: str, position: Position, taken_at: float
    ) -> None:
        """Record a sample that another VM took."""
        if position.term > self.evidence.term:
            self.note_term(position.term)
            # Another VM knows a newer primary: bring the next round forward.
            self.round_at = min(
                self.round_at,
                self._clock.now() - ROUND_INTERVAL_S + ALERT_INTERVAL_S,
            )
            return
        self.evidence.note_shared(member, position, taken_at)

    def note_term(self, term: int) -> None:
        """Record that a commit of a term was acknowledged somewhere."""
        if term > max(self._named_term, self.evidence.term):
            self._named_at = self._clock.now()
        self._named_term = max(self._named_term, term)

    @property
    def is_term_replaced(self) -> bool:
        """Whether there is a newer primary than the one that is known."""
        return self._named_term > self.evidence.term

    @property
    def is_new_term_out_of_reach(self) -> bool:
        """Whether a newer primary was looked for in vain for long."""
        looked_s = self._clock.now() - self._named_at
        return self.is_term_replaced and looked_s > NEW_TERM_TIMEOUT_S

    def look_for_new_term(self) -> None:
        """Query the members now if there is a newer primary."""
        is_due = self._clock.now() - self.round_at >= ALERT_INTERVAL_S
        is_querying = self._round is not None and not self._round.done()
        if self.is_term_replaced and is_due and not is_querying:
            self._round = create_task(self._probe_all_members())

    async def run_round(self) -> None:
        """Request all members' reports; join a round in progress."""
        if self._round is None or self._round.done():
            self._round = create_task(self._probe_all_members())
        await shield(self._round)

    async def fresh_round(self) -> None:
        """Run a round that begins after this call."""
        if self._round is not None and not self._round.done():
            await shield(self._round)
        await self.run_round()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the primary or the proofs change."""
        event = self._changed
        try:
            await wait_for(event.wait(), max(timeout_s, 0.001))
        except TimeoutError:
            # Callers check the state again in either case.
            return

    def note_refused_as_replica(self, client: MemberClient) -> None:
        """Record that a member refused a write because it doesn't lead."""
        self.evidence.note_not_primary(client.entry.member)
        self.writes.clear_stuck()
        self._update_leader_state()

    def note_commit(
        self, client: MemberClient, position: Position, sent_at: float
    ) -> None:
        """Record an acknowledged commit."""
        self.writes.note_acknowledged(self._clock.now())
        member = client.entry.member
        self.evidence.note_commit(member, position, sent_at)

    def refuse_unprovable(self, remaining_s: float) -> Refusal | None:
        """Refuse a read at the primary that can't be proven in time.

        Parameters
        ----------
        remaining_s : float
            Time until the caller's deadline (seconds).
        """
        wait_s = self.proofs.unprovable_s()
        if wait_s <= 0.0 or wait_s < remaining_s:
            return None
        return Refusal(
            Code.NO_PRIMARY,
            "no replica may vouch for the primary",
            round(wait_s * 1000),
        )

    def refuse_unconfirmable(
        self, remaining_s: float, sync_replicas: int
    ) -> Refusal | None:
        """Refuse a write whose commit can't be confirmed in time.

        Parameters
        ----------
        remaining_s : float
            Time until the caller's deadline (seconds).
        sync_replicas : int
            Replicas that receive a commit before it is acknowledged. If
            there are any, a commit needs no further confirmation unless a
            takeover may be in progress.
        """
        if sync_replicas and not needs_confirmation(self.proofs.signs()):
            return None
        return self.refuse_unprovable(remaining_s)

    async def prove(self) -> bool:
        """Return whether the primary led at some moment after this call."""
        return await self.proofs.prove()

    async def _probe_all_members(self) -> None:
        self._on_contact(self)
        requested_at = self.round_at = self._clock.now()
        clients = tuple(self.member_by_name.values())
        await gather(
            *(self._probe_member(item, requested_at) for item in clients)
        )
        self._note_stall()
        self._note_pauses()
        self._update_leader_state()

    async def _probe_member(
        self, client: MemberClient, requested_at: float
    ) -> None:
        report = await client.send_command("status")
        member = client.entry.member
        if report is None or member not in self.member_by_name:
            return
        self.evidence.note_report(member, report, requested_at)
        now = self._clock.now()
        provers = frozenset(
            name
            for name in self.member_by_name
            if self.proofs.is_trusted(name, now)
        )
        self.evidence.derive_proof(requested_at, provers)
        self._update_leader_state()

    def _note_stall(self) -> None:
        leader = self.evidence.leader
        last = self.evidence.last_report(leader) if leader else None
        if last is None:
            return
        replicas = [
            other.report.received
            for name in self.member_by_name
            if name != leader
            and (other := self.evidence.last_report(name)) is not None
            and other.requested_at >= self.round_at
        ]
        head = last.report.received
        now = self._clock.now()
        self.stalled_s = self._stall.observe(head, replicas, now)

    def _note_pauses(self) -> None:
        is_paused = any(
            (last := self.evidence.last_report(name)) is not None
            and last.report.paused_for > self.evidence.term
            for name in self.member_by_name
        )
        if not is_paused:
            self.paused_since = None
        elif self.paused_since is None:
            self.paused_since = self._clock.now()

    def _update_leader_state(self) -> None:
        """Record whether a primary is known, and wake waiting calls."""
        self._reset_writes_on_new_term()
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

    def _reset_writes_on_new_term(self) -> None:
        """Forget the writes in flight at a primary that was replaced.

        They may stay unanswered until they time out. Counted against the
        new primary, they would show one that acknowledges nothing, and it
        would be replaced too: all replicas would be paused again, and no
        write acknowledged meanwhile.
        """
        if self.evidence.leader is None:
            return
        if self.evidence.term != self._writes_term:
            self._writes_term = self.evidence.term
            self.writes = WriteTracker()

    # Changes of members ------------------------------------------------

    def _update(self, member: str, entry: MemberEntry) -> None:
        client = self.member_by_name.get(member)
        if client is not None and _is_same_process(client.entry, entry):
            if client.entry.claims_primary != entry.claims_primary:
                self.round_at = float("-inf")
            client.entry = entry
            return
        if client is not None:
            self._remove(member)
        self.member_by_name[member] = MemberClient(
            entry, self._links, self._clock, self.refusals
        )

    def _remove(self, member: str) -> None:
        self.member_by_name.pop(member).close()
        if self._places is not None and self._directory.get(member) is None:
            self._places.forget(self.name, member)
        self.evidence.forget(member)
        self._update_leader_state()


def _is_same_process(known: MemberEntry, entry: MemberEntry) -> bool:
    return (known.ip, known.port, known.started_ms) == (
        entry.ip,
        entry.port,
        entry.started_ms,
    )
