"""A group of three members for tests in virtual time.

The members are fakes whose answers a test sets. ``m1`` leads.
"""

from asyncio import get_running_loop, sleep

from redwingpost.configuration.routes import Consistency, RouteRule
from redwingpost.core.positions import Position
from redwingpost.core.statements import Statement, StatementKind
from redwingpost.groups.directory import Directory
from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.request.attempt import Caller
from redwingpost.node.request.reads import ReadRequest
from redwingpost.ports.database import (
    FailureKind,
    LinkLost,
    MemberEntry,
    MemberFailure,
    Reply,
    StatusReport,
)
from redwingpost.statements.session import SessionState

MEMBERS = ("m1", "m2", "m3")

BUSY = Reply(failure=MemberFailure(FailureKind.FULL, "BUSY"))
MAXCONN = MemberFailure(FailureKind.TOO_MANY_CONNECTIONS, "MAXCONN")

_HEAD = Position(1, 9)


class LoopClock:
    """The clock of the loop that runs when it is made."""

    def __init__(self) -> None:
        self._loop = get_running_loop()

    def now(self) -> float:
        """Return the loop's time (seconds)."""
        return self._loop.time()


class FakeLink:
    """A connection to a fake member."""

    def __init__(self, members: "FakeMembers", entry: MemberEntry) -> None:
        self._members = members
        self._entry = entry
        self.is_open = True

    async def run(self, statement: Statement, *rest: object) -> Reply:
        """Answer after the member's time, as the test says."""
        name = self._entry.member
        self._members.sent.append((name, statement.request))
        await sleep(self._members.answer_s_by_member.get(name, 0.01))
        if name in self._members.closes:
            self.is_open = False
            raise LinkLost("closed", sent=True)
        replies = self._members.replies_by_member.get(name)
        if replies:
            return replies.pop(0)
        in_transaction = statement.kind in (
            StatementKind.BEGIN,
            StatementKind.BEGIN_READ_ONLY,
        )
        report = self._members.report_by_member.get(name)
        head = _HEAD if report is None else report.received
        return Reply(("1",), "1.p", None, head, in_transaction)

    async def set_up(self, steps: tuple) -> tuple[Reply, ...]:
        """Accept all steps."""
        return tuple(Reply(proof="1.p") for _ in steps)

    async def roll_back(self) -> Reply:
        """Roll back after the member's time."""
        name = self._entry.member
        self._members.sent.append((name, "rollback"))
        await sleep(self._members.answer_s_by_member.get(name, 0.0))
        return Reply(proof="1.p")

    async def status(self) -> StatusReport:
        """Report what the test says, or that ``m1`` leads."""
        report = self._members.report_by_member.get(self._entry.member)
        if report is not None:
            return report
        return StatusReport(self._entry.claims_primary, 1, _HEAD, 0, 0, 0, 1)

    def close(self) -> None:
        """Close."""
        if self.is_open:
            self.is_open = False
            self._members.closed += 1


class FakeMembers:
    """Opens links to members; a test sets how they answer.

    ``answer_s_by_member`` are seconds; ``replies_by_member`` are given
    out before the usual ones; ``refusals`` are given to new connections;
    ``closes`` are members that close the connection instead of answering;
    ``report_by_member`` are the reports of members' roles.
    """

    def __init__(self) -> None:
        self.sent: list[tuple[str, str]] = []
        self.answer_s_by_member: dict[str, float] = {}
        self.replies_by_member: dict[str, list[Reply]] = {}
        self.refusals: list[MemberFailure | LinkLost] = []
        self.closes: set[str] = set()
        self.report_by_member: dict[str, StatusReport] = {}
        self.opened = 0
        self.closed = 0

    async def open(
        self, entry: MemberEntry, organisation: str, timeout_s: float
    ) -> FakeLink | MemberFailure:
        """Open a link, or refuse."""
        if self.refusals and organisation != "redwing-control":
            refusal = self.refusals.pop(0)
            if isinstance(refusal, LinkLost):
                raise refusal
            return refusal
        self.opened += 1
        return FakeLink(self, entry)


async def make_group(
    members: FakeMembers, max_connections: int, slots: int = 0
) -> GroupClient:
    """Return a group whose primary is known."""
    clock = LoopClock()
    directory = Directory()
    for member in MEMBERS:
        is_primary = member == "m1"
        directory.put(
            MemberEntry(
                member, "g", "ip", 1, "a", False, is_primary, 0, slots
            ),
            0.0,
        )
    vms = VmTable("vm-1", 0.0)
    vms.set_listed(())
    group = GroupClient(
        "g", directory, members, clock, "a", 7.0, vms, CentreWatch("a")
    )
    group.follow_directory(max_connections, 1)
    await group.run_round()
    return group


def make_request(
    number: int,
    kind: StatementKind = StatementKind.READ,
    consistency: Consistency = Consistency.STATED_AGE,
    timeout_s: float = 0.4,
    organisation: str = "parish",
    priority: int = 1,
) -> ReadRequest:
    """Return a statement that arrives now; its time-out is in seconds."""
    route = RouteRule(
        "shop", "g", consistency, timeout_s, 0.2, priority, 60.0, False
    )
    text = "READ a" if kind is StatementKind.READ else "WRITE a 1"
    return ReadRequest(
        Statement(str(number), kind, text),
        Caller(organisation, SessionState(), priority),
        route,
        LoopClock().now(),
    )
