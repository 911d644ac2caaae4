"""Messages between VMs: a VM's heartbeat and a gatherer's digest."""

from functools import lru_cache
from typing import NamedTuple

from xxhash import xxh32_intdigest

from redwingpost.core.positions import Position
from redwingpost.rates.counters import UsageTable


class VmAddress(NamedTuple):
    """The address that receives a VM's heartbeats, and its data centre.

    ``capacity`` is what the VM can carry, in VMs of half a core and
    10 Mbit/s.
    """

    vm: str
    ip: str
    port: int
    data_centre: str = ""
    capacity: float = 1.0


@lru_cache(maxsize=4096)
def vm_number(vm: str) -> int:
    """Return a short number for a VM's name, the same at all VMs."""
    return xxh32_intdigest(vm.encode())


class PrimaryHealth(NamedTuple):
    """A primary's health as one VM observes it (milliseconds).

    ``silent_ms`` is the time since its last answer, ``stuck_ms`` the age
    of the oldest unanswered write (0 for none), ``acked_ms`` the time
    since it last acknowledged a write. ``failing_ms`` is for how long
    everything sent to it has failed (0 if nothing has): a primary that
    was sent nothing is silent, but isn't failing.
    """

    silent_ms: int
    stuck_ms: int
    acked_ms: int
    failing_ms: int


class MergedHealth(NamedTuple):
    """A primary's health as several VMs observe it (milliseconds).

    The shortest silence, the longest wait of a write, the latest
    acknowledgement; ``failing_ms`` of each VM for which the primary
    fails, and the number of VMs that reported (``observers``).
    """

    silent_ms: int
    stuck_ms: int
    acked_ms: int
    failing_ms: tuple[int, ...]
    observers: int

    @classmethod
    def of_one(cls, health: PrimaryHealth) -> "MergedHealth":
        """Return one VM's report as a merged report."""
        failing_ms = (health.failing_ms,) if health.failing_ms else ()
        return cls(*health[:3], failing_ms, 1)

    def merge(self, other: "MergedHealth") -> "MergedHealth":
        """Return the merged report of two disjoint sets of VMs.

        Examples
        --------
        >>> one = MergedHealth.of_one(PrimaryHealth(20, 0, 35, 0))
        >>> one.merge(MergedHealth.of_one(PrimaryHealth(900, 5, 90, 700)))
        MergedHealth(silent_ms=20, stuck_ms=5, acked_ms=35, \
failing_ms=(700,), observers=2)
        """
        return MergedHealth(
            min(self.silent_ms, other.silent_ms),
            max(self.stuck_ms, other.stuck_ms),
            min(self.acked_ms, other.acked_ms),
            self.failing_ms + other.failing_ms,
            self.observers + other.observers,
        )


class Echo(NamedTuple):
    """A VM's clock as last received from it, and how long ago that was."""

    clock_ms: int
    held_ms: int

    def earliest_sent_at(self) -> float:
        """Return the earliest time it was sent, on the reader's clock (s).

        A datagram may wait at a suspended VM for any time, so the time
        when it is read says nothing about its age. The echo of the
        reader's own clock is a lower bound of the time when it was sent:
        samples never count as younger than they are.
        """
        return (self.clock_ms + self.held_ms) / 1000.0


class SharedSample(NamedTuple):
    """A sample of a group's log position that another VM took.

    ``member`` is the primary that was sampled, ``age_ms`` the sample's
    age when the message was sent, at least 1.
    """

    member: str
    position: Position
    age_ms: int


class Heartbeat(NamedTuple):
    """One VM's heartbeat without its usage counters.

    ``clock_ms`` is the sender's monotonic clock, ``echo`` the reader's
    clock as the sender last received it. A brief heartbeat leaves the
    health of primaries out, because all are well. ``wants_usages``: the
    reader should send the sender the other VMs' usage. ``is_urgent``:
    many operations were admitted recently, and the other VMs need the
    counters soon.
    """

    vm: str
    boot: int
    ip: str
    config_version: int
    health_by_primary: dict[str, PrimaryHealth]
    clock_ms: int
    echo: Echo | None
    samples: tuple[SharedSample, ...]
    is_brief: bool = False
    wants_usages: bool = False
    is_urgent: bool = False

    def earliest_sent_at(self) -> float | None:
        """Return the earliest time it was sent, on the reader's clock (s)."""
        return None if self.echo is None else self.echo.earliest_sent_at()


class CellReport(NamedTuple):
    """A gatherer's summary of the heartbeats of one cell.

    ``vms`` are the numbers of the VMs whose heartbeats it received,
    ``age_ms`` how long ago. The set changes rarely and is most of a
    digest: None means the set that was sent earlier with the same
    ``vms_number``. ``config_version`` is the newest version, in force at
    ``config_ip``; ``reached`` is the highest number of primaries that one
    of the VMs reaches.
    """

    cell: str
    age_ms: int
    vms: frozenset[int] | None
    vms_number: int
    config_version: int
    config_ip: str
    reached: int


def vm_set_number(vms: frozenset[int]) -> int:
    """Return a short number for a set of VMs, the same at all VMs."""
    return xxh32_intdigest(repr(sorted(vms)).encode())


class Digest(NamedTuple):
    """A gatherer's message about its own cell or the whole fleet.

    A digest of the fleet goes to the VMs that report to the gatherer. A
    brief digest leaves the health of primaries out. ``echo_by_number``
    has the clocks of all readers, so that one datagram serves them all.
    An urgent digest has only counters, which have to be passed on soon.
    """

    vm: str
    boot: int
    is_fleet: bool
    cells: tuple[CellReport, ...]
    health_by_primary: dict[str, MergedHealth]
    is_brief: bool
    samples: tuple[SharedSample, ...]
    clock_ms: int
    echo_by_number: dict[int, Echo]
    usages: UsageTable
    is_urgent: bool = False

    def counters_only(self) -> "Digest":
        """Return a digest for those counters that didn't fit into it."""
        return self._replace(
            cells=(),
            health_by_primary={},
            is_brief=True,
            samples=(),
            echo_by_number={},
        )

    def without_health(self) -> "Digest":
        """Return the digest without health and samples of primaries.

        For a reader that gets them in another message.
        """
        return self._replace(health_by_primary={}, is_brief=True, samples=())
