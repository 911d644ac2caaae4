"""Tables that a node reads from the fleet store, and their decoders."""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.configuration.routes import ServiceRules
from redwingpost.ports.database import MemberEntry
from redwingpost.ports.platform import Row


class EntryError(Exception):
    """A row is invalid; the message names the field and its value."""


class RegistryFormat(NamedTuple):
    """Tables of the configuration and the members, and their decoders.

    The decoders raise EntryError for an invalid row. A row of the
    configuration's table whose key begins with ``evacuation_prefix`` orders
    the evacuation of the data centre that the rest of the key names.
    """

    configuration_table: str
    configuration_key: str
    member_table: str
    decode_configuration: Callable[[Row], ServiceRules]
    decode_member: Callable[[Row], MemberEntry]
    evacuation_prefix: str = "evacuate/"
