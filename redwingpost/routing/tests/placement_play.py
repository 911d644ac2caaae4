"""A load play without network: homes of unequal capacity and demand."""

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from random import Random
from statistics import fmean
from typing import NamedTuple

from redwingpost.core import VmAddress
from redwingpost.routing.homes import order_homes
from redwingpost.routing.placement import Choice, Need, Placement, place

#: Seconds between a home's reports.
REPORT_INTERVAL_S = 0.1

#: Timeout and target latency of the statements (seconds).
TIMEOUT_S = 0.6
TARGET_S = 0.2

#: Seconds of one interval in which statements are counted by home.
INTERVAL_S = 0.2

Decide = Callable[[tuple[str, ...], dict[str, float], Need], Placement]


class PlayedLoad(NamedTuple):
    """Load of a play: homes, organisations and statements per second.

    ``load`` is the demand as a part of what all homes can carry together.
    """

    homes: int = 12
    organisations: int = 60
    load: float = 0.7
    seconds: float = 12.0


class Outcome(NamedTuple):
    """What the callers and the homes of a play got.

    ``served`` is the part of statements served in time, ``busiest`` the
    busiest home's utilisation above the mean of all (1.0 is equal).
    ``shift`` is the mean part of statements that went to other homes than
    in the interval before.
    """

    served: float
    busiest: float
    shift: float
    statements_by_choice: dict[Choice, int]


class _Home:
    """A queue that is served at a constant rate."""

    def __init__(self, vm: str, per_s: float, delay_s: float) -> None:
        self.vm = vm
        self.per_s = per_s
        self.delay_s = delay_s
        self.served = 0
        self._free_at = 0.0
        self._times: list[float] = []
        self._waits: list[float] = []

    def wait_s(self, now: float) -> float:
        """Return how long a new statement waits (seconds)."""
        return max(0.0, self._free_at - now)

    def report(self, now: float) -> None:
        """Send a report, which arrives after ``delay_s``."""
        self._times.append(now + self.delay_s)
        self._waits.append(self.wait_s(now))

    def reported_s(self, now: float) -> float | None:
        """Return the last report that has arrived, if any (seconds)."""
        index = bisect_right(self._times, now) - 1
        return None if index < 0 else self._waits[index]

    def run(self, now: float) -> bool:
        """Run a statement; return whether it is served in time."""
        if self.wait_s(now) + 1.0 / self.per_s > TIMEOUT_S:
            return False
        self._free_at = max(now, self._free_at) + 1.0 / self.per_s
        self.served += 1
        return True


def order_by_name(
    order: tuple[str, ...], wait_s_by_home: dict[str, float], need: Need
) -> Placement:
    """Use the organisation's first home whatever the homes report."""
    return Placement(order, Choice.FIRST)


def play(load: PlayedLoad, decide: Decide, seed: int) -> Outcome:
    """Return the outcome of a play; a seed gives all rules the same load."""
    random = Random(seed)
    homes = [
        _Home(f"vm-{n}", random.choice((40, 80, 160)), random.uniform(0, 0.3))
        for n in range(load.homes)
    ]
    home_by_vm = {home.vm: home for home in homes}
    addresses = [VmAddress(home.vm, "a", "", 0, 0, 1) for home in homes]
    names = [f"o{n}" for n in range(load.organisations)]
    weights = [1.0 / (1 + n) for n in range(load.organisations)]
    order_by_organisation = {
        name: tuple(vm.vm for vm in order_homes("g", name, addresses))
        for name in names
    }
    per_s = load.load * sum(home.per_s for home in homes)
    now = next_report = 0.0
    sent = in_time = 0
    choices: Counter[Choice] = Counter()
    sent_by_interval: list[Counter[str]] = []
    while now < load.seconds:
        now += random.expovariate(per_s)
        while next_report <= now:
            for home in homes:
                home.report(next_report)
            next_report += REPORT_INTERVAL_S
        organisation = random.choices(names, weights)[0]
        draw = random.random()
        reports = {home.vm: home.reported_s(now) for home in homes}
        known = {vm: s for vm, s in reports.items() if s is not None}
        placement = decide(
            order_by_organisation[organisation],
            known,
            Need(TIMEOUT_S, TARGET_S, draw),
        )
        choices[placement.choice] += 1
        sent += 1
        if not placement.homes:
            continue
        chosen = home_by_vm[placement.homes[0]]
        in_time += chosen.run(now)
        while len(sent_by_interval) <= int(now / INTERVAL_S):
            sent_by_interval.append(Counter())
        sent_by_interval[-1][chosen.vm] += 1
    used = [home.served / home.per_s for home in homes]
    return Outcome(
        in_time / sent,
        max(used) / fmean(used),
        _mean_shift(sent_by_interval),
        dict(choices),
    )


def _mean_shift(sent_by_interval: list[Counter[str]]) -> float:
    """Return how far the homes' parts of statements move, on average."""
    shifts = []
    for before, after in zip(
        sent_by_interval, sent_by_interval[1:], strict=False
    ):
        total_before, total_after = before.total(), after.total()
        shifts.append(
            sum(
                abs(before[vm] / total_before - after[vm] / total_after)
                for vm in before.keys() | after.keys()
            )
            / 2.0
        )
    return fmean(shifts)


def place_all(
    order: tuple[str, ...], wait_s_by_home: dict[str, float], need: Need
) -> Placement:
    """Place as ``place``, but move all statements of a loaded home."""
    return place(order, wait_s_by_home, need._replace(draw=0.0))
