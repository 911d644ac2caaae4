"""Signals that arrive while a program starts.

A start takes some tenths of a second, in which the platform may announce
changed settings (SIGHUP) or stop the VM. Until a program handles its signals
itself, their default effect would end it, and it would count as crashed.
"""

from os import _exit
from signal import SIGHUP, SIGINT, SIGTERM, signal


class EarlySignals:
    """Handles signals until the program does.

    ``has_reload`` tells whether SIGHUP has arrived since the settings were
    last read.
    """

    def __init__(self) -> None:
        self.has_reload = False

    def install(self) -> None:
        """Handle SIGHUP, SIGTERM and SIGINT from now on."""
        signal(SIGHUP, self._note_reload)
        for number in (SIGTERM, SIGINT):
            signal(number, _stop)

    def note_reading(self) -> None:
        """Note that the settings are read now."""
        self.has_reload = False

    def _note_reload(self, *_: object) -> None:
        self.has_reload = True


def _stop(*_: object) -> None:
    """End the process: nothing is served yet that would have to be ended."""
    _exit(0)
