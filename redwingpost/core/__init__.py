"""Types, result codes and registries that all other packages share."""

from redwingpost.core.codes import (
    CODES_BY_NAME,
    CODES_BY_NUMBER,
    Code,
    Outcome,
    ResultCode,
    render_code_table,
)
from redwingpost.core.marks import NO_MARKS, MarkedStatement, read_marks
from redwingpost.core.positions import (
    ZERO_POSITION,
    History,
    Position,
    is_dropped,
)
from redwingpost.core.registry import Registry
from redwingpost.core.requests import (
    Marks,
    MemberError,
    Refusal,
    Request,
    RequestKind,
)
from redwingpost.core.statements import StatementKind
from redwingpost.core.topology import (
    GroupView,
    MemberAddress,
    VmAddress,
)

__all__ = [
    "CODES_BY_NAME",
    "CODES_BY_NUMBER",
    "Code",
    "GroupView",
    "History",
    "Marks",
    "MarkedStatement",
    "MemberAddress",
    "MemberError",
    "NO_MARKS",
    "Outcome",
    "Position",
    "Refusal",
    "Registry",
    "Request",
    "RequestKind",
    "ResultCode",
    "StatementKind",
    "VmAddress",
    "ZERO_POSITION",
    "is_dropped",
    "read_marks",
    "render_code_table",
]
