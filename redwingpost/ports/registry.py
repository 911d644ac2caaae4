"""Tables that a node reads from the fleet store, and their decoders."""

from collections.abc import Callable
from operator import attrgetter
from typing import Any, NamedTuple, Protocol

from redwingpost.configuration.routes import ServiceRules
from redwingpost.core.foreign import ForeignError
from redwingpost.ports.database import MemberEntry
from redwingpost.ports.platform import Row


class EntryError(ForeignError):
    """A row is invalid; the message names the field and its value."""


class RegistryFormat(NamedTuple):
    """Tables of the configuration and the members, and their decoders.

    The decoders raise EntryError for an invalid row. A row of the
    configuration's table whose key begins with ``evacuation_prefix`` orders
    the evacuation of the data centre that the rest of the key names.
    Two rows of a member with equal ``member_essence`` differ only in what
    the member changes periodically to show that it is alive.
    """

    configuration_table: str
    configuration_key: str
    member_table: str
    decode_configuration: Callable[[Row], ServiceRules]
    decode_member: Callable[[Row], MemberEntry]
    evacuation_prefix: str = "evacuate/"
    member_essence: Callable[[Row], Any] = attrgetter("value")


class MemberRegistry(Protocol):
    """The registry itself, not this VM's copy of its list."""

    async def members_of(self, group: str) -> tuple[MemberEntry, ...] | None:
        """Return a group's members as listed now, None without an answer."""
