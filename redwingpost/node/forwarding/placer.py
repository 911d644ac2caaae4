"""Placement of a caller's statements at homes, from what these report."""

from collections.abc import Callable
from math import inf
from random import Random
from typing import NamedTuple

from redwingpost.configuration.routes import Consistency, RouteRule
from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Statement, StatementKind
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.forwarding.homes import HomeView
from redwingpost.node.forwarding.load_reports import (
    REPORT_VALID_S,
    LoadReports,
)
from redwingpost.node.forwarding.local_loads import LocalLoads
from redwingpost.node.request.reads import LEADER_TIMEOUT_S
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.routing.placement import Choice, Need, Placement, place

#: Seconds between log lines about homes of a group that are passed over.
LOG_INTERVAL_S = 1.0

#: Seconds for which no home can run statements of a group before they are
#: refused at once. Until then they wait at a home, which a planned change of
#: primary doesn't outlast; refused, all callers would see each such change.
UNABLE_GRACE_S = LEADER_TIMEOUT_S


class StatementPlace(NamedTuple):
    """Homes to try for a statement, or why it is refused unrun.

    The homes may include this VM; none if it runs the statement anyway.
    ``is_by_load`` is False if they are in the order of the organisation's
    name, whatever they report.
    """

    homes: tuple[VmAddress, ...]
    needs_primary: bool
    refusal: Refusal | None = None
    is_by_load: bool = True


class _Unable(NamedTuple):
    """Since when, and when last, no home could run statements (seconds)."""

    since: float
    last_at: float


class _Known(NamedTuple):
    """What is known about a group's homes, in an organisation's order."""

    address_by_vm: dict[str, VmAddress]
    wait_s_by_vm: dict[str, float]
    is_complete: bool


def requires_primary(
    route: RouteRule, is_write: bool, begin: Statement | None
) -> bool:
    """Return whether only the primary can run a statement.

    Parameters
    ----------
    route : RouteRule
        The statement's route.
    is_write : bool
        Whether it is a write.
    begin : Statement or None
        The BEGIN of its transaction.
    """
    if begin is not None:
        is_write = begin.kind is not StatementKind.BEGIN_READ_ONLY
    return is_write or route.consistency is Consistency.PRIMARY


class HomePlacer:
    """Decides at which homes statements are tried.

    ``note_placement`` is called with the group and the choice's name.
    """

    def __init__(
        self,
        homes: HomeView,
        reports: LoadReports,
        local_loads: LocalLoads,
        clock: Clock,
        note_placement: Callable[[str, str], None],
    ) -> None:
        self._homes = homes
        self._reports = reports
        self._local_loads = local_loads
        self._clock = clock
        self._note_placement = note_placement
        self._random = Random(homes.vm)
        self._unable_by_key: dict[tuple[str, bool], _Unable] = {}
        self._logged_at: dict[str, float] = {}

    def place(
        self,
        route: RouteRule,
        organisation: str,
        needs_primary: bool,
        remaining_s: float,
    ) -> StatementPlace:
        """Return the homes to try for a statement, the best first."""
        now = self._clock.now()
        if not self._homes.places_by_load(route.group):
            homes = self._homes.homes_to_try(
                route.group, organisation, now, route.regions
            )
            return StatementPlace(homes, needs_primary, is_by_load=False)
        known = self._known(route, organisation, needs_primary, now)
        if not known.address_by_vm:
            return StatementPlace((), needs_primary)
        need = Need(
            remaining_s,
            route.target_latency_s,
            self._random.random(),
            # Homes refuse with the code of an evacuation.
            known.is_complete
            and not self._local_loads.is_evacuated(route.group),
        )
        order = tuple(known.address_by_vm)
        placement = place(order, known.wait_s_by_vm, need)
        if not self._is_unable_for_long(
            route.group, needs_primary, placement, now
        ):
            need = need._replace(may_refuse=False)
            placement = place(order, known.wait_s_by_vm, need)
        self._note(route.group, placement, now)
        if placement.choice is Choice.REFUSED:
            refusal = self._refuse(route.group, order, placement)
            return StatementPlace((), needs_primary, refusal)
        homes = tuple(
            known.address_by_vm[vm]
            for vm in placement.homes
            if not self._reports.is_unreachable(vm, now)
        )
        return StatementPlace(homes, needs_primary)

    def can_run(
        self, home: VmAddress, group: str, needs_primary: bool
    ) -> bool:
        """Return False if a home is known not to run such statements."""
        now = self._clock.now()
        return self._wait_s(home.vm, group, needs_primary, now) != inf

    def _known(
        self,
        route: RouteRule,
        organisation: str,
        needs_primary: bool,
        now: float,
    ) -> _Known:
        group = route.group
        address_by_vm: dict[str, VmAddress] = {}
        wait_s_by_vm: dict[str, float] = {}
        has_answer = False
        is_complete = True
        for address in self._homes.ranked_homes(
            group, organisation, now, route.regions
        ):
            vm = address.vm
            wait_s = self._wait_s(vm, group, needs_primary, now)
            has_answer = has_answer or self._has_answered(vm, group, now)
            if wait_s != inf and self._homes.is_suspect(vm, now):
                is_complete = False
                continue
            address_by_vm[vm] = address
            if wait_s is not None:
                wait_s_by_vm[vm] = wait_s
        # Without any answer, as in a cut, this VM runs statements itself.
        return _Known(address_by_vm, wait_s_by_vm, is_complete and has_answer)

    def _wait_s(
        self, vm: str, group: str, needs_primary: bool, now: float
    ) -> float | None:
        if vm != self._homes.vm:
            return self._reports.wait_s(vm, group, needs_primary, now)
        load = self._local_loads.of_group(group)
        return None if load is None else load.wait_s(needs_primary)

    def _has_answered(self, vm: str, group: str, now: float) -> bool:
        if vm == self._homes.vm:
            return True
        return self._reports.has_answered(vm, group, now)

    def _is_unable_for_long(
        self, group: str, needs_primary: bool, placement: Placement, now: float
    ) -> bool:
        """Return False if no home can run a statement, but only lately."""
        key = group, needs_primary
        if not placement.reaches_none:
            self._unable_by_key.pop(key, None)
            return True
        unable = self._unable_by_key.get(key)
        if unable is None or now - unable.last_at > REPORT_VALID_S:
            unable = _Unable(now, now)
        self._unable_by_key[key] = unable._replace(last_at=now)
        return now - unable.since >= UNABLE_GRACE_S

    def _refuse(
        self, group: str, order: tuple[str, ...], placed: Placement
    ) -> Refusal:
        now = self._clock.now()
        reaches_primary = any(
            self._wait_s(vm, group, True, now) != inf for vm in order
        )
        code = Code.OVER_CAPACITY if reaches_primary else Code.NO_PRIMARY
        detail = "no home can run it in time"
        return Refusal(code, detail, placed.retry_after_ms)

    def _note(self, group: str, placement: Placement, now: float) -> None:
        self._note_placement(group, placement.choice.value)
        if not placement.passed_over:
            return
        if now - self._logged_at.get(group, -inf) < LOG_INTERVAL_S:
            return
        self._logged_at[group] = now
        self._reports.forget_expired(now)
        is_finite = placement.wait_s != inf
        log_event(
            "home-passed-over",
            group=group,
            home=placement.passed_over,
            wait_ms=round(placement.wait_s * 1000) if is_finite else None,
            choice=placement.choice.value,
        )
