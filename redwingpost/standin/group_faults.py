"""Faults of a database group's members."""

from typing import Any

from redwingpost.core import Registry
from redwingpost.standin.faults import Fault

GROUP_FAULTS: Registry[Fault] = Registry("group fault")


def _member(group: Any, name: str) -> Any:
    if name not in group.members_by_name:
        known = ", ".join(group.members_by_name)
        raise ValueError(f"no member {name!r}; members: {known}")
    return group.members_by_name[name]


@GROUP_FAULTS.register("die")
async def die(group: Any, member: str) -> None:
    """Close a member's connections and refuse new ones."""
    await _member(group, member).die()


@GROUP_FAULTS.register("restart")
async def restart(group: Any, member: str) -> None:
    """Bring a dead member back, with data, log and promises."""
    await _member(group, member).restart()


@GROUP_FAULTS.register("pause")
async def pause(group: Any, member: str) -> None:
    """Hold every answer of a member and its replication."""
    _member(group, member).pause()


@GROUP_FAULTS.register("resume")
async def resume(group: Any, member: str) -> None:
    """Let a paused member go on."""
    _member(group, member).resume()


@GROUP_FAULTS.register("lag")
async def lag(group: Any, member: str, ms: float) -> None:
    """Let a member wait ``ms`` before it applies what it received."""
    _member(group, member).replica.lag_s = float(ms) / 1000


@GROUP_FAULTS.register("slow")
async def slow(group: Any, member: str, factor: float) -> None:
    """Multiply a member's service times by ``factor``."""
    _member(group, member).slow_factor = float(factor)


@GROUP_FAULTS.register("lose-answer")
async def lose_answer(
    group: Any, member: str, count: int = 1, match: str = ""
) -> None:
    """Drop the connection instead of the next ``count`` answers."""
    target = _member(group, member)
    target.lost_answers = int(count)
    target.lost_answers_match = match


@GROUP_FAULTS.register("dump")
async def dump(group: Any, member: str) -> dict[str, Any]:
    """Return a member's tables and its log."""
    target = _member(group, member)
    log = target.replica.log
    entries = log.after(0, len(log))
    return {
        "member": member,
        "role": "primary" if target.book.is_primary else "replica",
        "promised_term": target.book.promise.term,
        "applied_index": target.replica.applied,
        "tables": target.store.dump(),
        "log": entries,
        "diverged": target.replica.set_aside,
    }


@GROUP_FAULTS.register("statements")
async def statements(group: Any, member: str) -> dict[str, Any]:
    """Return the last statements a member got, word for word."""
    texts = _member(group, member).statements
    return {
        "statements": [
            text.encode(errors="surrogateescape").decode(errors="replace")
            for text in texts
        ]
    }


@GROUP_FAULTS.register("status")
async def status(group: Any) -> dict[str, Any]:
    """Return what every member is, holds and carries just now."""
    return {
        name: {
            "role": "primary" if member.book.is_primary else "replica",
            "alive": member.is_alive,
            "port": member.port,
            "promised_term": member.book.promise.term,
            "received_index": len(member.replica.log),
            "applied_index": member.replica.applied,
            "connections": member.connections.count,
            "slots_held": member.slots.held,
            "slots_waiting": member.slots.waiting,
        }
        for name, member in group.members_by_name.items()
    }
