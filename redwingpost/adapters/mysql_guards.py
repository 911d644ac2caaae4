"""Validation of callers' packets before the protocol library parses them.

The library reads a string up to its zero byte without checking for the
end of the packet. A packet without the zero byte, which any client can
send before the key check, would block the event loop for ever: the VM
would answer nobody and use a whole core.
"""

from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.types import Capabilities

#: Bytes of an SSLRequest, and of a handshake response before its strings.
FIXED_HEAD_BYTES = 32

#: Most bytes of values that one connection may send before executions.
MAX_LONG_DATA_BYTES = 16 * 1024 * 1024

#: Number of following bytes by the first byte of a length-encoded number.
_FOLLOWING_BY_MARK = {0xFC: 2, 0xFD: 3, 0xFE: 8}


def is_complete_handshake(data: bytes) -> bool:
    """Return whether every string in a handshake response is terminated.

    An SSLRequest, and any packet that is no longer, contains no string.

    Examples
    --------
    >>> plain = bytes(4) + b"x" * 28
    >>> is_complete_handshake(plain), is_complete_handshake(plain + b"puno")
    (True, False)
    >>> is_complete_handshake(plain + b"puno\\0" + b"\\x02ab")
    True
    """
    if len(data) <= FIXED_HEAD_BYTES:
        return True
    flags = Capabilities(int.from_bytes(data[:4], "little"))
    flags &= DEFAULT_SERVER_CAPABILITIES
    offset = data.find(0, FIXED_HEAD_BYTES) + 1
    if offset == 0:
        return False
    if Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA in flags:
        offset = _skip_length_encoded(data, offset)
    else:
        offset += 1 + (data[offset] if offset < len(data) else len(data))
    for flag in (
        Capabilities.CLIENT_CONNECT_WITH_DB,
        Capabilities.CLIENT_PLUGIN_AUTH,
    ):
        if flag in flags:
            offset = data.find(0, offset) + 1
            if offset == 0:
                return False
    return offset <= len(data)


def _skip_length_encoded(data: bytes, offset: int) -> int:
    """Return the offset after a length-encoded string."""
    if offset >= len(data):
        return len(data) + 1
    following = _FOLLOWING_BY_MARK.get(data[offset], 0)
    start = offset + 1 + following
    if not following:
        return start + data[offset]
    return start + int.from_bytes(data[offset + 1 : start], "little")


def is_complete_change_user(data: bytes) -> bool:
    """Return whether every string in a COM_CHANGE_USER is terminated.

    Examples
    --------
    >>> is_complete_change_user(b"puno\\0\\x02ab" + b"g\\0" + b"!\\0plugin\\0")
    True
    >>> is_complete_change_user(b"puno")
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
