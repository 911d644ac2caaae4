"""Rate limits of the organisations at this VM, with loans between VMs.

`redwingpost.rates` decides what to borrow and lend; this module sends and
answers the calls between proxies.
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
from redwingpost.proxy.feed import FeedPeer, FeedShare
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

#: Timeout of a call to a peer (seconds). A slow round trip between data
#: centres takes a few milliseconds, and requests wait meanwhile.
CALL_TIMEOUT_S = 0.1

#: Seconds between checks of the loans: five checks in the half second in
#: which a loan may be renewed.
LOAN_CHECK_INTERVAL_S = 0.1

#: Shortest wait of the task that serves a queue (seconds).
_MIN_WAIT_S = 0.001

#: Name of the share that applies to every organisation.
ALL_ORGANISATIONS = ""

#: Factor by which the amount requested from each lender exceeds its even
#: part of the shortfall, so that a round covers the shortfall when half of
#: the lenders have no tokens.
_OVERBORROW_FACTOR = 2


class Account:
    """Rate limit state of one organisation at this VM."""

    def __init__(self, organisation: str, ledger: Ledger, numbers: Any):
        self.organisation = organisation
        self.ledger = ledger
        self.lender = Lender(ledger, numbers)
        self.borrower = Borrower(ledger, numbers)
        self.queue = WaitQueue(ledger)
        self.meter = DemandMeter()
        self.spare_parts_by_vm: dict[str, int] = {}
        self.empty_rounds = 0
        self.next_borrow_at = 0.0
        self.is_borrowing = False
        self.changed = Event()
        self.is_serving_queue = False

    def needs(self, now: float) -> LoanAmount | None:
        """Return the shortfall to borrow, or None."""
        demand = self.meter.per_second(now)
        return shortfall(self.ledger, demand, self.queue.waiting, now)

    def surplus(self, now: float) -> list[Borrowed]:
        """Return the borrowed loans that are no longer needed."""
        demand = self.meter.per_second(now)
        return surplus_loans(self.ledger, demand, self.queue.waiting, now)

    def lendable(self, request: LoanAmount, now: float) -> LoanAmount:
        """Return how much of a requested loan can be lent."""
        demand = self.meter.per_second(now)
        waiting = self.queue.waiting
        return lendable(self.ledger, demand, waiting, request, now)

    def needs_lent_parts(self, now: float) -> bool:
        """Return whether this VM needs the parts that it lent."""
        demand = self.meter.per_second(now)
        wanted = parts_for(demand, self.ledger.bucket.rate)
        return wanted > self.ledger.parts_at(now)


class _Peer(NamedTuple):
    vm: str
    data_centre: str
    address: PeerAddress


class RateLimiter(Service):
    """Enforces the organisations' rates, with tokens shared between VMs.

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
    def base_parts_usable(self) -> bool:
        """Return whether the quarantine of the base parts has ended."""
        return self._clock.now() >= self._usable_from

    def use_full_rates(self) -> None:
        """Use the full rates; for a proxy without an agent and peers."""
        self._usable_from = self._clock.now()
        self._base = BaseParts(TOTAL_PARTS, self._usable_from, float("inf"))
        self._refresh()

    def update_shares(self, shares: Iterable[FeedShare]) -> None:
        """Apply the base parts that the agent sent."""
        for share in shares:
            if share.organisation == ALL_ORGANISATIONS:
                self._base = BaseParts(
                    share.parts_per_million,
                    self._usable_from,
                    share.valid_until,
                )
        self._refresh()

    def update_peers(self, peers: Iterable[FeedPeer]) -> None:
        """Replace the list of other VMs."""
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
        """Create every organisation's account, so that its bucket fills."""
        for (
            organisation
        ) in self._directory.configuration.organisations_by_name:
            self._account(organisation)
        self._refresh()

    async def spend(
        self, organisation: str, cost: float, deadline_at: float
    ) -> Result[None, Refusal]:
        """Spend tokens, waiting briefly if they will be available."""
        now = self._clock.now()
        account = self._account(organisation)
        tokens = round(cost * STATEMENT_MICROTOKENS)
        account.meter.observe(tokens, now)
        if account.queue.spend(tokens, now):
            self._borrow_if_needed(account, now)
            return Ok(None)
        future: Future = get_running_loop().create_future()
        account.queue.add(Waiter(tokens, deadline_at, future))
        self._borrow_if_needed(account, now)
        self._resolve_waiters(account)
        if not future.done() and not account.is_serving_queue:
            account.is_serving_queue = True
            self._start_task(self._serve_queue(account))
        try:
            return await future
        finally:
            if not future.done() or future.cancelled():
                account.queue.discard(future)

    def lend(self, vm: str, organisation: str, request: LoanAmount) -> Grant:
        """Grant a peer a loan; its parts are 0 if nothing can be lent."""
        now = self._clock.now()
        account = self._account(organisation)
        spare = account.lendable(request, now)
        grant = account.lender.lend(vm, spare.parts, spare.tokens, now)
        if grant.parts:
            self._account_by_loan[grant.loan] = account
        self._give_back(account, account.surplus(now))
        return grant

    def renew(self, loan: int) -> float:
        """Renew a peer's loan; return its validity in seconds.

        0 recalls the loan.
        """
        now = self._clock.now()
        account = self._account_by_loan.get(loan)
        if account is None:
            return 0.0
        return account.lender.renew(loan, account.needs_lent_parts(now), now)

    def take_back(self, loan: int, tokens: int) -> None:
        """Record that a peer returned a loan, with its unspent tokens."""
        account = self._account_by_loan.pop(loan, None)
        if account is not None:
            account.lender.take_back(loan, tokens, self._clock.now())
            account.changed.set()

    def _account(self, organisation: str) -> Account:
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            organisations_by_name = (
                self._directory.configuration.organisations_by_name
            )
            rates = organisations_by_name[organisation]
            now = self._clock.now()
            ledger = Ledger(rates.rate, rates.burst, now)
            ledger.set_base(self._base, now)
            account = Account(organisation, ledger, self._numbers)
            self._accounts_by_organisation[organisation] = account
        return account

    def _refresh(self) -> None:
        if self._directory.configuration is None:
            return
        now = self._clock.now()
        organisations_by_name = (
            self._directory.configuration.organisations_by_name
        )
        for name, account in self._accounts_by_organisation.items():
            rates = organisations_by_name.get(name)
            if rates is not None:
                ledger = account.ledger
                ledger.set_limits(rates.rate, rates.burst, now)
            account.ledger.set_base(self._base, now)

    def _borrow_if_needed(self, account: Account, now: float) -> None:
        if (
            account.is_borrowing
            or now < account.next_borrow_at
            or not self._peers_by_vm
        ):
            return
        need = account.needs(now)
        if need is None:
            return
        account.is_borrowing = True
        self._start_task(self._borrow_round(account, need))

    async def _borrow_round(self, account: Account, need: LoanAmount) -> None:
        """Request loans from several peers concurrently."""
        try:
            candidates = [
                LenderCandidate(
                    p.vm, p.data_centre, account.spare_parts_by_vm.get(p.vm)
                )
                for p in self._peers_by_vm.values()
            ]
            vms = order_lenders(
                candidates, self._data_centre, account.empty_rounds
            )
            each = LoanAmount(
                min(
                    need.parts, _OVERBORROW_FACTOR * need.parts // len(vms) + 1
                ),
                min(
                    need.tokens,
                    _OVERBORROW_FACTOR * need.tokens // len(vms) + 1,
                ),
            )
            lent_tokens = await gather(
                *(self._request_loan(account, v, each) for v in vms)
            )
        finally:
            account.is_borrowing = False
            account.changed.set()
        now = self._clock.now()
        if sum(lent_tokens) > STATEMENT_MICROTOKENS // 2:
            account.empty_rounds = 0
            account.next_borrow_at = now
        else:
            account.empty_rounds += 1
            account.next_borrow_at = now + retry_pause_s(account.empty_rounds)

    async def _request_loan(
        self, account: Account, vm: str, need: LoanAmount
    ) -> int:
        """Request a loan from one peer; return the micro-tokens lent."""
        peer = self._peers_by_vm[vm]
        now = self._clock.now()
        request = account.borrower.request(vm, need.parts, need.tokens, now)
        answer = await self._clients.call(
            peer.address,
            lambda node: node.lending().lending.borrow(
                vm=self._vm,
                incarnation=self._incarnation,
                organisation=account.organisation,
                partsPerMillion=need.parts,
                microTokens=need.tokens,
            ),
            CALL_TIMEOUT_S,
        )
        if answer.is_error():
            account.borrower.cancel(request.number)
            account.spare_parts_by_vm[vm] = 0
            return 0
        loan = answer.ok.loan
        grant = Grant(
            loan.loan,
            loan.partsPerMillion,
            loan.microTokens,
            loan.validMs / 1000,
        )
        account.spare_parts_by_vm[vm] = grant.parts
        if not account.borrower.accept(
            request.number, grant, self._clock.now()
        ):
            return 0
        self._resolve_waiters(account)
        return grant.tokens

    async def _serve_queue(self, account: Account) -> None:
        """Serve an organisation's queue until it is empty."""
        try:
            while len(account.queue):
                now = self._clock.now()
                self._borrow_if_needed(account, now)
                account.changed.clear()
                wait_s = min(CALL_TIMEOUT_S, account.queue.next_serve_s(now))
                await _wait_until(account.changed, wait_s)
                self._resolve_waiters(account)
        finally:
            account.is_serving_queue = False

    def _resolve_waiters(self, account: Account) -> None:
        now = self._clock.now()
        for waiter in account.queue.serve(now):
            _set_result(waiter.handle, Ok(None))
        for refused in account.queue.refuse(now, account.is_borrowing):
            refusal = Refusal(
                Code.OVER_RATE, retry_after_ms=refused.retry_after_ms
            )
            _set_result(refused.waiter.handle, Error(refusal))

    @Service.task
    async def _maintain_loans(self) -> None:
        while not self.should_stop:
            await self.sleep(LOAN_CHECK_INTERVAL_S)
            now = self._clock.now()
            for account in self._accounts_by_organisation.values():
                if account.ledger.borrowed_by_loan:
                    self._maintain_account(account, now)
            self._drop_lapsed_loans()

    def _maintain_account(self, account: Account, now: float) -> None:
        self._give_back(account, account.surplus(now))
        for loan in account.borrower.due_for_renewal(now):
            self._start_task(self._renew(account, loan))

    async def _renew(self, account: Account, loan: Borrowed) -> None:
        peer = self._peers_by_vm.get(loan.lender)
        if peer is None:
            return
        requested_at = self._clock.now()
        answer = await self._clients.call(
            peer.address,
            lambda node: node.lending().lending.renew(
                vm=self._vm, loan=loan.loan
            ),
            CALL_TIMEOUT_S,
        )
        if answer.is_error():
            return
        key = (loan.lender, loan.loan)
        valid_s = answer.ok.validMs / 1000
        now = self._clock.now()
        if not account.borrower.apply_renewal(key, valid_s, requested_at, now):
            self._give_back(account, [loan])

    def _give_back(self, account: Account, loans: list[Borrowed]) -> None:
        now = self._clock.now()
        keep = tokens_to_keep(account.meter.per_second(now))
        for loan in loans:
            key = (loan.lender, loan.loan)
            loan_return = account.borrower.return_loan(key, keep, now)
            if loan_return is not None:
                self._start_task(self._send_return(loan_return))

    async def _send_return(self, loan_return: Any) -> None:
        peer = self._peers_by_vm.get(loan_return.lender)
        if peer is None:
            return
        await self._clients.call(
            peer.address,
            lambda node: node.lending().lending.giveBack(
                vm=self._vm,
                loan=loan_return.loan,
                partsPerMillion=loan_return.parts,
                microTokens=loan_return.tokens,
            ),
            CALL_TIMEOUT_S,
        )

    def _drop_lapsed_loans(self) -> None:
        for loan, account in list(self._account_by_loan.items()):
            if loan not in account.ledger.lent_by_loan:
                del self._account_by_loan[loan]

    def _start_task(self, work: Any) -> None:
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: Any) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("lending failed")

    async def on_stop(self) -> None:
        """Cancel the calls in progress; loans expire by themselves."""
        for task in tuple(self._tasks):
            task.cancel()


class LendingServer(SCHEMA.Lending.Server):
    """Answers the lending calls of other proxies.

    Parameters
    ----------
    rate_limiter : RateLimiter
        This VM's rate limiter.
    directory : Directory
        Configuration; loans for unknown organisations are refused.
    """

    def __init__(
        self, rate_limiter: RateLimiter, directory: Directory
    ) -> None:
        self._rate_limiter = rate_limiter
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
        """Lend what this VM doesn't need itself."""
        configuration = self._directory.configuration
        if configuration is None:
            return
        if organisation not in configuration.organisations_by_name:
            return
        request = LoanAmount(partsPerMillion, microTokens)
        grant = self._rate_limiter.lend(vm, organisation, request)
        loan = _context.results.init("loan")
        loan.loan = grant.loan
        loan.organisation = organisation
        loan.partsPerMillion = grant.parts
        loan.microTokens = grant.tokens
        # Rounded down: the loan must expire at the borrower first.
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
        """Accept a returned loan."""
        self._rate_limiter.take_back(loan, microTokens)

    async def renew(
        self, vm: str, loan: int, _context: Any, **kwargs: Any
    ) -> None:
        """Renew a loan, or recall it."""
        _context.results.validMs = int(self._rate_limiter.renew(loan) * 1000)


def _set_result(future: Future, result: Result) -> None:
    if not future.done():
        future.set_result(result)


async def _wait_until(event: Event, seconds: float) -> None:
    try:
        await wait_for(event.wait(), max(_MIN_WAIT_S, seconds))
    except TimeoutError:
        return
