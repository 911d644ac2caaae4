"""Heartbeats as datagrams: pack and unpack, once each."""

from pathlib import Path

from capnp import KjException, SchemaParser

from redwingpost.core.positions import Position
from redwingpost.membership.hearing import (
    Beacon,
    Echo,
    PrimaryWord,
    SharedSample,
)
from redwingpost.rates.usage import Usage

_SCHEMA = SchemaParser().load(
    str(Path(__file__).with_name("beacon.capnp")), imports=[]
)


def pack_beacon(beacon: Beacon, usages: tuple[Usage, ...]) -> bytes:
    """Return the datagram of one heartbeat.

    Examples
    --------
    >>> words = {"m1": PrimaryWord(20, 0, 35, 0)}
    >>> samples = (SharedSample("m1", Position(3, 9), 120),)
    >>> beacon = Beacon("a", 7, "ip", 3, words, 5, None, samples)
    >>> usages = (Usage("org", 5, 6, tokens=-2.5), Usage("other", 1))
    >>> datagram = pack_beacon(beacon, usages)
    >>> unpack_beacon(datagram, "ip") == (beacon, usages)
    True
    """
    sample_by_member = {sample.member: sample for sample in beacon.samples}
    message = _SCHEMA.Beacon.new_message(
        vm=beacon.vm,
        boot=beacon.boot,
        configVersion=beacon.config_version,
        usages=[_pack_usage(usage) for usage in usages],
        primaries=[
            _pack_primary(member, word, sample_by_member.get(member))
            for member, word in beacon.word_by_primary.items()
        ],
        clockMs=beacon.clock_ms,
        echo=_pack_echo(beacon.echo),
        isBrief=beacon.is_brief,
    )
    return message.to_bytes_packed()


def unpack_beacon(
    datagram: bytes, ip: str
) -> tuple[Beacon, tuple[Usage, ...]] | None:
    """Return a heartbeat and its usages; None for anything else.

    Parameters
    ----------
    datagram : bytes
        What arrived.
    ip : str
        Where it came from: a VM need not say so itself.

    Examples
    --------
    >>> unpack_beacon(b"\\xff\\xffbroken", "10.0.0.1") is None
    True
    """
    try:
        message = _SCHEMA.Beacon.from_bytes_packed(datagram)
        beacon = Beacon(
            message.vm,
            message.boot,
            ip,
            message.configVersion,
            {
                item.member: PrimaryWord(
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
    return beacon, usages


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
    member: str, word: PrimaryWord, sample: SharedSample | None
) -> dict:
    packed = {
        "member": member,
        "silentMs": word.silent_ms,
        "stuckMs": word.stuck_ms,
        "ackedMs": word.acked_ms,
        "failingMs": word.failing_ms,
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
