"""The relay's access to the platform: lease, versions, list of VMs.

Only the agent that is the relay of its data centre polls the store, so
that the store has one reader per data centre whatever the fleet's size.
Withdrawals that were accepted while the store was unavailable are
recorded once it is available again.
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
from redwingpost.membership.dissemination import ChangeOrigin
from redwingpost.membership.relays import RelayRole, relay_of
from redwingpost.membership.relays import RELAY_LEASE_S

#: Seconds between two reads of the head row. The operator's tool notifies
#: agents at once; polling finds versions whose notification was lost,
#: within the 2 s allowed for a change. A read costs about 700 bytes of
#: HTTP.
HEAD_POLL_S = 1.0

#: Shortest interval between reads of the platform's list of VMs (seconds)
#: and VMs listed per second of interval. The list lags by seconds anyway.
#: It grows by about 100 bytes per VM, so that a long one is read less
#: often; the heartbeats of new VMs arrive long before.
LIST_POLL_S = 2.0
LIST_VMS_PER_S = 5.0

#: Seconds that a withdrawal may stay unrecorded before a relay records
#: it; the operator's tool does so within one second.
RECORD_AFTER_S = 3.0


class StoreWatch:
    """One agent's accesses to the platform: the relay's lease and polls."""

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
        self.store_unavailable = False
        self._held_before = False
        self._head_version = -1
        self._polled_head_at = float("-inf")
        self._polled_list_at = float("-inf")
        self._unrecorded_since: float | None = None

    async def step(self) -> None:
        """Run the accesses that are due; called several times a second."""
        relay = self._relay()
        role = self._role(relay)
        members = self._neighbours()
        if role.wants_lease(relay, members):
            await self._keep_lease()
        role = self._role(self._relay())
        is_relay = role.is_active(self._relay(), members)
        self._set_role(is_relay)
        if is_relay:
            await self._poll_head()
            await self._poll_list()
            await self._record_withdrawals()
        elif not self._knows_other_vms():
            await self._poll_list()

    async def start(self) -> None:
        """Read the list and newest version before the first heartbeat."""
        await self._poll_list()
        if not self.store_unavailable:
            await self._poll_head()

    async def release_lease(self) -> None:
        """Release the relay's lease, so that another agent can take it."""
        if not self._lease.is_held(self._context.clock.now()):
            return
        released = self._lease.release()
        await self._context.tables.transact(*released)

    def _relay(self) -> str:
        return relay_of(self._state.data_centre, self._neighbours())

    def _neighbours(self) -> tuple:
        return self._state.members.of_data_centre(self._state.data_centre)

    def _knows_other_vms(self) -> bool:
        return any(
            member.beat.incarnation > 0
            for vm, member in self._state.members.by_vm.items()
            if vm != self._state.vm
        )

    def _role(self, relay: str) -> RelayRole:
        held = self._lease.is_held(self._context.clock.now())
        self._held_before = held or (
            self._held_before and self.store_unavailable
        )
        return RelayRole(
            vm=self._state.vm,
            data_centre=self._state.data_centre,
            holds_lease=held,
            held_lease_before=self._held_before,
            store_unavailable=self.store_unavailable,
            draining=self._state.stopping,
            unreached_s=self._exchanger.unreached_s(relay),
        )

    def _set_role(self, is_relay: bool) -> None:
        if is_relay == self._state.is_relay:
            return
        self._state.is_relay = is_relay
        self._state.renew_own_beat()
        logger.info(
            "agent is relay of {}: {}", self._state.data_centre, is_relay
        )
        self._exchanger.spread(ChangeOrigin.LOCAL)

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
        self.store_unavailable = row.is_error()
        if row.is_ok():
            self._lease.observe(row.ok, self._context.clock.now())

    async def _claim_lease(self) -> None:
        conditions, writes = self._lease.claim(self._context.clock.now())
        sent = await self._context.tables.transact(conditions, writes)
        now = self._context.clock.now()
        self.store_unavailable = sent.is_error()
        if sent.is_error():
            self._lease.outcome_unknown()
        elif sent.ok.committed:
            self._lease.committed(sent.ok.versions[0])
        else:
            current_row = sent.ok.conflicts[0] if sent.ok.conflicts else None
            exists = current_row is not None and current_row.version > 0
            self._lease.refused(current_row if exists else None, now)

    async def _poll_head(self) -> None:
        now = self._context.clock.now()
        if now - self._polled_head_at < HEAD_POLL_S:
            return
        self._polled_head_at = now
        row = await self._log.head_row()
        self.store_unavailable = row.is_error()
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
            self._exchanger.spread(ChangeOrigin.LOCAL)
        elif offer is OfferResult.BROKEN:
            logger.error("version {} is invalid", copy.ok.version)

    async def _poll_list(self) -> None:
        now = self._context.clock.now()
        listed_vms = len(self._state.members.by_vm)
        every_s = max(LIST_POLL_S, listed_vms / LIST_VMS_PER_S)
        if now - self._polled_list_at < every_s:
            return
        self._polled_list_at = now
        listed = await self._context.vm_list.vms()
        if listed.is_ok():
            self._state.update_from_vm_list(listed.ok)

    async def _record_withdrawals(self) -> None:
        now = self._context.clock.now()
        unrecorded = self._state.configuration.unrecorded()
        if not unrecorded or self._state.configuration.version == 0:
            self._unrecorded_since = None
            return
        if self._unrecorded_since is None:
            self._unrecorded_since = now
        if (
            self.store_unavailable
            or now - self._unrecorded_since < RECORD_AFTER_S
        ):
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
            logger.warning(
                "withdrawals not recorded: {}", recorded.error.describe()
            )
