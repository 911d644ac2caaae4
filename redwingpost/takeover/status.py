"""The reports of a group's members that a takeover compares."""

from typing import NamedTuple

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.groups.regions import NO_LOSSES, Losses
from redwingpost.ports.database import MemberEntry, StatusReport


class MemberStatus(NamedTuple):
    """A member and its report, None if it didn't answer.

    ``losses`` is what could not use the member as a primary because of its
    region; ``is_cold`` tells whether it is still slow after its start.
    """

    entry: MemberEntry
    report: StatusReport | None
    losses: Losses = NO_LOSSES
    is_cold: bool = False

    @property
    def received(self) -> Position:
        """Return the head of the member's log, or zero if unknown."""
        return ZERO_POSITION if self.report is None else self.report.received

    @property
    def is_silent(self) -> bool:
        """Return whether the member didn't answer."""
        return self.report is None


def newest_term(statuses: tuple[MemberStatus, ...]) -> int:
    """Return the newest term that any member reports."""
    return max(
        (item.report.term for item in statuses if not item.is_silent),
        default=0,
    )


def current_primary(
    statuses: tuple[MemberStatus, ...], term: int
) -> str | None:
    """Return the primary of the newest term, None if before ``term``."""
    claims = [
        (item.report.term, item.entry.member)
        for item in statuses
        if not item.is_silent and item.report.is_primary
    ]
    if not claims or max(claims)[0] < term:
        return None
    return max(claims)[1]


def describe_status(status: MemberStatus) -> str:
    """Return a short description of a member's status, for the log."""
    report = status.report
    if report is None:
        return f"{status.entry.member} silent"
    role = "leads" if report.is_primary else "follows"
    head = f"{report.received.term}.{report.received.index}"
    paused = f" paused for {report.paused_for}" if report.paused_for else ""
    return f"{status.entry.member} {role} {report.term} at {head}{paused}"
