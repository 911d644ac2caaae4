"""Rendezvous hashing: the same order of VMs on every VM, no messages."""

from collections.abc import Iterable
from hashlib import blake2b


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
