"""Conversion of a gatherer's digest to and from a Cap'n Proto struct."""

from math import isnan, nan

from redwingpost.core.positions import Position
from redwingpost.membership.heartbeat import (
    CellReport,
    Digest,
    Echo,
    MergedHealth,
    SharedSample,
)
from redwingpost.rates.counters import UsageTable


def fill_digest(message, digest: Digest) -> None:
    """Write a digest into an empty struct.

    Examples
    --------
    >>> from redwingpost.rates.counters import Usage, VmUsage
    >>> from redwingpost.wire.heartbeat_schema import SCHEMA
    >>> cells = (CellReport("a/0", 5, frozenset({1, 2}), 6, 3, "ip", 4),)
    >>> health = {"m": MergedHealth(1, 0, 2, (700,), 2)}
    >>> samples = (SharedSample("m", Position(3, 9), 120),)
    >>> usages = UsageTable.from_usages((VmUsage("w", 7, Usage("o", 5, 6)),))
    >>> digest = Digest(
    ...     "v", 9, True, cells, health, False, samples, 8, {4: Echo(5, 6)},
    ...     usages,
    ... )
    >>> message = SCHEMA.Digest.new_message()
    >>> fill_digest(message, digest)
    >>> read_digest(message) == digest
    True
    """
    message.vm = digest.vm
    message.boot = digest.boot
    message.isFleet = digest.is_fleet
    message.isBrief = digest.is_brief
    message.isUrgent = digest.is_urgent
    message.clockMs = digest.clock_ms
    message.cells = [_pack_cell(cell) for cell in digest.cells]
    message.primaries = [
        _pack_primary(member, health)
        for member, health in digest.health_by_primary.items()
    ]
    message.samples = [_pack_sample(sample) for sample in digest.samples]
    echoes = digest.echo_by_number
    message.echoVms = list(echoes)
    message.echoClocksMs = [echo.clock_ms for echo in echoes.values()]
    message.echoHeldMs = [echo.held_ms for echo in echoes.values()]
    _fill_usages(message.init("usages"), digest.usages)


def read_digest(message) -> Digest:
    """Return the digest that a struct holds."""
    clocks = zip(message.echoClocksMs, message.echoHeldMs)
    return Digest(
        message.vm,
        message.boot,
        message.isFleet,
        tuple(_read_cell(cell) for cell in message.cells),
        {item.member: _read_primary(item) for item in message.primaries},
        message.isBrief,
        tuple(_read_sample(item) for item in message.samples),
        message.clockMs,
        {
            number: Echo(*clock)
            for number, clock in zip(message.echoVms, clocks)
        },
        _read_usages(message.usages),
        message.isUrgent,
    )


def _pack_cell(cell: CellReport) -> dict:
    return {
        "name": cell.cell,
        "ageMs": cell.age_ms,
        "vms": list(cell.vms or ()),
        "vmsNumber": cell.vms_number,
        "configVersion": cell.config_version,
        "configIp": cell.config_ip,
        "reached": cell.reached,
    }


def _read_cell(item) -> CellReport:
    return CellReport(
        item.name,
        item.ageMs,
        frozenset(item.vms) or None,
        item.vmsNumber,
        item.configVersion,
        item.configIp,
        item.reached,
    )


def _pack_primary(member: str, health: MergedHealth) -> dict:
    return {
        "member": member,
        "silentMs": health.silent_ms,
        "stuckMs": health.stuck_ms,
        "ackedMs": health.acked_ms,
        "failingMs": list(health.failing_ms),
        "observers": health.observers,
    }


def _read_primary(item) -> MergedHealth:
    return MergedHealth(
        item.silentMs,
        item.stuckMs,
        item.ackedMs,
        tuple(item.failingMs),
        item.observers,
    )


def _pack_sample(sample: SharedSample) -> dict:
    return {
        "member": sample.member,
        "term": sample.position.term,
        "index": sample.position.index,
        "ageMs": sample.age_ms,
    }


def _read_sample(item) -> SharedSample:
    position = Position(item.term, item.index)
    return SharedSample(item.member, position, item.ageMs)


def _fill_usages(message, usages: UsageTable) -> None:
    if not usages.rows:
        return
    message.vms = [vm for vm, _ in usages.vms]
    message.boots = [boot for _, boot in usages.vms]
    message.organisations = list(usages.organisations)
    columns = list(zip(*usages.rows))
    message.vmPlaces = list(columns[0])
    message.organisationPlaces = list(columns[1])
    message.admitted = list(columns[2])
    message.offered = list(columns[3])
    message.returned = list(columns[4])
    message.tokens = [nan if item is None else item for item in columns[5]]
    message.newlyUsed = [max(0, used) for used in columns[6]]
    message.newlyOffered = list(columns[7])


def _read_usages(message) -> UsageTable:
    rows = zip(
        message.vmPlaces,
        message.organisationPlaces,
        message.admitted,
        message.offered,
        message.returned,
        (None if isnan(item) else item for item in message.tokens),
        message.newlyUsed,
        message.newlyOffered,
    )
    return UsageTable(
        tuple(zip(message.vms, message.boots)),
        tuple(message.organisations),
        tuple(rows),
    )
