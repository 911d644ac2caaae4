"""Who may lead next, whatever each member of the group does."""

from typing import NamedTuple
from unittest import TestCase

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.ports.database import MemberEntry, StatusReport
from redwingpost.takeover.plan import (
    MemberStatus,
    Survey,
    candidates,
    is_worth_stopping,
    may_promote,
)

_PAUSED_FOR = 2


class Answer(NamedTuple):
    """What a member says: its last commit, and the term it waits for."""

    index: int
    paused_for: int = _PAUSED_FOR
    is_primary: bool = False


def _status(member: str, answer: Answer | None) -> MemberStatus:
    entry = MemberEntry(member, "g", "ip", 1, "a", False, False)
    if answer is None:
        return MemberStatus(entry, None)
    head = Position(1, answer.index)
    report = StatusReport(
        answer.is_primary, 1, head, answer.paused_for, 0, 0, 0
    )
    return MemberStatus(entry, report)


def _survey(
    answer_by_member: dict[str, Answer | None],
    stopped: str | None,
    sync_replicas: int = 1,
) -> Survey:
    statuses = tuple(
        _status(member, answer) for member, answer in answer_by_member.items()
    )
    return Survey(statuses, stopped, _PAUSED_FOR, sync_replicas, ZERO_POSITION)


class Case(NamedTuple):
    """What members say, and whether the promotion may be ordered.

    ``old`` is the primary so far; None for a member that is silent.
    """

    name: str
    old: Answer | None
    chosen: Answer
    others: list[Answer | None]
    may_order: bool
    is_stopped: bool = False


_FORGOT = Answer(7, paused_for=0)
_LEADS = Answer(7, 0, is_primary=True)
_STOPPED = Answer(7, 0)
_STOPPED_AHEAD = Answer(9, 0)

_CASES = (
    Case("silent primary", None, Answer(7), [Answer(7)], True),
    Case("another is ahead", None, Answer(7), [Answer(8)], False),
    Case("another is silent", None, Answer(7), [None], False),
    Case("one of two is silent", None, Answer(7), [Answer(6), None], False),
    Case("another forgot its pause", None, Answer(7), [_FORGOT], False),
    Case("the chosen forgot its pause", None, _FORGOT, [Answer(7)], False),
    Case("it leads", _LEADS, Answer(7), [Answer(7)], False),
    Case("stopped", _STOPPED, _FORGOT, [Answer(7)], True, True),
    Case("stopped, another silent", _STOPPED, _FORGOT, [None], True, True),
    Case("stopped ahead", _STOPPED_AHEAD, _FORGOT, [Answer(7)], True, True),
    Case("ahead, one silent", _STOPPED_AHEAD, _FORGOT, [None], False, True),
    Case(
        "ahead, as another", _STOPPED_AHEAD, _FORGOT, [Answer(8)], False, True
    ),
)


class PromotionTest(TestCase):
    """An acknowledged commit may be in two logs alone.

    Whoever promotes a third, or leaves the two able to confirm another,
    loses a write that a caller was told is kept.
    """

    def test_who_may_lead(self) -> None:
        for case in _CASES:
            with self.subTest(case.name):
                answers = {"old": case.old, "chosen": case.chosen}
                answers.update(
                    (f"m{number}", answer)
                    for number, answer in enumerate(case.others)
                )
                survey = _survey(answers, "old" if case.is_stopped else None)
                allowed = may_promote(survey.statuses[1], survey)
                self.assertEqual(case.may_order, allowed)

    def test_a_stopped_primary_may_lead_again(self) -> None:
        """No replica gets what was on its way as the primary was stopped.

        The stopped one has everything. Without it the group would stay
        without a primary.
        """
        answers = {"old": Answer(9, 0), "a": Answer(7, 0), "b": None}
        survey = _survey(answers, "old")
        able = [
            item.entry.member
            for item in candidates(survey.statuses, None)
            if may_promote(item, survey)
        ]
        self.assertEqual(["old"], able)

    def test_without_synchronous_replicas(self) -> None:
        """A primary acknowledges alone, and is ahead as it is stopped.

        Other groups may pass over what no other member has; here that was
        acknowledged.
        """
        answers = {"old": Answer(9, 0), "a": Answer(7, 0), "b": Answer(7)}
        for sync_replicas, expected in ((1, True), (0, False)):
            with self.subTest(sync_replicas=sync_replicas):
                survey = _survey(answers, "old", sync_replicas)
                allowed = may_promote(survey.statuses[1], survey)
                self.assertEqual(expected, allowed)

    def test_when_a_stop_is_worth_it(self) -> None:
        """A primary is cut off from its replicas, and one is missing.

        Stopped in vain it leaves the group without a primary, although it
        would go on as soon as the missing one is back.
        """
        leading = Answer(9, 0, True)
        cases = (
            ("caught up", {"a": Answer(9, 0), "b": Answer(9)}, True),
            ("caught up, one missing", {"a": Answer(9, 0), "b": None}, True),
            ("behind, all answer", {"a": Answer(7, 0), "b": Answer(7)}, True),
            ("behind, one missing", {"a": Answer(7, 0), "b": None}, False),
        )
        for name, others, expected in cases:
            with self.subTest(name):
                survey = _survey({"old": leading, **others}, None)
                worth = is_worth_stopping(survey.statuses[1], survey, "old")
                self.assertEqual(expected, worth)

    def test_in_which_order_members_are_tried(self) -> None:
        """One that is about to stop comes last, however far it is."""
        leaving = _status("leaving", Answer(9))
        entry = leaving.entry._replace(is_draining=True)
        statuses = (
            leaving._replace(entry=entry),
            _status("behind", Answer(6)),
            _status("ahead", Answer(8)),
            _status("silent", None),
            _status("leads", Answer(9, 0, True)),
        )
        names = [item.entry.member for item in candidates(statuses, None)]
        self.assertEqual(["ahead", "behind", "leaving"], names)
