"""An agent's state of the fleet, and the revisions of its proxy's feed.

Each part of the feed has the revision at which it last changed, so that
an answer contains only what is new to the proxy.
"""

from asyncio import Event, wait_for
from collections.abc import Iterable
from typing import NamedTuple

from redwingpost.wire.codec import Digest, to_age_ms
from redwingpost.configuration.model import Versioned, Withdrawal
from redwingpost.configuration.state import ConfigurationState, OfferResult
from redwingpost.core import GroupView
from redwingpost.membership.beats import Beat, BeatSource, Member
from redwingpost.membership.confirmation import ConfirmationClock
from redwingpost.membership.table import MemberTable
from redwingpost.membership.views import GroupViewTable
from redwingpost.ports import Clock, VmEntry
from redwingpost.settings import Settings

#: Seconds after its last poll for which a proxy counts as attached. A
#: poll lasts a second at most.
ATTACHED_S = 3.0


class BaseShare(NamedTuple):
    """A share of an organisation's rate, granted until ``valid_until``.

    The time is in seconds on the agent's clock.
    """

    organisation: str
    parts_per_million: int
    epoch: int
    valid_until: float


class FleetState:
    """The state of one agent: configuration, members, views and shares.

    Parameters
    ----------
    settings : Settings
        The VM's settings.
    clock : Clock
        Source of time.
    incarnation : int
        Increases with each start of the agent; also the first revision.
    """

    def __init__(
        self, settings: Settings, clock: Clock, incarnation: int
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.configuration = ConfigurationState()
        self.members = MemberTable(settings.vm.name)
        self.views = GroupViewTable()
        self.confirmation = ConfirmationClock(settings.vm.data_centre)
        self.draining = False
        self.stopping = False
        self.shares: tuple[BaseShare, ...] = ()
        self.suspects: frozenset[str] = frozenset()
        self.active_organisations: frozenset[str] = frozenset()
        self.is_relay = False
        self.incarnation = incarnation
        self.agent_port = settings.agent.peer_port
        self._sequence = 0
        self._revision = incarnation
        self._revision_by_part: dict[str, int] = {}
        self._changed = Event()
        self._proxy_seen_at = float("-inf")
        self._proxy_revision = 0
        self._proxy_version = 0
        self.renew_own_beat()

    @property
    def vm(self) -> str:
        """This VM's name."""
        return self.settings.vm.name

    @property
    def data_centre(self) -> str:
        """This VM's data centre."""
        return self.settings.vm.data_centre

    @property
    def revision(self) -> int:
        """The feed's revision."""
        return self._revision

    @property
    def own(self) -> Member:
        """This VM's own entry in the member table."""
        return self.members.by_vm[self.vm]

    def renew_own_beat(self) -> Beat:
        """Replace this VM's own heartbeat by a new one and return it."""
        self._sequence += 1
        settings = self.settings
        beat = Beat(
            vm=self.vm,
            data_centre=self.data_centre,
            ip=settings.vm.ip,
            agent_port=self.agent_port,
            proxy_port=settings.proxy.peer_port,
            incarnation=self.incarnation,
            sequence=self._sequence,
            config_version=self.configuration.version,
            withdrawals=len(self.configuration.withdrawn),
            draining=self.draining or self.stopping,
            proxy_version=self._proxy_version,
            proxy_attached=self.proxy_attached,
            relay=self.is_relay,
        )
        self.members.set_own(beat, self.clock.now())
        return beat

    def digest(self) -> Digest:
        """Return a digest of this agent's state for comparison."""
        return Digest(
            version=self.configuration.version,
            withdrawals_mark=self.configuration.withdrawals_mark,
            views_mark=self.views.mark,
            confirmed_ms=to_age_ms(self.confirmed_age_s()),
            members_mark=self.members.mark,
        )

    def confirmed_age_s(self) -> float:
        """Return how long withdrawals have been unconfirmed (seconds)."""
        now = self.clock.now()
        data_centres = self.members.data_centres()
        return now - self.confirmation.confirmed_at(data_centres, now)

    def offer(self, copy: Versioned) -> OfferResult:
        """Adopt a configuration if it is newer, complete and valid."""
        before = self.configuration.withdrawn
        offer = self.configuration.offer(copy)
        if offer is OfferResult.TAKEN:
            self._mark_changed("configuration")
            if self.configuration.withdrawn != before:
                self._mark_changed("withdrawals")
        return offer

    def withdraw(
        self, withdrawals: Iterable[Withdrawal]
    ) -> frozenset[Withdrawal]:
        """Merge withdrawals and return the new ones."""
        new = self.configuration.withdraw(withdrawals)
        if new:
            self._mark_changed("withdrawals")
        return new

    def observe_views(
        self, views: Iterable[GroupView]
    ) -> tuple[GroupView, ...]:
        """Merge views and return the new ones."""
        new = self.views.observe(views)
        if new:
            self._mark_changed("views")
        return new

    def merge(self, beat: Beat, seen_at: float, source: BeatSource) -> None:
        """Merge a heartbeat of another VM."""
        if self.members.merge(beat, seen_at, source):
            self._mark_changed("peers")
        if beat.relay and not beat.gone:
            self.members.refresh_data_centre(beat.data_centre, seen_at)

    def mark_gone(self, beat: Beat) -> None:
        """Mark a VM of this data centre as gone."""
        self.merge(beat, float("-inf"), BeatSource.RELAYED)

    def update_from_vm_list(self, entries: Iterable[VmEntry]) -> None:
        """Update the members from the platform's list of VMs."""
        before = self.members.revision
        self.members.apply_vm_list(entries, self.clock.now())
        if self.members.revision != before:
            self._mark_changed("peers")

    def set_shares(self, shares: tuple[BaseShare, ...]) -> None:
        """Replace the shares that the proxy may use."""
        if shares != self.shares:
            self.shares = shares
            self._mark_changed("shares")

    def drain(self) -> None:
        """Make the VM's proxy drain."""
        self.draining = True
        self.renew_own_beat()
        self._mark_changed("draining")

    @property
    def proxy_attached(self) -> bool:
        """Whether this VM's proxy polls the feed."""
        return self.clock.now() - self._proxy_seen_at < ATTACHED_S

    def record_proxy_poll(self, revision: int) -> None:
        """Record a poll and the revision that the proxy has applied."""
        self._proxy_seen_at = self.clock.now()
        self._proxy_revision = revision
        changed = self._revision_by_part.get("configuration", 0)
        if changed and self._is_own_revision(revision) and revision >= changed:
            self._proxy_version = self.configuration.version
        elif not self._is_own_revision(revision):
            self._proxy_version = 0

    def record_proxy_stop(self) -> None:
        """Record that the proxy has stopped."""
        self._proxy_seen_at = float("-inf")

    def has_changed_since(self, part: str, revision: int) -> bool:
        """Return whether a part changed after the proxy's revision.

        A revision that this agent did not issue is from an earlier agent;
        then every part counts as changed.
        """
        if not self._is_own_revision(revision):
            return True
        return self._revision_by_part.get(part, 0) > revision

    async def wait_for_change(self, revision: int, timeout: float) -> None:
        """Wait until the revision changes, at most ``timeout`` seconds."""
        if self._revision != revision:
            return
        try:
            await wait_for(self._changed.wait(), timeout)
        except TimeoutError:
            return

    def _is_own_revision(self, revision: int) -> bool:
        return self.incarnation <= revision <= self._revision

    def _mark_changed(self, part: str) -> None:
        self._revision += 1
        self._revision_by_part[part] = self._revision
        changed, self._changed = self._changed, Event()
        changed.set()
