"""One takeover of one group, from the first question to the last order.

What is decided by the answers is in ``redwingpost.takeover.plan``.
"""

from asyncio import create_task, gather, sleep
from collections.abc import Iterable
from typing import NamedTuple

from redwingpost.groups.directory import Directory
from redwingpost.leases.duty import HeldDuty
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import (
    LinkFactory,
    MemberEntry,
    PromotionOrders,
)
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

#: Seconds between questions while a change is under way.
POLL_S = 0.03

#: Seconds for the chosen replica to receive what a paused one had, and
#: for a promotion to show at the member after the order.
CATCH_UP_S = 1.0
EFFECT_S = 3.0

#: Seconds for a chosen replica to receive what was on its way when the old
#: primary was stopped. The group has no primary meanwhile.
LAST_COMMITS_S = 0.3

#: Seconds that an order may come after the answers that allow it. A
#: replica that starts again after its answer has forgotten its pause.
ORDER_WITHIN_S = 0.1


class Outside(NamedTuple):
    """What a takeover needs besides the group."""

    directory: Directory
    links: LinkFactory
    orders: PromotionOrders
    clock: Clock
    vm: str


class Conductor:
    """Conducts one takeover of one group.

    Parameters
    ----------
    group : GroupClient
        Whose primary is to be replaced.
    roster : Roster
        All members whose logs may matter, as the fleet's store has them.
    sync_replicas : int
        How many replicas receive a commit before it is acknowledged.
    """

    def __init__(
        self,
        group: GroupClient,
        roster: Roster,
        sync_replicas: int,
        duty: HeldDuty,
        outside: Outside,
    ) -> None:
        self._group = group
        self._sync_replicas = sync_replicas
        self._duty = duty
        self._directory = outside.directory
        self._orders = outside.orders
        self._clock = outside.clock
        self._vm = outside.vm
        self._links = outside.links
        self._known = roster.with_listed(
            self._directory.members_of(group.name)
        )
        self.clients = self._find_clients()
        self._silent: frozenset[str] = frozenset()
        self._is_stopped = False
        self._asked_at = float("-inf")

    def close(self) -> None:
        """Close the connections that only this takeover used."""
        for name, client in self.clients.items():
            if client is not self._group.member_by_name.get(name):
                client.close()

    async def run(self, reason: Reason) -> str:
        """Replace the primary; return the outcome for the log."""
        statuses = await self._ask_all(self.clients, "status")
        leader = current_primary(statuses, self._group.evidence.term)
        if await self._depose_stale(statuses, leader):
            statuses = await self._ask_all(self.clients, "status")
        if reason is Reason.LEFT_PAUSED and leader is not None:
            await self._resume(statuses)
            return "resumed"
        old = leader or self._group.evidence.leader
        if choose_replica(statuses, old) is None:
            return "no replica answers"
        term = pause_term(statuses)
        if leader is None:
            chosen = await self._pause_all(old, term)
        else:
            chosen = await self._stop(statuses, leader, term, reason)
        if chosen is None:
            await self._resume(statuses)
            return "not safe yet"
        if not await self._promote(chosen, term, old):
            await self._resume(statuses)
            return "not promoted"
        await self._finish(chosen, old)
        return "done"

    # Members -----------------------------------------------------------

    def _find_clients(self) -> dict[str, MemberClient]:
        """Return all members whose logs may matter, and any just gone."""
        clients = dict(self._group.member_by_name)
        gone = self._directory.recently_removed(self._group.name)
        for entry in (*self._known.member_by_name.values(), *gone):
            if entry.member not in clients:
                clients[entry.member] = MemberClient(
                    entry, self._links, self._clock
                )
        return clients

    async def _ask_all(
        self, clients: dict[str, MemberClient], command: str, *arguments: int
    ) -> tuple[MemberStatus, ...]:
        """Ask members; one off the roster counts only if it answers."""

        async def ask(client: MemberClient) -> MemberStatus:
            report = await client.send_command(command, *arguments)
            return MemberStatus(client.entry, report)

        statuses = await gather(*(ask(item) for item in clients.values()))
        return tuple(
            item
            for item in statuses
            if not item.is_silent
            or item.entry.member in self._known.member_by_name
        )

    def _but(self, members: Iterable[str]) -> dict[str, MemberClient]:
        return {
            name: client
            for name, client in self.clients.items()
            if name not in members
        }

    def _survey(
        self,
        statuses: tuple[MemberStatus, ...],
        term: int,
        stopped: str | None = None,
    ) -> Survey:
        return Survey(
            statuses,
            stopped,
            term,
            self._sync_replicas,
            self._group.evidence.floor,
        )

    async def _depose_stale(
        self, statuses: tuple[MemberStatus, ...], leader: str | None
    ) -> bool:
        """Make primaries of earlier terms replicas; True if any was."""
        newest = newest_term(statuses)
        stale = {
            item.entry.member: self.clients[item.entry.member]
            for item in statuses
            if not item.is_silent
            and item.report.is_primary
            and item.entry.member != leader
            and item.report.term < newest
        }
        await self._ask_all(stale, "step_down", newest)
        return bool(stale)

    # A primary that is silent --------------------------------------------

    async def _pause_all(
        self, old: str | None, term: int
    ) -> MemberStatus | None:
        """Pause all that answer, then choose by what they hold."""
        asked = self._but([old])
        statuses = await self._ask_all(asked, "pause", term)
        answering = {
            item.entry.member for item in statuses if not item.is_silent
        }
        # Again, without waiting for those that are silent: the order may
        # only come right after the answers that allow it.
        clients = {name: asked[name] for name in answering}
        self._asked_at = self._clock.now()
        paused = await self._ask_all(clients, "pause", term)
        return self._choose_safely(self._with_silent(paused), term)

    def _with_silent(
        self, answers: tuple[MemberStatus, ...]
    ) -> tuple[MemberStatus, ...]:
        """Add the members on the roster that weren't asked again."""
        asked = {item.entry.member for item in answers}
        silent = tuple(
            MemberStatus(entry, None)
            for name, entry in self._known.member_by_name.items()
            if name not in asked
        )
        return (*answers, *silent)

    def _choose_safely(
        self, statuses: tuple[MemberStatus, ...], term: int
    ) -> MemberStatus | None:
        survey = self._survey(statuses, term)
        for item in candidates(statuses, None):
            if may_promote(item, survey):
                return item
        self._log_unsafe(statuses)
        return None

    # A primary that answers ----------------------------------------------

    async def _stop(
        self,
        statuses: tuple[MemberStatus, ...],
        leader: str,
        term: int,
        reason: Reason,
    ) -> MemberStatus | None:
        """Stop a primary that answers, once a replica can lead.

        The chosen one goes on receiving until then, so that the primary
        serves for as long as possible.
        """
        chosen = choose_replica(statuses, leader).chosen.entry
        paused = self._but([leader, chosen.member])
        await self._ask_all(paused, "pause", term)
        if not await self._catches_up(chosen, leader, term):
            return None
        old = {leader: self.clients[leader]}
        next_term = newest_term(statuses) + 1
        stopped = await self._ask_all(old, "step_down", next_term)
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
        return await self._take_last_commits(chosen, stopped[0], term)

    async def _catches_up(
        self, chosen: MemberEntry, leader: str, term: int
    ) -> bool:
        """Wait until the chosen replica could lead at once."""
        until = self._clock.now() + CATCH_UP_S
        first = self._but([chosen.member])
        while True:
            # The chosen one last: what it hasn't received by then was
            # committed since the primary answered.
            others = await self._ask_all(first, "status")
            status = await self._ask_one(chosen.member)
            survey = self._survey((*others, status), term)
            self._silent = frozenset(
                item.entry.member for item in others if item.is_silent
            )
            if is_worth_stopping(status, survey, leader):
                return True
            if self._clock.now() >= until:
                self._log_unsafe(survey.statuses)
                return False
            await sleep(POLL_S)

    async def _take_last_commits(
        self, chosen: MemberEntry, stopped: MemberStatus, term: int
    ) -> MemberStatus | None:
        """Return the chosen replica once it holds what was on its way.

        If it never does, whoever may lead without a loss is returned, the
        stopped one at the last: the group must not stay without a primary.
        """
        name = stopped.entry.member
        until = self._clock.now() + LAST_COMMITS_S
        while True:
            # Those that were silent would hold up a group without primary.
            rest = self._but([name, chosen.member, *self._silent])
            others = await self._ask_all(rest, "pause", term)
            receiving = await self._ask_one(chosen.member)
            answers = (*others, receiving, stopped)
            survey = self._survey(self._with_silent(answers), term, name)
            able = [
                item
                for item in candidates(survey.statuses, None)
                if may_promote(item, survey)
            ]
            is_late = self._clock.now() >= until
            for item in able:
                if is_late or item.entry.member == chosen.member:
                    self._is_stopped = True
                    return item
            if is_late:
                self._log_unsafe(survey.statuses)
                return None
            await sleep(POLL_S)

    async def _ask_one(self, member: str) -> MemberStatus:
        client = self.clients[member]
        return MemberStatus(client.entry, await client.send_command("status"))

    # The order -----------------------------------------------------------

    async def _promote(
        self, chosen: MemberStatus, term: int, old: str | None
    ) -> bool:
        """Order the promotion and wait until it shows."""
        # A replica that starts again, or comes back, is not paused: it
        # would vouch for the old primary to readers that haven't heard of
        # the new one. Not waited for, since a member that is silent would
        # hide the effect for as long as its time limit.
        others = self._but([chosen.entry.member, old])
        pausing = create_task(self._ask_all(others, "pause", term))
        until = self._clock.now() + EFFECT_S
        is_ordered = False
        try:
            while self._clock.now() < until:
                if not is_ordered:
                    if not await self._may_order(chosen, term, old):
                        return await self._leads(chosen)
                    is_ordered = await self._order(chosen)
                if await self._leads(chosen):
                    return True
                if pausing.done():
                    pausing = create_task(self._ask_all(others, "pause", term))
                await sleep(POLL_S)
        finally:
            # One that arrives later would undo what follows.
            await pausing
        return False

    async def _order(self, chosen: MemberStatus) -> bool:
        return await self._orders.promote(
            self._group.name, chosen.entry.member, self._vm, self._duty.fence
        )

    async def _leads(self, chosen: MemberStatus) -> bool:
        """Say whether the chosen member leads; note it if so."""
        member = chosen.entry.member
        asked_at = self._clock.now()
        report = await self.clients[member].send_command("status")
        if report is None or not report.is_primary:
            return False
        self._group.evidence.note_report(member, report, asked_at)
        return True

    async def _may_order(
        self, chosen: MemberStatus, term: int, old: str | None
    ) -> bool:
        """Say whether the answers still allow the order right now.

        This VM may have been suspended since it took the duty, or since
        the members answered.
        """
        if not self._is_stopped and self._is_old_news():
            again = await self._pause_all(old, term)
            if again is None or again.entry != chosen.entry:
                return False
            if self._is_old_news():
                return False
        return self._duty.allows_order(self._clock.now())

    def _is_old_news(self) -> bool:
        return self._clock.now() - self._asked_at > ORDER_WITHIN_S

    # Afterwards ----------------------------------------------------------

    async def _finish(self, chosen: MemberStatus, old: str | None) -> None:
        """Depose the old primary, let replicas receive again."""
        term = self._group.evidence.term
        others = self._but([chosen.entry.member])
        replaced = {name: others[name] for name in others if name == old}
        await self._ask_all(replaced, "step_down", term)
        statuses = await self._ask_all(others, "status")
        await self._resume(
            tuple(
                item
                for item in statuses
                if not item.is_silent and item.report.paused_for > term
            )
        )
        await self._group.fresh_round()

    async def _resume(self, statuses: tuple[MemberStatus, ...]) -> None:
        targets = {
            item.entry.member: self.clients[item.entry.member]
            for item in statuses
            if item.is_silent or not item.report.is_primary
        }
        await self._ask_all(targets, "resume")

    def _log_unsafe(self, statuses: tuple[MemberStatus, ...]) -> None:
        log_event(
            "takeover-unsafe",
            group=self._group.name,
            members=[describe_status(item) for item in statuses],
            floor=str(self._group.evidence.floor),
        )
