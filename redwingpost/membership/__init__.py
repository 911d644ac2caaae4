"""Who is in the fleet, who relays, and who tells whom."""

from redwingpost.membership.beats import Beat, Evidence, Member
from redwingpost.membership.confirmation import ConfirmationClock
from redwingpost.membership.dissemination import (
    BeatCursors,
    Tell,
    whom_to_tell,
)
from redwingpost.membership.relays import (
    RelayRole,
    rank_relays,
    relay_of,
)
from redwingpost.membership.report import (
    Sighting,
    VmReport,
    best_sightings,
    report_vm,
)
from redwingpost.membership.suspicion import (
    BeatSchedule,
    judge_silence,
)
from redwingpost.membership.table import MemberTable
from redwingpost.membership.views import ViewBoard, is_newer

__all__ = [
    "Beat",
    "BeatCursors",
    "BeatSchedule",
    "ConfirmationClock",
    "Evidence",
    "Member",
    "MemberTable",
    "RelayRole",
    "Sighting",
    "Tell",
    "ViewBoard",
    "VmReport",
    "best_sightings",
    "is_newer",
    "judge_silence",
    "rank_relays",
    "relay_of",
    "report_vm",
    "whom_to_tell",
]
