"""What may happen in a play of takeovers (``redwing-bench takeovers``)."""

from asyncio import create_task, gather, sleep

from redwingpost.bench.takeover_play import ARMED_S, EVENTS, TakeoverPlay
from redwingpost.standin.lines.group import LineMember
from redwingpost.standin.lines.replication import Promotion, ReplicatedGroup
from redwingpost.standin.lines.unreliable import TimedOrder

__all__ = ("EVENTS", "TakeoverPlay")

#: Number of members up to which a group grows.
_MAX_MEMBERS = 5

_HOW = ("kill", "kill", "stop", "freeze")


@EVENTS.register("drain the primary")
@EVENTS.register("drain the primary, its nodes busy")
async def _drain(play: TakeoverPlay) -> None:
    await play.drain_primary(play.any_group())


@EVENTS.register("crash the primary")
@EVENTS.register("crash the primary once more")
async def _crash_primary(play: TakeoverPlay) -> None:
    seconds = play.random.uniform(0.5, 5.0)
    await play.crash(play.any_group().last_primary, seconds)


@EVENTS.register("crash both primaries")
async def _crash_both(play: TakeoverPlay) -> None:
    await gather(
        *(
            play.crash(group.last_primary, play.random.uniform(0.5, 5.0))
            for group in play.groups
        )
    )


@EVENTS.register("hide the primary")
async def _hide_primary(play: TakeoverPlay) -> None:
    nodes = play.random.sample(play.site.nodes, play.random.choice((1, 2)))
    seconds = play.random.uniform(0.8, 5.0)
    await play.hide(play.any_group().last_primary, nodes, seconds)


@EVENTS.register("hide the primary, restart replicas")
async def _hide_and_restart(play: TakeoverPlay) -> None:
    group = play.any_group()
    primary = group.last_primary
    nodes = play.random.sample(play.site.nodes, play.random.choice((1, 2)))
    hiding = create_task(play.hide(primary, nodes, 5.0))
    for _ in range(2):
        await sleep(play.random.uniform(0.5, 1.5))
        await play.crash(play.replica(group), play.random.uniform(0.02, 0.3))
    await hiding


@EVENTS.register("restart a replica")
async def _restart_replica(play: TakeoverPlay) -> None:
    replica = play.replica(play.any_group())
    await play.crash(replica, play.random.uniform(0.02, 0.6))


@EVENTS.register("crash the replica that is promoted")
async def _crash_promoted(play: TakeoverPlay) -> None:
    standins = play.site.standins
    ordered: list[str] = []

    def notify(order: TimedOrder) -> None:
        ordered.append(order.member)

    standins.on_order.append(notify)
    await sleep(ARMED_S)
    standins.on_order.remove(notify)
    if ordered:
        member = standins.find(ordered[-1])
        await play.crash(member, play.random.uniform(0.1, 2.0))


async def _silence_ordered(play: TakeoverPlay) -> None:
    standins = play.site.standins
    tasks: list = []

    async def silence(member: LineMember) -> None:
        await sleep(play.random.uniform(0.0, 0.1))
        play.note(f"{member.name} silent")
        play.silence(member)
        play.start_cut(member)
        await sleep(play.random.uniform(0.5, 3.0))
        play.end_silence(member)
        await sleep(play.random.uniform(0.0, 4.0))
        play.end_cut(member)
        play.note(f"{member.name} back")

    def notify(order: TimedOrder) -> None:
        standins.on_order.remove(notify)
        tasks.append(create_task(silence(standins.find(order.member))))

    standins.on_order.append(notify)
    await sleep(ARMED_S)
    if notify in standins.on_order:
        standins.on_order.remove(notify)
    await gather(*tasks)


@EVENTS.register("freeze a member")
async def _freeze_member(play: TakeoverPlay) -> None:
    group = play.any_group()
    member = play.random.choice(list(group.member_by_name.values()))
    if member.is_unresponsive:
        return
    play.note(f"{member.name} frozen")
    play.silence(member)
    await sleep(play.random.uniform(0.3, 3.0))
    play.end_silence(member)
    play.note(f"{member.name} goes on")


@EVENTS.register("cut a replica off")
async def _cut_replica(play: TakeoverPlay) -> None:
    replica = play.replica(play.any_group())
    await play.cut_off(replica, play.random.uniform(0.5, 4.0))


@EVENTS.register("cut the primary off")
async def _cut_primary(play: TakeoverPlay) -> None:
    primary = play.any_group().last_primary
    await play.cut_off(primary, play.random.uniform(0.5, 3.0))


@EVENTS.register("late control commands")
@EVENTS.register("late control commands again")
async def _delay_control(play: TakeoverPlay) -> None:
    group = play.any_group()
    names = list(group.member_by_name)
    chosen = play.random.sample(names, play.random.randint(1, len(names)))
    delay_s = play.random.uniform(0.1, 0.7)
    play.note(f"control delayed {delay_s:.2f} s at {', '.join(chosen)}")
    for name in chosen:
        play.server(name).control_delay_s = delay_s
    await sleep(play.random.uniform(2.0, 5.0))
    for name in chosen:
        play.server(name).control_delay_s = 0.0


@EVENTS.register("a member joins")
async def _join(play: TakeoverPlay) -> None:
    group = play.any_group()
    if len(group.member_by_name) >= _MAX_MEMBERS:
        return
    name = f"{group.name}-m{len(group.member_by_name) + 1}"
    if group.join(name) is None:
        return
    play.note(f"{name} joins")
    await play.site.standins.start_member(group, name)
    await sleep(play.random.uniform(0.0, 0.3))
    play.report(name)


async def _trigger(play: TakeoverPlay, group: ReplicatedGroup) -> None:
    """Give a reason for a takeover of a group."""
    how = play.random.choice(("drain", "crash", "hide"))
    play.note(f"{group.last_primary.name}: {how}")
    seconds = play.random.uniform(1.5, 5.0)
    if how == "drain":
        await play.drain_primary(group)
    elif how == "crash":
        await play.crash(group.last_primary, seconds)
    else:
        count = play.random.choice((1, 2))
        nodes = play.random.sample(play.site.nodes, count)
        await play.hide(group.last_primary, nodes, seconds)


@EVENTS.register("end the node that orders")
@EVENTS.register("end the next node that orders")
async def _end_at_order(play: TakeoverPlay) -> None:
    how = play.random.choice(_HOW)
    delay_s = play.random.uniform(0.0, 0.05)
    await gather(
        play.end_at_order(how, delay_s), _trigger(play, play.any_group())
    )


@EVENTS.register("silence the ordered member")
@EVENTS.register("silence the next ordered member")
async def _silence_at_order(play: TakeoverPlay) -> None:
    await gather(_silence_ordered(play), _trigger(play, play.any_group()))


@EVENTS.register("end the node that orders, silence the ordered member")
@EVENTS.register("end the node that orders, silence another ordered member")
async def _end_and_silence_at_order(play: TakeoverPlay) -> None:
    await gather(
        play.end_at_order(play.random.choice(_HOW), 0.0),
        _silence_ordered(play),
        _trigger(play, play.any_group()),
    )


@EVENTS.register("freeze the node that orders until another one does")
async def _freeze_until_order(play: TakeoverPlay) -> None:
    group = play.any_group()

    async def trigger_again() -> None:
        await _trigger(play, group)
        await _trigger(play, group)

    await gather(play.freeze_until_order(9.0), trigger_again())


@EVENTS.register("a promoted member fails")
@EVENTS.register("a promoted member fails once more")
async def _fail_promoted(play: TakeoverPlay) -> None:
    """Crash a member as it leads; it replicates only some time later."""
    group = play.any_group()
    tasks: list = []

    async def fail(member: LineMember) -> None:
        await sleep(play.random.uniform(0.0, 1.0))
        seconds = play.random.uniform(0.5, 2.5)
        await gather(
            play.crash(member, seconds),
            play.cut_off(member, seconds + play.random.uniform(0.0, 4.0)),
        )

    def notify(promotion: Promotion) -> None:
        group.on_promotion.remove(notify)
        member = group.member_by_name[promotion.member]
        tasks.append(create_task(fail(member)))

    group.on_promotion.append(notify)
    await gather(_trigger(play, group), sleep(ARMED_S))
    if notify in group.on_promotion:
        group.on_promotion.remove(notify)
    await gather(*tasks)


@EVENTS.register("late orders")
async def _delay_orders(play: TakeoverPlay) -> None:
    standins = play.site.standins
    share, standins.late_share = standins.late_share, 1.0
    play.note("orders take effect late")
    await gather(_silence_ordered(play), _trigger(play, play.any_group()))
    standins.late_share = min(share, standins.late_share)
    play.note("orders as before")


@EVENTS.register("end the node that pauses")
async def _end_at_pause(play: TakeoverPlay) -> None:
    how = play.random.choice(_HOW)
    delay_s = play.random.uniform(0.0, 0.1)
    await gather(
        play.end_at_pause(how, delay_s), _trigger(play, play.any_group())
    )


@EVENTS.register("end a node")
async def _end_node(play: TakeoverPlay) -> None:
    await play.end_node(play.node().vm, play.random.choice(_HOW))


@EVENTS.register("slow store")
async def _slow_store(play: TakeoverPlay) -> None:
    faults = play.site.standins.store.faults
    faults.delay_s = play.random.uniform(0.05, 0.6)
    play.note(f"store takes {faults.delay_s:.2f} s")
    await sleep(play.random.uniform(1.0, 3.0))
    faults.delay_s = 0.0
