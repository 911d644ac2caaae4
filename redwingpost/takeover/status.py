"""What a group's members answer, as a takeover compares it."""

from typing import NamedTuple

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.ports.database import MemberEntry, StatusReport


class MemberStatus(NamedTuple):
    """A member and its report; None where it didn't answer."""

    entry: MemberEntry
    report: StatusReport | None

    @property
    def received(self) -> Position:
        """Return the head of the member's log, as far as known."""
        return ZERO_POSITION if self.report is None else self.report.received

    @property
    def is_silent(self) -> bool:
        """Return whether the member didn't answer."""
        return self.report is None


def newest_term(statuses: tuple[MemberStatus, ...]) -> int:
    """Return the newest term that a member is in."""
    return max(
        (item.report.term for item in statuses if not item.is_silent),
        default=0,
    )


def leading(statuses: tuple[MemberStatus, ...], term: int) -> str | None:
    """Return the member that answers as primary of the newest term."""
    claims = [
        (item.report.term, item.entry.member)
        for item in statuses
        if not item.is_silent and item.report.is_primary
    ]
    if not claims or max(claims)[0] < term:
        return None
    return max(claims)[1]


def brief(status: MemberStatus) -> str:
    """Return a member's answer in a few words, for the log."""
    report = status.report
    if report is None:
        return f"{status.entry.member} silent"
    role = "leads" if report.is_primary else "follows"
    head = f"{report.received.term}.{report.received.index}"
    paused = f" paused for {report.paused_for}" if report.paused_for else ""
    return f"{status.entry.member} {role} {report.term} at {head}{paused}"
