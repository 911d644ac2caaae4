"""A socket transport whose bytes pass a link that can fail.

It takes the place of the loop's own transport for connections that the
process dials, so every library on the loop is covered (MySQL driver,
HTTP client, RPC, TLS on top of them).
"""

from asyncio import AbstractEventLoop, BufferedProtocol
from asyncio.selector_events import _SelectorSocketTransport
from collections import deque
from random import Random
from socket import socket
from typing import Any

from redwingpost.adapters.link_rules import (
    RETRANSMISSION_S,
    LinkEffect,
    Way,
)

#: End of the stream, in a queue of chunks.
_END = None


class Link:
    """The connections between two addresses and what they suffer.

    Parameters
    ----------
    effect : LinkEffect
        What the rules in force do.
    random : Random
        Source of losses; seeded, so that runs can be repeated.
    """

    def __init__(self, effect: LinkEffect, random: Random) -> None:
        self.effect = effect
        self.random = random
        self.transports: set[FaultyTransport] = set()
        self.lingering: set[Linger] = set()

    def change(self, effect: LinkEffect) -> None:
        """Put another effect in force; what it frees goes on."""
        self.effect = effect
        for transport in list(self.transports):
            transport.link_changed()
        for linger in list(self.lingering):
            linger.flush()

    def due(self, way: Way, now: float, last_due: float) -> float:
        """Return when a chunk that enters now comes out; keeps order."""
        stall = 0.0
        if way.loss and self.random.random() < way.loss:
            stall = RETRANSMISSION_S
        return max(last_due, now + way.delay_s + stall)


class Queue:
    """Chunks on their way in one direction, with when they are due."""

    def __init__(self) -> None:
        self.chunks: deque[tuple[float, bytes | None]] = deque()
        self.size = 0
        self._last_due = 0.0

    def __bool__(self) -> bool:
        return bool(self.chunks)

    def add(self, chunk: bytes | None, link: Link, way: Way, now: float):
        """Put a chunk in."""
        self._last_due = link.due(way, now, self._last_due)
        self.chunks.append((self._last_due, chunk))
        self.size += len(chunk or b"")

    def first_due(self) -> float:
        """Return when the first chunk comes out."""
        return self.chunks[0][0]

    def take(self) -> bytes | None:
        """Take the first chunk out."""
        chunk = self.chunks.popleft()[1]
        self.size -= len(chunk or b"")
        return chunk

    def put_back(self, chunk: bytes) -> None:
        """Put the rest of a chunk first, due at once."""
        self.chunks.appendleft((0.0, chunk))
        self.size += len(chunk)


class Linger:
    """A closed connection that the other side may not notice yet.

    A process that closes a connection across a cut is not heard: the
    other side keeps its transaction and its connection slot until the
    cut heals. Closing the socket at once would send the end through.
    """

    def __init__(
        self, loop: AbstractEventLoop, sock: socket, queue: Queue, link: Link
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._queue = queue
        self._link = link
        link.lingering.add(self)
        self.flush()

    def flush(self) -> None:
        """Send what is due; close for good after the last chunk."""
        if self._link.effect.out.is_cut or self._sock is None:
            return
        now = self._loop.time()
        while self._queue and self._queue.first_due() <= now:
            chunk = self._queue.take()
            try:
                if chunk is not _END:
                    self._sock.send(chunk)
            except OSError:
                self._queue.chunks.clear()
        if self._queue:
            self._loop.call_at(self._queue.first_due(), self.flush)
            return
        self._link.lingering.discard(self)
        self._sock.close()
        self._sock = None


class FaultyTransport(_SelectorSocketTransport):
    """The loop's socket transport behind a link that can fail."""

    def __init__(
        self,
        loop: AbstractEventLoop,
        sock: socket,
        protocol: Any,
        link: Link,
        waiter: Any = None,
        extra: dict | None = None,
    ) -> None:
        self._link = link
        self._outgoing = Queue()
        self._incoming = Queue()
        self._timers: dict[str, Any] = {}
        self._is_held = False
        super().__init__(loop, sock, protocol, waiter, extra, None)
        link.transports.add(self)

    # Outgoing bytes.

    def write(self, data) -> None:
        """Send, or queue behind what the link holds."""
        if not self._outgoing and self._link.effect.out.is_clear:
            super().write(data)
            return
        if self._conn_lost or self._eof or not data:
            super().write(data)
            return
        self._queue_out(bytes(data))
        self._maybe_pause_protocol()

    def write_eof(self) -> None:
        """End the outgoing stream after what the link holds."""
        if not self._outgoing and self._link.effect.out.is_clear:
            super().write_eof()
        elif not self._eof and not self._closing:
            self._queue_out(_END)

    def get_write_buffer_size(self) -> int:
        """Return the bytes not yet sent, those on the link included."""
        return super().get_write_buffer_size() + self._outgoing.size

    def _queue_out(self, chunk: bytes | None) -> None:
        way = self._link.effect.out
        self._outgoing.add(chunk, self._link, way, self._loop.time())
        self._arm("out", self._outgoing, way, self._flush_out)

    def _flush_out(self) -> None:
        self._timers.pop("out", None)
        now = self._time()
        while self._is_open(self._outgoing, self._link.effect.out, now):
            chunk = self._outgoing.take()
            if chunk is _END:
                super().write_eof()
            else:
                super().write(chunk)
        if self._loop is not None:
            self._maybe_resume_protocol()
            way = self._link.effect.out
            self._arm("out", self._outgoing, way, self._flush_out)

    # Incoming bytes.

    def _read_ready(self) -> None:
        way = self._link.effect.back
        if not self._incoming and way.is_clear:
            super()._read_ready()
        elif way.is_cut:
            # The bytes stay in the kernel until the cut heals.
            self._loop._remove_reader(self._sock_fd)
        else:
            self._receive(way)

    def _receive(self, way: Way) -> None:
        try:
            chunk = self._sock.recv(self.max_size)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._fatal_error(error, "Fatal read error on socket transport")
            return
        if not chunk:
            self._loop._remove_reader(self._sock_fd)
        self._incoming.add(chunk or _END, self._link, way, self._loop.time())
        self._arm("in", self._incoming, way, self._deliver)

    def _deliver(self) -> None:
        self._timers.pop("in", None)
        now = self._time()
        way = self._link.effect.back
        while not self._paused and self._is_open(self._incoming, way, now):
            chunk = self._incoming.take()
            if chunk is _END:
                self._read_ready__on_eof()
            else:
                self._hand_over(chunk)
        if self._loop is not None and not self._paused:
            self._arm("in", self._incoming, way, self._deliver)

    def _hand_over(self, chunk: bytes) -> None:
        """Give a chunk to the protocol, which may pause on the way."""
        protocol = self._protocol
        if not isinstance(protocol, BufferedProtocol):
            protocol.data_received(chunk)
            return
        while chunk and not self._paused and not self._closing:
            buffer = protocol.get_buffer(len(chunk))
            count = min(len(buffer), len(chunk))
            buffer[:count] = chunk[:count]
            protocol.buffer_updated(count)
            chunk = chunk[count:]
        if chunk and not self._closing:
            self._incoming.put_back(chunk)

    def resume_reading(self) -> None:
        """Go on reading, what the link held first."""
        super().resume_reading()
        if self._incoming and not self._closing:
            way = self._link.effect.back
            self._arm("in", self._incoming, way, self._deliver)

    # The link and the end.

    def link_changed(self) -> None:
        """Go on with what the new rules let pass."""
        if self._loop is None:
            return
        effect = self._link.effect
        if not effect.back.is_cut and not self._ends():
            self._add_reader(self._sock_fd, self._read_ready)
        self._arm("in", self._incoming, effect.back, self._deliver)
        self._arm("out", self._outgoing, effect.out, self._flush_out)

    def _ends(self) -> bool:
        return any(chunk is _END for _, chunk in self._incoming.chunks)

    def _time(self) -> float:
        return self._loop.time() if self._loop is not None else 0.0

    def _is_open(self, queue: Queue, way: Way, now: float) -> bool:
        """Say whether the first chunk may come out now."""
        if not queue or way.is_cut or self._loop is None:
            return False
        return not self._conn_lost and queue.first_due() <= now

    def _arm(self, name: str, queue: Queue, way: Way, action) -> None:
        """Call ``action`` when the first chunk is due."""
        if queue and not way.is_cut and name not in self._timers:
            self._timers[name] = self._loop.call_at(queue.first_due(), action)

    def close(self) -> None:
        """Close; the other side hears of it as the link allows."""
        self._hold_socket()
        super().close()

    def _force_close(self, exc) -> None:
        self._hold_socket()
        super()._force_close(exc)

    def _hold_socket(self) -> None:
        cut = self._link.effect.out.is_cut
        if self._is_held or self._closing or not (cut or self._outgoing):
            return
        self._is_held = True
        pending, self._outgoing = self._outgoing, Queue()
        Linger(self._loop, self._sock.dup(), pending, self._link)

    def _call_connection_lost(self, exc) -> None:
        self._link.transports.discard(self)
        for timer in self._timers.values():
            timer.cancel()
        super()._call_connection_lost(exc)
