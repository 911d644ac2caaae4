"""The agent: one per VM, all alike; membership, configuration, health.

Further parts of the agent register themselves with ``AGENT_PARTS``.
"""

from redwingpost.agent.context import AGENT_PARTS, AgentContext
from redwingpost.agent.service import Agent

__all__ = ["AGENT_PARTS", "Agent", "AgentContext"]
