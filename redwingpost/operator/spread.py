"""How much later than the first VM each VM put a configuration in force.

Read from the VMs' log lines. A time near the bound within which a
configuration must be in force shows a fault before callers notice it. A
configuration that is late at all VMs alike doesn't show here, but in
``redwing_table_age_seconds``.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from redwingpost.operator.refusals import read_line

#: Kinds of log lines that tell on what a late VM waited.
_STATE_KINDS = frozenset(
    {
        "started",
        "stopping",
        "store-lost",
        "store-regained",
        "store-history-lost",
        "store-restored",
        "relay-lost",
        "copy-failed",
        "copy-taken",
        "fleet-hearing",
    }
)


class Lag(NamedTuple):
    """A VM that was late; times are seconds.

    ``first_at`` is when the first VM had the version, ``state`` the last
    event at the late VM before it had it, and ``is_missing`` tells that it
    didn't have it at its last line, until which the lag is counted then.
    """

    seconds: float
    version: int
    vm: str
    first_at: float
    state: str
    is_missing: bool


class _VmLog:
    """What one VM logged about its configuration."""

    def __init__(self) -> None:
        self.started_at = float("-inf")
        self.ended_at = float("-inf")
        self.versions: list[tuple[float, int]] = []
        self._states: list[tuple[float, str]] = []

    def add(self, fields: dict[str, Any]) -> None:
        """Add a line."""
        at, kind = float(fields.get("at", 0.0)), fields.get("kind")
        self.ended_at = max(self.ended_at, at)
        if kind == "started":
            self.started_at = at
        if kind == "rules-in-force":
            self.versions.append((at, int(fields["version"])))
        elif kind in _STATE_KINDS:
            self._states.append((at, f"{kind} {fields.get('table', '')}"))

    def taken_at(self, version: int, after: float) -> float | None:
        """Return when this or a later version was in force after a time."""
        times = (at for at, taken in self.versions if taken >= version)
        return min((at for at in times if at >= after), default=None)

    def state_at(self, time: float) -> str:
        """Return the last event until a time."""
        before = [item for item in self._states if item[0] <= time]
        return max(before, default=(0.0, ""))[1].strip()


def find_lags(
    lines: Iterable[tuple[str, str]], least_s: float = 0.0
) -> tuple[Lag, ...]:
    """Return the VMs that were late, the latest first.

    Parameters
    ----------
    lines : iterable of (str, str)
        Names of VMs and their log lines.
    least_s : float, optional
        Shorter lags (seconds) are left out.
    """
    log_by_vm: dict[str, _VmLog] = {}
    for vm, line in lines:
        fields = read_line(line)
        if fields is not None:
            log_by_vm.setdefault(vm, _VmLog()).add(fields)
    first_at_by_version: dict[int, float] = {}
    for log in log_by_vm.values():
        for at, version in log.versions:
            known_at = first_at_by_version.get(version, at)
            first_at_by_version[version] = min(at, known_at)
    lags = (
        _find_lag(vm, log, version, first_at)
        for vm, log in log_by_vm.items()
        for version, first_at in first_at_by_version.items()
    )
    found = (lag for lag in lags if lag.seconds >= least_s)
    return tuple(sorted(found, key=lambda lag: (-lag.seconds, lag.vm)))


def _find_lag(vm: str, log: _VmLog, version: int, first_at: float) -> Lag:
    due_at = max(first_at, log.started_at)
    taken_at = log.taken_at(version, first_at)
    known_at = log.ended_at if taken_at is None else taken_at
    seconds = max(0.0, known_at - due_at)
    state = log.state_at(known_at)
    return Lag(seconds, version, vm, first_at, state, taken_at is None)
