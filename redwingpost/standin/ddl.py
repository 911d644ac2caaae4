"""Translation of CREATE TABLE, with MySQL's types in SQLite's catalogue.

SQLite stores a column's declared type verbatim but converts values by
*affinity*, which it derives from that word: DECIMAL would become a float.
Each MySQL type is therefore declared by a word whose affinity keeps its
values unchanged; ``columns`` reads the word back.
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
    """Split at the commas outside brackets and quotes.

    Examples
    --------
    >>> split_list("a INT, b DECIMAL(10, 2), c ENUM('x,y')")
    ['a INT', 'b DECIMAL(10, 2)', "c ENUM('x,y')"]
    """
    parts = []
    depth = 0
    quoted = ""
    start = 0
    for index, letter in enumerate(body):
        if quoted:
            quoted = "" if letter == quoted else quoted
        elif letter in "'`":
            quoted = letter
        elif letter in "()":
            depth += 1 if letter == "(" else -1
        elif letter == "," and depth == 0:
            parts.append(body[start:index].strip())
            start = index + 1
    parts.append(body[start:].strip())
    return parts


def _closing_bracket(sql: str, start: int) -> int:
    depth = 1
    quoted = ""
    for index in range(start, len(sql)):
        letter = sql[index]
        if quoted:
            quoted = "" if letter == quoted else quoted
        elif letter in "'`":
            quoted = letter
        elif letter == "(":
            depth += 1
        elif letter == ")":
            depth -= 1
            if depth == 0:
                return index
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
    """Translate a column definition to SQLite's dialect.

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
    name, type_name = match["name"], match["type"].upper()
    size, rest = match["size"] or "", _clean_options(match["rest"])
    if "AUTO_INCREMENT" in rest.upper():
        return f"{name} INTEGER PRIMARY KEY AUTOINCREMENT"
    collation = ""
    if "COLLATE" in rest.upper():
        binary = "_bin" in rest.lower()
        rest = sub(r"(?i)\bCOLLATE\s+\w+", "", rest)
        collation = "" if binary else " COLLATE NOCASE"
    elif type_name in _COLLATED:
        collation = " COLLATE NOCASE"
    if type_name in ("DECIMAL", "NUMERIC"):
        collation = " COLLATE MYSQL_DECIMAL"
        size = size or "(10,0)"
    if type_name == "ENUM" or type_name == "SET":
        size = ""
    declared = DECLARED_BY_TYPE.get(type_name, type_name)
    return f"{name} {declared}{size}{collation}{rest}".rstrip()


def rewrite_create_table(sql: str) -> list[str]:
    """Translate a CREATE TABLE to SQLite statements.

    Secondary keys become separate indexes whose names contain the table's
    name, because SQLite's index names are global.
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
        first_word = part.split(None, 1)[0].upper().split("(")[0]
        if key is not None:
            indexes.append(_index(table, key, len(indexes)))
        elif first_word == "PRIMARY" and increments:
            # The AUTOINCREMENT column is the primary key already.
            continue
        elif first_word in _CONSTRAINT:
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
