"""Base parts of all rates: one row of the table service, always whole.

Load pattern: VMs join, leave, die and are replaced at any time, a
hundred and more on a busy day. Without a roster two VMs would hold the
same part; with one that lapses by itself, a store outage would refuse
every organisation.

The row lists for each VM its parts per million (the same of every
organisation) and the incarnation of the agent that claimed them. The
parts always sum to one whole. A VM's parts change in three ways only:

- its own agent hands them over, after its proxy has stopped spending
  them (`HAND_OVER_S`);
- the platform's list says for `GONE_S` that the VM is gone;
- a newer incarnation of the same VM claims them.

A holder that can't reach the store keeps its parts for `OUTAGE_S`: no
grant can change while the store is down, and a data centre that is cut
off goes on with its part. What this costs: a VM that is neither gone nor
alive (paused, cut off) strands its part until it comes back; loans by
other VMs don't replace it.
"""

from typing import Any, NamedTuple

from redwingpost.rates.bucket import WHOLE
from redwingpost.rates.loans import QUARANTINE_S

#: Seconds that a base part stays valid at a proxy after its agent's last
#: word. A pause longer than that wakes up without a share; an agent that
#: restarts within it goes unnoticed.
BASE_VALID_S = 4.0

#: Seconds between an agent's lowering of its proxy's base and the write
#: that gives the difference away: the proxy's last valid word and every
#: loan made from it have lapsed by then.
HAND_OVER_S = BASE_VALID_S + QUARANTINE_S + 0.4

#: Seconds that a VM must be missing from the platform's list, having
#: been on it, before its parts are granted again: longer than its own
#: proxy could go on with its agent's last word and its loans.
GONE_S = BASE_VALID_S + QUARANTINE_S + 0.4

#: Seconds that an agent vouches for its part without reading the row.
OUTAGE_S = 600.0

#: An agent that did not run for this long was paused: another VM may
#: have been granted its part, so it reads the row before it vouches.
PAUSED_S = 2.0

#: A VM hands over only what it holds beyond its equal part by this many
#: parts, so that rounding causes no writes.
SLACK = 100


class Holder(NamedTuple):
    """A VM's entry; incarnation 0 stands for not yet claimed."""

    parts: int
    incarnation: int


Roster = dict[str, Holder]


def parse(value: dict[str, Any] | None) -> Roster:
    """Return the roster that a row's value holds."""
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
        If the parts don't sum to one whole: writing it would create or
        destroy rate for the whole fleet.
    """
    total = sum(holder.parts for holder in roster.values())
    if roster and total != WHOLE:
        raise ValueError(f"the roster sums to {total}, not {WHOLE}")
    return {"holders": {vm: h._asdict() for vm, h in sorted(roster.items())}}


def equal_parts(vms: list[str]) -> dict[str, int]:
    """Split one whole over the VMs; the first ones get the remainder.

    Examples
    --------
    >>> equal_parts(["a", "b", "c"])
    {'a': 333334, 'b': 333333, 'c': 333333}
    """
    if not vms:
        return {}
    each, left = divmod(WHOLE, len(vms))
    return {
        vm: each + (1 if place < left else 0)
        for place, vm in enumerate(sorted(vms))
    }


def found(vms: list[str]) -> Roster:
    """Return the first roster: equal parts for all listed VMs."""
    return {vm: Holder(p, 0) for vm, p in equal_parts(vms).items()}


def claim(roster: Roster, vm: str, incarnation: int) -> Roster:
    """Return the roster with the VM's part held by this incarnation.

    A VM that isn't on it joins without parts; the others hand over
    theirs. An older incarnation than the one on the row claims nothing.
    """
    held = roster.get(vm, Holder(0 if roster else WHOLE, 0))
    if held.incarnation > incarnation:
        return roster
    return {**roster, vm: held._replace(incarnation=incarnation)}


def excess(roster: Roster, vm: str) -> int:
    """Return the parts that a VM should hand over to the others."""
    if vm not in roster:
        return 0
    more = roster[vm].parts - equal_parts(list(roster))[vm]
    return more if more > SLACK else 0


def hand_over(roster: Roster, vm: str, parts: int) -> Roster:
    """Return the roster with ``parts`` of a VM moved to the others.

    They go where least is held, so that a joining VM gets them first.
    """
    others = [name for name in roster if name != vm]
    if vm not in roster or not others:
        return roster
    parts = min(parts, roster[vm].parts)
    moved = {**roster, vm: roster[vm]._replace(parts=roster[vm].parts - parts)}
    targets = equal_parts(list(roster))
    for name in sorted(others, key=lambda n: (moved[n].parts, n)):
        room = max(0, targets[name] - moved[name].parts)
        given = min(room, parts)
        parts -= given
        moved[name] = moved[name]._replace(parts=moved[name].parts + given)
    return _spread(moved, others, parts)


def remove(roster: Roster, vm: str) -> Roster:
    """Return the roster without a VM that handed over or is gone."""
    if vm not in roster or len(roster) == 1:
        return roster
    moved = {name: h for name, h in roster.items() if name != vm}
    return _spread(moved, list(moved), roster[vm].parts)


def gone_vms(
    roster: Roster, missing_since_by_vm: dict[str, float], now: float
) -> list[str]:
    """Return the holders that the platform's list has long dropped."""
    return sorted(
        vm
        for vm, since in missing_since_by_vm.items()
        if vm in roster and now - since >= GONE_S
    )


def vouched_parts(
    roster: Roster,
    vm: str,
    incarnation: int,
    read_at: float,
    last_tick_at: float,
    now: float,
) -> int:
    """Return the parts that an agent may vouch for to its proxy.

    Zero where another incarnation holds them, where the row was read too
    long ago, or where the agent itself was paused since its last tick.
    """
    holder = roster.get(vm)
    if holder is None or holder.incarnation != incarnation:
        return 0
    if now - read_at > OUTAGE_S or now - last_tick_at > PAUSED_S:
        return 0
    return holder.parts


def _spread(roster: Roster, names: list[str], parts: int) -> Roster:
    each, left = divmod(parts, len(names))
    spread = dict(roster)
    for place, name in enumerate(sorted(names)):
        more = each + (1 if place < left else 0)
        spread[name] = spread[name]._replace(parts=spread[name].parts + more)
    return spread
