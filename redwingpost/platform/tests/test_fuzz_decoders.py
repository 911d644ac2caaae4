"""Fuzzing of all decoders of what other processes send.

``REDWING_FUZZ_EXAMPLES`` sets the number of inputs of each decoder; such a
run isn't derandomized.
"""

from base64 import b64encode
from json import dumps
from os import environ
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase
from unittest.mock import patch
from zlib import compress

from hypothesis import given, settings
from hypothesis import strategies as st

from redwingpost.adapters.http_client import HttpAnswer
from redwingpost.groups.directory import Directory
from redwingpost.leases.duty import DutyRow
from redwingpost.node.fleet.registry import MemberReader, RulesReader
from redwingpost.node.fleet.table_copy import TableCopy
from redwingpost.node.fleet.table_pages import read_changes
from redwingpost.node.fleet.vm_list import VM_PREFIX, FleetReader
from redwingpost.node.takeover.rosters import ROSTER_PREFIX, decode_rosters
from redwingpost.node.tests.line_site import configuration
from redwingpost.platform.entries import FORMAT, PLACES_FORMAT
from redwingpost.platform.lines import (
    ReplyParser,
    parse_caller_line,
    parse_failure,
    parse_position,
    parse_status,
)
from redwingpost.platform.settings import load_node_settings
from redwingpost.platform.store import _decode_row
from redwingpost.platform.tests.test_decoding import MEMBER, SETTINGS
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.platform import Row
from redwingpost.wire.heartbeat import unpack as unpack_datagram
from redwingpost.wire.pages import pack_page
from redwingpost.wire.work import MessageError
from redwingpost.wire.work import unpack as unpack_work

_EXAMPLES = int(environ.get("REDWING_FUZZ_EXAMPLES", "0"))
_FUZZ = settings(
    max_examples=_EXAMPLES or 250,
    derandomize=not _EXAMPLES,
    deadline=None,
    database=None,
)

_VM = {"ip": "10.0.0.2", "port": 7560, "data_centre": "a", "capacity": 1.0}
_ROSTER = {"m1": ["10.0.0.1", 80, "a"], "m2": ["10.0.0.2", 80, "b"]}
_DUTY = {"holder": "vm-1", "fence": 4, "until_ms": 9000, "era": 1}

_PAGE = {
    "changes": [
        ["servers", "m1", 4, MEMBER, False],
        ["servers", "m2", 5, None, True],
    ],
    "version": 5,
    "history_lost": False,
    "age_ms": 50,
}

#: Texts that look like an address or a number and aren't.
_SPECIAL = st.sampled_from(
    [
        "10.0.0.3:99999",
        "10.0.0.3:8\u00b2",
        "10.0.0.3:" + "9" * 5000,
        "10.0.0.300:80",
        "x" * 70 + ".y:80",
        "a b:80",
        ":80",
    ]
)
_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=2**53)
    | st.floats()
    | st.text(max_size=8)
    | _SPECIAL
)
#: Fields of a member's status, and what looks like them.
_NUMBERS = st.sampled_from(["0", "3", "12", "3.1209"]) | st.sampled_from(
    ["8\u00b2", "\u0663", "-1", "", "9" * 5000, "3.8\u00b2"]
)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)
_DEEP = st.builds(
    lambda depth, pair: pair[0] * depth + b"1" + pair[1] * depth,
    st.integers(min_value=1, max_value=3000),
    st.sampled_from([(b"[", b"]"), (b'{"a":', b"}")]),
)


def _changed(value: Any, changes: list[tuple[int, Any]]) -> bytes:
    """Return JSON of a value with some of its parts replaced."""
    for index, replacement in changes:
        value = _replace(value, index, replacement)
    return dumps(value).encode()


def _replace(value: Any, index: int, replacement: Any) -> Any:
    if not isinstance(value, dict | list) or not value:
        return replacement
    keys = list(value) if isinstance(value, dict) else list(range(len(value)))
    key = keys[index % len(keys)]
    copied = value.copy()
    if index % 3:
        copied[key] = _replace(copied[key], index // 3, replacement)
    elif index % 2:
        del copied[key]
    else:
        copied[key] = replacement
    return copied


def _texts_of(value: dict) -> st.SearchStrategy[bytes]:
    changes = st.lists(
        st.tuples(st.integers(min_value=0, max_value=500), _VALUES),
        max_size=3,
    )
    near = st.builds(_changed, st.just(value), changes)
    one_field = st.builds(
        lambda name, field: dumps({**value, name: field}).encode(),
        st.sampled_from(sorted(value)),
        _SPECIAL | _VALUES,
    )
    return near | one_field | st.binary(max_size=60) | _DEEP


def _row(table: str, key: str, text: bytes) -> Row:
    value = b64encode(text).decode()
    return _decode_row(
        {"table": table, "key": key, "ver": 5, "value": value}, 0
    )


class RowTest(TestCase):
    """Guards against a row of another writer that ends a table's reader."""

    def _check_members(self, text: bytes) -> None:
        good = Row("servers", "good", 4, MEMBER)
        for format_ in (FORMAT, PLACES_FORMAT):
            directory = Directory()
            reader = MemberReader(
                directory,
                format_,
                VirtualClock(),
                lambda: None,
                lambda member: False,
            )
            reader.on_rows((_row("servers", "bad", text), good))
            self.assertIsNotNone(directory.get("good"))
            listed = directory.get("bad")
            if listed is not None:
                self.assertIn(listed.entry.port, range(1, 65536))

    @_FUZZ
    @given(_texts_of(MEMBER))
    def test_members(self, text: bytes) -> None:
        with patch("redwingpost.observability.journal.logger"):
            self._check_members(text)

    @_FUZZ
    @given(_texts_of(configuration(7)))
    def test_configurations(self, text: bytes) -> None:
        for format_ in (FORMAT, PLACES_FORMAT):
            reader = RulesReader(_TakesRules(), format_, lambda: None)
            reader.on_rows((_row("op", "config", text),))

    @_FUZZ
    @given(_texts_of(_VM))
    def test_vms(self, text: bytes) -> None:
        taken: list = []
        vms = _TakesList(taken)
        reader = FleetReader(vms, vms, lambda: None, lambda is_whole: None)
        good = Row("redwing", f"{VM_PREFIX}good", 4, _VM)
        reader.on_rows((_row("redwing", f"{VM_PREFIX}bad", text), good))
        self.assertIn("good", [address.vm for address in taken])
        for address in taken:
            self.assertIn(address.port, range(1, 65536))

    @_FUZZ
    @given(_texts_of(_ROSTER), _texts_of(_DUTY))
    def test_rosters_and_the_duty(self, roster: bytes, duty: bytes) -> None:
        key = f"{ROSTER_PREFIX}g"
        stored = decode_rosters((_row("redwing-groups", key, roster),))
        for entry in stored["g"].roster.member_by_name.values():
            self.assertIn(entry.port, range(1, 65536))
        DutyRow.from_value(_row("redwing-groups", "duty", duty).value)

    @_FUZZ
    @given(_VALUES)
    def test_pages(self, value: Any) -> None:
        page = {"changes": value, "version": 1, "history_lost": False}
        for body in (page, value):
            try:
                packed = pack_page(body)
            except (OverflowError, TypeError, ValueError):
                # Not representable as JSON, so no VM can send it.
                continue
            read_changes(HttpAnswer(200, packed))

    @_FUZZ
    @given(_texts_of(_PAGE))
    def test_pages_in_use(self, text: bytes) -> None:
        read = read_changes(HttpAnswer(200, compress(text)))
        if read.is_error():
            return
        directory = Directory()
        reader = MemberReader(
            directory,
            FORMAT,
            VirtualClock(),
            lambda: None,
            lambda member: False,
        )
        copy = TableCopy(None)
        with patch("redwingpost.observability.journal.logger"):
            for change in copy.note_changes(read.ok):
                if change.is_removed:
                    reader.on_removed((change.row.key,))
                else:
                    reader.on_rows((change.row,))
        self.assertGreaterEqual(read.ok.age_s, 0.0)
        pack_page([list(row) for row in copy.row_by_key.values()])

    def test_odd_pages(self) -> None:
        """Guards against a page that ends the reading of its table."""
        good = {**_PAGE, "changes": [["servers", "m", 4, MEMBER, False]]}
        self.assertTrue(read_changes(_page(good)).is_ok())
        cases = (
            {"version": "7"},
            {"version": -1},
            {"version": 0.5},
            {"version": True},
            {"version": None},
            {"age_ms": -1},
            {"age_ms": 1e308},
            {"age_ms": "5"},
            {"changes": [["servers", ["m"], 4, None, False]]},
            {"changes": [["servers", "m", "4", None, False]]},
            {"changes": [["servers", "m", 2**200, None, False]]},
            {"changes": [[None, "m", 4, None, False]]},
        )
        for fields in cases:
            with self.subTest(fields=fields):
                read = read_changes(_page({**good, **fields}))
                self.assertTrue(read.is_error())


def _page(body: Any) -> HttpAnswer:
    return HttpAnswer(200, pack_page(body))


class _TakesRules:
    def take_rules(self, rules: Any) -> bool:
        """Take all rules."""
        return True


class _TakesList:
    def __init__(self, taken: list) -> None:
        self._taken = taken

    def set_listed(self, addresses: tuple) -> None:
        """Keep the list."""
        self._taken[:] = addresses


class MessageTest(TestCase):
    """Guards against a message that ends more than its connection."""

    @_FUZZ
    @given(
        st.text(max_size=40)
        | st.sampled_from(["QUERY 7 ", "EXECUTE ", "STARTUP "]).flatmap(
            lambda head: st.text(max_size=20).map(lambda rest: head + rest)
        )
    )
    def test_lines_of_callers(self, line: str) -> None:
        parse_caller_line(line)

    @_FUZZ
    @given(
        st.lists(_NUMBERS, min_size=7, max_size=7)
        | st.lists(_NUMBERS | st.text(max_size=4), min_size=1, max_size=9)
    )
    def test_lines_of_members(self, fields: list[str]) -> None:
        # The third field of a status is a position.
        row = " ".join([*fields[:2], "3.7", *fields[3:]])
        parse_status(row)
        parse_failure(row)
        parse_position(row)
        parser = ReplyParser()
        try:
            for keyword in ("DATAROW", "COMPLETE", "READY", ""):
                parser.feed(f"{keyword} {row}")
        except ValueError:
            # The link counts as lost.
            pass

    @_FUZZ
    @given(st.binary(max_size=300))
    def test_datagrams_and_frames(self, data: bytes) -> None:
        unpack_datagram(data, "10.0.0.1")
        try:
            unpack_work(data)
        except MessageError:
            # The connection is closed.
            pass

    @_FUZZ
    @given(_texts_of(SETTINGS))
    def test_settings(self, text: bytes) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "local.json"
            path.write_bytes(text)
            load_node_settings(path)
