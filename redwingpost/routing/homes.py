"""Choice of the VMs that hold connections to a group's members.

Load pattern: a member accepts 32 or 50 connections from all VMs together.
Six VMs can share them; 1,000 VMs can't, and their status polls alone would
be 1,000 times 3,900 members. So each group has a few *home* VMs that connect
to its members. Every other VM forwards a statement to one of them, at the
cost of one more hop within the group's data centres.

Without homes, the first 32 VMs to connect would hold all connections, and
callers of the other VMs would be refused while the targets are idle.

``DEFAULT_HOMES`` is six, the number of VMs of present installations, so that
nothing is forwarded at that size. Six homes with five connections each to a
member fill its five slots six times over and stay below 32. Homes are chosen
by rendezvous hashing (Thaler and Ravishankar, 1998), without messages. Two
VMs whose lists differ for some seconds forward to different homes. This costs
connections but no consistency, since each home proves positions and terms
itself.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Protocol, TypeVar

from xxhash import xxh64_intdigest

from redwingpost.core import VmAddress
from redwingpost.membership.ranking import capacity_tier

#: Default number of VMs that hold connections to one group's members.
DEFAULT_HOMES = 6


#: Number of VMs up to which all of them are homes.
MAX_VMS_ALL_HOMES = 12

#: Minimum number of a group's homes: the loss of a data centre leaves several.
MIN_HOMES = 4

#: Connections for statements that a home should have to each member, at least.
#: An organisation without a connection of its own closes another's, and opens
#: one, which occupies a slot for as long as a statement. Few homes with many
#: connections each need fewer for the same organisations than many homes with
#: one or two each.
MIN_POOL_CONNECTIONS = 6

#: Connections of a member that are not planned for use: those of VMs that are
#: gone remain open there for seconds.
RESERVED_CONNECTIONS = 2


class VmPlacement(Protocol):
    """A VM with its name and its data centre."""

    @property
    def vm(self) -> str:
        """Name of the VM."""

    @property
    def data_centre(self) -> str:
        """Data centre of the VM."""


VmT = TypeVar("VmT", bound=VmPlacement)


class ForwardTarget(NamedTuple):
    """A home VM to forward to, and whether it is in this data centre."""

    vm: VmAddress
    is_near: bool


def count_homes(connections: int, slots: int, organisations: int) -> int:
    """Return how many homes a group needs, if there are enough VMs.

    Each organisation should have a connection of its own to each member.
    Besides, each home needs as many connections as the member has slots, for
    organisations with many statements, and one for its probes. More homes
    spread the work of a group, but with more than this number connections are
    opened anew for statements all the time. If a member accepts fewer
    connections than that, each home still gets ``MIN_POOL_CONNECTIONS``.

    Parameters
    ----------
    connections : int
        Connections that each member accepts, from all VMs together.
    slots : int
        Statements that a member runs at once.
    organisations : int
        Organisations with callers.

    Examples
    --------
    >>> count_homes(36, 2, 79), count_homes(75, 6, 73)
    (4, 10)
    >>> count_homes(270, 6, 79)
    27
    """
    available = connections - RESERVED_CONNECTIONS
    of_own_connections = (available - organisations) // (slots + 1)
    of_pools = available // (MIN_POOL_CONNECTIONS + 1)
    wanted = max(MAX_VMS_ALL_HOMES, of_own_connections)
    return max(MIN_HOMES, min(wanted, of_pools))


def order_homes(
    group: str, organisation: str, homes: Iterable[VmT]
) -> tuple[VmT, ...]:
    """Return a group's homes in the order in which to try them.

    The order depends on the organisation only, so that its statements use the
    same home, and the connections open there, whichever VM its callers reach.

    Parameters
    ----------
    group : str
        Name of the database group.
    organisation : str
        Organisation whose statement is to run.
    homes : iterable
        The group's homes.
    """
    subject = f"{group}\0{organisation}"
    ranked = sorted(homes, key=lambda vm: (-_score(subject, vm), vm.vm))
    return tuple(ranked)


def _score(subject: str, vm: VmPlacement) -> int:
    return xxh64_intdigest(f"home\0{subject}\0{vm.vm}".encode())


def choose_homes(
    group: str,
    data_centres: Iterable[str],
    vms: Iterable[VmT],
    limit: int = DEFAULT_HOMES,
    capacity: Callable[[VmT], float] = lambda vm: 1.0,
) -> tuple[VmT, ...]:
    """Return the home VMs of a group, best first.

    VMs in the data centres of the group's members come first, one of each
    data centre at a time, so that a home is near every member and the loss of
    a data centre leaves homes in the others. In a data centre those that can
    carry most come first.

    Parameters
    ----------
    group : str
        Name of the database group.
    data_centres : iterable of str
        Data centres of the group's members.
    vms : iterable
        VMs that count as alive.
    limit : int, optional
        Maximum number of homes.
    capacity : callable, optional
        Returns what a VM can carry; by default all are equal.

    Examples
    --------
    >>> vms = [
    ...     VmAddress(f"vm-{n}", f"dc-{n % 3}", "", 0, 0, 1)
    ...     for n in range(9)
    ... ]
    >>> homes = choose_homes("g", ("dc-0", "dc-1"), vms, limit=4)
    >>> sorted(vm.data_centre for vm in homes)
    ['dc-0', 'dc-0', 'dc-1', 'dc-1']
    """
    ranked = rank_for_homes(group, vms, capacity)
    return choose_ranked_homes(ranked, data_centres, limit)


def rank_for_homes(
    group: str, vms: Iterable[VmT], capacity: Callable[[VmT], float]
) -> tuple[VmT, ...]:
    """Return VMs in the order in which they are preferred as homes.

    The order of any two doesn't depend on the others, so that a subset may
    be taken from it.
    """

    def preference(vm: VmT) -> tuple[int, int, str]:
        return -capacity_tier(capacity(vm)), -_score(group, vm), vm.vm

    return tuple(sorted(vms, key=preference))


def choose_ranked_homes(
    vms: Iterable[VmT], data_centres: Iterable[str], limit: int
) -> tuple[VmT, ...]:
    """Return the homes among VMs that ``rank_for_homes`` has ordered."""
    preferred = frozenset(data_centres)
    count_by_data_centre: dict[str, int] = {}
    ranked = []
    for vm in vms:
        count = count_by_data_centre.get(vm.data_centre, 0)
        count_by_data_centre[vm.data_centre] = count + 1
        ranked.append(
            (vm.data_centre not in preferred, count, len(ranked), vm)
        )
    ranked.sort(key=lambda entry: entry[:3])
    return tuple(entry[3] for entry in ranked[:limit])


def choose_forward_targets(
    homes: Sequence[VmAddress], data_centre: str, session: str
) -> tuple[ForwardTarget, ...]:
    """Return a group's homes in the order in which to try them.

    Homes in this VM's data centre come first. Among them a session always
    gets the same one first, which has open connections and known positions.

    Parameters
    ----------
    homes : sequence of VmAddress
        The group's homes.
    data_centre : str
        Data centre of the forwarding VM.
    session : str
        Key by which sessions are spread: organisation and session.
    """
    ranked = sorted(homes, key=lambda vm: (-_score(session, vm), vm.vm))
    near = [vm for vm in ranked if vm.data_centre == data_centre]
    far = [vm for vm in ranked if vm.data_centre != data_centre]
    return tuple(
        [ForwardTarget(vm, True) for vm in near]
        + [ForwardTarget(vm, False) for vm in far]
    )
