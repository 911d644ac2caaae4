"""Hold an organisation to its rate by what every VM says it has used.

Load pattern: an organisation's callers arrive at six VMs unevenly, move
between them, and now and then send ten times the rate. Fixed parts refuse
callers within the rate at the busy VM; parts that move need a grant
before they can be spent. Here each VM keeps the organisation's whole
bucket and takes from it what it admits itself and what the others say
they have admitted. What each VM admitted is a counter that only grows,
so reports may be lost, repeated or come late: the next one repairs it.

Safety when VMs can't hear each other: a VM uses the part of the rate that
corresponds to the VMs it hears, itself included. Two halves of a cut
fleet together then use no more than the rate, and a VM that wakes from a
suspension finds that it has heard nobody and falls to its own part.

What goes beyond the rate is at most what arrives at the other VMs while
a report is under way: reports are sent at once after ``REPORT_AFTER``
admissions. The debt is taken from what comes next.
"""

from typing import NamedTuple

from redwingpost.configuration.routes import OrganisationRule

#: Admissions of one organisation after which the others are told at once
#: rather than with the next heartbeat: six VMs then exceed a bucket by
#: two dozen operations at most, of some hundreds in five seconds.
REPORT_AFTER = 4

#: Part of the burst that a VM starts with: after a restart of the whole
#: fleet nobody knows what was used just before.
FIRST_PART = 0.25


class Usage(NamedTuple):
    """Operations of one organisation that a VM admitted since its start."""

    organisation: str
    admitted: int


class _Bucket:
    """Tokens of one organisation; below zero after an excess."""

    def __init__(self, rule: OrganisationRule, now: float) -> None:
        self.tokens = rule.burst * FIRST_PART
        self.settled_at = now

    def settle(self, rule: OrganisationRule, part: float, now: float) -> None:
        """Add what came in; ``part`` of the rate is this VM's to use."""
        passed_s = max(0.0, now - self.settled_at)
        self.settled_at = now
        self.tokens += rule.rate * part * passed_s
        self.tokens = min(self.tokens, max(1.0, rule.burst * part))


class UsageLedger:
    """Admissions of this VM and of the others, by organisation.

    Examples
    --------
    >>> rule = OrganisationRule("a", frozenset(), 10.0, 8.0, 1)
    >>> ledger = UsageLedger()
    >>> [ledger.admit(rule, 1.0, 0.0) for _ in range(3)]
    [True, True, False]
    >>> ledger.wait_s(rule, 1.0)
    0.1
    """

    def __init__(self) -> None:
        self._bucket_by_organisation: dict[str, _Bucket] = {}
        self._own_by_organisation: dict[str, int] = {}
        self._reported_by_organisation: dict[str, int] = {}
        self._seen: dict[tuple[str, int, str], int] = {}

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
        bucket = self._bucket(rule, now)
        bucket.settle(rule, part, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        own = self._own_by_organisation.get(rule.name, 0)
        self._own_by_organisation[rule.name] = own + 1
        return True

    def wait_s(self, rule: OrganisationRule, part: float) -> float:
        """Return after how long a token is there (seconds)."""
        bucket = self._bucket_by_organisation.get(rule.name)
        refill = rule.rate * part
        if bucket is None or refill <= 0.0:
            return 1.0
        return round(max(0.0, 1.0 - bucket.tokens) / refill, 3)

    def note_peer(self, vm: str, boot: int, usages: tuple[Usage, ...]) -> None:
        """Take in what another VM has admitted since its start.

        The first word of a VM is where counting starts: what it admitted
        before has long been refilled.
        """
        for usage in usages:
            key = (vm, boot, usage.organisation)
            known = self._seen.get(key, usage.admitted)
            self._seen[key] = max(known, usage.admitted)
            bucket = self._bucket_by_organisation.get(usage.organisation)
            if bucket is not None and usage.admitted > known:
                bucket.tokens -= usage.admitted - known

    def forget_peer(self, vm: str) -> None:
        """Drop the counters of a VM that is gone."""
        for key in [key for key in self._seen if key[0] == vm]:
            del self._seen[key]

    def is_report_due(self, organisation: str) -> bool:
        """Say whether the others must be told at once."""
        own = self._own_by_organisation.get(organisation, 0)
        told = self._reported_by_organisation.get(organisation, 0)
        return own - told >= REPORT_AFTER

    def take_report(self, everything: bool) -> tuple[Usage, ...]:
        """Return the counters to send: those that changed, or all."""
        usages = tuple(
            Usage(name, own)
            for name, own in self._own_by_organisation.items()
            if everything or own != self._reported_by_organisation.get(name)
        )
        for usage in usages:
            self._reported_by_organisation[usage.organisation] = usage.admitted
        return usages

    def _bucket(self, rule: OrganisationRule, now: float) -> _Bucket:
        bucket = self._bucket_by_organisation.get(rule.name)
        if bucket is None:
            bucket = _Bucket(rule, now)
            self._bucket_by_organisation[rule.name] = bucket
        return bucket
