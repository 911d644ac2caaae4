"""How a member's refusals affect its health."""

from unittest import IsolatedAsyncioTestCase

from redwingpost.node.member import MemberClient
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import (
    FailureKind,
    LinkLost,
    MemberEntry,
    MemberFailure,
)

_ENTRY = MemberEntry("m1", "g", "ip", 1, "a", False, True)


class RefusingMember:
    """Opens no link: returns or raises the given failure."""

    def __init__(self, reason: MemberFailure | LinkLost) -> None:
        self._reason = reason

    async def open(
        self, entry: MemberEntry, organisation: str, timeout_s: float
    ) -> MemberFailure:
        """Return or raise the failure."""
        if isinstance(self._reason, LinkLost):
            raise self._reason
        return self._reason


class RefusalTest(IsolatedAsyncioTestCase):
    async def test_a_full_member_is_not_lost(self) -> None:
        """Guards against replacing a primary that has no free connection."""
        full = MemberFailure(FailureKind.TOO_MANY_CONNECTIONS, "MAXCONN")
        other = MemberFailure(FailureKind.WRONG_MEMBER, "WRONGNODE")
        cases = (
            ("full", full, 0.0),
            ("another member at its address", other, 2.0),
            ("no answer", LinkLost("TimeoutError", sent=False), 2.0),
        )
        for name, reason, failing_s in cases:
            with self.subTest(name):
                clock = VirtualClock()
                client = MemberClient(_ENTRY, RefusingMember(reason), clock)
                clock.advance(2.0)
                self.assertIsNone(await client.send_command("status"))
                self.assertEqual(failing_s, client.failing_s)
                self.assertEqual(failing_s > 0.0, client.is_failing)
