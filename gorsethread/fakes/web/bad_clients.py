"""A fake client that sends malformed requests."""

from gorsethread.fakes.record import Recorder
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import RandomStream, StreamClosed, Transport, Unreachable

ANSWER_WITHIN_SECONDS = 3.5  # from connecting, in which a gateway must answer an error or close


class MalformedClient:
    """Sends malformed requests and records a gateway that neither answers an error nor closes in time."""

    def __init__(self, transport: Transport, site: pb.Site, recorder: Recorder) -> None:
        self.transport, self.site, self.recorder = transport, site, recorder
        self.chance: RandomStream = transport.random_stream("rude")
        profile, plan = site.profile[0].name, site.plan[0].name
        good = (
            f"GET /{profile}/0000000100000001 HTTP/1.1\r\nHost: a\r\n"
            f"Req-Id: 00000000000000ff\r\nTier: {plan}\r\nReq-Deadline-Ms: 900\r\n"
            "IO-Info: volume=0000000000000001,units=1,shard=0,hosts=1\r\n"
        )
        get, put = (good + "\r\n").encode(), good.replace("GET", "PUT").encode()
        self.payloads = [
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
            put + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get,
            put + b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nhello" + get,
            get[:60],
            b"",
        ]

    async def at(self, head: pb.Head, until: float) -> None:
        """Sends malformed requests to one gateway until the given time."""
        while self.transport.now() < until:
            payload = self.payloads[self.chance.randrange(len(self.payloads))]
            self.transport.spawn(self._send(head, payload))
            await self.transport.sleep(self.chance.uniform(0.01, 0.2))

    async def _send(self, head: pb.Head, payload: bytes) -> None:
        try:
            stream = await self.transport.connect(*split_address(head.address), 1.0)
        except Unreachable:
            return
        stream.write(payload)
        timer = self.transport.call_at(self.transport.now() + ANSWER_WITHIN_SECONDS, stream.close)
        started_at = self.transport.now()
        received = b""
        try:
            while not received.startswith(b"HTTP/1.1 ") or len(received) < 12:
                received += await stream.read()
        except StreamClosed:
            pass
        timer.cancel()
        stream.close()
        late = self.transport.now() - started_at >= ANSWER_WITHIN_SECONDS - 0.001
        if late or received and received[9:10] not in (b"4", b"5"):
            self.recorder.record(
                "rude", head=head.number, words=repr(payload[:80]), got=repr(received[:40]), late=late
            )
