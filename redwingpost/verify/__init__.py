"""Model checking of the write and promotion protocol.

``search`` visits every state of ``Model`` within small bounds and looks
for one that breaks a promise; the tests also walk larger bounds at
random. The decision modules it runs are those of production.
"""

from redwingpost.verify.member import Rules
from redwingpost.verify.model import Model
from redwingpost.verify.search import Found, replay, search
from redwingpost.verify.state import (
    Bounds,
    State,
    initial_state,
    violation,
)

__all__ = [
    "Bounds",
    "Found",
    "Model",
    "Rules",
    "State",
    "initial_state",
    "replay",
    "search",
    "violation",
]
