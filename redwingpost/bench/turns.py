"""One bench at a time on a machine: runs take turns by a lock file.

Two runs at once would each measure the other's load.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from fcntl import LOCK_EX, LOCK_NB, flock
from pathlib import Path
from tempfile import gettempdir

from redwingpost.bench.runner import Progress

_LOCK_FILE = Path(gettempdir(), "redwing-bench-turns")


@contextmanager
def take_turn(say: Progress) -> Iterator[None]:
    """Wait until no other bench runs on this machine."""
    with _LOCK_FILE.open("w") as lock:
        try:
            flock(lock, LOCK_EX | LOCK_NB)
        except BlockingIOError:
            say("another bench runs on this machine; waiting for it")
            flock(lock, LOCK_EX)
        yield
