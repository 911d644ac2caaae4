"""MySQL's error numbers for errors of a member's store."""

from sqlite3 import Error as StoreError

from mysql_mimic.errors import MysqlError

#: MySQL's error numbers.
DUPLICATE_KEY = 1062
SYNTAX = 1064
NO_SUCH_TABLE = 1146
LOCK_WAIT_TIMEOUT = 1205
READ_ONLY = 1290
TOO_MANY_CONNECTIONS = 1040
OUT_OF_RANGE = 1264
NOT_NULL = 1048
CHECK_FAILED = 3819
FOREIGN_KEY = 1452

#: Part of the store's message -> MySQL's number; the first match counts.
_NUMBER_BY_MESSAGE = (
    ("UNIQUE constraint", DUPLICATE_KEY),
    ("NOT NULL constraint", NOT_NULL),
    ("CHECK constraint", CHECK_FAILED),
    ("FOREIGN KEY constraint", FOREIGN_KEY),
    ("no such table", NO_SUCH_TABLE),
    ("no such column", 1054),
    ("has no column named", 1054),
    ("ambiguous column", 1052),
    ("already exists", 1050),
    ("no such savepoint", 1305),
    ("no such function", 1305),
    ("values were supplied", 1136),
    ("values for", 1136),
    ("too large", OUT_OF_RANGE),
    ("is locked", LOCK_WAIT_TIMEOUT),
)


class MemberError(MysqlError):
    """An error answer of a member, with MySQL's error number."""

    def __init__(self, number: int, message: str) -> None:
        super().__init__(message, number)


def read_only() -> MemberError:
    """Return the error of a write that a read-only member did not run."""
    return MemberError(
        READ_ONLY,
        "The MySQL server is running with the --read-only option so it"
        " cannot execute this statement",
    )


def lock_timeout() -> MemberError:
    """Return the error of a write that timed out on the writer lock."""
    return MemberError(
        LOCK_WAIT_TIMEOUT,
        "Lock wait timeout exceeded; try restarting transaction",
    )


def from_store(error: Exception) -> MemberError:
    """Translate an error of the store to MySQL's.

    Examples
    --------
    >>> from sqlite3 import IntegrityError
    >>> from_store(IntegrityError("UNIQUE constraint failed: t.a")).code
    1062
    """
    message = str(error)
    for part, number in _NUMBER_BY_MESSAGE:
        if part in message:
            return MemberError(number, _mysql_message(number, message))
    number = SYNTAX if isinstance(error, StoreError) else 1105
    return MemberError(number, message)


def _mysql_message(number: int, message: str) -> str:
    name = message.rpartition(": ")[2]
    if number == DUPLICATE_KEY:
        return f"Duplicate entry for key '{name}'"
    if number == NO_SUCH_TABLE:
        return f"Table '{name}' doesn't exist"
    return message
