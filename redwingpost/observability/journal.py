"""Structured log lines on standard output: one JSON object a line.

Writing must never stop the loop: a reader that doesn't read fills the
pipe, and a blocking write would hold every caller. A line is written
only while the pipe takes a whole one; what it doesn't take is counted
and told with the next line.
"""

from select import POLLOUT, poll
from sys import stdout
from time import time
from typing import Any

from loguru import logger
from msgspec.json import encode

from redwingpost.observability.budget import LineBudget
from redwingpost.ports.clock import MonotonicClock

#: Longest line (bytes): a pipe that is ready takes this much whole
#: (POSIX: PIPE_BUF).
MAX_LINE_BYTES = 4096

_clock = MonotonicClock()
_budget = LineBudget()


class PipeSink:
    """Writes lines to a file descriptor that may not be read."""

    def __init__(self, descriptor: Any) -> None:
        self._file = descriptor
        self._poll = poll()
        self._poll.register(descriptor, POLLOUT)
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line if that can't block."""
        if not self._poll.poll(0):
            self.dropped += 1
            return
        self._file.write(line[:MAX_LINE_BYTES])
        self._file.flush()


def configure_journal() -> None:
    """Send the lines of ``log_event`` to standard output."""
    logger.remove()
    logger.add(PipeSink(stdout), format="{message}", level="INFO")


def log_event(kind: str, **fields: Any) -> None:
    """Write one line.

    Parameters
    ----------
    kind : str
        What happened; each kind has its own budget of lines.
    **fields
        Inputs that decided, their age or version, and the outcome.
    """
    left_out = _budget.take(kind, _clock.now())
    if left_out is None:
        return
    line = {"at": round(time(), 3), "kind": kind, **fields}
    if left_out:
        line["left_out"] = left_out
    logger.opt(raw=True).info(encode(line).decode() + "\n")
