"""Copy the configuration from VM to VM while the store can't be read.

A VM that has no access to the store still receives the other VMs'
heartbeats. These contain the version in force; a newer version is fetched
from the VM that has it, so that a withdrawn key stops working on VMs
without the store too.
"""

from typing import Any

from expression import Error, Ok, Result

from redwingpost.adapters.http_client import HttpClient, HttpLost
from redwingpost.adapters.http_pages import Page
from redwingpost.core.codes import Code
from redwingpost.core.foreign import UNREADABLE, ForeignError
from redwingpost.core.requests import Refusal
from redwingpost.groups.evacuations import Evacuations
from redwingpost.node.fleet.table_copy import TableCopy
from redwingpost.node.fleet.table_pages import CONTENT_TYPE, decode_row
from redwingpost.ports.platform import Row
from redwingpost.wire.pages import PageError, pack_page, unpack_page

#: Path of the copy, at a VM's metrics port.
COPY_PATH = "/copy"

#: Seconds for a peer's answer: a large configuration over a slow link that
#: is shared with other traffic.
_REQUEST_TIMEOUT_S = 2.0


class CopyPage:
    """The page with this VM's configuration and its list of members.

    Parameters
    ----------
    members : TableCopy
        This VM's copy of the table of members.
    evacuations : Evacuations
        The data centres to be evacuated.
    """

    def __init__(self, members: TableCopy, evacuations: Evacuations) -> None:
        self.configuration: Row | None = None
        self._members = members
        self._evacuations = evacuations

    def page(self) -> Page:
        """Return the page."""
        members = [list(row) for row in self._members.row_by_key.values()]
        configuration = self.configuration
        body = {
            "configuration": list(configuration) if configuration else None,
            "members": members,
            "evacuated": sorted(self._evacuations.data_centres),
        }
        return Page(200, pack_page(body), CONTENT_TYPE)


class CopiedRows:
    """Rows that were fetched from a peer."""

    def __init__(
        self,
        configuration: Row | None,
        members: tuple[Row, ...],
        evacuated: tuple[str, ...],
    ) -> None:
        self.configuration = configuration
        self.members = members
        self.evacuated = evacuated


async def fetch_copy(ip: str, port: int) -> Result[CopiedRows, Refusal]:
    """Fetch a peer's configuration and its list of members."""
    client = HttpClient(ip, port)
    try:
        answer = await client.request("GET", COPY_PATH, _REQUEST_TIMEOUT_S)
        return Ok(_decode(unpack_page(answer.body)))
    except (HttpLost, PageError, *UNREADABLE) as error:
        return Error(Refusal(Code.PEER_REFUSED, str(error)))
    finally:
        client.close()


def _decode(body: dict[str, Any]) -> CopiedRows:
    configuration = body["configuration"]
    members = tuple(decode_row(item) for item in body["members"])
    return CopiedRows(
        decode_row(configuration) if configuration else None,
        members,
        _decode_names(body.get("evacuated", [])),
    )


def _decode_names(names: list[str]) -> tuple[str, ...]:
    if not all(isinstance(name, str) for name in names):
        raise ForeignError(f"evacuated: {names!r}")
    return tuple(names)
