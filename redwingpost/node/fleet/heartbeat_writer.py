"""Builds this VM's heartbeats and applies samples of other VMs."""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.groups.directory import Directory
from redwingpost.membership.heartbeat import (
    Heartbeat,
    PrimaryHealth,
    SharedSample,
)
from redwingpost.node.fleet.heartbeats import new_boot
from redwingpost.node.group import GroupClient
from redwingpost.node.group_activity import GroupActivity
from redwingpost.node.request.admission import Admission
from redwingpost.ports.clock import Clock

#: Age (seconds) up to which a sample is worth sending to other VMs.
_MAX_SAMPLE_AGE_S = 2.0


class _ReceivedSample(NamedTuple):
    """A sample of another VM, and when it was taken at the latest (s)."""

    sample: SharedSample
    taken_at: float


class HeartbeatWriter:
    """Builds heartbeats, and passes received samples to their groups.

    ``gathers`` returns whether this VM gathers. If so, it passes on the
    samples of groups whose members it doesn't contact: it knows no primary
    of theirs, and the homes that receive them check the term themselves.
    """

    def __init__(
        self,
        vm: str,
        ip: str,
        group_by_name: dict[str, GroupClient],
        activity: GroupActivity,
        directory: Directory,
        admission: Admission,
        clock: Clock,
        gathers: Callable[[], bool] = lambda: False,
    ) -> None:
        self._vm = vm
        self._ip = ip
        self.boot = new_boot()
        self._group_by_name = group_by_name
        self._activity = activity
        self._directory = directory
        self._gathers = gathers
        self._sampled_by_group: dict[str, GroupClient] = {}
        self._relayed_by_member: dict[str, _ReceivedSample] = {}
        self._admission = admission
        self._clock = clock

    def describe(self, may_be_brief: bool) -> Heartbeat:
        """Return this VM's heartbeat.

        Parameters
        ----------
        may_be_brief : bool
            Leave out the health of primaries if none of them fails.
        """
        now = self._clock.now()
        is_brief = may_be_brief and not self._is_any_group_alert()
        return Heartbeat(
            self._vm,
            self.boot,
            self._ip,
            self._admission.rules.version,
            {} if is_brief else self._health(now),
            int(now * 1000),
            None,
            () if is_brief else self._shared_samples(now),
            is_brief,
        )

    def _is_any_group_alert(self) -> bool:
        now = self._clock.now()
        return any(
            group.is_primary_suspect() for group in self._activity.active(now)
        )

    def _health(self, now: float) -> dict[str, PrimaryHealth]:
        health_by_primary = {}
        for group in self._activity.active(now):
            leader = group.member_by_name.get(group.evidence.leader or "")
            if leader is not None:
                health_by_primary[leader.entry.member] = PrimaryHealth(
                    _to_ms(leader.silent_s),
                    _to_ms(group.writes.stuck_s(now)),
                    _to_ms(group.writes.since_acknowledged_s(now)),
                    _to_ms(leader.failing_s),
                )
        return health_by_primary

    def take_samples(
        self, samples: tuple[SharedSample, ...], earliest_sent_at: float | None
    ) -> None:
        """Pass another VM's samples to the groups they belong to.

        Parameters
        ----------
        samples : tuple of SharedSample
            The other VM's samples.
        earliest_sent_at : float or None
            The earliest time they may have been sent, on this VM's clock
            (seconds). Without it the samples are ignored, and if it is to
            come: it echoes another clock, as that of this machine before it
            started again.
        """
        if earliest_sent_at is None or earliest_sent_at > self._clock.now():
            return
        for sample in samples:
            listed = self._directory.get(sample.member)
            if listed is None:
                continue
            group = self._group_by_name.get(listed.entry.group)
            if group is not None:
                taken_at = earliest_sent_at - sample.age_ms / 1000.0
                group.note_shared(sample.member, sample.position, taken_at)
                self._sampled_by_group[group.name] = group
                self._note_relayed(_ReceivedSample(sample, taken_at))

    def _note_relayed(self, received: _ReceivedSample) -> None:
        member = received.sample.member
        known = self._relayed_by_member.get(member)
        if known is None or received.taken_at > known.taken_at:
            self._relayed_by_member[member] = received

    def _relayed_samples(
        self, known: frozenset[str], now: float
    ) -> list[SharedSample]:
        """Return other VMs' recent samples at other than known members."""
        relayed = []
        for member, (sample, taken_at) in tuple(
            self._relayed_by_member.items()
        ):
            if now - taken_at > _MAX_SAMPLE_AGE_S:
                del self._relayed_by_member[member]
            elif member not in known and self._gathers():
                age_ms = int((now - taken_at) * 1000) + 1
                relayed.append(sample._replace(age_ms=age_ms))
        return relayed

    def _shared_samples(self, now: float) -> tuple[SharedSample, ...]:
        """Return the newest sample of each group, for other VMs."""
        shared = []
        for group in self._activity.active(now):
            self._sampled_by_group[group.name] = group
        for name, group in tuple(self._sampled_by_group.items()):
            sample = group.evidence.newest_sample()
            leader = group.evidence.leader
            if sample is None or now - sample.taken_at > _MAX_SAMPLE_AGE_S:
                del self._sampled_by_group[name]
                continue
            # During a takeover a sample belongs to no primary.
            if leader is None:
                continue
            # Rounded up: a sample must not count as younger than it is.
            age_ms = int((now - sample.taken_at) * 1000) + 1
            shared.append(SharedSample(leader, sample.position, age_ms))
        known = frozenset(item.member for item in shared)
        return (*shared, *self._relayed_samples(known, now))


def _to_ms(seconds: float) -> int:
    """Return an age in milliseconds, at most a day."""
    return int(min(seconds, 86400.0) * 1000)
