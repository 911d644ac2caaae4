"""Admission of operations: checks key, route and the organisation's rate."""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.configuration.routes import (
    NO_RULES,
    OrganisationRule,
    RouteRule,
    ServiceRules,
)
from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.groups.regions import combine
from redwingpost.membership.vm_table import OVERDUE_HEARTBEAT_S, VmTable
from redwingpost.node.member_admission import MemberRules
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.rates.usage import UsageLedger

#: Organisation name sent to members for callers of a public route that have
#: no key.
PUBLIC_NAME = "public"

#: Milliseconds after which refused callers may come back at the latest.
_LONGEST_WAIT_MS = 24 * 3600 * 1000

_NO_LIMIT = OrganisationRule(
    PUBLIC_NAME, frozenset(), float("inf"), float("inf"), 1
)


class Admitted(NamedTuple):
    """An operation that passed the checks of one configuration version.

    ``route`` has the restriction to regions of both route and organisation.
    """

    route: RouteRule
    organisation: OrganisationRule
    sync_replicas: int


class Admission:
    """Checks operations against the rules in force and the rate limits.

    ``on_admitted`` is called with the organisation of each operation that
    a rate limit admitted.
    """

    def __init__(self, vms: VmTable, ledger: UsageLedger, clock: Clock):
        self.rules: ServiceRules = NO_RULES
        self._member_rules: MemberRules | None = None
        self.on_admitted: Callable[[str], None] | None = None
        self._vms = vms
        self._ledger = ledger
        self._clock = clock
        self._lowest_part = 1.0
        self._withheld_by_organisation: dict[str, float] = {}

    @property
    def has_rules(self) -> bool:
        """Whether a configuration has been received."""
        return self.rules is not NO_RULES

    def take_rules(self, rules: ServiceRules) -> bool:
        """Put rules in force; return False if they aren't newer."""
        if rules.version <= self.rules.version:
            return False
        log_event(
            "rules-in-force",
            version=rules.version,
            before=self.rules.version,
            routes=len(rules.routes_by_database),
            organisations=len(rules.organisations_by_name),
        )
        self.rules = rules
        self._member_rules = None
        return True

    def follow_fleet(self) -> None:
        """Tell the ledger which VMs are heard; log when a partition ends."""
        now = self._clock.now()
        part = self._vms.part(now)
        unheard = self._vms.missing(now) if part < 1.0 else ()
        recent_part = self._vms.part(now, OVERDUE_HEARTBEAT_S)
        self._ledger.note_hearing(part, unheard, now, recent_part)
        if part < 1.0:
            self._lowest_part = min(self._lowest_part, part)
            self._withheld_by_organisation = self.withheld_by_organisation()
        elif self._lowest_part < 1.0:
            self._log_withheld()

    def withheld_by_organisation(self) -> dict[str, float]:
        """Return the operations withheld for VMs that weren't heard."""
        return self._ledger.withheld_by_organisation()

    def _log_withheld(self) -> None:
        for organisation, withheld in self._withheld_by_organisation.items():
            if withheld >= 1.0:
                log_event(
                    "rate-withheld",
                    organisation=organisation,
                    part=round(self._lowest_part, 3),
                    withheld=round(withheld, 1),
                )
        self._lowest_part = 1.0
        self._withheld_by_organisation = {}

    def check(self, database: str, key: str) -> Admitted | Refusal:
        """Check key and route against the rules in force."""
        if not self.has_rules:
            return Refusal(Code.STARTING, "", 500)
        route = self.rules.routes_by_database.get(database)
        if route is None:
            return Refusal(Code.UNKNOWN_GROUP, database)
        organisation = self.rules.organisation_of(key)
        if organisation is None:
            if not route.is_public:
                return Refusal(Code.WRONG_KEY)
            organisation = _NO_LIMIT
        if organisation.regions is not None:
            both = combine(route.regions, organisation.regions)
            route = route._replace(regions=both)
        return Admitted(route, organisation, self.sync_replicas(route.group))

    def holder_of(self, key: str) -> str:
        """Return the name of the organisation that holds a key now.

        That of an unknown key is the name under which public routes run it.
        """
        return (self.rules.organisation_of(key) or _NO_LIMIT).name

    def is_holder(self, organisation: str, key: str, version: int) -> bool:
        """Return whether a key is still an organisation's.

        Parameters
        ----------
        organisation : str
            Its name.
        key : str
            The key.
        version : int
            That of a configuration by which it was. Rules that aren't newer
            can't tell of a change.
        """
        if not version or self.rules.version <= version:
            return True
        return self.holder_of(key) == organisation

    def sync_replicas(self, group: str) -> int:
        """Return how many replicas hold a commit before it is acknowledged."""
        rule = self.rules.groups_by_name.get(group)
        return 0 if rule is None else rule.sync_replicas

    def member_rules(self, max_connections: int) -> MemberRules | None:
        """Return the rules of admission at a group's members.

        None if a member accepts ``max_connections`` and thereby one for
        each organisation: statements then only wait for connections.
        """
        if not self.rules.has_few_connections(max_connections):
            return None
        if self._member_rules is None:
            # Imported here, as nodes whose members have connections enough
            # start sooner without it.
            from redwingpost.scheduling.priorities import OrganisationWeights

            rates = {
                name: rule.rate
                for name, rule in self.rules.organisations_by_name.items()
            }
            self._member_rules = MemberRules(
                OrganisationWeights.of(rates), self.rules.idle_transaction_s
            )
        return self._member_rules

    def refund_operation(self, organisation: OrganisationRule) -> None:
        """Undo ``spend`` for an operation that reached no member."""
        self._ledger.refund(organisation.name)

    def spend(
        self, organisation: OrganisationRule, request: str
    ) -> Refusal | None:
        """Take a token for one operation, or refuse it.

        Parameters
        ----------
        organisation : OrganisationRule
            The organisation whose rate limit applies.
        request : str
            Id of the statement that begins the operation, for the log.
        """
        if organisation.rate == float("inf"):
            return None
        now = self._clock.now()
        part = self._vms.part(now)
        recent_part = self._vms.part(now, OVERDUE_HEARTBEAT_S)
        if self._ledger.admit(organisation, part, now, recent_part):
            if self.on_admitted is not None:
                self.on_admitted(organisation.name)
            return None
        wait_s = self._ledger.wait_s(organisation, part)
        view = self._ledger.view(organisation.name)
        log_event(
            "over-rate",
            request=request,
            organisation=organisation.name,
            rate=organisation.rate,
            burst=organisation.burst,
            tokens=round(view.tokens, 2),
            demand_per_s=round(view.demand_per_s, 1),
            share=round(view.share, 3),
            admitted=view.admitted,
            returned=view.returned,
            known_used=view.known_used,
            part=round(part, 3),
            wait_s=wait_s,
            version=self.rules.version,
        )
        # Rates near zero give waits that fit into no message.
        wait_ms = min(wait_s * 1000, _LONGEST_WAIT_MS)
        return Refusal(Code.OVER_RATE, "", max(1, int(wait_ms)))
