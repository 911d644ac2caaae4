"""Choose which VMs observe a group, and in which order they propose.

Load pattern: at 1,000 VMs and 1,300 groups, probes from every VM to
every member would be 3.9 million probes per round, and each target would
need 1,000 control connections where it has 32. Therefore at most
``OBSERVERS`` VMs observe a group, chosen by rendezvous hashing (Thaler
and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
1998). It spreads the groups evenly over the VMs without messages: every
VM computes the same choice from the same list of VMs. While the lists
differ, for some seconds, there are a few more observers; safety doesn't
depend on the choice, since a promotion needs a term claim.
"""

from collections.abc import Iterable, Sequence

from xxhash import xxh64_intdigest

from redwingpost.core import VmAddress

#: Observers of a group, at most. Of six, a majority of four remains if a
#: data centre with two of them is lost; more would only add probes.
OBSERVERS = 6


def _score(group: str, vm: str) -> int:
    return xxh64_intdigest(f"{group}\0{vm}".encode())


def _ranked(group: str, vms: Iterable[VmAddress]) -> list[VmAddress]:
    return sorted(vms, key=lambda vm: (-_score(group, vm.vm), vm.vm))


def choose_observers(
    group: str, vms: Sequence[VmAddress], limit: int = OBSERVERS
) -> tuple[VmAddress, ...]:
    """Return the VMs that observe ``group``, in order of proposing.

    The highest score of each data centre comes first, then the second
    highest of each. The first few are thus in different data centres, so
    that the loss of one data centre doesn't remove the next proposers.

    Parameters
    ----------
    group : str
        Name of the database group.
    vms : sequence of VmAddress
        The VMs that are considered alive.
    limit : int, optional
        Maximum number of observers.

    Returns
    -------
    tuple of VmAddress
        In order of rank: the first proposes at once, each later one
        ``STAGGER_S`` after the one before it.

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
        round_number = rounds_by_data_centre.get(vm.data_centre, 0)
        rounds_by_data_centre[vm.data_centre] = round_number + 1
        placed.append((round_number, rank, vm))
    placed.sort(key=lambda entry: entry[:2])
    return tuple(vm for _, _, vm in placed[:limit])


def rank_of(
    vm: str, group: str, vms: Sequence[VmAddress], limit: int = OBSERVERS
) -> int | None:
    """Return the rank of ``vm`` as a proposer, None if it's no observer.

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
