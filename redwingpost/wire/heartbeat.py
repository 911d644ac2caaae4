"""Heartbeats as datagrams: pack and unpack, once each."""

from pathlib import Path

from capnp import KjException, SchemaParser

from redwingpost.core.positions import Position
from redwingpost.membership.hearing import (
    Heartbeat,
    Echo,
    PrimaryHealth,
    SharedSample,
)
from redwingpost.rates.usage import Usage

_SCHEMA = SchemaParser().load(
    str(Path(__file__).with_name("heartbeat.capnp")), imports=[]
)


def pack_heartbeat(heartbeat: Heartbeat, usages: tuple[Usage, ...]) -> bytes:
    """Return the datagram of one heartbeat.

    Examples
    --------
    >>> health = {"m1": PrimaryHealth(20, 0, 35, 0)}
    >>> samples = (SharedSample("m1", Position(3, 9), 120),)
    >>> heartbeat = Heartbeat("a", 7, "ip", 3, health, 5, None, samples)
    >>> usages = (Usage("org", 5, 6, tokens=-2.5), Usage("other", 1))
    >>> datagram = pack_heartbeat(heartbeat, usages)
    >>> unpack_heartbeat(datagram, "ip") == (heartbeat, usages)
    True
    """
    sample_by_member = {sample.member: sample for sample in heartbeat.samples}
    message = _SCHEMA.Heartbeat.new_message(
        vm=heartbeat.vm,
        boot=heartbeat.boot,
        configVersion=heartbeat.config_version,
        usages=[_pack_usage(usage) for usage in usages],
        primaries=[
            _pack_primary(member, health, sample_by_member.get(member))
            for member, health in heartbeat.health_by_primary.items()
        ],
        clockMs=heartbeat.clock_ms,
        echo=_pack_echo(heartbeat.echo),
        isBrief=heartbeat.is_brief,
    )
    return message.to_bytes_packed()


def unpack_heartbeat(
    datagram: bytes, ip: str
) -> tuple[Heartbeat, tuple[Usage, ...]] | None:
    """Return a heartbeat and its usages; None for anything else.

    Parameters
    ----------
    datagram : bytes
        What arrived.
    ip : str
        Where it came from: a VM need not say so itself.

    Examples
    --------
    >>> unpack_heartbeat(b"\\xff\\xffbroken", "10.0.0.1") is None
    True
    """
    try:
        message = _SCHEMA.Heartbeat.from_bytes_packed(datagram)
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
        )
        usages = tuple(_unpack_usage(item) for item in message.usages)
    except (KjException, UnicodeDecodeError, ValueError):
        return None
    return heartbeat, usages


def _pack_usage(usage: Usage) -> dict:
    is_told = usage.tokens is not None
    return {
        "organisation": usage.organisation,
        "admitted": usage.admitted,
        "offered": usage.offered,
        "returned": usage.returned,
        "tokens": usage.tokens if is_told else 0.0,
        "isTold": is_told,
    }


def _unpack_usage(item) -> Usage:
    tokens = item.tokens if item.isTold else None
    return Usage(
        item.organisation, item.admitted, item.offered, item.returned, tokens
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
