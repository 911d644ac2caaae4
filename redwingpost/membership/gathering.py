"""Selection of gatherers, which limits the heartbeats that a VM handles.

Load pattern: a fleet of hundreds of small VMs. If each VM sends heartbeats
to each other, their number grows with the square of the number of VMs: at
200 VMs each receives 800 a second, has no time for anything else, and
callers wait.

So the VMs of a data centre report to a few *gatherers* among them. A
gatherer sends a digest of its VMs' heartbeats to the gatherers of all
other data centres, and a digest of the whole fleet to its VMs. Per
heartbeat interval a VM sends and receives ``GATHERERS`` datagrams, a
gatherer one for each VM of its cell and ``GATHERERS`` for each other
cell. A large data centre is divided into cells of at most ``CELL_VMS``
VMs on average, which treat each other like data centres.

There is no election. Every VM ranks the VMs of a cell in the same order,
those that can carry most first, and reports to the first ones that answer;
a VM that gets reports gathers. The digests of a gatherer would fill the
link of a small VM, and arrive late or not at all.
A gatherer that dies, is suspended, cut off or stopped is replaced after
``SUSPECT_AFTER_S``, and until then the other gatherer has sent everything.
A VM that receives nothing from any other VM ranks itself first. An
unneeded gatherer only costs some datagrams, since merging its digests
changes nothing.

In a small fleet, where it is no more work, each VM sends heartbeats to
each other directly (``is_direct_cheaper``), which saves one hop.
"""

from collections.abc import Iterable

from redwingpost.membership.heartbeat import VmAddress, vm_number
from redwingpost.membership.ranking import capacity_tier, rank_vms

#: Gatherers of a cell: one more than needed, so that one may fail.
GATHERERS = 2

#: Cost of a gatherer's digest in heartbeats, for its sender as for its
#: reader.
DIGEST_WEIGHT = 3

#: Average number of VMs of a cell, at most: as many as a gatherer with
#: half a core can serve in a few percent of its time.
CELL_VMS = 48

#: Seconds without an answer after which a gatherer is suspected and the
#: next one is used: two heartbeat intervals and the latency of a datagram.
SUSPECT_AFTER_S = 0.6

#: Seconds for which a suspected gatherer is skipped before it is retried.
RETRY_S = 2.0

#: Seconds without a report after which a VM no longer counts as reporting
#: to this one; the same for the digests of a gatherer.
REPORT_TIMEOUT_S = 1.0

#: Seconds without a message from its own cell after which a VM gathers for
#: itself: by then two gatherers in succession have been silent.
ISOLATED_AFTER_S = 2 * SUSPECT_AFTER_S


#: Most VMs of a fleet without gatherers that all read the store. In a
#: larger one the first VM of each cell does, and the others follow it.
MAX_READERS = 8


class Cells:
    """The listed VMs by cell, ranked by preference as gatherers.

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
        addresses = tuple(addresses)
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
        tier_by_vm = {
            address.vm: capacity_tier(address.capacity)
            for address in addresses
        }
        self._ranked_by_cell = {
            cell: tuple(
                sorted(
                    rank_vms(cell, vms),
                    key=lambda vm: tier_by_vm[vm],
                    reverse=True,
                )
            )
            for cell, vms in vms_by_cell.items()
        }

    def cell_of(self, vm: str) -> str | None:
        """Return the name of a VM's cell; None while it isn't listed."""
        return self._cell_by_vm.get(vm)

    def names(self) -> tuple[str, ...]:
        """Return the names of all cells."""
        return tuple(self._ranked_by_cell)

    def ranked(self, cell: str) -> tuple[str, ...]:
        """Return a cell's VMs, the preferred gatherer first."""
        return self._ranked_by_cell.get(cell, ())


def _cells_of(vms: int) -> int:
    return -(-vms // CELL_VMS)


def is_direct_cheaper(vms: int, cells: int) -> bool:
    """Return whether direct heartbeats cost no more than gatherers.

    Parameters
    ----------
    vms, cells : int
        Number of VMs and of cells in the fleet.

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


class FailureDetector:
    """Suspects VMs that don't answer messages.

    Examples
    --------
    >>> detector = FailureDetector()
    >>> detector.note_sent("a", now=1.0)
    >>> detector.is_suspect("a", now=1.5), detector.is_suspect("a", 1.6)
    (False, True)
    >>> detector.note_received("a"), detector.is_suspect("a", now=1.7)
    (True, False)
    """

    def __init__(self) -> None:
        self._unanswered_since: dict[str, float] = {}
        self._suspect_until: dict[str, float] = {}

    def note_sent(self, vm: str, now: float) -> None:
        """Note that a VM was sent a message and should answer."""
        self._unanswered_since.setdefault(vm, now)

    def note_received(self, vm: str) -> bool:
        """Note a message from a VM; return whether it was suspected."""
        self._unanswered_since.pop(vm, None)
        return self._suspect_until.pop(vm, None) is not None

    def is_suspect(self, vm: str, now: float) -> bool:
        """Return whether a VM is suspected and another should be used."""
        if now < self._suspect_until.get(vm, now):
            return True
        since = self._unanswered_since.get(vm)
        if since is None or now - since < SUSPECT_AFTER_S:
            return False
        del self._unanswered_since[vm]
        self._suspect_until[vm] = now + RETRY_S
        return True

    def clear_suspicions(self, vms: Iterable[str]) -> None:
        """Let VMs be used again at once."""
        for vm in vms:
            self.note_received(vm)


class Gathering:
    """Selects the VMs that one VM exchanges heartbeats and digests with.

    Parameters
    ----------
    vm : str
        This VM.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._cells = Cells()
        self._failure_detector = FailureDetector()
        self._address_by_vm: dict[str, VmAddress] = {}
        self._is_direct = True
        self.has_list = False
        #: Whether this VM was missing from the list when first read.
        self.is_new = False
        self._own_cell_received_at: float | None = None
        self._report_at_by_vm: dict[str, float] = {}
        self._digest_at_by_vm: dict[str, float] = {}

    @property
    def cell(self) -> str | None:
        """The name of this VM's cell; None while it isn't listed."""
        return self._cells.cell_of(self._vm)

    @property
    def is_direct(self) -> bool:
        """Whether heartbeats go to all VMs directly, without gatherers."""
        return self.cell is None or self._is_direct

    def set_listed(self, addresses: tuple[VmAddress, ...]) -> None:
        """Apply the list of VMs."""
        if not self.has_list:
            self.is_new = all(item.vm != self._vm for item in addresses)
        self.has_list = True
        self._address_by_vm = {item.vm: item for item in addresses}
        self._cells.set_listed(addresses)
        cells = len(self._cells.names())
        self._is_direct = is_direct_cheaper(len(addresses), cells)

    def note_report(self, vm: str, now: float) -> None:
        """Note that a VM reported to this one."""
        self._note_received(vm, now)
        self._report_at_by_vm[vm] = now

    def note_digest(self, vm: str, now: float) -> None:
        """Note a digest from a gatherer."""
        self._note_received(vm, now)
        self._digest_at_by_vm[vm] = now

    def note_sent(self, vms: Iterable[str], now: float) -> None:
        """Note that this VM sent messages to others."""
        for vm in vms:
            self._failure_detector.note_sent(vm, now)

    def gathers(self, now: float) -> bool:
        """Return whether this VM gathers for others, or for itself alone."""
        if self._vm in self._own_gatherers(now) or self.reporters(now):
            return True
        # The time without messages starts with the first call.
        if self._own_cell_received_at is None:
            self._own_cell_received_at = now
        return now - self._own_cell_received_at > ISOLATED_AFTER_S

    def reporters(self, now: float) -> tuple[VmAddress, ...]:
        """Return the VMs that get this one's digest of the fleet."""
        return self._addresses(
            vm
            for vm, at in self._report_at_by_vm.items()
            if now - at <= REPORT_TIMEOUT_S
        )

    def gatherers(self, now: float) -> tuple[VmAddress, ...]:
        """Return the VMs that this one reports to, by preference.

        Those that rank first get reports even while they are suspected,
        so that after a partition heals the VM is back in its cell at once.
        """
        wanted = dict.fromkeys(
            (*self._own_gatherers(now), *self._first_ranked(self.cell or ""))
        )
        wanted.pop(self._vm, None)
        return self._addresses(wanted)

    def table_sources(self, now: float) -> tuple[VmAddress, ...]:
        """Return the VMs whose tables this one follows, by preference.

        Empty at a VM that reads the store. All VMs rank two others in the
        same order, so no two of them follow each other.
        """
        if self.is_direct:
            return self._direct_sources()
        if not self.gathers(now):
            return self.gatherers(now)
        gatherers = self._own_gatherers(now)
        if self._vm not in gatherers:
            return ()
        return self._addresses(gatherers[: gatherers.index(self._vm)])

    def _direct_sources(self) -> tuple[VmAddress, ...]:
        first = self._cells.ranked(self.cell or "")[:1]
        if len(self._address_by_vm) <= MAX_READERS or self._vm in first:
            return ()
        return self._addresses(first)

    def other_cell_gatherers(self, now: float) -> tuple[VmAddress, ...]:
        """Return the gatherers of the other cells.

        Besides those that rank first, these are all that sent a digest
        recently: their list of VMs may differ from this VM's.
        """
        wanted = dict.fromkeys(
            vm
            for cell in self._cells.names()
            if cell != self.cell
            for vm in (
                *self._select_gatherers(cell, now),
                *self._first_ranked(cell),
            )
        )
        for vm, at in self._digest_at_by_vm.items():
            if (
                now - at <= REPORT_TIMEOUT_S
                and self._cells.cell_of(vm) != self.cell
            ):
                wanted[vm] = None
        return self._addresses(wanted)

    def _first_ranked(self, cell: str) -> tuple[str, ...]:
        return self._cells.ranked(cell)[:GATHERERS]

    def _own_gatherers(self, now: float) -> tuple[str, ...]:
        return self._select_gatherers(self.cell or "", now)

    def _select_gatherers(self, cell: str, now: float) -> tuple[str, ...]:
        chosen = []
        for vm in self._cells.ranked(cell):
            if vm != self._vm and self._failure_detector.is_suspect(vm, now):
                continue
            chosen.append(vm)
            if len(chosen) == GATHERERS:
                break
        return tuple(chosen)

    def _note_received(self, vm: str, now: float) -> None:
        """Clear the suspicion of a VM and, if it was suspected, its cell.

        The first message after a partition shows that it has healed. If
        the other VMs of the cell stayed suspected until ``RETRY_S`` is
        over, they would be missing from this VM's view of the fleet for
        two seconds more.
        """
        cell = self._cells.cell_of(vm)
        if cell is not None and cell == self.cell:
            self._own_cell_received_at = now
        if not self._failure_detector.note_received(vm):
            return
        self._failure_detector.clear_suspicions(self._cells.ranked(cell or ""))

    def _addresses(self, vms: Iterable[str]) -> tuple[VmAddress, ...]:
        return tuple(
            self._address_by_vm[vm] for vm in vms if vm in self._address_by_vm
        )
