"""One client that names a new volume in each request, at full speed: a real gateway, raw sockets."""

import contextlib
import json
import signal
import threading
import time

import pytest

from gorsethread.http_gateway.memory_budget import divide_memory
from gorsethread.scheduling.fair_queueing import VOLUMES_MAX
from tests.crossing.rig import ProcessTest, Server
from tests.live import request_bytes, response_bytes

NAMES = VOLUMES_MAX + 3_000
AT_ONCE = 64  # requests of one batch
USUAL_WITHIN = 0.5 + 0.5 + 0.05  # seconds: a usual client's timeout, and the platform's slack
VOLUME = b"00000003b4d60021"


@pytest.mark.processes
class ManyNames(ProcessTest):
    def start_backend(self) -> Server:
        backend = Server(self)

        def answer() -> None:
            with contextlib.suppress(OSError):
                while True:
                    peer, _ = backend.next_request(60.0)
                    peer.send(response_bytes(200, b"ok"))

        threading.Thread(target=answer, daemon=True).start()
        return backend

    def send_names(self) -> None:
        """Sends a request under each name, for a shard without a backend, and reads the answers."""
        peer = self.client()
        for first in range(0, NAMES, AT_ONCE):
            ids = range(first, first + AT_ONCE)
            requests = (request_bytes(f"{id + 1:x}", shard=1, timeout_ms=1) for id in ids)
            peer.send(b"".join(r.replace(VOLUME, b"%016x" % id) for r, id in zip(requests, ids, strict=True)))
            for _ in ids:
                peer.message()

    def test_ever_new_names_of_volumes_take_bounded_memory_and_hold_up_nobody(self) -> None:
        # Guards against a table that grows with the names that clients choose.
        gateway = self.start(self.start_backend())
        flood = threading.Thread(target=self.send_names, daemon=True)
        flood.start()
        usual = self.client()
        number = 0x100000
        while flood.is_alive():
            number += 1
            began = time.monotonic()
            usual.send(request_bytes(f"{number:x}", timeout_ms=500))
            usual.message()
            self.assertLess(time.monotonic() - began, USUAL_WITHIN)
            time.sleep(0.02)
        gateway.send_signal(signal.SIGTERM)
        gateway.wait_for_log('"gateway ends"')
        [line] = gateway.log_lines('"gateway ends"')
        counts = json.loads(line)
        self.assertGreater(counts["requests"], NAMES)
        permitted = self.configuration["limits"]["memory_mb"]
        self.assertLessEqual(counts["volumes"], divide_memory(permitted).volumes + 1)
