"""An ended connection is freed at once, on a real gateway whose collector of reference cycles is off."""

import contextlib
import re
import signal
import threading
from collections.abc import Callable

import pytest

from tests.crossing.rig import Peer, PeerEnded, ProcessTest, Server, wait_until
from tests.live import request_bytes, response_bytes

CONNECTIONS = 40
# Each ended connection that is not freed leaves its streams, tasks and frames: nine objects at least.
MAX_OBJECTS = CONNECTIONS
# SIGUSR1 starts to keep all objects that only the collector can free, SIGUSR2 tells how many there are.
KEEP_UNFREED = """
import gc, signal, sys

def keep_from_now_on(number, frame):
    gc.disable()
    gc.collect()
    gc.set_debug(gc.DEBUG_SAVEALL)
    print("kept from now on", file=sys.stderr, flush=True)

def tell(number, frame):
    print(f"unfreed objects: {gc.collect()}.", file=sys.stderr, flush=True)

signal.signal(signal.SIGUSR1, keep_from_now_on)
signal.signal(signal.SIGUSR2, tell)
"""
UNFREED = re.compile(r"unfreed objects: ([0-9]+)\.")
SHARD_WITHOUT_ANSWERS = 1


@pytest.mark.processes
class ClosedConnections(ProcessTest):
    def unfreed_objects(self, play: Callable[[int], None]) -> int:
        """Plays that many connections; returns how many objects they leave to the collector."""
        backend = Server(self)

        def answer() -> None:
            with contextlib.suppress(OSError):
                while True:
                    peer, request = backend.next_request(60.0)
                    if "spoilt" in request.target:
                        peer.send(b"HTTP/1.1 2000 nonsense\r\n\r\n")
                    elif "noise" in request.target:
                        peer.send(response_bytes(200, b"ok") + b"HTTP/1.1 2000 nonsense\r\n\r\n")
                    else:
                        peer.send(response_bytes(200, b"ok"))

        threading.Thread(target=answer, daemon=True).start()
        gateway = self.start(backend, prelude=KEEP_UNFREED)
        play(0)  # what is made once and kept
        self.wait_until_closed()
        gateway.send_signal(signal.SIGUSR1)
        gateway.wait_for_log("kept from now on")
        for number in range(1, CONNECTIONS + 1):
            play(number)
        self.wait_until_closed()
        gateway.send_signal(signal.SIGUSR2)
        gateway.wait_for_log("unfreed objects")
        [line] = gateway.log_lines("unfreed objects")
        found = UNFREED.search(line)
        assert found is not None
        return int(found[1])

    def wait_until_closed(self) -> None:
        """Waits until a health check is answered, behind all that the gateway had to do before."""
        for _ in range(3):
            probe = self.connect_and_send(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            self.assertEqual(200, probe.message().status)
            wait_until(probe.wait_for_end, "the gateway's end of a probe's connection")
            probe.close()

    def read_to_end(self, client: Peer) -> None:
        with contextlib.suppress(PeerEnded, ConnectionResetError):
            while True:
                client.message()

    def close(self, number: int) -> None:
        self.client().close()

    def reset(self, number: int) -> None:
        self.client().reset()

    def send_what_cannot_be_read(self, number: int) -> None:
        client = self.connect_and_send(b"GET / HTTP/1.1\r\nbad header " + b"x" * 9_000 + b"\r\n\r\n")
        self.read_to_end(client)
        client.close()

    def stop_half_way(self, number: int) -> None:
        self.connect_and_send(request_bytes(f"{number + 1:x}", "post", 0, 500, b"x" * 9_000)[:-1]).close()

    def leave_before_the_answer(self, number: int) -> None:
        self.connect_and_send(request_bytes(f"{number + 1:x}", shard=SHARD_WITHOUT_ANSWERS)).close()

    def be_served(self, number: int) -> None:
        client = self.connect_and_send(request_bytes(f"{number + 1:x}"))
        self.assertEqual(200, client.message().status)
        client.close()

    def be_failed(self, number: int, path: bytes, shard: int = 0) -> None:
        request = request_bytes(f"{number + 1:x}", "post", shard, 500, b"x").replace(b"/post/", path)
        client = self.connect_and_send(request)
        self.assertGreater(client.message().status, 500)
        client.close()

    def get_an_answer_that_cannot_be_read(self, number: int) -> None:
        self.be_failed(number, b"/post/spoilt/")

    def get_noise_behind_an_answer(self, number: int) -> None:
        self.be_failed(number, b"/post/noise/")

    def find_that_a_backend_refuses_connections(self, number: int) -> None:
        self.backends[SHARD_WITHOUT_ANSWERS].socket.close()
        self.be_failed(number, b"/post/", SHARD_WITHOUT_ANSWERS)

    def test_a_connection_that_has_ended_leaves_nothing_to_the_collector_of_cycles(self) -> None:
        # Guards against memory that grows with the connections made, as the collector runs rarely.
        plays = (
            self.close,
            self.reset,
            self.send_what_cannot_be_read,
            self.stop_half_way,
            self.leave_before_the_answer,
            self.be_served,
            self.get_an_answer_that_cannot_be_read,
            self.get_noise_behind_an_answer,
            self.find_that_a_backend_refuses_connections,
        )
        unfreed = {play.__name__: self.unfreed_objects(play) for play in plays}
        self.assertEqual({}, {name: objects for name, objects in unfreed.items() if objects >= MAX_OBJECTS})
