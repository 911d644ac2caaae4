"""One takeover of one group: the requests to its members, in order.

The decisions that depend on their answers are in
``redwingpost.takeover.plan``.
"""

from asyncio import create_task, gather, sleep
from collections.abc import Iterable
from typing import NamedTuple

from redwingpost.groups.directory import Directory
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient
from redwingpost.node.places import Places
from redwingpost.node.takeover.members import TakeoverMembers
from redwingpost.node.takeover.orders import TakeoverOrders
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import (
    LinkFactory,
    MemberEntry,
    PromotionOrders,
    StatusReport,
)
from redwingpost.ports.registry import MemberRegistry
from redwingpost.takeover.joining import REGISTRATION_S
from redwingpost.takeover.orders import ACCEPTED_LIFETIME_S
from redwingpost.takeover.plan import (
    Survey,
    candidates,
    choose_replica,
    is_worth_stopping,
    may_promote,
    pause_term,
)
from redwingpost.takeover.roster import Roster
from redwingpost.takeover.status import (
    MemberStatus,
    current_primary,
    describe_status,
    newest_term,
)
from redwingpost.takeover.triggers import Reason

#: Seconds between status requests while waiting for a member's state to
#: change.
POLL_S = 0.03

#: Seconds for the chosen replica to receive what a paused one had.
CATCH_UP_TIMEOUT_S = 1.0

#: Seconds for the platform to accept an order, which is sent again meanwhile.
PROMOTION_TIMEOUT_S = 3.0

#: Seconds for a chosen replica to receive the commits that were in transit
#: when the old primary was stopped. The group has no primary meanwhile.
LAST_COMMITS_TIMEOUT_S = 0.3

#: Seconds after the stop within which the registry must have shown that no
#: member joined unseen. Without that only a member with the whole log of the
#: stopped primary can be promoted.
MEMBERS_TIMEOUT_S = 1.0

#: Seconds that may pass between the members' answers to the pause and the
#: order. A replica that restarts after its answer has lost its pause.
MAX_PAUSE_AGE_S = 0.1


class TakeoverDependencies(NamedTuple):
    """What a takeover uses besides the group.

    ``directory`` is this VM's copy of the list in ``registry``. ``vm`` is
    this VM's name; ``places`` is None where neither cold members nor regions
    are observed.
    """

    directory: Directory
    registry: MemberRegistry
    links: LinkFactory
    orders: PromotionOrders
    clock: Clock
    vm: str
    places: Places | None = None


class Coordinator:
    """Runs one takeover of one group.

    Parameters
    ----------
    group : GroupClient
        Group whose primary is to be replaced.
    roster : Roster
        All members whose logs may hold acknowledged commits, as recorded
        in the fleet's store.
    sync_replicas : int
        Number of replicas that receive a commit before it is acknowledged.
    orders : TakeoverOrders
        Sends the promotion order; has this VM's right to do so.
    dependencies : TakeoverDependencies
        What the takeover uses besides the group.
    """

    def __init__(
        self,
        group: GroupClient,
        roster: Roster,
        sync_replicas: int,
        orders: TakeoverOrders,
        dependencies: TakeoverDependencies,
    ) -> None:
        self._group = group
        self._sync_replicas = sync_replicas
        self._orders = orders
        self._directory = dependencies.directory
        self._clock = dependencies.clock
        self._places = dependencies.places
        self.members = TakeoverMembers(
            group,
            roster,
            dependencies.directory,
            dependencies.registry,
            dependencies.links,
            dependencies.clock,
        )
        self._silent_members: frozenset[str] = frozenset()
        self._has_stopped_primary = False
        self._paused_at = float("-inf")

    @property
    def clients(self) -> dict[str, MemberClient]:
        """Return the clients of all members known so far, by name."""
        return self.members.clients

    def close(self) -> None:
        """Close the connections that were opened for this takeover."""
        self.members.close()

    async def run(self, reason: Reason) -> str:
        """Replace the primary; return the outcome for log and metrics."""
        statuses = await self._send_to_all(self.clients, "status")
        known_term = max(self._group.evidence.term, newest_term(statuses))
        self._orders.note_term(known_term)
        self._orders.note_replaced(self.members.replaced())
        leader = current_primary(statuses, known_term)
        if await self._demote_stale(statuses, leader):
            self.members.follow_directory()
            statuses = await self._send_to_all(self.clients, "status")
        if reason is Reason.LEFT_PAUSED and leader is not None:
            await self._resume_replicas(statuses)
            return "resumed"
        old = leader
        if old is None and self._group.evidence.term == known_term:
            old = self._group.evidence.leader
        if choose_replica(statuses, old, self._orders.member) is None:
            return "no replica answers"
        term = pause_term(statuses)
        if leader is None:
            chosen = await self._pause_all(old, term)
        else:
            chosen = await self._stop(statuses, leader, term, reason)
        if chosen is None:
            await self._resume_replicas(statuses)
            return "not safe yet"
        if not await self._promote(chosen, term, old, known_term):
            await self._orders.withdraw_ended()
            await self._resume_replicas(statuses)
            return "not promoted"
        await self._finish(chosen, old)
        return "done"

    # Members -----------------------------------------------------------

    async def _send_to_all(
        self, clients: dict[str, MemberClient], command: str, *arguments: int
    ) -> tuple[MemberStatus, ...]:
        """Send a command to members and return their statuses.

        A member that isn't on the roster is included only if it answers.
        Once this VM's right has ended nothing is sent that changes a member,
        as another VM may conduct a takeover.
        """

        def may_send() -> bool:
            duty = self._orders.duty
            is_reading = command == "status"
            return is_reading or duty.allows_command(self._clock.now())

        if not may_send():
            log_event("duty-ended", group=self._group.name, command=command)
            clients = {}

        async def send(client: MemberClient) -> MemberStatus:
            report = await client.send_command(
                command, *arguments, may_send=may_send
            )
            return self._status(self._entry_of(client), report)

        statuses = await gather(*(send(item) for item in clients.values()))
        return tuple(
            item
            for item in statuses
            if not item.is_silent or item.entry.member in self.members.rostered
        )

    def _clients_except(
        self, members: Iterable[str]
    ) -> dict[str, MemberClient]:
        return {
            name: client
            for name, client in self.clients.items()
            if name not in members
        }

    def _survey(
        self,
        statuses: tuple[MemberStatus, ...],
        term: int,
        has_all_members: bool,
        stopped: str | None = None,
    ) -> Survey:
        return Survey(
            statuses,
            stopped,
            term,
            self._sync_replicas,
            self._group.evidence.floor,
            has_all_members,
        )

    async def _demote_stale(
        self, statuses: tuple[MemberStatus, ...], leader: str | None
    ) -> bool:
        """Order primaries of earlier terms to step down.

        Returns
        -------
        bool
            Whether there was any.
        """
        newest = newest_term(statuses)
        stale = {
            item.entry.member: self.clients[item.entry.member]
            for item in statuses
            if not item.is_silent
            and item.report.is_primary
            and item.entry.member != leader
            and item.report.term < newest
        }
        await self._send_to_all(stale, "step_down", newest)
        return bool(stale)

    # A primary that doesn't answer ---------------------------------------

    async def _pause_all(
        self, old: str | None, term: int
    ) -> MemberStatus | None:
        """Pause all members that answer; choose one by their positions."""
        others = self._clients_except([old])
        statuses, has_all_members = await gather(
            self._send_to_all(others, "pause", term),
            self.members.read_registry(),
        )
        answering = {
            item.entry.member for item in statuses if not item.is_silent
        }
        # Pause those again, without waiting for silent members: the order
        # must be sent immediately after the answers that allow it. Members
        # that have joined meanwhile are paused, too.
        clients = self._clients_except([old, *(others.keys() - answering)])
        self._paused_at = self._clock.now()
        paused = await self._send_to_all(clients, "pause", term)
        survey = self._survey(
            self._with_silent_members(paused), term, has_all_members
        )
        return self._choose_promotable(survey)

    def _with_silent_members(
        self, answers: tuple[MemberStatus, ...]
    ) -> tuple[MemberStatus, ...]:
        """Add rostered members without an answer, as silent ones."""
        answered = {item.entry.member for item in answers}
        silent = tuple(
            self._status(entry, None)
            for name, entry in self.members.rostered.items()
            if name not in answered
        )
        return (*answers, *silent)

    def _choose_promotable(self, survey: Survey) -> MemberStatus | None:
        for item in self._candidates(survey):
            if may_promote(item, survey):
                self._log_survey("takeover-safe", survey, item)
                return item
        self._log_survey("takeover-unsafe", survey)
        return None

    def _candidates(self, survey: Survey) -> tuple[MemberStatus, ...]:
        return candidates(survey.statuses, None, self._orders.member)

    # A primary that answers ----------------------------------------------

    async def _stop(
        self,
        statuses: tuple[MemberStatus, ...],
        leader: str,
        term: int,
        reason: Reason,
    ) -> MemberStatus | None:
        """Stop a primary that answers, once a replica can replace it.

        The chosen replica isn't paused and goes on receiving until then, so
        that the primary serves for as long as possible.
        """
        ordered = self._orders.member
        chosen = choose_replica(statuses, leader, ordered).chosen.entry
        paused = self._clients_except([leader, chosen.member])
        await self._send_to_all(paused, "pause", term)
        old = {leader: self.clients[leader]}
        next_term = newest_term(statuses) + 1
        if not await self._await_catch_up(chosen, leader, term):
            if ordered is not None:
                # A member that restarts or joins, and lacks the pause, would
                # confirm commits that the ordered one doesn't receive.
                await self._send_to_all(old, "step_down", next_term)
            return None
        stopped = await self._send_to_all(old, "step_down", next_term)
        log_event(
            "primary-stopped",
            group=self._group.name,
            member=leader,
            reason=reason.value,
            answers=[describe_status(item) for item in stopped],
        )
        if not stopped or stopped[0].is_silent:
            return await self._pause_all(leader, term)
        if stopped[0].report.is_primary:
            return None
        return await self._await_last_commits(chosen, stopped[0], term)

    async def _await_catch_up(
        self, chosen: MemberEntry, leader: str, term: int
    ) -> bool:
        """Wait until the chosen replica can replace a stopped primary.

        Returns
        -------
        bool
            False if it can't after ``CATCH_UP_TIMEOUT_S``.
        """
        until = self._clock.now() + CATCH_UP_TIMEOUT_S
        first = self._clients_except([chosen.member])
        while True:
            # The chosen replica is queried last: what it hasn't received by
            # then was committed after the primary answered.
            others = await self._send_to_all(first, "status")
            status = await self._request_status(chosen.member)
            survey = self._survey(
                (*others, status), term, has_all_members=False
            )
            self._silent_members = frozenset(
                item.entry.member for item in others if item.is_silent
            )
            if is_worth_stopping(status, survey, leader, self._orders.member):
                return True
            if self._clock.now() >= until:
                self._log_survey("takeover-unsafe", survey)
                return False
            await sleep(POLL_S)

    async def _await_last_commits(
        self, chosen: MemberEntry, stopped: MemberStatus, term: int
    ) -> MemberStatus | None:
        """Return the chosen replica once it holds the last commits.

        Once all members are known, or if it takes too long, returns any
        member that can be promoted without losing a commit, the stopped one
        as a last resort: the group must not stay without a primary.
        """
        stopped_at = self._clock.now()
        has_all_members = False
        while True:
            survey = await self._survey_after_stop(
                chosen, stopped, term, has_all_members
            )
            waited_s = self._clock.now() - stopped_at
            is_late = waited_s >= (
                LAST_COMMITS_TIMEOUT_S
                if has_all_members
                else MEMBERS_TIMEOUT_S
            )
            for item in self._candidates(survey):
                name = item.entry.member
                is_eligible = name == chosen.member or (
                    has_all_members and name != stopped.entry.member
                )
                if is_eligible and may_promote(item, survey):
                    self._has_stopped_primary = True
                    self._log_survey("takeover-safe", survey, item)
                    return item
            if is_late:
                self._has_stopped_primary = True
                return self._choose_promotable(survey)
            await sleep(POLL_S)
            waited_s = self._clock.now() - stopped_at
            if not has_all_members and waited_s >= REGISTRATION_S:
                has_all_members = await self.members.read_registry(stopped_at)

    async def _survey_after_stop(
        self,
        chosen: MemberEntry,
        stopped: MemberStatus,
        term: int,
        has_all_members: bool,
    ) -> Survey:
        name = stopped.entry.member
        # Waiting for members that were silent before would prolong the time
        # without a primary.
        remaining = self._clients_except(
            [name, chosen.member, *self._silent_members]
        )
        others = await self._send_to_all(remaining, "pause", term)
        receiving = await self._request_status(chosen.member)
        answers = self._with_silent_members((*others, receiving, stopped))
        return self._survey(answers, term, has_all_members, name)

    async def _request_status(self, member: str) -> MemberStatus:
        client = self.clients[member]
        report = await client.send_command("status")
        return self._status(self._entry_of(client), report)

    def _status(
        self, entry: MemberEntry, report: StatusReport | None
    ) -> MemberStatus:
        """Return a member's status with what its place means."""
        if self._places is None:
            return MemberStatus(entry, report)
        group = self._group.name
        return MemberStatus(
            entry,
            report,
            self._places.losses(group, entry.data_centre),
            self._places.is_cold(group, self._directory.get(entry.member)),
        )

    def _entry_of(self, client: MemberClient) -> MemberEntry:
        """Return a member's entry; one to be evacuated counts as draining.

        Like a draining one it is chosen only if no other member may lead.
        The time for which a member remains cold is left out: entries are
        compared, and it changes with each of the member's reports.
        """
        entry = client.entry._replace(cold_left_s=None)
        if self._directory.evacuations.is_ordered(entry.data_centre):
            return entry._replace(is_draining=True)
        return entry

    # The order -----------------------------------------------------------

    async def _promote(
        self,
        chosen: MemberStatus,
        term: int,
        old: str | None,
        known_term: int,
    ) -> bool:
        """Order the promotion and wait until it shows in the status."""
        # A replica that restarts or returns is not paused: it would
        # confirm to readers that don't know the new primary yet that the
        # old one still leads. The pause runs in the background, since
        # waiting for a silent member would delay the detection of the
        # promotion by that request's whole timeout.
        pausing = create_task(self._pause_others(chosen, term, old))
        stopping = create_task(self._stop_returned(chosen, term, old))
        until = self._clock.now() + PROMOTION_TIMEOUT_S
        is_ordered = False
        try:
            while self._clock.now() < until:
                if not is_ordered:
                    if not await self._may_order(
                        chosen, term, old, known_term
                    ):
                        return await self._check_promoted(chosen)
                    is_ordered = await self._orders.send(
                        chosen.entry.member, self._may_send
                    )
                    if is_ordered:
                        until = self._clock.now() + ACCEPTED_LIFETIME_S
                if await self._check_promoted(chosen):
                    return True
                if pausing.done():
                    pausing = create_task(
                        self._pause_others(chosen, term, old)
                    )
                if stopping.done():
                    stopping = create_task(
                        self._stop_returned(chosen, term, old)
                    )
                await sleep(POLL_S)
        finally:
            # A pause that arrives later would undo the following resume.
            await gather(pausing, stopping)
        return False

    async def _stop_returned(
        self, chosen: MemberStatus, term: int, old: str | None
    ) -> None:
        """Stop an old primary that was silent, if it answers by now.

        Its commits could reach a member that has restarted or joined, and
        not the chosen one.
        """
        if self._has_stopped_primary:
            return
        others = self._clients_except([chosen.entry.member])
        if old in others:
            others = {old: others[old]}
        await self._send_to_all(others, "step_down", term)

    async def _pause_others(
        self, chosen: MemberStatus, term: int, old: str | None
    ) -> None:
        """Pause all but the chosen member and the old primary.

        Includes members that have joined since the promotion was decided.
        """
        self.members.follow_directory()
        others = self._clients_except([chosen.entry.member, old])
        await self._send_to_all(others, "pause", term)

    async def _check_promoted(self, chosen: MemberStatus) -> bool:
        """Return whether the chosen member leads; record it if so."""
        member = chosen.entry.member
        requested_at = self._clock.now()
        report = await self.clients[member].send_command("status")
        if report is None or not report.is_primary:
            return False
        self._group.evidence.note_report(member, report, requested_at)
        return True

    async def _may_order(
        self,
        chosen: MemberStatus,
        term: int,
        old: str | None,
        known_term: int,
    ) -> bool:
        """Record the order; return whether duty and pauses still allow it.

        This VM may have been suspended since it claimed the duty, or since
        the members answered.
        """
        member = chosen.entry.member
        if not await self._orders.prepare(member, known_term):
            return False
        if not self._has_stopped_primary and self._are_pauses_stale():
            repeated = await self._pause_all(old, term)
            if repeated is None or repeated.entry != chosen.entry:
                return False
        return self._may_send()

    def _may_send(self) -> bool:
        """Return whether the order may leave now."""
        if not self._has_stopped_primary and self._are_pauses_stale():
            return False
        return self._orders.duty.allows_order(self._clock.now())

    def _are_pauses_stale(self) -> bool:
        return self._clock.now() - self._paused_at > MAX_PAUSE_AGE_S

    # After the promotion -------------------------------------------------

    async def _finish(self, chosen: MemberStatus, old: str | None) -> None:
        """Demote old primaries and resume the paused replicas.

        A VM that has started since the order doesn't know who led.
        """
        term = self._group.evidence.term
        self._orders.note_term(term)
        self.members.follow_directory()
        others = self._clients_except([chosen.entry.member])
        statuses = await self._send_to_all(others, "status")
        replaced = {
            item.entry.member: others[item.entry.member]
            for item in statuses
            if not item.is_silent and item.report.is_primary
        }
        if old in others:
            replaced[old] = others[old]
        await self._send_to_all(replaced, "step_down", term)
        paused = {
            item.entry.member: others[item.entry.member]
            for item in statuses
            if not item.is_silent and item.report.paused_for > term
        }
        await self._resume(paused, chosen.entry.member)
        await self._group.fresh_round()

    async def _resume_replicas(
        self, statuses: tuple[MemberStatus, ...]
    ) -> None:
        """Resume all members but those that reported as primary before.

        Includes members that joined and were paused since.
        """
        primaries = [
            item.entry.member
            for item in statuses
            if not item.is_silent and item.report.is_primary
        ]
        leader = current_primary(statuses, self._group.evidence.term)
        await self._resume(self._clients_except(primaries), leader)

    async def _resume(
        self, clients: dict[str, MemberClient], leader: str | None
    ) -> None:
        """Resume members, but none that an order under way forbids.

        Replicas of the ordered member itself may be resumed once it leads.
        One that doesn't answer may resume later.
        """
        ordered = self._orders.member
        if ordered not in (None, leader):
            clients = {
                name: clients[name] for name in clients if name == ordered
            }
        if not clients:
            return
        statuses = await self._send_to_all(clients, "resume")
        log_event(
            "members-resumed",
            group=self._group.name,
            members=[describe_status(item) for item in statuses],
            **self._describe_duty(),
        )

    def _log_survey(
        self, kind: str, survey: Survey, chosen: MemberStatus | None = None
    ) -> None:
        log_event(
            kind,
            group=self._group.name,
            chosen=chosen.entry.member if chosen else "",
            stopped=survey.stopped or "",
            ordered=self._orders.member or "",
            members=[describe_status(item) for item in survey.statuses],
            floor=str(survey.floor),
            has_all_members=survey.has_all_members,
            **self._describe_duty(),
        )

    def _describe_duty(self) -> dict[str, float]:
        """Return the duty's fence and the time for which it is held."""
        duty = self._orders.duty
        left_s = duty.valid_until - self._clock.now()
        return {"fence": duty.fence, "duty_left_s": round(left_s, 3)}
