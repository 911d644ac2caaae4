"""Ports for the programs of a run, found before they listen.

A port that was free when it was looked for may be taken when its program
listens, a second later: an outgoing connection gets any port of the
system's range, also on the addresses of a run. The program then ends with
"address already in use". Ports below that range are never given to
outgoing connections, and no port is handed out twice.
"""

from collections.abc import Iterable, Iterator
from os import getpid
from socket import AF_INET, SOCK_STREAM, socket

#: Ports to choose from: above those of well-known services, below those
#: that the system gives to outgoing connections (from 32768; ip(7)).
FIRST_PORT = 15000
LAST_PORT = 32000


def find_free_port(ip: str) -> int:
    """Return a TCP port that is free on ``ip`` and that nobody else gets.

    Raises
    ------
    OSError
        Where none is left.
    """
    return first_free(ip, _candidates)


def first_free(ip: str, candidates: Iterable[int]) -> int:
    """Return the first port that can be listened on.

    Raises
    ------
    OSError
        Where none can.
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
            # Taken; whoever asks tries the next one.
            return False
        return True


def _each_once() -> Iterator[int]:
    """Yield all ports, from a place that differs by process."""
    span = LAST_PORT - FIRST_PORT
    start = getpid() * 97 % span
    for step in range(span):
        yield FIRST_PORT + (start + step) % span


_candidates = _each_once()
