"""A simulated fleet whose VMs lose contact, for tests of the rates."""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.membership.vm_table import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    OVERDUE_HEARTBEAT_S,
)
from redwingpost.rates.counters import Usage
from redwingpost.rates.usage import UsageLedger

STEP_S = 0.02
WINDOW_S = 5.0
STEPS_PER_CHECK = 5
STEPS_PER_HEARTBEAT = round(HEARTBEAT_INTERVAL_S / STEP_S)
HEARTBEATS_PER_FULL_REPORT = 10
#: Highest delay of a report (seconds): two gatherers and the network.
MAX_DELAY_S = 0.08
#: The same for a report that isn't urgent, where gatherers pass it on with
#: their own next heartbeats, two of them one after the other.
MAX_GATHERED_DELAY_S = MAX_DELAY_S + 2.0 * HEARTBEAT_INTERVAL_S
#: Fractions of the reports that arrive twice, and that arrive a second
#: time by way of a gatherer's rotation, long after.
REPEATED = 0.05
RELAYED = 0.05
MAX_RELAY_S = 3.0


class Organisation(NamedTuple):
    """A rule, and the operations a second that are sent to each VM."""

    rule: OrganisationRule
    sent_per_s: Callable[[int, float], float]


class Suspension(NamedTuple):
    """A VM that doesn't run for some seconds, or starts anew after them."""

    vm: int
    begin: float
    end: float
    is_restart: bool = False


class Operation(NamedTuple):
    """An operation that was offered, and whether it was admitted."""

    at: float
    vm: int
    is_admitted: bool


class _Report(NamedTuple):
    arrives_at: float
    number: int
    receiver: int
    sender: int
    boot: int
    usages: tuple[Usage, ...]
    is_heartbeat: bool


class _Vm:
    """One VM: its ledger, and when it last heard each of the others."""

    def __init__(self, number: int, vms: int, boot: int, now: float) -> None:
        self.number = number
        self.boot = boot
        self.ledger = UsageLedger(now)
        self.heard_at = [float("-inf")] * vms
        self.buffered: deque[_Report] = deque()

    def unheard(
        self, now: float, within_s: float = HEARTBEAT_TIMEOUT_S
    ) -> tuple[str, ...]:
        """Return the names of the VMs that aren't heard."""
        return tuple(
            f"vm-{number}"
            for number, heard_at in enumerate(self.heard_at)
            if number != self.number and now - heard_at > within_s
        )

    def part(self, now: float, within_s: float = HEARTBEAT_TIMEOUT_S) -> float:
        """Return the part of the VMs that is heard."""
        return 1.0 - len(self.unheard(now, within_s)) / len(self.heard_at)


class PartitionedFleet:
    """Ledgers that exchange counters over a network that may be cut.

    ``is_cut`` returns whether what the first VM sends to the second is
    lost at a time. With ``is_gathered`` reports go by way of gatherers.
    """

    def __init__(
        self,
        vms: int,
        organisations: tuple[Organisation, ...],
        is_cut: Callable[[int, int, float], bool],
        seed: int,
        suspensions: tuple[Suspension, ...] = (),
        is_gathered: bool = False,
    ) -> None:
        self._is_gathered = is_gathered
        self.organisations = organisations
        self.operations_by_organisation: dict[str, list[Operation]] = {
            item.rule.name: [] for item in organisations
        }
        self._is_cut = is_cut
        self._random = Random(seed)
        self._suspensions = suspensions
        self._reports: list[_Report] = []
        self._numbers = count()
        self.vms = [_Vm(number, vms, 1, 0.0) for number in range(vms)]
        self._phases = [
            self._random.randrange(STEPS_PER_HEARTBEAT) for _ in range(vms)
        ]
        for vm in self.vms:
            self._set_rules(vm)

    def _set_rules(self, vm: _Vm) -> None:
        rules = {item.rule.name: item.rule for item in self.organisations}
        vm.ledger.find_rule = rules.get

    def take_rules(self, organisations: tuple[Organisation, ...]) -> None:
        """Put rules and loads in force."""
        self.organisations = organisations
        for vm in self.vms:
            self._set_rules(vm)

    def play(self, begin: float, end: float) -> None:
        """Play from ``begin`` to ``end`` (seconds)."""
        for step in range(round(begin / STEP_S), round(end / STEP_S)):
            now = step * STEP_S
            self._deliver(now)
            for item in self._suspensions:
                if item.is_restart and item.end <= now < item.end + STEP_S:
                    boot = self.vms[item.vm].boot + 1
                    self._restart(item.vm, boot, now)
            for vm in self.vms:
                if self._suspension(vm, now) is None:
                    self._run(vm, step, now)

    def _suspension(self, vm: _Vm, now: float) -> Suspension | None:
        for item in self._suspensions:
            if item.vm == vm.number and item.begin <= now < item.end:
                return item
        return None

    def _restart(self, number: int, boot: int, now: float) -> None:
        vm = self.vms[number] = _Vm(number, len(self.vms), boot, now)
        self._set_rules(vm)

    def _run(self, vm: _Vm, step: int, now: float) -> None:
        while vm.buffered:
            self._receive(vm, vm.buffered.popleft(), now)
        parts = vm.part(now), vm.part(now, OVERDUE_HEARTBEAT_S)
        if step % STEPS_PER_CHECK == 0:
            vm.ledger.note_hearing(parts[0], vm.unheard(now), now, parts[1])
        for organisation in self.organisations:
            per_s = organisation.sent_per_s(vm.number, now)
            for _ in range(int(per_s * STEP_S + self._random.random())):
                self._offer(vm, organisation.rule, parts, now)
        if step % STEPS_PER_HEARTBEAT == self._phases[vm.number]:
            beat = step // STEPS_PER_HEARTBEAT
            is_full = beat % HEARTBEATS_PER_FULL_REPORT == 0
            self._report(vm, is_full, now, self._is_gathered)

    def _offer(
        self,
        vm: _Vm,
        rule: OrganisationRule,
        parts: tuple[float, float],
        now: float,
    ) -> None:
        is_admitted = vm.ledger.admit(rule, parts[0], now, parts[1])
        self.operations_by_organisation[rule.name].append(
            Operation(now, vm.number, is_admitted)
        )
        if vm.ledger.is_report_due(rule.name):
            self._report(vm, False, now)

    # Reports -----------------------------------------------------------

    def _report(
        self, vm: _Vm, is_full: bool, now: float, is_slow: bool = False
    ) -> None:
        max_delay_s = MAX_GATHERED_DELAY_S if is_slow else MAX_DELAY_S
        usages = vm.ledger.take_report(is_full, now)
        without_new = tuple(
            usage._replace(newly_used=0, newly_offered=0) for usage in usages
        )
        for receiver in range(len(self.vms)):
            if receiver == vm.number:
                continue
            is_cut = self._is_cut(vm.number, receiver, now)
            if not is_cut:
                self._send(vm, receiver, usages, now, max_delay_s, True)
                if self._random.random() < REPEATED:
                    self._send(vm, receiver, usages, now, max_delay_s, True)
            if self._random.random() < RELAYED:
                self._send(vm, receiver, without_new, now, MAX_RELAY_S, False)

    def _send(
        self,
        vm: _Vm,
        receiver: int,
        usages: tuple[Usage, ...],
        now: float,
        max_delay_s: float,
        is_heartbeat: bool,
    ) -> None:
        arrives_at = now + self._random.random() * max_delay_s
        if self._is_cut(vm.number, receiver, arrives_at):
            return
        report = _Report(
            arrives_at,
            next(self._numbers),
            receiver,
            vm.number,
            vm.boot,
            usages,
            is_heartbeat,
        )
        heappush(self._reports, report)

    def _deliver(self, now: float) -> None:
        while self._reports and self._reports[0].arrives_at <= now:
            report = heappop(self._reports)
            receiver = self.vms[report.receiver]
            suspension = self._suspension(receiver, now)
            if suspension is None:
                self._receive(receiver, report, now)
            elif not suspension.is_restart:
                receiver.buffered.append(report)

    def _receive(self, vm: _Vm, report: _Report, now: float) -> None:
        if report.is_heartbeat:
            vm.heard_at[report.sender] = now
        vm.ledger.note_peer(
            f"vm-{report.sender}", report.boot, report.usages, now
        )

    # Outcome -----------------------------------------------------------

    def most_in_a_window(self, organisation: str) -> int:
        """Return the largest number admitted in any five seconds."""
        times: deque[float] = deque()
        most = 0
        for item in self.operations_by_organisation[organisation]:
            if not item.is_admitted:
                continue
            times.append(item.at)
            while times[0] <= item.at - WINDOW_S:
                times.popleft()
            most = max(most, len(times))
        return most

    def served(self, organisation: str, begin: float, end: float) -> float:
        """Return the fraction of the operations that was admitted."""
        admitted = [
            item.is_admitted
            for item in self.operations_by_organisation[organisation]
            if begin <= item.at < end
        ]
        return sum(admitted) / len(admitted)

    def lowest_tokens(self, organisation: str) -> float:
        """Return the lowest of the VMs' estimates of a bucket."""
        return min(vm.ledger.view(organisation).tokens for vm in self.vms)
