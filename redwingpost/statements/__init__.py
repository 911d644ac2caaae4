"""Session state and connection set-up, independent of any protocol."""

from redwingpost.statements.session import Phase, SessionState
from redwingpost.statements.setup import (
    Discard,
    LinkContents,
    Prepare,
    SetupStep,
    SetValue,
    count_setup_steps,
    prepare_step,
    prepared_name,
    setup_steps,
)

__all__ = [
    "Discard",
    "LinkContents",
    "Phase",
    "Prepare",
    "SessionState",
    "SetValue",
    "SetupStep",
    "count_setup_steps",
    "prepare_step",
    "prepared_name",
    "setup_steps",
]
