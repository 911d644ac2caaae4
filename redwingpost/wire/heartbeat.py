"""Conversion of heartbeats and digests to and from datagrams."""

from collections.abc import Iterator
from math import isfinite
from typing import NamedTuple

from capnp import KjException

from redwingpost.core.foreign import UNREADABLE
from redwingpost.core.positions import Position
from redwingpost.membership.heartbeat import (
    Digest,
    Echo,
    Heartbeat,
    PrimaryHealth,
    SharedSample,
)
from redwingpost.rates.counters import Usage, UsageTable, VmUsage
from redwingpost.wire.digest import fill_digest, read_digest
from redwingpost.wire.heartbeat_schema import SCHEMA

#: Largest datagram in bytes: a larger one is sent as several packets, and
#: the loss of any one loses them all.
MAX_DATAGRAM_BYTES = 1400


def pack_heartbeats(
    heartbeat: Heartbeat, usages: tuple[Usage, ...]
) -> Iterator[bytes]:
    """Yield a heartbeat's datagrams, split by ``MAX_DATAGRAM_BYTES``.

    Counters can be merged in any order, so those that don't fit are sent
    in further datagrams.
    """
    datagram = pack_heartbeat(heartbeat, usages)
    if len(datagram) <= MAX_DATAGRAM_BYTES or not usages:
        yield datagram
        return
    middle = len(usages) // 2
    rest = heartbeat._replace(health_by_primary={}, samples=(), is_brief=True)
    yield from pack_heartbeats(heartbeat, usages[:middle])
    yield from pack_heartbeats(rest, usages[middle:])


def pack_digests(
    digest: Digest, usages: tuple[VmUsage, ...]
) -> Iterator[bytes]:
    """Yield a digest's datagrams, split as in ``pack_heartbeats``.

    Examples
    --------
    >>> from redwingpost.rates.counters import NO_USAGES
    >>> digest = Digest("v", 9, True, (), {}, False, (), 8, {}, NO_USAGES)
    >>> usages = tuple(
    ...     VmUsage(f"vm-{n}", n, Usage("o", n, n)) for n in range(300)
    ... )
    >>> datagrams = list(pack_digests(digest, usages))
    >>> max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES
    True
    >>> parts = [unpack(datagram, "ip").usages for datagram in datagrams]
    >>> sum(len(part.rows) for part in parts)
    300
    """
    filled = digest._replace(usages=UsageTable.from_usages(usages))
    datagram = pack_digest(filled)
    if len(datagram) <= MAX_DATAGRAM_BYTES or not usages:
        yield datagram
        return
    middle = len(usages) // 2
    yield from pack_digests(digest, usages[:middle])
    yield from pack_digests(digest.counters_only(), usages[middle:])


def pack_heartbeat(heartbeat: Heartbeat, usages: tuple[Usage, ...]) -> bytes:
    """Return the datagram of one heartbeat.

    Examples
    --------
    >>> health = {"m1": PrimaryHealth(20, 0, 35, 0)}
    >>> samples = (SharedSample("m1", Position(3, 9), 120),)
    >>> heartbeat = Heartbeat("a", 7, "ip", 3, health, 5, None, samples)
    >>> usages = (Usage("org", 5, 6, tokens=-2.5), Usage("other", 1))
    >>> datagram = pack_heartbeat(heartbeat, usages)
    >>> unpack(datagram, "ip") == (heartbeat, usages)
    True
    """
    sample_by_member = {sample.member: sample for sample in heartbeat.samples}
    fields = {
        "vm": heartbeat.vm,
        "boot": heartbeat.boot,
        "configVersion": heartbeat.config_version,
        "usages": [_pack_usage(usage) for usage in usages],
        "primaries": [
            _pack_primary(member, health, sample_by_member.get(member))
            for member, health in heartbeat.health_by_primary.items()
        ],
        "clockMs": heartbeat.clock_ms,
        "echo": _pack_echo(heartbeat.echo),
        "isBrief": heartbeat.is_brief,
        "wantsUsages": heartbeat.wants_usages,
        "isUrgent": heartbeat.is_urgent,
    }
    return SCHEMA.Message.new_message(heartbeat=fields).to_bytes_packed()


def pack_digest(digest: Digest) -> bytes:
    """Return the datagram of one digest."""
    message = SCHEMA.Message.new_message()
    fill_digest(message.init("digest"), digest)
    return message.to_bytes_packed()


class HeartbeatWithUsages(NamedTuple):
    """One VM's heartbeat and its counters."""

    heartbeat: Heartbeat
    usages: tuple[Usage, ...]


def unpack(datagram: bytes, ip: str) -> HeartbeatWithUsages | Digest | None:
    """Return the message in a datagram; None if it can't be decoded.

    Parameters
    ----------
    datagram : bytes
        The received bytes.
    ip : str
        The sender's address, which the datagram itself doesn't contain.

    Examples
    --------
    >>> unpack(b"\\xff\\xffbroken", "10.0.0.1") is None
    True
    """
    if not _has_one_segment(datagram):
        return None
    try:
        message = SCHEMA.Message.from_bytes_packed(datagram)
        if message.which() == "digest":
            return read_digest(message.digest)
        return _unpack_heartbeat(message.heartbeat, ip)
    except (KjException, *UNREADABLE):
        return None


def _has_one_segment(datagram: bytes) -> bool:
    """Return whether a datagram holds one segment, as all of ours do.

    The library reads further segments late, and ends the process if they are
    cut short. A packed message begins with a byte that tells which of the
    next eight aren't zero; the first four are the number of further segments.
    """
    return bool(datagram) and not datagram[0] & 0b1111


def _unpack_heartbeat(message, ip: str) -> HeartbeatWithUsages:
    heartbeat = Heartbeat(
        message.vm,
        message.boot,
        ip,
        message.configVersion,
        {
            item.member: PrimaryHealth(
                item.silentMs, item.stuckMs, item.ackedMs, item.failingMs
            )
            for item in message.primaries
        },
        message.clockMs,
        _unpack_echo(message.echo),
        tuple(
            _unpack_sample(item)
            for item in message.primaries
            if item.sampleAgeMs
        ),
        message.isBrief,
        message.wantsUsages,
        message.isUrgent,
    )
    usages = tuple(_unpack_usage(item) for item in message.usages)
    return HeartbeatWithUsages(heartbeat, usages)


def _pack_usage(usage: Usage) -> dict:
    has_tokens = usage.tokens is not None
    return {
        "organisation": usage.organisation,
        "admitted": usage.admitted,
        "offered": usage.offered,
        "returned": usage.returned,
        "tokens": usage.tokens if has_tokens else 0.0,
        "isTold": has_tokens,
        "newlyUsed": max(0, usage.newly_used),
        "newlyOffered": usage.newly_offered,
    }


def _unpack_usage(item) -> Usage:
    # An estimate that is no number would spoil the receiver's own.
    has_tokens = item.isTold and isfinite(item.tokens)
    tokens = item.tokens if has_tokens else None
    return Usage(
        item.organisation,
        item.admitted,
        item.offered,
        item.returned,
        tokens,
        item.newlyUsed,
        item.newlyOffered,
    )


def _pack_primary(
    member: str, health: PrimaryHealth, sample: SharedSample | None
) -> dict:
    packed = {
        "member": member,
        "silentMs": health.silent_ms,
        "stuckMs": health.stuck_ms,
        "ackedMs": health.acked_ms,
        "failingMs": health.failing_ms,
    }
    if sample is not None:
        packed["sampleTerm"] = sample.position.term
        packed["sampleIndex"] = sample.position.index
        packed["sampleAgeMs"] = sample.age_ms
    return packed


def _unpack_sample(item) -> SharedSample:
    position = Position(item.sampleTerm, item.sampleIndex)
    return SharedSample(item.member, position, item.sampleAgeMs)


def _pack_echo(echo: Echo | None) -> dict:
    if echo is None:
        return {}
    return {"clockMs": echo.clock_ms, "heldMs": echo.held_ms}


def _unpack_echo(item) -> Echo | None:
    return Echo(item.clockMs, item.heldMs) if item.clockMs else None
