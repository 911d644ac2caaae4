"""Free ports for the programs of a run, chosen before they listen.

A port that is free when it is chosen may be in use a second later, when
its program listens: the system can assign any port of its ephemeral range
to an outgoing connection, also on the addresses of a run. The program
then ends with "address already in use". Ports below that range are never
assigned to outgoing connections, and no port is returned twice.
"""

from collections.abc import Iterable, Iterator
from os import getpid
from socket import AF_INET, SOCK_STREAM, socket

#: Range of ports: above those of well-known services, below the system's
#: ephemeral ports (from 32768; ip(7)).
FIRST_PORT = 15000
LAST_PORT = 32000


def find_free_port(ip: str) -> int:
    """Return a free TCP port on ``ip`` that is not returned again.

    Raises
    ------
    OSError
        If no port is left.
    """
    return find_first_free(ip, _unused_ports)


def find_first_free(ip: str, candidates: Iterable[int]) -> int:
    """Return the first free port of ``candidates``.

    Raises
    ------
    OSError
        If none is free.
    """
    for port in candidates:
        if _is_free(ip, port):
            return port
    raise OSError(f"no free port on {ip}")


def _is_free(ip: str, port: int) -> bool:
    with socket(AF_INET, SOCK_STREAM) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            # In use; the caller tries the next port.
            return False
        return True


def _iterate_ports() -> Iterator[int]:
    """Yield every port once; the first one differs by process."""
    span = LAST_PORT - FIRST_PORT
    start = getpid() * 97 % span
    for step in range(span):
        yield FIRST_PORT + (start + step) % span


_unused_ports = _iterate_ports()
