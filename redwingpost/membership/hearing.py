"""Which VMs there are, which of them are heard, and what they reach.

Heartbeats go from VM to VM; the list of VMs comes from the platform's
table service. A VM that is listed but not heard may be dead or cut off:
whoever can't tell must assume that it goes on working.
"""

from typing import NamedTuple

from redwingpost.core.positions import Position

#: Seconds between heartbeats: a quarter of a second finds a dead VM within
#: a second and costs about a kilobyte a second to each other VM.
BEAT_S = 0.25

#: Seconds without a heartbeat after which a VM isn't heard: three lost
#: datagrams in a row.
HEARD_S = 0.85

#: Seconds without a heartbeat after which a VM's last report may be from
#: before whatever happens just now: two lost datagrams in a row.
LATELY_S = 0.6

#: Seconds after which a VM that nobody hears is taken off the list: far
#: above a restart, so that its place is kept meanwhile.
REMOVE_AFTER_S = 20.0

#: VMs assumed while no list has been read.
ASSUMED_VMS = 6


class VmAddress(NamedTuple):
    """Where a VM's heartbeats arrive."""

    vm: str
    ip: str
    port: int


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


class Echo(NamedTuple):
    """A VM's clock as last heard from it, and how long ago that was."""

    clock_ms: int
    held_ms: int


class SharedSample(NamedTuple):
    """A sample of a group's log as another VM took it.

    ``member`` is the primary it was taken at, one of those that the
    heartbeat has the health of, ``age_ms`` its age as the heartbeat left, at
    least 1.
    """

    member: str
    position: Position
    age_ms: int


class Heartbeat(NamedTuple):
    """What a heartbeat says besides usage.

    ``clock_ms`` is the sender's steady clock, ``echo`` the reader's as
    the sender last heard it. A brief one leaves the health of primaries
    out, because nothing is wrong with any.
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

    def left_after(self) -> float | None:
        """Return a moment of the reader's clock that this left after (s).

        A datagram may wait at a suspended VM for any time, so its age
        can't be told from when it is read. The echo of the reader's own
        clock bounds it from below: samples are never taken for younger
        than they are.
        """
        if self.echo is None:
            return None
        return (self.echo.clock_ms + self.echo.held_ms) / 1000.0


class Hearing(NamedTuple):
    """The last heartbeat of a VM and when it came (seconds)."""

    heartbeat: Heartbeat
    heard_at: float


class VmTable:
    """Listed and heard VMs, as one VM sees them.

    Examples
    --------
    >>> table = VmTable("a", now=0.0)
    >>> table.set_listed((VmAddress("a", "ip1", 1), VmAddress("b", "ip2", 1)))
    >>> table.part(now=1.0)
    0.5
    >>> table.note(Heartbeat("b", 1, "ip2", 7, {}, 5, None, ()), now=1.0)
    >>> table.part(now=1.1)
    1.0
    """

    def __init__(self, vm: str, now: float) -> None:
        self._vm = vm
        self._started_at = now
        self._listed_by_vm: dict[str, VmAddress] = {}
        self._hearing_by_vm: dict[str, Hearing] = {}
        self._has_list = False

    def set_listed(self, addresses: tuple[VmAddress, ...]) -> None:
        """Take in the list of VMs."""
        self._listed_by_vm = {address.vm: address for address in addresses}
        self._has_list = True

    def note(self, heartbeat: Heartbeat, now: float) -> None:
        """Take in a heartbeat."""
        if heartbeat.vm == self._vm:
            return
        known = self._hearing_by_vm.get(heartbeat.vm)
        if heartbeat.is_brief and known is not None:
            health = known.heartbeat.health_by_primary
            heartbeat = heartbeat._replace(health_by_primary=health)
        self._hearing_by_vm[heartbeat.vm] = Hearing(heartbeat, now)

    def echo_for(self, vm: str, now: float) -> Echo | None:
        """Return a VM's clock as last heard from it."""
        hearing = self._hearing_by_vm.get(vm)
        if hearing is None:
            return None
        held_ms = int((now - hearing.heard_at) * 1000)
        return Echo(hearing.heartbeat.clock_ms, held_ms)

    def reached_elsewhere_s(self, member: str, now: float) -> float:
        """Return how long ago another VM had an answer of a primary."""
        ages = [
            now - hearing.heard_at + health.silent_ms / 1000.0
            for hearing in self._hearing_by_vm.values()
            for named, health in hearing.heartbeat.health_by_primary.items()
            if named == member
        ]
        return min(ages, default=float("inf"))

    def heard(
        self, now: float, within_s: float = HEARD_S
    ) -> tuple[Heartbeat, ...]:
        """Return the heartbeats that are fresh."""
        return tuple(
            hearing.heartbeat
            for hearing in self._hearing_by_vm.values()
            if now - hearing.heard_at <= within_s
        )

    def is_heard(self, vm: str, now: float) -> bool:
        """Say whether a VM is in hearing."""
        hearing = self._hearing_by_vm.get(vm)
        return hearing is not None and now - hearing.heard_at <= HEARD_S

    def known(self) -> frozenset[str]:
        """Return all VMs that may be at work, this one included."""
        return frozenset(self._listed_by_vm) | {self._vm}

    def count(self) -> int:
        """Return how many VMs there are, as far as known."""
        if not self._has_list:
            return max(ASSUMED_VMS, len(self._hearing_by_vm) + 1)
        return len(self.known() | frozenset(self._hearing_by_vm))

    def part(self, now: float) -> float:
        """Return the part of all VMs that hear each other (0 to 1)."""
        return (1 + len(self.heard(now))) / self.count()

    def hears_half(self, now: float, within_s: float = HEARD_S) -> bool:
        """Say whether at least half of the VMs are in hearing."""
        return 2 * (1 + len(self.heard(now, within_s))) >= self.count()

    def silent_vms(self, now: float) -> tuple[str, ...]:
        """Return listed VMs that have long not been heard."""
        return tuple(
            vm
            for vm in self._listed_by_vm
            if vm != self._vm and now - self._last(vm) > REMOVE_AFTER_S
        )

    def forget_long_silent(self, now: float) -> tuple[str, ...]:
        """Forget VMs that are off the list and silent; return them."""
        gone = tuple(
            vm
            for vm, hearing in self._hearing_by_vm.items()
            if vm not in self._listed_by_vm
            and now - hearing.heard_at > REMOVE_AFTER_S
        )
        for vm in gone:
            del self._hearing_by_vm[vm]
        return gone

    def place(self, subject: str, now: float) -> int:
        """Return this VM's place in the order in which VMs see to it.

        Without an order all would act at once. It differs by subject.
        VMs that aren't heard have no turn: those of a data centre that
        is cut off would delay all others, 0.4 s each.
        """
        ordered = sorted(self.known())
        first = -sum(subject.encode()) % len(ordered)
        in_turn = ordered[first:] + ordered[:first]
        before = in_turn[: in_turn.index(self._vm)]
        heard = {heartbeat.vm for heartbeat in self.heard(now, LATELY_S)}
        return sum(vm in heard for vm in before)

    def addresses(self, port: int) -> tuple[VmAddress, ...]:
        """Return where heartbeats go; heard VMs count besides listed."""
        by_vm = {
            vm: VmAddress(vm, hearing.heartbeat.ip, port)
            for vm, hearing in self._hearing_by_vm.items()
        }
        by_vm.update(self._listed_by_vm)
        by_vm.pop(self._vm, None)
        return tuple(by_vm.values())

    def _last(self, vm: str) -> float:
        hearing = self._hearing_by_vm.get(vm)
        return self._started_at if hearing is None else hearing.heard_at
