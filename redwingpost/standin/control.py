"""Control statements of the target port, ``REDWING …``.

``docs/design/target-port.md`` specifies each of them.
"""

from collections.abc import Awaitable, Callable
from re import IGNORECASE, compile as compile_pattern
from typing import Any

from mysql_mimic import ResultColumn, ResultSet
from mysql_mimic.types import ColumnType

from redwingpost.core import Registry
from redwingpost.standin.mysql_errors import SYNTAX, MemberError

Control = Callable[..., Awaitable[ResultSet | None]]

CONTROLS: Registry[Control] = Registry("control statement")

_CONTROL = compile_pattern(
    r"\s*REDWING\s+((?:WAIT\s+)?\w+)\s*(.*?)\s*;?\s*$", IGNORECASE
)


def find_control(text: str) -> tuple[Control, list[str]] | None:
    """Return a control statement's handler and arguments, or None.

    Raises
    ------
    MemberError
        If the text is a control statement with an unknown name.
    """
    match = _CONTROL.match(text)
    if match is None:
        return None
    name = " ".join(match.group(1).upper().split())
    if name not in CONTROLS.names():
        raise MemberError(SYNTAX, f"no control statement {name!r}")
    return (
        _report_bad_arguments(CONTROLS.get(name), name),
        match.group(2).split(),
    )


def _report_bad_arguments(control: Control, name: str) -> Control:
    async def run(session: Any, *arguments: str):
        try:
            return await control(session, *arguments)
        except (TypeError, ValueError) as error:
            message = f"REDWING {name}: {error}"
            raise MemberError(SYNTAX, message) from error

    return run


def _single_row(**values: Any) -> ResultSet:
    columns = [
        ResultColumn(
            name,
            (
                ColumnType.LONGLONG
                if isinstance(value, int)
                else ColumnType.VAR_STRING
            ),
        )
        for name, value in values.items()
    ]
    return ResultSet([tuple(values.values())], columns)


@CONTROLS.register("STATUS")
async def status(session: Any) -> ResultSet:
    """Return the member's role, promised term, positions and history."""
    member = session.member
    received = member.replica.log.head
    applied = member.replica.applied_position
    history = ",".join(str(first) for first in member.replica.log.history)
    return _single_row(
        member=member.name,
        role="primary" if member.term_state.is_primary else "replica",
        promised_term=member.term_state.promise.term,
        received_term=received.term,
        received_index=received.index,
        applied_term=applied.term,
        applied_index=applied.index,
        follows=member.term_state.follows,
        history=history,
        age_ms=int(member.replica.age_s() * 1000),
    )


@CONTROLS.register("POSITION")
async def position(session: Any) -> ResultSet:
    """Return the position of this connection's last commit."""
    last = session.transaction.last_commit
    return _single_row(term=last.term, index=last.index)


@CONTROLS.register("WAIT RECEIVED")
async def wait_received(
    session: Any, term: str, index: str, timeout_ms: str
) -> ResultSet:
    """Wait until the relay log contains a position."""
    member = session.member
    ok = await member.wait_position(
        int(term),
        float(timeout_ms) / 1000,
        lambda: member.replica.log.holds(int(term), int(index)),
    )
    head = member.replica.log.head
    return _single_row(
        ok=int(ok),
        promised_term=member.term_state.promise.term,
        received_term=head.term,
        received_index=head.index,
    )


@CONTROLS.register("WAIT APPLIED")
async def wait_applied(
    session: Any, term: str, index: str, timeout_ms: str
) -> ResultSet:
    """Wait until this member has applied a position."""
    member = session.member

    def holds() -> bool:
        applied = member.replica.applied_position
        return applied.term == int(term) and applied.index >= int(index)

    ok = await member.wait_position(int(term), float(timeout_ms) / 1000, holds)
    applied = member.replica.applied_position
    return _single_row(
        ok=int(ok),
        promised_term=member.term_state.promise.term,
        applied_term=applied.term,
        applied_index=applied.index,
    )


@CONTROLS.register("CLAIM")
async def claim(session: Any, term: str, claimant: str) -> ResultSet:
    """Promise a term; fence the member if it leads a lower one."""
    member = session.member
    ok = member.claim(int(term), claimant)
    received = member.replica.log.head
    applied = member.replica.applied_position
    return _single_row(
        ok=int(ok),
        promised_term=member.term_state.promise.term,
        claimant=member.term_state.promise.claimant,
        received_term=received.term,
        received_index=received.index,
        applied_term=applied.term,
        applied_index=applied.index,
    )


@CONTROLS.register("PROMOTE")
async def promote(session: Any, term: str, claimant: str) -> ResultSet:
    """Apply the relay log, then become the primary of a claimed term."""
    member = session.member
    ok = await member.promote(int(term), claimant)
    head = member.replica.log.head
    return _single_row(ok=int(ok), term=head.term, index=head.index)


@CONTROLS.register("FOLLOW")
async def follow(
    session: Any, term: str, primary: str, ip: str, port: str
) -> ResultSet:
    """Start to replicate from another member."""
    member = session.member
    ok = member.follow(int(term), primary, ip, int(port))
    return _single_row(
        ok=int(ok), promised_term=member.term_state.promise.term
    )


@CONTROLS.register("DIVERGED")
async def diverged(session: Any) -> ResultSet:
    """Return the statements that were undone as diverged."""
    names = (
        ("term", ColumnType.LONGLONG),
        ("index", ColumnType.LONGLONG),
        ("statement", ColumnType.VAR_STRING),
    )
    columns = [ResultColumn(name, kind) for name, kind in names]
    rows = [tuple(statement) for statement in session.member.replica.diverged]
    return ResultSet(rows, columns)


@CONTROLS.register("RESET")
async def reset(session: Any) -> None:
    """Reset the session's state to that of a new connection."""
    session.clear()
