"""Responses that arrive slowly, over a link of a few Mbit/s."""

from asyncio import StreamReader, get_running_loop
from collections.abc import Iterable
from unittest import TestCase
from unittest.mock import MagicMock, patch

from redwingpost.adapters.http_client import (
    MAX_TRANSFER_S,
    STALL_TIMEOUT_S,
    HttpAnswer,
    HttpClient,
    HttpLost,
)
from redwingpost.adapters.tests.virtual_loop import run_in_virtual_time

_TIMEOUT_S = 1.5
_PIECE = b"x" * 1000

#: More than any of the transfers that fail here sends.
_MANY_PIECES = 1000


def _get(pieces: int, pauses_s: Iterable[float]) -> HttpAnswer:
    """Return a response of ``pieces``, each sent after a pause."""

    async def exchange() -> HttpAnswer:
        reader = StreamReader()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {pieces * 1000}\r\n\r\n"
        sent = [head.encode(), *[_PIECE] * pieces]
        at = 0.0
        for pause_s, data in zip(pauses_s, sent):
            at += pause_s
            get_running_loop().call_later(at, reader.feed_data, data)
        connection = (reader, MagicMock())

        async def open_connection(ip: str, port: int) -> tuple:
            return connection

        with patch(
            "redwingpost.adapters.http_client.open_connection",
            open_connection,
        ):
            return await HttpClient("ip", 1).request("GET", "/", _TIMEOUT_S)

    return run_in_virtual_time(exchange())


class SlowTransferTest(TestCase):
    def test_a_transfer_longer_than_the_timeout_completes(self) -> None:
        """Guards against a VM that never gets a large configuration.

        The transfer takes longer than the wait for its start may take.
        """
        answer = _get(10, [1.0] + [1.0] * 10)
        self.assertEqual(10_000, len(answer.body))

    def test_transfers_that_fail(self) -> None:
        endless = [0.1] + [1.0] * int(MAX_TRANSFER_S + 5)
        for name, pauses_s in (
            ("no start", [_TIMEOUT_S + 0.1]),
            ("a stall", [0.1, 0.1, STALL_TIMEOUT_S + 0.1]),
            ("no end", endless),
        ):
            with self.subTest(name), self.assertRaises(HttpLost) as raised:
                _get(_MANY_PIECES, pauses_s)
            self.assertTrue(raised.exception.sent)
