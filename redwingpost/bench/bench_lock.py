"""A lock file that allows one bench run at a time on a computer.

Two concurrent runs would distort each other's measurements.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from fcntl import LOCK_EX, LOCK_NB, flock
from pathlib import Path
from tempfile import gettempdir

from redwingpost.bench.runner import Progress

_LOCK_FILE = Path(gettempdir(), "redwing-bench-turns")


@contextmanager
def hold_bench_lock(report_progress: Progress) -> Iterator[None]:
    """Hold the lock; wait while another bench run holds it."""
    with _LOCK_FILE.open("w") as lock:
        try:
            flock(lock, LOCK_EX | LOCK_NB)
        except BlockingIOError:
            report_progress("another bench run holds the lock; waiting for it")
            flock(lock, LOCK_EX)
        yield
