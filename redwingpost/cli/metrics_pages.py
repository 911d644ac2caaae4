"""Reads the metrics pages of nodes, for commands that add them up."""

from redwingpost.adapters.http_client import HttpClient
from redwingpost.adapters.peer import PeerAddress

#: Seconds to wait for a node's metrics page.
_TIMEOUT_S = 5.0


async def read_metrics_page(address: PeerAddress) -> str:
    """Return a node's metrics page.

    Raises
    ------
    HttpLost
        If no complete answer arrives.
    ValueError
        If the page isn't found there, or isn't text.
    """
    client = HttpClient(address.ip, address.port)
    try:
        answer = await client.request("GET", "/metrics", _TIMEOUT_S)
    finally:
        client.close()
    if answer.status != 200:
        raise ValueError(f"no metrics page, status {answer.status}")
    return answer.body.decode()
