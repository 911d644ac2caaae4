"""Structured log lines on standard output: one JSON object a line.

Writing must never block the event loop: if the reader of the pipe stops,
the pipe fills up and a blocking write would delay every caller. A line is
written only if the pipe is ready for a whole line. Other lines are
dropped and counted in ``PipeSink.dropped``.
"""

from select import POLLOUT, poll
from sys import stdout
from time import time
from typing import Any

from loguru import logger
from msgspec.json import encode

from redwingpost.observability.rate_limit import LineRateLimiter
from redwingpost.ports.clock import MonotonicClock

#: Longest line (bytes): a pipe that is ready accepts this much without
#: blocking (POSIX: PIPE_BUF).
MAX_LINE_BYTES = 4096

#: Bytes of the fields of a line that is too long, without their names.
_MAX_FIELDS_BYTES = 3 * MAX_LINE_BYTES // 4

_clock = MonotonicClock()
_rate_limiter = LineRateLimiter()


class PipeSink:
    """Writes lines to a pipe whose reader may have stopped."""

    def __init__(self, file: Any) -> None:
        self._file = file
        self._poll = poll()
        self._poll.register(file, POLLOUT)
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line if the write can't block; else drop it."""
        if not self._poll.poll(0):
            self.dropped += 1
            return
        self._file.write(line)
        self._file.flush()


def configure_journal() -> None:
    """Send the lines of ``log_event`` to standard output."""
    logger.remove()
    logger.add(PipeSink(stdout), format="{message}", level="INFO")


def log_event(kind: str, **fields: Any) -> None:
    """Write one line, subject to the rate limit of its kind.

    Parameters
    ----------
    kind : str
        The kind of event; each kind has its own rate limit.
    **fields
        The inputs of the decision, their age or version, and the outcome.
    """
    left_out = _rate_limiter.take(kind, _clock.now())
    if left_out is None:
        return
    line = {"at": round(time(), 3), "kind": kind, **fields}
    if left_out:
        line["left_out"] = left_out
    logger.opt(raw=True).info(_render(line))


def _render(line: dict[str, Any]) -> str:
    """Return a line's text, with its longest fields cut to fit.

    Examples
    --------
    >>> _render({"kind": "started"})
    '{"kind":"started"}\\n'
    >>> _render({"key": "\\ud800"})
    '{"key":"?"}\\n'
    """
    try:
        text = encode(line)
    except (OverflowError, TypeError, ValueError):
        # Such as half a character.
        line = {name: _to_text(field) for name, field in line.items()}
        text = encode(line)
    if len(text) >= MAX_LINE_BYTES:
        longest = _MAX_FIELDS_BYTES // len(line)
        text = encode(
            {name: _cut(field, longest) for name, field in line.items()}
        )
    return text.decode() + "\n"


def _to_text(field: Any) -> Any:
    """Return a field as a text that can be encoded."""
    if isinstance(field, float | bool):
        return field
    return str(field).encode("utf-8", "replace").decode()


def _cut(field: Any, longest: int) -> Any:
    """Return a field whose text has at most ``longest`` bytes of JSON."""
    text = encode(field)
    if len(text) <= longest:
        return field
    shown = field if isinstance(field, str) else text.decode()
    # A character takes up to six bytes of JSON.
    return shown[: longest // 6] + "…"
