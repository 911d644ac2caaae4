"""Control statements of the target port, ``REDWING …``.

``docs/design/target-port.md`` says what each stands for.
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
        If it isn't one that a member knows.
    """
    match = _CONTROL.match(text)
    if match is None:
        return None
    name = " ".join(match.group(1).upper().split())
    if name not in CONTROLS.names():
        raise MemberError(SYNTAX, f"no control statement {name!r}")
    return _checked(CONTROLS.get(name), name), match.group(2).split()


def _checked(control: Control, name: str) -> Control:
    async def run(session: Any, *arguments: str):
        try:
            return await control(session, *arguments)
        except (TypeError, ValueError) as broken:
            message = f"REDWING {name}: {broken}"
            raise MemberError(SYNTAX, message) from broken

    return run


def _answer(**values: Any) -> ResultSet:
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
    """Say what the member is and holds."""
    member = session.member
    received = member.replica.log.head
    applied = member.replica.applied_position
    history = ",".join(str(first) for first in member.replica.log.history)
    return _answer(
        member=member.name,
        role="primary" if member.book.is_primary else "replica",
        promised_term=member.book.promise.term,
        received_term=received.term,
        received_index=received.index,
        applied_term=applied.term,
        applied_index=applied.index,
        follows=member.book.follows,
        history=history,
        age_ms=int(member.replica.age_s() * 1000),
    )


@CONTROLS.register("POSITION")
async def position(session: Any) -> ResultSet:
    """Return the position of this connection's last commit."""
    last = session.transaction.last_commit
    return _answer(term=last.term, index=last.index)


@CONTROLS.register("WAIT RECEIVED")
async def wait_received(
    session: Any, term: str, index: str, timeout_ms: str
) -> ResultSet:
    """Wait until the relay log holds a position."""
    member = session.member
    ok = await member.wait_position(
        int(term),
        float(timeout_ms) / 1000,
        lambda: member.replica.log.holds(int(term), int(index)),
    )
    head = member.replica.log.head
    return _answer(
        ok=int(ok),
        promised_term=member.book.promise.term,
        received_term=head.term,
        received_index=head.index,
    )


@CONTROLS.register("WAIT APPLIED")
async def wait_applied(
    session: Any, term: str, index: str, timeout_ms: str
) -> ResultSet:
    """Wait until a read here sees a position."""
    member = session.member

    def holds() -> bool:
        applied = member.replica.applied_position
        return applied.term == int(term) and applied.index >= int(index)

    ok = await member.wait_position(int(term), float(timeout_ms) / 1000, holds)
    applied = member.replica.applied_position
    return _answer(
        ok=int(ok),
        promised_term=member.book.promise.term,
        applied_term=applied.term,
        applied_index=applied.index,
    )


@CONTROLS.register("CLAIM")
async def claim(session: Any, term: str, claimant: str) -> ResultSet:
    """Promise a term; a primary of a lower one is fenced at once."""
    member = session.member
    ok = member.claim(int(term), claimant)
    received = member.replica.log.head
    applied = member.replica.applied_position
    return _answer(
        ok=int(ok),
        promised_term=member.book.promise.term,
        claimant=member.book.promise.claimant,
        received_term=received.term,
        received_index=received.index,
        applied_term=applied.term,
        applied_index=applied.index,
    )


@CONTROLS.register("PROMOTE")
async def promote(session: Any, term: str, claimant: str) -> ResultSet:
    """Apply the relay log, then lead the claimed term."""
    member = session.member
    ok = await member.promote(int(term), claimant)
    head = member.replica.log.head
    return _answer(ok=int(ok), term=head.term, index=head.index)


@CONTROLS.register("FOLLOW")
async def follow(
    session: Any, term: str, primary: str, ip: str, port: str
) -> ResultSet:
    """Take another member's log from now on."""
    member = session.member
    ok = member.follow(int(term), primary, ip, int(port))
    return _answer(ok=int(ok), promised_term=member.book.promise.term)


@CONTROLS.register("DIVERGED")
async def diverged(session: Any) -> ResultSet:
    """Return the transactions that were set aside."""
    names = (
        ("term", ColumnType.LONGLONG),
        ("index", ColumnType.LONGLONG),
        ("statement", ColumnType.VAR_STRING),
    )
    columns = [ResultColumn(name, kind) for name, kind in names]
    rows = [tuple(aside) for aside in session.member.replica.set_aside]
    return ResultSet(rows, columns)


@CONTROLS.register("RESET")
async def reset(session: Any) -> None:
    """Make the connection as new."""
    session.clear()
