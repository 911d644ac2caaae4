"""What VMs tell each other: one VM's heartbeat, a gatherer's digest."""

from typing import NamedTuple

from xxhash import xxh32_intdigest

from redwingpost.core.positions import Position
from redwingpost.rates.counters import UsageTable


class VmAddress(NamedTuple):
    """Where a VM's heartbeats arrive, and where it stands."""

    vm: str
    ip: str
    port: int
    data_centre: str = ""


def vm_number(vm: str) -> int:
    """Return a short number for a VM's name, the same at all VMs."""
    return xxh32_intdigest(vm.encode())


class PrimaryHealth(NamedTuple):
    """How a primary does by one VM's experience (milliseconds).

    ``silent_ms`` since its last answer, ``stuck_ms`` since the first
    write that waits for it in vain (0 for none), ``acked_ms`` since it
    last acknowledged a write. ``failing_ms`` is how long whatever was
    sent to it has failed (0 if nothing has): one that was simply not
    asked is silent, but doesn't fail.
    """

    silent_ms: int
    stuck_ms: int
    acked_ms: int
    failing_ms: int


class MergedHealth(NamedTuple):
    """How a primary does by the experience of several VMs (milliseconds).

    The shortest silence, the longest wait of a write, the latest
    acknowledgement; ``failing_ms`` of each VM to which it fails, and how
    many VMs there are (``observers``).
    """

    silent_ms: int
    stuck_ms: int
    acked_ms: int
    failing_ms: tuple[int, ...]
    observers: int

    @classmethod
    def of_one(cls, health: PrimaryHealth) -> "MergedHealth":
        """Return one VM's report in this form."""
        failing_ms = (health.failing_ms,) if health.failing_ms else ()
        return cls(*health[:3], failing_ms, 1)

    def merge(self, other: "MergedHealth") -> "MergedHealth":
        """Return the report of both; their VMs must differ.

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
    """A VM's clock as last heard from it, and how long ago that was."""

    clock_ms: int
    held_ms: int

    def left_after(self) -> float:
        """Return a moment of the reader's clock that it left after (s).

        A datagram may wait at a suspended VM for any time, so its age
        can't be told from when it is read. The echo of the reader's own
        clock bounds it from below: samples are never taken for younger
        than they are.
        """
        return (self.clock_ms + self.held_ms) / 1000.0


class SharedSample(NamedTuple):
    """A sample of a group's log as another VM took it.

    ``member`` is the primary it was taken at, ``age_ms`` its age as the
    message left, at least 1.
    """

    member: str
    position: Position
    age_ms: int


class Heartbeat(NamedTuple):
    """What one VM says besides usage.

    ``clock_ms`` is the sender's steady clock, ``echo`` the reader's as
    the sender last heard it. A brief one leaves the health of primaries
    out, because nothing is wrong with any. ``wants_usages``: the reader
    is to tell the sender what the others have used. ``is_urgent``: much
    was admitted lately, and the others must know soon.
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

    def left_after(self) -> float | None:
        """Return a moment of the reader's clock that this left after (s)."""
        return None if self.echo is None else self.echo.left_after()


class CellReport(NamedTuple):
    """What the VMs of one cell say, as a gatherer has it.

    ``vms`` are the numbers of those that it heard, ``age_ms`` how long
    ago. They change rarely and are most of a digest: None stands for the
    set that ``vms_number`` was told with before. ``config_version`` is the
    newest, in force at ``config_ip``; ``reached`` the most primaries that
    one of the VMs reaches.
    """

    cell: str
    age_ms: int
    vms: frozenset[int] | None
    vms_number: int
    config_version: int
    config_ip: str
    reached: int


def set_number(vms: frozenset[int]) -> int:
    """Return a short number for a set of VMs, the same at all VMs."""
    return xxh32_intdigest(repr(sorted(vms)).encode())


class Digest(NamedTuple):
    """What a gatherer tells: its own cell, or the whole fleet.

    A digest of the fleet is for the VMs that report to the gatherer. A
    brief one leaves the health of primaries out. ``echo_by_number`` has
    the clocks of all readers, so that one datagram serves them all. An
    urgent one has counters only, which are to be passed on soon.
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
        """Return the digest for counters that found no place in it."""
        return self._replace(
            cells=(),
            health_by_primary={},
            is_brief=True,
            samples=(),
            echo_by_number={},
        )

    def without_health(self) -> "Digest":
        """Return the digest for a reader that has the rest elsewhere."""
        return self._replace(health_by_primary={}, is_brief=True, samples=())
