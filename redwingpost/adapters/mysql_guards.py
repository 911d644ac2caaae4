"""Guards before the protocol library's readers of callers' packets.

The library reads a text up to its zero byte and never looks whether the
packet has ended. A packet without the zero byte, which anyone who reaches
the port may send before any key is checked, would keep the one loop busy
for ever: the VM would answer nobody, and use a whole core.
"""

from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.types import Capabilities

#: Bytes of an SSLRequest, and of a handshake response before its texts.
HEAD_BYTES = 32

#: Bytes of values that one connection may send ahead of its executions.
MAX_LONG_DATA_BYTES = 16 * 1024 * 1024

#: First byte of a length-encoded number -> how many bytes follow.
_FOLLOWING_BY_MARK = {0xFC: 2, 0xFD: 3, 0xFE: 8}


def is_whole_handshake(data: bytes) -> bool:
    """Say whether every text in a handshake response ends.

    An SSLRequest and what is no longer holds no text.

    Examples
    --------
    >>> plain = bytes(4) + b"x" * 28
    >>> is_whole_handshake(plain), is_whole_handshake(plain + b"puno")
    (True, False)
    >>> is_whole_handshake(plain + b"puno\\0" + b"\\x02ab")
    True
    """
    if len(data) <= HEAD_BYTES:
        return True
    flags = Capabilities(int.from_bytes(data[:4], "little"))
    flags &= DEFAULT_SERVER_CAPABILITIES
    at = data.find(0, HEAD_BYTES) + 1
    if at == 0:
        return False
    if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in flags:
        at = _after_counted(data, at)
    else:
        at += 1 + (data[at] if at < len(data) else len(data))
    for flag in (
        Capabilities.CLIENT_CONNECT_WITH_DB,
        Capabilities.CLIENT_PLUGIN_AUTH,
    ):
        if flag in flags:
            at = data.find(0, at) + 1
            if at == 0:
                return False
    return at <= len(data)


def _after_counted(data: bytes, at: int) -> int:
    """Return the place after a text whose length stands before it."""
    if at >= len(data):
        return len(data) + 1
    following = _FOLLOWING_BY_MARK.get(data[at], 0)
    start = at + 1 + following
    if not following:
        return start + data[at]
    return start + int.from_bytes(data[at + 1 : start], "little")


def is_whole_change_user(data: bytes) -> bool:
    """Say whether every text in a COM_CHANGE_USER ends.

    Examples
    --------
    >>> is_whole_change_user(b"puno\\0\\x02ab" + b"g\\0" + b"!\\0plugin\\0")
    True
    >>> is_whole_change_user(b"puno")
    False
    """
    user_end = data.find(0)
    if user_end < 0 or user_end + 1 >= len(data):
        return False
    group_start = user_end + 2 + data[user_end + 1]
    group_end = data.find(0, group_start)
    if group_end < 0:
        return False
    rest = data[group_end + 1 :]
    return not rest or b"\0" in rest[2:]
