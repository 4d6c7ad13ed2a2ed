"""Case 2: eight bad clients send one request each whose length is written twice, with many spaces between.

The requests of the usual clients have to get their final answer all the same.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SECONDS = 20.0
CLIENTS = 6
DEADLINE_MS = 500
SLACK = 0.5 + 0.05  # seconds after its time up to which an answer earns nothing but is not lost
BAD_AT = 6.0
BAD_CLIENTS = 8
HEADER_BYTES = 16_000  # of a bad request's header section in all


def bad_request(draws: random.Random) -> bytes:
    """Returns a request with a wrong length: two of them in one line, far apart."""
    begin = (
        f"PUT /read/{draws.getrandbits(64):016x} HTTP/1.1\r\nHost: origin.svc\r\n"
        f"Req-Id: {draws.getrandbits(64):016x}\r\nTier: plain\r\nReq-Deadline-Ms: {DEADLINE_MS}\r\n"
        "IO-Info: volume=0000000000000001,units=2,shard=0,hosts=1\r\nContent-Length: 5"
    )
    end = ",5\r\n\r\n"
    return (begin + " " * (HEADER_BYTES - len(begin) - len(end)) + end + "hello").encode()


async def be_bad(port: int, record: standins.Record, draws: random.Random) -> None:
    began = time.monotonic()
    reader, writer = await asyncio.open_connection(standins.HOST, port)
    writer.write(bad_request(draws))
    record.add("bad_request_sent")
    try:
        got = (await asyncio.wait_for(reader.readline(), 70.0)).decode("latin-1").strip() or "closed"
    except (OSError, TimeoutError) as error:
        got = type(error).__name__
    writer.close()
    record.add("bad_request_answered", after_s=round(time.monotonic() - began, 2), got=got.replace(" ", "_"))


async def play(record: standins.Record, scratch: Path, trouble: bool, seed: int) -> list[str]:
    draws = random.Random(seed)
    listen, discovery_port, shelf_port = standins.free_ports(3)
    shelf = standins.Shelf(0, lambda: draws.uniform(0.005, 0.015), record)
    await shelf.listen(shelf_port)
    discovery = standins.Discovery([standins.entry(1, f"{standins.HOST}:{shelf_port}", 0)], record)
    await discovery.listen(discovery_port)
    gateway = standins.Gateway(
        "n0",
        {
            "name": "n0",
            "listen": f"{standins.HOST}:{listen}",
            "discovery": f"{standins.HOST}:{discovery_port}",
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.known(),
            "settings": standins.settings(1, 1, [standins.request_class("read", 0.2, DEADLINE_MS / 1000, "free")]),
        },
        scratch,
        record,
    )
    breaks: list[str] = []
    counts = {"asked": 0, "served": 0}

    async def ask_on(number: int) -> None:
        client = standins.Client(gateway.port, record, random.Random(seed * 100 + number))
        until = time.monotonic() + SECONDS
        while time.monotonic() < until:
            began = time.monotonic()
            request_id, answer = await client.ask("read", DEADLINE_MS, volume=number + 1)
            took = time.monotonic() - began
            counts["asked"] += 1
            counts["served"] += answer.status == 200
            if answer.status == 0 or took > DEADLINE_MS / 1000 + SLACK:
                what = "no answer" if answer.status == 0 else f"its answer, {answer.status},"
                breaks.append(f"request {request_id} had {DEADLINE_MS / 1000:g} s and got {what} after {took:.2f} s")
            await asyncio.sleep(draws.uniform(0.0, 0.2))
        client.close()

    async def bad_clients() -> None:
        if trouble:
            await asyncio.sleep(BAD_AT)
            await asyncio.gather(*(be_bad(gateway.port, record, draws) for _ in range(BAD_CLIENTS)))

    try:
        await gateway.start()
        await asyncio.gather(bad_clients(), *(ask_on(number) for number in range(CLIENTS)))
        if gateway.status() is not None:
            breaks.append(f"the gateway ended with {gateway.status()}")
        print(f"asked {counts['asked']}, served {counts['served']}")
    finally:
        gateway.end()
        for server in (shelf, discovery):
            server.close()
    return breaks


standins.main(FOLDER, play)
