"""Import the modules that register the agent's parts."""

from importlib import import_module

#: Modules whose import fills ``AGENT_PARTS``.
MODULES = (
    "redwingpost.agent.fleet",
    "redwingpost.agent.observer",
    "redwingpost.agent.shares",
)


def load_parts() -> None:
    """Import every module that registers a part."""
    for name in MODULES:
        import_module(name)
