"""The organisations' rates at this VM: accounts, loans to and from peers.

The decisions are in `redwingpost.rates`; here they meet the peers.
"""

from asyncio import Event, Future, create_task, gather, get_running_loop
from asyncio import wait_for
from collections.abc import Iterable
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from loguru import logger
from mode import Service

from redwingpost.adapters.peer import PeerAddress, PeerClients
from redwingpost.core import Code, Refusal
from redwingpost.ports import Clock
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.feed import FedPeer, FedShare
from redwingpost.rates.bucket import STATEMENT_MICROTOKENS, TOTAL_PARTS
from redwingpost.rates.demand import (
    DemandMeter,
    LenderCandidate,
    LoanAmount,
    lendable,
    order_lenders,
    parts_for,
    retry_pause_s,
    shortfall,
    surplus_loans,
    tokens_to_keep,
)
from redwingpost.rates.ledger import BaseParts, Borrowed, Ledger
from redwingpost.rates.loans import (
    Borrower,
    Grant,
    Lender,
    QUARANTINE_S,
    number_sequence,
)
from redwingpost.rates.waiting import WaitQueue, Waiter
from redwingpost.wire.schema import SCHEMA

#: Seconds that a peer gets for an answer: a slow round trip between
#: data centres is a few milliseconds, and requests wait meanwhile.
CALL_S = 0.1

#: Seconds between looks at loans: five in the half second in which a
#: loan may be renewed.
KEEP_S = 0.1

#: Shortest sleep of a line that waits for tokens (seconds).
_SHORTEST_WAIT_S = 0.001

#: Name of the share that holds for every organisation alike.
ALL_ORGANISATIONS = ""

#: Each lender is asked for this many times its even part of a need, so
#: that a round still fills it when half of them are dry.
_OVERASK = 2


class Account:
    """One organisation at this VM."""

    def __init__(self, organisation: str, ledger: Ledger, numbers: Any):
        self.organisation = organisation
        self.ledger = ledger
        self.lender = Lender(ledger, numbers)
        self.borrower = Borrower(ledger, numbers)
        self.line = WaitQueue(ledger)
        self.meter = DemandMeter()
        self.spare_by_vm: dict[str, int] = {}
        self.dry_rounds = 0
        self.ask_after = 0.0
        self.asking = False
        self.changed = Event()
        self.pumping = False

    def needs(self, now: float) -> LoanAmount | None:
        """Return what to borrow."""
        demand = self.meter.per_second(now)
        return shortfall(self.ledger, demand, self.line.waiting, now)

    def surplus(self, now: float) -> list[Borrowed]:
        """Return the loans to give back."""
        demand = self.meter.per_second(now)
        return surplus_loans(self.ledger, demand, self.line.waiting, now)

    def lendable(self, ask: LoanAmount, now: float) -> LoanAmount:
        """Return what to lend of what a peer asks for."""
        demand = self.meter.per_second(now)
        waiting = self.line.waiting
        return lendable(self.ledger, demand, waiting, ask, now)

    def wants_back(self, now: float) -> bool:
        """Say whether this VM needs the parts that it lent."""
        demand = self.meter.per_second(now)
        wanted = parts_for(demand, self.ledger.bucket.rate)
        return wanted > self.ledger.parts_at(now)


class _Peer(NamedTuple):
    vm: str
    data_centre: str
    address: PeerAddress


class RateDesk(Service):
    """Spends, borrows and lends the rates of all organisations.

    Parameters
    ----------
    vm, data_centre : str
        This VM.
    directory : Directory
        Rates by organisation.
    clients : PeerClients
        Connections to the other proxies.
    clock : Clock
        Source of time.
    incarnation : int
        Grows with each start of the process.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        directory: Directory,
        clients: PeerClients,
        clock: Clock,
        incarnation: int,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._vm = vm
        self._data_centre = data_centre
        self._directory = directory
        self._clients = clients
        self._clock = clock
        self._incarnation = incarnation
        self._numbers = number_sequence(incarnation)
        self._usable_from = clock.now() + QUARANTINE_S
        self._base = BaseParts(0, self._usable_from, 0.0)
        self._peers_by_vm: dict[str, _Peer] = {}
        self._accounts_by_organisation: dict[str, Account] = {}
        self._account_by_loan: dict[int, Account] = {}
        self._tasks: set[Any] = set()

    @property
    def settled(self) -> bool:
        """Say whether the base parts may be used by now."""
        return self._clock.now() >= self._usable_from

    def hold_whole_rates(self) -> None:
        """Serve alone: this proxy has no agent and no peers."""
        self._usable_from = self._clock.now()
        self._base = BaseParts(TOTAL_PARTS, self._usable_from, float("inf"))
        self._refresh()

    def take_shares(self, shares: Iterable[FedShare]) -> None:
        """Take in the base parts that the agent vouches for."""
        for share in shares:
            if share.organisation == ALL_ORGANISATIONS:
                self._base = BaseParts(
                    share.parts_per_million,
                    self._usable_from,
                    share.valid_until,
                )
        self._refresh()

    def take_peers(self, peers: Iterable[FedPeer]) -> None:
        """Take in the other VMs."""
        self._peers_by_vm = {
            peer.address.vm: _Peer(
                peer.address.vm,
                peer.address.data_centre,
                PeerAddress(peer.address.ip, peer.address.proxy_port),
            )
            for peer in peers
            if peer.address.proxy_port
        }

    def configure(self) -> None:
        """Open an account for each organisation, so that it fills."""
        for (
            organisation
        ) in self._directory.configuration.organisations_by_name:
            self._account(organisation)
        self._refresh()

    async def spend(
        self, organisation: str, cost: float, deadline_at: float
    ) -> Result[None, Refusal]:
        """Spend tokens, waiting a moment where that helps."""
        now = self._clock.now()
        account = self._account(organisation)
        tokens = round(cost * STATEMENT_MICROTOKENS)
        account.meter.observe(tokens, now)
        if account.line.spend(tokens, now):
            self._borrow_ahead(account, now)
            return Ok(None)
        future: Future = get_running_loop().create_future()
        account.line.add(Waiter(tokens, deadline_at, future))
        self._borrow_ahead(account, now)
        self._settle_line(account)
        if not future.done() and not account.pumping:
            account.pumping = True
            self._spawn(self._pump(account))
        try:
            return await future
        finally:
            if not future.done() or future.cancelled():
                account.line.discard(future)

    def lend(self, vm: str, organisation: str, ask: LoanAmount) -> Grant:
        """Answer a peer that asks for a loan."""
        now = self._clock.now()
        account = self._account(organisation)
        spare = account.lendable(ask, now)
        grant = account.lender.lend(vm, spare.parts, spare.tokens, now)
        if grant.parts:
            self._account_by_loan[grant.loan] = account
        self._give_back(account, account.surplus(now))
        return grant

    def renew(self, loan: int) -> float:
        """Answer a peer that renews a loan; 0 asks for it back."""
        now = self._clock.now()
        account = self._account_by_loan.get(loan)
        if account is None:
            return 0.0
        return account.lender.renew(loan, account.wants_back(now), now)

    def take_back(self, loan: int, tokens: int) -> None:
        """Take back a loan that a peer returns."""
        account = self._account_by_loan.pop(loan, None)
        if account is not None:
            account.lender.take_back(loan, tokens, self._clock.now())
            account.changed.set()

    def _account(self, organisation: str) -> Account:
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            known = self._directory.configuration.organisations_by_name
            granted = known[organisation]
            now = self._clock.now()
            ledger = Ledger(granted.rate, granted.burst, now)
            ledger.set_base(self._base, now)
            account = Account(organisation, ledger, self._numbers)
            self._accounts_by_organisation[organisation] = account
        return account

    def _refresh(self) -> None:
        if self._directory.configuration is None:
            return
        now = self._clock.now()
        known = self._directory.configuration.organisations_by_name
        for name, account in self._accounts_by_organisation.items():
            granted = known.get(name)
            if granted is not None:
                ledger = account.ledger
                ledger.set_limits(granted.rate, granted.burst, now)
            account.ledger.set_base(self._base, now)

    def _borrow_ahead(self, account: Account, now: float) -> None:
        if account.asking or now < account.ask_after or not self._peers_by_vm:
            return
        need = account.needs(now)
        if need is None:
            return
        account.asking = True
        self._spawn(self._round(account, need))

    async def _round(self, account: Account, need: LoanAmount) -> None:
        """Ask several peers at once."""
        try:
            hints = [
                LenderCandidate(
                    p.vm, p.data_centre, account.spare_by_vm.get(p.vm)
                )
                for p in self._peers_by_vm.values()
            ]
            vms = order_lenders(hints, self._data_centre, account.dry_rounds)
            each = LoanAmount(
                min(need.parts, _OVERASK * need.parts // len(vms) + 1),
                min(need.tokens, _OVERASK * need.tokens // len(vms) + 1),
            )
            gained = await gather(*(self._ask(account, v, each) for v in vms))
        finally:
            account.asking = False
            account.changed.set()
        now = self._clock.now()
        if sum(gained) > STATEMENT_MICROTOKENS // 2:
            account.dry_rounds = 0
            account.ask_after = now
        else:
            account.dry_rounds += 1
            account.ask_after = now + retry_pause_s(account.dry_rounds)

    async def _ask(self, account: Account, vm: str, need: LoanAmount) -> int:
        """Ask one peer; return the micro-tokens that it lent."""
        peer = self._peers_by_vm[vm]
        now = self._clock.now()
        ask = account.borrower.request(vm, need.parts, need.tokens, now)
        answer = await self._clients.call(
            peer.address,
            lambda node: node.lending().lending.borrow(
                vm=self._vm,
                incarnation=self._incarnation,
                organisation=account.organisation,
                partsPerMillion=need.parts,
                microTokens=need.tokens,
            ),
            CALL_S,
        )
        if answer.is_error():
            account.borrower.cancel(ask.number)
            account.spare_by_vm[vm] = 0
            return 0
        loan = answer.ok.loan
        grant = Grant(
            loan.loan,
            loan.partsPerMillion,
            loan.microTokens,
            loan.validMs / 1000,
        )
        account.spare_by_vm[vm] = grant.parts
        if not account.borrower.accept(ask.number, grant, self._clock.now()):
            return 0
        self._settle_line(account)
        return grant.tokens

    async def _pump(self, account: Account) -> None:
        """Serve a line until nobody waits."""
        try:
            while len(account.line):
                now = self._clock.now()
                self._borrow_ahead(account, now)
                account.changed.clear()
                wait_s = min(CALL_S, account.line.next_serve_s(now))
                await _wait_until(account.changed, wait_s)
                self._settle_line(account)
        finally:
            account.pumping = False

    def _settle_line(self, account: Account) -> None:
        now = self._clock.now()
        for waiter in account.line.serve(now):
            _answer(waiter.handle, Ok(None))
        for refused in account.line.refuse(now, account.asking):
            refusal = Refusal(
                Code.OVER_RATE, retry_after_ms=refused.retry_after_ms
            )
            _answer(refused.waiter.handle, Error(refusal))

    @Service.task
    async def _keep_loans(self) -> None:
        while not self.should_stop:
            await self.sleep(KEEP_S)
            now = self._clock.now()
            for account in self._accounts_by_organisation.values():
                if account.ledger.borrowed_by_loan:
                    self._keep(account, now)
            self._forget_lapsed()

    def _keep(self, account: Account, now: float) -> None:
        self._give_back(account, account.surplus(now))
        for loan in account.borrower.due_for_renewal(now):
            self._spawn(self._renew(account, loan))

    async def _renew(self, account: Account, loan: Borrowed) -> None:
        peer = self._peers_by_vm.get(loan.lender)
        if peer is None:
            return
        asked_at = self._clock.now()
        answer = await self._clients.call(
            peer.address,
            lambda node: node.lending().lending.renew(
                vm=self._vm, loan=loan.loan
            ),
            CALL_S,
        )
        if answer.is_error():
            return
        key = (loan.lender, loan.loan)
        valid_s = answer.ok.validMs / 1000
        now = self._clock.now()
        if not account.borrower.apply_renewal(key, valid_s, asked_at, now):
            self._give_back(account, [loan])

    def _give_back(self, account: Account, loans: list[Borrowed]) -> None:
        now = self._clock.now()
        keep = tokens_to_keep(account.meter.per_second(now))
        for loan in loans:
            key = (loan.lender, loan.loan)
            back = account.borrower.return_loan(key, keep, now)
            if back is not None:
                self._spawn(self._send_back(back))

    async def _send_back(self, back: Any) -> None:
        peer = self._peers_by_vm.get(back.lender)
        if peer is None:
            return
        await self._clients.call(
            peer.address,
            lambda node: node.lending().lending.giveBack(
                vm=self._vm,
                loan=back.loan,
                partsPerMillion=back.parts,
                microTokens=back.tokens,
            ),
            CALL_S,
        )

    def _forget_lapsed(self) -> None:
        for loan, account in list(self._account_by_loan.items()):
            if loan not in account.ledger.lent_by_loan:
                del self._account_by_loan[loan]

    def _spawn(self, work: Any) -> None:
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: Any) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("lending failed")

    async def on_stop(self) -> None:
        """End what is under way; loans lapse by themselves."""
        for task in tuple(self._tasks):
            task.cancel()


class LendingServer(SCHEMA.Lending.Server):
    """Answers other proxies.

    Parameters
    ----------
    desk : RateDesk
        This VM's accounts.
    directory : Directory
        To refuse organisations that aren't configured.
    """

    def __init__(self, desk: RateDesk, directory: Directory) -> None:
        self._desk = desk
        self._directory = directory

    async def borrow(
        self,
        vm: str,
        incarnation: int,
        organisation: str,
        partsPerMillion: int,
        microTokens: int,
        _context: Any,
        **kwargs: Any,
    ) -> None:
        """Lend what can be spared."""
        configuration = self._directory.configuration
        if configuration is None:
            return
        if organisation not in configuration.organisations_by_name:
            return
        ask = LoanAmount(partsPerMillion, microTokens)
        grant = self._desk.lend(vm, organisation, ask)
        loan = _context.results.init("loan")
        loan.loan = grant.loan
        loan.organisation = organisation
        loan.partsPerMillion = grant.parts
        loan.microTokens = grant.tokens
        # Rounded down: the borrower's loan must lapse first.
        loan.validMs = int(grant.valid_s * 1000)

    async def giveBack(
        self,
        vm: str,
        loan: int,
        partsPerMillion: int,
        microTokens: int,
        _context: Any,
        **kwargs: Any,
    ) -> None:
        """Take a loan back."""
        self._desk.take_back(loan, microTokens)

    async def renew(
        self, vm: str, loan: int, _context: Any, **kwargs: Any
    ) -> None:
        """Renew a loan, or ask for it back."""
        _context.results.validMs = int(self._desk.renew(loan) * 1000)


def _answer(future: Future, result: Result) -> None:
    if not future.done():
        future.set_result(result)


async def _wait_until(event: Event, seconds: float) -> None:
    try:
        await wait_for(event.wait(), max(_SHORTEST_WAIT_S, seconds))
    except TimeoutError:
        return
