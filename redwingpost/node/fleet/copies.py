"""Hand the configuration from VM to VM where the store can't be read.

A VM that the store turns away still hears the others. Their heartbeats
name the version that they have in force; a newer one is fetched from
them, so that a withdrawn key stops working there as well.
"""

from typing import Any

from expression import Error, Ok, Result

from redwingpost.adapters.http_client import HttpClient, HttpLost
from redwingpost.adapters.http_pages import Page
from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.node.fleet.table_copy import TableCopy
from redwingpost.node.fleet.table_pages import CONTENT_TYPE
from redwingpost.ports.platform import Row
from redwingpost.wire.pages import PageError, pack_page, unpack_page

#: Where a VM shows its copy, at its metrics port.
COPY_PATH = "/copy"

#: Seconds for a peer's answer: a large configuration over a slow link that
#: others use as well.
_TIMEOUT_S = 2.0


class Copies:
    """The rows that a VM would hand on, as a whole.

    Parameters
    ----------
    members : TableCopy
        What this VM knows of the members.
    """

    def __init__(self, members: TableCopy) -> None:
        self.configuration: Row | None = None
        self._members = members

    def page(self) -> Page:
        """Return the copy for a peer."""
        members = [list(row) for row in self._members.row_by_key.values()]
        configuration = self.configuration
        body = {
            "configuration": list(configuration) if configuration else None,
            "members": members,
        }
        return Page(200, pack_page(body), CONTENT_TYPE)


class CopiedRows:
    """What a peer handed over."""

    def __init__(self, configuration: Row | None, members: tuple[Row, ...]):
        self.configuration = configuration
        self.members = members


async def fetch_copy(ip: str, port: int) -> Result[CopiedRows, Refusal]:
    """Return a peer's copy."""
    client = HttpClient(ip, port)
    try:
        answer = await client.request("GET", COPY_PATH, _TIMEOUT_S)
        return Ok(_decode(unpack_page(answer.body)))
    except (HttpLost, PageError, KeyError, TypeError) as error:
        return Error(Refusal(Code.PEER_REFUSED, str(error)))
    finally:
        client.close()


def _decode(body: dict[str, Any]) -> CopiedRows:
    configuration = body["configuration"]
    members = tuple(Row(*item) for item in body["members"])
    return CopiedRows(Row(*configuration) if configuration else None, members)
