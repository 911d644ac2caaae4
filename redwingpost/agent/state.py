"""What an agent knows, and the feed that its proxy takes from it.

Each part of the feed has the revision at which it last changed, so that
an answer carries only what is new to the proxy.
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

#: A proxy that polls counts as attached for this long (seconds) after
#: its last poll; polls last a second at most.
ATTACHED_S = 3.0


class BaseShare(NamedTuple):
    """A part of an organisation's rate, granted until ``valid_until``.

    The time is seconds on the agent's clock.
    """

    organisation: str
    parts_per_million: int
    epoch: int
    valid_until: float


class FleetState:
    """All that one agent knows.

    Parameters
    ----------
    settings : Settings
        The VM's settings.
    clock : Clock
        Source of time.
    incarnation : int
        Grows with each start of the VM; also the first revision.
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
        self.beat_again()

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
        """This VM's own entry."""
        return self.members.by_vm[self.vm]

    def beat_again(self) -> Beat:
        """Renew this VM's own heartbeat."""
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
        """Return what this agent holds, in a few numbers."""
        return Digest(
            version=self.configuration.version,
            withdrawals_mark=self.configuration.withdrawals_mark,
            views_mark=self.views.mark,
            confirmed_ms=to_age_ms(self.confirmed_age_s()),
            members_mark=self.members.mark,
        )

    def confirmed_age_s(self) -> float:
        """Return for how long withdrawals have been unconfirmed."""
        now = self.clock.now()
        data_centres = self.members.data_centres()
        return now - self.confirmation.confirmed_at(data_centres, now)

    def offer(self, copy: Versioned) -> OfferResult:
        """Take a configuration if it is newer, whole and valid."""
        before = self.configuration.withdrawn
        offer = self.configuration.offer(copy)
        if offer is OfferResult.TAKEN:
            self._touch("configuration")
            if self.configuration.withdrawn != before:
                self._touch("withdrawals")
        return offer

    def withdraw(
        self, withdrawals: Iterable[Withdrawal]
    ) -> frozenset[Withdrawal]:
        """Union withdrawals in and return the new ones."""
        new = self.configuration.withdraw(withdrawals)
        if new:
            self._touch("withdrawals")
        return new

    def observe_views(
        self, views: Iterable[GroupView]
    ) -> tuple[GroupView, ...]:
        """Take views in and return those that were news."""
        new = self.views.observe(views)
        if new:
            self._touch("views")
        return new

    def merge(self, beat: Beat, heard_at: float, evidence: BeatSource) -> None:
        """Take in a heartbeat of another VM."""
        if self.members.merge(beat, heard_at, evidence):
            self._touch("peers")
        if beat.relay and not beat.gone:
            self.members.refresh_data_centre(beat.data_centre, heard_at)

    def mark_gone(self, beat: Beat) -> None:
        """Note that a VM of this data centre is gone."""
        self.merge(beat, float("-inf"), BeatSource.RELAYED)

    def take_list(self, entries: Iterable[VmEntry]) -> None:
        """Lay the platform's list over the members."""
        before = self.members.revision
        self.members.apply_vm_list(entries, self.clock.now())
        if self.members.revision != before:
            self._touch("peers")

    def set_shares(self, shares: tuple[BaseShare, ...]) -> None:
        """Replace the shares that the proxy may use."""
        if shares != self.shares:
            self.shares = shares
            self._touch("shares")

    def drain(self) -> None:
        """Ask the VM's proxy to drain."""
        self.draining = True
        self.beat_again()
        self._touch("draining")

    @property
    def proxy_attached(self) -> bool:
        """Whether this VM's proxy takes the feed."""
        return self.clock.now() - self._proxy_seen_at < ATTACHED_S

    def proxy_polls(self, revision: int) -> None:
        """Note what the proxy has taken in."""
        self._proxy_seen_at = self.clock.now()
        self._proxy_revision = revision
        changed = self._revision_by_part.get("configuration", 0)
        if changed and self._is_ours(revision) and revision >= changed:
            self._proxy_version = self.configuration.version
        elif not self._is_ours(revision):
            self._proxy_version = 0

    def proxy_left(self) -> None:
        """Note that the proxy has stopped."""
        self._proxy_seen_at = float("-inf")

    def is_news(self, part: str, revision: int) -> bool:
        """Say whether a part changed after the proxy's revision.

        A revision that this agent never gave is from an earlier agent:
        everything is news then.
        """
        if not self._is_ours(revision):
            return True
        return self._revision_by_part.get(part, 0) > revision

    async def wait_beyond(self, revision: int, timeout: float) -> None:
        """Return once there is something new, or after ``timeout``."""
        if self._revision != revision:
            return
        try:
            await wait_for(self._changed.wait(), timeout)
        except TimeoutError:
            return

    def _is_ours(self, revision: int) -> bool:
        return self.incarnation <= revision <= self._revision

    def _touch(self, part: str) -> None:
        self._revision += 1
        self._revision_by_part[part] = self._revision
        changed, self._changed = self._changed, Event()
        changed.set()
