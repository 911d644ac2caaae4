"""Finds the process that holds a local TCP connection."""

from collections.abc import Iterable
from os import listdir, readlink
from pathlib import Path

#: 127.0.0.1 as written in the kernel's table, and that table's columns.
_LOOPBACK = "0100007F"
_ADDRESS_FIELD, _INODE_FIELD = 1, 9


def find_process(port: int, processes: Iterable[int]) -> int | None:
    """Return which process has a connection from a local port.

    Parameters
    ----------
    port : int
        Port of the connection's end at the process.
    processes : iterable of int
        Ids of the processes to look at.
    """
    inode = _find_inode(port)
    if inode is None:
        return None
    wanted = f"socket:[{inode}]"
    for pid in processes:
        folder = f"/proc/{pid}/fd"
        try:
            if any(
                _link(f"{folder}/{name}") == wanted for name in listdir(folder)
            ):
                return pid
        except FileNotFoundError:
            # The process has ended.
            continue
    return None


def _find_inode(port: int) -> str | None:
    address = f"{_LOOPBACK}:{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[_ADDRESS_FIELD] == address and fields[_INODE_FIELD] != "0":
            return fields[_INODE_FIELD]
    return None


def _link(path: str) -> str:
    try:
        return readlink(path)
    except FileNotFoundError:
        return ""
