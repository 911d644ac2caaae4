"""Base parts of all VMs, kept in one row of the table service.

Load pattern: VMs join, leave, die and are replaced at any time, a
hundred and more on a busy day. Without a roster two VMs would hold the
same parts; if the roster expired by itself, every organisation would be
refused during a store outage.

The row lists for each VM its parts per million (the same for every
organisation) and the incarnation of the agent that claimed them. The
parts always sum to ``TOTAL_PARTS``. A VM's parts change in three ways
only:

- its own agent hands them over, after its proxy has stopped spending
  them (``HAND_OVER_S``);
- the VM has been missing from the platform's list for ``GONE_S``;
- a newer incarnation of the same VM claims them.

A holder that can't reach the store keeps its parts for ``MAX_ROW_AGE_S``:
the assignment can't change while the store is down, and a data centre
that is cut off continues with its parts. The cost: the parts of a VM
that is paused or cut off stay unused until it returns; loans from other
VMs don't replace them.
"""

from typing import Any, NamedTuple

from redwingpost.rates.bucket import TOTAL_PARTS
from redwingpost.rates.loans import QUARANTINE_S

#: Seconds that base parts stay valid at a proxy after its agent last
#: confirmed them. A VM that was paused for longer resumes without its
#: parts; an agent restart that takes less has no effect.
BASE_VALID_S = 4.0

#: Seconds from the time when an agent lowers its proxy's base parts to
#: the write that assigns the difference to other VMs. By then the last
#: confirmation of the higher value and all loans made from it have
#: expired.
HAND_OVER_S = BASE_VALID_S + QUARANTINE_S + 0.4

#: Seconds that a VM must be missing from the platform's list, having
#: been on it, before its parts are assigned to other VMs: longer than
#: its proxy can use the agent's last confirmation and the loans from it.
GONE_S = BASE_VALID_S + QUARANTINE_S + 0.4

#: Seconds since the row was read for which an agent confirms its parts.
MAX_ROW_AGE_S = 600.0

#: An agent that did not run for this many seconds was paused. Another VM
#: may have received its parts, so it reads the row before it confirms
#: them again.
MAX_TICK_GAP_S = 2.0

#: Parts by which a VM must exceed its equal share before it hands over
#: the excess, so that rounding causes no writes.
SLACK_PARTS = 100


class Holder(NamedTuple):
    """A VM's entry; incarnation 0 means not yet claimed."""

    parts: int
    incarnation: int


Roster = dict[str, Holder]


def parse(value: dict[str, Any] | None) -> Roster:
    """Return the roster stored in a row's value."""
    holders = (value or {}).get("holders", {})
    return {
        vm: Holder(int(entry["parts"]), int(entry["incarnation"]))
        for vm, entry in holders.items()
    }


def render(roster: Roster) -> dict[str, Any]:
    """Return the row's value for a roster.

    Raises
    ------
    ValueError
        If the parts don't sum to ``TOTAL_PARTS``: writing them would
        change the rate that the fleet as a whole grants.
    """
    total = sum(holder.parts for holder in roster.values())
    if roster and total != TOTAL_PARTS:
        raise ValueError(f"roster parts sum to {total}, not {TOTAL_PARTS}")
    return {"holders": {vm: h._asdict() for vm, h in sorted(roster.items())}}


def equal_parts(vms: list[str]) -> dict[str, int]:
    """Split ``TOTAL_PARTS`` equally; the first VMs get the remainder.

    Examples
    --------
    >>> equal_parts(["a", "b", "c"])
    {'a': 333334, 'b': 333333, 'c': 333333}
    """
    if not vms:
        return {}
    each, remainder = divmod(TOTAL_PARTS, len(vms))
    return {
        vm: each + (1 if index < remainder else 0)
        for index, vm in enumerate(sorted(vms))
    }


def initial_roster(vms: list[str]) -> Roster:
    """Return the first roster: equal parts for all listed VMs."""
    return {vm: Holder(p, 0) for vm, p in equal_parts(vms).items()}


def claim(roster: Roster, vm: str, incarnation: int) -> Roster:
    """Return the roster with the VM's parts held by this incarnation.

    A VM that isn't listed joins without parts and receives them when the
    others hand over theirs. An incarnation older than the one in the row
    claims nothing.
    """
    held = roster.get(vm, Holder(0 if roster else TOTAL_PARTS, 0))
    if held.incarnation > incarnation:
        return roster
    return {**roster, vm: held._replace(incarnation=incarnation)}


def excess_parts(roster: Roster, vm: str) -> int:
    """Return the parts that a VM should hand over to the others."""
    if vm not in roster:
        return 0
    extra = roster[vm].parts - equal_parts(list(roster))[vm]
    return extra if extra > SLACK_PARTS else 0


def hand_over(roster: Roster, vm: str, parts: int) -> Roster:
    """Return the roster with ``parts`` of a VM moved to the others.

    The VMs that hold the fewest parts receive first, so that a VM that
    joins gets them before the others.
    """
    others = [name for name in roster if name != vm]
    if vm not in roster or not others:
        return roster
    parts = min(parts, roster[vm].parts)
    moved = {**roster, vm: roster[vm]._replace(parts=roster[vm].parts - parts)}
    equal_parts_by_vm = equal_parts(list(roster))
    for name in sorted(others, key=lambda n: (moved[n].parts, n)):
        missing = max(0, equal_parts_by_vm[name] - moved[name].parts)
        given = min(missing, parts)
        parts -= given
        moved[name] = moved[name]._replace(parts=moved[name].parts + given)
    return _spread(moved, others, parts)


def remove(roster: Roster, vm: str) -> Roster:
    """Return the roster without a VM, its parts spread over the others."""
    if vm not in roster or len(roster) == 1:
        return roster
    moved = {name: h for name, h in roster.items() if name != vm}
    return _spread(moved, list(moved), roster[vm].parts)


def gone_vms(
    roster: Roster, missing_since_by_vm: dict[str, float], now: float
) -> list[str]:
    """Return the holders missing from the platform's list for ``GONE_S``."""
    return sorted(
        vm
        for vm, since in missing_since_by_vm.items()
        if vm in roster and now - since >= GONE_S
    )


def confirmed_parts(
    roster: Roster,
    vm: str,
    incarnation: int,
    read_at: float,
    last_tick_at: float,
    now: float,
) -> int:
    """Return the parts that an agent may confirm to its proxy.

    Zero if another incarnation holds them, if the row was read too long
    ago, or if the agent itself was paused since its last tick.
    """
    holder = roster.get(vm)
    if holder is None or holder.incarnation != incarnation:
        return 0
    if now - read_at > MAX_ROW_AGE_S or now - last_tick_at > MAX_TICK_GAP_S:
        return 0
    return holder.parts


def _spread(roster: Roster, names: list[str], parts: int) -> Roster:
    each, remainder = divmod(parts, len(names))
    spread = dict(roster)
    for index, name in enumerate(sorted(names)):
        extra = each + (1 if index < remainder else 0)
        spread[name] = spread[name]._replace(parts=spread[name].parts + extra)
    return spread
