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
    """Start a dead member again, with its data, log and promises."""
    await _member(group, member).restart()


@GROUP_FAULTS.register("pause")
async def pause(group: Any, member: str) -> None:
    """Delay all answers and replication of a member until ``resume``."""
    _member(group, member).pause()


@GROUP_FAULTS.register("resume")
async def resume(group: Any, member: str) -> None:
    """End the pause of a member."""
    _member(group, member).resume()


@GROUP_FAULTS.register("lag")
async def lag(group: Any, member: str, ms: float) -> None:
    """Delay by ``ms`` the applying of entries that a member receives."""
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
        "role": "primary" if target.term_state.is_primary else "replica",
        "promised_term": target.term_state.promise.term,
        "applied_index": target.replica.applied,
        "tables": target.store.dump(),
        "log": entries,
        "diverged": target.replica.diverged,
    }


@GROUP_FAULTS.register("statements")
async def statements(group: Any, member: str) -> dict[str, Any]:
    """Return the last statements that a member received, verbatim."""
    texts = _member(group, member).statements
    return {
        "statements": [
            text.encode(errors="surrogateescape").decode(errors="replace")
            for text in texts
        ]
    }


@GROUP_FAULTS.register("status")
async def status(group: Any) -> dict[str, Any]:
    """Return each member's role, log indexes, connections and slots."""
    return {
        name: {
            "role": "primary" if member.term_state.is_primary else "replica",
            "alive": member.is_alive,
            "port": member.port,
            "promised_term": member.term_state.promise.term,
            "received_index": len(member.replica.log),
            "applied_index": member.replica.applied,
            "connections": member.connections.count,
            "slots_held": member.slots.held,
            "slots_waiting": member.slots.waiting,
        }
        for name, member in group.members_by_name.items()
    }
