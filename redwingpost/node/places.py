"""Cold members and regions, as one VM applies the rules on them.

The decisions are in ``redwingpost.groups.cold_members`` and
``redwingpost.groups.regions``; this module gives them their inputs.
"""

from collections.abc import Callable

from redwingpost.configuration.routes import NO_RULES, GroupRule, ServiceRules
from redwingpost.groups.cold_members import (
    ColdAllowance,
    ColdBounds,
    HeldShare,
    share_of,
)
from redwingpost.groups.directory import ListedMember
from redwingpost.groups.regions import (
    ALL_REGIONS,
    GroupRestrictions,
    Losses,
    RegionMap,
    restrictions_of,
)
from redwingpost.ports.clock import Clock

#: Seconds after the first answer of a member whose process had ended, in
#: which its new row may still be on its way. Until then the old row would
#: let every VM send a cold member whatever its callers want.
RESTART_NEWS_S = 2.0

#: Seconds between derivations of a share while statements are sent: a
#: smaller share must apply well before ``cold_members.HOLD_S`` has passed at
#: the VMs whose shares grow, and a derivation sorts the list of VMs.
_DERIVE_INTERVAL_S = 0.1


class ColdGuard:
    """Limits what this VM sends to one member while the member is cold.

    A member whose process has ended counts as cold until
    ``RESTART_NEWS_S`` after its next answer, or until its new row arrives.
    ``find_share`` returns the share that applies on this VM now.
    """

    def __init__(
        self,
        find_share: Callable[[], int],
        on_refused: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._allowance = ColdAllowance()
        self._find_share = find_share
        self._clock = clock
        self.note_refused = on_refused
        self._stated_until = float("-inf")
        self._ended_at: float | None = None
        self._unsure_until = float("-inf")

    def set_cold_until(self, cold_until: float, restarted_at: float) -> None:
        """Note when the member stops being cold by its row (seconds).

        ``restarted_at`` is when the row of its present process arrived.
        """
        self._stated_until = cold_until
        if self._ended_at is not None and restarted_at >= self._ended_at:
            self._ended_at = None
            self._unsure_until = float("-inf")
        self._update()

    def note_ended(self) -> None:
        """Record that nothing listens at the member's address."""
        self._ended_at = self._clock.now()
        self._unsure_until = float("inf")
        self._update()

    def note_answer(self) -> None:
        """Record that the member has just answered."""
        if self._unsure_until == float("inf"):
            self._unsure_until = self._clock.now() + RESTART_NEWS_S
            self._update()

    def wait_s(self, statements: int) -> float:
        """Return how long statements have to wait (seconds), 0 for now."""
        now = self._clock.now()
        if not self._allowance.is_cold(now):
            return 0.0
        self._allowance.share = self._find_share()
        return self._allowance.wait_s(now, statements)

    def note_sent(self) -> None:
        """Count a statement that is sent now."""
        self._allowance.note_sent(self._clock.now())

    def _update(self) -> None:
        until = max(self._stated_until, self._unsure_until)
        self._allowance.cold_until = until


class _GroupShare:
    """This VM's share of the rate of a group's cold members."""

    def __init__(self) -> None:
        self.share = 0
        self.derived_at = float("-inf")
        self._held = HeldShare()

    def update(self, due: int, now: float) -> None:
        """Note the share that is due now."""
        self.share = self._held.update(due, now)
        self.derived_at = now


class Places:
    """What this VM knows about cold members and regions.

    Parameters
    ----------
    vm : str
        This VM's name.
    find_senders : callable
        Returns the VMs that may send to a group's cold members at a time
        (``HomeView.senders``).
    count_refused : callable
        Called with group and member for each statement that is refused
        because the member is cold.
    clock : Clock
        The time.
    regions : RegionMap, optional
        The regions of the data centres.
    bounds : ColdBounds, optional
        By how much a second's statements may exceed the rate.
    """

    def __init__(
        self,
        vm: str,
        find_senders: Callable[[str, float], tuple[str, ...]],
        count_refused: Callable[[str, str], None],
        clock: Clock,
        regions: RegionMap = ALL_REGIONS,
        bounds: ColdBounds = ColdBounds(),
    ) -> None:
        self.regions = regions
        self._vm = vm
        self._find_senders = find_senders
        self._count_refused = count_refused
        self._clock = clock
        self._bounds = bounds
        self._rules = NO_RULES
        self._restrictions_by_group: dict[str, GroupRestrictions] = {}
        # Kept while a member restarts: its statements go on counting, and
        # a share that has been due for long applies at once.
        self._guard_by_member: dict[tuple[str, str], ColdGuard] = {}
        self._share_by_group: dict[str, _GroupShare] = {}

    def take_rules(self, rules: ServiceRules) -> None:
        """Apply the configuration in force."""
        self._rules = rules
        self._restrictions_by_group.clear()

    def guard_for(self, group: str, listed: ListedMember) -> ColdGuard | None:
        """Return the guard of a member; None if nothing limits it."""
        key = (group, listed.entry.member)
        rule = self._rules.groups_by_name.get(group)
        if rule is None or rule.cold_rate is None:
            self._guard_by_member.pop(key, None)
            self._share_by_group.pop(group, None)
            return None
        guard = self._guard_by_member.get(key)
        if guard is None:
            guard = self._guard_by_member[key] = self._make_guard(*key)
        guard.set_cold_until(_cold_until(listed, rule), listed.restarted_at)
        self._find_share(group)
        return guard

    def forget(self, group: str, member: str) -> None:
        """Forget the statements to a member that is no longer listed."""
        self._guard_by_member.pop((group, member), None)

    def is_cold(self, group: str, listed: ListedMember | None) -> bool:
        """Return whether a member is cold, limited or not."""
        rule = self._rules.groups_by_name.get(group)
        if listed is None or rule is None:
            return False
        return self._clock.now() < _cold_until(listed, rule)

    def losses(self, group: str, data_centre: str) -> Losses:
        """Return what a primary in a data centre could not serve."""
        restrictions = self._restrictions_by_group.get(group)
        if restrictions is None:
            restrictions = restrictions_of(self._rules, group)
            self._restrictions_by_group[group] = restrictions
        return restrictions.losses(self.regions, data_centre)

    def _make_guard(self, group: str, member: str) -> ColdGuard:
        return ColdGuard(
            lambda: self._find_share(group),
            lambda: self._count_refused(group, member),
            self._clock,
        )

    def _find_share(self, group: str) -> int:
        """Return this VM's share of a group's rate, derived now or lately."""
        rule = self._rules.groups_by_name.get(group)
        if rule is None or rule.cold_rate is None:
            return 0
        now = self._clock.now()
        held = self._share_by_group.setdefault(group, _GroupShare())
        if now - held.derived_at > _DERIVE_INTERVAL_S:
            senders = self._find_senders(group, now)
            rate = self._bounds.rate_to_share(rule.cold_rate)
            held.update(share_of(self._vm, senders, rate), now)
        return held.share


def _cold_until(listed: ListedMember, rule: GroupRule) -> float:
    """Return when a member stops being cold (seconds)."""
    if listed.entry.cold_left_s is not None:
        return listed.cold_until
    return listed.restarted_at + rule.cold_s
