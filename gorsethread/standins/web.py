"""Stand-ins on the operators' platform: HTTP clients, shelves and discovery.

What they do, and what they record for the witness, is as on the NVMe side; only how they speak differs. Each
head reaches every other party at an address of its own, by which these know which head it is.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from gorsethread.http1.asking import Answer, Asking
from gorsethread.http1.bounds import Spoilt, Unreadable
from gorsethread.http1.serving import Request, Serving, last_words
from gorsethread.nvme.command import Command, Completion, Opcode, Status, io_command, told_service
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.sitefile.reading import split_address
from gorsethread.standins.client import LoadClient, Transaction, Try
from gorsethread.standins.nodelist import CHANGES_KEPT, NodeList, Register
from gorsethread.standins.record import Fault, Recorder
from gorsethread.standins.shelf import HEAD_NAME, Held, Shelf
from gorsethread.transport.base import Chance, Listener, Stream, StreamClosed, Transport, Unreachable

HEADS_FROM = 8000  # the port at which a shelf or discovery is reached by head 0; the next ones follow
ATTEMPTS = 4  # of a client's transaction, told apart in an id
MAY_CLOSE = 1.9  # seconds a connection must have stood idle for a head to be free to end it
ANSWER_SLACK = 0.1  # seconds past its time in which an answer only earns nothing: the rules' slack, the way
GOOD = -3  # of a shelf's noises, those that hold a whole answer in front
CONNECTIONS = 56  # of one client at one head, as all together hold no more than a third of its descriptors
CROSSING = 0.01  # seconds from writing in which an end of the connection may have been on its way
OWED_WITHIN = 3.5  # seconds from connecting in which a bad client is owed an error or a close
EFFECTS = {pb.REDOABLE: "free", pb.LABELLED: "guarded", pb.IRREVERSIBLE: "single_shot"}
GROUPS = {pb.GROUP_UNSET: "all", pb.ALL: "all", pb.ZONE: "zone", pb.SHARD: "cell"}


def id_of(label: int, attempt: int) -> str:
    return f"{label * ATTEMPTS + attempt:016x}"


def settings_of(site: pb.Site) -> dict[str, Any]:
    """The site in the words of the platform's configuration."""
    rules, budget = site.rules, {}
    if rules.HasField("budget"):
        budget = {
            "furtherRatio": rules.budget.part,
            "freeResends": rules.budget.free,
            "ratioSpan": rules.budget.span,
        }
    return {
        "azs": [f"room-{n}" for n in range(1 + max((s.zone for s in site.shelf), default=0))],
        "balancers": len(site.head),
        "clients": {"marksRetry": True},
        "membershipMode": "subscribe",
        "contract": {
            "askWithin": site.list.ask_within,
            "cold": rules.cold.warm_after,
            "coldFrom": rules.cold.first_part,
            "fall": rules.cold.span,
            "stopSendingWithin": rules.drain_grace,
            "orderSettle": rules.key_rest,
            **budget,
        },
        "permissions": {
            "peerMessages": True,
            "connIdle": 15.0,
            "dialTimeout": site.links.connect_within,
            "maxAttempts": rules.most_forwards,
            "retryAfter": True,
            "maxRetryAfter": rules.longest_return,
        },
        "services": [
            {
                "name": p.name,
                "aim": p.promised,
                "giveUp": p.cut_off,
                "effect": EFFECTS[p.effect],
                "group": GROUPS[p.group],
                "window": p.remembered,
                "keepOrder": p.in_order,
                "worth": p.value,
            }
            for p in site.profile
        ],
        "grades": [
            {
                "name": p.name,
                "floorRate": p.reserve,
                "proportion": p.weight,
                "neverOver": p.limit,
                "limitBurst": p.limit_burst,
                "baseRate": p.usual,
            }
            for p in site.plan
        ],
        "specifics": {
            "coldUnits": rules.cold.units,
            "mostUnits": site.links.largest_bytes // site.links.unit_bytes,
            "shards": len(site.shelf),
            "shareWorth": rules.share_worth,
        },
    }


def instance(
    number: int, address: str, shard: int, zone: int, state: str, started: float, head: int
) -> dict[str, Any]:
    """An entry of discovery's list as one head gets it. started: Unix time, 0 for long ago."""
    return {
        "instanceId": f"s-{number}",
        "hostPort": f"{split_address(address)[0]}:{HEADS_FROM + head}",
        "zone": f"room-{zone}",
        "cell": shard,
        "lifecycle": state,
        "startedAtMs": started * 1000,
    }


# ---- shelves


class WebIo:
    """A request at a shelf, in the shape that the machine behind it knows."""

    __slots__ = ("command", "host", "owned", "target", "connection", "answered")

    def __init__(self, connection: "ShelfConnection", command: Command, head: int, target: bytes) -> None:
        self.connection, self.command, self.target = connection, command, target
        self.host = f"{HEAD_NAME}{head}"
        self.owned: Any = None
        self.answered = False

    def answer(self, completion: Completion, data: bytes = b"") -> None:
        if not self.answered:
            self.answered = True
            self.connection.answer(self, completion)


class ShelfConnection:
    """One connection of one head; one request at a time."""

    def __init__(self, shelf: "WebShelf", stream: Stream, head: int) -> None:
        self.shelf, self.stream, self.head = shelf, stream, head
        self.codec = Serving()
        self.io: WebIo | None = None

    async def serve(self) -> None:
        try:
            while True:
                self.codec.feed(await self.stream.read())
                self.proceed()
        except StreamClosed:
            if self.io is not None and not self.io.answered:
                self.shelf.given_up(self.io)
        except Unreadable as error:
            self.shelf.recorder.saw("bad request", shelf=self.shelf.number, reason=str(error))
            self.stream.write(last_words(error.status))
            self.stream.close()

    def proceed(self) -> None:
        while (request := self.codec.next()) is not None:
            self.shelf.requested(self, request)

    def say(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        said, goes_on = self.codec.answer(status, headers, body)
        self.stream.write(said)
        if not goes_on:
            self.stream.close()
        elif self.codec.begun:
            self.shelf.transport.soon(self.proceed)

    def answer(self, io: WebIo, completion: Completion) -> None:
        self.io = None
        if completion.pushed_back:
            self.say(503, [(b"srv-declined", b"1")], b"")
        elif not completion.honoured:
            self.say(500, [], b"")
        elif (noise := self.shelf.noise()) is not None:
            if noise in self.shelf.noises[GOOD:]:
                self.codec.answer(200, [], b"")  # it goes on; else it is of no more use, though it stays open
            self.stream.write(noise(io))
        else:
            elsewhere, usage, _ = told_service(completion)
            headers = [(b"other-hosts", b"%d" % elsewhere), (b"volume-load", b"%d" % usage)]
            self.say(200, headers, self.shelf.body_for(io))


def _whole(body: bytes, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + more + b"Content-Length: %d\r\n\r\n" % len(body) + body


class WebShelf(Shelf):
    """Has the fault 'spoil' besides: that part of its answers can't be used, though all of them ran."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.profiles = {p.name.encode(): p for p in self.site.profile}
        self.spoil_part = self.spoil_until = 0.0
        self.noises: list[Callable[[WebIo], bytes]] = [
            lambda io: b"\x00\xff\x17 what is this \r\n\r\n" * 3,
            lambda io: b"HTTP/1.1 200 OK\r\nX-Pad: " + b"a" * 40_000,
            lambda io: b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 77\r\n\r\nhello",
            lambda io: b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"b" * 60_000,
            lambda io: b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
            lambda io: b"HTTP/1.1 200 OK\r\n\r\n" + self.body_for(io),
            # These three are good, and bring more than belongs to them.
            lambda io: _whole(self.body_for(io)) + _whole(b"another's answer"),
            lambda io: b"HTTP/1.1 102 Processing\r\n\r\n" + _whole(self.body_for(io)) + b"zzz",
            lambda io: _whole(self.body_for(io), b"Other-Hosts: x\r\nVolume-Load: -7e9999\r\n") + b"\r\n",
        ]

    def body_for(self, io: WebIo) -> bytes:
        """Made for this request alone, and says where it lies."""
        return f"{id_of(io.command.label, io.command.attempt)} {self.me.shard}".encode()

    def noise(self) -> Callable[[WebIo], bytes] | None:
        if self.transport.now() >= self.spoil_until or self.chance.random() >= self.spoil_part:
            return None
        return self.noises[self.chance.randrange(len(self.noises))]

    def _fault(self, fault: Fault) -> None:
        super()._fault(fault)
        if fault.kind == "spoil":
            self.spoil_part, self.spoil_until = fault.part, self.transport.now() + fault.seconds

    def _listen(self, host: str, port: int) -> None:
        self.port = port
        self._listeners = [self._listen_to(host, h.number) for h in self.site.head]

    def _listen_to(self, host: str, head: int) -> Any:
        async def on_stream(stream: Stream) -> None:
            await ShelfConnection(self, stream, head).serve()

        return self.transport.listen(host, HEADS_FROM + head, on_stream)

    def stop(self) -> None:
        for listener in self._listeners:
            listener.close()

    def _profile(self, io: Any) -> pb.Profile:
        return self.profiles[io.target.split(b"/")[1]]

    def requested(self, connection: ShelfConnection, request: Request) -> None:
        try:
            id = int((request.one(b"req-id") or b"").decode(), 16)
            info = dict(part.split("=") for part in (request.one(b"io-info") or b"").decode().split(","))
            volume, units, shard = int(info["volume"], 16), int(info["units"]), int(info["shard"])
            volume, blocks = self.volumes[volume].number, units * self.site.links.unit_bytes // BLOCK
        except (ValueError, KeyError) as error:
            self.recorder.saw("bad request", shelf=self.number, reason=repr(error))
            connection.say(400, [], b"")
            return
        write = request.method == b"PUT"
        command = io_command(
            Opcode.WRITE if write else Opcode.READ,
            volume,
            0,
            blocks,
            attempt=id % ATTEMPTS,
            shard=shard,
            label=id // ATTEMPTS,
        )
        if request.body != (body_of(id, units) if write else b""):
            self.recorder.saw("bad request", shelf=self.number, reason="not the body that the client sent")
        io = connection.io = WebIo(connection, command, connection.head, request.target)
        self.announced(io)  # type: ignore[arg-type]
        io.owned = Held(units, request.body)
        if shard not in (-1, self.me.shard):
            self._saw_end(io, "turned away", False)  # type: ignore[arg-type]
            io.answer(Completion(0, Status.COMMAND_INTERRUPTED))
            return
        self.taken(io, request.body)  # type: ignore[arg-type]

    def given_up(self, io: WebIo) -> None:
        """Its connection has ended: what has not begun is dropped, what runs runs on."""
        self._withdraw(io)  # type: ignore[arg-type]
        io.answered = True


def body_of(id: int, units: int) -> bytes:
    return f"{id:016x}".encode() * (4 * units)


# ---- discovery


class Change(NamedTuple):
    """due: when each head may hear of it."""

    version: int
    said: Register
    state: str
    since: float
    due: dict[int, float]


class WebList(NodeList):
    """Shelves register as with the other list; heads watch it by HTTP, each at an address of its own."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        # Above all versions of an earlier life, which had one each change at the most.
        self.version = self.least = int(self.transport.wall() * 1000)
        self.news: deque[Change] = deque(maxlen=CHANGES_KEPT)
        self._last: dict[int, float] = {}
        self._watches: dict[int, Stream] = {}  # emptied as they end
        self._numbers = 0
        self._heads: list[Listener] = []

    def start(self) -> None:
        super().start()
        host, _ = split_address(self.site.list.address)
        self._heads = [self._listen_to(host, head.number) for head in self.site.head]

    def stop(self) -> None:
        super().stop()
        for listener in self._heads:
            listener.close()
        for stream in list(self._watches.values()):
            stream.close()

    def _listen_to(self, host: str, head: int) -> Listener:
        async def on_stream(stream: Stream) -> None:
            self._numbers += 1
            number = self._numbers
            self._watches[number] = stream
            codec = Serving()
            try:
                while True:
                    codec.feed(await stream.read())
                    while (request := codec.next()) is not None:
                        status, body, told = await self._answer(request.target.decode(), head)
                        stream.write(codec.answer(status, [], body)[0])
                        for c in told:
                            self.recorder.saw(
                                "told", head=head, shelf=c.said.number, state=c.state, start=c.said.start
                            )
            except (StreamClosed, Unreadable):
                pass
            finally:
                self._watches.pop(number, None)
                stream.close()

        return self.transport.listen(host, HEADS_FROM + head, on_stream)

    def _fault(self, fault: Fault) -> None:
        super()._fault(fault)
        if fault.kind == "refuse":
            for stream in list(self._watches.values()):
                stream.close()

    def _set(self, said: Register, state: str, since: float) -> None:
        super()._set(said, state, since)
        now, due = self.transport.now(), {}
        extra = self.extra if now < self.late_until else 0.0
        for h in self.site.head:
            wait = self.chance.uniform(self.site.list.late_least, self.site.list.late_most) + extra
            due[h.number] = self._last[h.number] = max(self._last.get(h.number, 0.0), now + wait)
        self.news.append(Change(self.version, said, state, since, due))

    def shelf_for(self, head: int, c: Change) -> dict[str, Any]:
        now = self.transport.now()
        started = self.transport.wall() - max(0.001, now - c.since) if c.since else 0.0
        return instance(c.said.number, c.said.address, c.said.shard, c.said.zone, c.state, started, head)

    async def _answer(self, target: str, head: int) -> tuple[int, bytes, list[Change]]:
        if self.transport.now() < self.refuse_until:
            return 503, b"", []
        words = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        since = int(words.get("since", -1))
        by = self.transport.now() + int(words.get("timeout_ms", 0)) / 1000
        kept_from = self.news[0].version - 1 if len(self.news) == CHANGES_KEPT else self.least
        if not kept_from <= since <= self.version:
            told = [
                Change(self.version, said, state, at, {})
                for said, state, at in (self.entries[n] for n in sorted(self.entries))
            ]
            return 200, self._said(self.version, True, [c for c in told if c.state != "gone"], head), told
        while True:
            now, told = self.transport.now(), []
            for c in self.news:
                if c.version > since:
                    if c.due[head] > now:
                        break
                    told.append(c)
            if told or now >= by or now < self.refuse_until:
                version = told[-1].version if told else since
                return 200, self._said(version, False, told, head), told
            await self.transport.sleep(0.05)

    def _said(self, version: int, whole: bool, told: list[Change], head: int) -> bytes:
        return msgspec.json.encode(
            {"generation": version, "reset": whole, "instances": [self.shelf_for(head, c) for c in told]}
        )


# ---- clients


class ClientConnection:
    """A client's connection to one head, kept as long as both keep it."""

    def __init__(self, link: "WebLink", stream: Stream) -> None:
        self.link, self.stream = link, stream
        self.asking = Asking()
        self.one: WebTry | None = None
        self.last: WebTry | None = None
        self.idle_since = 0.0
        self.used = False
        link.open += 1

    async def listen(self) -> None:
        try:
            while True:
                data = await self.stream.read()
                answer = self.asking.feed(data)
                if answer is not None:
                    self._answered(answer)
        except StreamClosed as end:
            self._over(None, str(end) == "closed by peer")
        except Spoilt as error:
            self._over(str(error))
        finally:
            self.stream.close()
            self.link.open -= 1

    def _answered(self, answer: Answer) -> None:
        one, self.one = self.one, None
        assert one is not None
        self.last, self.idle_since, self.used = one, self.link.transport.now(), True
        if not answer.last:
            self.link.idle.append(self)
        else:
            self.stream.close()
            if answer.one(b"connection") != b"close":
                self._more()
        one.answered(answer)

    def _over(self, spoilt: str | None, closed: bool = False) -> None:
        """closed: in order, by the head."""
        if self in self.link.idle:
            self.link.idle.remove(self)
        one, self.one = self.one, None
        idle = self.link.transport.now() - self.idle_since
        if one is None and self.used and closed and idle < MAY_CLOSE - CROSSING:
            self.link.client.recorder.saw("closed early", head=self.link.number, idle=round(idle, 3))
        if one is not None:
            one.connection_ended(self, spoilt)
        elif spoilt is not None:
            self._more()

    def _more(self) -> None:
        """A second answer, or noise that nobody asked for."""
        if self.last is not None:
            self.link.client.recorder.saw("answered late", label=self.last.t.label, attempt=self.last.attempt)


class WebLink:
    """The connections of one client to one head."""

    def __init__(self, client: "WebClient", number: int, address: tuple[str, int]) -> None:
        self.client, self.number, self.address = client, number, address
        self.transport = client.transport
        self.idle: list[ClientConnection] = []  # emptied by use and as they end
        self.open = 0

    async def keep(self) -> None:
        """Connections are opened as they are needed."""


class WebTry(Try):
    """One request of a transaction."""

    client: "WebClient"
    connection: ClientConnection | None = None
    written_at = 0.0
    again = False

    def send(self) -> bool:
        self.client.transport.spawn(self._go())
        return True

    async def _go(self) -> None:
        link, transport = self.link, self.client.transport
        connection = link.idle.pop() if link.idle else None
        if connection is None:
            if link.open >= CONNECTIONS:
                self.client.unfinished -= 1
                self.client.never_sent(self)
                return
            try:
                within = min(2.0, max(0.01, self.t.by - transport.now()))
                host, port = link.address
                connection = ClientConnection(link, await transport.connect(host, port, within))
            except Unreachable:
                self.client.unfinished -= 1
                self.client.never_sent(self)
                return
            transport.spawn(connection.listen())
        if transport.now() >= self.t.by - 0.02:
            connection.stream.close()
            self.client.unfinished -= 1
            self.client.never_sent(self)
            return
        self._write(connection)

    def _write(self, connection: ClientConnection) -> None:
        t, client, now = self.t, self.client, self.client.transport.now()
        write = t.operation == Opcode.WRITE
        units, id = client.units(t), id_of(t.label, self.attempt)
        shard = client.shard(t)
        info = f"volume={t.volume.number:016x},units={units},shard={shard},hosts={len(t.volume.head)}"
        headers = [
            (b"host", b"origin.svc"),
            (b"req-id", id.encode()),
            (b"tier", t.volume.plan.encode()),
            (b"req-deadline-ms", b"%d" % int((t.by - now) * 1000)),
            (b"io-info", info.encode()),
        ]
        if self.attempt:
            headers.append((b"req-retry", b"1"))
        extent = t.first_block // t.volume.extent_blocks
        target = f"/{client.site.profile[t.profile].name}/{t.volume.number:08x}{extent:08x}".encode()
        body = body_of(int(id, 16), units) if write else b""
        first = self.connection is None
        self.connection, connection.one, self.written_at = connection, self, now
        method = b"PUT" if write else b"GET"
        connection.stream.write(connection.asking.request(method, target, headers, body))
        if first:
            client.recorder.saw(
                "sent",
                label=t.label,
                attempt=self.attempt,
                head=self.link.number,
                volume=t.volume.number,
                profile=t.profile,
                units=units,
                key=client.key(t),
                by=t.by,
                due=t.due,
            )
            self.timer = client.transport.at(t.by + ANSWER_SLACK, self._time_is_up)
        else:
            client.recorder.saw("sent anew", label=t.label, attempt=self.attempt)

    def answered(self, answer: Answer) -> None:
        if self.over:
            return
        if answer.status == 200:
            _, _, shard = answer.body.partition(b" ")
            told = 1 + int(shard) if shard.isdigit() else 0
            self.ended("honoured", Completion(0, dw0=told), answer.body)
        elif answer.status in (429, 503):
            after = float(answer.one(b"retry-after") or 0.0)
            self.ended("pushed back", Completion(0, Status.COMMAND_INTERRUPTED, dw1=round(after * 1000)), b"")
        else:
            self.ended("given up", Completion(0, Status.INTERNAL_ERROR, final=True), b"")

    def misread(self, data: bytes) -> int:
        return data.split(b" ")[0] != id_of(self.t.label, self.attempt).encode()

    def connection_ended(self, connection: ClientConnection, spoilt: str | None) -> None:
        """The head's end of an idle connection, or of one more than it holds, may cross the request, which is
        then sent once more."""
        if self.over:
            return
        if spoilt is not None:
            self.ended("honoured", Completion(0), b"what can't be read: " + spoilt.encode())
        elif (
            not self.again
            and self.client.crosses(self)
            and (
                self.client.transport.now() - self.written_at < CROSSING
                or connection.used
                and self.written_at - connection.idle_since >= MAY_CLOSE
            )
        ):
            self.again = True
            self.client.recorder.saw("crossed", label=self.t.label, attempt=self.attempt)
            self.client.transport.spawn(self._once_more())
        elif (
            self.again
            and self.client.crosses(self)
            and (self.client.transport.now() - self.written_at < CROSSING)
        ):
            self._shut_out()
        else:
            self.ended("unreachable", None, b"")

    def _shut_out(self) -> None:
        """No connection of it was taken: it found no head, and none has lost it."""
        client = self.client
        client.recorder.saw(
            "apart", client=f"client {client.tenant}", head=self.link.number, until=client.transport.now()
        )
        client.recorder.saw("shut out", head=self.link.number)
        self.ended("unreachable", None, b"")

    async def _once_more(self) -> None:
        try:
            host, port = self.link.address
            stream = await self.client.transport.connect(host, port, 2.0)
        except Unreachable:
            self._shut_out()
            return
        connection = ClientConnection(self.link, stream)
        self.client.transport.spawn(connection.listen())
        if self.over or self.client.transport.now() >= self.t.by - 0.02:
            stream.close()
            self.ended("unreachable", None, b"")
        else:
            self._write(connection)

    def _leave(self) -> None:
        if not self.over and self.connection is not None:
            self.ended("left", None, b"")
            self._take_back()

    def _take_back(self) -> None:
        if self.connection is not None:
            self.connection.one = None
            self.connection.stream.close()


class WebClient(LoadClient):
    """Applications on the platform. crosses: whether a request was not read yet as its connection ended, for
    all that is known; whoever watches the network knows."""

    crosses: Callable[[WebTry], bool] = staticmethod(lambda one: True)

    def _link(self, head: pb.Head) -> Any:
        return WebLink(self, head.number, split_address(head.address))

    def _one_try(self, t: Transaction, attempt: int, link: Any) -> Try:
        return WebTry(self, t, attempt, link)

    def units(self, t: Transaction) -> int:
        return max(1, -(-t.blocks * BLOCK // self.site.links.unit_bytes))

    def shard(self, t: Transaction) -> int:
        extent = t.first_block // t.volume.extent_blocks
        if t.volume.placement != pb.FIRST_WRITE:
            return t.volume.shard[extent % len(t.volume.shard)]
        return self.shards.get((t.volume.number, extent), -1)

    def key(self, t: Transaction) -> str:
        """The platform keeps turns by the piece of data."""
        return f"{t.volume.number}/{t.first_block // t.volume.extent_blocks}" if t.key else ""


class RudeClient:
    """Sends what can't be read, and holds that it is owed an error or a close."""

    def __init__(self, transport: Transport, site: pb.Site, recorder: Recorder) -> None:
        self.transport, self.site, self.recorder = transport, site, recorder
        self.chance: Chance = transport.chance("rude")
        profile, plan = site.profile[0].name, site.plan[0].name
        good = (
            f"GET /{profile}/0000000100000001 HTTP/1.1\r\nHost: a\r\n"
            f"Req-Id: 00000000000000ff\r\nTier: {plan}\r\nReq-Deadline-Ms: 900\r\n"
            "IO-Info: volume=0000000000000001,units=1,shard=0,hosts=1\r\n"
        )
        inner, put = (good + "\r\n").encode(), good.replace("GET", "PUT").encode()
        self.words = [
            b"\x16\x03\x01 hello\r\n\r\n",
            b"GET / HTTP/1.0\r\n\r\n",
            b"GET /" + b"a" * 30_000,
            (good.replace("volume=", "volumes=") + "\r\n").encode(),
            (good.replace("Req-Id: 00000000000000ff\r\n", "") + "\r\n").encode(),
            (good.replace("900", "soon") + "\r\n").encode(),
            (good.replace(plan, "nobody's") + "\r\n").encode(),
            (good.replace("units=1", "units=-3") + "\r\n").encode(),
            (good + "Content-Length: -1\r\n\r\n").encode(),
            (good + "Content-Length: 60000000\r\n\r\n").encode() + b"z" * 50_000,
            put + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
            put + b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nhello" + inner,
            inner[:60],
            b"",
        ]

    async def at(self, head: pb.Head, until: float) -> None:
        """Comes to one head again and again."""
        while self.transport.now() < until:
            words = self.words[self.chance.randrange(len(self.words))]
            self.transport.spawn(self._come(head, words))
            await self.transport.sleep(self.chance.uniform(0.01, 0.2))

    async def _come(self, head: pb.Head, words: bytes) -> None:
        try:
            stream = await self.transport.connect(*split_address(head.address), 1.0)
        except Unreachable:
            return
        stream.write(words)
        timer = self.transport.at(self.transport.now() + OWED_WITHIN, stream.close)
        began = self.transport.now()
        got = b""
        try:
            while not got.startswith(b"HTTP/1.1 ") or len(got) < 12:
                got += await stream.read()
        except StreamClosed:
            pass
        timer.cancel()
        stream.close()
        late = self.transport.now() - began >= OWED_WITHIN - 0.001
        if late or got and got[9:10] not in (b"4", b"5"):
            self.recorder.saw("rude", head=head.number, words=repr(words[:80]), got=repr(got[:40]), late=late)
