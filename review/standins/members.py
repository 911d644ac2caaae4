"""A group of members: replicated logs and the line protocol.

A commit is acknowledged once one replica has received it, and is applied
there ``LAG_S`` later. A promoted member leads the next term with what it had
received; the old primary follows it as soon as it hears of it.
"""

import asyncio
import hashlib
import time
from collections import namedtuple

LINK_S = 0.001
LAG_S = 0.02
HANDSHAKE_S = 0.012
BEAT_S = 1.2
FOLLOW_AFTER_S = 1.0
SLOTS = 5
MAX_CONNECTIONS = 32

Entry = namedtuple("Entry", "term number writes")
Run = namedtuple("Run", "at_s member tenant request text")


class Refused(Exception):
    """An answer ``ERROR`` with a code and a text."""


class Group:
    """The members of one service."""

    def __init__(self, name, store, ip, record, work_s=0.01):
        self.name = name
        self.store = store
        self.ip = ip
        self.record = record
        self.work_s = work_s
        self.member_by_id = {}
        self.runs = []
        self.acknowledged = []
        self.lost = []
        self.changed = asyncio.Event()

    async def start(self, zones, count=3):
        """Start the members; the first is the primary."""
        for number in range(count):
            member_id = f"i-{self.name}{number:02x}"
            await self.add(member_id, zones[number], number == 0)

    async def add(self, member_id, zone, is_primary=False):
        """Start a member; a replica gets a copy of the primary's log."""
        member = Member(self, member_id, zone, is_primary)
        leader = self.primary()
        if leader is not None:
            member.term = leader.term
            member.log = list(leader.log)
            member.applied = len(member.log)
        self.member_by_id[member_id] = member
        await member.start()
        return member

    def primary(self):
        """Return the primary of the newest term."""
        leading = [m for m in self.member_by_id.values()
                   if m.is_primary and m.is_running]
        return max(leading, key=lambda m: m.term, default=None)

    def promote(self, member_id):
        """Let a member lead the next term with the log that it has."""
        chosen = self.member_by_id[member_id]
        if chosen.is_primary or not chosen.is_running:
            return
        chosen.term = 1 + max(m.term for m in self.member_by_id.values())
        chosen.is_primary = True
        chosen.paused_for = 0
        chosen.applied = len(chosen.log)
        held = {(e.term, e.number) for e in chosen.log}
        self.lost += [e for e in self.acknowledged
                      if (e.term, e.number) not in held]
        self.record(f"promoted service={self.name} id={member_id} "
                    f"term={chosen.term}")
        chosen.publish()
        loop = asyncio.get_running_loop()
        for member in self.member_by_id.values():
            if member is chosen:
                continue
            after_s = FOLLOW_AFTER_S if member.is_primary else LINK_S
            loop.call_later(after_s, self.follow, member)
        self.wake()

    def follow(self, member):
        """Let a member follow the newest primary, with its log."""
        leader = self.primary()
        if leader is None or leader is member or not member.is_running:
            return
        if leader.part != member.part:
            return
        if member.term >= leader.term and member.is_primary:
            return
        was_primary = member.is_primary
        member.is_primary = False
        member.term = leader.term
        member.paused_for = 0
        member.log = list(leader.log)
        member.applied = len(member.log)
        if was_primary:
            member.publish()
        self.wake()

    def wake(self):
        """Wake the commits that wait for a replica."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def commit(self, member, writes):
        """Commit at the primary once a replica has received it."""
        term = member.term
        number = 1 + (member.log[-1].number if member.log else 0)
        entry = Entry(term, number, writes)
        member.log.append(entry)
        member.applied = len(member.log)
        await asyncio.sleep(2 * LINK_S)
        while member.is_primary and member.term == term:
            received = [m.receive(entry) for m in self.member_by_id.values()
                        if m is not member and m.part == member.part]
            if any(received):
                self.acknowledged.append(entry)
                return entry
            await self.changed.wait()
        raise Refused(f"READONLY {member.id}")


class Member:
    """One member's state and its servers."""

    def __init__(self, group, member_id, zone, is_primary):
        self.group = group
        self.id = member_id
        self.zone = zone
        self.is_primary = is_primary
        self.term = 1
        self.log = []
        self.applied = 0
        self.paused_for = 0
        self.is_running = False
        self.state = "ready"
        self.connections = 0
        self.arrivals = []
        self.slots = asyncio.Semaphore(SLOTS)
        self.address = ""
        #: Names of the nodes to which the path is cut; whether that to the
        #: store is; and the number of the part of a network partition.
        self.cut_nodes = set()
        self.is_cut_from_store = False
        self.part = 0
        self.published_at = float("-inf")
        self._port = 0
        self._port_by_node = {}
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._servers = []
        self._beats = None
        self._writers = set()

    async def start(self):
        """Listen, register and send check-ins."""
        self._port = await self._listen(None)
        self.address = f"{self.group.ip}:{self._port}"
        for node in self.group.store.views:
            self._port_by_node[node] = await self._listen(node)
        self.is_running = True
        self._beats = asyncio.create_task(self._send_beats())

    async def _listen(self, node):
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(node, reader, writer),
            self.group.ip, 0, limit=2 ** 21
        )
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    @property
    def ports(self):
        """The member's own port, and those of the nodes' paths."""
        return {self._port, *self._port_by_node.values()}

    def port_for(self, node):
        """Return the port by which a node reaches this member."""
        return self._port_by_node.get(node, self._port)

    def cut(self, nodes, part):
        """Cut the paths to nodes, the store and members of other parts."""
        self.cut_nodes = set(nodes)
        self.is_cut_from_store = True
        self.part = part
        self.group.record(f"cut id={self.id} from the store, from members of "
                          f"other parts and from {' '.join(nodes)}")

    async def until_reached(self, node):
        """Wait while the path to a node is cut: bytes are held up."""
        while node in self.cut_nodes:
            await asyncio.sleep(0.05)

    def publish(self):
        """Write the member's entry to the store."""
        if not self.is_running or self.group.store.is_away:
            return
        if self.is_cut_from_store:
            return
        self.published_at = time.monotonic()
        self._seq += 1
        self.group.store.put("servers", self.id, {
            "service": self.group.name, "address": self.address,
            "zone": self.zone, "configVersion": "v1", "slots": SLOTS,
            "state": self.state, "coldLeftMs": 0, "seq": self._seq,
            "born": self._born,
            "dbRole": "primary" if self.is_primary else "replica",
        })

    def drain(self):
        """Announce the end; return the time of the store's ack."""
        self.state = "draining"
        self.publish()
        self.group.record(f"draining service={self.group.name} id={self.id}")
        return time.monotonic()

    def end(self):
        """Exit and leave the list."""
        self.is_running = False
        self._beats.cancel()
        self._close_servers()
        for writer in tuple(self._writers):
            writer.transport.abort()
        if not self.group.store.is_away:
            self.group.store.remove("servers", self.id)
        self.group.record(f"ended service={self.group.name} id={self.id}")

    def stop(self):
        """Stop at the end of a run."""
        if self.is_running:
            self.is_running = False
            self._beats.cancel()
            self._close_servers()
            for writer in tuple(self._writers):
                writer.transport.abort()

    def _close_servers(self):
        for server in self._servers:
            server.close()

    def receive(self, entry):
        """Receive a commit as a replica; return whether it was taken."""
        if not self.is_running or self.is_primary:
            return False
        if self.paused_for > entry.term or self.term > entry.term:
            return False
        self.term = entry.term
        if entry not in self.log[-64:]:
            self.log.append(entry)
            asyncio.get_running_loop().call_later(
                LAG_S, self._apply, len(self.log)
            )
        return True

    def _apply(self, count):
        self.applied = max(self.applied, min(count, len(self.log)))

    def head(self):
        """Return the position of the last received entry."""
        if not self.log:
            return "1.0"
        return f"{self.log[-1].term}.{self.log[-1].number}"

    def holds(self, position):
        """Return whether the log holds a position and has applied it."""
        term, _, number = position.partition(".")
        wanted = int(term), int(number)
        if wanted[1] == 0:
            return True
        return any((e.term, e.number) >= wanted
                   for e in self.log[max(0, self.applied - 1):self.applied])

    def read(self, item):
        """Return an item's last applied data."""
        for entry in reversed(self.log[:self.applied]):
            if item in entry.writes:
                return entry.writes[item]
        return None

    async def _send_beats(self):
        while True:
            self.publish()
            await asyncio.sleep(BEAT_S)
            silent_s = time.monotonic() - self.published_at
            if self.is_cut_from_store and silent_s >= 3 * BEAT_S:
                # The store drops an entry after three silent intervals.
                self.group.store.remove("servers", self.id)

    async def _serve(self, node, reader, writer):
        self._writers.add(writer)
        self.connections += 1
        try:
            await Connection(self, node, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()


class Connection:
    """One connection to a member."""

    def __init__(self, member, node, reader, writer):
        self._member = member
        self._node = node
        self._group = member.group
        self._reader = reader
        self._writer = writer
        self._tenant = ""
        self._state = "I"
        self._is_plain = False
        self._writes = {}
        self._values = {}
        self._shapes = {}

    async def run(self):
        """Answer the start and then the queries."""
        await self._member.until_reached(self._node)
        word, service, tenant, *wanted = (await self._line()).split(" ")
        await asyncio.sleep(HANDSHAKE_S)
        if service != self._group.name or wanted not in (
            [], [self._member.id]
        ):
            self._send(f"ERROR WRONGNODE {self._member.id}")
            return
        if self._member.connections > MAX_CONNECTIONS:
            self._send("ERROR MAXCONN full")
            return
        self._tenant = tenant
        self._send(self._ready())
        while True:
            word, _, rest = (await self._line()).partition(" ")
            if word != "QUERY":
                return
            await self._member.until_reached(self._node)
            request, _, text = rest.partition(" ")
            if request != "-":
                self._member.arrivals.append((time.monotonic(), request))
            try:
                rows, proof = await self._execute(request, text)
                lines = [f"DATAROW {row}" for row in rows]
                lines.append(f"COMPLETE {proof}")
            except Refused as refused:
                lines = [f"ERROR {refused}"]
                if self._state == "T":
                    self._state = "E"
            await self._member.until_reached(self._node)
            self._send("\r\n".join([*lines, self._ready()]))

    async def _execute(self, request, text):
        word, _, rest = text.partition(" ")
        if self._state == "E" and word != "ROLLBACK":
            raise Refused("MALFORMED the transaction failed")
        if word == "WAITLSN":
            position, _, text = rest.partition(" ")
            if not self._member.holds(position):
                raise Refused(f"LAGGING {self._member.head()}")
            word, _, rest = text.partition(" ")
        handler = getattr(self, f"_do_{word.lower()}", None)
        if handler is None:
            raise Refused("MALFORMED unknown")
        return await handler(request, rest)

    def _check_lead(self):
        if not self._member.is_primary:
            raise Refused(f"READONLY {self._member.id}")

    async def _work(self, request, text):
        async with self._member.slots:
            await asyncio.sleep(self._group.work_s)
        self._group.runs.append(Run(time.monotonic(), self._member.id,
                                    self._tenant, request, text))

    def _proof(self, request):
        text = f"{self._member.id} {request}".encode()
        return "7." + hashlib.blake2b(text, digest_size=8).hexdigest()

    async def _do_read(self, request, item):
        if self._state == "T" and self._is_plain:
            self._check_lead()
        await self._work(request, f"READ {item}")
        data = self._writes.get(item) or self._member.read(item)
        return ([data] if data else []), self._proof(request)

    async def _do_write(self, request, rest):
        self._check_lead()
        await self._work(request, f"WRITE {rest}")
        item, _, data = rest.partition(" ")
        if self._state == "T":
            self._writes[item] = data
        else:
            await self._group.commit(self._member, {item: data})
        return [], self._proof(request)

    async def _do_begin(self, request, rest):
        if not rest:
            self._check_lead()
        self._state, self._is_plain, self._writes = "T", not rest, {}
        return [], "-"

    async def _do_commit(self, request, rest):
        await self._work(request, "COMMIT")
        writes, self._writes, self._state = self._writes, {}, "I"
        if writes:
            self._check_lead()
            await self._group.commit(self._member, writes)
        return [], self._proof(request)

    async def _do_rollback(self, request, rest):
        self._writes, self._state = {}, "I"
        return [], "-"

    async def _do_set(self, request, rest):
        name, _, value = rest.partition(" ")
        self._values[name] = value
        return [], "-"

    async def _do_prepare(self, request, rest):
        name, _, shape = rest.partition(" ")
        self._shapes[name] = shape
        return [], "-"

    async def _do_execute(self, request, rest):
        name, _, argument = rest.partition(" ")
        if name not in self._shapes:
            raise Refused(f"NOSTMT {name}")
        if self._shapes[name].startswith("WRITE"):
            return await self._do_write(request, argument)
        return await self._do_read(request, argument)

    async def _do_close(self, request, rest):
        self._shapes.pop(rest, None)
        return [], "-"

    async def _do_discard(self, request, rest):
        self._shapes.clear()
        self._values.clear()
        return [], "-"

    async def _do_status(self, request, rest):
        member = self._member
        role = "primary" if member.is_primary else "replica"
        lag_ms = 0 if member.is_primary else int(LAG_S * 1000)
        busy = SLOTS - member.slots._value
        fields = (role, member.term, member.head(), member.paused_for,
                  lag_ms, busy, member.connections)
        return [" ".join(map(str, fields))], "-"

    async def _do_pause(self, request, rest):
        newest = max(m.term for m in self._group.member_by_id.values())
        if not self._member.is_primary and int(rest) > newest:
            self._member.paused_for = int(rest)
        return await self._do_status(request, "")

    async def _do_resume(self, request, rest):
        self._member.paused_for = 0
        self._group.follow(self._member)
        self._group.wake()
        return await self._do_status(request, "")

    async def _do_stepdown(self, request, rest):
        if self._member.is_primary and self._member.term < int(rest):
            self._member.is_primary = False
            self._member.publish()
            self._group.follow(self._member)
            self._group.wake()
        return await self._do_status(request, "")

    def _ready(self):
        position = self._member.head() if self._member.log else "-"
        return f"READY {self._state} {position}"

    async def _line(self):
        raw = await self._reader.readuntil(b"\r\n")
        return raw[:-2].decode("latin-1")

    def _send(self, text):
        self._writer.write(f"{text}\r\n".encode("latin-1"))
