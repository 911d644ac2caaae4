"""Choose which VMs watch a group, and who of them proposes first.

Load pattern: at 1,000 VMs and 1,300 groups, probes from every VM to
every member would be 3.9 million probes per round, and each target would
hold 1,000 control connections of its 32. Here at most ``OBSERVERS`` VMs
watch a group, and rendezvous hashing (Thaler and Ravishankar, "Using
Name-Based Mappings to Increase Hit Rates", 1998) spreads the groups
evenly over the VMs without any message: everyone computes the same
choice from the same list of VMs. Lists that differ for some seconds cost
a few more observers, never safety: the term claim decides.
"""

from collections.abc import Iterable, Sequence

from xxhash import xxh64_intdigest

from redwingpost.core import VmAddress

#: Six see a majority of four through the loss of one data centre with
#: two observers; more would only cost probes.
OBSERVERS = 6


def _score(group: str, vm: str) -> int:
    return xxh64_intdigest(f"{group}\0{vm}".encode())


def _ranked(group: str, vms: Iterable[VmAddress]) -> list[VmAddress]:
    return sorted(vms, key=lambda vm: (-_score(group, vm.vm), vm.vm))


def choose_observers(
    group: str, vms: Sequence[VmAddress], limit: int = OBSERVERS
) -> tuple[VmAddress, ...]:
    """Return the VMs that watch ``group``, first proposer first.

    The best of each data centre come first, then the second best of
    each, so that the first few lie in different data centres and the
    loss of one of these doesn't take the next proposers with it.

    Parameters
    ----------
    group : str
        Name of the database group.
    vms : sequence of VmAddress
        The VMs believed alive.
    limit : int, optional
        How many to choose at most.

    Returns
    -------
    tuple of VmAddress
        In order of rank: the first proposes at once, later ones after
        a stagger.

    Examples
    --------
    >>> vms = [
    ...     VmAddress(f"vm-{n}", f"dc-{n % 2}", "", 0, 0, 1)
    ...     for n in range(4)
    ... ]
    >>> chosen = choose_observers("catalogue-1", vms, limit=2)
    >>> sorted(vm.data_centre for vm in chosen)
    ['dc-0', 'dc-1']
    """
    rounds_by_data_centre: dict[str, int] = {}
    placed: list[tuple[int, int, VmAddress]] = []
    for rank, vm in enumerate(_ranked(group, vms)):
        turn = rounds_by_data_centre.get(vm.data_centre, 0)
        rounds_by_data_centre[vm.data_centre] = turn + 1
        placed.append((turn, rank, vm))
    placed.sort(key=lambda entry: entry[:2])
    return tuple(vm for _, _, vm in placed[:limit])


def rank_of(
    vm: str, group: str, vms: Sequence[VmAddress], limit: int = OBSERVERS
) -> int | None:
    """Return the proposer's rank of ``vm``, or None for no observer.

    Examples
    --------
    >>> vms = [VmAddress("vm-1", "dc-1", "", 0, 0, 1)]
    >>> rank_of("vm-1", "catalogue-1", vms), rank_of("x", "g", vms)
    (0, None)
    """
    for rank, chosen in enumerate(choose_observers(group, vms, limit)):
        if chosen.vm == vm:
            return rank
    return None
