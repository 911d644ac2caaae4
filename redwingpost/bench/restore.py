"""Plays of node processes around restores of the platform's store.

Node processes run against the stand-ins while callers write and read on open
sessions. Restores of the store, planned and unplanned changes of primary,
and stops, kills and freezes of nodes come in series and overlap. The play is
judged by what members hold and what callers were told.
"""

from asyncio import create_task, sleep
from collections.abc import Coroutine
from signal import SIGKILL, SIGTERM

from redwingpost.bench.plays import Events, Play
from redwingpost.core.registry import Registry
from redwingpost.node.tests.line_site import NodeSite, configuration
from redwingpost.standin.lines.group import LineGroup, LineMember
from redwingpost.standin.lines.rows import Rows

#: Seconds between copies of the store, and copies that are kept.
_COPY_INTERVAL_S = 0.5
_KEPT_COPIES = 12

#: What may happen in a play, by name.
EVENTS: Events = Registry("event of a play of restores")


class RestorePlay(Play):
    """One play; ``violations`` are found by ``judge``.

    Parameters
    ----------
    seed : int
        Chooses events and their times.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed, NodeSite(), EVENTS)
        self._copies: list[Rows] = []

    @property
    def group(self) -> LineGroup:
        """The only group's stand-in."""
        return self.site.standins.group_by_name["g1"]

    def background(self) -> tuple[Coroutine, ...]:
        """Return what runs beside the callers until the end."""
        return (self._copy_store(), *super().background())

    async def _copy_store(self) -> None:
        while True:
            self._copies.append(self.site.standins.store.rows.copy())
            del self._copies[:-_KEPT_COPIES]
            await sleep(_COPY_INTERVAL_S)

    def rejoin(self, member: LineMember) -> None:
        """Let a member receive what it has missed, unless it is paused."""
        leader = self.group.newest_primary()
        is_replica = leader is not None and leader is not member
        if is_replica and member.paused_for <= leader.term:
            self.group.follow(member, leader)
        self.group.wake()

    async def restore(self) -> None:
        """Restore the store from an older copy."""
        store = self.site.standins.store
        copy = self.random.choice(self._copies).copy()
        store.faults.is_down = True
        await sleep(self.random.uniform(0.1, 0.8))
        store.restore(copy)
        self._copies.clear()
        self._copies.append(store.rows.copy())
        store.faults.is_down = False
        self.site.standins.configure(configuration(1))
        self.report_all()


@EVENTS.register("restore")
@EVENTS.register("restore again")
async def _restore(play: RestorePlay) -> None:
    await play.restore()


@EVENTS.register("leave")
async def _leave(play: RestorePlay) -> None:
    await play.drain_primary(play.group)


@EVENTS.register("leave and restore")
async def _leave_and_restore(play: RestorePlay) -> None:
    leaving = create_task(play.drain_primary(play.group))
    await sleep(play.random.uniform(0.0, 1.0))
    await play.restore()
    await leaving


@EVENTS.register("stop")
async def _stop(play: RestorePlay) -> None:
    await play.replace_node(play.node(), SIGTERM)


@EVENTS.register("kill")
async def _kill(play: RestorePlay) -> None:
    await play.replace_node(play.node(), SIGKILL)


@EVENTS.register("freeze")
async def _freeze(play: RestorePlay) -> None:
    await play.freeze_node(play.node(), play.random.uniform(0.3, 2.5))


@EVENTS.register("silent member")
async def _silence_member(play: RestorePlay) -> None:
    member = play.random.choice(list(play.group.member_by_name.values()))
    member.is_unresponsive = True
    play.site.standins.remove_entry(member.name)
    await sleep(play.random.uniform(0.5, 4.0))
    member.is_unresponsive = False
    play.rejoin(member)
    play.report(member.name)


@EVENTS.register("deaf member")
async def _cut_off_member(play: RestorePlay) -> None:
    member = play.random.choice(list(play.group.member_by_name.values()))
    member.is_cut_off = True
    await sleep(play.random.uniform(0.5, 3.0))
    member.is_cut_off = False
    play.rejoin(member)
