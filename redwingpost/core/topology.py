"""Who is where: VMs of the system, members of database groups."""

from typing import NamedTuple

from redwingpost.core.positions import History


class VmAddress(NamedTuple):
    """One entry VM: its name, data centre, IP and the ports it serves."""

    vm: str
    data_centre: str
    ip: str
    agent_port: int
    proxy_port: int
    incarnation: int


class MemberAddress(NamedTuple):
    """One member of a database group, as the configuration names it."""

    member: str
    group: str
    data_centre: str
    ip: str
    port: int


class GroupView(NamedTuple):
    """What is known of a group's primary: the highest term wins.

    ``primary`` is empty while a promotion runs. ``history`` holds the
    first position of every term, so that a session's position can be
    checked against a tail that a promotion dropped.
    """

    group: str
    term: int
    primary: str
    history: History
