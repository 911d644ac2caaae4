"""Bodies of the pages that VMs show each other: compressed JSON.

Load pattern: a configuration of two thousand routes is half a megabyte,
and one VM on a link of 10 Mbit/s hands it to twenty others. As plain text
it is in force at the last of them after nine seconds, and the heartbeats
behind it are late. Its lines resemble each other, so a tenth of the bytes
does.
"""

from typing import Any
from zlib import compress, decompressobj, error as ZlibError

from msgspec import DecodeError
from msgspec.json import decode, encode

#: The fastest; better levels save few of the bytes that are left.
_LEVEL = 1

#: Bytes of a page when unpacked; the largest configuration is far below.
_MAX_BYTES = 64 * 1024 * 1024


class PageError(Exception):
    """A body that can't be read."""


def pack_page(value: Any) -> bytes:
    """Return a value as a page's body.

    Examples
    --------
    >>> unpack_page(pack_page({"version": 7}))
    {'version': 7}
    """
    return compress(encode(value), _LEVEL)


def unpack_page(body: bytes) -> Any:
    """Return the value of a page's body.

    Raises
    ------
    PageError
        If the body was cut short or isn't such a page.
    """
    unpacking = decompressobj()
    try:
        text = unpacking.decompress(body, _MAX_BYTES)
        if not unpacking.eof:
            raise PageError("cut short, or too large")
        return decode(text)
    except (ZlibError, DecodeError) as error:
        raise PageError(str(error)) from error
