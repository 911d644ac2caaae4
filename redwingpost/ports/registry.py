"""What a node reads from the fleet's store, and how rows become types."""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.configuration.routes import ServiceRules
from redwingpost.ports.database import MemberEntry
from redwingpost.ports.platform import Row


class EntryError(Exception):
    """A row that can't be used; the message names field and value."""


class RegistryFormat(NamedTuple):
    """Tables of the configuration and the members, and their decoders.

    The decoders raise EntryError.
    """

    configuration_table: str
    configuration_key: str
    member_table: str
    decode_configuration: Callable[[Row], ServiceRules]
    decode_member: Callable[[Row], MemberEntry]
