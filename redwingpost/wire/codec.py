"""Conversion between RPC structs and the records of the decision modules.

Structs are built as plain dicts, which pycapnp copies into a message.
Readers are copied out immediately, since each keeps its whole message in
memory.
"""

from collections.abc import Iterable
from functools import lru_cache
from typing import Any, NamedTuple
from zlib import compress, decompressobj
from zlib import error as zlib_error

from redwingpost.configuration.model import Versioned, Withdrawal
from redwingpost.configuration.parse import MAX_BODY_BYTES
from redwingpost.core import GroupView, Position
from redwingpost.membership.beats import Beat

#: Largest age in a message (milliseconds); stands for "never".
MAX_AGE_MS = 2**32 - 1


class Digest(NamedTuple):
    """Summary of an agent's state, for comparison with another agent.

    The marks are checksums of the withdrawals, the views of the groups
    and the members. ``confirmed_ms`` is the age of the last key
    confirmation.
    """

    version: int
    withdrawals_mark: int
    views_mark: int
    confirmed_ms: int = MAX_AGE_MS
    members_mark: int = 0


def to_age_ms(seconds: float) -> int:
    """Return an age in milliseconds, limited to 0 and ``MAX_AGE_MS``.

    Examples
    --------
    >>> to_age_ms(1.5), to_age_ms(-0.1), to_age_ms(float("inf"))
    (1500, 0, 4294967295)
    """
    return int(max(0.0, min(seconds * 1000.0, float(MAX_AGE_MS))))


def from_age_ms(age_ms: int) -> float:
    """Return an age in seconds; infinite for "never"."""
    return float("inf") if age_ms == MAX_AGE_MS else age_ms / 1000.0


def encode_beat(beat: Beat, age_s: float) -> dict[str, Any]:
    """Return a heartbeat's struct."""
    return {
        "vm": beat.vm,
        "dataCentre": beat.data_centre,
        "ip": beat.ip,
        "agentPort": beat.agent_port,
        "proxyPort": beat.proxy_port,
        "incarnation": beat.incarnation,
        "sequence": beat.sequence,
        "configVersion": beat.config_version,
        "withdrawals": beat.withdrawals,
        "draining": beat.draining,
        "ageMs": to_age_ms(age_s),
        "proxyVersion": beat.proxy_version,
        "proxyAttached": beat.proxy_attached,
        "gone": beat.gone,
        "relay": beat.relay,
    }


def decode_beat(reader: Any) -> tuple[Beat, float]:
    """Return a heartbeat and its age in seconds."""
    beat = Beat(
        vm=reader.vm,
        data_centre=reader.dataCentre,
        ip=reader.ip,
        agent_port=reader.agentPort,
        proxy_port=reader.proxyPort,
        incarnation=reader.incarnation,
        sequence=reader.sequence,
        config_version=reader.configVersion,
        withdrawals=reader.withdrawals,
        draining=reader.draining,
        proxy_version=reader.proxyVersion,
        proxy_attached=reader.proxyAttached,
        gone=reader.gone,
        relay=reader.relay,
    )
    return beat, from_age_ms(reader.ageMs)


def encode_digest(digest: Digest) -> dict[str, Any]:
    """Return a digest's struct."""
    return {
        "configVersion": digest.version,
        "withdrawals": digest.withdrawals_mark,
        "viewsMark": digest.views_mark,
        "confirmedMs": digest.confirmed_ms,
        "membersMark": digest.members_mark,
    }


def decode_digest(reader: Any) -> Digest:
    """Return a digest."""
    return Digest(
        reader.configVersion,
        reader.withdrawals,
        reader.viewsMark,
        reader.confirmedMs,
        reader.membersMark,
    )


def encode_version(version: Versioned) -> dict[str, Any]:
    """Return a configuration's struct."""
    return {
        "version": version.version,
        "hash": version.body_hash,
        "body": _deflate(version.body),
    }


def decode_version(reader: Any) -> Versioned:
    """Return a configuration; its body is empty if it can't be inflated."""
    body = _inflate(bytes(reader.body))
    return Versioned(reader.version, reader.hash, body)


@lru_cache(maxsize=2)
def _deflate(body: bytes) -> bytes:
    """Return a body deflated; cached, as a relay sends it many times.

    A configuration of 1,300 groups shrinks from 820 to 60 KB.
    """
    return compress(body)


def _inflate(deflated: bytes) -> bytes:
    """Return a body, or empty bytes if it can't be inflated.

    The output is truncated at ``MAX_BODY_BYTES``: otherwise a few bytes
    from a faulty peer could fill the memory.
    """
    try:
        return decompressobj().decompress(deflated, MAX_BODY_BYTES)
    except zlib_error:
        return b""


def encode_withdrawals(
    withdrawals: Iterable[Withdrawal],
) -> list[dict[str, Any]]:
    """Return the structs of withdrawals."""
    return [
        {"organisation": item.organisation, "keyHash": item.key_hash}
        for item in sorted(withdrawals)
    ]


def decode_withdrawals(readers: Any) -> frozenset[Withdrawal]:
    """Return withdrawals."""
    return frozenset(
        Withdrawal(item.organisation, item.keyHash) for item in readers
    )


def encode_views(views: Iterable[GroupView]) -> list[dict[str, Any]]:
    """Return the structs of group views."""
    return [
        {
            "group": view.group,
            "term": view.term,
            "primary": view.primary,
            "history": [
                {"term": first.term, "index": first.index}
                for first in view.history
            ],
        }
        for view in views
    ]


def decode_views(readers: Any) -> tuple[GroupView, ...]:
    """Return group views."""
    return tuple(
        GroupView(
            group=view.group,
            term=view.term,
            primary=view.primary,
            history=tuple(
                Position(first.term, first.index) for first in view.history
            ),
        )
        for view in readers
    )
