"""The configuration's records, in JSON and in validated form.

Operators submit the JSON form (``TypedDict``), which
``redwingpost.operator`` prints. The rest of the code reads the validated
form (``NamedTuple``).
"""

from collections.abc import Mapping
from hashlib import sha256
from typing import NamedTuple, NotRequired, TypedDict

from redwingpost.core import MemberAddress


class KeyJson(TypedDict):
    """One granted key: its name and SHA1(SHA1(key)) in hex."""

    name: str
    hash: str


class OrganisationJson(TypedDict):
    """One organisation; ``rate`` is statements/s over the whole fleet."""

    keys: list[KeyJson]
    rate: float
    burst: float
    weight: NotRequired[float]
    groups: list[str]


class MemberJson(TypedDict):
    """One member of a database group."""

    data_centre: str
    ip: str
    port: int


class GroupJson(TypedDict):
    """One database group; ``connections`` is the limit per member."""

    connections: int
    members: dict[str, MemberJson]


class KindJson(TypedDict):
    """One request kind."""

    weight: NotRequired[float]
    cost: NotRequired[float]
    long: NotRequired[bool]
    unconfirmed: NotRequired[str]


class WithdrawalJson(TypedDict):
    """One withdrawn key."""

    organisation: str
    hash: str


class ConfigurationJson(TypedDict):
    """The whole body that an operator submits."""

    site: str
    organisations: dict[str, OrganisationJson]
    groups: dict[str, GroupJson]
    kinds: NotRequired[dict[str, KindJson]]
    withdrawn: NotRequired[list[WithdrawalJson]]
    draining_members: NotRequired[list[str]]


class KeyGrant(NamedTuple):
    """A key that an organisation may sign in with."""

    name: str
    key_hash: str


class Withdrawal(NamedTuple):
    """A key that is permanently refused."""

    organisation: str
    key_hash: str


class Organisation(NamedTuple):
    """An organisation's grants."""

    organisation: str
    keys_by_name: Mapping[str, KeyGrant]
    rate: float
    burst: float
    weight: float
    groups: frozenset[str]


class Group(NamedTuple):
    """A database group and its members."""

    group: str
    connections: int
    members_by_name: Mapping[str, MemberAddress]


class Kind(NamedTuple):
    """A request kind.

    ``unconfirmed`` is the action for a write that no second member
    confirmed in time: ``refuse`` or ``accept``.
    """

    kind: str
    weight: float = 1.0
    cost: float = 1.0
    long: bool = False
    unconfirmed: str = "refuse"


class Configuration(NamedTuple):
    """A validated configuration."""

    site: str
    organisations_by_name: Mapping[str, Organisation]
    groups_by_name: Mapping[str, Group]
    kinds_by_name: Mapping[str, Kind]
    withdrawn: frozenset[Withdrawal]
    draining_members: frozenset[str]

    def kind(self, name: str) -> Kind:
        """Return a request kind, with defaults if it isn't configured."""
        return self.kinds_by_name.get(name) or Kind(name)


class Versioned(NamedTuple):
    """An accepted configuration as sent between VMs and the store."""

    version: int
    body_hash: str
    body: bytes

    def is_intact(self) -> bool:
        """Return whether the body matches its hash."""
        return hash_body(self.body) == self.body_hash


#: The configuration of a VM that hasn't received any version yet.
NO_CONFIGURATION = Versioned(0, "", b"")


def hash_body(body: bytes) -> str:
    """Return the SHA-256 of a configuration's body in hex.

    Examples
    --------
    >>> hash_body(b"")[:8]
    'e3b0c442'
    """
    return sha256(body).hexdigest()
