"""Who gathers heartbeats, so that each VM sends and takes in few of them.

Load pattern: a fleet of hundreds of VMs on small machines. Told each to
each, heartbeats are the square of their number: at 200 VMs each takes in
800 a second, does nothing else, and callers wait.

So a data centre's VMs report to a few *gatherers* among them. A gatherer
tells the gatherers of all other places what its VMs say, and its VMs what
all say. A VM sends and takes in ``GATHERERS`` datagrams a heartbeat, a
gatherer one for each VM of its cell and ``GATHERERS`` for each other
cell. A large data centre is divided into cells of at most ``CELL_VMS``,
which treat each other like data centres.

Nobody is appointed. Every VM ranks the VMs of a cell in the same order and
turns to the first that answer; who is turned to gathers. A gatherer that
dies, is suspended, cut off or stopped is left after ``SUSPECT_AFTER_S``,
and meanwhile the other one has told everything. A VM that hears no other
finds itself to be the first. Two that gather without need cost some
datagrams and nothing else, since all that they tell merges the same.

A small fleet needs none of it: where that is no more work, each tells each
(``is_direct_cheaper``), which is one step less for whatever is told.
"""

from collections.abc import Iterable

from redwingpost.membership.heartbeat import VmAddress, vm_number
from redwingpost.membership.ranking import rank_vms

#: Gatherers of a cell: one more than must be there.
GATHERERS = 2

#: Heartbeats that are as much work as a gatherer's digest, for who packs
#: and for who reads it.
DIGEST_WEIGHT = 3

#: VMs of a cell, at most: what a gatherer of half a core tells within a
#: few percent of its time.
CELL_VMS = 48

#: Seconds without an answer after which a gatherer is left for the next:
#: two heartbeats, and the way of one.
SUSPECT_AFTER_S = 0.6

#: Seconds for which it is left before it is tried again.
RETRY_S = 2.0

#: Seconds within which a VM reported that counts as reporting.
REPORTS_S = 1.0

#: Seconds without a word of its own cell after which a VM gathers for
#: itself: two gatherers after each other have been silent by then.
ALONE_S = 2 * SUSPECT_AFTER_S


class Cells:
    """VMs by cell, in the order in which they are turned to.

    Examples
    --------
    >>> cells = Cells()
    >>> cells.set_listed([VmAddress(f"v{n}", "ip", 1, "a") for n in range(3)])
    >>> cells.names()
    ('a/0',)
    >>> len(cells.ranked("a/0"))
    3
    """

    def __init__(self) -> None:
        self._cell_by_vm: dict[str, str] = {}
        self._ranked_by_cell: dict[str, tuple[str, ...]] = {}

    def set_listed(self, addresses: Iterable[VmAddress]) -> None:
        """Divide the listed VMs into cells."""
        vms_by_centre: dict[str, list[str]] = {}
        for address in addresses:
            vms_by_centre.setdefault(address.data_centre, []).append(
                address.vm
            )
        self._cell_by_vm = {
            vm: f"{centre}/{vm_number(vm) % _cells_of(len(vms))}"
            for centre, vms in vms_by_centre.items()
            for vm in vms
        }
        vms_by_cell: dict[str, list[str]] = {}
        for vm, cell in self._cell_by_vm.items():
            vms_by_cell.setdefault(cell, []).append(vm)
        self._ranked_by_cell = {
            cell: rank_vms(cell, vms) for cell, vms in vms_by_cell.items()
        }

    def cell_of(self, vm: str) -> str | None:
        """Return a VM's cell; None while it isn't listed."""
        return self._cell_by_vm.get(vm)

    def names(self) -> tuple[str, ...]:
        """Return all cells."""
        return tuple(self._ranked_by_cell)

    def ranked(self, cell: str) -> tuple[str, ...]:
        """Return a cell's VMs, the one to turn to at the front."""
        return self._ranked_by_cell.get(cell, ())


def _cells_of(vms: int) -> int:
    return -(-vms // CELL_VMS)


def is_direct_cheaper(vms: int, cells: int) -> bool:
    """Say whether VMs should tell each other each to each.

    Parameters
    ----------
    vms, cells : int
        How many there are.

    Examples
    --------
    >>> is_direct_cheaper(7, 3), is_direct_cheaper(18, 6)
    (True, True)
    >>> is_direct_cheaper(62, 3), is_direct_cheaper(195, 6)
    (False, False)
    """
    reports = 2 * GATHERERS * vms
    between = GATHERERS * cells * GATHERERS * (cells - 1)
    return vms * (vms - 1) <= DIGEST_WEIGHT * (reports + between)


class Suspicions:
    """VMs that were told something and say nothing.

    Examples
    --------
    >>> suspicions = Suspicions()
    >>> suspicions.note_sent("a", now=1.0)
    >>> suspicions.is_suspect("a", now=1.5), suspicions.is_suspect("a", 1.6)
    (False, True)
    >>> suspicions.note_heard("a"), suspicions.is_suspect("a", now=1.7)
    (True, False)
    """

    def __init__(self) -> None:
        self._unanswered_since: dict[str, float] = {}
        self._suspect_until: dict[str, float] = {}

    def note_sent(self, vm: str, now: float) -> None:
        """Note that a VM was told something and should answer."""
        self._unanswered_since.setdefault(vm, now)

    def note_heard(self, vm: str) -> bool:
        """Note that a VM was heard; say whether it had been left."""
        self._unanswered_since.pop(vm, None)
        return self._suspect_until.pop(vm, None) is not None

    def is_suspect(self, vm: str, now: float) -> bool:
        """Say whether a VM should be left for another."""
        if now < self._suspect_until.get(vm, now):
            return True
        since = self._unanswered_since.get(vm)
        if since is None or now - since < SUSPECT_AFTER_S:
            return False
        del self._unanswered_since[vm]
        self._suspect_until[vm] = now + RETRY_S
        return True

    def forgive(self, vms: Iterable[str]) -> None:
        """Let VMs be tried again at once."""
        for vm in vms:
            self.note_heard(vm)


class Gathering:
    """Whom one VM tells what, as it sees the fleet.

    Parameters
    ----------
    vm : str
        This VM.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._cells = Cells()
        self._suspicions = Suspicions()
        self._address_by_vm: dict[str, VmAddress] = {}
        self._is_direct = True
        self.has_list = False
        #: Whether this VM wasn't on the list as it was first read.
        self.is_new = False
        self._near_heard_at: float | None = None
        self._reported_at: dict[str, float] = {}
        self._gathers_at: dict[str, float] = {}

    @property
    def cell(self) -> str | None:
        """Return this VM's cell; None while it isn't listed itself."""
        return self._cells.cell_of(self._vm)

    @property
    def is_direct(self) -> bool:
        """Return whether the fleet is small enough to do without."""
        return self.cell is None or self._is_direct

    def set_listed(self, addresses: tuple[VmAddress, ...]) -> None:
        """Take in the list of VMs."""
        if not self.has_list:
            self.is_new = all(item.vm != self._vm for item in addresses)
        self.has_list = True
        self._address_by_vm = {item.vm: item for item in addresses}
        self._cells.set_listed(addresses)
        cells = len(self._cells.names())
        self._is_direct = is_direct_cheaper(len(addresses), cells)

    def note_report(self, vm: str, now: float) -> None:
        """Take in that a VM reported here."""
        self._note_heard(vm, now)
        self._reported_at[vm] = now

    def note_digest(self, vm: str, now: float) -> None:
        """Take in that a gatherer told what it has."""
        self._note_heard(vm, now)
        self._gathers_at[vm] = now

    def note_sent(self, vms: Iterable[str], now: float) -> None:
        """Note whom this VM has told something."""
        for vm in vms:
            self._suspicions.note_sent(vm, now)

    def gathers(self, now: float) -> bool:
        """Say whether this VM gathers for others, or for itself alone."""
        if self._vm in self._own(now) or self.reporters(now):
            return True
        # Counted from the first time that this is asked.
        if self._near_heard_at is None:
            self._near_heard_at = now
        return now - self._near_heard_at > ALONE_S

    def reporters(self, now: float) -> tuple[VmAddress, ...]:
        """Return the VMs that this one tells what all say."""
        return self._addresses(
            vm for vm, at in self._reported_at.items() if now - at <= REPORTS_S
        )

    def gatherers(self, now: float) -> tuple[VmAddress, ...]:
        """Return whom this VM reports to, the first first.

        Those that rank first are told even while they are left for others:
        a VM whose cut has healed is back with its neighbours at once.
        """
        wanted = dict.fromkeys((*self._own(now), *self._top(self.cell or "")))
        wanted.pop(self._vm, None)
        return self._addresses(wanted)

    def far_gatherers(self, now: float) -> tuple[VmAddress, ...]:
        """Return the gatherers of the other cells.

        Besides those that rank first, any that have just told something:
        they may see another list.
        """
        wanted = dict.fromkeys(
            vm
            for cell in self._cells.names()
            if cell != self.cell
            for vm in (*self._chosen(cell, now), *self._top(cell))
        )
        for vm, at in self._gathers_at.items():
            if now - at <= REPORTS_S and self._cells.cell_of(vm) != self.cell:
                wanted[vm] = None
        return self._addresses(wanted)

    def _top(self, cell: str) -> tuple[str, ...]:
        return self._cells.ranked(cell)[:GATHERERS]

    def _own(self, now: float) -> tuple[str, ...]:
        return self._chosen(self.cell or "", now)

    def _chosen(self, cell: str, now: float) -> tuple[str, ...]:
        chosen = []
        for vm in self._cells.ranked(cell):
            if vm != self._vm and self._suspicions.is_suspect(vm, now):
                continue
            chosen.append(vm)
            if len(chosen) == GATHERERS:
                break
        return tuple(chosen)

    def _note_heard(self, vm: str, now: float) -> None:
        """Trust a VM; its whole cell if it had been left itself.

        A cut that has healed shows first in whoever is heard first. Left
        aside until their time is over, the others would be missing in
        what this VM knows of the fleet for two seconds more.
        """
        cell = self._cells.cell_of(vm)
        if cell is not None and cell == self.cell:
            self._near_heard_at = now
        if not self._suspicions.note_heard(vm):
            return
        self._suspicions.forgive(self._cells.ranked(cell or ""))

    def _addresses(self, vms: Iterable[str]) -> tuple[VmAddress, ...]:
        return tuple(
            self._address_by_vm[vm] for vm in vms if vm in self._address_by_vm
        )
