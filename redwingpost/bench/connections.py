"""Finds the processes that hold local TCP connections."""

from asyncio import Future, create_task, get_running_loop, sleep, to_thread
from collections.abc import Callable, Collection, Iterable
from os import listdir, readlink
from pathlib import Path

#: How the kernel's table shows a local address: 127.0.0.1 and the port.
_LOCAL_ADDRESS = b": 0100007F:%04X "
_INODE_FIELD = 9

#: Seconds for which questions are collected: the table is long.
_COLLECT_S = 0.02


#: Readings of the table, which may lack entries while others change.
_ATTEMPTS = 3


class ConnectionFinder:
    """Finds the process at the other end of accepted connections.

    Parameters
    ----------
    list_processes : callable
        Returns the ids of the processes to look at.
    """

    def __init__(self, list_processes: Callable[[], Iterable[int]]) -> None:
        self._list_processes = list_processes
        self._futures_by_port: dict[int, Future] = {}

    async def find(self, port: int) -> int | None:
        """Return which process has a connection from a local port."""
        if port not in self._futures_by_port:
            self._futures_by_port[port] = get_running_loop().create_future()
            if len(self._futures_by_port) == 1:
                create_task(self._answer())
        return await self._futures_by_port[port]

    async def _answer(self) -> None:
        await sleep(_COLLECT_S)
        futures, self._futures_by_port = self._futures_by_port, {}
        processes = tuple(self._list_processes())
        found: dict[int, int] = {}
        for _ in range(_ATTEMPTS):
            missing = futures.keys() - found.keys()
            found |= await to_thread(find_processes, missing, processes)
        for port, future in futures.items():
            if not future.done():
                future.set_result(found.get(port))


def find_processes(
    ports: Collection[int], processes: Iterable[int]
) -> dict[int, int]:
    """Return the process that has a connection from each local port.

    Parameters
    ----------
    ports : collection of int
        Ports of the connections' ends at the processes.
    processes : iterable of int
        Ids of the processes to look at.
    """
    if not ports:
        return {}
    table = Path("/proc/net/tcp").read_bytes()
    port_by_link = {
        f"socket:[{inode}]": port
        for port in ports
        if (inode := _find_inode(table, port))
    }
    found = {}
    for process in processes:
        for link in _list_links(process):
            if link in port_by_link:
                found[port_by_link[link]] = process
    return found


def _find_inode(table: bytes, port: int) -> str:
    """Return the inode of the socket with a local port, or "" if closed."""
    at = table.find(_LOCAL_ADDRESS % port)
    if at < 0:
        return ""
    fields = table[table.rfind(b"\n", 0, at) + 1 :].split(None, 10)
    inode = fields[_INODE_FIELD].decode()
    return inode if inode != "0" else ""


def _list_links(process: int) -> list[str]:
    """Return what a process's file descriptors refer to."""
    links = []
    try:
        for name in listdir(f"/proc/{process}/fd"):
            links.append(_read_link(f"/proc/{process}/fd/{name}"))
    except FileNotFoundError:
        # The process has ended.
        pass
    return links


def _read_link(path: str) -> str:
    try:
        return readlink(path)
    except FileNotFoundError:
        # The descriptor has been closed.
        return ""
