"""Vocabulary that every other package shares: types, codes, registries."""

from redwingpost.core.codes import (
    CODES_BY_NAME,
    CODES_BY_NUMBER,
    Code,
    Outcome,
    ResultCode,
    render_code_table,
)
from redwingpost.core.positions import (
    ZERO_POSITION,
    History,
    Position,
    lost_by,
)
from redwingpost.core.registry import Registry
from redwingpost.core.requests import (
    Marks,
    Refusal,
    Request,
    RequestKind,
    StatementClass,
)
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
    "MemberAddress",
    "Outcome",
    "Position",
    "Refusal",
    "Registry",
    "Request",
    "RequestKind",
    "ResultCode",
    "StatementClass",
    "VmAddress",
    "ZERO_POSITION",
    "lost_by",
    "render_code_table",
]
