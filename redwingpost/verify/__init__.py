"""Model checking of the write and promotion protocol.

``search`` visits every state of ``Model`` within small bounds and looks for
one that violates an invariant; the tests also take random walks within
larger bounds. The decision modules that the model runs are those of
production.
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
