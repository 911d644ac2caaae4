"""Hold an organisation to its rate by what every VM says it has used.

Load pattern: an organisation's callers arrive at six VMs unevenly, move
between them, and now and then send ten times the rate. Fixed parts refuse
callers within the rate at the busy VM; parts that move need a grant
before they can be spent. Here each VM keeps the organisation's whole
bucket and takes from it what it admits itself and what the others say
they have admitted. What each VM admitted is a counter that only grows,
so reports may be lost, repeated or come late: the next one repairs it.

Where more is asked than the rate allows, each VM admits the part of the
rate that corresponds to its part of the demand (``_Demand``). Whoever
sees a token first would get it otherwise, and callers of one data centre
would be refused three times as often as those of another.

Safety when VMs can't hear each other: a VM uses the part of the rate that
corresponds to the VMs it hears, itself included. Two halves of a cut
fleet together then use no more than the rate, and a VM that wakes from a
suspension finds that it has heard nobody and falls to its own part.

What goes beyond the rate is at most what arrives at the other VMs while
a report is under way: reports are sent at once after ``REPORT_AFTER``
admissions. The debt is taken from what comes next.

Each VM's view of the bucket is a sum over time of its own: a report lost,
or a refill cut off at the burst at another moment, and two views differ
for as long as the organisation is over its rate. A VM whose view is low
then refuses nearly everybody (4 of 113 admitted at one VM, 93 of 289 at
another, one day with a lowered rate). So reports tell the sender's view,
and a reader moves its own towards it (``BLEND``): the views meet at
their mean, which is as good as any of them. A VM that has just started
takes the view of those that haven't.
"""

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.rates.counters import Usage

#: Admissions of one organisation after which the others are told at once
#: rather than with the next heartbeat. Until they know, each admits from
#: what is used up already: a flood at a few VMs would exceed a bucket by
#: all that arrives in a quarter of a second.
REPORT_AFTER = 4

#: Part of the burst that a VM starts with: after a restart of the whole
#: fleet nobody knows what was used just before.
FIRST_PART = 0.25

#: Part of the difference by which a report moves the reader's view of a
#: bucket towards the sender's. Six VMs with four reports a second each
#: meet within half a second, and a single odd view moves the others'
#: little.
BLEND = 0.1

#: VMs that tell their views, beyond which all of them together move the
#: reader's view by ``BLEND`` with one report each. Views of many VMs come
#: over gatherers and lack what was used lately; moved by each as by one of
#: a few, a bucket would get that back before it is known everywhere.
FEW_TELLERS = 12

#: Seconds after its start from which a VM tells its view: by then it has
#: heard each counter of the others, and its own guess has worn off.
SETTLED_AFTER_S = 3.0

#: Seconds over which demand is averaged: several heartbeats, so that a
#: late report doesn't look like a VM without callers.
DEMAND_S = 3.0

#: Part of what the rate allows in five seconds by which the whole bucket
#: may be overdrawn while VMs divide the rate by demand: their averages
#: differ by a few percent for a moment.
OVERDRAFT_PART = 0.04


#: Least share of the demand by which a caller's wait is reckoned: a VM
#: that has just got its first caller would name minutes.
LEAST_SHARE = 0.01


class _Told:
    """What a VM has told of itself since one of its starts.

    ``told_at`` is when it last told anything (seconds).
    """

    def __init__(self, boot: int) -> None:
        self.boot = boot
        self.usage_by_organisation: dict[str, Usage] = {}
        self.told_at = float("-inf")


class BucketView(NamedTuple):
    """What decided over an operation of one organisation.

    ``tokens`` of the whole bucket as this VM knows it (below zero after
    an excess), the demand of all VMs (operations a second), and this
    VM's part of it (0 to 1).
    """

    tokens: float
    demand_per_s: float
    share: float


class _Demand:
    """Operations offered lately: here, and in all."""

    def __init__(self, now: float) -> None:
        self.own = 0.0
        self.total = 0.0
        self._at = now

    def settle(self, now: float) -> None:
        """Let what is past fade."""
        kept = exp(-max(0.0, now - self._at) / DEMAND_S)
        self._at = now
        self.own *= kept
        self.total *= kept

    @property
    def per_s(self) -> float:
        """Return the whole demand (operations a second)."""
        return self.total / DEMAND_S

    @property
    def share(self) -> float:
        """Return this VM's part of the demand (0 to 1)."""
        return self.own / self.total if self.total > 0.0 else 1.0


class _Bucket:
    """Tokens of one organisation: all of them, and this VM's share.

    ``tokens`` is below zero after an excess.
    """

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.share_tokens = 0.0
        self.demand = _Demand(now)
        self.is_over = False
        self._settled_at = now
        self._terms: tuple[OrganisationRule, float] | None = None

    def settle_again(self, now: float) -> None:
        """Settle by the rule and part that were last in force."""
        if self._terms is not None:
            self.settle(*self._terms, now)

    def settle(self, rule: OrganisationRule, part: float, now: float) -> None:
        """Add what came in; ``part`` of the rate may be used in hearing."""
        self._terms = (rule, part)
        passed_s = max(0.0, now - self._settled_at)
        self._settled_at = now
        self.demand.settle(now)
        came_in = rule.rate * part * passed_s
        most = max(1.0, rule.burst * part)
        self.tokens = min(self.tokens + came_in, most)
        share = self.demand.share
        was_over, self.is_over = self.is_over, self.demand.per_s > rule.rate
        if self.is_over and not was_over:
            self.share_tokens = max(0.0, self.tokens) * share
        # Steers the whole bucket back to empty where the shares of all
        # VMs together are a little more, or less, than the rate.
        steering = 1.0 + max(-0.5, min(0.5, self.tokens / max(1.0, most)))
        self.share_tokens = min(
            self.share_tokens + came_in * share * steering,
            max(1.0, most * share),
        )

    def may_admit(self, rule: OrganisationRule) -> bool:
        """Say whether there is a token for one operation."""
        if not self.is_over:
            return self.tokens >= 1.0
        return self.tokens >= _floor(rule) and self.share_tokens >= 1.0

    def wait_s(self, rule: OrganisationRule, refill: float) -> float:
        """Return after how long there is one (seconds).

        Over the rate it is the share that lacks a token. By the whole
        bucket, which may hold some, callers would be told to come back at
        once, be refused, and press all the more.
        """
        if not self.is_over:
            return max(0.0, 1.0 - self.tokens) / refill
        share_refill = refill * max(self.demand.share, LEAST_SHARE)
        share_s = max(0.0, 1.0 - self.share_tokens) / share_refill
        return max(share_s, (_floor(rule) - self.tokens) / refill)


def _floor(rule: OrganisationRule) -> float:
    """Return how far the whole bucket may be overdrawn (tokens)."""
    return -OVERDRAFT_PART * (rule.rate * 5.0 + rule.burst)


class UsageLedger:
    """Admissions of this VM and of the others, by organisation.

    Examples
    --------
    >>> rule = OrganisationRule("a", frozenset(), 10.0, 8.0, 1)
    >>> ledger = UsageLedger(started_at=0.0)
    >>> [ledger.admit(rule, 1.0, 0.0) for _ in range(3)]
    [True, True, False]
    >>> ledger.wait_s(rule, 1.0)
    0.1
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._bucket_by_organisation: dict[str, _Bucket] = {}
        self._own_by_organisation: dict[str, Usage] = {}
        self._reported_by_organisation: dict[str, Usage] = {}
        self._told_by_vm: dict[str, _Told] = {}

    def admit(self, rule: OrganisationRule, part: float, now: float) -> bool:
        """Take a token for one operation if there is one.

        Parameters
        ----------
        rule : OrganisationRule
            Its rate and burst now.
        part : float
            Part of the rate that the VMs in hearing may use (0 to 1).
        now : float
            Seconds, counted through suspensions.
        """
        bucket = self._bucket(rule, part, now)
        bucket.settle(rule, part, now)
        bucket.demand.own += 1.0
        bucket.demand.total += 1.0
        admitted = bucket.may_admit(rule)
        if admitted:
            bucket.tokens -= 1.0
            bucket.share_tokens -= 1.0
        own = self._own(rule.name)
        self._own_by_organisation[rule.name] = own._replace(
            admitted=own.admitted + int(admitted), offered=own.offered + 1
        )
        return admitted

    def give_back(self, organisation: str) -> None:
        """Give a token back for an operation that reached no member.

        While a primary is lost callers try again and again. If each try
        counted, they would be refused for their rate once it is back.
        """
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None:
            return
        bucket.tokens += 1.0
        bucket.share_tokens += 1.0
        own = self._own(organisation)
        self._own_by_organisation[organisation] = own._replace(
            returned=own.returned + 1
        )

    def wait_s(self, rule: OrganisationRule, part: float) -> float:
        """Return after how long a token is there (seconds)."""
        bucket = self._bucket_by_organisation.get(rule.name)
        refill = rule.rate * part
        if bucket is None or refill <= 0.0:
            return 1.0
        return round(bucket.wait_s(rule, refill), 3)

    def view(self, organisation: str) -> BucketView:
        """Return the inputs of the last decision on an organisation."""
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None:
            return BucketView(0.0, 0.0, 1.0)
        demand = bucket.demand
        return BucketView(bucket.tokens, demand.per_s, demand.share)

    def note_peer(
        self, vm: str, boot: int, usages: Iterable[Usage], now: float
    ) -> tuple[Usage, ...]:
        """Take in what another VM has admitted since its start.

        Counters that are met for the first time count from the VM's report
        before: what it admitted earlier has long been refilled. Of a VM
        that started again only the newest start is kept.

        Returns
        -------
        tuple of Usage
            Those that were news.
        """
        told = self._told_by_vm.get(vm)
        if told is None or told.boot < boot:
            told = self._told_by_vm[vm] = _Told(boot)
        if told.boot > boot:
            return ()
        told.told_at = now
        return tuple(
            usage for usage in usages if self._note_usage(told, usage, now)
        )

    def _note_usage(self, told: "_Told", usage: Usage, now: float) -> bool:
        """Take in one counter; False where it was known already."""
        known = told.usage_by_organisation.get(usage.organisation)
        if known is not None and usage.counts < known.counts:
            return False
        is_new = known is None or usage.counts != known.counts
        told.usage_by_organisation[usage.organisation] = usage
        bucket = self._bucket_by_organisation.get(usage.organisation)
        if bucket is not None:
            bucket.settle_again(now)
            if known is None:
                self._count_new(bucket, usage, now)
            else:
                bucket.demand.total += usage.offered - known.offered
                bucket.tokens -= usage.used - known.used
            self._blend(bucket, usage, now)
        return is_new

    def _count_new(self, bucket: _Bucket, usage: Usage, now: float) -> None:
        """Take in a VM's first counters of an organisation.

        While a few VMs have just started they don't count: what was in the
        bucket before is a low guess, and taken together both refuse
        callers who come back within their rates. Of many VMs the first few
        operations of each would be more than the guess leaves out.
        """
        is_guess = not self._is_settled(now)
        if is_guess and len(self._told_by_vm) <= FEW_TELLERS:
            return
        bucket.demand.total += usage.newly_offered
        bucket.tokens -= usage.newly_used

    def peers(self) -> tuple[str, ...]:
        """Return the VMs whose counters are kept."""
        return tuple(self._told_by_vm)

    def forget_peer(self, vm: str) -> None:
        """Drop the counters of a VM that is gone."""
        self._told_by_vm.pop(vm, None)

    def is_report_due(self, organisation: str) -> bool:
        """Say whether the others must be told at once."""
        own = self._own(organisation)
        told = self._reported_by_organisation.get(organisation)
        before = 0 if told is None else told.admitted
        return own.admitted - before >= REPORT_AFTER

    def take_report(self, everything: bool, now: float) -> tuple[Usage, ...]:
        """Return the counters to send: those that changed, or all."""
        usages = tuple(
            self._since_last(own)
            for name, own in self._own_by_organisation.items()
            if everything or own != self._reported_by_organisation.get(name)
        )
        for usage in usages:
            own = self._own_by_organisation[usage.organisation]
            self._reported_by_organisation[usage.organisation] = own
        if not self._is_settled(now):
            return usages
        return tuple(self._with_view(usage, now) for usage in usages)

    def _since_last(self, own: Usage) -> Usage:
        """Return counters with what came since they were last reported."""
        told = self._reported_by_organisation.get(
            own.organisation, Usage(own.organisation, 0)
        )
        return own._replace(
            newly_used=own.used - told.used,
            newly_offered=own.offered - told.offered,
        )

    def _own(self, organisation: str) -> Usage:
        nothing = Usage(organisation, 0)
        return self._own_by_organisation.get(organisation, nothing)

    def _is_settled(self, now: float) -> bool:
        return now - self._started_at >= SETTLED_AFTER_S

    def _with_view(self, usage: Usage, now: float) -> Usage:
        bucket = self._bucket_by_organisation[usage.organisation]
        bucket.settle_again(now)
        return usage._replace(tokens=bucket.tokens)

    def _blend(self, bucket: _Bucket, usage: Usage, now: float) -> None:
        """Move a view towards one that was told; take it after a start."""
        if usage.tokens is None:
            return
        # The teller can't know yet what this VM has used since its last
        # report. Taken as told, each report would give some of that back,
        # and more than the rate would be admitted.
        tokens = usage.tokens - self._unreported(usage.organisation)
        weight = self._blend_weight() if self._is_settled(now) else 1.0
        bucket.tokens += weight * (tokens - bucket.tokens)

    def _blend_weight(self) -> float:
        tellers = len(self._told_by_vm)
        return BLEND if tellers <= FEW_TELLERS else BLEND / tellers

    def _unreported(self, organisation: str) -> int:
        """Return what this VM has used since its last report."""
        own = self._own(organisation)
        told = self._reported_by_organisation.get(organisation)
        return own.used - (0 if told is None else told.used)

    def _bucket(
        self, rule: OrganisationRule, part: float, now: float
    ) -> _Bucket:
        bucket = self._bucket_by_organisation.get(rule.name)
        if bucket is None:
            bucket = _Bucket(self._first_tokens(rule, part, now), now)
            self._bucket_by_organisation[rule.name] = bucket
        return bucket

    def _first_tokens(
        self, rule: OrganisationRule, part: float, now: float
    ) -> float:
        """Return what a VM takes a bucket to hold that it meets first.

        The view of others where they told one. Else nobody has run for
        long, and what came in since this VM's start is there but for what
        the others have used since theirs: without it a whole fleet that
        starts again refused 26 to 61 operations within their rates in its
        first two seconds.
        """
        told = [
            told.usage_by_organisation[rule.name]
            for told in self._told_by_vm.values()
            if rule.name in told.usage_by_organisation
            and now - told.told_at < SETTLED_AFTER_S
        ]
        views = [item.tokens for item in told if item.tokens is not None]
        if views:
            return sum(views) / len(views)
        came_in = rule.rate * part * (now - self._started_at)
        used = sum(item.used for item in told)
        return rule.burst * FIRST_PART + max(0.0, came_in - used)
