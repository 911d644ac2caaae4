"""Conversion of forwarded statements and answers to and from structs."""

from typing import Any

from expression import Error, Ok, Result
from msgspec.msgpack import Decoder, Encoder

from redwingpost.core import (
    CODES_BY_NUMBER,
    Marks,
    MemberError,
    NO_MARKS,
    Position,
    Refusal,
)
from redwingpost.ports import StatementResult

_ENCODER = Encoder()
_MARKS = Decoder(dict[str, str])
_RESULT = Decoder(StatementResult)

#: Rows hold the member's own text, str for text and bytes for binary
#: columns; MessagePack keeps the two apart.
Answer = Result[StatementResult, Refusal | MemberError]


def encode_marks(marks: Marks) -> bytes:
    """Return the marks that are set as a MessagePack map of texts."""
    texts = {
        name: str(value)
        for name, value in marks._asdict().items()
        if value != getattr(NO_MARKS, name)
    }
    return _ENCODER.encode(texts)


def decode_marks(body: bytes) -> dict[str, str]:
    """Return marks as texts by name, in the form of query attributes."""
    return _MARKS.decode(body) if body else {}


def encode_positions(
    positions_by_group: dict[str, Position],
) -> list[dict[str, Any]]:
    """Return the structs of positions."""
    return [
        {"group": group, "position": position._asdict()}
        for group, position in positions_by_group.items()
    ]


def decode_positions(readers: Any) -> dict[str, Position]:
    """Return positions by group."""
    return {
        reader.group: Position(reader.position.term, reader.position.index)
        for reader in readers
    }


def encode_answer(answer: Answer) -> dict[str, Any]:
    """Return an answer's struct without the positions."""
    if answer.is_ok():
        return {
            "code": 0,
            "result": _ENCODER.encode(_encode_invalid_text(answer.ok)),
        }
    error = answer.error
    if isinstance(error, MemberError):
        return {"code": error.number, "message": error.message}
    return {
        "code": error.code.number,
        "message": error.detail,
        "retryAfterMs": error.retry_after_ms,
    }


def _encode_invalid_text(result: StatementResult) -> StatementResult:
    # MessagePack strings must be UTF-8; other text is sent as bytes.
    rows = tuple(
        tuple(_to_encodable(value) for value in row) for row in result.rows
    )
    return result._replace(rows=rows)


def _to_encodable(value: Any) -> Any:
    if isinstance(value, str) and not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError:
            return value.encode(errors="surrogateescape")
    return value


def decode_answer(reader: Any) -> Answer:
    """Return an answer from its struct."""
    if reader.code == 0:
        return Ok(_RESULT.decode(reader.result))
    code = CODES_BY_NUMBER.get(reader.code)
    if code is None:
        return Error(MemberError(reader.code, reader.message))
    return Error(Refusal(code, reader.message, reader.retryAfterMs))
