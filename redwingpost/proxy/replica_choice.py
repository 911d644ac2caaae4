"""Choose a replica for a read, or send the read to the primary.

`redwingpost.routing` holds the rules and policies.
"""

from asyncio import sleep
from random import Random

from redwingpost.admission.controller import MemberLoad
from redwingpost.core import GroupView, MemberAddress, Request
from redwingpost.ports import Clock
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.status_poller import StatusPoller
from redwingpost.proxy.targets import TargetPool
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

#: Extra round trip to a member in another data centre (seconds): the one-way
#: latencies of the sites are 0.5 and 1.5 ms.
_REMOTE_ROUND_TRIP_S = 0.002

#: Seconds between checks whether a replica has caught up; the status
#: poll updates positions every 50 ms.
_RECHECK_INTERVAL_S = 0.01

#: Expected duration of a read at the primary (seconds): a page view and
#: the proof that it is still the primary.
_PRIMARY_READ_S = 0.025

#: Age of its last status after which a replica gets no reads (seconds):
#: one and a half of the slowest poll interval. The last status of a
#: member that was cut off still shows it as fresh; reads sent there would
#: hang until their deadlines.
MAX_STATUS_AGE_S = 0.75


class ReplicaChoice:
    """Selects the replica for each read.

    Parameters
    ----------
    directory, status_poller, pool, clock
        Shared components of the proxy.
    data_centre : str
        This VM's data centre.
    policy : str
        Name of the routing policy.
    """

    def __init__(
        self,
        directory: Directory,
        status_poller: StatusPoller,
        pool: TargetPool,
        clock: Clock,
        data_centre: str = "",
        policy: str = DEFAULT_POLICY,
    ) -> None:
        self._directory = directory
        self._status_poller = status_poller
        self._pool = pool
        self._clock = clock
        self._data_centre = data_centre
        self._policy = POLICIES.get(policy)
        self._random = Random(data_centre)

    async def choose(
        self,
        request: Request,
        tried_members: set[str],
        sticky_member: str = "",
    ) -> MemberAddress | None:
        """Return the replica to read from; None for the primary.

        Parameters
        ----------
        request : Request
            The read.
        tried_members : set of str
            Members at which this read has failed.
        sticky_member : str
            Member of the session's last read, as long as the position
            that read saw is unknown: another replica might show an older
            state. A read that states a maximum age may go to any member.
        """
        waited_from = self._clock.now()
        while True:
            usable = self._usable(request, tried_members)
            fresh = [a for a in usable if self._is_fresh(a, request)]
            if sticky_member and not request.marks.max_staleness_ms:
                fresh = [a for a in fresh if a.member == sticky_member]
                usable = [a for a in usable if a.member == sticky_member]
            if fresh:
                return self._pick(fresh)
            if not self._may_wait(request, usable, waited_from):
                return None
            await sleep(_RECHECK_INTERVAL_S)

    def _usable(
        self, request: Request, tried_members: set[str]
    ) -> list[MemberAddress]:
        view = self._directory.view(request.group)
        if view is None:
            return []
        return [
            address
            for address in self._directory.replicas(request.group)
            if address.member not in tried_members
            and not self._directory.is_draining(address.member)
            and self._has_trusted_status(address, view)
        ]

    def _has_trusted_status(
        self, address: MemberAddress, view: GroupView
    ) -> bool:
        observed = self._status_poller.latest(address.member)
        if observed is None:
            return False
        if self._clock.now() - observed.requested_at > MAX_STATUS_AGE_S:
            return False
        return is_trusted(observed.status, view)

    def _is_fresh(self, address: MemberAddress, request: Request) -> bool:
        observed = self._status_poller.latest(address.member)
        stated_ms = request.marks.max_staleness_ms
        if stated_ms:
            known_for_s = self._clock.now() - observed.requested_at
            return is_recent_enough(observed.status, known_for_s, stated_ms)
        if request.after is None:
            return False
        return holds(observed.status, request.after)

    def _pick(self, fresh: list[MemberAddress]) -> MemberAddress:
        """Choose one of the fresh replicas.

        If the breakers of all of them are open, choose the least slow
        one. On a busy VM every member is slow, and sending all reads
        to the primary would use up the slots that writes need.
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
        is_local = address.data_centre == self._data_centre
        return Candidate(
            member=address.member,
            outstanding=load.in_flight + load.queued_cost,
            limit=load.limit,
            service_s=load.service_s,
            distance_s=0.0 if is_local else _REMOTE_ROUND_TRIP_S,
            warm=self._pool.warm_connections(address) > 0,
            share=load.share,
        )

    def _may_wait(
        self,
        request: Request,
        usable: list[MemberAddress],
        waited_from: float,
    ) -> bool:
        """Return whether a replica is expected to catch up in time."""
        if request.after is None or request.marks.max_staleness_ms:
            return False
        now = self._clock.now()
        expected_s = min(
            (self._expected_catch_up_s(address, now) for address in usable),
            default=float("inf"),
        )
        waited_s = now - waited_from
        left_s = request.deadline_at - now
        return may_wait(expected_s + waited_s, _PRIMARY_READ_S, left_s)

    def _expected_catch_up_s(
        self, address: MemberAddress, now: float
    ) -> float:
        # A replica needs about as long as its state is old to reach the
        # position of a write that committed now.
        observed = self._status_poller.latest(address.member)
        known_for_s = now - observed.requested_at
        return observed.status.age_ms / 1000.0 + known_for_s
