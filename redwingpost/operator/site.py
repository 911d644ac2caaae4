"""Classes with which operators describe a site in Python."""

from json import dumps
from typing import Any

from expression import Result

from redwingpost.configuration.model import Configuration
from redwingpost.configuration.parse import parse_configuration
from redwingpost.core import Refusal


class GroupSpec:
    """A database group that is being described."""

    def __init__(self, name: str, connections: int) -> None:
        self.name = name
        self._connections = connections
        self._members: dict[str, dict[str, Any]] = {}

    def member(self, name: str, data_centre: str, ip: str, port: int) -> None:
        """Add a member."""
        self._members[name] = {
            "data_centre": data_centre,
            "ip": ip,
            "port": port,
        }

    def as_json(self) -> dict[str, Any]:
        """Return the group's part of the configuration."""
        return {"connections": self._connections, "members": self._members}


class OrganisationSpec:
    """An organisation that is being described."""

    def __init__(
        self, name: str, rate: float, burst: float, weight: float
    ) -> None:
        self.name = name
        self._limits = {"rate": rate, "burst": burst, "weight": weight}
        self._keys: list[dict[str, str]] = []
        self._groups: list[str] = []

    def may_reach(self, *groups: GroupSpec) -> None:
        """Grant access to database groups."""
        self._groups.extend(group.name for group in groups)

    def key(self, name: str, key_hash: str) -> None:
        """Grant a key by its hash; two may be valid during a rotation."""
        self._keys.append({"name": name, "hash": key_hash})

    def as_json(self) -> dict[str, Any]:
        """Return the organisation's part of the configuration."""
        return {
            **self._limits,
            "keys": self._keys,
            "groups": sorted(set(self._groups)),
        }


class Site:
    """A site; printing it prints its configuration.

    Parameters
    ----------
    name : str
        The site's name.

    Examples
    --------
    >>> site = Site("yuelan")
    >>> str(site.organisation("circles-taipei", rate=10, burst=5).name)
    'circles-taipei'
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._groups: dict[str, GroupSpec] = {}
        self._organisations: dict[str, OrganisationSpec] = {}
        self._kinds: dict[str, dict[str, Any]] = {}
        self._withdrawn: list[dict[str, str]] = []
        self._draining: list[str] = []

    def group(self, name: str, connections: int) -> GroupSpec:
        """Add a database group; ``connections`` is the limit per member.

        Raises
        ------
        ValueError
            If the name is taken.
        """
        return _add(self._groups, name, GroupSpec(name, connections))

    def organisation(
        self, name: str, rate: float, burst: float, weight: float = 1.0
    ) -> OrganisationSpec:
        """Add an organisation.

        Parameters
        ----------
        name : str
            The name that callers sign in with.
        rate : float
            Statements/s over the whole fleet.
        burst : float
            Statements that may arrive at once.
        weight : float
            Its share of an overloaded target, relative to other weights.

        Raises
        ------
        ValueError
            If the name is taken.
        """
        spec = OrganisationSpec(name, rate, burst, weight)
        return _add(self._organisations, name, spec)

    def kind(
        self,
        name: str,
        weight: float = 1.0,
        cost: float = 1.0,
        long: bool = False,
        unconfirmed: str = "refuse",
    ) -> None:
        """Describe a request kind.

        ``unconfirmed`` is the action for a write that no second member
        confirmed in time: ``refuse`` or ``accept``.

        Raises
        ------
        ValueError
            If the name is taken.
        """
        described = {
            "weight": weight,
            "cost": cost,
            "long": long,
            "unconfirmed": unconfirmed,
        }
        _add(self._kinds, name, described)

    def withdraw(self, organisation: str, key_hash: str) -> None:
        """Withdraw a key permanently."""
        self._withdrawn.append(
            {"organisation": organisation, "hash": key_hash}
        )

    def drain(self, *members: str) -> None:
        """Drain members: they get no new statements."""
        self._draining.extend(members)

    def as_json(self) -> dict[str, Any]:
        """Return the configuration as JSON values."""
        return {
            "site": self._name,
            "organisations": {
                name: spec.as_json()
                for name, spec in self._organisations.items()
            },
            "groups": {
                name: spec.as_json() for name, spec in self._groups.items()
            },
            "kinds": self._kinds,
            "withdrawn": self._withdrawn,
            "draining_members": self._draining,
        }

    def check(self) -> Result[Configuration, Refusal]:
        """Validate the description as ``redwingctl submit`` does."""
        return parse_configuration(str(self).encode())

    def __str__(self) -> str:
        return dumps(self.as_json(), indent=2, ensure_ascii=False)


def _add(specs: dict[str, Any], name: str, spec: Any) -> Any:
    if name in specs:
        raise ValueError(f"{name!r} is described twice")
    specs[name] = spec
    return spec
