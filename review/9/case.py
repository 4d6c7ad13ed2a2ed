"""Clients read through one gateway; the length that a shelf gives for some of its answers is too small."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins_2 import (  # noqa: E402
    HOST,
    SETTINGS,
    TROUBLE,
    Connection,
    Discovery,
    Gateway,
    Message,
    Record,
    Shelf,
    answer_bytes,
    read_message,
    request_bytes,
    run_case,
)

CLIENTS = 4
REQUESTS = 100  # of each client, one after the other
SPOILT_SHARE = 0.1  # of the answers
MISSING = 3  # bytes by which a spoilt answer's length is too small
SERVICE_SECONDS = 0.01
DEADLINE_MS = 2000


def made_for(id: str) -> bytes:
    """Returns the body that a shelf makes for a request."""
    return f"{id} balance 1000000".encode()


class Run:
    """What the stand-ins saw."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.chance = random.Random(7)
        self.spoilt = self.answers = self.wrong = 0

    async def serve(self, shelf: Shelf, connection: Connection, request: Message) -> None:
        await asyncio.sleep(SERVICE_SECONDS)
        body = made_for(request.id)
        answer = answer_bytes(200, body)
        if TROUBLE and self.chance.random() < SPOILT_SHARE:
            # The connection stays open but is of no more use.
            self.spoilt += 1
            answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body) - MISSING}\r\n\r\n".encode() + body
        self.record("ran", shelf=shelf.number, id=request.id, answered=answer)
        connection.writer.write(answer)

    async def client(self, number: int, gateway: Gateway) -> None:
        reader, writer = await asyncio.open_connection(HOST, gateway.port)
        for count in range(REQUESTS):
            id = (number + 1) * 1000 + count
            writer.write(request_bytes(id, "read", id, DEADLINE_MS, number % 2, volume=number + 1))
            message = await read_message(reader)
            self.answers += 1
            wrong = message.status == 200 and message.body != made_for(f"{id:016x}")
            self.wrong += wrong
            self.record("WRONG" if wrong else "answer", id=f"{id:016x}", status=message.status, body=message.body)
        writer.close()


async def main(record: Record, folder: str) -> bool:
    run = Run(record)
    shelfs = [Shelf(number, run.serve, record) for number in range(2)]
    for shelf in shelfs:
        await shelf.start()
    discovery = Discovery(shelfs, record)
    await discovery.start()
    gateway = Gateway(folder, discovery, SETTINGS)
    await gateway.wait_ready()
    await asyncio.gather(*(run.client(number, gateway) for number in range(CLIENTS)))
    record.say(f"answers {run.answers}, spoilt by shelfs {run.spoilt}, served with a wrong body {run.wrong}")
    return run.wrong == 0


run_case(main, str(HERE))
