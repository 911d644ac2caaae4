"""Addresses of VMs and members, and views of database groups."""

from typing import NamedTuple

from redwingpost.core.positions import History


class VmAddress(NamedTuple):
    """One entry VM: its name, data centre, IP address and ports."""

    vm: str
    data_centre: str
    ip: str
    agent_port: int
    proxy_port: int
    incarnation: int


class MemberAddress(NamedTuple):
    """One member of a database group, from the configuration."""

    member: str
    group: str
    data_centre: str
    ip: str
    port: int


class GroupView(NamedTuple):
    """The known primary of a group; the view with the highest term wins.

    ``primary`` is empty while a promotion runs. ``history`` holds the
    first position of every term, to check whether a promotion dropped a
    session's position.
    """

    group: str
    term: int
    primary: str
    history: History
