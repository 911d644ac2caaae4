"""Ask replicas for the proofs that acknowledgements need.

The rule is ``redwingpost.promotion.Acknowledgements``; here are its
messages. All writes (and reads) of a group that wait at this proxy share
the same few waits at each replica. See ``docs/design/fencing.md``.
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
from redwingpost.proxy.control_lines import ControlLines
from redwingpost.proxy.directory import Directory

#: Seconds that a replica holds a wait. Shorter than the bound on a
#: confirmation, so that a replica that is behind still answers what it
#: has promised before the bound.
_WAIT_S = 0.25

#: Seconds before a replica that failed is asked again.
_FAILED_PAUSE_S = 0.1

#: Seconds before a replica that is behind in its term is asked again;
#: the observers tell it within half a second.
_BEHIND_PAUSE_S = 0.02


class _LedgerKey(NamedTuple):
    """What a ledger belongs to; a change of any makes a new one."""

    group: str
    term: int
    replicas: tuple[MemberAddress, ...]
    by_term: bool


class Confirmer:
    """Proves that writes are safe and that a term is still current.

    Parameters
    ----------
    directory : Directory
        Tells the replicas and the term of a group.
    lines : ControlLines
        Control connections.
    clock : Clock, optional
        Source of time.

    Attributes
    ----------
    waits_sent, writes_confirmed : int
        Counts; their ratio says how many writes share a round trip.
    """

    def __init__(
        self,
        directory: Directory,
        lines: ControlLines,
        clock: Clock | None = None,
    ) -> None:
        self._directory = directory
        self._lines = lines
        self._clock = clock or MonotonicClock()
        self._ledgers_by_key: dict[_LedgerKey, Acknowledgements] = {}
        self._futures_by_number: dict[int, Future] = {}
        self._numbers = count(1)
        self._tasks: set[Task] = set()
        self.waits_sent = 0
        self.writes_confirmed = 0
        directory.on_view.append(self._observe)

    async def confirm(
        self, group: str, position: Position, wait_s: float
    ) -> bool:
        """Say whether a position, or with index 0 its term, is proven.

        The proof of a term is asked for after this call, so that it
        covers whatever a member answered before.
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
        """Return what the acknowledgement rule makes of a write.

        Parameters
        ----------
        group : str
            The database group.
        position : Position
            Where the write committed.
        wait_s : float
            Bound on the wait, in seconds.
        past_bound : UnconfirmedPolicy, optional
            What its request kind wants past the bound.
        """
        key = self._key(group, position)
        ledger = self._ledger(key)
        number = next(self._numbers)
        future = get_running_loop().create_future()
        self._futures_by_number[number] = future
        bound_at = self._clock.now() + wait_s
        self._settle(ledger.add(number, position, bound_at, past_bound))
        self._pump(key, ledger)
        try:
            return await wait_for(future, wait_s)
        except TimeoutError:
            return self._past_bound(ledger, number)
        finally:
            self._futures_by_number.pop(number, None)
            ledger.forget(number)

    def _past_bound(self, ledger: Acknowledgements, number: int) -> Decision:
        for decided in ledger.expired(self._clock.now()):
            if decided.write == number:
                return decided.decision
            self._settle((decided,))
        return Decision.NOT_CONFIRMED

    def _key(self, group: str, position: Position) -> _LedgerKey:
        replicas = self._directory.replicas(group)
        return _LedgerKey(
            group, position.term, replicas, by_term=position.index == 0
        )

    def _ledger(self, key: _LedgerKey) -> Acknowledgements:
        ledger = self._ledgers_by_key.get(key)
        if ledger is None:
            self._drop_idle(key)
            names = [address.member for address in key.replicas]
            needed = replicas_needed(len(names) + 1)
            ledger = Acknowledgements(
                key.term, names, needed, by_term=key.by_term
            )
            view = self._directory.view(key.group)
            if view is not None and view.term > key.term:
                ledger.replaced()
            self._ledgers_by_key[key] = ledger
        return ledger

    def _drop_idle(self, new: _LedgerKey) -> None:
        """Forget ledgers that the new one follows."""
        for key in tuple(self._ledgers_by_key):
            same = key.group == new.group and key.by_term == new.by_term
            if same and not len(self._ledgers_by_key[key]):
                del self._ledgers_by_key[key]

    def _observe(self, view: GroupView) -> None:
        """End the waits of a term that another one follows."""
        for key, ledger in tuple(self._ledgers_by_key.items()):
            if key.group == view.group and key.term < view.term:
                self._settle(ledger.replaced())

    def _pump(self, key: _LedgerKey, ledger: Acknowledgements) -> None:
        for address in key.replicas:
            wait = ledger.next_wait(address.member)
            if wait is not None:
                self._spawn(self._send(key, ledger, address, wait))

    def _spawn(self, work: Any) -> None:
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self,
        key: _LedgerKey,
        ledger: Acknowledgements,
        address: MemberAddress,
        wait: Wait,
    ) -> None:
        self.waits_sent += 1
        wait_s = 0.0 if key.by_term else _WAIT_S
        try:
            answer = await self._lines.ask(
                address,
                lambda line: line.wait_received(wait.position, wait_s),
            )
        except (TargetError, TargetLost):
            await sleep(_FAILED_PAUSE_S)
            ledger.failed(address.member, wait.number)
        else:
            named = WaitAnswer(
                address.member, answer.promised_term, answer.position
            )
            self._settle(ledger.answered(wait.number, named))
            if answer.promised_term < key.term:
                # A member that hasn't heard of the term yet answers at
                # once; asked again without a pause, it would be asked
                # thousands of times until somebody tells it.
                await sleep(_BEHIND_PAUSE_S)
        self._pump(key, ledger)

    def _settle(self, decided: tuple[SettledWrite, ...]) -> None:
        for done in decided:
            future = self._futures_by_number.get(done.write)
            if future is not None and not future.done():
                future.set_result(done.decision)
            if done.decision is Decision.ACKNOWLEDGED:
                self.writes_confirmed += 1

    async def close(self) -> None:
        """End the waits."""
        for task in tuple(self._tasks):
            task.cancel()
