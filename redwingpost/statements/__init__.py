"""Sessions of typed statements, apart from any protocol."""

from redwingpost.statements.session import Phase, SessionState
from redwingpost.statements.setup import (
    Discard,
    LinkContents,
    Prepare,
    SetValue,
    Step,
    missing_shape,
    setup_count,
    shared_name,
    steps_to,
)

__all__ = [
    "Discard",
    "LinkContents",
    "Phase",
    "Prepare",
    "SessionState",
    "SetValue",
    "Step",
    "missing_shape",
    "setup_count",
    "shared_name",
    "steps_to",
]
