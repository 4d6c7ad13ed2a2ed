"""System calls of a real gateway fail as Linux documents: one connection ends at most, never the process."""

import contextlib
import errno
import threading

import pytest

from tests.crossing.rig import Peer, PeerEnded, ProcessTest, Server
from tests.live import request_bytes, response_bytes

SEED = 62
REQUESTS = 300
BROKEN = ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "EPIPE")
FOR_A_MOMENT = ("ECONNABORTED", "ENFILE", "ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "EPROTO", "ENOMEM")
# Makes a part of the calls of one method of all TCP sockets fail, with errors drawn from a seed.
FAIL_CALLS = """
import errno, random, socket

def fail_calls(name, part, errors):
    draws = random.Random({seed})
    called = getattr(socket.socket, name)

    def call(connection, *arguments):
        if connection.type == socket.SOCK_STREAM and draws.random() < part:
            raise OSError(getattr(errno, draws.choice(errors)), "injected")
        return called(connection, *arguments)

    setattr(socket.socket, name, call)

{calls}
"""


def failing(*calls: tuple[str, float, tuple[str, ...]]) -> str:
    """Returns code that makes calls fail: method, part of its calls, names of the errors."""
    lines = [f"fail_calls({name!r}, {part}, {errors!r})" for name, part, errors in calls]
    return FAIL_CALLS.format(seed=SEED, calls="\n".join(lines))


@pytest.mark.processes
class FailingCalls(ProcessTest):
    def start_backend(self) -> Server:
        backend = Server(self)

        def answer() -> None:
            with contextlib.suppress(OSError):
                while True:
                    peer, _ = backend.next_request(60.0)
                    with contextlib.suppress(OSError):
                        peer.send(response_bytes(200, b"ok"))

        threading.Thread(target=answer, daemon=True).start()
        return backend

    def serve_requests(self) -> list[int]:
        """Sends requests, each on a new connection after one that ended; returns the statuses, 0 for none."""
        statuses = []
        client: Peer | None = None
        for number in range(1, REQUESTS + 1):
            status = 0
            with contextlib.suppress(OSError, PeerEnded):
                client = client or self.client()
                client.send(request_bytes(f"{number:x}", timeout_ms=900))
                status = client.message().status
            if not status and client is not None:
                client.close()
                client = None
            statuses.append(status)
        return statuses

    def test_a_broken_connection_ends_no_other_whatever_its_error(self) -> None:
        # Guards against errors of a stream that end the process: EHOSTUNREACH did.
        prelude = failing(("recv_into", 0.05, BROKEN), ("send", 0.05, BROKEN), ("setsockopt", 0.05, BROKEN))
        gateway = self.start(self.start_backend(), prelude=prelude)
        statuses = self.serve_requests()
        self.assertIsNone(gateway.process.poll(), gateway.log_lines("unexpected error"))
        self.assertGreater(statuses.count(200), REQUESTS // 2)

    def test_calls_that_fail_for_a_moment_cost_no_request_its_answer(self) -> None:
        prelude = failing(("accept", 0.2, FOR_A_MOMENT), ("connect", 0.2, FOR_A_MOMENT))
        gateway = self.start(self.start_backend(), prelude=prelude)
        statuses = self.serve_requests()
        self.assertIsNone(gateway.process.poll(), gateway.log_lines("unexpected error"))
        self.assertEqual({200}, set(statuses))

    def test_the_errors_have_numbers_on_this_system(self) -> None:
        self.assertTrue(all(getattr(errno, name) for name in BROKEN + FOR_A_MOMENT))
