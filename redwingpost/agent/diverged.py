"""Report transactions that a promotion discarded from the current log.

Only the former primary still lists them, so a write that was answered
"not confirmed" could not be traced unless they are reported. Statements
may contain callers' data, so the log names positions only; the statements
are stored in the platform's object store.
"""

from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger
from msgspec.json import encode
from prometheus_client import Gauge

from redwingpost.agent.context import AgentContext
from redwingpost.agent.probe import MemberProbe
from redwingpost.core import Position
from redwingpost.ports import MemberStatus, TargetError, TargetLost

#: Seconds between two queries of a member's list, and a query's timeout.
CHECK_INTERVAL_S = 5.0
CHECK_TIMEOUT_S = 2.0


class DivergenceReporter:
    """Queries members for diverged transactions and reports each once.

    Parameters
    ----------
    context : AgentContext
        The agent's shared context.
    """

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._checked_at_by_member: dict[str, float] = {}
        self._reported_by_member: dict[str, frozenset[Position]] = {}
        self._gauge = Gauge(
            "redwing_diverged_transactions",
            "Transactions set aside on members that this agent observes.",
            ["group"],
            registry=context.registry,
        )

    def check_replicas(
        self,
        watch: Any,
        statuses: tuple[MemberStatus, ...],
        spawn: Callable[[Coroutine[Any, Any, None]], Any],
    ) -> None:
        """Query each replica that is due."""
        now = self._context.clock.now()
        for status in statuses:
            last = self._checked_at_by_member.get(status.member, float("-inf"))
            if status.role == "replica" and now - last >= CHECK_INTERVAL_S:
                self._checked_at_by_member[status.member] = now
                probe = watch.probes_by_member[status.member]
                spawn(self._check_member(watch.group, probe))

    async def _check_member(self, group: str, probe: MemberProbe) -> None:
        member = probe.address.member
        try:
            connection = await probe.take_connection()
            found = await connection.diverged(CHECK_TIMEOUT_S)
        except (TargetError, TargetLost):
            return
        await probe.return_connection(connection)
        known = self._reported_by_member.get(member, frozenset())
        new = [entry for entry in found if entry[0] not in known]
        if new and await self._report(group, member, new):
            positions = {position for position, _ in found}
            self._reported_by_member[member] = known | positions
        self._gauge.labels(group).set(
            sum(len(known) for known in self._reported_by_member.values())
        )

    async def _report(
        self, group: str, member: str, new: list[tuple[Position, str]]
    ) -> bool:
        first, last = new[0][0], new[-1][0]
        logger.warning(
            "{} set aside {} diverged statements, positions {} to {}",
            member,
            len(new),
            first,
            last,
        )
        body = encode(
            [
                {"term": at.term, "index": at.index, "statement": statement}
                for at, statement in new
            ]
        )
        key = f"diverged/{group}/{member}/{first.term}-{first.index}"
        stored = await self._context.objects.put(key, body)
        return stored.is_ok()
