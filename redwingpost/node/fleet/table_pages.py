"""Serve a table's changes to other VMs.

Load pattern: every VM follows three tables of the fleet's store. Each
change wakes all VMs, and each of them sends a new request: with 200 VMs
one new configuration costs 200 requests, and a start of the fleet 200
times 200. So only gatherers follow the store; the other VMs follow a
gatherer through these pages.
"""

from collections.abc import Callable
from math import ceil
from typing import Any
from urllib.parse import parse_qsl, urlencode

from expression import Error, Ok, Result

from redwingpost.adapters.http_client import HttpAnswer
from redwingpost.adapters.http_pages import Page
from redwingpost.core.codes import Code
from redwingpost.core.foreign import (
    UNREADABLE,
    ForeignError,
    is_number,
    is_whole,
)
from redwingpost.core.requests import Refusal
from redwingpost.node.fleet.table_copy import TableCopy
from redwingpost.ports.fleet_store import Changes, RowChange, make_version
from redwingpost.ports.platform import Row
from redwingpost.wire.pages import PageError, pack_page, unpack_page

#: Path of the changes of a VM's copies, at its metrics port.
TABLE_PATH = "/table"

#: Content type of the pages that VMs serve to each other.
CONTENT_TYPE = "application/octet-stream"

#: Seconds that a request may wait for a change, at most.
_MAX_WAIT_S = 30.0

#: The same for a reader that must know how current its copy is: it gets an
#: answer at least once a second, an empty one if nothing has changed.
CURRENT_WAIT_S = 0.9

#: Largest version: an era is a number of at most 18 digits.
_MAX_VERSION = make_version(10**18, 0)

#: Ages are rounded up to this many seconds, so that readers woken by the
#: same change get the same page.
_AGE_STEP_S = 0.05


def table_request_path(table: str, after: int, wait_s: float) -> str:
    """Return the path and query of a request for changes."""
    fields = {"table": table, "after": after, "wait_ms": int(wait_s * 1e3)}
    return f"{TABLE_PATH}?{urlencode(fields)}"


class TablePages:
    """Serves this VM's copies of tables to other VMs.

    Parameters
    ----------
    copy_by_table : dict of str to TableCopy
        The copies.
    is_lost : callable
        Returns whether the last call of the store for a table failed.
        Then this VM refuses requests, so that others use another source.
    age_s : callable, optional
        Returns the time (seconds) since a copy was known to be current.
    max_wait_s_by_table : dict of str to float, optional
        Longest wait (seconds) of a request for a table, if it is shorter
        than that of the others.
    """

    def __init__(
        self,
        copy_by_table: dict[str, TableCopy],
        is_lost: Callable[[str], bool],
        age_s: Callable[[str], float] = lambda table: 0.0,
        max_wait_s_by_table: dict[str, float] | None = None,
    ) -> None:
        self._copy_by_table = copy_by_table
        self._is_lost = is_lost
        self._age_s = age_s
        self._max_wait_s_by_table = max_wait_s_by_table or {}
        self._last_page_by_table: dict[str, tuple[Changes, Page]] = {}

    async def page(self, query: str) -> Page:
        """Wait for changes of a table and return their page."""
        try:
            fields = dict(parse_qsl(query))
            table = fields["table"]
            copy = self._copy_by_table[table]
            after = int(fields["after"])
            max_wait_s = self._max_wait_s_by_table.get(table, _MAX_WAIT_S)
            wait_s = min(int(fields["wait_ms"]) / 1000.0, max_wait_s)
        except (KeyError, ValueError):
            return Page(400)
        if copy.version is None or self._is_lost(table):
            return Page(503)
        changes = await copy.wait(after, wait_s)
        if self._is_lost(table) and not changes.changes:
            return Page(503)
        steps = ceil(self._age_s(table) / _AGE_STEP_S)
        return self._render(table, changes._replace(age_s=steps * _AGE_STEP_S))

    def _render(self, table: str, changes: Changes) -> Page:
        """Return the page of some changes, packed once for all readers."""
        last = self._last_page_by_table.get(table)
        if last is not None and last[0] == changes:
            return last[1]
        page = Page(200, pack_page(_encode(changes)), CONTENT_TYPE)
        self._last_page_by_table[table] = (changes, page)
        return page


def read_changes(answer: HttpAnswer) -> Result[Changes, Refusal]:
    """Return the changes in another VM's answer."""
    if answer.status != 200:
        detail = f"status {answer.status}"
        return Error(Refusal(Code.STORE_UNAVAILABLE, detail))
    try:
        return Ok(_decode(unpack_page(answer.body)))
    except (PageError, *UNREADABLE) as error:
        return Error(Refusal(Code.PEER_REFUSED, str(error)))


def _encode(changes: Changes) -> dict[str, Any]:
    return {
        "changes": [
            [*change.row, change.is_removed] for change in changes.changes
        ],
        "version": changes.version,
        "history_lost": changes.history_lost,
        "age_ms": round(changes.age_s * 1000),
    }


def decode_row(item: list[Any]) -> Row:
    """Return a row that another VM has sent.

    Raises
    ------
    ForeignError
        If a field can't be one of a row.
    """
    row = Row(*item)
    if not (
        isinstance(row.table, str)
        and isinstance(row.key, str)
        and is_whole(row.version, _MAX_VERSION)
    ):
        raise ForeignError(f"row: {row[:3]}")
    return row


def _decode(body: dict[str, Any]) -> Changes:
    changes = tuple(
        RowChange(decode_row(item[:-1]), bool(item[-1]))
        for item in body["changes"]
    )
    version, age_ms = body["version"], body.get("age_ms", 0)
    if not (is_whole(version, _MAX_VERSION) and is_number(age_ms)):
        raise ForeignError(f"version: {version!r}, age_ms: {age_ms!r}")
    return Changes(
        changes, version, bool(body["history_lost"]), age_ms / 1000.0
    )
