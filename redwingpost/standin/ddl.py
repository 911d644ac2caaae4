"""CREATE TABLE and its kin: MySQL's types in SQLite's catalogue.

SQLite keeps a column's declared type word for word but converts values
by *affinity*, which it guesses from that word: DECIMAL would become a
float. Each MySQL type is therefore declared by a word whose affinity
leaves its values whole; ``columns`` reads the word back.
"""

from re import IGNORECASE, compile as compile_pattern, sub

#: MySQL type -> declared word. "TEXT" in it gives text affinity, "INT"
#: integer affinity, "BLOB" none.
DECLARED_BY_TYPE = {
    "DECIMAL": "DECIMALTEXT",
    "NUMERIC": "DECIMALTEXT",
    "DATETIME": "DATETIMETEXT",
    "TIMESTAMP": "TIMESTAMPTEXT",
    "DATE": "DATETEXT",
    "TIME": "TIMETEXT",
    "JSON": "JSONTEXT",
    "ENUM": "ENUMTEXT",
    "SET": "SETTEXT",
    "VARBINARY": "VARBINARYBLOB",
    "BINARY": "BINARYBLOB",
    "YEAR": "YEARINT",
    "BOOL": "TINYINT",
    "BOOLEAN": "TINYINT",
}
_COLLATED = ("VARCHAR", "CHAR", "TEXT", "TINYTEXT", "MEDIUMTEXT", "LONGTEXT")

_COLUMN = compile_pattern(
    r"^(?P<name>`[^`]+`|[\w$]+)\s+(?P<type>[A-Za-z]+)"
    r"(?P<size>\s*\([^)]*\))?(?P<rest>.*)$",
    IGNORECASE,
)
_CREATE = compile_pattern(
    r"^\s*CREATE\s+(?P<temp>TEMPORARY\s+)?TABLE\s+"
    r"(?P<missing>IF\s+NOT\s+EXISTS\s+)?(?P<name>`[^`]+`|[\w$]+)\s*\(",
    IGNORECASE,
)
_KEY = compile_pattern(
    r"^(?P<unique>UNIQUE\s+)?(?:KEY|INDEX)\s*(?P<name>`[^`]+`|[\w$]+)?"
    r"\s*(?P<columns>\(.*\))\s*$",
    IGNORECASE,
)
_CONSTRAINT = ("PRIMARY", "UNIQUE", "CONSTRAINT", "FOREIGN", "CHECK")


def split_list(body: str) -> list[str]:
    """Split at the commas that stand outside brackets and quotes.

    Examples
    --------
    >>> split_list("a INT, b DECIMAL(10, 2), c ENUM('x,y')")
    ['a INT', 'b DECIMAL(10, 2)', "c ENUM('x,y')"]
    """
    parts = []
    depth = 0
    quoted = ""
    start = 0
    for place, letter in enumerate(body):
        if quoted:
            quoted = "" if letter == quoted else quoted
        elif letter in "'`":
            quoted = letter
        elif letter in "()":
            depth += 1 if letter == "(" else -1
        elif letter == "," and depth == 0:
            parts.append(body[start:place].strip())
            start = place + 1
    parts.append(body[start:].strip())
    return parts


def _closing_bracket(sql: str, start: int) -> int:
    depth = 1
    quoted = ""
    for place in range(start, len(sql)):
        letter = sql[place]
        if quoted:
            quoted = "" if letter == quoted else quoted
        elif letter in "'`":
            quoted = letter
        elif letter == "(":
            depth += 1
        elif letter == ")":
            depth -= 1
            if depth == 0:
                return place
    return len(sql)


def _clean_options(rest: str) -> str:
    rest = sub(r"(?i)\bUNSIGNED\b|\bZEROFILL\b", "", rest)
    rest = sub(r"(?i)\bCHARACTER\s+SET\s+\w+|\bCHARSET\s+\w+", "", rest)
    rest = sub(r"(?i)\bCOMMENT\s+'(?:[^']|'')*'", "", rest)
    rest = sub(r"(?i)\bON\s+UPDATE\s+\w+(\s*\(\d*\))?", "", rest)
    rest = sub(
        r"(?i)\bDEFAULT\s+(?:CURRENT_TIMESTAMP|NOW)(?:\s*\(\d*\))?",
        "DEFAULT CURRENT_TIMESTAMP",
        rest,
    )
    return rest


def rewrite_column(definition: str) -> str:
    """Return a column's definition as SQLite takes it.

    Examples
    --------
    >>> rewrite_column("price DECIMAL(10,2) NOT NULL")
    'price DECIMALTEXT(10,2) COLLATE MYSQL_DECIMAL NOT NULL'
    >>> rewrite_column("id BIGINT AUTO_INCREMENT PRIMARY KEY")
    'id INTEGER PRIMARY KEY AUTOINCREMENT'
    """
    match = _COLUMN.match(definition)
    if match is None:
        return definition
    name, kind = match["name"], match["type"].upper()
    size, rest = match["size"] or "", _clean_options(match["rest"])
    if "AUTO_INCREMENT" in rest.upper():
        return f"{name} INTEGER PRIMARY KEY AUTOINCREMENT"
    collation = ""
    if "COLLATE" in rest.upper():
        binary = "_bin" in rest.lower()
        rest = sub(r"(?i)\bCOLLATE\s+\w+", "", rest)
        collation = "" if binary else " COLLATE NOCASE"
    elif kind in _COLLATED:
        collation = " COLLATE NOCASE"
    if kind in ("DECIMAL", "NUMERIC"):
        collation = " COLLATE MYSQL_DECIMAL"
        size = size or "(10,0)"
    if kind == "ENUM" or kind == "SET":
        size = ""
    declared = DECLARED_BY_TYPE.get(kind, kind)
    return f"{name} {declared}{size}{collation}{rest}".rstrip()


def rewrite_create_table(sql: str) -> list[str]:
    """Return the SQLite statements that a CREATE TABLE stands for.

    Secondary keys become indexes of their own, named after the table,
    since SQLite's index names are global.
    """
    match = _CREATE.match(sql)
    if match is None:
        return [sql]
    end = _closing_bracket(sql, match.end())
    parts = split_list(sql[match.end() : end])
    table = match["name"]
    increments = any("AUTO_INCREMENT" in part.upper() for part in parts)
    body, indexes = [], []
    for part in parts:
        key = _KEY.match(part)
        words = part.split(None, 1)[0].upper().split("(")[0]
        if key is not None:
            indexes.append(_index(table, key, len(indexes)))
        elif words == "PRIMARY" and increments:
            # The AUTOINCREMENT column is the primary key already.
            continue
        elif words in _CONSTRAINT:
            body.append(part)
        else:
            body.append(rewrite_column(part))
    temporary = "TEMP " if match["temp"] else ""
    missing = "IF NOT EXISTS " if match["missing"] else ""
    columns = ", ".join(body)
    created = f"CREATE {temporary}TABLE {missing}{table} ({columns})"
    return [created, *indexes]


def _index(table: str, key, number: int) -> str:
    bare = table.strip("`")
    label = (key["name"] or f"key{number}").strip("`")
    unique = "UNIQUE " if key["unique"] else ""
    columns = sub(r"\(\d+\)", "", key["columns"][1:-1])
    return (
        f"CREATE {unique}INDEX IF NOT EXISTS `{bare}__{label}` "
        f"ON {table} ({columns})"
    )
