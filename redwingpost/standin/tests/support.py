"""Helpers for the stand-ins' tests: settings, drivers, fault commands."""

from typing import Any

from aiohttp import ClientSession
from asyncmy import Connection, connect

from redwingpost.standin import Endpoint, GroupSettings, GroupStandin


def quick_settings(**changes: Any) -> GroupSettings:
    """Return settings of a group that adds no delay to statements."""
    members = {
        "a": Endpoint("127.1.101.1"),
        "b": Endpoint("127.2.101.1"),
        "c": Endpoint("127.3.101.1"),
    }
    settings = GroupSettings(
        "catalogue-1",
        members,
        faults=Endpoint("127.0.0.1"),
        connect_ms=0,
        read_ms=0,
        write_ms=0,
        step_ms=0,
        apply_lag_ms=0,
    )
    return settings._replace(**changes)


async def dial(group: GroupStandin, name: str) -> Connection:
    """Open an asyncmy connection to a member."""
    member = group.members_by_name[name]
    return await connect(
        host=member.endpoint.ip,
        port=member.port,
        user="redwing",
        password="any",
        autocommit=True,
    )


async def rows(connection: Connection, sql: str, *arguments: Any) -> list:
    """Run a statement and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql, arguments or None)
        return list(await cursor.fetchall())


async def run_write(
    connection: Connection, sql: str, *arguments: Any
) -> tuple:
    """Run a write and return affected rows and last insert id."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql, arguments or None)
        return cursor.rowcount, cursor.lastrowid


async def inject_fault(address: tuple[str, int], fault: str, **arguments: Any):
    """Send a fault command; return the HTTP status and the answer."""
    url = f"http://{address[0]}:{address[1]}/faults"
    async with ClientSession() as client:
        async with client.post(
            url, json={"fault": fault, **arguments}
        ) as answer:
            return answer.status, await answer.json()
