"""Rendezvous hashing: the same order of VMs on every VM, no messages."""

from collections.abc import Iterable
from hashlib import blake2b
from math import floor, log2

#: Smallest capacity that is told apart from smaller ones.
MIN_CAPACITY = 0.01


def capacity_tier(capacity: float) -> int:
    """Return the tier of a VM's capacity; each is twice the one below.

    Parameters
    ----------
    capacity : float
        What the VM can carry, in VMs of half a core and 10 Mbit/s.

    Examples
    --------
    >>> [capacity_tier(capacity) for capacity in (0.5, 1.0, 1.9, 4.3)]
    [-1, 0, 0, 2]
    """
    return floor(log2(max(capacity, MIN_CAPACITY)))


def rank_vms(subject: str, vms: Iterable[str]) -> tuple[str, ...]:
    """Order VMs by rendezvous hash, the same on every VM.

    Parameters
    ----------
    subject : str
        What they are ranked for, as a data centre; the order differs
        by subject.
    vms : iterable of str
        Their names.

    Examples
    --------
    >>> rank_vms("lima-1", ["vm-1", "vm-2", "vm-3"])
    ('vm-1', 'vm-3', 'vm-2')
    """

    def weight(vm: str) -> bytes:
        return blake2b(f"{subject}|{vm}".encode(), digest_size=8).digest()

    return tuple(sorted(vms, key=weight))
