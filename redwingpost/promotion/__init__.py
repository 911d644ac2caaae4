"""Promotion of a new primary, and what a write needs to be safe from it.

Decision modules only: who observes a group, when its primary counts as
lost, how a promotion runs, when a write may be acknowledged, what a
dropped tail means to sessions. ``redwingpost.agent.promoter`` carries
the commands out.
"""

from redwingpost.promotion.acknowledgement import (
    CONFIRM_BOUND_S,
    Acknowledgements,
    Decided,
    Decision,
    PastBound,
    Wait,
    WaitAnswer,
    proves,
    replicas_needed,
)
from redwingpost.promotion.detection import (
    PROBE_INTERVAL_S,
    Report,
    Sighting,
    SilenceMeter,
    Verdict,
    judge_office,
    judge_primary,
    may_propose,
)
from redwingpost.promotion.election import (
    Announce,
    Candidate,
    ClaimAnswer,
    Election,
    GiveUp,
    MemberFailed,
    PromoteAnswer,
    SendClaim,
    SendFollow,
    SendPromote,
    StartTimer,
    Timer,
    TimerFired,
    backoff_s,
    next_term,
    start,
    step,
)
from redwingpost.promotion.lost_tails import Continuation, continue_from
from redwingpost.promotion.observers import choose_observers, rank_of
from redwingpost.promotion.rejoin import (
    SetAside,
    leader_of,
    leads,
    must_follow,
    own_term,
)

__all__ = [
    "Acknowledgements",
    "Announce",
    "CONFIRM_BOUND_S",
    "Candidate",
    "ClaimAnswer",
    "Continuation",
    "Decided",
    "Decision",
    "Election",
    "GiveUp",
    "MemberFailed",
    "PROBE_INTERVAL_S",
    "PastBound",
    "PromoteAnswer",
    "Report",
    "SendClaim",
    "SendFollow",
    "SendPromote",
    "SetAside",
    "Sighting",
    "SilenceMeter",
    "StartTimer",
    "Timer",
    "TimerFired",
    "Verdict",
    "Wait",
    "WaitAnswer",
    "backoff_s",
    "choose_observers",
    "continue_from",
    "judge_office",
    "judge_primary",
    "leader_of",
    "leads",
    "may_propose",
    "must_follow",
    "next_term",
    "own_term",
    "proves",
    "rank_of",
    "replicas_needed",
    "start",
    "step",
]
