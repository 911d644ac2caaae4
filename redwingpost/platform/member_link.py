"""Connections to members over the line protocol."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    LimitOverrunError,
    StreamReader,
    StreamWriter,
    open_connection,
    timeout,
)

from redwingpost.adapters.http_client import reset_connection, tune_socket
from redwingpost.core.positions import Position
from redwingpost.core.statements import Statement
from redwingpost.platform.lines import (
    ENCODING,
    MAX_MESSAGE_BYTES,
    EMPTY_FIELD,
    ReplyParser,
    parse_failure,
    parse_status,
    query_line,
    statement_text,
    step_text,
    to_wire,
)
from redwingpost.ports.database import (
    LinkLost,
    MemberEntry,
    MemberFailure,
    Reply,
    StatusReport,
)
from redwingpost.statements.setup import Prepare, SetupStep


class LineLink:
    """Implements ``DatabaseLink``."""

    def __init__(
        self, reader: StreamReader, writer: StreamWriter, organisation: str
    ) -> None:
        self.organisation = organisation
        self._reader = reader
        self._writer = writer
        self._is_broken = False

    @property
    def is_open(self) -> bool:
        """Whether another exchange can be tried."""
        return not (
            self._is_broken
            or self._reader.at_eof()
            or self._writer.is_closing()
        )

    async def run(
        self,
        statement: Statement,
        after: Position | None = None,
        prepared_as: str = "",
        first: Prepare | None = None,
    ) -> Reply:
        """Run a caller's statement once the member has reached ``after``."""
        text = statement_text(statement, after, prepared_as)
        line = query_line(statement.request, text)
        if first is None:
            return (await self._exchange(line))[0]
        prepare = query_line(EMPTY_FIELD, step_text(first))
        prepared, reply = await self._exchange(prepare, line)
        if prepared.failure is not None and reply.failure is not None:
            return reply._replace(failure=prepared.failure)
        return reply

    async def set_up(self, steps: tuple[SetupStep, ...]) -> tuple[Reply, ...]:
        """Run all steps in one round trip; return their answers."""
        lines = (query_line(EMPTY_FIELD, step_text(step)) for step in steps)
        return await self._exchange(*lines)

    async def roll_back(self) -> Reply:
        """Roll the open transaction back."""
        return (await self._exchange(query_line(EMPTY_FIELD, "ROLLBACK")))[0]

    async def status(self) -> StatusReport | None:
        """Request the member's status; None if it refused."""
        return await self._report("STATUS")

    async def pause(self, term: int) -> StatusReport | None:
        """Stop the member from replicating primaries below ``term``."""
        return await self._report(f"PAUSE {term}")

    async def resume(self) -> StatusReport | None:
        """Undo a pause."""
        return await self._report("RESUME")

    async def step_down(self, term: int) -> StatusReport | None:
        """Demote a primary of a lower term to a replica."""
        return await self._report(f"STEPDOWN {term}")

    def close(self) -> None:
        """Close immediately; the member rolls back an open transaction."""
        self._is_broken = True
        self._writer.close()

    async def _report(self, command: str) -> StatusReport | None:
        (reply,) = await self._exchange(query_line(EMPTY_FIELD, command))
        if reply.failure is not None or not reply.rows:
            return None
        return parse_status(reply.rows[0])

    async def _exchange(self, *lines: str) -> tuple[Reply, ...]:
        """Send all lines at once; return the answer to each.

        The member processes them in order, so that one round trip is
        enough for all of them.
        """
        if not self.is_open:
            raise LinkLost("closed while idle", sent=False)
        self._writer.write("".join(lines).encode(ENCODING, "replace"))
        try:
            return tuple([await self._receive() for _ in lines])
        except (OSError, IncompleteReadError, ValueError) as error:
            self.close()
            raise LinkLost(type(error).__name__, sent=True) from error
        except LimitOverrunError as error:
            self.close()
            raise LinkLost("answer too large", sent=True) from error
        except CancelledError:
            # The answer is still outstanding and would be taken for that
            # of the next statement. The member must not run later what was
            # given up: a RESUME could undo a PAUSE on another connection.
            self._is_broken = True
            reset_connection(self._writer)
            raise

    async def _receive(self) -> Reply:
        parser = ReplyParser()
        while True:
            reply = parser.feed(await read_line(self._reader))
            if reply is not None:
                return reply


async def read_line(reader: StreamReader) -> str:
    """Return the next line without its line end."""
    raw = await reader.readuntil(b"\r\n")
    return raw[:-2].decode(ENCODING)


class LineLinkFactory:
    """Implements ``LinkFactory``."""

    async def open(
        self, entry: MemberEntry, organisation: str, timeout_s: float
    ) -> LineLink | MemberFailure:
        """Open a link, or return the member's refusal."""
        try:
            async with timeout(timeout_s):
                return await self._open(entry, organisation)
        except (
            OSError,
            IncompleteReadError,
            LimitOverrunError,
            TimeoutError,
            ValueError,
        ) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            raise LinkLost(
                type(error).__name__, sent=False, is_refused=is_refused
            ) from error

    async def _open(
        self, entry: MemberEntry, organisation: str
    ) -> LineLink | MemberFailure:
        reader, writer = await open_connection(
            entry.ip, entry.port, limit=MAX_MESSAGE_BYTES + 2
        )
        try:
            tune_socket(writer)
            names = f"{entry.group} {organisation} {entry.member}"
            start = f"STARTUP {to_wire(names)}\r\n"
            writer.write(start.encode(ENCODING))
            keyword, _, rest = (await read_line(reader)).partition(" ")
        except BaseException:
            writer.close()
            raise
        if keyword == "READY":
            return LineLink(reader, writer, organisation)
        writer.close()
        return parse_failure(rest)
