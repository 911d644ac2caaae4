"""Rows that other writers may leave in the tables that nodes read."""

from base64 import b64encode
from collections.abc import Iterator
from json import dumps
from typing import Any, NamedTuple

from redwingpost.node.fleet.vm_list import FLEET_TABLE, VM_PREFIX
from redwingpost.node.takeover.duty import DUTY_KEY, GROUP_TABLE
from redwingpost.node.takeover.orders import ORDER_PREFIX
from redwingpost.node.takeover.rosters import ROSTER_PREFIX
from redwingpost.node.tests.line_site import configuration
from redwingpost.standin.lines.store import StandInStore

#: JSON texts of numbers, and of what looks like one.
ODD_TEXTS = (
    "9007199254740993",
    "18446744073709551616",
    "1" + "0" * 30,
    "1" + "0" * 400,
    "1e308",
    "1e999",
    "1e-300",
    "0",
    "-1",
    "-1e308",
    "0.5",
    "NaN",
    "true",
    "null",
    '"7"',
    '"inf"',
    '"nan"',
    "[]",
    "{}",
)

#: Whole values of rows.
_ODD_VALUES = ("", "{", "[" * 2000, "[" * 2000 + "]" * 2000, "7", "null", "[]")

_ADDRESSES = (
    "0.0.0.0:1",
    "0.1.2.3:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:8\u00b2",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.300:80",
    "localhost:80",
    "[::]:80",
)
_MARK = "@odd"

_MEMBER = {
    "service": "other",
    "address": "127.0.0.1:1",
    "zone": "dc-a",
    "configVersion": "v1",
    "slots": 5,
    "state": "ready",
    "coldLeftMs": 0,
    "dbRole": "replica",
    "seq": 1,
    "born": 1,
}
_VM = {"ip": "0.0.0.0", "port": 1, "data_centre": "dc-a", "capacity": 1.0}
_DUTY = {"holder": "vm-9", "fence": 1, "until_ms": 2**53, "era": 0}
_ORDER = {
    "member": "g1-m9",
    "term": 2**50,
    "until_ms": 2**53,
    "sends": 1,
}

#: Numbers in a configuration, by section.
_FIELDS_BY_SECTION = {
    "routes": ("timeoutMs", "targetLatencyMs", "priority", "maxStalenessMs"),
    "services": ("maxConns", "syncReplicas", "coldPerS", "coldS"),
    "tenants": ("ratePerS", "burst", "priority", "apiKeys"),
    "limits": ("txIdleMs",),
}


class OddRow(NamedTuple):
    """A row of another writer; ``text`` is its value before base64."""

    table: str
    key: str
    text: str

    def put(self, store: StandInStore) -> None:
        """Write the row."""
        value = b64encode(self.text.encode()).decode()
        store.put_text(self.table, self.key, value)


def odd_members() -> Iterator[OddRow]:
    """Yield entries; those that name a usable address are of no group."""
    texts = [dumps({**_MEMBER, "address": item}) for item in _ADDRESSES]
    texts += _changed({**_MEMBER, "service": "g1"}, ("address",))
    texts += _changed(_MEMBER, _MEMBER)
    yield from _numbered("servers", "odd-", [*texts, *_ODD_VALUES])
    for name in ("odd id", "odd\r\nQUERY - STATUS", "odd\0"):
        yield OddRow("servers", name, dumps({**_MEMBER, "service": "g1"}))


def odd_entries_of(entry: dict[str, Any]) -> list[str]:
    """Return texts of a member's entry with one odd field."""
    return [*_changed(entry, entry), *_ODD_VALUES]


def odd_vms() -> Iterator[OddRow]:
    """Yield rows of the list of VMs that name none."""
    texts = [*_changed(_VM, _VM), *_ODD_VALUES]
    yield from _numbered(FLEET_TABLE, f"{VM_PREFIX}odd-", texts)


def odd_rosters() -> Iterator[OddRow]:
    """Yield rosters that name no member that can be reached."""
    members = [
        dumps({"g1-m9": [_MARK, 80, "dc-a"]}),
        dumps({"g1-m9": ["127.0.0.1", _MARK, "dc-a"]}),
        dumps({"g1-m9": _MARK}),
        dumps({"era": _MARK}),
    ]
    texts = [
        text.replace(f'"{_MARK}"', odd)
        for text in members
        for odd in ODD_TEXTS
    ]
    for text in (*texts, *_ODD_VALUES):
        yield OddRow(GROUP_TABLE, f"{ROSTER_PREFIX}g1", text)


def odd_duties() -> Iterator[OddRow]:
    """Yield rows of the duty that no VM has written."""
    for text in (dumps(_DUTY), *_changed(_DUTY, _DUTY), *_ODD_VALUES):
        yield OddRow(GROUP_TABLE, DUTY_KEY, text)


def odd_orders() -> Iterator[OddRow]:
    """Yield orders that no VM has recorded."""
    for text in (dumps(_ORDER), *_changed(_ORDER, _ORDER), *_ODD_VALUES):
        yield OddRow(GROUP_TABLE, f"{ORDER_PREFIX}g1", text)


def odd_configurations(first_version: int) -> Iterator[OddRow]:
    """Yield configurations of growing versions with one odd number each.

    It is in the first entry of its section.
    """
    version = first_version
    for section, names in _FIELDS_BY_SECTION.items():
        for name in names:
            for odd in ODD_TEXTS:
                value = configuration(version)
                item = value[section]
                (item if section == "limits" else item[0])[name] = _MARK
                text = dumps(value).replace(f'"{_MARK}"', odd)
                yield OddRow("op", "config", text)
                version += 1


def _changed(value: dict[str, Any], names: Any) -> list[str]:
    return [
        dumps({**value, name: _MARK}).replace(f'"{_MARK}"', odd)
        for name in names
        for odd in ODD_TEXTS
    ]


def _numbered(table: str, prefix: str, texts: list[str]) -> Iterator[OddRow]:
    for number, text in enumerate(texts):
        yield OddRow(table, f"{prefix}{number}", text)
