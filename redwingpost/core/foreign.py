"""Decoding of data that other writers, members, VMs or callers have sent.

Whatever they send may cost that row, member or message, and nothing more: a
reader that fails for another reason than the one it expects would end with
it, and with it everything else that it reads. So there is one way to decode
JSON, with bounds on its depth, and one set of exceptions that decoders of
single entries may raise.
"""

from ipaddress import AddressValueError, IPv4Address, IPv4Network
from typing import Any

from msgspec import DecodeError
from msgspec.json import decode

#: Depth to which values may be nested: the deepest of ours has six levels.
#: Far deeper ones exceed the interpreter's stack, here or where they are
#: encoded again.
MAX_DEPTH = 32

#: What a decoder may raise for an entry that isn't as it should be: fields
#: that are missing, of another type, or out of range.
UNREADABLE = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)

#: Digits of the largest numbers in use. Longer ones would be slow to parse,
#: and too large for what they are used for.
_MAX_DIGITS = 18

#: Largest number of that many digits, as members may count terms.
MAX_COUNTED = 10**_MAX_DIGITS - 1

#: Largest whole number that all readers of JSON agree on.
MAX_WHOLE = 2**53

MAX_PORT = 65535

#: Stands for all addresses of a host, where it listens.
_ANY = "0.0.0.0"

#: Addresses that stand for the sender's own host or network.
_THIS_NETWORK = IPv4Network("0.0.0.0/8")


class ForeignError(ValueError):
    """Data can't be decoded, or is out of bounds."""


def decode_json(data: bytes, max_depth: int = MAX_DEPTH) -> Any:
    """Return the value of JSON text.

    Raises
    ------
    ForeignError
        If it isn't JSON, or nested more deeply than ``max_depth``.

    Examples
    --------
    >>> decode_json(b'{"a": [1]}')
    {'a': [1]}
    """
    try:
        value = decode(data)
    except RecursionError as error:
        raise ForeignError("nested too deeply") from error
    except (DecodeError, ValueError) as error:
        raise ForeignError(str(error)) from error
    # Most values have fewer brackets than that, and needn't be searched.
    if data.count(b"[") + data.count(b"{") > max_depth:
        _check_depth(value, max_depth)
    return value


def _check_depth(value: Any, max_depth: int) -> None:
    level = [value]
    for _ in range(max_depth):
        level = [
            item
            for outer in level
            for item in (outer.values() if type(outer) is dict else outer)
            if type(item) is dict or type(item) is list
        ]
        if not level:
            return
    raise ForeignError("nested too deeply")


def parse_whole(text: str) -> int | None:
    """Return a whole number of at least 0; None for any other text.

    ``str.isdigit`` also accepts digits that ``int`` doesn't.

    Examples
    --------
    >>> parse_whole("17"), parse_whole("²"), parse_whole("9" * 5000)
    (17, None, None)
    """
    if len(text) > _MAX_DIGITS or not (text.isascii() and text.isdecimal()):
        return None
    return int(text)


def is_whole(value: Any, largest: int = MAX_WHOLE) -> bool:
    """Return whether a value is a whole number from 0 to ``largest``.

    Examples
    --------
    >>> is_whole(7), is_whole(7.0), is_whole(True), is_whole(-1)
    (True, False, False, False)
    >>> is_whole(2**53 + 1), is_whole("7")
    (False, False)
    """
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and 0 <= value <= largest


def is_number(value: Any) -> bool:
    """Return whether a value is a number from 0 to ``MAX_WHOLE``.

    Examples
    --------
    >>> is_number(0.5), is_number(7), is_number(True), is_number("7")
    (True, True, False, False)
    >>> is_number(float("inf")), is_number(float("nan")), is_number(-0.5)
    (False, False, False)
    """
    is_real = isinstance(value, int | float) and not isinstance(value, bool)
    return is_real and 0 <= value <= MAX_WHOLE


def is_word(value: Any) -> bool:
    """Return whether a value can be sent to members as a field of a line.

    A blank would split the field, a line end would smuggle a line.

    Examples
    --------
    >>> is_word("i-7f3a"), is_word("a b"), is_word("a\\r\\nQUERY"), is_word("")
    (True, False, False, False)
    """
    return (
        isinstance(value, str)
        and value != ""
        and value.isprintable()
        and " " not in value
    )


def is_port(value: Any) -> bool:
    """Return whether a value is a port that can be connected to.

    Examples
    --------
    >>> is_port(80), is_port(99999), is_port(True)
    (True, False, False)
    """
    return is_whole(value, MAX_PORT) and value > 0


def is_host_ip(value: Any) -> bool:
    """Return whether a value is an IPv4 address that a host can have.

    Not the unspecified, multicast, reserved and broadcast addresses: whoever
    is listed there can't be reached by any VM, and would count as silent.

    Examples
    --------
    >>> is_host_ip("10.0.0.3"), is_host_ip("127.0.0.1"), is_host_ip(None)
    (True, True, False)
    >>> is_host_ip("0.0.0.0"), is_host_ip("224.0.0.1"), is_host_ip("10.0.0")
    (False, False, False)
    """
    if not isinstance(value, str):
        return False
    try:
        address = IPv4Address(value)
    except AddressValueError:
        return False
    return not (
        address in _THIS_NETWORK or address.is_multicast or address.is_reserved
    )


def parse_address(
    text: str, allows_any: bool = False
) -> tuple[str, int] | None:
    """Return a host's IPv4 address and port; None if it can't be used.

    Names aren't looked up, and some can't even be tried. ``allows_any`` also
    accepts the address that stands for all of a host, to listen at.

    Examples
    --------
    >>> parse_address("10.0.0.3:8080")
    ('10.0.0.3', 8080)
    >>> parse_address("10.0.0.3:99999") is None
    True
    >>> parse_address("0.0.0.0:80"), parse_address("0.0.0.0:80", True)
    (None, ('0.0.0.0', 80))
    """
    host, _, digits = text.rpartition(":")
    port = parse_whole(digits)
    is_usable = is_host_ip(host) or (allows_any and host == _ANY)
    return (host, port) if is_port(port) and is_usable else None
