"""The baseline for comparisons: a proxy without any of the features.

Every statement goes to the primary over a connection of its own. The
primary is found by querying the members' status in the order of the
configuration. Each VM limits an organisation to an equal part of its
rate. Nothing is confirmed, deduplicated, queued or retried; positions
and tokens are ignored.
"""

from pathlib import Path
from re import IGNORECASE, compile as re_compile
from time import monotonic
from typing import Annotated, Any

from aiohttp.web import Application
from expression import Error, Ok, Result
from mode import Service
from prometheus_client import CollectorRegistry
from typer import Option, Typer

from redwingpost.adapters.links import (
    install_link_faults,
    mount_link_faults,
)
from redwingpost.adapters.mysql_server import Answer, CallerServer
from redwingpost.adapters.mysql_target import MySQLTargetDialler
from redwingpost.cli.running import configure_logs, run_service
from redwingpost.configuration.model import Configuration, Group
from redwingpost.configuration.parse import parse_configuration
from redwingpost.core import Code, MemberError, Refusal
from redwingpost.core.marks import read_marks
from redwingpost.ports import StatementResult, TargetError, TargetLost
from redwingpost.proxy.http import StatusServer
from redwingpost.settings import Settings, load_settings

#: Fixed number of VMs over which the rates are divided.
VM_COUNT = 6

#: Timeouts of a connection attempt and of a statement, in seconds.
DIAL_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 5.0

_EMPTY = StatementResult((), (), 0, 0)
_ANSWERED_LOCALLY = re_compile(r"\s*(SET\b|SELECT\s+@@)", IGNORECASE)
_BEGIN = re_compile(r"\s*(BEGIN|START\s+TRANSACTION)\b", IGNORECASE)
_END = re_compile(r"\s*(COMMIT|ROLLBACK)\b", IGNORECASE)


class TokenBucket:
    """A token bucket on one VM, full at the start.

    Examples
    --------
    >>> bucket = TokenBucket(rate=1.0, burst=1.0, now=0.0)
    >>> bucket.take(0.0), bucket.take(0.5), bucket.take(1.5)
    (True, False, True)
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Take one token if there is one; ``now`` in seconds."""
        gained = (now - self._updated_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class NaiveProxy(Service):
    """Serves callers and forwards each statement to a primary."""

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._ip = settings.vm.ip
        body = Path(settings.proxy.configuration_file).read_bytes()
        self.configuration: Configuration = parse_configuration(body).ok
        self.dialler = MySQLTargetDialler(
            settings.targets.user, settings.targets.password
        )
        now = monotonic()
        self.buckets_by_organisation = {
            name: TokenBucket(
                granted.rate / VM_COUNT, granted.burst / VM_COUNT, now
            )
            for name, granted in (
                self.configuration.organisations_by_name.items()
            )
        }
        self._callers = CallerServer(
            settings.vm.ip,
            settings.proxy.caller_port,
            self,
            self._make_session,
        )
        self._http = StatusServer(
            settings.vm.ip,
            settings.proxy.http_port,
            CollectorRegistry(),
            lambda: True,
            self._add_routes,
        )

    def key_hashes(self, organisation: str) -> tuple[str, ...]:
        """Return the hashes of an organisation's keys."""
        organisations = self.configuration.organisations_by_name
        granted = organisations.get(organisation)
        if granted is None:
            return ()
        return tuple(key.key_hash for key in granted.keys_by_name.values())

    def _make_session(
        self, organisation: str, key_hash: str, group: str, number: int
    ) -> "NaiveSession":
        return NaiveSession(self, organisation, group)

    def _add_routes(self, application: Application) -> None:
        mount_link_faults(application, self._faults)

    async def on_start(self) -> None:
        """Open the ports for callers and for health checks."""
        self._faults = install_link_faults(self._ip)
        await self.add_runtime_dependency(self._callers)
        await self.add_runtime_dependency(self._http)

    async def dial_primary(self, group: Group) -> Any:
        """Connect to the first member whose reported role is primary."""
        for address in group.members_by_name.values():
            try:
                connection = await self.dialler.dial(address, DIAL_TIMEOUT_S)
                status = await connection.status(DIAL_TIMEOUT_S)
            except (TargetError, TargetLost):
                continue
            if status.role == "primary":
                return connection
            await connection.close()
        return None


class NaiveSession:
    """The session of one caller's connection."""

    def __init__(
        self, proxy: NaiveProxy, organisation: str, group: str
    ) -> None:
        self._proxy = proxy
        self._organisation = organisation
        self._group = group
        self._transaction: Any = None

    @property
    def autocommit(self) -> bool:
        """Whether each statement commits by itself: always."""
        return True

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transaction is not None

    async def use(self, group: str) -> Result[None, Refusal]:
        """Change the database group."""
        self._group = group
        return Ok(None)

    async def reset(self) -> None:
        """Abort an open transaction."""
        await self.close()

    async def close(self) -> None:
        """Abort an open transaction by closing its connection."""
        connection, self._transaction = self._transaction, None
        if connection is not None:
            await connection.close()

    async def handle(self, sql: str, attributes: dict[str, str]) -> Answer:
        """Run one statement on the primary."""
        read = read_marks(sql, attributes)
        if read.is_error():
            return Error(read.error)
        sql = read.ok.sql
        if _ANSWERED_LOCALLY.match(sql):
            return Ok(_EMPTY)
        refusal = self._refuse(sql)
        if refusal is not None:
            return Error(refusal)
        connection = self._transaction
        if connection is None:
            group = self._proxy.configuration.groups_by_name[self._group]
            connection = await self._proxy.dial_primary(group)
        if connection is None:
            return Error(Refusal(Code.NO_PRIMARY))
        return await self._run(connection, sql)

    def _refuse(self, sql: str) -> Refusal | None:
        configuration = self._proxy.configuration
        granted = configuration.organisations_by_name[self._organisation]
        if self._group not in granted.groups:
            return Refusal(Code.GROUP_NOT_ALLOWED)
        bucket = self._proxy.buckets_by_organisation[self._organisation]
        if not _END.match(sql) and not bucket.take(monotonic()):
            return Refusal(Code.OVER_RATE)
        return None

    async def _run(self, connection: Any, sql: str) -> Answer:
        try:
            result = await connection.execute(sql, ANSWER_TIMEOUT_S)
        except TargetError as error:
            await self._release(connection, sql)
            return Error(MemberError(error.number, error.message))
        except TargetLost as lost:
            await self._release(connection, "ROLLBACK")
            code = Code.OUTCOME_UNKNOWN if lost.sent else Code.TARGET_LOST
            return Error(Refusal(code))
        await self._release(connection, sql)
        return Ok(result)

    async def _release(self, connection: Any, sql: str) -> None:
        """Close the connection unless a transaction is open on it."""
        if _BEGIN.match(sql):
            self._transaction = connection
        elif self._transaction is None or _END.match(sql):
            self._transaction = None
            await connection.close()


app = Typer(add_completion=False)


@app.command()
def serve(
    settings: Annotated[Path, Option(help="Settings file", exists=True)],
) -> None:
    """Run the baseline proxy until SIGTERM."""
    loaded = load_settings(settings)
    if loaded.is_error():
        raise SystemExit(loaded.error.describe())
    configure_logs(loaded.ok.log)
    run_service(lambda: NaiveProxy(loaded.ok))


if __name__ == "__main__":
    app()
