"""The token bucket of one organisation, as one VM estimates it.

Load pattern: an organisation's callers arrive at all VMs. Each VM keeps the
organisation's whole bucket, and its own share of the refill while demand
exceeds the rate (``redwingpost.rates.usage``). While some VMs aren't heard,
only a part of the rate is refilled, and the rest is withheld
(``redwingpost.rates.withheld``).
"""

from collections import deque
from math import exp

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.membership.vm_table import HEARTBEAT_INTERVAL_S
from redwingpost.rates.splitting import (
    OVERDUE_RATIO,
    RecentUsage,
    split_tokens,
)
from redwingpost.rates.withheld import KEPT_S, WithheldRefill

#: Time constant of the demand average in seconds: several heartbeats, so
#: that a VM with a late report doesn't appear to have no callers.
DEMAND_AVERAGE_S = 3.0

#: Fraction of the operations allowed in five seconds (rate and burst) by
#: which the whole bucket may be overdrawn while VMs divide the rate by
#: demand: their averages differ by a few percent for short times.
OVERDRAFT_FRACTION = 0.04

#: Lower limit of the demand share that a caller's retry delay is computed
#: from: without it, a VM with its first caller would return minutes.
MIN_DEMAND_SHARE = 0.01

#: Seconds after which the counts of the others arrive on average by way of
#: gatherers: half a heartbeat at each of three VMs that pass them on.
RELAY_DELAY_S = 1.5 * HEARTBEAT_INTERVAL_S

#: Seconds of own operations that are kept as one count.
_RECENT_STEP_S = 0.05


class Demand:
    """Decaying counts of operations offered: at this VM and at all VMs.

    While demand grows, counts that arrive later are lower. Where the others'
    counts come by way of gatherers (``is_relayed``), this VM's share counts
    its own operations as late as theirs. Otherwise the shares of all VMs
    would add up to far more than one as a flood begins.
    """

    def __init__(self, now: float) -> None:
        self.own = 0.0
        self.total = 0.0
        self.is_relayed = False
        self._delayed_own = 0.0
        self._recent: deque[list[float]] = deque()
        self._decayed_at = now

    def offer(self, now: float) -> None:
        """Count an operation that is offered to this VM."""
        self.own += 1.0
        self.total += 1.0
        if self._recent and now - self._recent[-1][0] < _RECENT_STEP_S:
            self._recent[-1][1] += 1.0
        else:
            self._recent.append([now, 1.0])

    def decay(self, now: float) -> None:
        """Decay the counts to ``now``."""
        kept = exp(-max(0.0, now - self._decayed_at) / DEMAND_AVERAGE_S)
        self._decayed_at = now
        self.own *= kept
        self.total *= kept
        self._delayed_own *= kept
        while self._recent and now - self._recent[0][0] >= RELAY_DELAY_S:
            self._delayed_own += self._recent.popleft()[1]

    @property
    def per_s(self) -> float:
        """Return the demand at all VMs (operations a second)."""
        return self.total / DEMAND_AVERAGE_S

    @property
    def share(self) -> float:
        """Return this VM's share of the demand (0 to 1)."""
        own = self._delayed_own if self.is_relayed else self.own
        total = self.total - self.own + own
        return own / total if total > 0.0 else 1.0


class FleetBucket:
    """Tokens of one organisation: the whole bucket and this VM's share.

    ``tokens`` is negative after an excess. ``reported_at`` is when this
    VM last reported it as its estimate (seconds).
    """

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.share_tokens = 0.0
        self.reported_at = float("-inf")
        self.demand = Demand(now)
        self.withheld = WithheldRefill()
        self._recent = RecentUsage()
        self._is_held_back = False
        self.is_over_rate = False
        self._refilled_at = now
        self._last_refill_terms: tuple[OrganisationRule, float] | None = None

    def refill_unchanged(self, now: float) -> None:
        """Refill by the rule and part of the last call of ``refill``."""
        if self._last_refill_terms is not None:
            self.refill(*self._last_refill_terms, now)

    def resume(self, part: float, now: float) -> None:
        """Refill by ``part`` for the whole time since the last call."""
        if self._last_refill_terms is not None:
            self.refill(self._last_refill_terms[0], part, now)

    def follow_part(self, part: float, now: float) -> None:
        """Refill by the last part until now, and by ``part`` from now on."""
        self.refill_unchanged(now)
        self.resume(part, now)

    def refill(self, rule: OrganisationRule, part: float, now: float) -> None:
        """Add the tokens accrued since the last call.

        ``part`` is the part of the rate that the VMs in contact may use
        (0 to 1).
        """
        terms = (rule, part)
        if now == self._refilled_at and terms == self._last_refill_terms:
            return
        before = self._last_refill_terms
        self._last_refill_terms = terms
        passed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self.demand.decay(now)
        refilled = rule.rate * part * passed_s
        capacity = max(1.0, rule.burst * part)
        self._withhold(rule, rule.rate * (1.0 - part) * passed_s, now)
        self.tokens += refilled
        if before is not None and part < before[1]:
            self._split(rule, before[1], part, now)
        self.tokens = min(self.tokens, capacity)
        share = self.demand.share
        was_over_rate, self.is_over_rate = (
            self.is_over_rate,
            self.demand.per_s > rule.rate,
        )
        if self.is_over_rate and not was_over_rate:
            self.share_tokens = max(0.0, self.tokens) * share
        # Steers the whole bucket back to zero when the shares of all VMs
        # together are slightly above or below the rate.
        steering = 1.0 + max(-0.5, min(0.5, self.tokens / max(1.0, capacity)))
        self.share_tokens = min(
            self.share_tokens + refilled * share * steering,
            max(1.0, capacity * share),
        )

    def _split(
        self,
        rule: OrganisationRule,
        part_before: float,
        part: float,
        now: float,
    ) -> None:
        """Leave their part of the tokens to VMs that aren't heard now."""
        level = min(self.tokens, max(1.0, rule.burst * part_before))
        recent = self._recent.total(now)
        self.tokens = split_tokens(level, recent, part / part_before)
        self._withhold(rule, level - self.tokens, now)

    def _withhold(
        self, rule: OrganisationRule, tokens: float, now: float
    ) -> None:
        self.withheld.add(tokens, rule.rate * KEPT_S, now)

    def restore(self, part: float) -> None:
        """Take back what no other VM has used, up to ``part`` of the burst.

        ``part`` is the lowest part since VMs weren't heard: a VM that uses
        its part never gets more than that. Nor does it get more than the
        others' part of the burst, which they have not spent. Without this,
        an organisation whose callers are on one side would stay in the
        debt that ``_split`` leaves.
        """
        if self._last_refill_terms is not None:
            burst = self._last_refill_terms[0].burst
            lacking = max(0.0, burst * part - self.tokens)
            self.tokens += min(
                lacking, burst * (1.0 - part), self.withheld.amount
            )
        self.withheld.clear()

    def charge(self, used: float, now: float) -> None:
        """Subtract operations admitted by this VM or by one that is heard."""
        self.tokens -= used
        self._recent.add(used, now)

    def may_admit(self, rule: OrganisationRule) -> bool:
        """Return whether there is a token for one operation."""
        if not self.is_over_rate:
            return self.tokens >= 1.0
        return self.tokens >= _min_tokens(rule) and self.share_tokens >= 1.0

    def has_part(self, ratio: float, now: float) -> bool:
        """Return whether there is a token if overdue VMs aren't heard again.

        ``ratio`` is the part of the VMs in contact that isn't overdue.
        """
        self._is_held_back = (
            ratio < OVERDUE_RATIO
            and split_tokens(self.tokens, self._recent.total(now), ratio) < 1.0
        )
        return not self._is_held_back

    def wait_s(self, rule: OrganisationRule, refill: float) -> float:
        """Return the seconds until there is a token for one operation.

        Over the rate the wait follows from this VM's share. The whole
        bucket may hold tokens: computed from it, callers would retry at
        once, be refused again, and add to the load.
        """
        if self._is_held_back:
            # The next heartbeats show whether the overdue VMs are heard.
            return max(HEARTBEAT_INTERVAL_S, (1.0 - self.tokens) / refill)
        if not self.is_over_rate:
            return max(0.0, 1.0 - self.tokens) / refill
        share_refill = refill * max(self.demand.share, MIN_DEMAND_SHARE)
        share_s = max(0.0, 1.0 - self.share_tokens) / share_refill
        return max(share_s, (_min_tokens(rule) - self.tokens) / refill)


def _min_tokens(rule: OrganisationRule) -> float:
    """Return the lowest level of the whole bucket (tokens, negative)."""
    return -OVERDRAFT_FRACTION * (rule.rate * 5.0 + rule.burst)
