"""Choose the VMs that hold connections to a group's members.

Load pattern: a member takes 32 or 50 connections from all VMs together.
Six VMs share them; 1,000 VMs can't, and their status polls alone would
be 1,000 times 3,900 members. Each group therefore has a few *home* VMs
that connect to its members; every other VM forwards a statement to one
of them, one hop more within the group's data centres.

Without it, the first 32 VMs to come would hold all connections, and the
callers of the rest would be refused while the targets stand idle.

Grounds: ``HOMES`` is six, as many VMs as each user runs today, so that
nothing is forwarded at that size; six homes with five connections to a
member fill its five slots six times over and stay below 32. Homes are
picked by rendezvous hashing (Thaler and Ravishankar, 1998), without a
message; two VMs with different lists for some seconds forward to
different homes, which costs connections but breaks no promise, since
every home proves positions and terms itself.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol, TypeVar

from xxhash import xxh64_intdigest

from redwingpost.core import VmAddress

#: VMs that hold connections to one group's members.
HOMES = 6


#: Homes of a group at least: all VMs of a small fleet, and enough that the
#: loss of a data centre leaves several, each with few organisations.
MIN_HOMES = 12

#: Connections of a member that nobody plans on: those of VMs that are gone
#: linger there for seconds.
RESERVE = 2


class Place(Protocol):
    """A VM with its name and its data centre."""

    @property
    def vm(self) -> str:
        """Its name."""

    @property
    def data_centre(self) -> str:
        """Where it stands."""


PlaceT = TypeVar("PlaceT", bound=Place)


class ForwardTarget(NamedTuple):
    """A home VM to forward to, and whether it is in our data centre."""

    vm: VmAddress
    is_near: bool


def count_homes(connections: int, slots: int, organisations: int) -> int:
    """Return how many homes a group has, where there are as many VMs.

    Each organisation should find a connection of its own at each member,
    and each home needs as many besides as the member has slots, for those
    that ask much, and one for its questions. More homes share the work of
    a group; with more than this, connections are opened for statements
    again and again.

    Parameters
    ----------
    connections : int
        That each member takes, from all VMs together.
    slots : int
        Statements that a member runs at once.
    organisations : int
        With callers.

    Examples
    --------
    >>> count_homes(75, 6, 73), count_homes(270, 6, 79)
    (12, 27)
    """
    spare = connections - RESERVE - organisations
    return max(MIN_HOMES, spare // (slots + 1))


def order_homes(
    group: str, organisation: str, homes: Iterable[PlaceT]
) -> tuple[PlaceT, ...]:
    """Return a group's homes in the order in which to try them.

    An organisation keeps to one home, whichever VM its callers reach: there
    it finds connections of its own.

    Parameters
    ----------
    group : str
        Name of the database group.
    organisation : str
        Whose statement is to run.
    homes : iterable
        The group's homes.
    """
    subject = f"{group}\0{organisation}"
    ranked = sorted(homes, key=lambda vm: (-_score(subject, vm), vm.vm))
    return tuple(ranked)


def _score(group: str, vm: Place) -> int:
    return xxh64_intdigest(f"home\0{group}\0{vm.vm}".encode())


def choose_homes(
    group: str,
    data_centres: Iterable[str],
    vms: Iterable[PlaceT],
    limit: int = HOMES,
) -> tuple[PlaceT, ...]:
    """Return the home VMs of a group, best first.

    VMs in the data centres of the group's members come first, one of
    each data centre in turn, so that a home is near to every member and
    the loss of a data centre leaves homes in the others.

    Parameters
    ----------
    group : str
        Name of the database group.
    data_centres : iterable of str
        Where the group's members are.
    vms : iterable
        The VMs believed alive.
    limit : int, optional
        How many to choose at most.

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
    wanted = frozenset(data_centres)
    turns_by_data_centre: dict[str, int] = {}
    placed = []
    for vm in sorted(vms, key=lambda vm: (-_score(group, vm), vm.vm)):
        turn = turns_by_data_centre.get(vm.data_centre, 0)
        turns_by_data_centre[vm.data_centre] = turn + 1
        placed.append((vm.data_centre not in wanted, turn, len(placed), vm))
    placed.sort(key=lambda entry: entry[:3])
    return tuple(entry[3] for entry in placed[:limit])


def choose_forward_targets(
    homes: Sequence[VmAddress], data_centre: str, session: str
) -> tuple[ForwardTarget, ...]:
    """Return homes in the order in which to try them.

    Homes in the caller's data centre first. Within these a session keeps
    to one home, whose warm connections and known positions then serve it.

    Parameters
    ----------
    homes : sequence of VmAddress
        The group's homes.
    data_centre : str
        Where the forwarding VM is.
    session : str
        What to spread by: organisation and session.
    """
    ranked = sorted(homes, key=lambda vm: (-_score(session, vm), vm.vm))
    near = [vm for vm in ranked if vm.data_centre == data_centre]
    far = [vm for vm in ranked if vm.data_centre != data_centre]
    return tuple(
        [ForwardTarget(vm, True) for vm in near]
        + [ForwardTarget(vm, False) for vm in far]
    )
