"""Confirm writes and terms with the replicas of a group.

``redwingpost.promotion.Acknowledgements`` holds the rule; this module
sends its waits to the replicas. All writes and reads of a group that need
a confirmation share a few waits at each replica. See
``docs/design/fencing.md``.
"""

from asyncio import (
    Future,
    Task,
    create_task,
    get_running_loop,
    sleep,
    wait_for,
)
from itertools import count
from typing import Any, NamedTuple

from redwingpost.core import GroupView, MemberAddress, Position
from redwingpost.ports import (
    Clock,
    MonotonicClock,
    TargetError,
    TargetLost,
)
from redwingpost.promotion import (
    Acknowledgements,
    Decision,
    SettledWrite,
    UnconfirmedPolicy,
    Wait,
    WaitAnswer,
    replicas_needed,
)
from redwingpost.proxy.control_connections import ControlConnections
from redwingpost.proxy.directory import Directory

#: Seconds that a replica holds a wait. Shorter than the bound on a
#: confirmation, so that a replica that is behind still answers with its
#: promised term before the bound.
_WAIT_S = 0.25

#: Seconds before the next wait is sent to a replica that failed.
_FAILED_PAUSE_S = 0.1

#: Seconds before the next wait is sent to a replica with an older term;
#: the observers send it the new term within half a second.
_OLD_TERM_PAUSE_S = 0.02


class _AcknowledgementsKey(NamedTuple):
    """Key of an ``Acknowledgements``; any change needs a new one."""

    group: str
    term: int
    replicas: tuple[MemberAddress, ...]
    by_term: bool


class Confirmer:
    """Confirms that writes are replicated and that a term is current.

    Parameters
    ----------
    directory : Directory
        Replicas and terms of the groups.
    control_connections : ControlConnections
        Connections for the waits.
    clock : Clock, optional
        Source of time.

    Attributes
    ----------
    waits_sent, writes_confirmed : int
        Counters; their ratio shows how many writes share a round trip.
    """

    def __init__(
        self,
        directory: Directory,
        control_connections: ControlConnections,
        clock: Clock | None = None,
    ) -> None:
        self._directory = directory
        self._control_connections = control_connections
        self._clock = clock or MonotonicClock()
        self._acknowledgements_by_key: dict[
            _AcknowledgementsKey, Acknowledgements
        ] = {}
        self._futures_by_number: dict[int, Future] = {}
        self._numbers = count(1)
        self._tasks: set[Task] = set()
        self.waits_sent = 0
        self.writes_confirmed = 0
        directory.view_listeners.append(self._observe)

    async def confirm(
        self, group: str, position: Position, wait_s: float
    ) -> bool:
        """Return whether a position is confirmed; with index 0, its term.

        The proof of a term is requested after this call, so it covers
        everything that a member answered before.
        """
        decision = await self.decide(group, position, wait_s)
        return decision is Decision.ACKNOWLEDGED

    async def decide(
        self,
        group: str,
        position: Position,
        wait_s: float,
        past_bound: UnconfirmedPolicy = UnconfirmedPolicy.REFUSE,
    ) -> Decision:
        """Return the decision of the acknowledgement rule for a write.

        Parameters
        ----------
        group : str
            The database group.
        position : Position
            Position of the write's commit.
        wait_s : float
            Bound on the wait, in seconds.
        past_bound : UnconfirmedPolicy, optional
            Policy of its request kind for a write past the bound.
        """
        key = self._key(group, position)
        acknowledgements = self._acknowledgements_for(key)
        number = next(self._numbers)
        future = get_running_loop().create_future()
        self._futures_by_number[number] = future
        bound_at = self._clock.now() + wait_s
        self._resolve_writes(
            acknowledgements.add(number, position, bound_at, past_bound)
        )
        self._send_waits(key, acknowledgements)
        try:
            return await wait_for(future, wait_s)
        except TimeoutError:
            return self._expire(acknowledgements, number)
        finally:
            self._futures_by_number.pop(number, None)
            acknowledgements.forget(number)

    def _expire(
        self, acknowledgements: Acknowledgements, number: int
    ) -> Decision:
        for decided in acknowledgements.expired(self._clock.now()):
            if decided.write == number:
                return decided.decision
            self._resolve_writes((decided,))
        return Decision.NOT_CONFIRMED

    def _key(self, group: str, position: Position) -> _AcknowledgementsKey:
        replicas = self._directory.replicas(group)
        return _AcknowledgementsKey(
            group, position.term, replicas, by_term=position.index == 0
        )

    def _acknowledgements_for(
        self, key: _AcknowledgementsKey
    ) -> Acknowledgements:
        acknowledgements = self._acknowledgements_by_key.get(key)
        if acknowledgements is None:
            self._drop_idle(key)
            names = [address.member for address in key.replicas]
            needed = replicas_needed(len(names) + 1)
            acknowledgements = Acknowledgements(
                key.term, names, needed, by_term=key.by_term
            )
            view = self._directory.view(key.group)
            if view is not None and view.term > key.term:
                acknowledgements.replaced()
            self._acknowledgements_by_key[key] = acknowledgements
        return acknowledgements

    def _drop_idle(self, new: _AcknowledgementsKey) -> None:
        """Drop unused state that the new key replaces."""
        for key in tuple(self._acknowledgements_by_key):
            same = key.group == new.group and key.by_term == new.by_term
            if same and not len(self._acknowledgements_by_key[key]):
                del self._acknowledgements_by_key[key]

    def _observe(self, view: GroupView) -> None:
        """Resolve the writes of terms that the view has replaced."""
        for key, acknowledgements in tuple(
            self._acknowledgements_by_key.items()
        ):
            if key.group == view.group and key.term < view.term:
                self._resolve_writes(acknowledgements.replaced())

    def _send_waits(
        self, key: _AcknowledgementsKey, acknowledgements: Acknowledgements
    ) -> None:
        for address in key.replicas:
            wait = acknowledgements.next_wait(address.member)
            if wait is not None:
                self._start_task(
                    self._send_wait(key, acknowledgements, address, wait)
                )

    def _start_task(self, work: Any) -> None:
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_wait(
        self,
        key: _AcknowledgementsKey,
        acknowledgements: Acknowledgements,
        address: MemberAddress,
        wait: Wait,
    ) -> None:
        self.waits_sent += 1
        wait_s = 0.0 if key.by_term else _WAIT_S
        try:
            answer = await self._control_connections.call(
                address,
                lambda connection: connection.wait_received(
                    wait.position, wait_s
                ),
            )
        except (TargetError, TargetLost):
            await sleep(_FAILED_PAUSE_S)
            acknowledgements.failed(address.member, wait.number)
        else:
            wait_answer = WaitAnswer(
                address.member, answer.promised_term, answer.position
            )
            self._resolve_writes(
                acknowledgements.answered(wait.number, wait_answer)
            )
            if answer.promised_term < key.term:
                # A member that hasn't received the term yet answers
                # immediately. Without a pause it would get thousands of
                # waits until an observer sends it the term.
                await sleep(_OLD_TERM_PAUSE_S)
        self._send_waits(key, acknowledgements)

    def _resolve_writes(self, decided: tuple[SettledWrite, ...]) -> None:
        for done in decided:
            future = self._futures_by_number.get(done.write)
            if future is not None and not future.done():
                future.set_result(done.decision)
            if done.decision is Decision.ACKNOWLEDGED:
                self.writes_confirmed += 1

    async def close(self) -> None:
        """Cancel the waits in progress."""
        for task in tuple(self._tasks):
            task.cancel()
