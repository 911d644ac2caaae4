"""Enforce an organisation's rate by the usage that all VMs report.

Load pattern: an organisation's callers arrive at six VMs unevenly, move
between them, and at times send ten times the rate. Fixed parts refuse
callers within the rate at the busy VM; parts that move need a grant
before they can be spent. Here each VM keeps the organisation's whole
bucket and subtracts its own admissions and those that the other VMs
report. The admissions of a VM are reported as a counter that never
decreases, so a report may be lost, repeated or late: the next one makes
up for it.

When demand exceeds the rate, each VM admits a share of the rate equal to
its share of the demand (``fleet_bucket.Demand``). Otherwise the VM that
sees a token first would spend it, and callers of one data centre would be
refused three times as often as those of another.

When VMs lose contact, a VM uses only the part of the rate that
corresponds to the VMs it has heartbeats from, itself included. Both
halves of a partitioned fleet together then use no more than the rate,
and a VM that resumes from a suspension has heartbeats from no other VM
and falls back to its own part. The rest of the rate is withheld, and
pays for the usage that arrives late once the VMs hear each other again
(``redwingpost.rates.withheld``).

The rate is exceeded at most by what the other VMs admit while a report
is in transit: reports are sent at once after
``REPORT_AFTER_ADMISSIONS`` admissions. The excess is subtracted from the
following tokens.

Each VM computes its estimate of the bucket by itself: after a lost
report, or a refill capped at the burst at different times, two estimates
differ for as long as the organisation is over its rate. A VM with a low
estimate then refuses nearly everybody (4 of 113 admitted at one VM, 93
of 289 at another, after a rate was lowered). Reports therefore carry the
sender's estimate, and a receiver moves its own towards it
(``BLEND_WEIGHT``): the estimates converge to their mean, which is as
good as any of them. A VM that has just started adopts the estimate of
those that have been running. A VM that doesn't hear many of the others
reports no estimate: it lacks their usage, and a VM that hears it would
regain tokens which they have spent.
"""

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.rates.counters import Usage
from redwingpost.rates.fleet_bucket import DEMAND_AVERAGE_S, FleetBucket
from redwingpost.rates.starts import PeerStart
from redwingpost.rates.withheld import (
    BUFFERED_S,
    SETTLED_S,
    SUSPENDED_AFTER_S,
    CounterGaps,
    spread_demand,
)

#: Admissions of one organisation after which a VM reports at once rather
#: than with the next heartbeat. Until the report arrives, the other VMs
#: admit from tokens that are already spent: a flood at a few VMs would
#: exceed a bucket by all that arrives in a quarter of a second.
REPORT_AFTER_ADMISSIONS = 4

#: Fraction of the burst that a VM starts with: after a restart of the
#: whole fleet no VM has a record of what was used just before.
INITIAL_BURST_FRACTION = 0.25

#: Fraction of the difference by which a report moves the receiver's
#: estimate of a bucket towards the sender's. Six VMs with four reports a
#: second each converge within half a second, and a single wrong estimate
#: has little effect on the others.
BLEND_WEIGHT = 0.1

#: Seconds between reported estimates of a bucket: one with each heartbeat,
#: which ``BLEND_WEIGHT`` counts on, none with most urgent reports. In a
#: flood these come 50 times a second; a VM that isn't heard by the sender
#: would have regained what it spent before anyone noticed that.
ESTIMATE_INTERVAL_S = 0.2

#: Number of reporting VMs up to which each report has the full
#: ``BLEND_WEIGHT``; beyond it, one report from each VM together have
#: that weight. Estimates of many VMs pass through gatherers and lack the
#: latest usage; with the full weight for each of them, a bucket would
#: regain those tokens before the usage is known everywhere.
FEW_PEERS = 12

#: Seconds after its start before a VM reports its estimate: by then it
#: has received every counter of the others, and its initial guess no
#: longer matters.
WARM_UP_S = 3.0

#: Part of the VMs without an overdue heartbeat below which a VM reports no
#: estimate: one VM of six may be down, but not two.
MIN_REPORTED_PART = 0.8


class _PeerReports:
    """Counters that a peer reported since its present start.

    ``reported_at`` is the time of its last report (seconds).
    """

    def __init__(self, vm: str, start: PeerStart) -> None:
        self.vm = vm
        self.start = start
        self.usage_by_organisation: dict[str, Usage] = {}
        self.reported_at = float("-inf")


class BucketView(NamedTuple):
    """Inputs of the decision on an operation of one organisation.

    ``tokens`` is this VM's estimate of the whole bucket (negative after
    an excess), ``demand_per_s`` the demand at all VMs (operations a
    second), ``share`` this VM's share of the demand (0 to 1).
    ``admitted`` and ``returned`` are this VM's counters since its start,
    ``known_used`` what it knows the other VMs to have used since theirs.
    """

    tokens: float
    demand_per_s: float
    share: float
    admitted: int = 0
    returned: int = 0
    known_used: int = 0


class UsageLedger:
    """Admissions of this VM and of its peers, by organisation.

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
        #: Returns the rule of an organisation, None if it has none.
        self.find_rule: Callable[[str], OrganisationRule | None] = (
            lambda organisation: None
        )
        self._started_at = started_at
        self._bucket_by_organisation: dict[str, FleetBucket] = {}
        self._own_by_organisation: dict[str, Usage] = {}
        self._reported_by_organisation: dict[str, Usage] = {}
        self._reports_by_vm: dict[str, _PeerReports] = {}
        self._part = 1.0
        self._recent_part = 1.0
        self._lowest_part = 1.0
        self._is_settled = True
        self._gaps = CounterGaps(started_at)
        self._heard_noted_at: float | None = None
        self._resumed_at = float("-inf")

    def note_hearing(
        self,
        part: float,
        unheard: Collection[str],
        now: float,
        recent_part: float = 1.0,
    ) -> None:
        """Note which VMs this one hears; to be called ten times a second.

        Parameters
        ----------
        part : float
            Part of the rate that the VMs in contact may use (0 to 1).
        unheard : collection of str
            The listed VMs that aren't heard.
        now : float
            Seconds on a clock that runs through suspensions.
        recent_part : float
            Part of the VMs whose last heartbeat isn't overdue (0 to 1).
        """
        self._note_suspension(now)
        self._recent_part = recent_part
        self._heard_noted_at = now
        self._follow_part(part, now)
        if part < 1.0:
            for bucket in self._bucket_by_organisation.values():
                bucket.refill_unchanged(now)
        self._note_unheard(unheard, now)

    def _note_unheard(self, unheard: Collection[str], now: float) -> None:
        if self._part >= 1.0 and not unheard and self._is_settled:
            return
        self._is_settled = False
        organisations_by_vm = {
            vm: reports.usage_by_organisation
            for vm, reports in self._reports_by_vm.items()
        }
        self._gaps.note_unheard(unheard, organisations_by_vm, now)
        if self._part >= 1.0 and self._gaps.heard_all_s(now) >= SETTLED_S:
            self._settle()

    def _note_suspension(self, now: float) -> None:
        """Count all other VMs as unheard while this one was suspended."""
        noted_at = self._heard_noted_at
        if noted_at is None or now - noted_at <= SUSPENDED_AFTER_S:
            return
        self._heard_noted_at = now
        self._resumed_at = now
        peers = self.peers()
        # Reports may be read from the socket before the part is known.
        self._part = self._recent_part = 1.0 / (1 + len(peers))
        self._lowest_part = min(self._lowest_part, self._part)
        for bucket in self._bucket_by_organisation.values():
            bucket.resume(self._part, now)
        self._note_unheard(peers, now)

    def _follow_part(self, part: float, now: float) -> None:
        """Apply a part to every bucket.

        Also those without callers: what is withheld is dated by it, and
        their level would be wrong once callers come.
        """
        if part == self._part:
            return
        self._part = part
        self._lowest_part = min(self._lowest_part, part)
        for bucket in self._bucket_by_organisation.values():
            bucket.follow_part(part, now)

    def _settle(self) -> None:
        """End the account of organisations of which no usage is awaited."""
        awaited = self._gaps.organisations()
        for organisation, bucket in self._bucket_by_organisation.items():
            if organisation not in awaited and bucket.withheld.amount > 0.0:
                bucket.restore(self._lowest_part)
        if not self._gaps.is_any_open:
            self._is_settled = True
            self._lowest_part = 1.0

    def withheld_by_organisation(self) -> dict[str, float]:
        """Return the tokens that are kept for usage not yet reported."""
        return {
            organisation: bucket.withheld.amount
            for organisation, bucket in self._bucket_by_organisation.items()
        }

    def admit(
        self,
        rule: OrganisationRule,
        part: float,
        now: float,
        recent_part: float = 1.0,
    ) -> bool:
        """Spend a token for one operation if there is one.

        Parameters
        ----------
        rule : OrganisationRule
            The organisation's current rate and burst.
        part : float
            Part of the rate that the VMs in contact may use (0 to 1).
        now : float
            Seconds on a clock that runs through suspensions.
        recent_part : float
            Part of the VMs whose last heartbeat isn't overdue (0 to 1).
        """
        self._note_suspension(now)
        self._recent_part = recent_part
        self._follow_part(part, now)
        bucket = self._bucket(rule, part, now)
        bucket.refill(rule, part, now)
        bucket.demand.offer(now)
        admitted = bucket.may_admit(rule) and bucket.has_part(
            recent_part / part, now
        )
        if admitted:
            bucket.charge(1.0, now)
            bucket.share_tokens -= 1.0
        own = self._own(rule.name)
        self._own_by_organisation[rule.name] = own._replace(
            admitted=own.admitted + int(admitted), offered=own.offered + 1
        )
        return admitted

    def refund(self, organisation: str) -> None:
        """Return the token of an operation that reached no member.

        While a primary is unavailable callers retry repeatedly. If each
        attempt counted, they would be over their rate once a primary is
        available again.
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
        """Return the seconds until a token is available."""
        bucket = self._bucket_by_organisation.get(rule.name)
        refill = rule.rate * part
        if bucket is None or refill <= 0.0:
            return 1.0
        return round(bucket.wait_s(rule, refill), 3)

    def view(self, organisation: str) -> BucketView:
        """Return the inputs of an organisation's last decision."""
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None:
            return BucketView(0.0, 0.0, 1.0)
        demand = bucket.demand
        own = self._own(organisation)
        known_used = sum(
            reports.usage_by_organisation[organisation].used
            for reports in self._reports_by_vm.values()
            if organisation in reports.usage_by_organisation
        )
        return BucketView(
            bucket.tokens,
            demand.per_s,
            demand.share,
            own.admitted,
            own.returned,
            known_used,
        )

    def note_peer(
        self,
        vm: str,
        boot: int,
        usages: Iterable[Usage],
        now: float,
        is_direct: bool = True,
    ) -> tuple[Usage, ...]:
        """Record the counters that a peer has reported.

        Counters seen for the first time are charged only with what came
        since the peer's previous report: earlier admissions have been
        refilled long ago. Counters from before a peer's latest start are
        dropped (``redwingpost.rates.starts``).

        Parameters
        ----------
        vm, boot : str, int
            The peer, and the number of the start that the counters are from.
        usages : iterable of Usage
            The counters.
        now : float
            Seconds.
        is_direct : bool, optional
            Whether they came from the peer itself, not from a gatherer.

        Returns
        -------
        tuple of Usage
            The counters that changed.
        """
        self._note_suspension(now)
        reports = self._reports_of_start(vm, boot, now, is_direct)
        if reports is None:
            return ()
        reports.reported_at = now
        changed = tuple(
            usage for usage in usages if self._note_usage(reports, usage, now)
        )
        if self._gaps.is_any_open and not self._reads_buffered(now):
            for usage in usages:
                self._gaps.close(vm, usage.organisation, now)
        return changed

    def _reports_of_start(
        self, vm: str, boot: int, now: float, is_direct: bool
    ) -> _PeerReports | None:
        """Return a peer's reports; None if it has started again since."""
        reports = self._reports_by_vm.get(vm)
        if reports is None:
            start = PeerStart(boot, now, is_direct)
        else:
            start = reports.start
            before = start.boot
            if not start.accepts(boot, now, is_direct):
                return None
            if boot == before:
                return reports
        self._gaps.forget(vm)
        reports = self._reports_by_vm[vm] = _PeerReports(vm, start)
        return reports

    def _reads_buffered(self, now: float) -> bool:
        """Return whether reports may date from this VM's suspension."""
        return now - self._resumed_at <= BUFFERED_S

    def _note_usage(
        self, reports: "_PeerReports", usage: Usage, now: float
    ) -> bool:
        """Record one counter; False if it hasn't changed."""
        organisation = usage.organisation
        previous = reports.usage_by_organisation.get(organisation)
        is_new = previous is None or usage.counts != previous.counts
        if not is_new and self._is_warmed_up(now):
            # Repeated by a gatherer, with an estimate of some time ago.
            return False
        if is_new and previous is not None and usage.counts < previous.counts:
            return False
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None:
            bucket = self._open_bucket(organisation, now)
        reports.usage_by_organisation[organisation] = usage
        if bucket is not None:
            bucket.refill_unchanged(now)
            if previous is None:
                self._charge_first_usage(bucket, reports.vm, usage, now)
            else:
                self._charge(bucket, reports.vm, previous, usage, now)
            self._blend(bucket, usage, now)
        return is_new

    def _charge(
        self,
        bucket: FleetBucket,
        vm: str,
        previous: Usage,
        usage: Usage,
        now: float,
    ) -> None:
        """Charge what a peer's counter grew by, late usage first to what
        was withheld.
        """
        used = usage.used - previous.used
        offered = usage.offered - previous.offered
        since = self._gaps.since(vm, usage.organisation)
        if since is None:
            bucket.demand.total += offered
            bucket.charge(used, now)
            return
        is_all_late = self._reads_buffered(now)
        late = used if is_all_late else used - max(0, usage.newly_used)
        late = max(0, late)
        bucket.tokens -= late - bucket.withheld.pay(late, since)
        bucket.charge(used - late, now)
        late = offered if is_all_late else offered - usage.newly_offered
        late = max(0, min(offered, late))
        bucket.demand.total += offered - late
        bucket.demand.total += spread_demand(
            late, now - since, DEMAND_AVERAGE_S
        )

    def _open_bucket(
        self, organisation: str, now: float
    ) -> FleetBucket | None:
        """Return a new bucket for an organisation that a peer reports.

        It has to be kept from the first report on: a VM whose first caller
        arrives during a flood would take the bucket for full. None without
        a rule, or before this VM has warmed up.
        """
        rule = self.find_rule(organisation)
        if rule is None or not self._is_warmed_up(now):
            return None
        bucket = self._bucket(rule, self._part, now)
        bucket.refill(rule, self._part, now)
        return bucket

    def _charge_first_usage(
        self, bucket: FleetBucket, vm: str, usage: Usage, now: float
    ) -> None:
        """Charge a peer's first counters of an organisation.

        Not charged just after this VM's start if there are few peers:
        the initial level of the bucket is a low guess, and with both,
        callers that reconnect within their rates would be refused. With
        many peers the first operations of each add up to more than the
        guess leaves out. Of a peer that wasn't heard, the earlier
        admissions use up what was withheld.
        """
        since = self._gaps.since_of_vm(vm)
        if since is not None:
            bucket.withheld.pay(max(0, usage.used - usage.newly_used), since)
        is_guess = not self._is_warmed_up(now)
        if is_guess and len(self._reports_by_vm) <= FEW_PEERS:
            return
        bucket.demand.total += usage.newly_offered
        bucket.charge(usage.newly_used, now)

    def peers(self) -> tuple[str, ...]:
        """Return the names of the VMs whose counters are kept."""
        return tuple(self._reports_by_vm)

    def forget_peer(self, vm: str) -> None:
        """Drop the counters of a VM that left the fleet."""
        self._reports_by_vm.pop(vm, None)
        self._gaps.forget(vm)

    def is_report_due(self, organisation: str) -> bool:
        """Return whether a report must be sent at once."""
        own = self._own(organisation)
        reported = self._reported_by_organisation.get(organisation)
        before = 0 if reported is None else reported.admitted
        return own.admitted - before >= REPORT_AFTER_ADMISSIONS

    def take_report(self, everything: bool, now: float) -> tuple[Usage, ...]:
        """Return the counters to report: those that changed, or all."""
        self._note_suspension(now)
        usages = tuple(
            self._with_new_counts(own)
            for name, own in self._own_by_organisation.items()
            if everything or own != self._reported_by_organisation.get(name)
        )
        for usage in usages:
            own = self._own_by_organisation[usage.organisation]
            self._reported_by_organisation[usage.organisation] = own
        if (
            not self._is_warmed_up(now)
            or self._recent_part < MIN_REPORTED_PART
        ):
            return usages
        return tuple(self._with_estimate(usage, now) for usage in usages)

    def _with_new_counts(self, own: Usage) -> Usage:
        """Return ``own`` with the counts since its last report."""
        reported = self._reported_by_organisation.get(
            own.organisation, Usage(own.organisation, 0)
        )
        return own._replace(
            newly_used=own.used - reported.used,
            newly_offered=own.offered - reported.offered,
        )

    def _own(self, organisation: str) -> Usage:
        nothing = Usage(organisation, 0)
        return self._own_by_organisation.get(organisation, nothing)

    def _is_warmed_up(self, now: float) -> bool:
        return now - self._started_at >= WARM_UP_S

    def _with_estimate(self, usage: Usage, now: float) -> Usage:
        bucket = self._bucket_by_organisation[usage.organisation]
        if now - bucket.reported_at < ESTIMATE_INTERVAL_S:
            return usage
        bucket.reported_at = now
        bucket.refill_unchanged(now)
        return usage._replace(tokens=bucket.tokens)

    def _blend(self, bucket: FleetBucket, usage: Usage, now: float) -> None:
        """Move the bucket towards a reported estimate.

        Just after this VM's start the estimate replaces the bucket's.
        """
        if usage.tokens is None:
            return
        # The sender doesn't have this VM's usage since its last report.
        # Unless that is subtracted, each report returns some of those
        # tokens, and more than the rate is admitted.
        tokens = usage.tokens - self._unreported(usage.organisation)
        weight = self._blend_weight() if self._is_warmed_up(now) else 1.0
        bucket.tokens += weight * (tokens - bucket.tokens)

    def _blend_weight(self) -> float:
        peers = len(self._reports_by_vm)
        return BLEND_WEIGHT if peers <= FEW_PEERS else BLEND_WEIGHT / peers

    def _unreported(self, organisation: str) -> int:
        """Return the operations of this VM since its last report."""
        own = self._own(organisation)
        reported = self._reported_by_organisation.get(organisation)
        return own.used - (0 if reported is None else reported.used)

    def _bucket(
        self, rule: OrganisationRule, part: float, now: float
    ) -> FleetBucket:
        bucket = self._bucket_by_organisation.get(rule.name)
        if bucket is None:
            bucket = FleetBucket(self._initial_tokens(rule, part, now), now)
            self._bucket_by_organisation[rule.name] = bucket
        bucket.demand.is_relayed = len(self._reports_by_vm) > FEW_PEERS
        return bucket

    def _initial_tokens(
        self, rule: OrganisationRule, part: float, now: float
    ) -> float:
        """Return the initial tokens of an organisation's bucket.

        The mean of the peers' estimates if they reported any. Otherwise
        no VM has run for long, and the bucket holds the refill since this
        VM's start less what the peers have used since theirs: without
        that refill, a restarted fleet refused 26 to 61 operations within
        their rates in its first two seconds.
        """
        usages = [
            reports.usage_by_organisation[rule.name]
            for reports in self._reports_by_vm.values()
            if rule.name in reports.usage_by_organisation
            and now - reports.reported_at < WARM_UP_S
        ]
        estimates = [item.tokens for item in usages if item.tokens is not None]
        if estimates:
            return sum(estimates) / len(estimates)
        refilled = rule.rate * part * (now - self._started_at)
        used = sum(item.used for item in usages)
        return rule.burst * INITIAL_BURST_FRACTION + max(0.0, refilled - used)
