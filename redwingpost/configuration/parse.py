"""Validation of a configuration's body before it is used.

All faults are reported at once, with the closest known name for each
unknown one, so that an operator can correct a body in one round.
"""

from collections.abc import Mapping
from difflib import get_close_matches
from ipaddress import ip_address
from json import JSONDecodeError, loads
from math import isfinite
from re import compile as compile_pattern
from typing import Any

from expression import Error, Ok, Result

from redwingpost.configuration.model import (
    Configuration,
    ConfigurationJson,
    Group,
    GroupJson,
    KeyGrant,
    KeyJson,
    Kind,
    KindJson,
    MemberJson,
    Organisation,
    OrganisationJson,
    Withdrawal,
    WithdrawalJson,
)
from redwingpost.core import Code, MemberAddress, Refusal

#: Names are used as MySQL user and schema names and as metric labels.
NAME_PATTERN = compile_pattern(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
HASH_PATTERN = compile_pattern(r"[0-9a-f]{40}")
UNCONFIRMED = ("refuse", "accept")

#: Keeps a refusal readable: further faults are only counted.
MAX_FAULTS_SHOWN = 12

#: Largest body: 1,300 groups of three members and some thousand
#: organisations take about 2 MB of JSON, so a larger one is a mistake.
MAX_BODY_BYTES = 8 * 1024 * 1024


def parse_configuration(body: bytes) -> Result[Configuration, Refusal]:
    """Validate a JSON body and return it as immutable records.

    Parameters
    ----------
    body : bytes
        UTF-8 JSON in the form of ``ConfigurationJson``.

    Returns
    -------
    Result
        The configuration, or ``Code.CONFIG_INVALID`` with all faults.

    Examples
    --------
    >>> parse_configuration(b'{"site": "s"}').error.detail
    'organisations: missing; groups: missing'
    """
    if len(body) > MAX_BODY_BYTES:
        limit = f"larger than {MAX_BODY_BYTES} bytes"
        return Error(Refusal(Code.CONFIG_INVALID, limit))
    try:
        raw = loads(body)
    except (JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
        return Error(Refusal(Code.CONFIG_INVALID, f"not JSON: {error}"))
    reader = _Reader()
    configuration = reader.read(raw)
    if reader.faults:
        return Error(Refusal(Code.CONFIG_INVALID, reader.describe()))
    return Ok(configuration)


class _Reader:
    """Reads a body and collects its faults, each with its path."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def describe(self) -> str:
        """Return the faults as one message."""
        shown = self.faults[:MAX_FAULTS_SHOWN]
        hidden = len(self.faults) - len(shown)
        if hidden:
            shown.append(f"and {hidden} more")
        return "; ".join(shown)

    def read(self, raw: Any) -> Configuration:
        """Read the whole body."""
        top = self._table(raw, "body", ConfigurationJson)
        groups = self._mapping(top.get("groups"), "groups", self._group)
        organisations = self._mapping(
            top.get("organisations"), "organisations", self._organisation
        )
        kinds = self._mapping(top.get("kinds"), "kinds", self._kind)
        configuration = Configuration(
            site=self._text(top.get("site"), "site"),
            organisations_by_name=organisations,
            groups_by_name=groups,
            kinds_by_name=kinds,
            withdrawn=self._withdrawn(top.get("withdrawn")),
            draining_members=self._texts(
                top.get("draining_members"), "draining_members"
            ),
        )
        self._check_references(configuration)
        return configuration

    def _fault(self, path: str, problem: str) -> None:
        self.faults.append(f"{path}: {problem}")

    def _table(self, raw: Any, path: str, schema: type) -> dict[str, Any]:
        """Return a JSON object; check its keys against a TypedDict."""
        if not isinstance(raw, dict):
            self._fault(path, "allowed: an object")
            return {}
        prefix = "" if path == "body" else path + "."
        known = tuple(schema.__annotations__)
        for key in raw:
            if key not in known:
                self._fault(prefix + key, "unknown key" + _hint(key, known))
        for key in known:
            if key in schema.__required_keys__ and key not in raw:
                self._fault(prefix + key, "missing")
        return raw

    def _mapping(self, raw: Any, path: str, read: Any) -> Mapping[str, Any]:
        """Read an object whose keys are names."""
        if raw is None:
            return {}
        if not isinstance(raw, dict):
            self._fault(path, "allowed: an object keyed by name")
            return {}
        entries = {}
        for name, value in raw.items():
            where = f"{path}.{name}"
            if NAME_PATTERN.fullmatch(name) is None:
                self._fault(where, "allowed: letters, digits, . _ - (64)")
            entries[name] = read(name, value, where)
        return entries

    def _organisation(self, name: str, raw: Any, path: str) -> Organisation:
        table = self._table(raw, path, OrganisationJson)
        return Organisation(
            organisation=name,
            keys_by_name=self._keys(table.get("keys"), path + ".keys"),
            rate=self._number(table.get("rate"), path + ".rate"),
            burst=self._number(table.get("burst"), path + ".burst"),
            weight=self._number(table.get("weight", 1.0), path + ".weight"),
            groups=self._texts(table.get("groups"), path + ".groups"),
        )

    def _keys(self, raw: Any, path: str) -> Mapping[str, KeyGrant]:
        keys: dict[str, KeyGrant] = {}
        for index, item in enumerate(self._list(raw, path)):
            where = f"{path}[{index}]"
            table = self._table(item, where, KeyJson)
            name = self._text(table.get("name"), where + ".name")
            if name in keys:
                self._fault(where + ".name", f"{name!r} is listed twice")
            key_hash = self._hash(table.get("hash"), where + ".hash")
            keys[name] = KeyGrant(name, key_hash)
        return keys

    def _group(self, name: str, raw: Any, path: str) -> Group:
        table = self._table(raw, path, GroupJson)
        connections = table.get("connections")
        if type(connections) is not int or connections < 1:
            self._fault(path + ".connections", "allowed: 1 or more")
            connections = 1

        def read_member(member: str, raw: Any, where: str) -> MemberAddress:
            return self._member(name, member, raw, where)

        where = path + ".members"
        members = self._mapping(table.get("members"), where, read_member)
        if not members:
            self._fault(where, "allowed: one member or more")
        return Group(name, connections, members)

    def _member(
        self, group: str, member: str, raw: Any, path: str
    ) -> MemberAddress:
        table = self._table(raw, path, MemberJson)
        port = table.get("port")
        if type(port) is not int or not 1 <= port <= 65535:
            self._fault(path + ".port", "allowed: a port from 1 to 65535")
            port = 0
        ip = self._text(table.get("ip"), path + ".ip")
        if ip and not _is_ip(ip):
            self._fault(path + ".ip", f"allowed: an IP address; got {ip!r}")
        data_centre = self._text(
            table.get("data_centre"), path + ".data_centre"
        )
        return MemberAddress(member, group, data_centre, ip, port)

    def _kind(self, name: str, raw: Any, path: str) -> Kind:
        table = self._table(raw, path, KindJson)
        long = table.get("long", False)
        if type(long) is not bool:
            self._fault(path + ".long", "allowed: true or false")
        unconfirmed = table.get("unconfirmed", "refuse")
        if unconfirmed not in UNCONFIRMED:
            allowed = " or ".join(UNCONFIRMED)
            self._fault(path + ".unconfirmed", f"allowed: {allowed}")
        return Kind(
            kind=name,
            weight=self._number(table.get("weight", 1.0), path + ".weight"),
            cost=self._number(table.get("cost", 1.0), path + ".cost"),
            long=long is True,
            unconfirmed=str(unconfirmed),
        )

    def _withdrawn(self, raw: Any) -> frozenset[Withdrawal]:
        withdrawn = set()
        for index, item in enumerate(self._list(raw, "withdrawn")):
            where = f"withdrawn[{index}]"
            table = self._table(item, where, WithdrawalJson)
            organisation = self._text(
                table.get("organisation"), where + ".organisation"
            )
            key_hash = self._hash(table.get("hash"), where + ".hash")
            withdrawn.add(Withdrawal(organisation, key_hash))
        return frozenset(withdrawn)

    def _list(self, raw: Any, path: str) -> list:
        if raw is None:
            return []
        if not isinstance(raw, list):
            self._fault(path, "allowed: a list")
            return []
        return raw

    def _texts(self, raw: Any, path: str) -> frozenset[str]:
        items = self._list(raw, path)
        return frozenset(
            self._text(item, f"{path}[{index}]")
            for index, item in enumerate(items)
        )

    def _text(self, raw: Any, path: str) -> str:
        if raw is None:
            return ""
        if not isinstance(raw, str) or raw == "":
            self._fault(path, "allowed: text that isn't empty")
            return ""
        return raw

    def _hash(self, raw: Any, path: str) -> str:
        text = self._text(raw, path)
        if text and HASH_PATTERN.fullmatch(text) is None:
            # The message omits the value: it may be a key that was
            # pasted by mistake.
            self._fault(path, "allowed: 40 hex digits, SHA1(SHA1(key))")
        return text

    def _number(self, raw: Any, path: str) -> float:
        if raw is None:
            return 1.0
        if type(raw) not in (int, float) or not (isfinite(raw) and raw > 0):
            self._fault(path, f"allowed: a number above 0; got {raw!r}")
            return 1.0
        return float(raw)

    def _check_references(self, configuration: Configuration) -> None:
        """Check the conditions that involve several entries."""
        self._check_groups_known(configuration)
        self._check_members_unique(configuration)
        self._check_keys_unique(configuration)

    def _check_groups_known(self, configuration: Configuration) -> None:
        known = tuple(configuration.groups_by_name)
        for name, organisation in configuration.organisations_by_name.items():
            for group in sorted(organisation.groups):
                if group and group not in configuration.groups_by_name:
                    path = f"organisations.{name}.groups"
                    hint = _hint(group, known)
                    self._fault(path, f"unknown group {group!r}{hint}")

    def _check_members_unique(self, configuration: Configuration) -> None:
        """Check that no member or address belongs to two groups.

        A member in two groups would receive the writes of both.
        """
        groups_by_member: dict[str, str] = {}
        groups_by_address: dict[tuple[str, int], str] = {}
        for group in configuration.groups_by_name.values():
            for name, member in group.members_by_name.items():
                path = f"groups.{group.group}.members.{name}"
                address = (member.ip, member.port)
                if name in groups_by_member:
                    other = groups_by_member[name]
                    self._fault(path, f"is a member of {other!r} too")
                elif address in groups_by_address:
                    other = groups_by_address[address]
                    self._fault(
                        path, f"has the address of a member of {other!r}"
                    )
                groups_by_member[name] = group.group
                groups_by_address[address] = group.group
        known = tuple(groups_by_member)
        for name in sorted(configuration.draining_members):
            if name not in groups_by_member:
                hint = _hint(name, known)
                self._fault("draining_members", f"unknown {name!r}{hint}")

    def _check_keys_unique(self, configuration: Configuration) -> None:
        """Check that no key is granted to two organisations.

        A shared key couldn't be withdrawn from only one of them.
        """
        owners_by_hash: dict[str, str] = {}
        for name, organisation in configuration.organisations_by_name.items():
            for grant in organisation.keys_by_name.values():
                owner = owners_by_hash.setdefault(grant.key_hash, name)
                path = f"organisations.{name}.keys.{grant.name}"
                if owner != name:
                    self._fault(path, f"is a key of {owner!r} too")


def _hint(name: str, known: tuple[str, ...]) -> str:
    close = get_close_matches(name, known, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def _is_ip(text: str) -> bool:
    try:
        ip_address(text)
    except ValueError:
        return False
    return True
