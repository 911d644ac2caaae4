"""The platform's list of VMs; its changes become visible with a lag."""

from redwingpost.standin.settings import VmSettings


class LaggingVmList:
    """A list of VMs whose changes become visible after ``lag_s``.

    Parameters
    ----------
    vms : tuple of VmSettings
        The first list, visible at once.
    lag_s : float
        Seconds from a change until readers see it.

    Examples
    --------
    >>> vms = LaggingVmList((), 3.0)
    >>> vms.put(VmSettings("vm-1", "lima-1", "127.1.1.1", 1, 2), now=10.0)
    >>> len(vms.visible_at(12.0)), len(vms.visible_at(13.0))
    (0, 1)
    """

    def __init__(self, vms: tuple[VmSettings, ...], lag_s: float) -> None:
        self.lag_s = lag_s
        first = {vm.vm: vm for vm in vms}
        self._versions: list[tuple[float, dict[str, VmSettings]]] = [
            (float("-inf"), first)
        ]

    def _current(self) -> dict[str, VmSettings]:
        return dict(self._versions[-1][1])

    def put(self, vm: VmSettings, now: float) -> None:
        """Add a VM or change its entry."""
        changed = self._current()
        changed[vm.vm] = vm
        self._versions.append((now, changed))

    def set_state(self, vm: str, state: str, now: float) -> None:
        """Set a VM's state, ``live`` or ``leaving``.

        Raises
        ------
        KeyError
            If the VM isn't listed.
        """
        self.put(self._current()[vm]._replace(state=state), now)

    def remove(self, vm: str, now: float) -> None:
        """Remove a VM from the list."""
        changed = self._current()
        changed.pop(vm, None)
        self._versions.append((now, changed))

    def visible_at(self, now: float) -> tuple[VmSettings, ...]:
        """Return the list as readers see it at time ``now`` (s)."""
        while (
            len(self._versions) > 1
            and self._versions[1][0] <= now - self.lag_s
        ):
            self._versions.pop(0)
        return tuple(self._versions[0][1].values())
