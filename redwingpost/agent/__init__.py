"""The agent, which runs once on each VM; all agents have the same role.

It maintains membership, distributes the configuration and checks the
health of database members. Parts of the agent register themselves with
``AGENT_PARTS``.
"""

from redwingpost.agent.context import AGENT_PARTS, AgentContext
from redwingpost.agent.service import Agent

__all__ = ["AGENT_PARTS", "Agent", "AgentContext"]
