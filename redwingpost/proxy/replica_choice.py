"""Choose the replica for a read, or wait for one, or none.

The decisions are in `redwingpost.routing`.
"""

from asyncio import sleep
from random import Random

from redwingpost.admission.controller import MemberLoad
from redwingpost.core import GroupView, MemberAddress, Request
from redwingpost.ports import Clock
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.status_board import StatusBoard
from redwingpost.proxy.targets import Targets
from redwingpost.routing import (
    POLICIES,
    Candidate,
    holds,
    is_recent_enough,
    is_trusted,
    may_wait,
)

#: Routing policy of the proxy; docs/design/routing.md compares them.
DEFAULT_POLICY = "expected-time"

#: Extra seconds to a member in another data centre, there and back: the
#: sites' distances are 0.5 and 1.5 ms one way.
_FAR_S = 0.002

#: Seconds between looks whether a replica has caught up; the status
#: poll brings news every 50 ms.
_LOOK_S = 0.01

#: Expected seconds of a read at the primary: a page view and the proof
#: that it still leads.
_PRIMARY_S = 0.025

#: Seconds without a status after which a replica gets no reads: one and
#: a half of the slowest poll. A member that was cut off stays as fresh
#: as it was last seen: reads sent there would hang until their
#: deadlines.
SILENT_S = 0.75


class ReplicaChoice:
    """Which replica a read goes to.

    Parameters
    ----------
    directory, board, pool, clock
        The proxy's parts.
    data_centre : str
        Where this VM is.
    policy : str
        Name of the routing policy.
    """

    def __init__(
        self,
        directory: Directory,
        board: StatusBoard,
        pool: Targets,
        clock: Clock,
        data_centre: str = "",
        policy: str = DEFAULT_POLICY,
    ) -> None:
        self._directory = directory
        self._board = board
        self._pool = pool
        self._clock = clock
        self._data_centre = data_centre
        self._policy = POLICIES.get(policy)
        self._random = Random(data_centre)

    async def choose(
        self, request: Request, tried: set[str], stay_on: str = ""
    ) -> MemberAddress | None:
        """Return the replica to read from; None for the primary.

        Parameters
        ----------
        request : Request
            The read.
        tried : set of str
            Members that were of no use to this read.
        stay_on : str
            Member of the session's last read, while it isn't known what
            position that read saw: another replica might show an older
            state. Reads with a stated age may go anywhere.
        """
        waited_from = self._clock.now()
        while True:
            usable = self._usable(request, tried)
            fresh = [a for a in usable if self._is_fresh(a, request)]
            if stay_on and not request.marks.max_staleness_ms:
                fresh = [a for a in fresh if a.member == stay_on]
                usable = [a for a in usable if a.member == stay_on]
            if fresh:
                return self._pick(fresh)
            if not self._may_wait(request, usable, waited_from):
                return None
            await sleep(_LOOK_S)

    def _usable(
        self, request: Request, tried: set[str]
    ) -> list[MemberAddress]:
        view = self._directory.view(request.group)
        if view is None:
            return []
        return [
            address
            for address in self._directory.replicas(request.group)
            if address.member not in tried
            and not self._directory.is_draining(address.member)
            and self._is_heard(address, view)
        ]

    def _is_heard(self, address: MemberAddress, view: GroupView) -> bool:
        observed = self._board.latest(address.member)
        if observed is None:
            return False
        if self._clock.now() - observed.asked_at > SILENT_S:
            return False
        return is_trusted(observed.status, view)

    def _is_fresh(self, address: MemberAddress, request: Request) -> bool:
        observed = self._board.latest(address.member)
        stated_ms = request.marks.max_staleness_ms
        if stated_ms:
            known_for_s = self._clock.now() - observed.asked_at
            return is_recent_enough(observed.status, known_for_s, stated_ms)
        if request.after is None:
            return False
        return holds(observed.status, request.after)

    def _pick(self, fresh: list[MemberAddress]) -> MemberAddress:
        """Choose among the fresh.

        Where all of them are left, the least slow one: on a busy machine
        everything is slow, and all reads at the primary would take the
        slots that only writes can use.
        """
        candidates = []
        for address in fresh:
            load = self._pool.load(address)
            if load.share > 0.0:
                candidates.append(self._candidate(address, load))
            elif self._pool.take_probe(address):
                return address
        if not candidates:
            return min(fresh, key=lambda a: self._pool.load(a).latency_ratio)
        chosen = self._policy(candidates, self._random).member
        return next(a for a in fresh if a.member == chosen)

    def _candidate(
        self, address: MemberAddress, load: MemberLoad
    ) -> Candidate:
        near = address.data_centre == self._data_centre
        return Candidate(
            member=address.member,
            outstanding=load.in_flight + load.queued_cost,
            limit=load.limit,
            service_s=load.service_s,
            distance_s=0.0 if near else _FAR_S,
            warm=self._pool.warm_connections(address) > 0,
            share=load.share,
        )

    def _may_wait(
        self,
        request: Request,
        usable: list[MemberAddress],
        waited_from: float,
    ) -> bool:
        """Say whether a replica is about to hold what the read needs."""
        if request.after is None or request.marks.max_staleness_ms:
            return False
        now = self._clock.now()
        expected_s = min(
            (self._expected_s(address, now) for address in usable),
            default=float("inf"),
        )
        waited_s = now - waited_from
        left_s = request.deadline_at - now
        return may_wait(expected_s + waited_s, _PRIMARY_S, left_s)

    def _expected_s(self, address: MemberAddress, now: float) -> float:
        # A replica whose state is this old needs about as long to reach
        # what was written just now.
        observed = self._board.latest(address.member)
        known_for_s = now - observed.asked_at
        return observed.status.age_ms / 1000.0 + known_for_s
