"""Which of a peer's starts its reports belong to.

A VM's counters begin anew with each start, so its reports carry a number of
the start. The number contains the time of day, by which a later start has a
higher number, as a rule. But a clock that was ahead at one start may have
been set back by the next one. If the highest number always counted, that
VM's reports would be ignored for as long as its clock was ahead, and all VMs
together would admit more than a rate. So a lower number counts, too, once
nothing has come from the start before for longer than a VM sends nothing.
Numbers that were replaced don't count any more: reports may be late, and
gatherers repeat them.
"""

#: Seconds without a report after which a peer may have started again: more
#: than between two heartbeats, and less than a start takes.
SILENT_S = 0.6

#: Numbers of earlier starts that are remembered for each peer.
_MAX_REPLACED = 8


class PeerStart:
    """The present start of one peer.

    Examples
    --------
    >>> start = PeerStart(boot=900, now=1.0, is_direct=True)
    >>> start.accepts(800, now=1.2, is_direct=True)
    False
    >>> start.accepts(800, now=2.0, is_direct=True), start.boot
    (True, 800)
    >>> start.accepts(900, now=2.1, is_direct=False), start.boot
    (False, 800)
    """

    def __init__(self, boot: int, now: float, is_direct: bool) -> None:
        self.boot = boot
        self._replaced: list[int] = []
        self._heard_at = now
        self._heard_directly_at = now if is_direct else float("-inf")

    def accepts(self, boot: int, now: float, is_direct: bool) -> bool:
        """Return whether a report counts; note a new start.

        Parameters
        ----------
        boot : int
            Number of the start that the report belongs to.
        now : float
            Seconds.
        is_direct : bool
            Whether it came from the peer itself. Gatherers may repeat those
            of an earlier start until they have heard of the new one.
        """
        if boot != self.boot and not self._is_next(boot, now, is_direct):
            return False
        if boot != self.boot:
            self._replaced = [*self._replaced[1 - _MAX_REPLACED :], self.boot]
            self.boot = boot
        self._heard_at = now
        if is_direct:
            self._heard_directly_at = now
        return True

    def _is_next(self, boot: int, now: float, is_direct: bool) -> bool:
        heard_at = self._heard_directly_at if is_direct else self._heard_at
        if boot in self._replaced and not is_direct:
            return False
        if now - heard_at >= SILENT_S:
            return True
        return boot > self.boot and boot not in self._replaced
