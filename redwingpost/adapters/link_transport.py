"""A socket transport with simulated link faults.

It replaces the event loop's transport for connections that the process
dials, so that it covers every library on the loop (MySQL driver, HTTP
client, RPC, and TLS on top of them).
"""

from asyncio import AbstractEventLoop, BufferedProtocol
from asyncio.selector_events import _SelectorSocketTransport
from collections import deque
from random import Random
from socket import socket
from typing import Any

from redwingpost.adapters.link_rules import (
    RETRANSMISSION_S,
    Impairment,
    LinkEffect,
)

#: Marks the end of the stream in a queue of chunks.
_END_OF_STREAM = None


class Link:
    """The connections between two addresses and their impairments.

    Parameters
    ----------
    effect : LinkEffect
        Effect of the active rules.
    random : Random
        Source of losses; seeded, so that runs are reproducible.
    """

    def __init__(self, effect: LinkEffect, random: Random) -> None:
        self.effect = effect
        self.random = random
        self.transports: set[FaultyTransport] = set()
        self.delayed_closes: set[DelayedClose] = set()

    def change(self, effect: LinkEffect) -> None:
        """Apply another effect and release the bytes that may now pass."""
        self.effect = effect
        for transport in list(self.transports):
            transport.link_changed()
        for delayed_close in list(self.delayed_closes):
            delayed_close.flush()

    def due_at(
        self, impairment: Impairment, now: float, last_due_at: float
    ) -> float:
        """Return when a chunk queued now is due, in order of arrival."""
        stall = 0.0
        if impairment.loss and self.random.random() < impairment.loss:
            stall = RETRANSMISSION_S
        return max(last_due_at, now + impairment.delay_s + stall)


class ChunkQueue:
    """Chunks in transit in one direction, with the times they are due."""

    def __init__(self) -> None:
        self.chunks: deque[tuple[float, bytes | None]] = deque()
        self.size = 0
        self._last_due_at = 0.0

    def __bool__(self) -> bool:
        return bool(self.chunks)

    def add(
        self,
        chunk: bytes | None,
        link: Link,
        impairment: Impairment,
        now: float,
    ):
        """Append a chunk."""
        self._last_due_at = link.due_at(impairment, now, self._last_due_at)
        self.chunks.append((self._last_due_at, chunk))
        self.size += len(chunk or b"")

    def first_due_at(self) -> float:
        """Return when the first chunk is due."""
        return self.chunks[0][0]

    def take(self) -> bytes | None:
        """Remove and return the first chunk."""
        chunk = self.chunks.popleft()[1]
        self.size -= len(chunk or b"")
        return chunk

    def requeue(self, chunk: bytes) -> None:
        """Put the rest of a chunk back in front, due at once."""
        self.chunks.appendleft((0.0, chunk))
        self.size += len(chunk)


class DelayedClose:
    """The socket of a closed connection, kept open until its data passed.

    If a process closes a connection during a cut, the other side is not
    notified and keeps its transaction and its connection slot until the
    cut ends. Closing the socket at once would notify it.
    """

    def __init__(
        self,
        loop: AbstractEventLoop,
        sock: socket,
        queue: ChunkQueue,
        link: Link,
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._queue = queue
        self._link = link
        link.delayed_closes.add(self)
        self.flush()

    def flush(self) -> None:
        """Send the chunks that are due; close the socket after the last."""
        if self._link.effect.out.is_cut or self._sock is None:
            return
        now = self._loop.time()
        while self._queue and self._queue.first_due_at() <= now:
            chunk = self._queue.take()
            try:
                if chunk is not _END_OF_STREAM:
                    self._sock.send(chunk)
            except OSError:
                self._queue.chunks.clear()
        if self._queue:
            self._loop.call_at(self._queue.first_due_at(), self.flush)
            return
        self._link.delayed_closes.discard(self)
        self._sock.close()
        self._sock = None


class FaultyTransport(_SelectorSocketTransport):
    """The event loop's socket transport with simulated link faults."""

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
        self._outgoing = ChunkQueue()
        self._incoming = ChunkQueue()
        self._timers: dict[str, Any] = {}
        self._is_close_delayed = False
        super().__init__(loop, sock, protocol, waiter, extra, None)
        link.transports.add(self)

    # Outgoing bytes.

    def write(self, data) -> None:
        """Send data, or queue it behind the bytes that the link delays."""
        if not self._outgoing and self._link.effect.out.is_clear:
            super().write(data)
            return
        if self._conn_lost or self._eof or not data:
            super().write(data)
            return
        self._queue_out(bytes(data))
        self._maybe_pause_protocol()

    def write_eof(self) -> None:
        """End the outgoing stream after the bytes that the link delays."""
        if not self._outgoing and self._link.effect.out.is_clear:
            super().write_eof()
        elif not self._eof and not self._closing:
            self._queue_out(_END_OF_STREAM)

    def get_write_buffer_size(self) -> int:
        """Return the number of unsent bytes, including delayed ones."""
        return super().get_write_buffer_size() + self._outgoing.size

    def _queue_out(self, chunk: bytes | None) -> None:
        impairment = self._link.effect.out
        self._outgoing.add(chunk, self._link, impairment, self._loop.time())
        self._start_timer("out", self._outgoing, impairment, self._flush_out)

    def _flush_out(self) -> None:
        self._timers.pop("out", None)
        now = self._time()
        while self._may_pass(self._outgoing, self._link.effect.out, now):
            chunk = self._outgoing.take()
            if chunk is _END_OF_STREAM:
                super().write_eof()
            else:
                super().write(chunk)
        if self._loop is not None:
            self._maybe_resume_protocol()
            impairment = self._link.effect.out
            self._start_timer(
                "out", self._outgoing, impairment, self._flush_out
            )

    # Incoming bytes.

    def _read_ready(self) -> None:
        impairment = self._link.effect.back
        if not self._incoming and impairment.is_clear:
            super()._read_ready()
        elif impairment.is_cut:
            # The bytes stay in the kernel's buffer until the cut ends.
            self._loop._remove_reader(self._sock_fd)
        else:
            self._receive(impairment)

    def _receive(self, impairment: Impairment) -> None:
        try:
            chunk = self._sock.recv(self.max_size)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._fatal_error(error, "Fatal read error on socket transport")
            return
        if not chunk:
            self._loop._remove_reader(self._sock_fd)
        self._incoming.add(
            chunk or _END_OF_STREAM, self._link, impairment, self._loop.time()
        )
        self._start_timer("in", self._incoming, impairment, self._deliver)

    def _deliver(self) -> None:
        self._timers.pop("in", None)
        now = self._time()
        impairment = self._link.effect.back
        while not self._paused and self._may_pass(
            self._incoming, impairment, now
        ):
            chunk = self._incoming.take()
            if chunk is _END_OF_STREAM:
                self._read_ready__on_eof()
            else:
                self._pass_to_protocol(chunk)
        if self._loop is not None and not self._paused:
            self._start_timer("in", self._incoming, impairment, self._deliver)

    def _pass_to_protocol(self, chunk: bytes) -> None:
        """Pass a chunk to the protocol, which may pause reading."""
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
            self._incoming.requeue(chunk)

    def resume_reading(self) -> None:
        """Resume reading, beginning with the delayed bytes."""
        super().resume_reading()
        if self._incoming and not self._closing:
            impairment = self._link.effect.back
            self._start_timer("in", self._incoming, impairment, self._deliver)

    # Changes of the link, and closing.

    def link_changed(self) -> None:
        """Resume the transfers that the new rules allow."""
        if self._loop is None:
            return
        effect = self._link.effect
        if not effect.back.is_cut and not self._has_end_of_stream():
            self._add_reader(self._sock_fd, self._read_ready)
        self._start_timer("in", self._incoming, effect.back, self._deliver)
        self._start_timer("out", self._outgoing, effect.out, self._flush_out)

    def _has_end_of_stream(self) -> bool:
        return any(
            chunk is _END_OF_STREAM for _, chunk in self._incoming.chunks
        )

    def _time(self) -> float:
        return self._loop.time() if self._loop is not None else 0.0

    def _may_pass(
        self, queue: ChunkQueue, impairment: Impairment, now: float
    ) -> bool:
        """Return whether the first chunk may pass now."""
        if not queue or impairment.is_cut or self._loop is None:
            return False
        return not self._conn_lost and queue.first_due_at() <= now

    def _start_timer(
        self, name: str, queue: ChunkQueue, impairment: Impairment, action
    ) -> None:
        """Call ``action`` when the first chunk is due."""
        if queue and not impairment.is_cut and name not in self._timers:
            self._timers[name] = self._loop.call_at(
                queue.first_due_at(), action
            )

    def close(self) -> None:
        """Close; the other side is notified when the link allows it."""
        self._delay_socket_close()
        super().close()

    def _force_close(self, exc) -> None:
        self._delay_socket_close()
        super()._force_close(exc)

    def _delay_socket_close(self) -> None:
        is_cut = self._link.effect.out.is_cut
        if (
            self._is_close_delayed
            or self._closing
            or not (is_cut or self._outgoing)
        ):
            return
        self._is_close_delayed = True
        pending, self._outgoing = self._outgoing, ChunkQueue()
        DelayedClose(self._loop, self._sock.dup(), pending, self._link)

    def _call_connection_lost(self, exc) -> None:
        self._link.transports.discard(self)
        for timer in self._timers.values():
            timer.cancel()
        super()._call_connection_lost(exc)
