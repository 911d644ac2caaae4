"""The platform's list of VMs, which readers see some seconds late."""

from redwingpost.standin.settings import VmSettings


class LaggingVmList:
    """VMs as they were ``lag_s`` ago; pure, time is passed in.

    Parameters
    ----------
    vms : tuple of VmSettings
        The list from the start.
    lag_s : float
        How late readers see a change, seconds.

    Examples
    --------
    >>> vms = LaggingVmList((), 3.0)
    >>> vms.put(VmSettings("vm-1", "lima-1", "127.1.1.1", 1, 2), now=10.0)
    >>> len(vms.seen(12.0)), len(vms.seen(13.0))
    (0, 1)
    """

    def __init__(self, vms: tuple[VmSettings, ...], lag_s: float) -> None:
        self.lag_s = lag_s
        first = {vm.vm: vm for vm in vms}
        self._states: list[tuple[float, dict[str, VmSettings]]] = [
            (float("-inf"), first)
        ]

    def _current(self) -> dict[str, VmSettings]:
        return dict(self._states[-1][1])

    def put(self, vm: VmSettings, now: float) -> None:
        """Add a VM or change its entry."""
        changed = self._current()
        changed[vm.vm] = vm
        self._states.append((now, changed))

    def set_state(self, vm: str, state: str, now: float) -> None:
        """Mark a VM live or leaving; KeyError where it isn't listed."""
        self.put(self._current()[vm]._replace(state=state), now)

    def remove(self, vm: str, now: float) -> None:
        """Take a VM off the list."""
        changed = self._current()
        changed.pop(vm, None)
        self._states.append((now, changed))

    def seen(self, now: float) -> tuple[VmSettings, ...]:
        """Return the list as a reader sees it now."""
        while len(self._states) > 1 and self._states[1][0] <= now - self.lag_s:
            self._states.pop(0)
        return tuple(self._states[0][1].values())
