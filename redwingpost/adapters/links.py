"""Simulated link faults for all connections that this process dials.

For tests and benchmarks only, if the settings have ``[faults] enabled``:
`install_link_faults` adds fault injection to the running event loop's
outgoing connections, and ``/faults/links`` sets the rules. It has no cost
unless installed.
"""

from asyncio import AbstractEventLoop, Event, get_running_loop, sleep
from asyncio.sslproto import SSLProtocol
from random import Random
from socket import AF_INET, socket
from typing import Any

from aiohttp.web import Application, Request, Response, json_response
from msgspec import DecodeError
from msgspec.json import decode

from redwingpost.adapters.link_rules import (
    LinkRule,
    effect,
    parse_rules,
    render_rule,
)
from redwingpost.adapters.link_transport import FaultyTransport, Link

#: Seed of the losses, so that runs with equal traffic are reproducible.
LOSS_SEED = 1

#: Source addresses of sockets that were not bound to an address.
_UNBOUND = ("0.0.0.0", "127.0.0.1")


class LinkFaults:
    """The active rules and the links that they apply to.

    Parameters
    ----------
    own_ip : str
        Source address of sockets that are not bound to one.
    """

    def __init__(self, own_ip: str) -> None:
        self.own_ip = own_ip
        self.rules: tuple[LinkRule, ...] = ()
        self._links_by_pair: dict[tuple[str, str], Link] = {}
        self._random = Random(LOSS_SEED)
        self._changed = Event()
        self._hooks: _LoopHooks | None = None

    def install(self, loop: AbstractEventLoop) -> None:
        """Inject faults into the connections that ``loop`` dials."""
        self._hooks = _LoopHooks(loop, self)

    def uninstall(self) -> None:
        """Restore the loop's original methods."""
        if self._hooks is not None:
            self._hooks.remove()
            self._hooks = None

    def set_rules(self, rules: tuple[LinkRule, ...]) -> None:
        """Replace the rules; release bytes and connects that may pass."""
        self.rules = rules
        for (own, peer), link in self._links_by_pair.items():
            link.change(effect(rules, own, peer))
        self._changed.set()
        self._changed = Event()

    def link(self, own: str, peer: str) -> Link:
        """Return the link between two addresses."""
        own = self.own_ip if own in _UNBOUND else own
        pair = (own, peer)
        if pair not in self._links_by_pair:
            self._links_by_pair[pair] = Link(
                effect(self.rules, own, peer), self._random
            )
        return self._links_by_pair[pair]

    async def delay_connect(self, own: str, peer: str) -> None:
        """Wait as long as a handshake takes, or until a cut ends."""
        link = self.link(own, peer)
        while link.effect.is_cut:
            await self._changed.wait()
        out, back = link.effect
        if out.delay_s or back.delay_s:
            await sleep(out.delay_s + back.delay_s)


class _LoopHooks:
    """Replacements of loop methods that inject faults when dialling.

    Connections of every library are set up by two steps of the loop:
    connecting the socket and making its transport.
    """

    def __init__(self, loop: AbstractEventLoop, faults: LinkFaults) -> None:
        self._loop = loop
        self._faults = faults
        self._connect = loop.sock_connect
        self._make_plain_transport = loop._make_socket_transport
        self._make_tls_transport = loop._make_ssl_transport
        loop.sock_connect = self.sock_connect
        loop._make_socket_transport = self.make_socket_transport
        loop._make_ssl_transport = self.make_ssl_transport

    def remove(self) -> None:
        """Restore the loop's original methods."""
        for name in (
            "sock_connect",
            "_make_socket_transport",
            "_make_ssl_transport",
        ):
            vars(self._loop).pop(name, None)

    async def sock_connect(self, sock: socket, address: Any) -> None:
        """Connect as soon as the link lets a handshake pass."""
        if sock.family == AF_INET:
            own = sock.getsockname()[0]
            await self._faults.delay_connect(own, address[0])
        await self._connect(sock, address)

    def _link(self, sock: socket) -> Link:
        own, peer = sock.getsockname()[0], sock.getpeername()[0]
        return self._faults.link(own, peer)

    def make_socket_transport(
        self, sock, protocol, waiter=None, *, extra=None, server=None
    ):
        """Return a transport, with faults if this process dialled."""
        if server is not None or sock.family != AF_INET:
            return self._make_plain_transport(
                sock, protocol, waiter, extra=extra, server=server
            )
        return FaultyTransport(
            self._loop, sock, protocol, self._link(sock), waiter, extra
        )

    def make_ssl_transport(
        self,
        rawsock,
        protocol,
        sslcontext,
        waiter=None,
        *,
        server_side=False,
        server_hostname=None,
        extra=None,
        server=None,
        **timeouts,
    ):
        """Return a TLS transport, over faults if this process dialled."""
        if server is not None or rawsock.family != AF_INET:
            return self._make_tls_transport(
                rawsock,
                protocol,
                sslcontext,
                waiter,
                server_side=server_side,
                server_hostname=server_hostname,
                extra=extra,
                server=server,
                **timeouts,
            )
        tls = SSLProtocol(
            self._loop,
            protocol,
            sslcontext,
            waiter,
            server_side,
            server_hostname,
            **timeouts,
        )
        link = self._link(rawsock)
        FaultyTransport(self._loop, rawsock, tls, link, None, extra)
        return tls._app_transport


def install_link_faults(own_ip: str) -> LinkFaults:
    """Inject link faults into the running loop's outgoing connections.

    Parameters
    ----------
    own_ip : str
        This process's address, which is compared with the rules' ``from``.

    Returns
    -------
    LinkFaults
        The object that sets the rules, for `mount_link_faults`.
    """
    faults = LinkFaults(own_ip)
    faults.install(get_running_loop())
    return faults


def mount_link_faults(application: Application, faults: LinkFaults) -> None:
    """Add ``GET`` and ``POST /faults/links`` to an HTTP application."""

    def rendered_rules() -> dict[str, Any]:
        return {"rules": [render_rule(rule) for rule in faults.rules]}

    async def show(request: Request) -> Response:
        return json_response(rendered_rules())

    async def replace(request: Request) -> Response:
        try:
            body = decode(await request.read())
        except DecodeError as error:
            return json_response({"error": str(error)}, status=400)
        rules = parse_rules(body)
        if rules.is_error():
            detail = rules.error.describe()
            return json_response({"error": detail}, status=400)
        faults.set_rules(rules.ok)
        return json_response(rendered_rules())

    application.router.add_get("/faults/links", show)
    application.router.add_post("/faults/links", replace)
