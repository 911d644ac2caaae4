"""The relay's work at the platform: lease, versions, list of VMs.

Only the agent that relays for its data centre reads the store at
regular intervals, so that the store sees one reader per data centre
whatever the fleet's size. Withdrawals that were accepted while the store
was away are recorded once it is back.
"""

from datetime import datetime, timezone

from loguru import logger

from redwingpost.agent.context import AgentContext
from redwingpost.agent.exchange import Exchanger
from redwingpost.configuration.acceptance import Change
from redwingpost.configuration.log import ConfigurationLog
from redwingpost.configuration.state import OfferResult
from redwingpost.core import Code
from redwingpost.leases.keeper import LeaseKeeper, LeaseStep
from redwingpost.membership.dissemination import NewsOrigin
from redwingpost.membership.relays import RelayRole, relay_of
from redwingpost.membership.relays import RELAY_LEASE_S

#: Seconds between two looks at the head. Operators tell agents at once;
#: this finds what they could not tell, within the 2 s of a change. Each
#: look costs some 700 bytes of HTTP.
HEAD_POLL_S = 1.0

#: The platform's list lags by seconds anyway. It grows with the fleet,
#: some 100 bytes a VM, so that a large one is read less often; VMs that
#: are new are known by their heartbeats long before.
LIST_POLL_S = 2.0
LIST_VMS_PER_S = 5.0

#: Seconds that a withdrawal may stay unrecorded before a relay records
#: it: an operator's own tool does so within one.
RECORD_AFTER_S = 3.0


class StoreWatch:
    """What one agent does at the platform."""

    def __init__(self, context: AgentContext, exchanger: Exchanger) -> None:
        self._context = context
        self._state = context.state
        self._exchanger = exchanger
        self._log = ConfigurationLog(context.tables, context.objects)
        self._lease = LeaseKeeper(
            "relays",
            self._state.data_centre,
            self._state.vm,
            self._state.incarnation,
            RELAY_LEASE_S,
        )
        self.store_away = False
        self._held_before = False
        self._head_version = -1
        self._polled_head_at = float("-inf")
        self._polled_list_at = float("-inf")
        self._unrecorded_since: float | None = None

    async def step(self) -> None:
        """Do whatever is due; called several times a second."""
        relay = self._relay()
        role = self._role(relay)
        members = self._neighbours()
        if role.wants_lease(relay, members):
            await self._keep_lease()
        role = self._role(self._relay())
        acts = role.is_active(self._relay(), members)
        self._take_role(acts)
        if acts:
            await self._poll_head()
            await self._poll_list()
            await self._record_withdrawals()
        elif not self._knows_others():
            await self._poll_list()

    async def start(self) -> None:
        """Read the list and the newest version before the first beat."""
        await self._poll_list()
        if not self.store_away:
            await self._poll_head()

    async def give_up(self) -> None:
        """Hand the relay's lease back, so that another takes it at once."""
        if not self._lease.is_held(self._context.clock.now()):
            return
        released = self._lease.release()
        await self._context.tables.transact(*released)

    def _relay(self) -> str:
        return relay_of(self._state.data_centre, self._neighbours())

    def _neighbours(self) -> tuple:
        return self._state.members.of_data_centre(self._state.data_centre)

    def _knows_others(self) -> bool:
        return any(
            member.beat.incarnation > 0
            for vm, member in self._state.members.by_vm.items()
            if vm != self._state.vm
        )

    def _role(self, relay: str) -> RelayRole:
        held = self._lease.is_held(self._context.clock.now())
        self._held_before = held or (self._held_before and self.store_away)
        return RelayRole(
            vm=self._state.vm,
            data_centre=self._state.data_centre,
            holds_lease=held,
            held_lease_before=self._held_before,
            store_away=self.store_away,
            draining=self._state.stopping,
            unreached_s=self._exchanger.unreached_s(relay),
        )

    def _take_role(self, acts: bool) -> None:
        if acts == self._state.is_relay:
            return
        self._state.is_relay = acts
        self._state.beat_again()
        logger.info("relay of {}: {}", self._state.data_centre, acts)
        self._exchanger.spread(NewsOrigin.LOCAL)

    async def _keep_lease(self) -> None:
        now = self._context.clock.now()
        step = self._lease.next_step(now, wanted=True)
        if step is LeaseStep.READ:
            await self._read_lease()
        elif step is LeaseStep.CLAIM:
            await self._claim_lease()

    async def _read_lease(self) -> None:
        row = await self._context.tables.read(
            "relays", self._state.data_centre
        )
        self.store_away = row.is_error()
        if row.is_ok():
            self._lease.observe(row.ok, self._context.clock.now())

    async def _claim_lease(self) -> None:
        conditions, writes = self._lease.claim(self._context.clock.now())
        sent = await self._context.tables.transact(conditions, writes)
        now = self._context.clock.now()
        self.store_away = sent.is_error()
        if sent.is_error():
            self._lease.outcome_unknown()
        elif sent.ok.committed:
            self._lease.committed(sent.ok.versions[0])
        else:
            standing = sent.ok.conflicts[0] if sent.ok.conflicts else None
            exists = standing is not None and standing.version > 0
            self._lease.refused(standing if exists else None, now)

    async def _poll_head(self) -> None:
        now = self._context.clock.now()
        if now - self._polled_head_at < HEAD_POLL_S:
            return
        self._polled_head_at = now
        row = await self._log.head_row()
        self.store_away = row.is_error()
        if row.is_error():
            return
        version = int(row.ok.value["version"]) if row.ok else 0
        if row.ok and version > self._state.configuration.version:
            await self._fetch(row.ok)
        if self._state.configuration.version >= version:
            self._state.confirmation.note_store_read(now)

    async def _fetch(self, row) -> None:
        copy = await self._log.fetch(row)
        if copy.is_error():
            return
        offer = self._state.offer(copy.ok)
        if offer is OfferResult.TAKEN:
            self._exchanger.spread(NewsOrigin.LOCAL)
        elif offer is OfferResult.BROKEN:
            logger.error("version {} can't be read", copy.ok.version)

    async def _poll_list(self) -> None:
        now = self._context.clock.now()
        listed_vms = len(self._state.members.by_vm)
        every_s = max(LIST_POLL_S, listed_vms / LIST_VMS_PER_S)
        if now - self._polled_list_at < every_s:
            return
        self._polled_list_at = now
        listed = await self._context.vm_list.vms()
        if listed.is_ok():
            self._state.take_list(listed.ok)

    async def _record_withdrawals(self) -> None:
        now = self._context.clock.now()
        unrecorded = self._state.configuration.unrecorded()
        if not unrecorded or self._state.configuration.version == 0:
            self._unrecorded_since = None
            return
        if self._unrecorded_since is None:
            self._unrecorded_since = now
        if self.store_away or now - self._unrecorded_since < RECORD_AFTER_S:
            return
        self._unrecorded_since = now
        change = Change(
            body=b"",
            base=0,
            who=f"agent {self._state.vm}",
            when=datetime.now(timezone.utc).isoformat(timespec="seconds"),
            submission=f"record-{self._state.vm}-{self._state.revision}",
        )
        recorded = await self._log.withdraw(unrecorded, change)
        if recorded.is_error() and recorded.error.code != Code.NOT_FOUND:
            logger.warning("withdrawals: {}", recorded.error.describe())
